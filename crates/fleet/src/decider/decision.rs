//! Decision of a proposal: who must confirm it, who may veto it, and when it takes effect.

use super::member_record::MemberRecord;
use super::proposal::{PendingRevision, Persistence};
use super::{Decider, Proposal, ProposalOutcome};
use crate::document::{Id, Revision, MAX_REVISION_BYTES};
use crate::message::{truncate_utf8, Verdict, MAX_AUTHOR_BYTES};
use crate::node::Output;
use crate::{Millis, Peer};
use std::collections::VecDeque;
use std::sync::Arc;

impl Decider {
    /// Starts an operator's proposal, or reports at once why it is rejected.
    pub fn propose(&mut self, now: Millis, ask: Proposal, out: &mut VecDeque<Output>) {
        self.excluded.extend(ask.excluded.iter().copied());
        if self.recovering {
            self.tick(now, out);
            let missing = match &self.running {
                Some(running) => self.unconfirmed(now, running),
                None => self.known.iter().filter(|(p, k)| self.awaits(p, k)).map(|(p, _)| *p).collect(),
            };
            return out.push_back(Output::ProposalFinished(ask.ticket, ProposalOutcome::Recovering(missing)));
        }
        let Some(current) = self.current.clone() else { return };
        if self.term.as_ref().is_some_and(|t| now >= t.until) {
            return out.push_back(Output::ProposalFinished(ask.ticket, ProposalOutcome::NoCoordinator));
        }
        let refused = self.rejection(&ask, &current);
        if let Some(answer) = refused {
            return out.push_back(Output::ProposalFinished(ask.ticket, answer));
        }
        let revision = Revision::new(
            self.next_id(),
            current.id(),
            truncate_utf8(&ask.author, MAX_AUTHOR_BYTES),
            ask.text.clone(),
        );
        out.push_back(Output::Check(revision.clone()));
        let until = now.saturating_add(ask.timeout);
        let persistence = Persistence::NotStored;
        self.running =
            Some(PendingRevision { revision, ask, until, own: None, effective_at: None, persistence });
    }

    pub(super) fn rejection(&self, ask: &Proposal, current: &Arc<Revision>) -> Option<ProposalOutcome> {
        if ask.text.len() > MAX_REVISION_BYTES {
            return Some(ProposalOutcome::TooLong(ask.text.len()));
        }
        if let Some(running) = &self.running {
            return Some(ProposalOutcome::Busy(running.revision.id()));
        }
        let expected = ask.expect.is_none_or(|number| number == current.id().number);
        // A repeated request, whose answer was lost: the revision is in force already.
        let repeated = ask.expect.is_some_and(|number| number == current.head.parent.number);
        if current.text == ask.text && (expected || repeated) {
            return Some(ProposalOutcome::Decided(current.id(), 0));
        }
        (!expected).then(|| ProposalOutcome::Conflict(current.id()))
    }

    pub(super) fn next_id(&mut self) -> Id {
        self.number += 1;
        Id { epoch: self.epoch, number: self.number }
    }

    /// Handles the result of this limiter's own check of the pending revision.
    pub fn checked(&mut self, now: Millis, id: Id, verdict: Verdict, out: &mut VecDeque<Output>) {
        let Some(running) = self.running.as_mut().filter(|r| r.revision.id() == id) else { return };
        match verdict {
            // A revision that is decided again passed the check before: keep waiting for the limiters that may apply
            // another one, and let another limiter decide.
            Verdict::Vetoed(_) if self.recovering || running.persistence != Persistence::NotStored => {
                if let Some(term) = &mut self.term {
                    term.unable_to_apply = true;
                }
            }
            Verdict::Vetoed(reason) => {
                let me = self.me;
                self.finish(ProposalOutcome::Vetoed(me, reason), out);
            }
            Verdict::Confirmed => {
                running.own = Some(Verdict::Confirmed);
                if let Some(former_member) = self.term.as_mut().and_then(|t| t.former_member.as_mut()) {
                    if former_member.held().is_none_or(|held| held.id() != id) {
                        // A revision that it had confirmed may be in force elsewhere, and must be given up for this
                        // one.
                        former_member.drop_doubtful_rules(Some(&running.revision.head), out);
                        former_member.confirm(running.revision.clone(), None);
                    }
                }
                self.tick(now, out);
            }
        }
    }

