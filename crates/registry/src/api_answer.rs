//! Answers of the API.

use miniserde::json::{Object, Value};
use oatbank_node_runtime::error_kind::ErrorKind;

/// An HTTP status with a JSON body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ApiAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The JSON body.
    pub body: String,
}

impl ApiAnswer {
    /// Creates an answer with status 200 and an empty object.
    pub fn ok() -> ApiAnswer {
        ApiAnswer::with_text("{}".into())
    }

    /// Creates an answer with status 200 and this body, which must be JSON.
    pub fn with_text(body: String) -> ApiAnswer {
        ApiAnswer { status: 200, body }
    }

    /// Creates an answer with status 200 and this value.
    pub fn with_value(value: &Value) -> ApiAnswer {
        ApiAnswer::with_text(miniserde::json::to_string(value))
    }

    /// Creates an answer with the status of `kind`, whose body holds the kind and the problem.
    pub fn error(kind: ErrorKind, problem: impl Into<String>) -> ApiAnswer {
        let body = object(vec![
            ("problem", Value::String(problem.into())),
            ("kind", Value::String(kind.code().into())),
        ]);
        ApiAnswer { status: kind.status(), body: miniserde::json::to_string(&body) }
    }
}

/// Creates a JSON object with these fields.
pub(crate) fn object(fields: Vec<(&str, Value)>) -> Value {
    let mut object = Object::new();
    for (name, value) in fields {
        object.insert(name.to_owned(), value);
    }
    Value::Object(object)
}
