//! The limiter that decides which revision of the rules is in force.
//!
//! | module | does |
//! | --- | --- |
//! | `member_record` | the decider's record of one limiter: its process, its lease, its confirmations |
//! | `leases` | answers pings; each answer grants a lease |
//! | `proposal` | an operator's proposal, its outcome, and the pending revision |
//! | `decision` | who must confirm, who may veto, and when a revision is decided |
//! | `recovery` | decides again, after a start, the revision that others may apply |
//! | `term` | the term of an elected decider, and the rules that it stores with the coordinator |

mod decision;
mod leases;
mod member_record;
mod proposal;
mod recovery;
mod term;

pub use self::member_record::MemberRecord;
pub use self::proposal::{Proposal, ProposalOutcome};

use self::proposal::{PendingRevision, Persistence};
use self::term::Term;
use crate::document::{Digest, Id, Revision};
use crate::fetch::Fetch;
use crate::member::{ActiveRules, Member};
use crate::message::Verdict;
use crate::node::Output;
use crate::rules_register::RulesRegister;
use crate::timing::{LeaseTiming, OnLeaseExpiry};
use crate::{Millis, Peer};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

/// Number of revisions kept in the history, for display and rollback.
const MAX_HISTORY: usize = 64;

/// State of the decider.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Decider {
    timing: LeaseTiming,
    me: Peer,
    members: BTreeMap<Peer, MemberRecord>,
    epoch: u64,
    number: u64,
    current: Option<Arc<Revision>>,
    pending: Option<PendingRevision>,
    /// While true, no revision is current: others may apply one that this process does not know.
    recovering: bool,
    /// Revisions found during recovery that some limiters confirmed but that were never decided.
    undecided: BTreeSet<Id>,
    /// Transfer of the highest revision found during recovery.
    fetch: Option<Fetch>,
    /// Text of the first revision, proposed if no limiter holds any.
    initial_text: Arc<str>,
    /// Limiters that an operator declared gone.
    excluded: BTreeSet<Peer>,
    history: VecDeque<Arc<Revision>>,
    seed: u64,
    /// Term of an elected decider; `None` for one named in the settings.
    term: Option<Box<Term>>,
}

impl Decider {
    /// Creates a decider that has just started. `incarnation` must grow with each start (Unix ms); `first` is the
    /// text to begin with if no limiter holds a revision.
    pub fn new(
        timing: LeaseTiming,
        me: Peer,
        peers: u16,
        incarnation: u64,
        seed: u64,
        initial_text: Arc<str>,
        now: Millis,
    ) -> Decider {
        let leased_until = now.saturating_add(timing.lease_expiry());
        let bound_until = now.saturating_add(timing.certain_expiry());
        let unheard = |n| (Peer(n), MemberRecord::unknown(leased_until, bound_until));
        Decider {
            timing,
            me,
            members: (0..peers).filter(|n| Peer(*n) != me).map(unheard).collect(),
            epoch: incarnation.max(1),
            number: 0,
            current: None,
            pending: None,
            recovering: true,
            fetch: None,
            undecided: BTreeSet::new(),
            initial_text,
            excluded: BTreeSet::new(),
            history: VecDeque::new(),
            seed,
            term: None,
        }
    }

    /// Turns it into the decider of a term that it has just won, after having been a member.
    pub(crate) fn begin_term(
        mut self,
        number: u64,
        observed_since: Millis,
        mut former_member: Member,
        now: Millis,
        out: &mut VecDeque<Output>,
    ) -> Decider {
        let lease_expiry = self.timing.lease_expiry();
        for record in self.members.values_mut() {
            // The previous holder may have continued for one lease, and may have granted leases until its end.
            record.leased_until = record.leased_until.saturating_add(lease_expiry);
            record.bound_until = record.bound_until.saturating_add(lease_expiry);
        }
        former_member.set_decider(now, None);
        former_member.activate_scheduled(now, out);
        self.epoch = number;
        self.term = Some(Box::new(Term {
            number,
            since: now,
            observed_since,
            until: now,
            decides_from: now.saturating_add(lease_expiry),
            rules_register: RulesRegister::new(number, self.timing.heartbeat, now),
            stored_rules: None,
            former_member: Some(former_member),
            next_announcement: now,
            unable_to_apply: false,
        }));
        self
    }

    /// Returns the revision in force, which this limiter itself applies. Only this decider changes it.
    pub fn current(&self) -> Option<&Arc<Revision>> {
        self.current.as_ref()
    }

    /// Returns the rules that this limiter may apply now. After a pause during which a revision took effect, it
    /// rejects requests until it has activated that revision.
    pub fn active_rules(&self, now: Millis) -> ActiveRules {
        if let Some(former_member) = self.term.as_ref().and_then(|t| t.former_member.as_ref()) {
            return former_member.active_rules(now);
        }
        let overdue = self.pending.as_ref().and_then(|r| r.effective_at).is_some_and(|at| now >= at);
        let Some(current) = self.current.as_ref().filter(|_| !overdue) else { return ActiveRules::Reject };
        let authority = self.authority();
        if now < authority {
            return ActiveRules::Current(current.id());
        }
        match self.timing.on_lapse {
            OnLeaseExpiry::Strict(span) if now < authority.saturating_add(span) => {
                let confirmed = self.pending.as_ref().filter(|r| r.own_verdict == Some(Verdict::Confirmed));
                ActiveRules::Strict(current.id(), confirmed.map(|r| r.revision.id()))
            }
            _ => ActiveRules::Reject,
        }
    }

