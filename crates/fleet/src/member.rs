//! One limiter's side: the lease on its rules, what it holds and stages, and when it switches.

use crate::document::{Head, Id, Revision};
use crate::fetch::{Fetch, FetchProgress};
use crate::message::{truncate_utf8, Message, Ping, Pong, Verdict, MAX_REASON_BYTES};
use crate::node::Output;
use crate::timing::{LeaseTiming, OnLeaseExpiry};
use crate::{Millis, Peer};
use std::collections::VecDeque;
use std::sync::Arc;

/// Questions whose answers are still taken: those of a lease, which is three heartbeats at least.
const MAX_UNANSWERED_PINGS: usize = 64;

/// By which rules a limiter may act at a moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ActiveRules {
    /// By this revision, which is current as far as a lease can tell.
    Current(Id),
    /// Its lease is over: by the stricter of these two, where it has confirmed another.
    Strict(Id, Option<Id>),
    /// By none: what comes is refused at once.
    Reject,
}

/// A revision that was shown and is not in force here.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Staged {
    revision: Arc<Revision>,
    verdict: Option<Verdict>,
}

/// A limiter as one of a fleet.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Member {
    timing: LeaseTiming,
    /// Nothing: it has not heard of one.
    decider: Option<Peer>,
    process_id: u64,
    held: Option<Arc<Revision>>,
    staged: Option<Staged>,
    /// The staged revision is decided, and takes effect then.
    due: Option<(Id, Millis)>,
    lease_until: Millis,
    /// Questions without an answer, and when each was asked.
    unanswered: VecDeque<(u64, Millis)>,
    seq: u64,
    answered: u64,
    token: u64,
    next_ping: Millis,
    fetch: Option<Fetch>,
}

impl Member {
    /// A limiter that has just started and holds nothing.
    pub fn new(timing: LeaseTiming, decider: Option<Peer>, process_id: u64, now: Millis) -> Member {
        let (held, staged, due, fetch) = Default::default();
        let unanswered = VecDeque::new();
        Member {
            timing,
            decider,
            process_id,
            held,
            staged,
            due,
            lease_until: 0,
            unanswered,
            seq: 0,
            answered: 0,
            token: 0,
            next_ping: now,
            fetch,
        }
    }

    /// One that has decided until now, and holds this until then; what it has confirmed beside it takes effect when it
    /// says.
    pub(crate) fn after_term(mut self, held: Option<Arc<Revision>>, lease_until: Millis) -> Member {
        (self.held, self.lease_until) = (held, lease_until);
        self
    }

    /// It has confirmed this, which is decided where it takes effect then.
    pub(crate) fn confirm(&mut self, revision: Arc<Revision>, effective_at: Option<Millis>) {
        self.due = effective_at.map(|at| (revision.id(), at));
        self.staged = Some(Staged { revision, verdict: Some(Verdict::Confirmed) });
    }

    /// What is due takes effect.
    pub(crate) fn activate_due(&mut self, now: Millis, out: &mut VecDeque<Output>) {
        if self.due.is_some_and(|(_, at)| now >= at) {
            self.activate(out);
        }
    }

    /// Another one decides from now on. What it holds, and for how long, stays.
    pub(crate) fn set_decider(&mut self, now: Millis, decider: Option<Peer>) {
        (self.decider, self.token, self.next_ping, self.fetch) = (decider, 0, now, None);
        self.unanswered.clear();
        if self.staged.as_ref().is_some_and(|s| s.verdict.is_none()) {
            self.staged = None;
        }
    }

    /// By which rules it may act now. Asked right before each first byte: a process that stood still finds its lease
    /// over before it does anything.
    pub fn active_rules(&self, now: Millis) -> ActiveRules {
        let overdue = self.due.is_some_and(|(_, at)| now >= at);
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

    /// What it holds.
    pub fn held(&self) -> Option<&Arc<Revision>> {
        self.held.as_ref()
    }

    /// What it has confirmed beside that.
    pub fn confirmed(&self) -> Option<&Arc<Revision>> {
        self.staged.as_ref().filter(|s| s.verdict == Some(Verdict::Confirmed)).map(|s| &s.revision)
    }

    /// What it was shown, and the reason why it cannot take it, if so.
    pub fn veto(&self) -> Option<(Id, &str)> {
        self.staged.as_ref().and_then(|s| match &s.verdict {
            Some(Verdict::Vetoed(reason)) => Some((s.revision.id(), reason.as_str())),
            _ => None,
        })
    }

    /// How long its rules are still known to be current.
    pub fn lease_left(&self, now: Millis) -> Millis {
        self.lease_until.saturating_sub(now)
    }

    pub(crate) fn timing(&self) -> &LeaseTiming {
        &self.timing
    }

    /// Until when its rules were last known to be current.
    pub(crate) fn lease_until(&self) -> Millis {
        self.lease_until
    }

    /// When [`Member::tick`] is to be called at the latest.
    pub fn next_due(&self, now: Millis) -> Millis {
        let lapse = Some(self.lease_until).filter(|at| *at > now);
        let due = self.due.map(|(_, at)| at);
        lapse.into_iter().chain(due).fold(self.next_ping, Millis::min)
    }

    /// Time has passed.
    pub fn tick(&mut self, now: Millis, out: &mut VecDeque<Output>) {
        self.activate_due(now, out);
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
            self.want(now, out);
        }
    }

