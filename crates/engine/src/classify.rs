//! Reads what the decision module is told of a request from the platform's headers.
//!
//! All of it is checked first: what is wrong must not reach the module, nor change what is known of an account.
//! The daemon's front and the middleware share this, so a request counts alike in both.

use http::header::{HeaderMap, HeaderName, CONTENT_TYPE};
use http::request::Parts;
use http::{Method, StatusCode};
use oatbank_limiter_core::interface::{ClassId, CustomerId, Millis, PlanId, Repeat, Request, Settings};

use crate::engine::Names;

/// Units past which a request is held to be malformed, where the settings set no bound.
const MOST_UNITS: f64 = 1e6;
/// Customers are numbers below this.
const CUSTOMERS: u64 = 1 << 33;
/// Longest name of a request.
const MOST_ID: usize = 128;
/// Longest wait of a client that is believed, ms: an hour.
const LONGEST_WAIT: Millis = 3_600_000.0;

/// Names a request; new with every try.
pub const CORRELATION: HeaderName = HeaderName::from_static("x-correlation-id");
/// The class, as in the path.
pub const CLASS: HeaderName = HeaderName::from_static("x-service-class");
/// The account's plan.
pub const PLAN: HeaderName = HeaderName::from_static("x-plan");
/// How long the client waits, s.
pub const TIME_LEFT: HeaderName = HeaderName::from_static("x-time-left");
/// Units, and the limiters that the account comes in through.
pub const QUOTA: HeaderName = HeaderName::from_static("x-quota");
/// Marks a client's repeat.
pub const REPEAT: HeaderName = HeaderName::from_static("x-repeat");
/// The key of a keyed request.
pub const KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// Why a request cannot be classified: the answer to give. It touches no account.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// The status to answer with.
    pub status: StatusCode,
    /// A line for the body.
    pub why: &'static str,
}

impl Rejection {
    /// A request that is malformed (400).
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

/// Reads a request whose class stands in its path's first part and in its header.
///
/// # Errors
/// 404 for an unknown path, 405 for a method that is not the class's, 400 for all else that is missing, stands
/// twice, or is out of the settings' range.
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
    rest(head, class, names, settings)
}

/// Reads a request whose class stands in its header only, for applications with paths of their own.
///
/// # Errors
/// 400 for what is missing, stands twice, or is out of the settings' range.
pub fn by_header(head: &Parts, names: &Names, settings: &Settings) -> Result<Request, Rejection> {
    let class = single(&head.headers, &CLASS)?.ok_or(R::bad("X-Service-Class is missing\n"))?;
    let class = names.classes.iter().position(|c| c == class).ok_or(R::bad("unknown class\n"))?;
    rest(head, class, names, settings)
}

/// All but the class.
fn rest(head: &Parts, class: usize, names: &Names, settings: &Settings) -> Result<Request, Rejection> {
    let headers = &head.headers;
    let of = settings.classes.get(class).ok_or(R::bad("no such class\n"))?;
    let key = single(headers, &KEY)?;
    if matches!(of.repeat, Repeat::Keyed { .. }) && key.is_none_or(str::is_empty) {
        return Err(R::bad("Idempotency-Key is missing\n"));
    }
    if !single(headers, &CORRELATION)?.is_some_and(|id| (1..=MOST_ID).contains(&id.len())) {
        return Err(R::bad("X-Correlation-Id is missing\n"));
    }
    let plan = single(headers, &PLAN)?.and_then(|p| names.plans.iter().position(|n| n == p));
    let plan = plan.ok_or(R::bad("unknown plan\n"))?;
    let customer =
        customer(head.uri.query().unwrap_or("")).ok_or(R::bad("no customer that can be read\n"))?;
    let time_left = single(headers, &TIME_LEFT)?.and_then(decimal).map(|left| left * 1000.0);
    let time_left = time_left.filter(|left| *left > 0.0 && *left <= LONGEST_WAIT);
    let time_left = time_left.ok_or(R::bad("X-Time-Left is missing or out of range\n"))?;
    let quota = single(headers, &QUOTA)?.and_then(|q| quota(q, settings.max_units, settings.gateways));
    let (units, spread) = quota.ok_or(R::bad("X-Quota cannot be read\n"))?;
    Ok(Request {
        customer: CustomerId(customer),
        class: ClassId(class),
        plan: PlanId(plan),
        units,
        // No client waits longer than its class allows, and nothing is kept for longer.
        time_left: if of.deadline > 0.0 { time_left.min(of.deadline) } else { time_left },
        spread,
        repeat: single(headers, &REPEAT)? == Some("1"),
        ..Request::default()
    })
}

/// The headers that go on to a server.
pub fn headers_on(headers: &HeaderMap) -> HeaderMap {
    let mut on = HeaderMap::with_capacity(8);
    for name in [CORRELATION, KEY, CLASS, PLAN, CONTENT_TYPE] {
        if let Some(value) = headers.get(&name) {
            on.insert(name, value.clone());
        }
    }
    on
}

/// The value of a header that may stand once only, in plain text.
///
/// # Errors
/// 400 where it stands twice or is no plain text.
pub fn single<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Result<Option<&'a str>, Rejection> {
    let mut values = headers.get_all(name).iter();
    match (values.next(), values.next()) {
        (None, _) => Ok(None),
        (Some(value), None) => value.to_str().map(Some).map_err(|_| R::bad("a header is no plain text\n")),
        _ => Err(R::bad("a header stands twice\n")),
    }
}

/// A plain decimal number: no sign, no exponent, none of the words that stand for numbers.
fn decimal(text: &str) -> Option<f64> {
    let text = text.trim();
    let plain = text.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    if plain {
        text.parse().ok()
    } else {
        None
    }
}

/// The customer's number in a query: 16 hexadecimal digits, once.
fn customer(query: &str) -> Option<u64> {
    let mut values = query.split('&').filter_map(|pair| pair.strip_prefix("customer="));
    let value = values.next().filter(|v| v.len() == 16 && v.bytes().all(|b| b.is_ascii_hexdigit()))?;
    let number = u64::from_str_radix(value, 16).ok().filter(|n| *n < CUSTOMERS)?;
    values.next().is_none().then_some(number)
}

/// Units and the number of limiters in an `X-Quota` header, each field once and within the settings.
fn quota(text: &str, most_units: f64, gateways: f64) -> Option<(f64, f64)> {
    let (mut units, mut spread, mut first) = (None, None, None);
    let most = if most_units > 0.0 { most_units } else { MOST_UNITS };
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
