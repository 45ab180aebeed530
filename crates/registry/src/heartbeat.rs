//! Reads a server's heartbeat (`POST /servers/{id}/beat`).

use miniserde::{json, Deserialize};
use oatbank_cluster_state::messages::ServerRow;
use oatbank_cluster_state::state::server_state;
use oatbank_config_model::mesh;
use quick_error::quick_error;
use std::net::SocketAddr;

/// The longest id or name, in bytes.
const MAX_NAME_BYTES: usize = 256;
/// The longest warm-up that is believed, ms.
const MAX_WARMUP_MS: f64 = 600_000.0;
/// The largest number that is believed.
const MAX_CALL_COUNT: f64 = 9e15;
/// The most slots that are believed.
const MAX_SLOTS: f64 = 1e6;

quick_error! {
    /// What is wrong with a heartbeat.
    #[derive(Clone, Debug, PartialEq)]
    pub enum HeartbeatError {
        /// The body is not UTF-8.
        Encoding {
            display("the body is no UTF-8")
        }
        /// The body lacks a field, or is no JSON.
        Shape {
            display("the body is no beat: service, address, zone, serverState (texts) and callCount (a number) are needed")
        }
        /// There is no such state.
        State(state: String) {
            display("serverState is {:?}; allowed: ready, draining", state)
        }
        /// The address cannot be read.
        Address(address: String) {
            display("address is {:?}; allowed: an address with a port", address)
        }
        /// A name is empty or too long.
        Name {
            display("id, service and zone have 1 to {} bytes", MAX_NAME_BYTES)
        }
        /// The mesh is no mesh's name, or not the one of the service.
        Mesh(mesh: String, service: String) {
            display("mesh is {:?} for the service {:?}; allowed: up to {} bytes without a slash, and the \
                     mesh that the service's name says, if it says one", mesh, service, MAX_NAME_BYTES)
        }
        /// The number of the heartbeat is out of range.
        CallCount(count: f64) {
            display("callCount is {}; allowed: a number from 0 on", count)
        }
    }
}

/// The body, as the API names its fields.
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

/// Reads a heartbeat of the server `id`.
///
/// # Errors
/// What is wrong in it, and what is allowed.
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
        // One name holds both, so that a process that knows no meshes takes no two servers for each other.
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
