//! Changes to a revision's text that touch one key, so that an operator need not send the whole.

use toml::{Table, Value};

const KEY: &str = "suspended";

/// The text with these servers taken out, or put in again; nothing else in it changes.
///
/// # Errors
/// When the key was written by hand in a way that is not one line at the beginning, or the text cannot be read.
pub(super) fn suspend(text: &str, ids: &[String], out: bool) -> Result<String, String> {
    let mut wanted = read(text)?;
    let mut suspended = listed(&wanted);
    suspended.retain(|id| !ids.contains(id));
    if out {
        suspended.extend(ids.iter().cloned());
    }
    suspended.sort();
    suspended.dedup();
    let quoted: Vec<String> = suspended.iter().map(|id| Value::from(id.as_str()).to_string()).collect();
    let line = format!("{KEY} = [{}]\n", quoted.join(", "));
    let ours = |row: &&str| row.split('=').next().is_some_and(|key| key.trim() == KEY);
    let mut tables = false;
    let rest = text.split_inclusive('\n').filter(|row| {
        tables |= row.trim_start().starts_with('[');
        tables || !ours(row)
    });
    let changed = line + &rest.collect::<String>();
    // The proof: read again, it differs in this key only.
    wanted.insert(KEY.into(), Value::Array(suspended.into_iter().map(Value::from).collect()));
    if read(&changed).as_ref() != Ok(&wanted) {
        return Err(format!(
            "{KEY} stands in the rules in another form than `{KEY} = [\"…\"]` on one line before the first table; \
             change the file, and apply it"
        ));
    }
    Ok(changed)
}

fn read(text: &str) -> Result<Table, String> {
    text.parse::<Table>().map_err(|e| format!("the rules in force cannot be read: {e}"))
}

fn listed(rules: &Table) -> Vec<String> {
    let ids = rules.get(KEY).and_then(Value::as_array);
    ids.into_iter().flatten().filter_map(|id| id.as_str().map(str::to_owned)).collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    const TEXT: &str = "# rules\nmax_units = 9.0\n[[servers]]\nid = \"a\"\nsuspended_by = \"x\"\n";

    fn ids(ids: &[&str]) -> Vec<String> {
        ids.iter().map(|id| id.to_string()).collect()
    }

    #[test]
    fn only_the_one_line_changes_and_it_can_be_taken_back() {
        let out = suspend(TEXT, &ids(&["b", "a"]), true).expect("changed");
        assert_eq!(out, format!("suspended = [\"a\", \"b\"]\n{TEXT}"));
        let more = suspend(&out, &ids(&["c", "a"]), true).expect("changed");
        assert_eq!(listed(&read(&more).expect("toml")), ["a", "b", "c"]);
        let less = suspend(&more, &ids(&["a", "c", "never"]), false).expect("changed");
        assert_eq!(less, format!("suspended = [\"b\"]\n{TEXT}"));
    }

    #[test]
    fn what_was_written_otherwise_is_left_to_its_writer() {
        let lines = "suspended = [\n  \"a\",\n]\n[[servers]]\nid = \"a\"\n";
        let why = suspend(lines, &ids(&["b"]), true).expect_err("over several lines");
        assert!(why.contains("on one line"), "{why}");
        assert!(suspend("no toml", &ids(&["b"]), true).is_err());
    }
}
