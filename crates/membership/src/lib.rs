//! What a tree of ephemeral nodes says about which servers there are.
//!
//! No I/O and no clock: [`reconcile::Reconciler`] is told what was read and what happened to the session, with the time,
//! and says what to read next and what changed in the list. [`payload`] reads what a node holds.
//! [`register::Registration`] keeps a limiter's own node in the same way, and knows its number among all limiters.
//! [`intake::Intake`] makes one list of several sources ([`sources`]) and holds down members that flap ([`damping`]).

pub mod damping;
pub mod intake;
pub mod payload;
pub mod reconcile;
pub mod register;
pub mod sources;
