//! A fleet member: the lease on its rules, and the revisions that it holds, stages and activates.

use crate::document::{Head, Id, Revision};
use crate::fetch::{Fetch, FetchProgress};
use crate::message::{truncate_utf8, Message, Ping, Pong, Verdict, MAX_REASON_BYTES};
use crate::node::Output;
use crate::timing::{LeaseTiming, OnLeaseExpiry};
use crate::{Millis, Peer};
use std::collections::VecDeque;
use std::sync::Arc;

/// Number of unanswered pings whose answers are still accepted. A lease covers at least three heartbeats.
const MAX_UNANSWERED_PINGS: usize = 64;

/// Rules that a limiter may apply at a given time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ActiveRules {
    /// Apply this revision, which is current according to the lease.
    Current(Id),
    /// The lease has expired: apply the stricter of the held revision and the confirmed one, if any.
    Strict(Id, Option<Id>),
    /// Apply none: reject every request.
    Reject,
}

/// Received revision that is not in force here.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Staged {
    revision: Arc<Revision>,
    verdict: Option<Verdict>,
}

/// State of a limiter that follows a decider.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Member {
    timing: LeaseTiming,
    /// `None` while no decider is known.
    decider: Option<Peer>,
    process_id: u64,
    held: Option<Arc<Revision>>,
    staged: Option<Staged>,
    /// Id and activation time of the staged revision, once it is decided.
    scheduled: Option<(Id, Millis)>,
    lease_until: Millis,
    /// Unanswered pings: sequence number and time of sending.
    unanswered: VecDeque<(u64, Millis)>,
    seq: u64,
    answered: u64,
    token: u64,
    next_ping: Millis,
    fetch: Option<Fetch>,
}

impl Member {
    /// Creates a member that has just started and holds no revision.
    pub fn new(timing: LeaseTiming, decider: Option<Peer>, process_id: u64, now: Millis) -> Member {
        let (held, staged, scheduled, fetch) = Default::default();
        let unanswered = VecDeque::new();
        Member {
            timing,
            decider,
            process_id,
            held,
            staged,
            scheduled,
            lease_until: 0,
            unanswered,
            seq: 0,
            answered: 0,
            token: 0,
            next_ping: now,
            fetch,
        }
    }

    /// Takes over the held revision and its lease from a term as decider that has just ended.
    pub(crate) fn after_term(mut self, held: Option<Arc<Revision>>, lease_until: Millis) -> Member {
        (self.held, self.lease_until) = (held, lease_until);
        self
    }

    /// Stages a confirmed revision, with its activation time if it is decided.
    pub(crate) fn confirm(&mut self, revision: Arc<Revision>, effective_at: Option<Millis>) {
        self.scheduled = effective_at.map(|at| (revision.id(), at));
        self.staged = Some(Staged { revision, verdict: Some(Verdict::Confirmed) });
    }

    /// Activates the decided revision if its time has come.
    pub(crate) fn activate_scheduled(&mut self, now: Millis, out: &mut VecDeque<Output>) {
        if self.scheduled.is_some_and(|(_, at)| now >= at) {
            self.activate(out);
        }
    }

    /// Follows another decider from now on. The held revision and its lease remain.
    pub(crate) fn set_decider(&mut self, now: Millis, decider: Option<Peer>) {
        (self.decider, self.token, self.next_ping, self.fetch) = (decider, 0, now, None);
        self.unanswered.clear();
        if self.staged.as_ref().is_some_and(|s| s.verdict.is_none()) {
            self.staged = None;
        }
    }

    /// Returns the rules that it may apply now. Called right before each first byte is sent, so that a process that
    /// was paused notices an expired lease before it acts.
    pub fn active_rules(&self, now: Millis) -> ActiveRules {
        let overdue = self.scheduled.is_some_and(|(_, at)| now >= at);
        let Some(held) = self.held.as_ref().filter(|_| !overdue) else { return ActiveRules::Reject };
        if now < self.lease_until {
            return ActiveRules::Current(held.id());
        }
        match self.timing.on_lapse {
            OnLeaseExpiry::Strict(span) if now < self.lease_until.saturating_add(span) => {
                ActiveRules::Strict(held.id(), self.confirmed().map(|r| r.id()))
            }
            _ => ActiveRules::Reject,
        }
    }

