//! Recovery after a start: finds the revision that others may apply, and decides it again before anything else.

use super::member_record::MemberRecord;
use super::proposal::{PendingRevision, Persistence};
use super::{Decider, Proposal};
use crate::document::{Head, Id, Revision};
use crate::fetch::{Fetch, FetchProgress};
use crate::message::{Message, Verdict};
use crate::node::Output;
use crate::{Millis, Peer};
use std::collections::VecDeque;
use std::sync::Arc;

impl Decider {
    /// Returns the highest revision that any limiter holds or has confirmed, and the limiters that have it. A
    /// confirmed revision may have been decided and may be applied by others.
    pub(super) fn highest(&self) -> Option<(Id, Vec<Peer>)> {
        let latest = |record: &MemberRecord| {
            let staged = record.staged.as_ref().filter(|(_, v)| *v == Verdict::Confirmed).map(|(id, _)| *id);
            staged.map_or(record.holds, |staged| staged.max(record.holds))
        };
        let may_be_decided = |id: &Id| *id != Id::NONE && !self.undecided.contains(id);
        let reported = self.members.values().flat_map(|k| [latest(k), k.holds]);
        let highest = reported.chain(self.locally_known().map(|r| r.id())).filter(may_be_decided).max()?;
        let holders = self.members.iter().filter(|(_, k)| k.holds == highest || k.confirms(highest));
        Some((highest, holders.map(|(peer, _)| *peer).collect()))
    }

    /// Returns the revisions available here before the recovery ends: the one stored with the coordinator, and those
    /// that this limiter held and had confirmed as a member.
    pub(super) fn locally_known(&self) -> impl Iterator<Item = &Arc<Revision>> {
        let term = self.term.as_ref();
        let found = term.and_then(|t| t.stored_rules.as_ref()).into_iter().flatten();
        let former_member = term.and_then(|t| t.former_member.as_ref());
        found.chain(former_member.into_iter().flat_map(|m| m.held().into_iter().chain(m.confirmed())))
    }

    pub(super) fn is_unheard(&self, peer: &Peer, record: &MemberRecord) -> bool {
        record.last_heard.is_none() && !self.excluded.contains(peer)
    }

    /// Ends the recovery once every limiter was heard, has certainly stopped, or was declared gone by the operator.
    pub(super) fn recover(&mut self, now: Millis, out: &mut VecDeque<Output>) {
        let mut found = None;
        if let Some(term) = &self.term {
            let Some(stored) = &term.stored_rules else { return };
            found = stored.as_ref();
            if let Some(revision) = found.filter(|r| term.in_force(now, r)).cloned() {
                return self.activate(revision, out);
            }
        }
        let is_waiting = |only_bound: bool| {
            self.members
                .iter()
                .any(|(peer, k)| self.is_unheard(peer, k) && (now < k.bound_until || !only_bound))
        };
        let with_state =
            self.members.values().filter(|k| k.last_heard.is_some() && k.holds != Id::NONE).count();
        if is_waiting(true)
            || found.is_none()
                && is_waiting(false)
                && with_state < self.other_limiters() + 1 - self.other_limiters().div_ceil(2)
        {
            return;
        }
        let Some((id, holders)) = self.highest() else {
            let (text, id) = (self.initial_text.clone(), self.next_id());
            let initial = Revision::new(id, Id::NONE, "first", text);
            return match self.term {
                Some(_) => self.redecide(now, initial, out),
                None => self.activate(initial, out),
            };
        };
        let available = self.locally_known().find(|r| r.id() == id).cloned();
        if let Some(revision) = available {
            return self.redecide(now, revision, out);
        }
        // Asks the limiters in turn, as one may have failed since its last ping.
        let turn = (now / self.timing.heartbeat) as usize % holders.len().max(1);
        let Some(from) = holders.get(turn).copied() else { return };
        match self.fetch.as_mut().filter(|f| f.head.id == id) {
            None => out.push_back(Output::Send(from, Message::HeadRequest(id))),
            Some(fetch) if fetch.overdue(now, self.timing.heartbeat) => {
                out.push_back(Output::Send(from, fetch.request(now)));
            }
            Some(_) => {}
        }
    }

    /// Returns the number of other limiters, without those declared gone.
    pub(super) fn other_limiters(&self) -> usize {
        self.members.keys().filter(|peer| !self.excluded.contains(peer)).count()
    }

    /// Returns how many other limiters must have confirmed a revision in addition to all that may still apply rules.
    /// A decider that has lost its state then finds the revision again: the set of limiters that [`Decider::recover`]
    /// waits for is large enough to overlap with them.
    pub(super) fn required_confirmations(&self) -> usize {
        match self.term {
            // The coordinator stores the decided revision.
            Some(_) => 0,
            None => self.other_limiters().div_ceil(2),
        }
    }

    /// Starts fetching the text of the revision to recover, once a limiter has sent its head.
    pub fn on_head(&mut self, now: Millis, from: Peer, head: Head, out: &mut VecDeque<Output>) {
        let is_highest = self.recovering && self.highest().is_some_and(|(id, _)| id == head.id);
        if is_highest && self.fetch.as_ref().is_none_or(|f| f.head != head) {
            self.fetch = Fetch::new(head, now);
            if let Some(fetch) = &mut self.fetch {
                out.push_back(Output::Send(from, fetch.request(now)));
            }
        }
    }

    /// Handles a chunk of the text that is fetched during recovery.
    pub fn on_chunk(&mut self, now: Millis, from: Peer, message: &Message, out: &mut VecDeque<Output>) {
        let Some(fetch) = self.fetch.as_mut().filter(|_| self.recovering) else { return };
        match fetch.receive(message) {
            FetchProgress::RequestMore => out.push_back(Output::Send(from, fetch.request(now))),
            FetchProgress::Waiting => {}
            FetchProgress::HashMismatch => self.fetch = None,
            FetchProgress::Complete(revision) => {
                self.fetch = None;
                self.redecide(now, revision, out);
            }
        }
    }

    /// Decides again a revision that was or may have been decided. It takes effect once every limiter that may apply
    /// another one has confirmed it or has certainly stopped.
    pub(super) fn redecide(&mut self, now: Millis, revision: Arc<Revision>, out: &mut VecDeque<Output>) {
        match &self.term {
            // The term from the coordinator grows, unless its data was restored to an earlier state.
            Some(_) => self.advance_epoch(revision.id()),
            None => self.epoch = self.epoch.max(revision.id().epoch + 1),
        }
        self.number = self.number.max(revision.id().number);
        let found = self.term.as_ref().and_then(|t| t.stored_rules.as_ref()).and_then(|f| f.as_ref());
        let persistence = if found.is_some_and(|f| f.head == revision.head) {
            Persistence::Stored
        } else {
            Persistence::NotStored
        };
        out.push_back(Output::Check(revision.clone()));
        let proposal = Proposal { text: revision.text.clone(), timeout: Millis::MAX, ..Proposal::default() };
        let deadline = Millis::MAX;
        self.pending = Some(PendingRevision {
            revision,
            proposal,
            deadline,
            own_verdict: None,
            effective_at: None,
            persistence,
        });
        self.tick(now, out);
    }

    /// Moves past a later epoch reported by a limiter, so that revisions decided from now on are greater.
    pub(super) fn advance_epoch(&mut self, id: Id) {
        if id.epoch > self.epoch {
            self.epoch = id.epoch + 1;
        }
    }
}
