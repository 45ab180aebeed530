//! The configuration store: one replicated register, agreed on by a majority of the core machines with Paxos and without
//! a standing leader. Any process may propose; the voters themselves are part of what is agreed (`docs/design/ballots.md`).
//!
//! | module | holds |
//! | --- | --- |
//! | [`messages`] | messages between processes, and what a voter keeps on disk |
//! | [`acceptor`] | what a voter has promised and accepted; no I/O |
//! | [`proposer`] | one operation on the register, over as many rounds as it takes; no I/O |
//! | [`known_record`], [`voter_change`], [`peek`] | what proposer and client share: the newest record, joint consensus, quorum reads |
//! | [`membership`] | which voters to add and to remove; no I/O |
//! | [`storage`] | a voter's file |
//! | [`voter`] | the process of the store: answers calls, keeps the set of voters (`voter_maintenance`, `voter_reporter`) |
//! | [`client`] | the register as other programs use it |

pub mod acceptor;
pub mod client;
mod guard;
pub mod known_record;
pub mod membership;
pub mod messages;
pub mod peek;
pub mod proposer;
pub mod storage;
#[cfg(test)]
mod tests;
pub mod voter;
pub mod voter_change;
mod voter_maintenance;
mod voter_reporter;