    /// Returns the held revision.
    pub fn held(&self) -> Option<&Arc<Revision>> {
        self.held.as_ref()
    }

    /// Returns the confirmed revision that is not in force here yet.
    pub fn confirmed(&self) -> Option<&Arc<Revision>> {
        self.staged.as_ref().filter(|s| s.verdict == Some(Verdict::Confirmed)).map(|s| &s.revision)
    }

    /// Returns the staged revision and the reason, if it was vetoed.
    pub fn veto(&self) -> Option<(Id, &str)> {
        self.staged.as_ref().and_then(|s| match &s.verdict {
            Some(Verdict::Vetoed(reason)) => Some((s.revision.id(), reason.as_str())),
            _ => None,
        })
    }

    /// Returns the remaining time of the lease, ms.
    pub fn lease_left(&self, now: Millis) -> Millis {
        self.lease_until.saturating_sub(now)
    }

    pub(crate) fn timing(&self) -> &LeaseTiming {
        &self.timing
    }

    /// Returns when the lease expires or expired.
    pub(crate) fn lease_until(&self) -> Millis {
        self.lease_until
    }

    /// Returns the latest time for the next call of [`Member::tick`].
    pub fn next_due(&self, now: Millis) -> Millis {
        let expiry = Some(self.lease_until).filter(|at| *at > now);
        let activation = self.scheduled.map(|(_, at)| at);
        expiry.into_iter().chain(activation).fold(self.next_ping, Millis::min)
    }

    /// Handles all timers that are due.
    pub fn tick(&mut self, now: Millis, out: &mut VecDeque<Output>) {
        self.activate_scheduled(now, out);
        if now >= self.next_ping {
            self.ping(now, out);
        }
    }

    fn ping(&mut self, now: Millis, out: &mut VecDeque<Output>) {
        self.next_ping = now + self.timing.heartbeat;
        let Some(decider) = self.decider else { return };
        self.seq += 1;
        self.unanswered.push_back((self.seq, now));
        if self.unanswered.len() > MAX_UNANSWERED_PINGS {
            self.unanswered.pop_front();
        }
        let staged = self.staged.as_ref();
        let staged = staged.and_then(|s| s.verdict.clone().map(|verdict| (s.revision.id(), verdict)));
        let ping = Ping {
            process_id: self.process_id,
            seq: self.seq,
            token: self.token,
            answered: self.answered,
            holds: self.id(),
            staged,
        };
        out.push_back(Output::Send(decider, Message::Ping(ping)));
        if self.fetch.as_ref().is_some_and(|f| f.overdue(now, self.timing.heartbeat)) {
            self.request_chunks(now, out);
        }
    }

    fn id(&self) -> Id {
        self.held.as_ref().map_or(Id::NONE, |r| r.id())
    }

    /// Handles the decider's answer. Answers to pings older than the last answered one, or to pings never sent, are
    /// ignored.
    pub fn on_pong(&mut self, now: Millis, pong: Pong, out: &mut VecDeque<Output>) {
        let Some(position) = self.unanswered.iter().position(|(seq, _)| *seq == pong.seq) else { return };
        let (_, asked_at) = self.unanswered[position];
        self.unanswered.drain(..=position);
        self.answered = pong.seq;
        let token_unchanged = std::mem::replace(&mut self.token, pong.token) == pong.token;
        if !token_unchanged {
            // The decider recognizes this process only after it has received the token, so the next ping is sent at
            // once.
            self.next_ping = now;
        }
        if asked_at.saturating_add(self.timing.lease) <= now {
            // The granted lease is over already, and others may have moved on since.
            return;
        }
        if self.held.is_some() && pong.proposal.as_ref().is_some_and(|head| head.id == self.id()) {
            // Sent before the revision that is held here took effect.
            return;
        }
        if let Some(current) = &pong.current {
            if self.id() != current.id {
                self.adopt_current(now, current, out);
            }
            if self.id() != current.id {
                // The text of the current revision has to arrive first.
                return;
            }
            // Counted from when the ping was sent. The decider counts from its answer, so it assumes a longer lease.
            self.lease_until = self.lease_until.max(asked_at + self.timing.lease);
        }
        if pong.current.is_none() {
            self.drop_doubtful_rules(pong.proposal.as_ref(), out);
        }
        match pong.proposal {
            Some(head) => self.on_proposal(now, &head, pong.effective_in, out),
            None if pong.current.is_some() => (self.staged, self.scheduled) = (None, None),
            None => {}
        }
    }

