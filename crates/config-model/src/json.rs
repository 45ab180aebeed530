//! Parsing and writing JSON with the original digits of every number.
//!
//! A value must be returned exactly as it was sent. The JSON parser's floats are off by the last bit for some numbers
//! of 17 digits, and its integers are limited to 64 bits. Every number other than a plain integer is therefore passed
//! to it as a marked string and kept as text. The mark is a NUL, which no string in a body may contain.

use crate::validation_error::ValidationError;
use miniserde::json::{self, Number, Value};
use std::borrow::Cow;
use std::collections::BTreeMap;

/// Limit of nested lists and objects, as values are processed recursively. Valid bodies need six levels.
const MAX_DEPTH: usize = 64;
/// Prefix of a number that is passed to the parser as a string.
const MARK: char = '\0';
/// Integers of up to this many digits are parsed exactly.
const MAX_PLAIN_DIGITS: usize = 18;

/// A JSON value.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Raw {
    Null,
    Bool(bool),
    /// A number in its original digits.
    Number(Box<str>),
    Text(String),
    List(Vec<Raw>),
    Object(BTreeMap<String, Raw>),
}

impl Raw {
    /// Parses a complete JSON text.
    pub(crate) fn read(body: &[u8]) -> Result<Raw, ValidationError> {
        let broken = |found: &str| ValidationError::new("body", found, "one whole JSON value in UTF-8");
        let text = std::str::from_utf8(body).map_err(|_| broken("bytes that are not UTF-8"))?;
        let marked = mark(text)?;
        let value: Value = json::from_str(&marked).map_err(|_| {
            broken(&format!("{} bytes that are not valid JSON, or are incomplete", body.len()))
        })?;
        Raw::from_value(value)
    }

    fn from_value(value: Value) -> Result<Raw, ValidationError> {
        Ok(match value {
            Value::Null => Raw::Null,
            Value::Bool(flag) => Raw::Bool(flag),
            Value::Number(number) => Raw::Number(number.to_string().into()),
            Value::String(text) => match text.strip_prefix(MARK) {
                Some(digits) => Raw::Number(digits.into()),
                None => Raw::Text(text),
            },
            Value::Array(values) => {
                Raw::List(values.into_iter().map(Raw::from_value).collect::<Result<_, _>>()?)
            }
            Value::Object(fields) => {
                let mut object = BTreeMap::new();
                for (key, value) in fields {
                    if key.starts_with(MARK) {
                        return Err(ValidationError::new("body", "a number as a field name", "a string"));
                    }
                    object.insert(key, Raw::from_value(value)?);
                }
                Raw::Object(object)
            }
        })
    }

    /// Appends the value as JSON, with the fields of objects sorted by name.
    pub(crate) fn write(&self, out: &mut String) {
        match self {
            Raw::Null => out.push_str("null"),
            Raw::Bool(flag) => out.push_str(if *flag { "true" } else { "false" }),
            Raw::Number(digits) => out.push_str(digits),
            Raw::Text(text) => out.push_str(&json::to_string(text)),
            Raw::List(values) => list(out, values, |out, value| value.write(out)),
            Raw::Object(fields) => {
                out.push('{');
                for (at, (key, value)) in fields.iter().enumerate() {
                    if at > 0 {
                        out.push(',');
                    }
                    field(out, key);
                    value.write(out);
                }
                out.push('}');
            }
        }
    }

    /// The value as JSON for an error message, truncated if it is long.
    pub(crate) fn shown(&self) -> String {
        const MAX_SHOWN_CHARS: usize = 80;
        let mut text = String::new();
        self.write(&mut text);
        if let Some((cut, _)) = text.char_indices().nth(MAX_SHOWN_CHARS) {
            text.truncate(cut);
            text.push_str("...");
        }
        text
    }
}

/// Appends a JSON list whose values are written by `write`.
pub(crate) fn list<T>(out: &mut String, values: &[T], write: impl Fn(&mut String, &T)) {
    out.push('[');
    for (at, value) in values.iter().enumerate() {
        if at > 0 {
            out.push(',');
        }
        write(out, value);
    }
    out.push(']');
}

/// Appends a field name and a colon.
pub(crate) fn field(out: &mut String, name: &str) {
    out.push_str(&json::to_string(name));
    out.push(':');
}

/// Replaces every number that is not a plain integer by a marked string. Text that is not JSON does not become JSON by it.
fn mark(text: &str) -> Result<Cow<'_, str>, ValidationError> {
    let bytes = text.as_bytes();
    let (mut out, mut copied, mut at, mut depth) = (String::new(), 0, 0, 0usize);
    while at < bytes.len() {
        match bytes[at] {
            b'"' => at = end_of_string(bytes, at)?,
            b'[' | b'{' => {
                depth += 1;
                if depth > MAX_DEPTH {
                    let allowed = format!("at most {MAX_DEPTH} levels");
                    return Err(ValidationError::new(
                        "body",
                        "a deeper nesting of lists and objects",
                        allowed,
                    ));
                }
                at += 1;
            }
            b']' | b'}' => {
                depth = depth.saturating_sub(1);
                at += 1;
            }
            b'-' | b'0'..=b'9' => {
                let more = bytes[at..]
                    .iter()
                    .take_while(|b| matches!(b, b'0'..=b'9' | b'+' | b'-' | b'.' | b'e' | b'E'));
                let end = at + more.count();
                let token = &text[at..end];
                if !is_plain(token) && is_number(token) {
                    out.push_str(&text[copied..at]);
                    out.push_str("\"\\u0000");
                    out.push_str(token);
                    out.push('"');
                    copied = end;
                }
                at = end;
            }
            _ => at += 1,
        }
    }
    if copied == 0 {
        return Ok(Cow::Borrowed(text));
    }
    out.push_str(&text[copied..]);
    Ok(Cow::Owned(out))
}

/// The position after the string that begins at `open`. Fails if the string contains an escaped NUL.
fn end_of_string(bytes: &[u8], open: usize) -> Result<usize, ValidationError> {
    let mut at = open + 1;
    while at < bytes.len() {
        match bytes[at] {
            b'"' => return Ok(at + 1),
            b'\\' if bytes[at..].starts_with(b"\\u0000") => {
                return Err(ValidationError::new(
                    "body",
                    "a string that contains a NUL",
                    "any other character",
                ));
            }
            b'\\' => at += 2,
            _ => at += 1,
        }
    }
    Ok(bytes.len())
}

/// Whether the token is an integer that the JSON parser returns unchanged.
fn is_plain(token: &str) -> bool {
    let digits = token.strip_prefix('-').unwrap_or(token);
    digits.len() <= MAX_PLAIN_DIGITS && digits.bytes().all(|b| b.is_ascii_digit()) && token != "-0"
}

fn is_number(token: &str) -> bool {
    json::from_str::<Number>(token).is_ok()
}
