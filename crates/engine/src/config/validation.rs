//! Validation of a configuration against its JSON Schema, and validation errors with their location.

use regex_lite::Regex;
use serde_json::Value;

/// Location of a key.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Place {
    /// Unknown.
    #[default]
    Nowhere,
    /// Line number in the file, from 1.
    Line(usize),
    /// Name of the environment variable that sets the key.
    Variable(String),
}

/// One step of a path: a table's key or an array index.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// A key of a table.
    Key(String),
    /// Index in an array, from 0.
    Element(usize),
}

/// An invalid, unknown or missing key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ValidationError {
    /// Location of the key.
    pub place: Place,
    /// Path to the key.
    pub path: Vec<Step>,
    /// Message that says what is wrong and what is allowed.
    pub allowed: String,
}

impl ValidationError {
    pub(super) fn at(path: Vec<Step>, allowed: impl Into<String>) -> Self {
        ValidationError { place: Place::Nowhere, path, allowed: allowed.into() }
    }

    /// Formats the path, for example `plans[0].rate`.
    pub fn key(&self) -> String {
        let mut key = String::new();
        for step in &self.path {
            match step {
                Step::Key(name) if key.is_empty() => key.push_str(name),
                Step::Key(name) => key.extend([".", name.as_str()]),
                Step::Element(i) => key.push_str(&format!("[{i}]")),
            }
        }
        key
    }

    /// Formats the error as one line, with the file's name.
    pub fn line(&self, file: &str) -> String {
        match &self.place {
            Place::Line(n) => format!("{file}:{n}: {}: {}", self.key(), self.allowed),
            Place::Variable(name) => format!("{name}: {}: {}", self.key(), self.allowed),
            Place::Nowhere => format!("{file}: {}: {}", self.key(), self.allowed),
        }
    }
}

impl std::fmt::Display for ValidationError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match &self.place {
            Place::Line(n) => write!(f, "line {n}, ")?,
            Place::Variable(name) => write!(f, "{name}, ")?,
            Place::Nowhere => {}
        }
        write!(f, "{}: {}", self.key(), self.allowed)
    }
}

/// Returns the path to `key` in the table at `path`.
pub(super) fn below(path: &[Step], key: &str) -> Vec<Step> {
    path.iter().cloned().chain([Step::Key(key.to_owned())]).collect()
}

/// Validates a value and returns all errors. Supports only the schema keywords that [`super::file`] generates. A test
/// compares the result with the `jsonschema` crate, which is not linked here because it would add more than the rest of
/// the program (5 MB).
pub(super) fn validate(schema: &Value, value: &Value) -> Vec<ValidationError> {
    let mut errors = Vec::new();
    walk(schema, value, &[], &mut errors);
    errors
}

fn walk(schema: &Value, value: &Value, path: &[Step], errors: &mut Vec<ValidationError>) {
    if let Some(why) = scalar(schema, value) {
        return errors.push(ValidationError::at(path.to_vec(), why));
    }
    match value {
        Value::Object(table) => {
            let known = |key: &str| schema["properties"].get(key);
            for key in schema["required"].as_array().into_iter().flatten().filter_map(Value::as_str) {
                if !table.contains_key(key) {
                    let needed = known(key).map_or(String::new(), meaning);
                    errors
                        .push(ValidationError::at(below(path, key), format!("missing; needed is {needed}")));
                }
            }
            for (key, value) in table {
                match known(key) {
                    Some(schema) => walk(schema, value, &below(path, key), errors),
                    None => errors.push(unknown(schema, path, key)),
                }
            }
        }
        Value::Array(elements) => {
            for (i, element) in elements.iter().enumerate() {
                let path: Vec<Step> = path.iter().cloned().chain([Step::Element(i)]).collect();
                walk(&schema["items"], element, &path, errors);
            }
        }
        _ => {}
    }
}

/// Checks a value without its children; returns the message if it is invalid.
fn scalar(schema: &Value, value: &Value) -> Option<String> {
    let found = shown(value);
    if let Some(options) = schema["enum"].as_array() {
        let texts: Vec<String> = options.iter().map(ToString::to_string).collect();
        return (!options.contains(value))
            .then(|| format!("{found} is not allowed; {} are", texts.join(", ")));
    }
    let wanted = schema["type"].as_str().unwrap_or_default();
    if !is_a(wanted, value) {
        return Some(format!("{found} is not allowed; {} is{}", type_of(wanted), range(schema)));
    }
    let bound = |key: &str| schema[key].as_f64();
    let out = value.as_f64().is_some_and(|n| {
        bound("minimum").is_some_and(|least| n < least) || bound("maximum").is_some_and(|most| n > most)
    });
    if out {
        return Some(format!("{found} is not allowed; a number{} is", range(schema)));
    }
    if let (Some(pattern), Some(text)) = (schema["pattern"].as_str(), value.as_str()) {
        let fits = Regex::new(pattern).is_ok_and(|pattern| pattern.is_match(text));
        return (!fits).then(|| format!("{found} is not allowed; {} is", meaning(schema)));
    }
    let count = value.as_array().map(Vec::len)?;
    let least = schema["minItems"].as_u64().unwrap_or(0);
    let most = schema["maxItems"].as_u64().unwrap_or(u64::MAX);
    if (count as u64) < least {
        return Some(format!("at least {least} is needed"));
    }
    (count as u64 > most).then(|| format!("{most} at most are allowed"))
}

fn is_a(wanted: &str, value: &Value) -> bool {
    match wanted {
        "string" => value.is_string(),
        "number" => value.is_number(),
        "integer" => value.is_i64() || value.is_u64() || value.as_f64().is_some_and(|n| n.fract() == 0.0),
        "boolean" => value.is_boolean(),
        "array" => value.is_array(),
        "object" => value.is_object(),
        _ => true,
    }
}

/// Formats a value, cut to 60 characters.
fn shown(value: &Value) -> String {
    let text = value.to_string();
    if text.chars().count() <= 60 {
        return text;
    }
    text.chars().take(57).chain("...".chars()).collect()
}

fn unknown(around: &Value, path: &[Step], key: &str) -> ValidationError {
    let known = around["properties"].as_object();
    let known: Vec<&str> = known.into_iter().flat_map(|p| p.keys().map(String::as_str)).collect();
    ValidationError::at(below(path, key), format!("no such key; allowed are {}", known.join(", ")))
}

/// Returns the schema's description of a key, for use within a sentence.
fn meaning(schema: &Value) -> String {
    let said = schema["description"].as_str().unwrap_or("a value").trim_end_matches('.');
    let mut letters = said.chars();
    let first = letters.next().map(|c| c.to_ascii_lowercase());
    first.into_iter().chain(letters).collect()
}

fn type_of(wanted: &str) -> &'static str {
    match wanted {
        "string" => "text",
        "number" => "a number",
        "integer" => "a whole number",
        "boolean" => "true or false",
        "array" => "a list",
        _ => "a table",
    }
}

fn range(schema: &Value) -> String {
    let bound = |key: &str| schema[key].as_f64();
    match (bound("minimum"), bound("maximum")) {
        (Some(least), Some(most)) => format!(" from {least} to {most}"),
        (Some(least), None) => format!(" from {least}"),
        _ => String::new(),
    }
}
