//! What the decider knows of one limiter: its process, its lease and what it has confirmed.

use crate::document::Id;
use crate::message::Verdict;
use crate::Millis;
use std::collections::VecDeque;

/// Answers to a limiter whose being taken in is looked for.
const MAX_RECENT_PONGS: usize = 16;

/// What the decider knows of a limiter.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct MemberRecord {
    /// Of the process that is known; 0: of none yet.
    pub(super) token: u64,
    /// Counts the processes that were known: a token that was given out before the last of them came is no good any more,
    /// as who would show it may have ended long ago.
    pub(super) incarnations: u64,
    pub(super) last_seq: u64,
    /// The last question whose answer kept something current.
    pub(super) last_lease_seq: u64,
    /// When it last said something of itself.
    pub last_heard: Option<Millis>,
    /// Until then it may act by the rules of the last answer, its clock as slow as may be.
    pub leased_until: Millis,
    /// And until then by stricter ones.
    pub bound_until: Millis,
    /// What it holds.
    pub holds: Id,
    /// What it was shown, and what it found.
    pub staged: Option<(Id, Verdict)>,
    /// Its latest questions that were answered, and when; kept by a decider with a term.
    pub(super) recent_pongs: VecDeque<(u64, Millis)>,
    /// The latest of these answers that it has taken in: then it knew of no other decider.
    pub(super) last_acked: Option<Millis>,
}

impl MemberRecord {
    /// A limiter of which nothing is known yet: it may hold a lease until then.
    pub(super) fn unknown(leased_until: Millis, bound_until: Millis) -> MemberRecord {
        MemberRecord {
            token: 0,
            incarnations: 0,
            last_seq: 0,
            last_lease_seq: 0,
            last_heard: None,
            leased_until,
            bound_until,
            holds: Id::NONE,
            staged: None,
            recent_pongs: VecDeque::new(),
            last_acked: None,
        }
    }

    /// Whether it holds this revision or has confirmed it.
    pub(super) fn confirms(&self, id: Id) -> bool {
        self.holds == id
            || self.staged.as_ref().is_some_and(|(staged, v)| *staged == id && *v == Verdict::Confirmed)
    }

    /// Remembers that this question was answered now.
    pub(super) fn push_pong(&mut self, seq: u64, now: Millis) {
        self.recent_pongs.push_back((seq, now));
        if self.recent_pongs.len() > MAX_RECENT_PONGS {
            self.recent_pongs.pop_front();
        }
    }
}
