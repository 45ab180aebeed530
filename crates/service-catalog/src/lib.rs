//! Which server belongs to which service of which mesh: the same answer in every process that knows the same rows and the
//! same configuration. No I/O and no clock.
//!
//! | module | holds |
//! | --- | --- |
//! | [`conflict`] | the table of conflicts of names, with what holds in each and why |
//! | [`catalog`] | an immutable snapshot of who owns what |
//! | [`current`] | the catalog of the moment, replaced as a whole |
//! | [`reports`] | answers about a catalog: who owns a name, conflicts, where a request goes, what has changed |
//! | [`commands`] | the commands of `oatbankctl` that show them |

pub mod catalog;
pub mod commands;
pub mod conflict;
pub mod current;
pub mod reports;

pub use catalog::{Catalog, Entry, Ownership, PermittedUse, ServerCounts, ServiceOwners};
pub use conflict::Conflict;
pub use current::CurrentCatalog;
