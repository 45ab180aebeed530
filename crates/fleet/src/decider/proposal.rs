//! What an operator asks for, what becomes of it, and the revision that is being decided.

use crate::document::{Id, Revision};
use crate::message::Verdict;
use crate::{Millis, Peer};
use std::collections::BTreeSet;
use std::sync::Arc;

/// What an operator asks for.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Proposal {
    /// By which the answer is known.
    pub ticket: u64,
    /// The number of the revision it is to follow; without, whichever is current.
    pub expect: Option<u64>,
    /// Who asks.
    pub author: String,
    /// The text.
    pub text: Arc<str>,
    /// Limiters that are gone by the operator's word: they are not waited for.
    pub excluded: BTreeSet<Peer>,
    /// Only whether all would confirm.
    pub dry_run: bool,
    /// How long it may take, ms.
    pub timeout: Millis,
}

/// What became of a proposal.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ProposalOutcome {
    /// It is decided, and takes effect after this, ms.
    Decided(Id, Millis),
    /// All could take it; nothing has changed.
    Acceptable,
    /// A limiter cannot take it.
    Vetoed(Peer, String),
    /// Another revision is current.
    Conflict(Id),
    /// Another proposal is being decided.
    Busy(Id),
    /// These have neither confirmed nor surely stopped; nothing has changed.
    TimedOut(Vec<Peer>),
    /// The decider has just started, and these may still act by rules that it does not know.
    Recovering(Vec<Peer>),
    /// The text is too long.
    TooLong(usize),
    /// This limiter does not decide; who does, if it knows.
    NotDecider(Option<Peer>),
    /// The coordinator does not answer, and nothing is decided without it.
    NoCoordinator,
    /// It may be decided or not: the coordinator did not answer in time, or this limiter has lost its term.
    Unknown(Id),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct PendingRevision {
    pub(super) revision: Arc<Revision>,
    pub(super) ask: Proposal,
    pub(super) until: Millis,
    /// What it finds itself.
    pub(super) own: Option<Verdict>,
    /// When it takes effect, once it is decided.
    pub(super) effective_at: Option<Millis>,
    /// Whether the coordinator keeps it.
    pub(super) persistence: Persistence,
}

/// How far a revision has come with the coordinator.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum Persistence {
    NotStored,
    Storing,
    Stored,
}
