//! Writes a table, for people and for programs.

use miniserde::{json, Serialize};
use oatbank_cluster_state::messages::Table;

#[derive(Serialize)]
struct JsonTable<'a> {
    title: &'a str,
    columns: &'a [String],
    rows: Vec<&'a [String]>,
}

/// Replaces control characters: a text cannot move the cursor or fake a line.
fn printable(text: &str) -> String {
    text.chars().map(|character| if character.is_control() { '?' } else { character }).collect()
}

/// The title, the names of the columns and a line for each row, in columns.
pub fn text(table: &Table) -> String {
    let mut lines: Vec<Vec<String>> = vec![table.columns.iter().map(|c| printable(c)).collect()];
    lines.extend(table.rows.iter().map(|row| row.cells.iter().map(|c| printable(c)).collect()));
    let columns = lines.iter().map(Vec::len).max().unwrap_or(0);
    let longest =
        |index: usize| lines.iter().filter_map(|line| line.get(index)).map(|cell| cell.chars().count()).max();
    let widths: Vec<usize> = (0..columns).map(|index| longest(index).unwrap_or(0)).collect();
    let mut text = format!("{}\n", printable(&table.title));
    if table.rows.is_empty() {
        return text;
    }
    for line in &lines {
        let cells = line.iter().zip(&widths).map(|(cell, width)| format!("{cell:width$}"));
        text += &format!("  {}\n", cells.collect::<Vec<_>>().join("  "));
    }
    text.lines().map(|line| format!("{}\n", line.trim_end())).collect()
}

/// One object on one line: title, columns and rows.
pub fn json(table: &Table) -> String {
    let rows = table.rows.iter().map(|row| row.cells.as_slice()).collect();
    json::to_string(&JsonTable { title: &table.title, columns: &table.columns, rows }) + "\n"
}

#[cfg(test)]
mod tests;
