//! Reads routes, services, tenants and limits from rows, field by field.

use crate::columnar_rows::{self, ColumnarRows, Item};
use crate::json::Raw;
use crate::model::{Customer, Limits, Route, RouteKind, Service};
use crate::validation_error::ValidationError;
use std::collections::BTreeMap;

/// Upper limit of a route's timeout, and its default, ms.
const MAX_GIVE_UP_MS: f64 = 600_000.0;

pub(crate) fn read_routes(rows: &ColumnarRows) -> Result<Vec<Route>, ValidationError> {
    rows.items("routes").map(|item| read_route(&item)).collect()
}

fn read_route(item: &Item<'_>) -> Result<Route, ValidationError> {
    let kind =
        item.read("routeKind", "safe, unsafe or download", |value| match columnar_rows::text(value)? {
            "safe" => Some(RouteKind::Safe),
            "unsafe" => Some(RouteKind::Unsafe),
            "download" => Some(RouteKind::Download),
            _ => None,
        })?;
    let prefix = item.need("pathStart", "a path that begins and ends with a slash", |value| {
        columnar_rows::text(value).filter(|path| path.starts_with('/') && path.ends_with('/'))
    })?;
    let give_up_ms = item
        .read("giveUpMs", "a number above 0 and at most 600000", |value| {
            columnar_rows::non_negative_number(value).filter(|ms| *ms > 0.0 && *ms <= MAX_GIVE_UP_MS)
        })?
        .unwrap_or(MAX_GIVE_UP_MS);
    Ok(Route {
        name: item.name()?.to_owned(),
        host: item
            .need("hostName", "a string of one character at least", columnar_rows::non_empty_text)?
            .to_owned(),
        prefix: prefix.to_owned(),
        kind: kind.unwrap_or(RouteKind::Unsafe),
        give_up_ms,
        target_ms: item
            .read("targetMs", "a number from 0 up", columnar_rows::non_negative_number)?
            .unwrap_or(give_up_ms),
        rank: item.read("rank", "a whole number from 0 up", columnar_rows::whole_u32)?.unwrap_or(0),
        mesh: item.read("mesh", "a mesh's name, without a slash", mesh_name)?.unwrap_or("").to_owned(),
        shares: read_shares(item)?,
        max_attempts: item
            .read("tries", "a whole number from 1 up", |value| {
                columnar_rows::whole_u32(value).filter(|max_attempts| *max_attempts > 0)
            })?
            .unwrap_or(1),
        keyless: item.read("keyless", "true or false", columnar_rows::boolean)?.unwrap_or(false),
        homes: item.strings("homeRegions")?,
    })
}

fn mesh_name(value: &Raw) -> Option<&str> {
    columnar_rows::text(value).filter(|name| !name.contains('/'))
}

fn read_shares(item: &Item<'_>) -> Result<Vec<(String, f64)>, ValidationError> {
    let service = item.read("service", "the name of a service", columnar_rows::non_empty_text)?;
    let allowed = "a list of objects with a service and a weight from 0 up";
    let shares = item.read("shares", allowed, |value| match value {
        Raw::List(shares) => shares.iter().map(share).collect::<Option<Vec<_>>>(),
        _ => None,
    })?;
    match (shares, service) {
        (None, None) => Err(item.invalid("service", "nothing, and no shares", "one of the two")),
        (None, Some(service)) => Ok(vec![(service.to_owned(), 1.0)]),
        (Some(shares), Some(service)) if shares.is_empty() => Ok(vec![(service.to_owned(), 1.0)]),
        (Some(shares), _) => {
            let sum = shares.iter().fold(0.0, |sum, (_, weight)| sum + weight);
            if sum > 0.0 && sum.is_finite() {
                return Ok(shares);
            }
            Err(item.invalid("shares", format!("weights that add up to {sum}"), "a sum above 0"))
        }
    }
}

