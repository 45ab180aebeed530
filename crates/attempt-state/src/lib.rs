//! State of requests that may run at most once, and their outcomes.
//!
//! No clock, no I/O and no dependency on other crates of the workspace. [`attempt`] is the only place that permits a second
//! server, or the assertion to the client that a request has not run. [`outcome_log`] stores the outcomes of at-most-once
//! requests and merges the outcomes known to several proxies.

pub mod attempt;
pub mod outcome_log;
