//! HTTP responses that the limiter generates itself.

use crate::classify::Rejection;
use crate::engine::Answer;
use crate::handle::CallResult;
use http::header::{HeaderMap, HeaderName, HeaderValue, RETRY_AFTER};
use http::{Response, StatusCode};
use oatbank_limiter_core::interface::Millis;

/// Returns a response with the given status and text body.
pub fn plain<B: From<&'static str>>(status: StatusCode, text: &'static str) -> Response<B> {
    let mut response = Response::new(B::from(text));
    *response.status_mut() = status;
    response
}

/// Returns the response to a request that cannot be classified.
pub fn rejected<B: From<&'static str>>(rejection: Rejection) -> Response<B> {
    plain(rejection.status, rejection.why)
}

/// Header with the wait in decimal seconds, sent where `Retry-After` holds whole seconds.
pub const EXACT_RETRY_AFTER: HeaderName = HeaderName::from_static("x-oatbank-retry-after");

/// Format in which a refusal states the time to wait before a retry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RetryAfterFormat {
    /// Whole seconds, rounded up, in `Retry-After` (RFC 9110, 10.2.3), and decimal ones in
    /// [`EXACT_RETRY_AFTER`].
    #[default]
    Standard,
    /// Decimal seconds in `Retry-After`, as the platform's clients read it.
    Decimal,
}

impl RetryAfterFormat {
    fn set_headers(self, headers: &mut HeaderMap, wait: Millis) {
        if wait.is_nan() || wait <= 0.0 {
            return;
        }
        // Rounded up to the format's precision: a client never retries too early and never reads a wait of 0.
        let exact = format!("{:.3}", wait.ceil() / 1000.0);
        let whole = format!("{:.0}", (wait / 1000.0).ceil());
        let values = match self {
            RetryAfterFormat::Decimal => [(RETRY_AFTER, Some(exact)), (EXACT_RETRY_AFTER, None)],
            RetryAfterFormat::Standard => [(RETRY_AFTER, Some(whole)), (EXACT_RETRY_AFTER, Some(exact))],
        };
        for (name, text) in values {
            if let Some(value) = text.and_then(|text| HeaderValue::try_from(text).ok()) {
                headers.insert(name, value);
            }
        }
    }
}

fn refused<B: From<&'static str>>(
    status: StatusCode,
    why: &'static str,
    wait: Millis,
    form: RetryAfterFormat,
) -> Response<B> {
    let mut response = plain(status, why);
    form.set_headers(response.headers_mut(), wait);
    response
}

/// Returns the response for a final answer. `served` converts the answer of a server.
pub fn answered<A, B: From<&'static str>>(
    answer: Answer<A>,
    form: RetryAfterFormat,
    served: impl FnOnce(A) -> Response<B>,
) -> Response<B> {
    match answer {
        Answer::Served(answer) => served(answer),
        Answer::Refused(wait) => {
            refused(StatusCode::TOO_MANY_REQUESTS, "over the quota or too busy\n", wait, form)
        }
        Answer::Failed => plain(StatusCode::BAD_GATEWAY, "no answer from the servers\n"),
        Answer::TimedOut => plain(StatusCode::GATEWAY_TIMEOUT, "no answer in time\n"),
    }
}

/// Returns the response for the result of a call to the engine. `served` converts the answer of a server.
pub fn ended<A, B: From<&'static str>>(
    ended: CallResult<A>,
    served: impl FnOnce(A) -> Response<B>,
) -> Response<B> {
    match ended {
        CallResult::Answered(answer) => answered(answer, RetryAfterFormat::Standard, served),
        CallResult::NotAccepted(wait) => {
            let why = "too many requests wait for the limiter\n";
            refused(StatusCode::SERVICE_UNAVAILABLE, why, wait, RetryAfterFormat::Standard)
        }
        CallResult::Lost => plain(StatusCode::BAD_GATEWAY, "the limiter has ended\n"),
    }
}

#[cfg(test)]
mod tests;
