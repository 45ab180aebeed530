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

/// A voter: a machine's address, and which of its disks. A machine that lost its disk is another voter.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Message)]
pub struct Member {
    /// Its address.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Drawn when its file was made; 0 for a founder's first one.
    #[prost(uint64, tag = "2")]
    pub id: u64,
}

/// The voters, as part of what is agreed.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Cast {
    /// They vote.
    #[prost(message, repeated, tag = "1")]
    pub members: Vec<Member>,
    /// During a change the voters before it: a majority of both is needed then. Empty otherwise.
    #[prost(message, repeated, tag = "2")]
    pub before: Vec<Member>,
    /// The ballot in which it was proposed, which tells it from all others; zero for the founders.
    #[prost(message, required, tag = "3")]
    pub made: Ballot,
}

/// No more voters than this: each one more makes a change dearer.
pub const MOST: usize = 9;

impl Cast {
    /// The voters at the founding.
    pub fn founders(names: &[String]) -> Cast {
        let members = names.iter().map(|name| Member { name: name.clone(), id: 0 }).collect();
        Cast { members, ..Cast::default() }
    }

    /// Whether those of which this holds are a majority, of the voters before as well while they change.
    pub fn quorum(&self, holds: impl Fn(&Member) -> bool) -> bool {
        let majority = |of: &[Member]| 2 * of.iter().filter(|member| holds(member)).count() > of.len();
        majority(&self.members) && (self.before.is_empty() || majority(&self.before))
    }

    /// Whether it is being changed.
    pub fn is_changing(&self) -> bool {
        !self.before.is_empty()
    }

    /// The addresses of all that have a say, each once.
    pub fn names(&self) -> Vec<String> {
        let mut names: Vec<String> = Vec::new();
        for member in self.members.iter().chain(&self.before) {
            if !names.contains(&member.name) {
                names.push(member.name.clone());
            }
        }
        names
    }
}

/// How many origins a record names.
pub const LINEAGE: usize = 16;

/// A value with its place in the chain.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Record {
    /// Counts the changes of the value, from 1; 0 while only the voters have changed.
    #[prost(uint64, tag = "1")]
    pub edition: u64,
    /// The ballots in which this edition and those before it were made, newest first, [`LINEAGE`] at most.
    #[prost(message, repeated, tag = "2")]
    pub lineage: Vec<Ballot>,
    /// The value.
    #[prost(bytes = "bytes", tag = "3")]
    pub value: Bytes,
    /// The voters; none for the founders.
    #[prost(message, optional, tag = "4")]
    pub cast: Option<Cast>,
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

/// What came of a question.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Enumeration)]
#[repr(i32)]
pub enum Verdict {
    /// It cannot be read.
    Unread = 0,
    /// Done, and durable.
    Given = 1,
    /// Another ballot is in the way.
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
    /// The voter's own [`Member::id`].
    #[prost(uint64, tag = "2")]
    pub id: u64,
    /// The highest ballot promised.
    #[prost(message, required, tag = "4")]
    pub promised: Ballot,
    /// The ballot of the record it holds; zero if none.
    #[prost(message, required, tag = "5")]
    pub accepted: Ballot,
    /// It holds the record because others told it, not because it accepted it.
    #[prost(bool, tag = "6")]
    pub adopted: bool,
    /// The edition of the record it holds.
    #[prost(uint64, tag = "7")]
    pub edition: u64,
    /// The record, where it is newer than what the asker knows.
    #[prost(message, optional, tag = "8")]
    pub record: Option<Record>,
    /// [`Cast::made`] of the record it holds.
    #[prost(message, required, tag = "10")]
    pub cast_made: Ballot,
}

/// Asks a program who votes.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Who {
    /// A record accepted in this ballot, or before it, need not be sent.
    #[prost(message, required, tag = "1")]
    pub known: Ballot,
}

/// Says who votes, as far as this program knows.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Here {
    /// Addresses of the founders; empty if not known. They vote where no record says otherwise.
    #[prost(string, repeated, tag = "1")]
    pub founders: Vec<String>,
    /// Whom else it would ask.
    #[prost(string, repeated, tag = "4")]
    pub seeds: Vec<String>,
    /// The program's own [`Member::id`].
    #[prost(uint64, tag = "5")]
    pub id: u64,
    /// The ballot of the record it holds.
    #[prost(message, required, tag = "6")]
    pub accepted: Ballot,
    /// The record, where it is newer than what the asker knows.
    #[prost(message, optional, tag = "7")]
    pub record: Option<Record>,
    /// Its disk takes no writes: it gives no votes now.
    #[prost(bool, tag = "8")]
    pub unable: bool,
}

/// What a voter keeps on its disk, besides the record. The layout before had the voter's place, its incarnation and
/// the others' incarnations in tags 2 to 4: such a voter is a founder, with the id 0.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Kept {
    /// Addresses of the founders, where it is one.
    #[prost(string, repeated, tag = "1")]
    pub founders: Vec<String>,
    /// The highest ballot promised.
    #[prost(message, required, tag = "5")]
    pub promised: Ballot,
    /// The ballot of the record.
    #[prost(message, required, tag = "6")]
    pub accepted: Ballot,
    /// See [`Answer::adopted`].
    #[prost(bool, tag = "7")]
    pub adopted: bool,
    /// Its [`Member::id`].
    #[prost(uint64, tag = "8")]
    pub id: u64,
}
