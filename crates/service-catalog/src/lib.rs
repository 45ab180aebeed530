//! Who is who (*oatbank-service-catalog personae*): which server belongs to which service of which mesh, told alike by every
//! process that knows the same rows and the same configuration. No I/O and no clock.
//!
//! | module | holds |
//! | --- | --- |
//! | [`conflict`] | the one table of collisions, with what holds in each and why |
//! | [`catalog`] | an immutable snapshot of who owns what, swapped whole |
//! | [`commands`] | the commands of the shell that ask the catalogue |
//! | [`snapshot`] | answers for the shell: who owns a name, collisions, where a request goes, what changed |

pub mod catalog;
pub mod commands;
pub mod conflict;
pub mod snapshot;

pub use catalog::{Cast, Catalogue, Current, Entry, Standing, Tally, Use};
pub use conflict::Collision;
