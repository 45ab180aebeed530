//! Messages between processes, and the state that a voter keeps on disk. [`VoterResponse`] answers all Paxos requests.
//!
//! Field tags and message kinds are fixed: during a rolling upgrade two versions run side by side, and a voter reads
//! the file written by the previous version (`tests/compatibility.rs`).

use bytes::Bytes;
use prost::{Enumeration, Message};
use std::fmt;

/// Kinds of requests, as encoded in a frame.
pub mod kind {
    /// [`super::Prepare`], answered with [`super::VoterResponse`].
    pub const PREPARE: u8 = 1;
    /// [`super::Accept`], answered with [`super::VoterResponse`].
    pub const ACCEPT: u8 = 2;
    /// [`super::Peek`], answered with [`super::VoterResponse`].
    pub const PEEK: u8 = 3;
    /// [`super::Fetch`], answered with [`super::VoterResponse`].
    pub const FETCH: u8 = 4;
    /// [`super::LocalStateRequest`], answered with [`super::LocalState`].
    pub const LOCAL_STATE: u8 = 6;
}

/// The number of a proposal (a ballot number in Paxos). No two rounds of any proposers have the same one. The default,
/// zero, sorts before all others.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Message)]
pub struct ProposalNumber {
    /// The round; it only increases.
    #[prost(uint64, tag = "1")]
    pub round: u64,
    /// The id of the proposer; it differs between incarnations of a program.
    #[prost(uint64, tag = "2")]
    pub proposer_id: u64,
}

impl fmt::Display for ProposalNumber {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:x}", self.round, self.proposer_id)
    }
}

/// A voter: a machine together with one of its disks. A machine that has lost its disk becomes a different voter.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Message)]
pub struct VoterId {
    /// The machine's address, with the port of the store.
    #[prost(string, tag = "1")]
    pub address: String,
    /// Chosen at random when the voter's file is created; 0 for a founder's first disk.
    #[prost(uint64, tag = "2")]
    pub disk_id: u64,
}

/// The set of voters, which is part of the agreed record (comparable to `ConfState` in Raft implementations).
#[derive(Clone, PartialEq, Eq, Message)]
pub struct VoterConfiguration {
    /// The voters.
    #[prost(message, repeated, tag = "1")]
    pub voters: Vec<VoterId>,
    /// During a change, the voters before it: a majority of each set is needed (joint consensus). Empty otherwise.
    #[prost(message, repeated, tag = "2")]
    pub outgoing: Vec<VoterId>,
    /// The proposal that introduced this configuration and identifies it; zero for the founders.
    #[prost(message, required, tag = "3")]
    pub proposed_in: ProposalNumber,
}

/// The largest number of voters; each further voter makes a change more expensive.
pub const MAX_VOTERS: usize = 9;

impl VoterConfiguration {
    /// Returns the configuration of the founders, which are the voters before any change.
    pub fn founders(addresses: &[String]) -> VoterConfiguration {
        let founder = |address: &String| VoterId { address: address.clone(), disk_id: 0 };
        VoterConfiguration {
            voters: addresses.iter().map(founder).collect(),
            ..VoterConfiguration::default()
        }
    }

    /// Returns whether the voters for which `holds` is true are a majority; during a change, a majority of each set.
    pub fn quorum(&self, holds: impl Fn(&VoterId) -> bool) -> bool {
        let majority = |of: &[VoterId]| 2 * of.iter().filter(|voter| holds(voter)).count() > of.len();
        majority(&self.voters) && (self.outgoing.is_empty() || majority(&self.outgoing))
    }

    /// Returns whether this is a joint configuration.
    pub fn is_changing(&self) -> bool {
        !self.outgoing.is_empty()
    }

    /// Returns the addresses of all voters of both sets, each once.
    pub fn addresses(&self) -> Vec<String> {
        let mut addresses: Vec<String> = Vec::new();
        for voter in self.voters.iter().chain(&self.outgoing) {
            if !addresses.contains(&voter.address) {
                addresses.push(voter.address.clone());
            }
        }
        addresses
    }
}

/// The largest number of proposals in [`Record::lineage`].
pub const MAX_LINEAGE: usize = 16;

/// The agreed record: a value, the proposals that made it, and the voters.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Record {
    /// Counts the changes of the value, from 1; 0 while only the voters have changed.
    #[prost(uint64, tag = "1")]
    pub edition: u64,
    /// The proposals that made this edition and those before it, newest first, at most [`MAX_LINEAGE`]. From it a
    /// proposer whose round was interrupted finds out whether its change was made.
    #[prost(message, repeated, tag = "2")]
    pub lineage: Vec<ProposalNumber>,
    /// The value.
    #[prost(bytes = "bytes", tag = "3")]
    pub value: Bytes,
    /// The voters; `None` means the founders.
    #[prost(message, optional, tag = "4")]
    pub configuration: Option<VoterConfiguration>,
}

