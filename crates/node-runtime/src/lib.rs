//! What every program of the system runs on, whatever it does: settings, logs, error kinds, calls between processes and
//! the process's own life cycle.
//!
//! [`settings`] and [`error_kind`] do no I/O; the other modules are the shells around them.
//!
//! | module | holds |
//! | --- | --- |
//! | [`settings`] | the settings file: read, checked, every error with its line and key |
//! | [`process`] | command line, signals and the thread that all else runs on |
//! | [`rpc`] | calls between processes over TCP |
//! | [`network`] | where connections come from: the machine, or a simulation |
//! | [`error_kind`] | the closed list of error kinds, with the table from kind to HTTP status |
//! | [`log`] | logging, and a limit on lines that may come often |
//! | [`random`] | random numbers, or numbers from a seed |

pub mod error_kind;
pub mod log;
pub mod network;
pub mod process;
pub mod random;
pub mod rpc;
pub mod settings;
