//! Writing a table, for eyes and for programs.

use miniserde::{json, Serialize};
use oatbank_cluster_state::messages::Table;

#[derive(Serialize)]
struct Shown<'a> {
    title: &'a str,
    columns: &'a [String],
    rows: Vec<&'a [String]>,
}

/// Text that cannot move the cursor or fake a line.
fn plain(text: &str) -> String {
    text.chars().map(|c| if c.is_control() { '?' } else { c }).collect()
}

/// The title, the names of the columns and a line for each row, in columns.
pub fn text(table: &Table) -> String {
    let mut lines: Vec<Vec<String>> = vec![table.columns.iter().map(|c| plain(c)).collect()];
    lines.extend(table.rows.iter().map(|row| row.cells.iter().map(|c| plain(c)).collect()));
    let columns = lines.iter().map(Vec::len).max().unwrap_or(0);
    let longest = |at: usize| lines.iter().filter_map(|l| l.get(at)).map(|c| c.chars().count()).max();
    let widths: Vec<usize> = (0..columns).map(|at| longest(at).unwrap_or(0)).collect();
    let mut text = format!("{}\n", plain(&table.title));
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
    json::to_string(&Shown { title: &table.title, columns: &table.columns, rows }) + "\n"
}

#[cfg(test)]
mod tests {
    use super::*;
    use oatbank_cluster_state::admin_query;

    #[test]
    fn a_table_stands_in_columns_and_its_texts_stay_on_their_lines() {
        let row = |cells: [&str; 2]| cells.map(str::to_owned).to_vec();
        let table =
            admin_query::table("2 of them", &["id", "state"], vec![row(["i-1", "ready"]), row(["i\n2", ""])]);
        assert_eq!(text(&table), "2 of them\n  id   state\n  i-1  ready\n  i?2\n");
        assert_eq!(
            json(&table),
            "{\"title\":\"2 of them\",\"columns\":[\"id\",\"state\"],\"rows\":[[\"i-1\",\"ready\"],[\"i\\n2\",\"\"]]}\n"
        );
    }
}
