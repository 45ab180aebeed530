//! Lists in their JSON form of `columns` and `rows`, and access to the fields of a row.

use crate::json::{self, Raw};
use crate::validation_error::ValidationError;
use std::collections::{BTreeMap, HashMap, HashSet};

/// A list of named items as column names and rows of values.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct ColumnarRows {
    columns: Vec<String>,
    /// The rows, each with one value per column.
    rows: Vec<Vec<Raw>>,
    /// Other fields of the list's object.
    rest: BTreeMap<String, Raw>,
}

impl ColumnarRows {
    /// Whether the value is an object with `columns` and `rows`.
    pub(crate) fn is_list(value: &Raw) -> bool {
        matches!(value, Raw::Object(fields) if fields.contains_key("columns") && fields.contains_key("rows"))
    }

    /// Reads the list called `list`. Every item must have a unique name.
    pub(crate) fn read(list: &str, value: Raw) -> Result<ColumnarRows, ValidationError> {
        let mut rest = match value {
            Raw::Object(fields) => fields,
            other => {
                return Err(ValidationError::new(list, other.shown(), "an object with columns and rows"))
            }
        };
        let columns = match rest.remove("columns") {
            Some(Raw::List(columns)) => columns,
            other => {
                return Err(ValidationError::new(
                    format!("{list}, columns"),
                    shown(other.as_ref()),
                    "a list of strings",
                ))
            }
        };
        let mut names = Vec::with_capacity(columns.len());
        for column in columns {
            match column {
                Raw::Text(name) if !names.contains(&name) => names.push(name),
                other => {
                    let allowed = "strings, each a different one";
                    return Err(ValidationError::new(format!("{list}, columns"), other.shown(), allowed));
                }
            }
        }
        let values = match rest.remove("rows") {
            Some(Raw::List(rows)) => rows,
            other => {
                return Err(ValidationError::new(
                    format!("{list}, rows"),
                    shown(other.as_ref()),
                    "a list of lists",
                ))
            }
        };
        let mut rows = Vec::with_capacity(values.len());
        for (at, row) in values.into_iter().enumerate() {
            match row {
                Raw::List(cells) if cells.len() == names.len() => rows.push(cells),
                Raw::List(cells) => {
                    let found = format!("{} values", cells.len());
                    let allowed = format!("one for each of the {} columns", names.len());
                    return Err(ValidationError::new(format!("{list}, row {}", at + 1), found, allowed));
                }
                other => {
                    return Err(ValidationError::new(
                        format!("{list}, row {}", at + 1),
                        other.shown(),
                        "a list",
                    ))
                }
            }
        }
        let rows = ColumnarRows { columns: names, rows, rest };
        let mut seen = HashSet::new();
        for item in rows.items(list) {
            let name = item.name()?;
            if !seen.insert(name) {
                return Err(item.invalid("name", "a name that an earlier row has", "a name of its own"));
            }
        }
        Ok(rows)
    }

    /// The rows, for access to their fields. `list` is the list's name in errors.
    pub(crate) fn items<'a>(&'a self, list: &'a str) -> impl Iterator<Item = Item<'a>> {
        let columns = &self.columns;
        self.rows.iter().enumerate().map(move |(at, cells)| Item { list, at, columns, cells })
    }

    /// Adds the rows of `put`; a row replaces an existing one of the same name as a whole. New columns are appended.
    pub(crate) fn put(&mut self, put: &ColumnarRows) {
        let mut places = Vec::with_capacity(put.columns.len());
        for column in &put.columns {
            places.push(self.columns.iter().position(|c| c == column).unwrap_or_else(|| {
                self.columns.push(column.clone());
                self.columns.len() - 1
            }));
        }
        for row in &mut self.rows {
            row.resize(self.columns.len(), Raw::Null);
        }
        let mut by_name = HashMap::new();
        if let Some(name) = self.name_column() {
            for (at, row) in self.rows.iter().enumerate() {
                if let Raw::Text(text) = &row[name] {
                    by_name.insert(text.clone(), at);
                }
            }
        }
        let put_name = put.name_column();
        for cells in &put.rows {
            let mut row = vec![Raw::Null; self.columns.len()];
            for (cell, place) in cells.iter().zip(&places) {
                row[*place] = cell.clone();
            }
            let known = match put_name.map(|name| &cells[name]) {
                Some(Raw::Text(text)) => by_name.get(text),
                _ => None,
            };
            match known {
                Some(at) => self.rows[*at] = row,
                None => self.rows.push(row),
            }
        }
        for (key, value) in &put.rest {
            self.rest.insert(key.clone(), value.clone());
        }
    }

    /// Removes the rows with these names.
    pub(crate) fn remove(&mut self, names: &[String]) {
        let Some(name) = self.name_column() else { return };
        let removed: HashSet<&str> = names.iter().map(String::as_str).collect();
        self.rows.retain(|row| !matches!(&row[name], Raw::Text(text) if removed.contains(text.as_str())));
    }

    fn name_column(&self) -> Option<usize> {
        self.columns.iter().position(|c| c == "name")
    }

