//! JSON text to values and back, each number kept in the digits it came in.
//!
//! What is read back must be what was put. The reader's own floats are off by the last bit for some numbers of 17
//! digits, and its integers end at 64 bits, so every number other than a plain integer is handed to it as a marked
//! string and kept as text. The mark is a NUL, which no string of a body may hold.

use crate::validation_error::ValidationError;
use miniserde::json::{self, Number, Value};
use std::borrow::Cow;
use std::collections::BTreeMap;

/// How deep lists and objects may lie in each other. Bodies need six; values are walked recursively.
const DEEPEST: usize = 64;
/// Stands before a number that was handed on as a string.
const MARK: char = '\0';
/// Integers of this many digits are read exactly.
const PLAIN_DIGITS: usize = 18;

/// A JSON value.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Raw {
    Null,
    Bool(bool),
    /// In the digits it came in.
    Number(Box<str>),
    Text(String),
    List(Vec<Raw>),
    Object(BTreeMap<String, Raw>),
}

impl Raw {
    /// Reads a whole text.
    pub(crate) fn read(body: &[u8]) -> Result<Raw, ValidationError> {
        let broken = |found: &str| ValidationError::new("body", found, "one whole JSON value in UTF-8");
        let text = std::str::from_utf8(body).map_err(|_| broken("bytes that are not UTF-8"))?;
        let marked = mark(text)?;
        let value: Value = json::from_str(&marked).map_err(|_| {
            broken(&format!("{} bytes that do not read as that, or not to their end", body.len()))
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
                        return Err(ValidationError::new(
                            "body",
                            "a number as the name of a field",
                            "a string",
                        ));
                    }
                    object.insert(key, Raw::from_value(value)?);
                }
                Raw::Object(object)
            }
        })
    }

    /// Appends the value as JSON, fields of objects in the order of their names.
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

    /// The value for an error's text, cut if it is long.
    pub(crate) fn shown(&self) -> String {
        const LONGEST: usize = 80;
        let mut text = String::new();
        self.write(&mut text);
        if let Some((cut, _)) = text.char_indices().nth(LONGEST) {
            text.truncate(cut);
            text.push_str("...");
        }
        text
    }
}

/// Appends a list, each of its values by `write`.
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

/// Appends the name of a field and its colon.
pub(crate) fn field(out: &mut String, name: &str) {
    out.push_str(&json::to_string(name));
    out.push(':');
}

/// The text with every number that is not a plain integer as a marked string. What is not JSON stays that.
fn mark(text: &str) -> Result<Cow<'_, str>, ValidationError> {
    let bytes = text.as_bytes();
    let (mut out, mut copied, mut at, mut depth) = (String::new(), 0, 0, 0usize);
    while at < bytes.len() {
        match bytes[at] {
            b'"' => at = past_string(bytes, at)?,
            b'[' | b'{' => {
                depth += 1;
                if depth > DEEPEST {
                    let allowed = format!("at most {DEEPEST}");
                    return Err(ValidationError::new(
                        "body",
                        "more lists and objects in each other",
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

/// Where the string that opens at `open` is over.
fn past_string(bytes: &[u8], open: usize) -> Result<usize, ValidationError> {
    let mut at = open + 1;
    while at < bytes.len() {
        match bytes[at] {
            b'"' => return Ok(at + 1),
            b'\\' if bytes[at..].starts_with(b"\\u0000") => {
                return Err(ValidationError::new("body", "a string with a NUL in it", "any other character"));
            }
            b'\\' => at += 2,
            _ => at += 1,
        }
    }
    Ok(bytes.len())
}

/// Is it an integer that the reader gives back as it is?
fn is_plain(token: &str) -> bool {
    let digits = token.strip_prefix('-').unwrap_or(token);
    digits.len() <= PLAIN_DIGITS && digits.bytes().all(|b| b.is_ascii_digit()) && token != "-0"
}

fn is_number(token: &str) -> bool {
    json::from_str::<Number>(token).is_ok()
}
