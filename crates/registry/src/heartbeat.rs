//! Parses a server's heartbeat (`POST /servers/{id}/beat`).

use miniserde::{json, Deserialize};
use oatbank_cluster_state::messages::ServerRow;
use oatbank_cluster_state::state::server_state;
use oatbank_config_model::mesh;
use quick_error::quick_error;
use std::net::SocketAddr;

/// Maximum length of an id or name, in bytes.
const MAX_NAME_BYTES: usize = 256;
/// Longest accepted warm-up time, ms; longer ones are cut to it.
const MAX_WARMUP_MS: f64 = 600_000.0;
/// Largest accepted heartbeat number.
const MAX_CALL_COUNT: f64 = 9e15;
/// Largest accepted number of slots; larger ones are cut to it.
const MAX_SLOTS: f64 = 1e6;

quick_error! {
    /// Reasons to reject a heartbeat.
    #[derive(Clone, Debug, PartialEq)]
    pub enum HeartbeatError {
        /// The body is not UTF-8.
        Encoding {
            display("the body is not UTF-8")
        }
        /// The body is not JSON, or lacks a field or has one of the wrong type.
        Shape {
            display("the body is not a heartbeat: service, address, zone, serverState (strings) and callCount (a number) are required")
        }
        /// The state is unknown.
        State(state: String) {
            display("serverState is {:?}; allowed: ready, draining", state)
        }
        /// The address is not an IP address with a port.
        Address(address: String) {
            display("address is {:?}; allowed: an IP address with a port", address)
        }
        /// The id is empty, or a name is too long.
        Name {
            display("id, service or zone has an invalid length; allowed: an id of 1 to {0} bytes, a service and a zone of up to {0}", MAX_NAME_BYTES)
        }
        /// The mesh is not a valid name, or differs from the mesh in the service's name.
        Mesh(mesh: String, service: String) {
            display("mesh is {:?} for the service {:?}; allowed: up to {} bytes without a slash, and the \
                     same mesh as in the service's name, if it has one", mesh, service, MAX_NAME_BYTES)
        }
        /// The heartbeat number is out of range.
        CallCount(count: f64) {
            display("callCount is {}; allowed: a number from 0 on", count)
        }
    }
}

/// The JSON body of a heartbeat.
#[derive(Deserialize)]
struct Body {
    mesh: Option<String>,
    service: String,
    address: String,
    zone: String,
    version: Option<String>,
    slots: Option<f64>,
    #[serde(rename = "serverState")]
    state: String,
    #[serde(rename = "coldLeftMs")]
    warmup_ms: Option<f64>,
    #[serde(rename = "callCount")]
    call_count: f64,
}

/// Parses a heartbeat of the server `id`.
///
/// # Errors
/// Returns which field is invalid, and which values are allowed.
pub fn parse(id: &str, body: &[u8]) -> Result<ServerRow, HeartbeatError> {
    let text = std::str::from_utf8(body).map_err(|_| HeartbeatError::Encoding)?;
    let body: Body = json::from_str(text).map_err(|_| HeartbeatError::Shape)?;
    let state = match body.state.as_str() {
        "ready" => server_state::READY,
        "draining" => server_state::DRAINING,
        _ => return Err(HeartbeatError::State(body.state)),
    };
    if body.address.parse::<SocketAddr>().is_err() {
        return Err(HeartbeatError::Address(body.address));
    }
    if id.is_empty() || [id, &body.service, &body.zone].iter().any(|name| name.len() > MAX_NAME_BYTES) {
        return Err(HeartbeatError::Name);
    }
    let mesh = body.mesh.unwrap_or_default();
    if !is_valid_mesh(&mesh, &body.service) {
        return Err(HeartbeatError::Mesh(mesh, body.service));
    }
    if !(0.0..=MAX_CALL_COUNT).contains(&body.call_count) {
        return Err(HeartbeatError::CallCount(body.call_count));
    }
    Ok(ServerRow {
        id: id.to_owned(),
        // The name includes the mesh, so that processes without support for meshes keep services of different meshes apart.
        service: mesh::whole(&mesh, &body.service),
        address: body.address,
        zone: body.zone,
        version: body.version.unwrap_or_default(),
        slots: body.slots.unwrap_or(1.0).clamp(0.0, MAX_SLOTS) as u32,
        state,
        warmup_ms: body.warmup_ms.unwrap_or(0.0).clamp(0.0, MAX_WARMUP_MS).ceil() as u32,
        call_count: body.call_count as u64,
        timed_out: false,
        age_ms: 0,
    })
}

fn is_valid_mesh(mesh: &str, service: &str) -> bool {
    let named_by_service = mesh::parts(service).0;
    let agrees = mesh.is_empty() || named_by_service.is_empty() || named_by_service == mesh;
    mesh.len() <= MAX_NAME_BYTES && !mesh.contains('/') && agrees
}

#[cfg(test)]
mod tests;
