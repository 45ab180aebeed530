//! Fakes of every service that a limiter talks to, on loopback; helpers that start the daemon against them; and
//! conformance suites for the implementations of each port.

pub mod client;
pub mod conformance;
pub mod counter;
pub mod discovery;
pub mod fleet;
pub mod limiter;
pub mod loop_thread;
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
pub use loop_thread::LoopThread;
pub use message::{answer, read_message, Message};
pub use server::{Act, Server};
pub use standalone::{Scratch, Standalone};
pub use wait::{eventually, within, PATIENCE};
