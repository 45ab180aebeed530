//! Agreement of a fleet of limiters on one revision of the rules, with a bound on how long two limiters may apply
//! different ones.
//!
//! Nothing here performs I/O or reads a clock: the caller passes the time in, in ms on its own monotonic clock, and
//! receives the actions to carry out as [`node::Output`]. The safety argument is in `docs/design/agreement.md`.
//!
//! | module | does |
//! | --- | --- |
//! | `timing` | lease durations and delays, and the bound on divergence that they must keep |
//! | `document` | revisions: immutable, numbered, hashed |
//! | `fetch` | transfers texts of revisions in chunks |
//! | `message` | messages between limiters, and their authenticated frames |
//! | `member` | a limiter's lease on its rules, and the revisions that it holds, stages and activates |
//! | `decider` | collects confirmations and decides revisions |
//! | `election`, `rules_register` | elects the decider through a coordinator, and stores the last decided revision there |
//! | `node` | one limiter of a fleet: a member, or the named or elected decider |
//! | `strict` | contradictions between two sets of rules, and the stricter of the two |

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

/// A span of time, or a point on the caller's monotonic clock, ms.
pub type Millis = u64;

/// A limiter, by its index in the fleet's list, which is the same at all limiters.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
pub struct Peer(pub u16);