/// Phase 1 of a round: asks for a promise.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Prepare {
    /// The round's number.
    #[prost(message, required, tag = "1")]
    pub proposal: ProposalNumber,
    /// A record accepted in this proposal or before it need not be sent.
    #[prost(message, required, tag = "2")]
    pub known: ProposalNumber,
}

/// Phase 2 of a round: asks to accept a record.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Accept {
    /// The round's number.
    #[prost(message, required, tag = "1")]
    pub proposal: ProposalNumber,
    /// The record.
    #[prost(message, required, tag = "2")]
    pub record: Record,
}

/// Asks which proposal and edition the voter has accepted.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Peek {}

/// Asks for the accepted record.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Fetch {
    /// A record accepted in this proposal or before it need not be sent.
    #[prost(message, required, tag = "1")]
    pub known: ProposalNumber,
}

/// The result of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Enumeration)]
#[repr(i32)]
pub enum ResponseStatus {
    /// The request could not be decoded.
    Unreadable = 0,
    /// Granted, and durable.
    Granted = 1,
    /// A higher proposal was promised.
    Rejected = 2,
    /// The write to disk failed.
    StorageUnavailable = 3,
}

/// A voter's response.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct VoterResponse {
    /// The result, a [`ResponseStatus`].
    #[prost(enumeration = "ResponseStatus", tag = "1")]
    pub status: i32,
    /// The voter's own [`VoterId::disk_id`].
    #[prost(uint64, tag = "2")]
    pub disk_id: u64,
    /// The highest proposal promised.
    #[prost(message, required, tag = "4")]
    pub promised: ProposalNumber,
    /// The proposal in which the stored record was accepted; zero if there is none.
    #[prost(message, required, tag = "5")]
    pub accepted: ProposalNumber,
    /// Whether the record was learned from another process, without a vote for it.
    #[prost(bool, tag = "6")]
    pub adopted: bool,
    /// The edition of the stored record; 0 if there is none.
    #[prost(uint64, tag = "7")]
    pub edition: u64,
    /// The record, if it is newer than the one the caller knows.
    #[prost(message, optional, tag = "8")]
    pub record: Option<Record>,
    /// [`VoterConfiguration::proposed_in`] of the stored record.
    #[prost(message, required, tag = "10")]
    pub configuration_proposed_in: ProposalNumber,
}

/// Asks a store process for the voters it knows of.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct LocalStateRequest {
    /// A record accepted in this proposal or before it need not be sent.
    #[prost(message, required, tag = "1")]
    pub known: ProposalNumber,
}

/// The voters that one store process knows of: the founders, and the record that names later ones.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct LocalState {
    /// Addresses of the founders, which are the voters if no record names any; empty if unknown.
    #[prost(string, repeated, tag = "1")]
    pub founders: Vec<String>,
    /// Addresses of further processes to ask.
    #[prost(string, repeated, tag = "4")]
    pub seeds: Vec<String>,
    /// The process's own [`VoterId::disk_id`].
    #[prost(uint64, tag = "5")]
    pub disk_id: u64,
    /// The proposal in which the stored record was accepted.
    #[prost(message, required, tag = "6")]
    pub accepted: ProposalNumber,
    /// The record, if it is newer than the one the caller knows.
    #[prost(message, optional, tag = "7")]
    pub record: Option<Record>,
    /// Whether its last write to disk failed, so that it grants no requests.
    #[prost(bool, tag = "8")]
    pub unable: bool,
}

/// The state that a voter keeps on disk besides the record. The previous layout had the voter's index, its incarnation
/// and the incarnations of the others in tags 2 to 4: such a voter is a founder, with the disk id 0.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct PersistentState {
    /// Addresses of the founders, if this voter is one of them; empty otherwise.
    #[prost(string, repeated, tag = "1")]
    pub founders: Vec<String>,
    /// The highest proposal promised.
    #[prost(message, required, tag = "5")]
    pub promised: ProposalNumber,
    /// The proposal in which the record was accepted.
    #[prost(message, required, tag = "6")]
    pub accepted: ProposalNumber,
    /// See [`VoterResponse::adopted`].
    #[prost(bool, tag = "7")]
    pub adopted: bool,
    /// Its [`VoterId::disk_id`].
    #[prost(uint64, tag = "8")]
    pub disk_id: u64,
}
