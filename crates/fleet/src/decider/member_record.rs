//! The decider's record of one limiter: its process, its lease and its confirmations.

use crate::document::Id;
use crate::message::Verdict;
use crate::Millis;
use std::collections::VecDeque;

/// Number of recent answers for which an acknowledgement is still recognized.
const MAX_RECENT_PONGS: usize = 16;

/// Last reported state of a limiter, and the times until which it may apply rules.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct MemberRecord {
    /// Token of the known process; 0 if none is known.
    pub(super) token: u64,
    /// Number of processes known so far. Tokens handed out before the latest one was accepted are invalid, since
    /// their processes may have ended long ago.
    pub(super) incarnations: u64,
    pub(super) last_seq: u64,
    /// Sequence number of the last ping whose answer granted a lease.
    pub(super) last_lease_seq: u64,
    /// Time of its last valid ping.
    pub last_heard: Option<Millis>,
    /// Latest time at which it may still apply the rules of its last answer, at the largest clock drift.
    pub leased_until: Millis,
    /// Latest time at which it may still apply rules at all, including the strict period after its lease.
    pub bound_until: Millis,
    /// Id of the revision that it holds.
    pub holds: Id,
    /// Revision that it has staged, and the result of its check.
    pub staged: Option<(Id, Verdict)>,
    /// Latest answered pings and the times of their answers; kept only by an elected decider.
    pub(super) recent_pongs: VecDeque<(u64, Millis)>,
    /// Time of the latest answer that it acknowledged; at that time it knew of no other decider.
    pub(super) last_acked: Option<Millis>,
}

impl MemberRecord {
    /// Creates the record of a limiter that was not heard yet, and that may hold a lease until these times.
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

    /// Whether it holds or has confirmed this revision.
    pub(super) fn confirms(&self, id: Id) -> bool {
        self.holds == id
            || self.staged.as_ref().is_some_and(|(staged, v)| *staged == id && *v == Verdict::Confirmed)
    }

    /// Records that this ping was answered now.
    pub(super) fn push_pong(&mut self, seq: u64, now: Millis) {
        self.recent_pongs.push_back((seq, now));
        if self.recent_pongs.len() > MAX_RECENT_PONGS {
            self.recent_pongs.pop_front();
        }
    }
}
