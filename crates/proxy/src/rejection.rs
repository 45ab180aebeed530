//! Answers of the proxy itself to requests for which no server's answer is forwarded.

use crate::limiter_settings::MAX_RETRY_AFTER;
use http::header::{HeaderValue, CONTENT_TYPE, RETRY_AFTER};
use http::{Response, StatusCode};
use oatbank_cluster_state::state::Millis;
use oatbank_engine::body::Body;
use oatbank_node_runtime::error_kind::ErrorKind;

/// Reason for which a request gets no server's answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rejection {
    /// The kind of error.
    pub kind: ErrorKind,
    /// Time after which the client may retry, ms; 0 if unspecified.
    pub retry_after: Millis,
}

impl Rejection {
    /// Creates a rejection without a retry time.
    pub fn new(kind: ErrorKind) -> Self {
        Rejection { kind, retry_after: 0.0 }
    }

    /// Creates a rejection with the time after which the client may retry, ms.
    pub fn with_retry_after(kind: ErrorKind, retry_after: Millis) -> Self {
        Rejection { kind, retry_after }
    }

    /// The HTTP response; with `Retry-After` if a retry time is set and the request certainly was not executed.
    pub fn response(&self) -> Response<Body> {
        let mut response = Response::new(Body::from(self.kind.code()));
        *response.status_mut() = StatusCode::from_u16(self.kind.status()).unwrap_or(StatusCode::BAD_GATEWAY);
        if self.retry_after > 0.0 && self.kind.promises_nothing_done() {
            let seconds = format!("{:.3}", self.retry_after.min(MAX_RETRY_AFTER).ceil() / 1000.0);
            if let Ok(value) = HeaderValue::try_from(seconds) {
                response.headers_mut().insert(RETRY_AFTER, value);
            }
        }
        response
    }

    /// The HTTP response to an at-most-once request: its text says whether the request may have run, and at which `server` if
    /// that is known.
    pub fn response_at_most_once(&self, try_id: &str, server: Option<&str>) -> Response<Body> {
        let certainty = match (self.kind.promises_nothing_done(), server) {
            (true, _) => "has not run and never will".to_owned(),
            (false, Some(server)) => format!("may have run; server {server}"),
            (false, None) => "may have run".to_owned(),
        };
        let text = format!("{}: {certainty}; try {try_id}\n", self.kind.code());
        let mut response = self.response();
        *response.body_mut() = Body::from(bytes::Bytes::from(text));
        response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
        response
    }
}
