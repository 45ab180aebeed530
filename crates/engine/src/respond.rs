//! Answers that the limiter gives itself, as HTTP.

use crate::classify::Rejection;
use crate::engine::Answer;
use crate::handle::Ended;
use http::header::{HeaderValue, RETRY_AFTER};
use http::{Response, StatusCode};
use topazwind::interface::Millis;

/// A response that the limiter words itself.
pub fn plain<B: From<&'static str>>(status: StatusCode, text: &'static str) -> Response<B> {
    let mut response = Response::new(B::from(text));
    *response.status_mut() = status;
    response
}

/// The response to a request that cannot be classified.
pub fn rejected<B: From<&'static str>>(rejection: Rejection) -> Response<B> {
    plain(rejection.status, rejection.why)
}

fn refused<B: From<&'static str>>(status: StatusCode, why: &'static str, wait: Millis) -> Response<B> {
    let mut response = plain(status, why);
    if wait > 0.0 {
        if let Ok(wait) = HeaderValue::try_from(format!("{:.3}", wait / 1000.0)) {
            response.headers_mut().insert(RETRY_AFTER, wait);
        }
    }
    response
}

/// The response that carries a final answer; one that was served is passed to `served`.
pub fn answered<A, B: From<&'static str>>(
    answer: Answer<A>,
    served: impl FnOnce(A) -> Response<B>,
) -> Response<B> {
    match answer {
        Answer::Served(answer) => served(answer),
        Answer::Refused(wait) => refused(StatusCode::TOO_MANY_REQUESTS, "over the quota or too busy\n", wait),
        Answer::Failed => plain(StatusCode::BAD_GATEWAY, "no answer from the servers\n"),
        Answer::TimedOut => plain(StatusCode::GATEWAY_TIMEOUT, "no answer in time\n"),
    }
}

/// The response to a request that ended so; one that was served is passed to `served`.
pub fn ended<A, B: From<&'static str>>(
    ended: Ended<A>,
    served: impl FnOnce(A) -> Response<B>,
) -> Response<B> {
    match ended {
        Ended::Answered(answer) => answered(answer, served),
        Ended::NotTaken(wait) => {
            refused(StatusCode::SERVICE_UNAVAILABLE, "too many requests wait for the limiter\n", wait)
        }
        Ended::Lost => plain(StatusCode::BAD_GATEWAY, "the limiter has ended\n"),
    }
}
