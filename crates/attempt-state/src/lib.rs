//! What may still be done with a try, and what became of it. A cue is called once.
//!
//! Pure: no clock, no I/O, no other crate. [`attempt`] is the one place that allows a second server or a
//! promise; [`outcome_log`] keeps what became of tries that may run once, and merges what several proxies know.

pub mod attempt;
pub mod outcome_log;
