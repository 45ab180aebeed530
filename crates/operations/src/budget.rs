//! Division of a process's file descriptors and memory by purpose, fixed in advance so that the total stays in limits.
//!
//! Descriptors: a reserve for the limiter itself, the counter, discovery and the control address; the rest is split
//! evenly between client and server connections. Memory: a share stays free for per-customer state and the allocator.
//! Of the rest each connection has a fixed amount; bodies get the remainder, half for requests and half for responses,
//! so that neither can starve the other. At the connection limit the client that has been idle longest is closed; at
//! the body limit the next body waits, and its sender with it.

use serde::Deserialize;

/// Descriptors reserved for everything but client and server connections: the counter (two sets while it moves),
/// discovery, the listener and the runtime.
const RESERVED_DESCRIPTORS: usize = 24;
/// Share of the connections for clients; servers get the rest. Requests in progress use at most a third of all
/// connections on the client side, and each may need one server connection, and another for a second copy.
const CLIENT_SHARE: f64 = 0.5;
/// Share of the memory limit for connections and bodies.
const MEMORY_SHARE: f64 = 0.6;
/// Memory of one connection, KiB: its initial buffer, its state and its task, and a body of up to
/// [`SMALL_BODY_BYTES`] bytes.
const CONNECTION_KIB: f64 = 24.0;
/// Minimum share of the divided memory for bodies. It limits the number of connections where memory is scarce.
const BODY_SHARE: f64 = 0.4;
/// Upper limit of client and server connections together, however many descriptors there are.
const MAX_CONNECTIONS: usize = 4096;
/// Lower limit of client and server connections together; the limiter cannot work with fewer.
const MIN_CONNECTIONS: usize = 16;
/// Bodies up to this many bytes are covered by the memory of their connection.
pub const SMALL_BODY_BYTES: usize = 4 * 1024;
/// Maximum memory of one streamed body, KiB: the part kept for a retry, and a window on each side.
pub const STREAM_KIB: usize = 128;

/// Resource limits of a process.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
pub struct Limits {
    /// File descriptors, including all sockets.
    #[serde(default = "usual_sockets")]
    pub sockets: usize,
    /// Memory, MB.
    #[serde(default = "usual_memory")]
    pub memory_mb: f64,
}

fn usual_memory() -> f64 {
    192.0
}

fn usual_sockets() -> usize {
    1024
}

impl Default for Limits {
    fn default() -> Self {
        Limits { sockets: usual_sockets(), memory_mb: usual_memory() }
    }
}

/// Connections and body memory that a process may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Budget {
    /// Client connections.
    pub clients: usize,
    /// Server connections.
    pub servers: usize,
    /// Memory for request bodies, KiB.
    pub uploads_kib: usize,
    /// Memory for response bodies, KiB.
    pub answers_kib: usize,
}

impl Budget {
    /// Divides the limits. `others` is the number of descriptors that optional features use; `part` is the share (0 to
    /// 1) of the limits that this process has while another process runs.
    pub fn divide(limits: Limits, others: usize, part: f64) -> Budget {
        let part = part.clamp(0.0, 1.0);
        let memory = limits.memory_mb.max(0.0) * 1024.0 * MEMORY_SHARE * part;
        let affordable = (memory * (1.0 - BODY_SHARE) / CONNECTION_KIB) as usize;
        let sockets = (limits.sockets as f64 * part) as usize;
        let connections = sockets.saturating_sub(RESERVED_DESCRIPTORS + others);
        let connections = connections.min(affordable).clamp(MIN_CONNECTIONS, MAX_CONNECTIONS);
        let clients = (connections as f64 * CLIENT_SHARE) as usize;
        let bodies = memory - connections as f64 * CONNECTION_KIB;
        // At least one stream in each direction, or no streamed body could ever be forwarded.
        let per_direction = ((bodies / 2.0).max(0.0) as usize).max(STREAM_KIB);
        Budget {
            clients,
            servers: connections - clients,
            uploads_kib: per_direction,
            answers_kib: per_direction,
        }
    }
}

#[cfg(test)]
mod tests;