    /// Appends the list as JSON.
    pub(crate) fn write(&self, out: &mut String) {
        out.push('{');
        json::field(out, "columns");
        json::list(out, &self.columns, |out, column| Raw::Text(column.clone()).write(out));
        out.push(',');
        json::field(out, "rows");
        json::list(out, &self.rows, |out, row| json::list(out, row, |out, cell| cell.write(out)));
        for (key, value) in &self.rest {
            out.push(',');
            json::field(out, key);
            value.write(out);
        }
        out.push('}');
    }

    /// Converts the list to a JSON value.
    pub(crate) fn into_raw(self) -> Raw {
        let mut fields = self.rest;
        fields.insert("columns".into(), Raw::List(self.columns.into_iter().map(Raw::Text).collect()));
        fields.insert("rows".into(), Raw::List(self.rows.into_iter().map(Raw::List).collect()));
        Raw::Object(fields)
    }
}

/// A value for an error message, `nothing` if it is missing.
fn shown(value: Option<&Raw>) -> String {
    value.map_or_else(|| "nothing".into(), Raw::shown)
}

/// One row of a list.
#[derive(Clone, Copy)]
pub(crate) struct Item<'a> {
    list: &'a str,
    at: usize,
    columns: &'a [String],
    cells: &'a [Raw],
}

impl<'a> Item<'a> {
    /// Creates an error for one field of the row.
    pub(crate) fn invalid(
        &self,
        field: &str,
        found: impl AsRef<str>,
        allowed: impl AsRef<str>,
    ) -> ValidationError {
        let name = match self.get("name") {
            Some(name) => format!(" ({})", name.shown()),
            None => String::new(),
        };
        let place = format!("{}, row {}{name}, {field}", self.list, self.at + 1);
        ValidationError::new(place, found.as_ref(), allowed.as_ref())
    }

    /// The value of a field; `None` if the column is missing or the value is null.
    pub(crate) fn get(&self, field: &str) -> Option<&'a Raw> {
        let at = self.columns.iter().position(|c| c == field)?;
        match &self.cells[at] {
            Raw::Null => None,
            value => Some(value),
        }
    }

    /// Reads an optional field with `read`. Fails if the field has a value and `read` returns `None` for it.
    pub(crate) fn read<T>(
        &self,
        field: &str,
        allowed: &str,
        read: impl Fn(&'a Raw) -> Option<T>,
    ) -> Result<Option<T>, ValidationError> {
        match self.get(field) {
            None => Ok(None),
            Some(value) => match read(value) {
                None => Err(self.invalid(field, value.shown(), allowed)),
                found => Ok(found),
            },
        }
    }

    /// Reads a required field with `read`. Fails if it is missing or `read` returns `None`.
    pub(crate) fn need<T>(
        &self,
        field: &str,
        allowed: &str,
        read: impl Fn(&'a Raw) -> Option<T>,
    ) -> Result<T, ValidationError> {
        self.read(field, allowed, read)?.ok_or_else(|| self.invalid(field, "nothing", allowed))
    }

    /// The name of the item, a non-empty string.
    pub(crate) fn name(&self) -> Result<&'a str, ValidationError> {
        self.need("name", "a string of one character at least", non_empty_text)
    }

    /// Reads an optional list of non-empty strings; empty if the field is missing.
    pub(crate) fn strings(&self, field: &str) -> Result<Vec<String>, ValidationError> {
        let found = self.read(field, "a list of strings, none of them empty", strings)?;
        Ok(found.unwrap_or_default())
    }
}

/// The value as a string.
pub(crate) fn text(value: &Raw) -> Option<&str> {
    match value {
        Raw::Text(text) => Some(text),
        _ => None,
    }
}

/// The value as a non-empty string.
pub(crate) fn non_empty_text(value: &Raw) -> Option<&str> {
    text(value).filter(|text| !text.is_empty())
}

/// The value as a list of non-empty strings.
pub(crate) fn strings(value: &Raw) -> Option<Vec<String>> {
    match value {
        Raw::List(values) => values.iter().map(|value| non_empty_text(value).map(str::to_owned)).collect(),
        _ => None,
    }
}

/// The value as a Boolean.
pub(crate) fn boolean(value: &Raw) -> Option<bool> {
    match value {
        Raw::Bool(flag) => Some(*flag),
        _ => None,
    }
}

/// The value as a finite number of at least 0.
pub(crate) fn non_negative_number(value: &Raw) -> Option<f64> {
    match value {
        Raw::Number(digits) => digits.parse().ok().filter(|n: &f64| n.is_finite() && *n >= 0.0),
        _ => None,
    }
}

/// The value as a whole number of at least 0; `3.0` counts as one.
pub(crate) fn whole_number(value: &Raw) -> Option<u64> {
    // Up to 2^53 every whole number has an exact representation as a float.
    const MAX_EXACT: f64 = 9_007_199_254_740_992.0;
    non_negative_number(value).filter(|n| n.fract() == 0.0 && *n <= MAX_EXACT).map(|n| n as u64)
}

/// The value as a whole number that fits into a `u32`.
pub(crate) fn whole_u32(value: &Raw) -> Option<u32> {
    whole_number(value).and_then(|n| u32::try_from(n).ok())
}
