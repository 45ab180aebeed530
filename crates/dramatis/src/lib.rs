//! Who is who (*dramatis personae*): which server belongs to which service of which mesh, told alike by every
//! process that knows the same rows and the same configuration. No I/O and no clock.
//!
//! | module | holds |
//! | --- | --- |
//! | [`collision`] | the one table of collisions, with what holds in each and why |
//! | [`catalogue`] | an immutable snapshot of who owns what, swapped whole |
//! | [`shell`] | the commands of the shell that ask the catalogue |
//! | [`tables`] | answers for the shell: who owns a name, collisions, where a request goes, what changed |

pub mod catalogue;
pub mod collision;
pub mod shell;
pub mod tables;

pub use catalogue::{Cast, Catalogue, Current, Entry, Standing, Tally, Use};
pub use collision::Collision;
