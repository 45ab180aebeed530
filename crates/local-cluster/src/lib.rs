//! Runs the whole system on one machine: its three programs as child processes on loopback addresses, and test servers,
//! clients and operators in this process. These implement the documented protocols and share no code with the programs,
//! so that their records are independent evidence.
//!
//! | module | purpose |
//! | --- | --- |
//! | [`cluster`] | machines with addresses, settings files and processes that can be killed, stopped and shut down |
//! | [`programs`] | finds the programs' executables and builds them if needed |
//! | [`server`] | test servers with selectable behaviour |
//! | [`client`] | clients: single tries at a proxy, and requests with directory lookup and retries |
//! | [`operator`] | configurations and operator calls |
//! | [`failing`], [`chart`] | scenario of a backend that fails and recovers, as a live table and as an SVG chart |
//! | [`changes`] | measures configuration changes until they are acknowledged and applied |
//! | [`checker`] | compares the runs recorded by servers with the answers that clients got |
//! | [`soak`] | soak test under random overlapping faults |
//! | [`shell`] | queries through the operator's shell `oatbankctl` |
//! | [`traffic`] | load generator with a fixed rate |
//! | [`http`], [`wait`], [`error`] | HTTP/1.1 on a socket, waiting for conditions, errors |

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

/// Returns a random number. It is not reproducible; seeded tests use [`soak::schedule::Random`].
pub fn random_u64() -> u64 {
    use std::hash::{BuildHasher, RandomState};
    RandomState::new().hash_one(0u8)
}
