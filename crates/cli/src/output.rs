//! Formats a table as aligned text or as JSON.

use miniserde::{json, Serialize};
use oatbank_cluster_state::messages::Table;

#[derive(Serialize)]
struct JsonTable<'a> {
    title: &'a str,
    columns: &'a [String],
    rows: Vec<&'a [String]>,
}

/// Replaces control characters with `?`, so that a cell cannot move the terminal's cursor or forge a line.
fn printable(text: &str) -> String {
    text.chars().map(|character| if character.is_control() { '?' } else { character }).collect()
}

/// Formats the title, the column titles and one line per row with aligned columns; only the title if there are no rows.
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

/// Formats the title, the columns and the rows as one JSON object on one line.
pub fn json(table: &Table) -> String {
    let rows = table.rows.iter().map(|row| row.cells.as_slice()).collect();
    json::to_string(&JsonTable { title: &table.title, columns: &table.columns, rows }) + "\n"
}

#[cfg(test)]
mod tests;