    /// Returns until when it may decide and grant leases: [`Millis::MAX`] for a named decider.
    pub fn authority(&self) -> Millis {
        self.term.as_ref().map_or(Millis::MAX, |term| term.until.max(self.acknowledged_until()))
    }

    /// Without the coordinator it continues as long as every other limiter has recently acknowledged it as the
    /// decider: no other limiter can have won a term, or its winner still waits for longer than this lasts.
    fn acknowledged_until(&self) -> Millis {
        let oldest = self.members.values().map(|k| k.last_acked.unwrap_or(0)).min();
        oldest.filter(|at| *at > 0).map_or(0, |at| at + self.timing.lease)
    }

    /// Returns the records of the other limiters.
    pub fn member_records(&self) -> &BTreeMap<Peer, MemberRecord> {
        &self.members
    }

    /// Iterates over past revisions in the order of their activation; the current one is last.
    pub fn history(&self) -> impl Iterator<Item = &Arc<Revision>> {
        self.history.iter()
    }

    /// Returns the pending revision, and whether it is decided already.
    pub fn pending(&self) -> Option<(&Arc<Revision>, bool)> {
        self.pending.as_ref().map(|r| (&r.revision, r.effective_at.is_some()))
    }

    /// Whether it still has to find out what the other limiters may apply.
    pub fn recovering(&self) -> bool {
        self.recovering
    }

    /// Returns its term and until when the coordinator allows it to decide; `None` for a named decider.
    pub fn term(&self) -> Option<(u64, Millis)> {
        self.term.as_ref().map(|t| (t.number, t.until))
    }

    /// Returns the latest time for the next call of [`Decider::tick`].
    pub fn next_due(&self, now: Millis) -> Millis {
        let (mut due, mut undecided) = (Millis::MAX, self.recovering);
        if let Some(pending) = &self.pending {
            due = pending.effective_at.unwrap_or(pending.deadline);
            undecided = pending.effective_at.is_none();
        }
        let expiries = self.members.values().flat_map(|k| [k.leased_until, k.bound_until]);
        let due = expiries.filter(|at| undecided && *at > now).fold(due, Millis::min);
        let Some(term) = &self.term else { return due };
        let decidable_at = Some(term.decides_from).filter(|at| undecided && *at > now).unwrap_or(Millis::MAX);
        let member_due = term.former_member.as_ref().map_or(Millis::MAX, |m| m.next_due(now).max(now + 1));
        due.min(decidable_at).min(member_due).min(term.next_announcement).min(term.rules_register.next_due())
    }

    /// Handles all timers that are due.
    pub fn tick(&mut self, now: Millis, out: &mut VecDeque<Output>) {
        self.announce_term(now, out);
        if let Some(former_member) = self.term.as_mut().and_then(|t| t.former_member.as_mut()) {
            former_member.activate_scheduled(now, out);
        }
        if self.recovering && self.pending.is_none() {
            self.recover(now, out);
        }
        self.decide(now, out);
        self.poll_register(now, out);
        let Some(pending) = &mut self.pending else { return };
        if pending.effective_at.is_some_and(|at| now >= at) {
            self.activate_pending(out);
        } else if pending.effective_at.is_none() && now >= pending.deadline {
            let id = pending.revision.id();
            if pending.persistence != Persistence::NotStored {
                // The coordinator may have stored it. The operator gets an answer now, and the revision is still
                // decided if possible.
                (pending.deadline, pending.proposal.timeout) = (Millis::MAX, Millis::MAX);
                let ticket = std::mem::take(&mut pending.proposal.ticket);
                return out.push_back(Output::ProposalFinished(ticket, ProposalOutcome::Unknown(id)));
            }
            let missing = self.members.iter().filter(|(p, k)| !self.excluded.contains(p) && !k.confirms(id));
            let missing = missing.map(|(peer, _)| *peer).collect();
            self.finish(ProposalOutcome::TimedOut(missing), out);
        }
    }

    /// Returns the pending or current revision whose text has this hash.
    pub fn text(&self, digest: &Digest) -> Option<&Arc<Revision>> {
        let pending = self.pending.as_ref().map(|r| &r.revision);
        pending.into_iter().chain(self.current.as_ref()).find(|r| r.head.digest == *digest)
    }

    fn activate(&mut self, revision: Arc<Revision>, out: &mut VecDeque<Output>) {
        self.number = self.number.max(revision.id().number);
        self.history.push_back(revision.clone());
        if self.history.len() > MAX_HISTORY {
            self.history.pop_front();
        }
        (self.current, self.recovering, self.fetch) = (Some(revision.clone()), false, None);
        if let Some(term) = &mut self.term {
            term.former_member = None;
        }
        out.push_back(Output::Activate(revision));
    }
}
