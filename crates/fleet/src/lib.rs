//! One fleet, one set of rules: how limiters agree on a revision, and for how long two may act by different ones.
//!
//! Nothing here does I/O or reads a clock: time is handed in, in ms on a monotonic clock of the caller's own, and what is
//! to be done comes out as [`node::Output`]. The argument why it is safe is in `docs/design/agreement.md`.
//!
//! | module | does |
//! | --- | --- |
//! | `timing` | the times, and the formula that the stated time must keep |
//! | `document` | revisions: immutable, numbered, hashed |
//! | `fetch` | their texts, part by part |
//! | `message` | what limiters say to each other, and frames that only their fleet can read and write |
//! | `member` | a limiter's lease on its rules, and what it holds, stages and switches to |
//! | `decider` | who has confirmed what, and when a revision may be decided |
//! | `election`, `rules_register` | who decides, and what was decided last, where a coordinator's tree keeps that |
//! | `node` | one limiter of a fleet: a member, or the decider where it is the one named or elected |
//! | `strict` | what contradicts, and the stricter of two sets of rules |

pub mod decider;
pub mod document;
pub mod election;
mod fetch;
pub mod member;
pub mod message;
pub mod node;
mod rules_register;
pub mod strict;
pub mod timing;

/// A point in time or a span, ms; points are on a monotonic clock of the caller's.
pub type Millis = u64;

/// A limiter, by its place in the fleet's list, which is the same at all of them.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
pub struct Peer(pub u16);
