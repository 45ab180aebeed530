//! Dialect of servers that echo a try id: a response counts only for the try whose id it carries.
//!
//! | response | outcome |
//! | --- | --- |
//! | without the try's id, or with another | the connection is out of sync: reset, closed, passed to no client |
//! | 400, 408, 429 or 503 with the not-run header | full: the request has not run |
//! | 421 | connect failure: another server has the address, the request has not run |
//! | with a content coding, or a success without the seal | unusable: an error, closed |
//! | a success with the seal | passed to the client |
//! | any other | an error; passed to the client if no attempt gives a better response |
//!
//! The same status means different things on the two sides of the proxy. From a server, only the header and 421 say that
//! the request has not run. To a client, 408, 421, 429 and 503 say so by themselves. Without the header, such a response
//! is therefore marked as [`Verdict::asserts_not_run`], and is not passed to the client of an at-most-once request.

use super::http1::{Dialect, Forward, Verdict};
use crate::body::Body;
use crate::ports::upstream::AttemptJob;
use http::header::{HeaderMap, HeaderName, HeaderValue};
use http::header::{CONNECTION, CONTENT_ENCODING, CONTENT_LENGTH, EXPECT, HOST, RETRY_AFTER};
use http::header::{TE, TRAILER, TRANSFER_ENCODING, UPGRADE};
use http::response::{Parts, Response};
use http::{Method, StatusCode, Version};
use oatbank_limiter_core::interface::{Millis, Outcome};
use std::time::Duration;

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
/// Prefix of hop-by-hop proxy headers.
const PROXY_PREFIX: &str = "proxy-";

/// Header names of the dialect.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// Id of a try, which its response echoes.
    pub try_id: HeaderName,
    /// Time that the server has for the request, ms.
    pub time_left: HeaderName,
    /// Present on each success that the server itself generated.
    pub seal: HeaderName,
    /// Customer that sent the request.
    pub customer: HeaderName,
    /// Id of the server to which the request is sent.
    pub meant_server: HeaderName,
    /// Present on the response to a request that was not run.
    pub not_run: HeaderName,
    /// Time to wait before a retry.
    pub retry_after: HeaderName,
}

impl Default for HeaderNames {
    fn default() -> Self {
        HeaderNames {
            try_id: HeaderName::from_static("try-id"),
            time_left: HeaderName::from_static("time-left-ms"),
            seal: HeaderName::from_static("server-seal"),
            customer: HeaderName::from_static("customer"),
            meant_server: HeaderName::from_static("meant-server"),
            not_run: HeaderName::from_static("not-run"),
            retry_after: RETRY_AFTER,
        }
    }
}

/// Dialect that matches each response to its try by id.
#[derive(Clone, Debug)]
pub struct TryIdDialect {
    /// Header names.
    pub names: HeaderNames,
    /// Largest body that is buffered completely, bytes.
    pub held: usize,
    /// Largest body that is streamed, bytes.
    pub longest: u64,
    /// TCP user timeout: a connection whose sent data is not acknowledged for this long is broken.
    pub unconfirmed: Duration,
}

impl Default for TryIdDialect {
    fn default() -> Self {
        TryIdDialect {
            names: HeaderNames::default(),
            held: 1024 * 1024,
            longest: crate::body::MAX_BODY_BYTES,
            unconfirmed: Duration::from_millis(2500),
        }
    }
}

impl TryIdDialect {
    /// Whether the response carries exactly one try id, that of this try.
    fn has_matching_try_id(&self, job: &AttemptJob<Forward>, answer: &HeaderMap) -> bool {
        let id = job.request.headers.get(&self.names.try_id);
        let mut ids = answer.get_all(&self.names.try_id).iter();
        id.is_some() && ids.next() == id && ids.next().is_none()
    }

    fn outcome(&self, head: &Parts) -> Outcome {
        let not_run = head.headers.contains_key(&self.names.not_run);
        match head.status {
            StatusCode::MISDIRECTED_REQUEST => Outcome::ConnectFailed,
            StatusCode::BAD_REQUEST if not_run => Outcome::Full,
            status if not_run && asserts_not_run(status) => Outcome::Full,
            status if status.is_success() => Outcome::Ok,
            _ => Outcome::Error,
        }
    }

    fn is_sealed(&self, head: &Parts) -> bool {
        !head.status.is_success() || head.headers.contains_key(&self.names.seal)
    }
}

impl Dialect for TryIdDialect {
    type Answer = Response<Body>;

    fn address(&self, job: &AttemptJob<Forward>, headers: &mut HeaderMap) {
        // HTTP/1.0 clients may send no Host header.
        if !headers.contains_key(HOST) {
            if let Ok(host) = HeaderValue::try_from(job.address.to_string()) {
                headers.insert(HOST, host);
            }
        }
        headers.insert(&self.names.time_left, HeaderValue::from(job.span.max(0.0) as u64));
        headers.remove(&self.names.meant_server);
        if let Ok(name) = HeaderValue::try_from(&*job.name) {
            headers.insert(&self.names.meant_server, name);
        }
    }

