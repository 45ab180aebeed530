//! A stand-in for a ZooKeeper ensemble: the published client protocol over loopback, with faults on command.
//!
//! Written from the protocol's public description (Jute records, length-prefixed frames). One tree, any number of
//! addresses; sessions, ephemeral and sequential nodes, one-shot and persistent watches, multi.

mod jute;
mod server;
mod tree;

pub use server::{Coordinator, Endpoint};
pub use tree::{Stat, Tree};
