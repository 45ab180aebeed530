//! What a tree of ephemeral nodes says about which servers there are.
//!
//! No I/O and no clock: [`reconcile::Reconciler`] is told what was read and what happened to the session, with the time,
//! and says what to read next and what changed in the list. [`payload`] reads what a node holds.

pub mod payload;
pub mod reconcile;