    fn classify(&self, job: &AttemptJob<Forward>, head: &Parts) -> Verdict {
        if !self.has_matching_try_id(job, &head.headers) {
            return Verdict::unusable(Outcome::Reset);
        }
        let outcome = self.outcome(head);
        match outcome {
            // Another server now has the address, so the connection is not reused.
            Outcome::ConnectFailed => return Verdict::unusable(outcome),
            Outcome::Full => {}
            _ if head.headers.contains_key(CONTENT_ENCODING) || !self.is_sealed(head) => {
                return Verdict::unusable(Outcome::Error)
            }
            _ => {}
        }
        let bodiless = job.request.method == Method::HEAD
            || matches!(head.status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
        let given = matches!(outcome, Outcome::Ok | Outcome::Error);
        Verdict {
            given,
            asserts_not_run: asserts_not_run(head.status),
            bodiless,
            keeps: keep_alive_timeout(&head.headers),
            ..Verdict::new(outcome)
        }
    }

    fn answer(&self, mut head: Parts, body: Body) -> Response<Body> {
        // The framing of the server's connection does not apply to the client's connection.
        head.version = Version::HTTP_11;
        remove_hop_headers(&mut head.headers);
        Response::from_parts(head, body)
    }

    fn held(&self) -> usize {
        self.held
    }

    fn longest(&self) -> u64 {
        self.longest
    }

    fn allows_unannounced_end(&self) -> bool {
        // These servers may leave out the length and need not announce that the answer ends with its connection.
        true
    }

    fn unconfirmed(&self) -> Option<Duration> {
        Some(self.unconfirmed)
    }
}

/// Whether clients take this status as an assertion that the request has not run and never will.
fn asserts_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

/// Parses the server's idle timeout, ms, from `Keep-Alive`; `None` if it states none, 0 if the value is invalid.
fn keep_alive_timeout(headers: &HeaderMap) -> Option<Millis> {
    let values = headers.get_all(&KEEP_ALIVE).iter().filter_map(|v| v.to_str().ok());
    let mut fields = values.flat_map(|v| v.split(',')).filter_map(|field| field.split_once('='));
    let (_, seconds) = fields.find(|(name, _)| name.trim().eq_ignore_ascii_case("timeout"))?;
    // An invalid value may mean any timeout, so the connection is not reused.
    Some(seconds.trim().trim_matches('"').parse::<u32>().map_or(0.0, |s| f64::from(s) * 1000.0))
}

/// Removes hop-by-hop headers and the headers listed in `Connection` (RFC 9110, 7.6.1).
fn remove_hop_headers(headers: &mut HeaderMap) {
    let values = headers.get_all(CONNECTION).iter().filter_map(|v| v.to_str().ok());
    let named = values.flat_map(|v| v.split(',')).filter_map(|name| name.trim().parse::<HeaderName>().ok());
    let proxy = headers.keys().filter(|name| name.as_str().starts_with(PROXY_PREFIX)).cloned();
    // `Connection` must not remove `Content-Length` or `Host`: without the length the end of the message is unknown.
    let mut hop: Vec<HeaderName> =
        named.chain(proxy).filter(|n| *n != CONTENT_LENGTH && *n != HOST).collect();
    hop.extend([CONNECTION, KEEP_ALIVE, TRANSFER_ENCODING, UPGRADE, TE, TRAILER]);
    for name in hop {
        headers.remove(name);
    }
}

/// Returns the headers of a client's request that are forwarded to a server: all but the hop-by-hop headers and `Expect`,
/// which the limiter answers itself.
pub fn headers_on(headers: &HeaderMap) -> HeaderMap {
    let mut on = headers.clone();
    remove_hop_headers(&mut on);
    on.remove(EXPECT);
    on
}

#[cfg(test)]
mod tests {
    use super::*;

    fn headers(lines: &[(&'static str, &'static str)]) -> HeaderMap {
        let line = |(name, value): &(&'static str, &'static str)| {
            (HeaderName::from_static(name), HeaderValue::from_static(value))
        };
        let mut headers = HeaderMap::new();
        lines.iter().map(line).for_each(|(name, value)| _ = headers.append(name, value));
        headers
    }

    #[test]
    fn hop_by_hop_headers_are_not_forwarded() {
        let on = headers_on(&headers(&[
            ("connection", "close, X-Hop"),
            ("connection", "content-length"),
            ("keep-alive", "timeout=5"),
            ("transfer-encoding", "chunked"),
            ("upgrade", "h2c"),
            ("te", "trailers"),
            ("trailer", "x"),
            ("proxy-authorization", "x"),
            ("proxy-connection", "keep-alive"),
            ("x-hop", "1"),
            ("expect", "100-continue"),
            ("host", "shop"),
            ("content-length", "3"),
            ("set-cookie", "a"),
            ("set-cookie", "b"),
        ]));
        let want = [("host", "shop"), ("content-length", "3"), ("set-cookie", "a"), ("set-cookie", "b")];
        assert_eq!(on, headers(&want));
    }

    #[test]
    fn keep_alive_timeout_is_parsed_and_an_invalid_one_is_zero() {
        for (text, want) in [
            ("timeout=5", 5000.0),
            ("max=3, Timeout=\"7\"", 7000.0),
            ("timeout=soon", 0.0),
            ("timeout=-1", 0.0),
        ] {
            assert_eq!(keep_alive_timeout(&headers(&[("keep-alive", text)])), Some(want), "{text}");
        }
        assert_eq!(keep_alive_timeout(&headers(&[("keep-alive", "max=3")])), None);
        assert_eq!(keep_alive_timeout(&HeaderMap::new()), None);
    }
}
