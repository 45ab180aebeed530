//! What is said between programs, and what is kept on disk. One [`Answer`] serves all that is asked of a voter.

use bytes::Bytes;
use prost::{Enumeration, Message};
use std::fmt;

/// Kinds of frames.
pub mod kind {
    /// [`super::Prepare`], answered with [`super::Answer`].
    pub const PREPARE: u8 = 1;
    /// [`super::Accept`], answered with [`super::Answer`].
    pub const ACCEPT: u8 = 2;
    /// [`super::Peek`], answered with [`super::Answer`].
    pub const PEEK: u8 = 3;
    /// [`super::Fetch`], answered with [`super::Answer`].
    pub const FETCH: u8 = 4;
    /// [`super::Rejoin`], answered with [`super::Answer`].
    pub const REJOIN: u8 = 5;
    /// [`super::Who`], answered with [`super::Here`].
    pub const WHO: u8 = 6;
}

/// The number of a round. No two rounds have the same one; the zero ballot comes before all.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Message)]
pub struct Ballot {
    /// Counts up.
    #[prost(uint64, tag = "1")]
    pub round: u64,
    /// Which life of which proposer.
    #[prost(uint64, tag = "2")]
    pub by: u64,
}

impl fmt::Display for Ballot {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:x}", self.round, self.by)
    }
}

/// How many origins a record names.
pub const LINEAGE: usize = 16;

/// A value with its place in the chain.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Record {
    /// Counts the changes, from 1.
    #[prost(uint64, tag = "1")]
    pub edition: u64,
    /// The ballots in which this edition and those before it were made, newest first, [`LINEAGE`] at most.
    #[prost(message, repeated, tag = "2")]
    pub lineage: Vec<Ballot>,
    /// The value.
    #[prost(bytes = "bytes", tag = "3")]
    pub value: Bytes,
}

/// Asks for a promise.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Prepare {
    /// The round's number.
    #[prost(message, required, tag = "1")]
    pub ballot: Ballot,
    /// A record accepted in this ballot, or before it, need not be sent.
    #[prost(message, required, tag = "2")]
    pub known: Ballot,
}

/// Asks to accept a record.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Accept {
    /// The round's number.
    #[prost(message, required, tag = "1")]
    pub ballot: Ballot,
    /// The record.
    #[prost(message, required, tag = "2")]
    pub record: Record,
    /// For each voter the incarnation whose promise was counted, 0 for none.
    #[prost(uint64, repeated, tag = "3")]
    pub counted: Vec<u64>,
}

/// Asks in which ballot the voter has accepted, and which edition.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Peek {}

/// Asks for the accepted record.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Fetch {
    /// Not sent if it was accepted in this ballot or before it.
    #[prost(message, required, tag = "1")]
    pub known: Ballot,
}

/// Says that a voter has lost its disk and votes under a new incarnation from then on; asks for what the asked one
/// holds.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Rejoin {
    /// Which voter.
    #[prost(uint32, tag = "1")]
    pub voter: u32,
    /// Its new incarnation.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// What the asked one gave out last for this voter, so that nothing from an earlier life of it is taken late.
    #[prost(uint64, tag = "3")]
    pub ticket: u64,
}

/// What came of a question.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Enumeration)]
#[repr(i32)]
pub enum Verdict {
    /// Does not vote (now).
    NotVoting = 0,
    /// Done, and durable.
    Given = 1,
    /// Another ballot or incarnation is in the way.
    Rejected = 2,
    /// The disk did not take it.
    Unable = 3,
}

/// A voter's answer.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Answer {
    /// What came of it.
    #[prost(enumeration = "Verdict", tag = "1")]
    pub verdict: i32,
    /// The voter's own incarnation.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// For each voter the newest incarnation that this one knows of.
    #[prost(uint64, repeated, tag = "3")]
    pub known: Vec<u64>,
    /// The highest ballot promised.
    #[prost(message, required, tag = "4")]
    pub promised: Ballot,
    /// The ballot of the record it holds; zero if none.
    #[prost(message, required, tag = "5")]
    pub accepted: Ballot,
    /// It holds the record because it rejoined, not because it accepted it.
    #[prost(bool, tag = "6")]
    pub adopted: bool,
    /// The edition of the record it holds.
    #[prost(uint64, tag = "7")]
    pub edition: u64,
    /// The record, where it is newer than what the asker knows.
    #[prost(message, optional, tag = "8")]
    pub record: Option<Record>,
    /// To one that rejoins: the ticket that its questions have to carry.
    #[prost(uint64, tag = "9")]
    pub ticket: u64,
}

/// Asks a program who votes.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Who {}

/// In which state a program of the store is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Enumeration)]
#[repr(i32)]
pub enum Standing {
    /// It is no voter, or doesn't know yet.
    Outside = 0,
    /// It votes.
    Voting = 1,
    /// It has lost its disk and learns again.
    Rejoining = 2,
}

/// Says who votes.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Here {
    /// Addresses of the voters in their order; empty if not known.
    #[prost(string, repeated, tag = "1")]
    pub voters: Vec<String>,
    /// The program's own state.
    #[prost(enumeration = "Standing", tag = "2")]
    pub standing: i32,
    /// Its incarnation, 0 for none.
    #[prost(uint64, tag = "3")]
    pub incarnation: u64,
    /// Whom else it would ask.
    #[prost(string, repeated, tag = "4")]
    pub seeds: Vec<String>,
}

/// What a voter keeps on its disk, besides the record.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Kept {
    /// Addresses of the voters in their order.
    #[prost(string, repeated, tag = "1")]
    pub voters: Vec<String>,
    /// Its own place among them.
    #[prost(uint32, tag = "2")]
    pub me: u32,
    /// Its own incarnation.
    #[prost(uint64, tag = "3")]
    pub incarnation: u64,
    /// For each voter the newest incarnation that it knows of; 0 for none.
    #[prost(uint64, repeated, tag = "4")]
    pub known: Vec<u64>,
    /// The highest ballot promised.
    #[prost(message, required, tag = "5")]
    pub promised: Ballot,
    /// The ballot of the record.
    #[prost(message, required, tag = "6")]
    pub accepted: Ballot,
    /// It holds the record because it rejoined.
    #[prost(bool, tag = "7")]
    pub adopted: bool,
}
