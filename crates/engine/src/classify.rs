//! Parses the platform's request headers into a request for the decision module.
//!
//! Every value is validated first: an invalid request must neither reach the module nor change an account's state.
//! The daemon's front end and the middleware share this code, so both count a request in the same way.

use http::header::{HeaderMap, HeaderName, CONTENT_TYPE};
use http::request::Parts;
use http::{Method, StatusCode};
use oatbank_limiter_core::interface::{ClassId, CustomerId, Millis, PlanId, Repeat, Request, Settings};

use crate::engine::Names;

/// Largest number of units in a request where the settings set no bound; a request with more is malformed.
const MAX_UNITS: f64 = 1e6;
/// Exclusive upper bound of customer numbers.
const CUSTOMER_LIMIT: u64 = 1 << 33;
/// Longest correlation id, bytes.
const MAX_ID_BYTES: usize = 128;
/// Longest time left that a client may state, ms: one hour.
const MAX_TIME_LEFT: Millis = 3_600_000.0;

/// Id of the request; each try has a new one.
pub const CORRELATION: HeaderName = HeaderName::from_static("x-correlation-id");
/// Class of the request, equal to the first part of the path.
pub const CLASS: HeaderName = HeaderName::from_static("x-service-class");
/// Name of the account's plan.
pub const PLAN: HeaderName = HeaderName::from_static("x-plan");
/// Time for which the client still waits, s.
pub const TIME_LEFT: HeaderName = HeaderName::from_static("x-time-left");
/// Units of the request, and the number of limiters through which the account's requests arrive.
pub const QUOTA: HeaderName = HeaderName::from_static("x-quota");
/// `1` on a request that the client repeats.
pub const REPEAT: HeaderName = HeaderName::from_static("x-repeat");
/// Idempotency key of a keyed request.
pub const KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// The error response for a request that cannot be classified. No account is charged for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// Status of the response.
    pub status: StatusCode,
    /// Body of the response: one line of text.
    pub why: &'static str,
}

impl Rejection {
    /// A rejection with status 400 for a malformed request.
    pub const fn bad(why: &'static str) -> Self {
        Rejection { status: StatusCode::BAD_REQUEST, why }
    }
}

impl std::fmt::Display for Rejection {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}: {}", self.status, self.why.trim_end())
    }
}

impl std::error::Error for Rejection {}

use Rejection as R;

/// Parses a request whose class is given by the first part of its path and by its header.
///
/// # Errors
/// 404 for an unknown path, 405 for a method that the class does not use, 400 for any other value that is missing,
/// duplicated or out of the settings' range.
pub fn by_path(head: &Parts, names: &Names, settings: &Settings) -> Result<Request, Rejection> {
    let first = head.uri.path().split('/').nth(1).unwrap_or("");
    let class = names.classes.iter().position(|c| c == first);
    let class = class.ok_or(R { status: StatusCode::NOT_FOUND, why: "no such path\n" })?;
    if single(&head.headers, &CLASS)? != Some(first) {
        return Err(R::bad("the class in the header is not that of the path\n"));
    }
    let safe = settings.classes.get(class).is_some_and(|c| c.repeat == Repeat::Safe);
    if head.method != if safe { Method::GET } else { Method::POST } {
        return Err(R { status: StatusCode::METHOD_NOT_ALLOWED, why: "the class wants another method\n" });
    }
    parse_headers(head, class, names, settings)
}

/// Parses a request whose class is given by its header only, for applications with their own paths.
///
/// # Errors
/// 400 for a value that is missing, duplicated or out of the settings' range.
pub fn by_header(head: &Parts, names: &Names, settings: &Settings) -> Result<Request, Rejection> {
    let class = single(&head.headers, &CLASS)?.ok_or(R::bad("X-Service-Class is missing\n"))?;
    let class = names.classes.iter().position(|c| c == class).ok_or(R::bad("unknown class\n"))?;
    parse_headers(head, class, names, settings)
}