    /// Gives up the held revision if the decider names no current one and proposes another than the one confirmed
    /// here. The confirmed revision may be in force elsewhere, so not even strict rules are safe.
    pub(crate) fn drop_doubtful_rules(&mut self, proposal: Option<&Head>, out: &mut VecDeque<Output>) {
        let differs = |head: &Head| self.confirmed().is_some_and(|r| r.head != *head);
        if proposal.is_some_and(differs) && self.held.take().is_some() {
            self.lease_until = 0;
            out.push_back(Output::Deactivate);
        }
    }

    /// Stages a proposed revision; if it is decided, schedules its activation after `delay` ms.
    fn on_proposal(&mut self, now: Millis, head: &Head, delay: Option<Millis>, out: &mut VecDeque<Output>) {
        if self.id() == head.id {
            return;
        }
        self.stage(now, head, out);
        if let (Some(delay), true) = (delay, self.confirmed().is_some_and(|r| r.id() == head.id)) {
            let at = self.scheduled.map_or(now + delay, |(_, at)| at.min(now + delay));
            self.scheduled = Some((head.id, at));
        }
    }

    /// Gives up the held revision because another one is current, and switches to that as soon as its text is here.
    fn adopt_current(&mut self, now: Millis, current: &Head, out: &mut VecDeque<Output>) {
        if self.confirmed().is_some_and(|r| r.head == *current) {
            return self.activate(out);
        }
        if self.held.take().is_some() {
            self.lease_until = 0;
            out.push_back(Output::Deactivate);
        }
        self.stage(now, current, out);
    }

    /// Starts fetching a revision, unless it is staged or being fetched already.
    fn stage(&mut self, now: Millis, head: &Head, out: &mut VecDeque<Output>) {
        let staged = self.staged.as_ref().is_some_and(|s| s.revision.head == *head);
        let fetching = self.fetch.as_ref().is_some_and(|f| f.head == *head);
        if staged || fetching {
            return;
        }
        (self.staged, self.scheduled) = (None, None);
        self.fetch = Fetch::new(head.clone(), now);
        self.request_chunks(now, out);
    }

    fn request_chunks(&mut self, now: Millis, out: &mut VecDeque<Output>) {
        if let (Some(fetch), Some(decider)) = (&mut self.fetch, self.decider) {
            out.push_back(Output::Send(decider, fetch.request(now)));
        }
    }

    /// Handles a chunk of the text that is being fetched.
    pub fn on_chunk(&mut self, now: Millis, message: &Message, out: &mut VecDeque<Output>) {
        let Some(fetch) = &mut self.fetch else { return };
        match fetch.receive(message) {
            FetchProgress::RequestMore => self.request_chunks(now, out),
            FetchProgress::Waiting => {}
            // The next answer that names the revision starts the fetch anew.
            FetchProgress::HashMismatch => self.fetch = None,
            FetchProgress::Complete(revision) => {
                self.fetch = None;
                self.staged = Some(Staged { revision: revision.clone(), verdict: None });
                out.push_back(Output::Check(revision));
            }
        }
    }

    /// Returns the held or confirmed revision that satisfies the predicate.
    pub fn known_revision(&self, predicate: impl Fn(&Revision) -> bool) -> Option<&Arc<Revision>> {
        self.held.iter().chain(self.confirmed()).find(|r| predicate(r))
    }

    /// Records the result of the check of the staged revision.
    pub fn record_verdict(&mut self, now: Millis, id: Id, verdict: Verdict) {
        if let Some(staged) = self.staged.as_mut().filter(|s| s.revision.id() == id) {
            staged.verdict = Some(match verdict {
                Verdict::Vetoed(reason) => {
                    Verdict::Vetoed(truncate_utf8(&reason, MAX_REASON_BYTES).to_owned())
                }
                confirmed => confirmed,
            });
            // Reported at once, as the decision waits for it.
            self.next_ping = now;
        }
    }

    fn activate(&mut self, out: &mut VecDeque<Output>) {
        self.scheduled = None;
        let Some(revision) = self.confirmed().cloned() else { return };
        (self.staged, self.fetch) = (None, None);
        self.held = Some(revision.clone());
        out.push_back(Output::Activate(revision));
    }
}
