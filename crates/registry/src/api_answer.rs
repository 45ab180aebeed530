//! What a call to the API is answered with.

use miniserde::json::{Object, Value};
use oatbank_node_runtime::error_kind::ErrorKind;

/// An answer: a status and a JSON body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ApiAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The body, JSON.
    pub body: String,
}

impl ApiAnswer {
    /// 200 with an empty object.
    pub fn ok() -> ApiAnswer {
        ApiAnswer::with_text("{}".into())
    }

    /// 200 with this text, which is JSON already.
    pub fn with_text(body: String) -> ApiAnswer {
        ApiAnswer { status: 200, body }
    }

    /// 200 with this value.
    pub fn with_value(value: &Value) -> ApiAnswer {
        ApiAnswer::with_text(miniserde::json::to_string(value))
    }

    /// The status of the kind, with the kind and what is wrong.
    pub fn error(kind: ErrorKind, problem: impl Into<String>) -> ApiAnswer {
        let body = object(vec![
            ("problem", Value::String(problem.into())),
            ("kind", Value::String(kind.code().into())),
        ]);
        ApiAnswer { status: kind.status(), body: miniserde::json::to_string(&body) }
    }
}

/// A JSON object with these fields.
pub(crate) fn object(fields: Vec<(&str, Value)>) -> Value {
    let mut object = Object::new();
    for (name, value) in fields {
        object.insert(name.to_owned(), value);
    }
    Value::Object(object)
}
