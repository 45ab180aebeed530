//! What operating a limiter must decide, as pure state: time is handed in, nothing is read, written or waited for.
//!
//! | module | holds |
//! | --- | --- |
//! | [`budget`] | descriptors and memory, divided by purpose |
//! | [`handover`] | a process and the one that follows it, as one limiter while both run |
//! | [`places`] | where names stand while lists of them change |
//! | [`suspension`] | which servers operators have taken out, beside what discovery says |

pub mod budget;
pub mod handover;
pub mod places;
pub mod suspension;
