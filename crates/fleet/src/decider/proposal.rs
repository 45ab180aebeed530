//! An operator's proposal, its outcome, and the pending revision.

use crate::document::{Id, Revision};
use crate::message::Verdict;
use crate::{Millis, Peer};
use std::collections::BTreeSet;
use std::sync::Arc;

/// Change of the rules requested by an operator.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Proposal {
    /// Identifies the proposal in [`crate::node::Output::ProposalFinished`].
    pub ticket: u64,
    /// Number of the revision that the change expects to be current; `None` accepts any.
    pub expect: Option<u64>,
    /// Author of the change.
    pub author: String,
    /// Text of the new revision.
    pub text: Arc<str>,
    /// Limiters declared gone by the operator. Their confirmation is awaited only until their lease has expired.
    pub excluded: BTreeSet<Peer>,
    /// Whether only to check that all limiters would confirm.
    pub dry_run: bool,
    /// Time limit for the decision, ms.
    pub timeout: Millis,
}

/// Outcome of a proposal.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ProposalOutcome {
    /// Decided; takes effect after this time, ms.
    Decided(Id, Millis),
    /// Dry run: all limiters confirmed, and nothing has changed.
    Acceptable,
    /// This limiter cannot apply the revision, for this reason.
    Vetoed(Peer, String),
    /// The expected revision is not current; this one is.
    Conflict(Id),
    /// This other proposal is still pending.
    Busy(Id),
    /// Timed out: these limiters have neither confirmed nor certainly stopped. Nothing has changed.
    TimedOut(Vec<Peer>),
    /// The decider has just started, and these limiters may still apply rules that it does not know.
    Recovering(Vec<Peer>),
    /// The text, of this length in bytes, exceeds [`crate::document::MAX_REVISION_BYTES`].
    TooLong(usize),
    /// This limiter is not the decider; the decider, if known.
    NotDecider(Option<Peer>),
    /// The coordinator does not respond, and no new revision is accepted without it.
    NoCoordinator,
    /// Undetermined: the coordinator did not respond in time, or this limiter has lost its term.
    Unknown(Id),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct PendingRevision {
    pub(super) revision: Arc<Revision>,
    pub(super) proposal: Proposal,
    pub(super) deadline: Millis,
    /// Result of the decider's own check.
    pub(super) own_verdict: Option<Verdict>,
    /// Time of the activation, once it is decided.
    pub(super) effective_at: Option<Millis>,
    /// Whether the coordinator has stored it.
    pub(super) persistence: Persistence,
}

/// State of storing a revision with the coordinator.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum Persistence {
    NotStored,
    Storing,
    Stored,
}
