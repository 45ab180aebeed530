//! Operational state machines of a limiter: callers pass in the time, and nothing here does I/O or blocks.
//!
//! | module | holds |
//! | --- | --- |
//! | [`budget`] | division of file descriptors and memory by purpose |
//! | [`handover`] | coordination of an old and a new process during an upgrade |
//! | [`places`] | stable positions for names while the list of names changes |
//! | [`suspension`] | servers that operators have suspended, independent of discovery |

pub mod budget;
pub mod handover;
pub mod places;
pub mod suspension;
