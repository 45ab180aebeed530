//! A fake ZooKeeper ensemble that speaks the client protocol over loopback and injects faults on request.
//!
//! Written from the protocol's public description (Jute records, length-prefixed frames). All endpoints share one
//! tree. Supports sessions, ephemeral and sequential nodes, one-shot and persistent watches, and multi.

mod jute;
mod server;
mod tree;

pub use server::{Coordinator, Endpoint};
pub use tree::{Stat, Tree};
