//! A dialect for a system whose requests, tries and answers are named: an answer counts only for the try that it names.
//!
//! | an answer | means |
//! | --- | --- |
//! | without the try's name, or with another's | the connection is out of step: reset, closed, given to nobody |
//! | 400, 429 or 503 that says that it was not run | full: it has not run |
//! | 421 | another server has the address: it has not run |
//! | with a content coding, or a success without its seal | spoilt: an error, closed |
//! | a success with its seal | given on |
//! | any other | an error; given on where nothing better comes |

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
/// What a hop says for itself about a proxy begins so.
const PROXY: &str = "proxy-";

/// What the headers are called.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// Names a try; an answer names the one that it belongs to.
    pub try_id: HeaderName,
    /// How long a server has, ms.
    pub time_left: HeaderName,
    /// Stands on each success that the server itself has made.
    pub seal: HeaderName,
    /// Whose request it is.
    pub customer: HeaderName,
    /// The server that a request is meant for.
    pub meant_server: HeaderName,
    /// Stands on an answer to what was not run.
    pub not_run: HeaderName,
    /// When to come back.
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

/// The dialect.
#[derive(Clone, Debug)]
pub struct TryIdDialect {
    /// What the headers are called.
    pub names: HeaderNames,
    /// An answer up to this many bytes is held whole.
    pub held: usize,
    /// The longest answer that is passed on, bytes.
    pub longest: u64,
    /// A connection on which a server confirms nothing for this long is broken.
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
    /// The answer names the try, and nothing else.
    fn names_the_try(&self, job: &AttemptJob<Forward>, answer: &HeaderMap) -> bool {
        let id = job.request.headers.get(&self.names.try_id);
        let mut told = answer.get_all(&self.names.try_id).iter();
        id.is_some() && told.next() == id && told.next().is_none()
    }

    fn outcome(&self, head: &Parts) -> Outcome {
        let not_run = head.headers.contains_key(&self.names.not_run);
        match head.status {
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS | StatusCode::BAD_REQUEST
                if not_run =>
            {
                Outcome::Full
            }
            StatusCode::MISDIRECTED_REQUEST => Outcome::ConnectFailed,
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
        // An old client may have named no host.
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

    fn judge(&self, job: &AttemptJob<Forward>, head: &Parts) -> Verdict {
        if !self.names_the_try(job, &head.headers) {
            return Verdict::spoilt(Outcome::Reset);
        }
        let outcome = self.outcome(head);
        match outcome {
            // Whoever has the address now, it is not who it was kept for.
            Outcome::ConnectFailed => return Verdict::spoilt(outcome),
            Outcome::Full => {}
            _ if head.headers.contains_key(CONTENT_ENCODING) || !self.is_sealed(head) => {
                return Verdict::spoilt(Outcome::Error)
            }
            _ => {}
        }
        let bodiless = job.request.method == Method::HEAD
            || matches!(head.status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
        let given = matches!(outcome, Outcome::Ok | Outcome::Error);
        Verdict { given, bodiless, keeps: keeps(&head.headers), ..Verdict::new(outcome) }
    }

    fn answer(&self, mut head: Parts, body: Body) -> Response<Body> {
        // How this server frames its answers is not how the client's connection does.
        head.version = Version::HTTP_11;
        strip(&mut head.headers);
        Response::from_parts(head, body)
    }

    fn held(&self) -> usize {
        self.held
    }

    fn longest(&self) -> u64 {
        self.longest
    }

    fn unconfirmed(&self) -> Option<Duration> {
        Some(self.unconfirmed)
    }
}

/// How long a server keeps an idle connection, ms, where it tells that.
fn keeps(headers: &HeaderMap) -> Option<Millis> {
    let values = headers.get_all(&KEEP_ALIVE).iter().filter_map(|v| v.to_str().ok());
    let mut fields = values.flat_map(|v| v.split(',')).filter_map(|field| field.split_once('='));
    let (_, seconds) = fields.find(|(name, _)| name.trim().eq_ignore_ascii_case("timeout"))?;
    // One that cannot be read may mean anything: the connection is not used again.
    Some(seconds.trim().trim_matches('"').parse::<u32>().map_or(0.0, |s| f64::from(s) * 1000.0))
}

/// Takes out what is said from one hop to the next, and what `Connection` names (RFC 9110, 7.6.1).
fn strip(headers: &mut HeaderMap) {
    let values = headers.get_all(CONNECTION).iter().filter_map(|v| v.to_str().ok());
    let named = values.flat_map(|v| v.split(',')).filter_map(|name| name.trim().parse::<HeaderName>().ok());
    let proxy = headers.keys().filter(|name| name.as_str().starts_with(PROXY)).cloned();
    // Where a message ends is never the sender's to take away.
    let mut hop: Vec<HeaderName> =
        named.chain(proxy).filter(|n| *n != CONTENT_LENGTH && *n != HOST).collect();
    hop.extend([CONNECTION, KEEP_ALIVE, TRANSFER_ENCODING, UPGRADE, TE, TRAILER]);
    for name in hop {
        headers.remove(name);
    }
}

/// The headers of a client's request that go on to a server: all but those of the one hop, and `Expect`, which is
/// answered here.
pub fn headers_on(headers: &HeaderMap) -> HeaderMap {
    let mut on = headers.clone();
    strip(&mut on);
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
    fn what_is_said_to_one_hop_goes_no_further() {
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
    fn how_long_a_server_keeps_a_connection_is_read_or_taken_for_nothing() {
        for (text, want) in [
            ("timeout=5", 5000.0),
            ("max=3, Timeout=\"7\"", 7000.0),
            ("timeout=soon", 0.0),
            ("timeout=-1", 0.0),
        ] {
            assert_eq!(keeps(&headers(&[("keep-alive", text)])), Some(want), "{text}");
        }
        assert_eq!(keeps(&headers(&[("keep-alive", "max=3")])), None);
        assert_eq!(keeps(&HeaderMap::new()), None);
    }
}
