//! Assigns servers to the services that own them. Every process with the same server rows and the same configuration gets
//! the same result. No I/O and no clock.
//!
//! | module | holds |
//! | --- | --- |
//! | [`conflict`] | the kinds of conflicting claims, with the rule for each and its reason |
//! | [`catalog`] | an immutable snapshot of servers and their owners |
//! | [`current`] | the current catalog, replaced as a whole |
//! | [`reports`] | tables for operators: owners of a name, conflicts, the route of a request, changes between snapshots |
//! | [`commands`] | the `oatbankctl` commands that return these reports |

pub mod catalog;
pub mod commands;
pub mod conflict;
pub mod current;
pub mod reports;

pub use catalog::{Catalog, Entry, Ownership, PermittedUse, ServerCounts, ServiceOwners};
pub use conflict::Conflict;
pub use current::CurrentCatalog;
