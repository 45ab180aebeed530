//! Reads fields of a TOML file and collects the errors found.

use super::SettingsError;
use toml::{Table, Value};

/// A reader of TOML fields that records each error with its line.
pub(super) struct Reader<'a> {
    text: &'a str,
    pub(super) errors: Vec<SettingsError>,
}

impl<'a> Reader<'a> {
    pub(super) fn new(text: &'a str) -> Self {
        Reader { text, errors: Vec::new() }
    }

    /// Records a problem with the field `key`, a dotted path.
    pub(super) fn reject(&mut self, key: &str, problem: impl Into<String>) {
        let last = key.rsplit('.').next().unwrap_or(key);
        let is_key = |line: &str| {
            line.trim_start().strip_prefix(last).is_some_and(|rest| rest.trim_start().starts_with('='))
        };
        let line = self.text.lines().position(is_key).map_or(0, |index| index + 1);
        self.errors.push(SettingsError { line, key: key.into(), problem: problem.into() });
    }

    /// Reads and converts the field `key` of `table`. Records an error and returns `None` if it is missing or invalid.
    pub(super) fn get<'v, T>(
        &mut self,
        table: &'v Table,
        key: &str,
        allowed: &str,
        convert: impl Fn(&'v Value) -> Option<T>,
    ) -> Option<T> {
        let last = key.rsplit('.').next().unwrap_or(key);
        let Some(value) = table.get(last) else {
            self.reject(key, format!("is missing; allowed: {allowed}"));
            return None;
        };
        let converted = convert(value);
        if converted.is_none() {
            self.reject(key, format!("is {value}; allowed: {allowed}"));
        }
        converted
    }

    pub(super) fn table(&mut self, root: &Table, key: &str) -> Table {
        self.get(root, key, "a table", Value::as_table).cloned().unwrap_or_default()
    }

    pub(super) fn number(&mut self, table: &Table, key: &str) -> f64 {
        self.get(table, key, "a number of at least 0", number).unwrap_or(0.0)
    }

    pub(super) fn text(&mut self, table: &Table, key: &str) -> String {
        let text = self
            .get(table, key, "a non-empty string", |value| value.as_str().filter(|text| !text.is_empty()));
        text.unwrap_or_default().to_owned()
    }

    pub(super) fn flag(&mut self, table: &Table, key: &str) -> bool {
        self.get(table, key, "true or false", Value::as_bool).unwrap_or(false)
    }
}

fn number(value: &Value) -> Option<f64> {
    let number = value.as_float().or_else(|| value.as_integer().map(|integer| integer as f64))?;
    (number.is_finite() && number >= 0.0).then_some(number)
}
