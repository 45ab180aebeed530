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
    pub fn propose(&mut self, now: Millis, proposal: Proposal, out: &mut VecDeque<Output>) {
        self.excluded.extend(proposal.excluded.iter().copied());
        if self.recovering {
            self.tick(now, out);
            let missing = match &self.pending {
                Some(pending) => self.unconfirmed(now, pending),
                None => self.members.iter().filter(|(p, k)| self.is_unheard(p, k)).map(|(p, _)| *p).collect(),
            };
            return out
                .push_back(Output::ProposalFinished(proposal.ticket, ProposalOutcome::Recovering(missing)));
        }
        let Some(current) = self.current.clone() else { return };
        if self.term.as_ref().is_some_and(|t| now >= t.until) {
            return out.push_back(Output::ProposalFinished(proposal.ticket, ProposalOutcome::NoCoordinator));
        }
        let rejection = self.rejection(&proposal, &current);
        if let Some(outcome) = rejection {
            return out.push_back(Output::ProposalFinished(proposal.ticket, outcome));
        }
        let revision = Revision::new(
            self.next_id(),
            current.id(),
            truncate_utf8(&proposal.author, MAX_AUTHOR_BYTES),
            proposal.text.clone(),
        );
        out.push_back(Output::Check(revision.clone()));
        let deadline = now.saturating_add(proposal.timeout);
        let persistence = Persistence::NotStored;
        self.pending = Some(PendingRevision {
            revision,
            proposal,
            deadline,
            own_verdict: None,
            effective_at: None,
            persistence,
        });
    }

    pub(super) fn rejection(&self, proposal: &Proposal, current: &Arc<Revision>) -> Option<ProposalOutcome> {
        if proposal.text.len() > MAX_REVISION_BYTES {
            return Some(ProposalOutcome::TooLong(proposal.text.len()));
        }
        if let Some(pending) = &self.pending {
            return Some(ProposalOutcome::Busy(pending.revision.id()));
        }
        let expected = proposal.expect.is_none_or(|number| number == current.id().number);
        // A repeated request, whose answer was lost: the revision is in force already.
        let is_repeated = proposal.expect.is_some_and(|number| number == current.head.parent.number);
        if current.text == proposal.text && (expected || is_repeated) {
            return Some(ProposalOutcome::Decided(current.id(), 0));
        }
        (!expected).then(|| ProposalOutcome::Conflict(current.id()))
    }

    pub(super) fn next_id(&mut self) -> Id {
        self.number += 1;
        Id { epoch: self.epoch, number: self.number }
    }

    /// Handles the result of this limiter's own check of the pending revision.
    pub fn record_verdict(&mut self, now: Millis, id: Id, verdict: Verdict, out: &mut VecDeque<Output>) {
        let Some(pending) = self.pending.as_mut().filter(|r| r.revision.id() == id) else { return };
        match verdict {
            // A revision that is decided again passed the check before: keep waiting for the limiters that may apply
            // another one, and let another limiter decide.
            Verdict::Vetoed(_) if self.recovering || pending.persistence != Persistence::NotStored => {
                if let Some(term) = &mut self.term {
                    term.unable_to_apply = true;
                }
            }
            Verdict::Vetoed(reason) => {
                let me = self.me;
                self.finish(ProposalOutcome::Vetoed(me, reason), out);
            }
            Verdict::Confirmed => {
                pending.own_verdict = Some(Verdict::Confirmed);
                if let Some(former_member) = self.term.as_mut().and_then(|t| t.former_member.as_mut()) {
                    if former_member.held().is_none_or(|held| held.id() != id) {
                        // A revision that it had confirmed may be in force elsewhere, and must be given up for this
                        // one.
                        former_member.drop_doubtful_rules(Some(&pending.revision.head), out);
                        former_member.confirm(pending.revision.clone(), None);
                    }
                }
                self.tick(now, out);
            }
        }
    }

    pub(super) fn handle_veto(&mut self, from: Peer, out: &mut VecDeque<Output>) {
        // While a write to the coordinator is in progress, its result must be known first.
        let vetoable =
            |r: &&PendingRevision| r.effective_at.is_none() && r.persistence != Persistence::Storing;
        let Some(pending) = self.pending.as_ref().filter(vetoable) else { return };
        let Some((id, Verdict::Vetoed(reason))) = self.members.get(&from).and_then(|k| k.staged.clone())
        else {
            return;
        };
        if id != pending.revision.id() {
            return;
        }
        if !self.recovering {
            if let (Persistence::Stored, Some(term), Some(current)) =
                (pending.persistence, &mut self.term, &self.current)
            {
                // The veto came from a limiter that holds another revision, after the others had confirmed. Restore
                // the current revision with the coordinator.
                term.rules_register.store(current.clone());
            }
            return self.finish(ProposalOutcome::Vetoed(from, reason), out);
        }
        // A limiter bound without end had to confirm every earlier decision, so this revision was never decided.
        let bound_forever = |k: &MemberRecord| k.holds != Id::NONE && k.bound_until == Millis::MAX;
        if self.members.get(&from).is_some_and(bound_forever) {
            self.undecided.insert(id);
            self.pending = None;
        }
    }

    /// Returns the limiters that have neither confirmed nor certainly stopped.
    pub(super) fn unconfirmed(&self, now: Millis, pending: &PendingRevision) -> Vec<Peer> {
        let id = pending.revision.id();
        let may_still_act = |(peer, record): &(&Peer, &MemberRecord)| {
            let until = if self.excluded.contains(peer) { record.leased_until } else { record.bound_until };
            now < until && !record.confirms(id)
        };
        self.members.iter().filter(may_still_act).map(|(peer, _)| *peer).collect()
    }

    pub(super) fn decide(&mut self, now: Millis, out: &mut VecDeque<Output>) {
        if now >= self.authority() || self.term.as_ref().is_some_and(|t| now < t.decides_from) {
            return;
        }
        let Some(pending) = self.pending.as_ref().filter(|r| r.effective_at.is_none()) else { return };
        let id = pending.revision.id();
        let confirmations =
            self.members.iter().filter(|(p, k)| !self.excluded.contains(p) && k.confirms(id)).count();
        let all_confirmed =
            confirmations >= self.required_confirmations() && self.unconfirmed(now, pending).is_empty();
        if pending.own_verdict != Some(Verdict::Confirmed) || !all_confirmed {
            return;
        }
        if pending.proposal.dry_run {
            return self.finish(ProposalOutcome::Acceptable, out);
        }
        let delay = self.timing.activation_delay;
        if let (Some(pending), Some(term)) = (&mut self.pending, &mut self.term) {
            if pending.persistence == Persistence::NotStored {
                pending.persistence = Persistence::Storing;
                term.rules_register.store(pending.revision.clone());
            }
            if pending.persistence == Persistence::Storing {
                return;
            }
        }
        if let Some(pending) = &mut self.pending {
            pending.effective_at = Some(now + delay);
            out.push_back(Output::ProposalFinished(
                pending.proposal.ticket,
                ProposalOutcome::Decided(pending.revision.id(), delay),
            ));
        }
    }

    pub(super) fn activate_pending(&mut self, out: &mut VecDeque<Output>) {
        if let Some(pending) = self.pending.take() {
            self.activate(pending.revision, out);
        }
    }

    pub(super) fn finish(&mut self, outcome: ProposalOutcome, out: &mut VecDeque<Output>) {
        if let Some(pending) = self.pending.take() {
            out.push_back(Output::ProposalFinished(pending.proposal.ticket, outcome));
        }
    }
}
