//! What a process may take, divided by purpose before any of it is taken, so that the limits hold in sum.
//!
//! Descriptors: what runs the limiter first (its own, the counter's, discovery's, the second address), then clients' and
//! servers' connections by halves. Memory: a share stays for what grows with customers and for the allocator; of the rest
//! each connection has a fixed part, and bodies have what is left, requests' and answers' by halves, so that neither can
//! take the other's place. What gives way: at the limit of connections the client that has been silent for the longest;
//! at the limit of bodies the next body waits, and its sender with it.

use serde::Deserialize;

/// Descriptors kept for all that is neither a client's nor a server's connection: the counter's (twice while it
/// moves), discovery's, the listener and the runtime's own.
const RESERVED_DESCRIPTORS: usize = 24;
/// Share of the rest that goes to clients; servers get what is left. Clients hold a third of all at most for
/// requests, and each request may need a server's connection, and a second copy another.
const CLIENT_SHARE: f64 = 0.5;
/// Share of the memory that is divided here.
const MEMORY_SHARE: f64 = 0.6;
/// What a connection takes without a body, KiB: its buffer as it is at first, its state and its task, and a body of
/// [`SMALL_BODY_BYTES`] bytes.
const CONNECTION_KIB: f64 = 24.0;
/// Of the divided memory bodies have at least this share; connections are bounded by it where memory is scarce.
const BODY_SHARE: f64 = 0.4;
/// Connections of both kinds stay under this, however many descriptors there are.
const MAX_CONNECTIONS: usize = 4096;
/// Fewer connections than this are no limiter.
const MIN_CONNECTIONS: usize = 16;
/// A body up to this many bytes is covered by its connection's part.
pub const SMALL_BODY_BYTES: usize = 4 * 1024;
/// What a stream takes, KiB, at most: what is affordable of it for another attempt, and a window on both sides.
pub const STREAM_KIB: usize = 128;

/// What a process may take.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
pub struct Limits {
    /// File descriptors, sockets of all kinds among them.
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

/// The parts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Budget {
    /// Clients' connections.
    pub clients: usize,
    /// Connections to servers.
    pub servers: usize,
    /// Bodies of requests, KiB.
    pub uploads_kib: usize,
    /// Bodies of answers, KiB.
    pub answers_kib: usize,
}

impl Budget {
    /// Divides the limits, of which `others` descriptors are taken by what else is switched on, and this process has
    /// `part` while another runs beside it.
    pub fn divide(limits: Limits, others: usize, part: f64) -> Budget {
        let part = part.clamp(0.0, 1.0);
        let memory = limits.memory_mb.max(0.0) * 1024.0 * MEMORY_SHARE * part;
        let affordable = (memory * (1.0 - BODY_SHARE) / CONNECTION_KIB) as usize;
        let sockets = (limits.sockets as f64 * part) as usize;
        let connections = sockets.saturating_sub(RESERVED_DESCRIPTORS + others);
        let connections = connections.min(affordable).clamp(MIN_CONNECTIONS, MAX_CONNECTIONS);
        let clients = (connections as f64 * CLIENT_SHARE) as usize;
        let bodies = memory - connections as f64 * CONNECTION_KIB;
        // One stream each way at least, or none could ever pass.
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