fn share(value: &Raw) -> Option<(String, f64)> {
    let Raw::Object(fields) = value else { return None };
    Some((
        columnar_rows::non_empty_text(fields.get("service")?)?.to_owned(),
        columnar_rows::non_negative_number(fields.get("weight")?)?,
    ))
}

pub(crate) fn read_services(rows: &ColumnarRows) -> Result<Vec<Service>, ValidationError> {
    rows.items("services").map(|item| read_service(&item)).collect()
}

fn read_service(item: &Item<'_>) -> Result<Service, ValidationError> {
    let path = item.read("healthPath", "a path that begins with a slash", |value| {
        columnar_rows::text(value).filter(|path| path.is_empty() || path.starts_with('/'))
    })?;
    Ok(Service {
        name: item.name()?.to_owned(),
        health_path: path.unwrap_or("").to_owned(),
        max_connections: item
            .read("maxConnections", "a whole number from 0 up", columnar_rows::whole_u32)?
            .unwrap_or(u32::MAX),
        protocol: item.read("protocol", "a string", columnar_rows::text)?.unwrap_or("h1").to_owned(),
        tls: item.read("tls", "true or false", columnar_rows::boolean)?.unwrap_or(false),
        warmup_s: item
            .read("coldS", "a number from 0 up", columnar_rows::non_negative_number)?
            .unwrap_or(0.0),
        warmup_rate: item
            .read("coldRateS", "a number from 0 up", columnar_rows::non_negative_number)?
            .unwrap_or(0.0),
    })
}

pub(crate) fn read_customers(rows: &ColumnarRows) -> Result<Vec<Customer>, ValidationError> {
    rows.items("customers").map(|item| read_customer(&item)).collect()
}

fn read_customer(item: &Item<'_>) -> Result<Customer, ValidationError> {
    Ok(Customer {
        name: item.name()?.to_owned(),
        keys: item.strings("keys")?,
        rank: item.read("rank", "a whole number from 0 up", columnar_rows::whole_u32)?,
        rate: item.read("ratePerS", "a number from 0 up", columnar_rows::non_negative_number)?.unwrap_or(0.0),
        burst: item.read("burst", "a number from 0 up", columnar_rows::non_negative_number)?.unwrap_or(0.0),
        homes: item.strings("homeRegions")?,
    })
}

/// The fields of the `limits` object; `None` if it is missing or null.
pub(crate) fn limits_object(value: Option<Raw>) -> Result<Option<BTreeMap<String, Raw>>, ValidationError> {
    match value {
        None | Some(Raw::Null) => Ok(None),
        Some(Raw::Object(fields)) => Ok(Some(fields)),
        Some(other) => Err(ValidationError::new("limits", other.shown(), "an object")),
    }
}

pub(crate) fn read_limits(fields: Option<&BTreeMap<String, Raw>>) -> Result<Limits, ValidationError> {
    let defaults = Limits::default();
    let Some(fields) = fields else { return Ok(defaults) };
    let get = |name| fields.get(name).filter(|value| **value != Raw::Null);
    let bytes = |name, default| match get(name) {
        None => Ok(default),
        Some(value) => columnar_rows::whole_number(value).ok_or_else(|| {
            ValidationError::new(format!("limits, {name}"), value.shown(), "a whole number from 0 up")
        }),
    };
    let ms = |name, default| match get(name) {
        None => Ok(default),
        Some(value) => columnar_rows::non_negative_number(value).ok_or_else(|| {
            ValidationError::new(format!("limits, {name}"), value.shown(), "a number from 0 up")
        }),
    };
    Ok(Limits {
        header_bytes: bytes("maxHeaderBytes", defaults.header_bytes)?,
        body_bytes: bytes("maxBodyBytes", defaults.body_bytes)?,
        header_wait_ms: ms("headerWaitMs", defaults.header_wait_ms)?,
        idle_ms: ms("idleMs", defaults.idle_ms)?,
    })
}
