//! What a member's node holds: the JSON of Curator's service discovery, or of Finagle's ServerSets.
//!
//! Curator: `{"name", "id", "address", "port", "payload": {...}}`. Finagle: `{"serviceEndpoint": {"host", "port"},
//! "status", "metadata": {...}}`. The object `payload` or `metadata` may hold, as text or as numbers:
//!
//! | key | meaning | without it |
//! | --- | --- | --- |
//! | `zone` | the zone's name | none |
//! | `cell` | the cell, 0 to 65,535 | 0 |
//! | `weight` | size beside the others', 0.001 to 1,000 | 1 |
//! | `started_ms` | when the process started, Unix ms | not known |
//! | `status` | `ALIVE`, or `STOPPING` for a server that drains | `ALIVE` |
//!
//! Finagle's own `status` counts too; the one that wants less holds.

use oatbank_engine::ports::membership::Member;
use oatbank_limiter_core::interface::ServerState;
use serde_json::{Map, Value};
use std::net::{IpAddr, SocketAddr};

/// Longest payload that is read, bytes: what is longer is no member's.
pub const MAX_BYTES: usize = 16 * 1024;
/// Longest id or zone name, bytes.
pub const MAX_NAME_BYTES: usize = 128;

/// Why a node is left out of the list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The payload is longer than [`MAX_BYTES`].
    TooLong(usize),
    /// It is no JSON object of either form.
    Unreadable(String),
    /// It names no address that can be connected to.
    NoAddress(String),
    /// A field holds what it may not.
    Field(&'static str),
    /// The node's or the member's name is empty, too long or has odd bytes.
    Name,
    /// A newer node claims the same id.
    SameId,
    /// A newer node claims the same address.
    SameAddress,
}

impl std::fmt::Display for Reason {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Reason::TooLong(n) => write!(f, "{n} bytes, where {MAX_BYTES} are allowed"),
            Reason::Unreadable(e) => write!(f, "neither Curator's nor Finagle's JSON: {e}"),
            Reason::NoAddress(e) => write!(f, "no address that can be used: {e}"),
            Reason::Field(name) => write!(f, "{name} is out of range or of the wrong type"),
            Reason::Name => write!(f, "a name that is empty, over {MAX_NAME_BYTES} bytes, or not plain text"),
            Reason::SameId => write!(f, "a newer node has the same id"),
            Reason::SameAddress => write!(f, "a newer node has the same address"),
        }
    }
}

/// A name that may be logged, compared and put on a line.
pub fn is_plain(name: &str) -> bool {
    !name.is_empty() && name.len() <= MAX_NAME_BYTES && name.bytes().all(|b| b.is_ascii_graphic())
}

/// Reads the payload of the node `name`. A start time that is not told comes back as none.
///
/// # Errors
/// Why this member is left out; no payload can do more than that.
pub fn read(name: &str, bytes: &[u8]) -> Result<(Member, Option<f64>), Reason> {
    if bytes.len() > MAX_BYTES {
        return Err(Reason::TooLong(bytes.len()));
    }
    if !is_plain(name) {
        return Err(Reason::Name);
    }
    let value: Value = serde_json::from_slice(bytes).map_err(|e| Reason::Unreadable(e.to_string()))?;
    let object = value.as_object().ok_or_else(|| Reason::Unreadable("no object".into()))?;
    let (id, host, port, metadata) = match object.get("serviceEndpoint") {
        Some(endpoint) => (name, &endpoint["host"], &endpoint["port"], object.get("metadata")),
        None => (curator_id(name, object)?, &value["address"], &value["port"], object.get("payload")),
    };
    let empty = Map::new();
    let metadata = match metadata {
        None | Some(Value::Null) => &empty,
        Some(metadata) => metadata.as_object().ok_or(Reason::Field("payload"))?,
    };
    let top_level = status(object.get("status"))?;
    let nested = status(metadata.get("status"))?;
    let state = if top_level == ServerState::Ready { nested } else { top_level };
    let started = number(metadata, "started_ms", 0.0, 1e15)?;
    let member = Member {
        zone: zone(metadata)?,
        cell: number(metadata, "cell", 0.0, 65_535.0)?.unwrap_or(0.0) as u16,
        weight: number(metadata, "weight", 0.001, 1000.0)?.unwrap_or(1.0),
        started: started.unwrap_or(0.0),
        state,
        ..Member::ready(id, address(host, port)?)
    };
    Ok((member, started))
}

fn curator_id<'a>(name: &'a str, object: &'a Map<String, Value>) -> Result<&'a str, Reason> {
    match object.get("id") {
        None | Some(Value::Null) => Ok(name),
        Some(id) => id.as_str().filter(|id| is_plain(id)).ok_or(Reason::Name),
    }
}

/// An address in figures: names are not looked up here.
fn address(host: &Value, port: &Value) -> Result<SocketAddr, Reason> {
    let host = host.as_str().ok_or_else(|| Reason::NoAddress("none is named".into()))?;
    let plain = host.trim_start_matches('[').trim_end_matches(']');
    let shortened: String = host.chars().take(MAX_NAME_BYTES).collect();
    let ip: IpAddr =
        plain.parse().map_err(|_| Reason::NoAddress(format!("{shortened:?} is no IP address")))?;
    if ip.is_unspecified() || ip.is_multicast() {
        return Err(Reason::NoAddress(format!("{ip} is no server's")));
    }
    let port = port.as_u64().and_then(|p| u16::try_from(p).ok()).filter(|p| *p > 0);
    let port = port.ok_or_else(|| Reason::NoAddress("the port is not from 1 to 65535".into()))?;
    Ok(SocketAddr::new(ip, port))
}

fn status(value: Option<&Value>) -> Result<ServerState, Reason> {
    match value {
        None | Some(Value::Null) => Ok(ServerState::Ready),
        Some(Value::String(s)) => match s.to_ascii_uppercase().as_str() {
            "ALIVE" => Ok(ServerState::Ready),
            // Of Finagle's other states none takes requests.
            "STOPPING" | "STOPPED" | "STARTING" | "DEAD" | "WARNING" => Ok(ServerState::Draining),
            _ => Err(Reason::Field("status")),
        },
        Some(_) => Err(Reason::Field("status")),
    }
}

fn zone(metadata: &Map<String, Value>) -> Result<String, Reason> {
    match metadata.get("zone") {
        None | Some(Value::Null) => Ok(String::new()),
        Some(zone) => {
            let zone = zone.as_str().filter(|z| z.is_empty() || is_plain(z));
            zone.map(str::to_owned).ok_or(Reason::Field("zone"))
        }
    }
}

/// A number, or one as text, as Finagle's metadata holds it.
fn number(
    metadata: &Map<String, Value>,
    key: &'static str,
    min: f64,
    max: f64,
) -> Result<Option<f64>, Reason> {
    let value = match metadata.get(key) {
        None | Some(Value::Null) => return Ok(None),
        Some(Value::Number(n)) => n.as_f64(),
        Some(Value::String(s)) => s.parse().ok(),
        Some(_) => None,
    };
    value.filter(|v| (min..=max).contains(v)).map(Some).ok_or(Reason::Field(key))
}

#[cfg(test)]
mod tests;
