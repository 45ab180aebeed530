//! Stand-ins for all that a limiter meets, on loopback; the daemon started against them; and the suites that
//! every implementation of a port is run through.

pub mod client;
pub mod conformance;
pub mod counter;
pub mod discovery;
pub mod fleet;
pub mod limiter;
pub mod message;
pub mod rig;
pub mod server;
pub mod standalone;
pub mod wait;
pub mod zookeeper;

pub use client::Client;
pub use counter::Counter;
pub use discovery::{all_ready, list, member, Discovery};
pub use fleet::{Fleet, Ill, Met};
pub use limiter::{Limiter, Setup, WIDE};
pub use message::{answer, read_message, Message};
pub use server::{Act, Server};
pub use standalone::{Scratch, Standalone};
pub use wait::{eventually, within, PATIENCE};
