//! The whole system on one's own machine: its three programs as child processes on loopback addresses, and in this process
//! what stands around them: servers, clients and operators. They speak what the users' pages say and share no code with the
//! programs, so what they saw is evidence.
//!
//! | module | does |
//! | --- | --- |
//! | [`cluster`] | machines with addresses, settings files and processes: started, killed, frozen, ended |
//! | [`programs`] | where the programs' files are, and building them |
//! | [`server`] | stand-in servers, each with a manner in which it answers |
//! | [`client`] | clients: one try at one proxy, and requests by way of the directory |
//! | [`operator`] | configurations and orders |
//! | [`failing`], [`chart`] | a backend that fails and recovers, live and as a picture |
//! | [`changes`] | changes of the configuration, and who acts by them when they are acknowledged |
//! | [`checker`] | what servers ran against what clients were told |
//! | [`soak`] | random faults that overlap, with clients that leave, and what must hold of it |
//! | [`shell`] | asking the system by its own shell |
//! | [`traffic`] | requests at a rate, counted |
//! | [`http`], [`wait`], [`error`] | messages on a socket, waiting for conditions, what goes wrong |

pub mod changes;
pub mod chart;
pub mod checker;
pub mod client;
pub mod cluster;
pub mod error;
pub mod failing;
pub mod http;
pub mod operator;
pub mod programs;
pub mod server;
pub mod shell;
pub mod soak;
pub mod traffic;
pub mod wait;

/// A number drawn by chance.
pub fn random_u64() -> u64 {
    use std::hash::{BuildHasher, RandomState};
    RandomState::new().hash_one(0u8)
}
