//! Parses the text of a configuration into a value with the location of each key, and applies overrides by environment
//! variables.

use super::validation::{Place, Step, ValidationError};
use super::OVERRIDE;
use serde_json::{Map, Number, Value};
use toml::de::{DeTable, DeValue};
use toml::Spanned;

/// Parsed text with overrides applied, and the overrides that failed.
pub(super) struct Read<'t> {
    pub(super) value: Value,
    pub(super) places: Places<'t>,
    pub(super) errors: Vec<ValidationError>,
}

impl<'t> Read<'t> {
    pub(super) fn new(
        text: &'t str,
        variables: impl Iterator<Item = (String, String)>,
    ) -> Result<Self, toml::de::Error> {
        let mut value = json(toml::Value::Table(toml::from_str(text)?));
        let mut places = Places { text, table: DeTable::parse(text)?, overridden: Vec::new() };
        let mut errors = Vec::new();
        // Sorted, as the system's order is arbitrary: one variable may add an array element and the next may fill it.
        let mut variables: Vec<(String, String)> =
            variables.filter(|(name, _)| name.starts_with(OVERRIDE)).collect();
        variables.sort();
        for (name, said) in variables {
            let path = steps(&name[OVERRIDE.len()..]);
            if let Err(why) = put(&mut value, &path, scalar(&said)) {
                errors.push(ValidationError::at(path.clone(), why));
            }
            places.overridden.push((path, name));
        }
        Ok(Read { value, places, errors })
    }
}

/// Locations of the keys.
pub(super) struct Places<'t> {
    text: &'t str,
    table: Spanned<DeTable<'t>>,
    overridden: Vec<(Vec<Step>, String)>,
}

impl Places<'_> {
    /// Returns the location of a key, or of the nearest enclosing table that exists.
    pub(super) fn of(&self, path: &[Step]) -> Place {
        let named = |(there, _): &&(Vec<Step>, String)| path.starts_with(there) || there.starts_with(path);
        if let Some((_, name)) = self.overridden.iter().rev().find(named) {
            if !path.is_empty() {
                return Place::Variable(name.clone());
            }
        }
        let at = self.offset(path);
        Place::Line(1 + self.text.as_bytes()[..at].iter().filter(|b| **b == b'\n').count())
    }

    fn offset(&self, path: &[Step]) -> usize {
        let Some((Step::Key(first), rest)) = path.split_first() else { return 0 };
        let Some((key, mut value)) = self.table.get_ref().get_key_value(first.as_str()) else { return 0 };
        let mut at = key.span().start;
        for step in rest {
            match (step, value.get_ref()) {
                (Step::Key(name), DeValue::Table(table)) => match table.get_key_value(name.as_str()) {
                    Some((key, below)) => (at, value) = (key.span().start, below),
                    None => return at,
                },
                (Step::Element(i), DeValue::Array(elements)) => match elements.get(*i) {
                    Some(below) => (at, value) = (below.span().start, below),
                    None => return at,
                },
                _ => return at,
            }
        }
        at.min(self.text.len())
    }
}

/// Parses a variable name without its prefix: `PLANS__0__RATE` is the path of `plans[0].rate`.
fn steps(name: &str) -> Vec<Step> {
    let step = |part: &str| part.parse().map_or_else(|_| Step::Key(part.to_ascii_lowercase()), Step::Element);
    name.split("__").map(step).collect()
}

/// Parses a variable's text as a TOML value, or takes it as a string if it is none.
fn scalar(said: &str) -> Value {
    let line = format!("value = {said}");
    let read = toml::from_str::<toml::Table>(&line).ok().filter(|t| t.len() == 1);
    let value = read.and_then(|mut table| table.remove("value"));
    value.map_or_else(|| Value::String(said.to_owned()), json)
}

/// Sets the value at `path`, creating missing tables and arrays. An index may append to its array by one.
///
/// # Errors
/// An index is out of range, or a step does not match the type of the value there.
fn put(at: &mut Value, path: &[Step], new: Value) -> Result<(), String> {
    let Some((step, rest)) = path.split_first() else {
        *at = new;
        return Ok(());
    };
    if at.is_null() {
        *at = match step {
            Step::Key(_) => Value::Object(Map::new()),
            Step::Element(_) => Value::Array(Vec::new()),
        };
    }
    match (step, at) {
        (Step::Key(name), Value::Object(table)) => put(table.entry(name).or_insert(Value::Null), rest, new),
        (Step::Element(i), Value::Array(elements)) => {
            if *i == elements.len() {
                elements.push(Value::Null);
            }
            let there = elements.len();
            let element = elements.get_mut(*i).ok_or_else(|| format!("0 to {there} are allowed here"))?;
            put(element, rest, new)
        }
        (Step::Key(name), _) => Err(format!("{name:?} is a key, but its parent is not a table")),
        (Step::Element(_), _) => Err("a number is an index, but its parent is not a list".into()),
    }
}

/// Converts TOML to JSON. Values without a JSON form (NaN, infinity, dates) become strings, which validation rejects
/// where a number is expected.
fn json(value: toml::Value) -> Value {
    match value {
        toml::Value::String(text) => Value::String(text),
        toml::Value::Integer(n) => n.into(),
        toml::Value::Float(n) => Number::from_f64(n).map_or_else(|| n.to_string().into(), Value::Number),
        toml::Value::Boolean(b) => b.into(),
        toml::Value::Datetime(d) => d.to_string().into(),
        toml::Value::Array(elements) => elements.into_iter().map(json).collect(),
        toml::Value::Table(table) => table.into_iter().map(|(k, v)| (k, json(v))).collect(),
    }
}
