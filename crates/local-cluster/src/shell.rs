//! Asking the system by its own shell, as an operator does.

use crate::programs;
use miniserde::{json, Deserialize};
use std::net::SocketAddr;
use std::process::{Command, Stdio};

/// What the shell shows.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct Table {
    /// Its title.
    pub title: String,
    /// Names of the columns.
    pub columns: Vec<String>,
    /// The rows.
    pub rows: Vec<Vec<String>>,
}

impl Table {
    /// The cell in this column of the row that has this text somewhere.
    pub fn cell(&self, row: &str, column: &str) -> Option<&str> {
        let at = self.columns.iter().position(|c| c == column)?;
        let row = self.rows.iter().find(|cells| cells.iter().any(|c| c == row))?;
        row.get(at).map(String::as_str)
    }
}

/// Asks one question; none: it was not answered, or the one asked does not know the command.
pub fn ask(at: SocketAddr, words: &[&str]) -> Option<Table> {
    ask_all(at, &[words.join(" ")]).pop()
}

/// Asks one question after the other by one shell. Answers come in their order; what is not answered is left
/// out.
pub fn ask_all(at: SocketAddr, lines: &[String]) -> Vec<Table> {
    let Ok(folder) = programs::folder() else { return Vec::new() };
    let shell = Command::new(folder.join("oatbankctl"))
        .args(["--json", "--at", &at.to_string()])
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .spawn();
    let Ok(mut shell) = shell else { return Vec::new() };
    let questions = lines.join("\n");
    if let Some(mut to) = shell.stdin.take() {
        // Written beside the reading: neither waits for the other.
        std::thread::spawn(move || std::io::Write::write_all(&mut to, questions.as_bytes()));
    }
    let Ok(output) = shell.wait_with_output() else { return Vec::new() };
    let text = String::from_utf8_lossy(&output.stdout);
    text.lines().filter_map(|line| json::from_str(line).ok()).collect()
}
