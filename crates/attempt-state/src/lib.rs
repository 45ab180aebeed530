//! Exactly-once bookkeeping of a request: what may still be done with it, and what became of it.
//!
//! Pure: no clock, no I/O, no other crate of the system. [`attempt`] is the one place that allows a second server or a promise
//! that a request has not run; [`outcome_log`] keeps the outcomes of requests that may run at most once, and merges what
//! several proxies know.

pub mod attempt;
pub mod outcome_log;
