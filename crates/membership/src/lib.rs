//! Server membership, derived from a tree of ephemeral coordinator nodes and from other sources.
//!
//! No I/O and no clock: [`reconcile::Reconciler`] receives the results of reads and the events of the session, with the
//! time, and returns what to read next and what changed in the list. [`payload`] parses the payload of a node.
//! [`register::Registration`] maintains a limiter's own node in the same way, and its number among all limiters.
//! [`intake::Intake`] merges several sources ([`sources`]) into one list and holds down flapping members ([`damping`]).

pub mod damping;
pub mod intake;
pub mod payload;
pub mod reconcile;
pub mod register;
pub mod sources;
