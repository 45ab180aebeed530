//! Edits of a single key in a revision's text, so that operators need not send the whole text.

use oatbank_zones::ReducedZone;
use toml::{Table, Value};

const SUSPENDED: &str = "suspended";
const LEFT: &str = "left";

/// Returns the text with these servers suspended or resumed. Nothing else changes.
///
/// # Errors
/// As [`with_line`].
pub(super) fn suspend(text: &str, ids: &[String], out: bool) -> Result<String, String> {
    let mut suspended = listed(&read(text)?);
    suspended.retain(|id| !ids.contains(id));
    if out {
        suspended.extend(ids.iter().cloned());
    }
    suspended.sort();
    suspended.dedup();
    with_line(text, SUSPENDED, Value::Array(suspended.into_iter().map(Value::from).collect()))
}

/// Returns the text with exactly these zones reduced. Nothing else changes.
///
/// # Errors
/// As [`with_line`].
pub(super) fn left(text: &str, left: &[ReducedZone]) -> Result<String, String> {
    let rows = left.iter().map(Value::try_from).collect::<Result<Vec<_>, _>>();
    with_line(text, LEFT, Value::Array(rows.map_err(|e| e.to_string())?))
}

/// Returns the text with `key` set to `value`, on a line of its own at the beginning.
///
/// # Errors
/// If the key stands elsewhere or spans several lines, or if the text cannot be parsed.
fn with_line(text: &str, key: &str, value: Value) -> Result<String, String> {
    let mut wanted = read(text)?;
    let line = format!("{key} = {value}\n");
    let ours = |row: &&str| row.split('=').next().is_some_and(|found| found.trim() == key);
    let mut tables = false;
    let rest = text.split_inclusive('\n').filter(|row| {
        tables |= row.trim_start().starts_with('[');
        tables || !ours(row)
    });
    let changed = line + &rest.collect::<String>();
    // Parses the result again to verify that only this key differs.
    wanted.insert(key.into(), value);
    if read(&changed).as_ref() != Ok(&wanted) {
        return Err(format!(
            "the rules have {key} in another form than `{key} = […]` on one line before the first table; edit \
             the file and apply it"
        ));
    }
    Ok(changed)
}

fn read(text: &str) -> Result<Table, String> {
    text.parse::<Table>().map_err(|e| format!("the rules in force cannot be parsed: {e}"))
}

fn listed(rules: &Table) -> Vec<String> {
    let ids = rules.get(SUSPENDED).and_then(Value::as_array);
    ids.into_iter().flatten().filter_map(|id| id.as_str().map(str::to_owned)).collect()
}

#[cfg(test)]
mod tests;
