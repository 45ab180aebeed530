//! Parses the payload of a member's node: the JSON of Curator's service discovery or of Finagle's ServerSets.
//!
//! Curator: `{"name", "id", "address", "port", "payload": {...}}`. Finagle: `{"serviceEndpoint": {"host", "port"},
//! "status", "metadata": {...}}`. The object `payload` or `metadata` may contain these keys, as strings or numbers:
//!
//! | key | meaning | default |
//! | --- | --- | --- |
//! | `zone` | the zone's name | none |
//! | `cell` | the cell, 0 to 65,535 | 0 |
//! | `weight` | relative capacity, 0.001 to 1,000 | 1 |
//! | `started_ms` | start time of the process, Unix ms | unknown |
//! | `status` | `ALIVE`, or `STOPPING` for a draining server | `ALIVE` |
//!
//! Finagle's top-level `status` counts as well: the server drains if either status says so.

use oatbank_engine::ports::membership::Member;
use oatbank_limiter_core::interface::ServerState;
use serde_json::{Map, Value};
use std::net::{IpAddr, SocketAddr};

/// Maximum length of a payload in bytes; longer payloads are rejected.
pub const MAX_BYTES: usize = 16 * 1024;
/// Maximum length of an id or zone name in bytes.
pub const MAX_NAME_BYTES: usize = 128;

/// The reason why a node is left out of the member list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The payload is longer than [`MAX_BYTES`].
    TooLong(usize),
    /// The payload is not a JSON object of either form; holds the parser's message.
    Unreadable(String),
    /// The payload has no usable address; holds the details.
    NoAddress(String),
    /// The value of this field is out of range or has the wrong type.
    Field(&'static str),
    /// The name of the node or the id of the member is empty, too long, or not printable ASCII without spaces.
    Name,
    /// A newer node has the same id.
    SameId,
    /// A newer node has the same address.
    SameAddress,
}

impl std::fmt::Display for Reason {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Reason::TooLong(n) => write!(f, "payload of {n} bytes exceeds the limit of {MAX_BYTES}"),
            Reason::Unreadable(e) => write!(f, "not valid JSON of Curator or Finagle: {e}"),
            Reason::NoAddress(e) => write!(f, "no usable address: {e}"),
            Reason::Field(name) => write!(f, "{name} is out of range or of the wrong type"),
            Reason::Name => write!(f, "the name is empty, over {MAX_NAME_BYTES} bytes, or not visible ASCII"),
            Reason::SameId => write!(f, "a newer node has the same id"),
            Reason::SameAddress => write!(f, "a newer node has the same address"),
        }
    }
}

/// Whether a name is printable ASCII without spaces and of 1 to 128 bytes, so that it can be logged and compared safely.
pub fn is_plain(name: &str) -> bool {
    !name.is_empty() && name.len() <= MAX_NAME_BYTES && name.bytes().all(|b| b.is_ascii_graphic())
}

/// Parses the payload of the node `name`. Returns the member, and its start time in Unix ms if the payload has one.
///
/// # Errors
/// The reason why this member is left out. An invalid payload affects no other member.
pub fn read(name: &str, bytes: &[u8]) -> Result<(Member, Option<f64>), Reason> {
    if bytes.len() > MAX_BYTES {
        return Err(Reason::TooLong(bytes.len()));
    }
    if !is_plain(name) {
        return Err(Reason::Name);
    }
    let value: Value = serde_json::from_slice(bytes).map_err(|e| Reason::Unreadable(e.to_string()))?;
    let object = value.as_object().ok_or_else(|| Reason::Unreadable("not an object".into()))?;
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

/// Parses a numeric IP address and a port; host names are not resolved.
fn address(host: &Value, port: &Value) -> Result<SocketAddr, Reason> {
    let host =
        host.as_str().ok_or_else(|| Reason::NoAddress("the address is missing or not a string".into()))?;
    let plain = host.trim_start_matches('[').trim_end_matches(']');
    let shortened: String = host.chars().take(MAX_NAME_BYTES).collect();
    let ip: IpAddr =
        plain.parse().map_err(|_| Reason::NoAddress(format!("{shortened:?} is not an IP address")))?;
    if ip.is_unspecified() || ip.is_multicast() {
        return Err(Reason::NoAddress(format!("{ip} is not a server address")));
    }
    let port = port.as_u64().and_then(|p| u16::try_from(p).ok()).filter(|p| *p > 0);
    let port = port.ok_or_else(|| Reason::NoAddress("the port is not in the range 1 to 65535".into()))?;
    Ok(SocketAddr::new(ip, port))
}

fn status(value: Option<&Value>) -> Result<ServerState, Reason> {
    match value {
        None | Some(Value::Null) => Ok(ServerState::Ready),
        Some(Value::String(s)) => match s.to_ascii_uppercase().as_str() {
            "ALIVE" => Ok(ServerState::Ready),
            // In none of Finagle's other states does a server accept requests.
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

/// Parses an optional number, also from a string as in Finagle's metadata, and checks its range.
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
