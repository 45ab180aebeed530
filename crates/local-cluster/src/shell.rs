//! Queries to the system through the operator's shell `oatbankctl`.

use crate::programs;
use miniserde::{json, Deserialize};
use std::net::SocketAddr;
use std::process::{Command, Stdio};

/// A table printed by the shell.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct Table {
    /// Title of the table.
    pub title: String,
    /// Names of the columns.
    pub columns: Vec<String>,
    /// Cells of each row, in the order of the columns.
    pub rows: Vec<Vec<String>>,
}

impl Table {
    /// Returns the cell in a named column of the first row that has a cell equal to `row`.
    pub fn cell(&self, row: &str, column: &str) -> Option<&str> {
        let at = self.columns.iter().position(|c| c == column)?;
        let row = self.rows.iter().find(|cells| cells.iter().any(|c| c == row))?;
        row.get(at).map(String::as_str)
    }
}

/// Runs one command. Returns `None` if it was not answered or the program does not know the command.
pub fn ask(at: SocketAddr, words: &[&str]) -> Option<Table> {
    ask_all(at, &[words.join(" ")]).pop()
}

/// Runs several commands in one shell process. Returns the answers in order, without the commands that were not
/// answered.
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
        // Writes in a separate thread, so that writing and reading cannot deadlock on full pipes.
        std::thread::spawn(move || std::io::Write::write_all(&mut to, questions.as_bytes()));
    }
    let Ok(output) = shell.wait_with_output() else { return Vec::new() };
    let text = String::from_utf8_lossy(&output.stdout);
    text.lines().filter_map(|line| json::from_str(line).ok()).collect()
}