/// Parses everything but the class.
fn parse_headers(
    head: &Parts,
    class: usize,
    names: &Names,
    settings: &Settings,
) -> Result<Request, Rejection> {
    let headers = &head.headers;
    let class_settings = settings.classes.get(class).ok_or(R::bad("no such class\n"))?;
    let key = single(headers, &KEY)?;
    if matches!(class_settings.repeat, Repeat::Keyed { .. }) && key.is_none_or(str::is_empty) {
        return Err(R::bad("Idempotency-Key is missing\n"));
    }
    if !single(headers, &CORRELATION)?.is_some_and(|id| (1..=MAX_ID_BYTES).contains(&id.len())) {
        return Err(R::bad("X-Correlation-Id is missing\n"));
    }
    let plan = single(headers, &PLAN)?.and_then(|p| names.plans.iter().position(|n| n == p));
    let plan = plan.ok_or(R::bad("unknown plan\n"))?;
    let customer =
        customer(head.uri.query().unwrap_or("")).ok_or(R::bad("no customer that can be read\n"))?;
    let time_left = single(headers, &TIME_LEFT)?.and_then(decimal).map(|left| left * 1000.0);
    let time_left = time_left.filter(|left| *left > 0.0 && *left <= MAX_TIME_LEFT);
    let time_left = time_left.ok_or(R::bad("X-Time-Left is missing or out of range\n"))?;
    let quota = single(headers, &QUOTA)?.and_then(|q| quota(q, settings.max_units, settings.gateways));
    let (units, spread) = quota.ok_or(R::bad("X-Quota cannot be read\n"))?;
    Ok(Request {
        customer: CustomerId(customer),
        class: ClassId(class),
        plan: PlanId(plan),
        units,
        // Capped at the class's deadline, so that no request is kept for longer.
        time_left: if class_settings.deadline > 0.0 {
            time_left.min(class_settings.deadline)
        } else {
            time_left
        },
        spread,
        repeat: single(headers, &REPEAT)? == Some("1"),
        ..Request::default()
    })
}

/// Returns the headers that are forwarded to a server.
pub fn headers_on(headers: &HeaderMap) -> HeaderMap {
    let mut on = HeaderMap::with_capacity(8);
    for name in [CORRELATION, KEY, CLASS, PLAN, CONTENT_TYPE] {
        if let Some(value) = headers.get(&name) {
            on.insert(name, value.clone());
        }
    }
    on
}

/// Returns the value of a header that may occur at most once, or `None` if it is absent.
///
/// # Errors
/// 400 if the header occurs more than once or is not visible ASCII.
pub fn single<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Result<Option<&'a str>, Rejection> {
    let mut values = headers.get_all(name).iter();
    match (values.next(), values.next()) {
        (None, _) => Ok(None),
        (Some(value), None) => value.to_str().map(Some).map_err(|_| R::bad("a header is no plain text\n")),
        _ => Err(R::bad("a header stands twice\n")),
    }
}

/// Parses a decimal number without sign or exponent; rejects `inf` and `NaN`.
fn decimal(text: &str) -> Option<f64> {
    let text = text.trim();
    let plain = text.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    if plain {
        text.parse().ok()
    } else {
        None
    }
}

/// Parses the customer number from a query: exactly one `customer` of 16 hexadecimal digits, below [`CUSTOMER_LIMIT`].
fn customer(query: &str) -> Option<u64> {
    let mut values = query.split('&').filter_map(|pair| pair.strip_prefix("customer="));
    let value = values.next().filter(|v| v.len() == 16 && v.bytes().all(|b| b.is_ascii_hexdigit()))?;
    let number = u64::from_str_radix(value, 16).ok().filter(|n| *n < CUSTOMER_LIMIT)?;
    values.next().is_none().then_some(number)
}

/// Parses units and number of limiters from an `X-Quota` header. Each field must occur once and be within the
/// settings' range; unknown fields are ignored.
fn quota(text: &str, max_units: f64, gateways: f64) -> Option<(f64, f64)> {
    let (mut units, mut spread, mut first) = (None, None, None);
    let most = if max_units > 0.0 { max_units } else { MAX_UNITS };
    for field in text.split(',') {
        let (name, value) = field.split_once('=')?;
        let (place, least, most) = match name.trim() {
            "units" => (&mut units, f64::MIN_POSITIVE, most),
            "spread" => (&mut spread, 1.0, gateways.max(1.0)),
            "first" => (&mut first, 0.0, gateways.max(1.0) - 1.0),
            _ => continue,
        };
        let value = decimal(value).filter(|v| (least..=most).contains(v))?;
        if place.replace(value).is_some() {
            return None;
        }
    }
    let (units, spread, first) = (units?, spread?, first?);
    (spread.fract() == 0.0 && first.fract() == 0.0).then_some((units, spread))
}

#[cfg(test)]
mod tests;
