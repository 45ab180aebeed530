//! The runtime that all programs of the system share: settings, logs, error kinds, RPC and the process life cycle.
//!
//! [`settings`] and [`error_kind`] do no I/O.
//!
//! | module | holds |
//! | --- | --- |
//! | [`settings`] | reading and checking the settings file; every error has its line and key |
//! | [`process`] | command line, signals, reloading of settings, and the single-threaded runtime |
//! | [`rpc`] | remote calls between processes over TCP |
//! | [`network`] | the network that connections use: the machine's own, or a simulated one |
//! | [`error_kind`] | the complete list of error kinds, each with its code and HTTP status |
//! | [`log`] | logging, and a rate limit for frequent lines |
//! | [`random`] | random numbers, reproducible from a seed in simulations |

pub mod error_kind;
pub mod log;
pub mod network;
pub mod process;
pub mod random;
pub mod rpc;
pub mod settings;