    pub(super) fn on_veto(&mut self, from: Peer, out: &mut VecDeque<Output>) {
        // While a write to the coordinator is in progress, its result must be known first.
        let open = |r: &&PendingRevision| r.effective_at.is_none() && r.persistence != Persistence::Storing;
        let Some(running) = self.running.as_ref().filter(open) else { return };
        let Some((id, Verdict::Vetoed(reason))) = self.known.get(&from).and_then(|k| k.staged.clone()) else {
            return;
        };
        if id != running.revision.id() {
            return;
        }
        if !self.recovering {
            if let (Persistence::Stored, Some(term), Some(current)) =
                (running.persistence, &mut self.term, &self.current)
            {
                // The veto came from a limiter that holds another revision, after the others had confirmed. Restore
                // the current revision with the coordinator.
                term.rules_register.store(current.clone());
            }
            return self.finish(ProposalOutcome::Vetoed(from, reason), out);
        }
        // A limiter bound without end had to confirm every earlier decision, so this revision was never decided.
        let endless = |k: &MemberRecord| k.holds != Id::NONE && k.bound_until == Millis::MAX;
        if self.known.get(&from).is_some_and(endless) {
            self.undecided.insert(id);
            self.running = None;
        }
    }

    /// Returns the limiters that have neither confirmed nor certainly stopped.
    pub(super) fn unconfirmed(&self, now: Millis, running: &PendingRevision) -> Vec<Peer> {
        let id = running.revision.id();
        let bound = |(peer, known): &(&Peer, &MemberRecord)| {
            let until = if self.excluded.contains(peer) { known.leased_until } else { known.bound_until };
            now < until && !known.confirms(id)
        };
        self.known.iter().filter(bound).map(|(peer, _)| *peer).collect()
    }

    pub(super) fn decide(&mut self, now: Millis, out: &mut VecDeque<Output>) {
        if now >= self.authority() || self.term.as_ref().is_some_and(|t| now < t.decides_from) {
            return;
        }
        let Some(running) = self.running.as_ref().filter(|r| r.effective_at.is_none()) else { return };
        let id = running.revision.id();
        let witnesses =
            self.known.iter().filter(|(p, k)| !self.excluded.contains(p) && k.confirms(id)).count();
        let enough = witnesses >= self.witnesses() && self.unconfirmed(now, running).is_empty();
        if running.own != Some(Verdict::Confirmed) || !enough {
            return;
        }
        if running.ask.dry_run {
            return self.finish(ProposalOutcome::Acceptable, out);
        }
        let effect = self.timing.activation_delay;
        if let (Some(running), Some(term)) = (&mut self.running, &mut self.term) {
            if running.persistence == Persistence::NotStored {
                running.persistence = Persistence::Storing;
                term.rules_register.store(running.revision.clone());
            }
            if running.persistence == Persistence::Storing {
                return;
            }
        }
        if let Some(running) = &mut self.running {
            running.effective_at = Some(now + effect);
            out.push_back(Output::ProposalFinished(
                running.ask.ticket,
                ProposalOutcome::Decided(running.revision.id(), effect),
            ));
        }
    }

    pub(super) fn take_effect(&mut self, out: &mut VecDeque<Output>) {
        if let Some(running) = self.running.take() {
            self.put_in_force(running.revision, out);
        }
    }

    pub(super) fn finish(&mut self, answer: ProposalOutcome, out: &mut VecDeque<Output>) {
        if let Some(running) = self.running.take() {
            out.push_back(Output::ProposalFinished(running.ask.ticket, answer));
        }
    }
}