    fn id(&self) -> Id {
        self.held.as_ref().map_or(Id::NONE, |r| r.id())
    }

    /// Takes in the decider's answer. Those to older questions than the last one answered, and those to questions never
    /// asked, tell nothing.
    pub fn pong(&mut self, now: Millis, pong: Pong, out: &mut VecDeque<Output>) {
        let Some(place) = self.unanswered.iter().position(|(seq, _)| *seq == pong.seq) else { return };
        let (_, asked_at) = self.unanswered[place];
        self.unanswered.drain(..=place);
        self.answered = pong.seq;
        let greeted = std::mem::replace(&mut self.token, pong.token) == pong.token;
        if !greeted {
            // The decider knows this limiter only once it has heard its token back.
            self.next_ping = now;
        }
        if asked_at.saturating_add(self.timing.lease) <= now {
            // It keeps nothing current any more, and others may have gone on since.
            return;
        }
        if self.held.is_some() && pong.proposal.as_ref().is_some_and(|head| head.id == self.id()) {
            // From before the effect of what this limiter acts by already.
            return;
        }
        if let Some(current) = &pong.current {
            if self.id() != current.id {
                self.adopt_current(now, current, out);
            }
            if self.id() != current.id {
                // First the text of what is current.
                return;
            }
            // From when the question went out: the decider counts from when it answered, and so for longer.
            self.lease_until = self.lease_until.max(asked_at + self.timing.lease);
        }
        if pong.current.is_none() {
            self.distrust_held(pong.proposal.as_ref(), out);
        }
        match pong.proposal {
            Some(head) => self.proposed(now, &head, pong.effective_in, out),
            None if pong.current.is_some() => (self.staged, self.due) = (None, None),
            None => {}
        }
    }

    /// A decider that does not say what is current shows another revision than the one that was confirmed here. That one
    /// may be in force elsewhere, so nothing can be done by what is held, strictly or not.
    pub(crate) fn distrust_held(&mut self, proposal: Option<&Head>, out: &mut VecDeque<Output>) {
        let other = |head: &Head| self.confirmed().is_some_and(|r| r.head != *head);
        if proposal.is_some_and(other) && self.held.take().is_some() {
            self.lease_until = 0;
            out.push_back(Output::Deactivate);
        }
    }

    /// A revision is to follow, or is decided already and takes effect in `left`.
    fn proposed(&mut self, now: Millis, head: &Head, left: Option<Millis>, out: &mut VecDeque<Output>) {
        if self.id() == head.id {
            return;
        }
        self.stage(now, head, out);
        if let (Some(left), true) = (left, self.confirmed().is_some_and(|r| r.id() == head.id)) {
            let at = self.due.map_or(now + left, |(_, at)| at.min(now + left));
            self.due = Some((head.id, at));
        }
    }

    /// What it holds is not what is current: it must not go on by it, and switches as soon as it has the text.
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

    /// Sees to it that this revision's text comes and is checked.
    fn stage(&mut self, now: Millis, head: &Head, out: &mut VecDeque<Output>) {
        let staged = self.staged.as_ref().is_some_and(|s| s.revision.head == *head);
        let coming = self.fetch.as_ref().is_some_and(|f| f.head == *head);
        if staged || coming {
            return;
        }
        (self.staged, self.due) = (None, None);
        self.fetch = Fetch::new(head.clone(), now);
        self.want(now, out);
    }

    fn want(&mut self, now: Millis, out: &mut VecDeque<Output>) {
        if let (Some(fetch), Some(decider)) = (&mut self.fetch, self.decider) {
            out.push_back(Output::Send(decider, fetch.want(now)));
        }
    }

    /// Takes in a part of a text.
    pub fn on_chunk(&mut self, now: Millis, message: &Message, out: &mut VecDeque<Output>) {
        let Some(fetch) = &mut self.fetch else { return };
        match fetch.take(message) {
            FetchProgress::RequestMore => self.want(now, out),
            FetchProgress::Waiting => {}
            // Asked for anew with the next answer that names it.
            FetchProgress::HashMismatch => self.fetch = None,
            FetchProgress::Complete(revision) => {
                self.fetch = None;
                self.staged = Some(Staged { revision: revision.clone(), verdict: None });
                out.push_back(Output::Check(revision));
            }
        }
    }

    /// What it can show of: what it holds, and what it has confirmed.
    pub fn known_revision(&self, which: impl Fn(&Revision) -> bool) -> Option<&Arc<Revision>> {
        self.held.iter().chain(self.confirmed()).find(|r| which(r))
    }

    /// What was found of a revision that was to be checked.
    pub fn checked(&mut self, now: Millis, id: Id, verdict: Verdict) {
        if let Some(staged) = self.staged.as_mut().filter(|s| s.revision.id() == id) {
            staged.verdict = Some(match verdict {
                Verdict::Vetoed(reason) => {
                    Verdict::Vetoed(truncate_utf8(&reason, MAX_REASON_BYTES).to_owned())
                }
                confirmed => confirmed,
            });
            // Said at once: everybody waits for it.
            self.next_ping = now;
        }
    }

    fn activate(&mut self, out: &mut VecDeque<Output>) {
        self.due = None;
        let Some(revision) = self.confirmed().cloned() else { return };
        (self.staged, self.fetch) = (None, None);
        self.held = Some(revision.clone());
        out.push_back(Output::Activate(revision));
    }
}
