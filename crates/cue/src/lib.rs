//! What may still be done with a try, and what became of it. A cue is called once.
//!
//! Pure: no clock, no I/O, no other crate. [`once`] is the one place that allows a second server or a
//! promise; [`outcomes`] keeps what became of tries that may run once, and merges what several proxies know.

pub mod once;
pub mod outcomes;
