//! The configuration store: one replicated register, agreed on by a majority of the core machines with leaderless
//! Paxos. Any process may propose, and the set of voters is part of the agreed record (`docs/design/ballots.md`).
//!
//! | module | holds |
//! | --- | --- |
//! | [`messages`] | messages between processes, and a voter's state on disk |
//! | [`acceptor`] | a voter's promised proposal and accepted record; no I/O |
//! | [`proposer`] | one operation on the register, over as many rounds as it needs; no I/O |
//! | [`known_record`], [`voter_change`], [`peek`] | shared by proposer and client: the newest record, joint consensus, quorum reads |
//! | [`membership`] | which voters to add and to remove; no I/O |
//! | [`storage`] | a voter's file |
//! | [`voter`] | the store process: answers requests and maintains the set of voters (`voter_maintenance`, `voter_reporter`) |
//! | [`client`] | the client library of the register |

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
