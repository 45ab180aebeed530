//! Term of an elected decider: the register in which it stores the rules, and its resignation.

use super::proposal::Persistence;
use super::{Decider, MemberRecord, ProposalOutcome};
use crate::document::Revision;
use crate::election::{Register, RegisterResponse};
use crate::member::{ActiveRules, Member};
use crate::message::{Message, Verdict};
use crate::node::Output;
use crate::rules_register::{RegisterEvent, RulesRegister};
use crate::Millis;
use std::collections::VecDeque;
use std::sync::Arc;

/// Number of leases without a ping from any other limiter after which a decider resigns.
const SILENT_LEASES: u64 = 3;

/// State of an elected decider in addition to that of a named one.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Term {
    pub(super) number: u64,
    pub(super) since: Millis,
    /// Start of the gapless observation of the coordinator's register that preceded the term.
    pub(super) observed_since: Millis,
    /// Until when the coordinator allows it to decide.
    pub(super) until: Millis,
    /// Earliest time of a decision: the previous holder may have granted leases that last until then.
    pub(super) decides_from: Millis,
    pub(super) rules_register: RulesRegister,
    /// Revision stored with the coordinator; the outer `None` means that it was not read yet.
    pub(super) stored_rules: Option<Option<Arc<Revision>>>,
    /// State as a member before the term, until the revision in force is known.
    pub(super) former_member: Option<Member>,
    pub(super) next_announcement: Millis,
    /// Set if this limiter cannot apply the revision in force, so that another one must decide.
    pub(super) unable_to_apply: bool,
}

impl Term {
    /// Whether the stored revision took effect here and no other has been decided since. Without this limiter's
    /// confirmation none can have been, or else the coordinator would have it: it was observed without a gap in which
    /// its data could have been restored to an earlier state.
    pub(super) fn in_force(&self, now: Millis, stored: &Revision) -> bool {
        let Some(former_member) =
            self.former_member.as_ref().filter(|m| m.held().is_some_and(|h| h.head == stored.head))
        else {
            return false;
        };
        let still_bound =
            matches!(former_member.active_rules(now), ActiveRules::Current(_) | ActiveRules::Strict(_, None));
        let observed_gapless = former_member.lease_until() >= self.observed_since
            && now.saturating_sub(self.since) < former_member.timing().lease;
        still_bound || observed_gapless
    }
}

impl Decider {
    /// Sets until when the coordinator allows it to decide.
    pub(crate) fn extend_term(&mut self, until: Millis) {
        if let Some(term) = &mut self.term {
            term.until = until;
        }
    }

    /// Continues in another term after one in which nobody else decided.
    pub(crate) fn continue_in_term(&mut self, number: u64, now: Millis) {
        if let Some(term) = &mut self.term {
            term.rules_register.continue_in_term(number);
            (term.number, term.next_announcement) = (number, now);
            self.epoch = self.epoch.max(number);
        }
    }

    /// Whether another limiter should decide: this one cannot apply the revision in force, or has heard from no other
    /// limiter for three leases.
    pub(crate) fn should_resign(&self, now: Millis) -> bool {
        let is_silent_since = |at: Millis| now.saturating_sub(at) > SILENT_LEASES * self.timing.lease;
        let unheard = |record: &MemberRecord| record.last_heard.is_none_or(is_silent_since);
        let old_enough = self.term.as_ref().is_some_and(|t| is_silent_since(t.since));
        let unable_to_apply = self.term.as_ref().is_some_and(|t| t.unable_to_apply);
        unable_to_apply || old_enough && !self.members.is_empty() && self.members.values().all(unheard)
    }

    /// Becomes a member again, since another limiter decides or may decide from now on.
    pub(crate) fn into_member(mut self, process_id: u64, now: Millis, out: &mut VecDeque<Output>) -> Member {
        if let Some(pending) = self.pending.as_ref().filter(|r| r.effective_at.is_none()) {
            out.push_back(Output::ProposalFinished(
                pending.proposal.ticket,
                ProposalOutcome::Unknown(pending.revision.id()),
            ));
        }
        if let Some(former_member) = self.term.as_mut().and_then(|t| t.former_member.take()) {
            return former_member;
        }
        let authority = self.authority();
        let mut member = Member::new(self.timing, None, process_id, now).after_term(self.current, authority);
        if let Some(pending) = self.pending.filter(|r| r.own_verdict == Some(Verdict::Confirmed)) {
            member.confirm(pending.revision, pending.effective_at);
        }
        member
    }

    /// Announces the term to limiters that were not heard for a lease and so may not know it.
    pub(super) fn announce_term(&mut self, now: Millis, out: &mut VecDeque<Output>) {
        let Some(term) = self.term.as_mut().filter(|t| now >= t.next_announcement) else { return };
        term.next_announcement = now + self.timing.heartbeat;
        let unheard = |record: &MemberRecord| {
            record.last_heard.is_none_or(|at| now.saturating_sub(at) >= self.timing.lease)
        };
        let message = Message::TermAnnouncement { term: term.number, peer: Some(self.me) };
        let recipients = self.members.iter().filter(|(_, record)| unheard(record));
        out.extend(recipients.map(|(peer, _)| Output::Send(*peer, message.clone())));
    }

    pub(super) fn poll_register(&mut self, now: Millis, out: &mut VecDeque<Output>) {
        let Some(term) = &mut self.term else { return };
        if let Some((serial, request)) = term.rules_register.tick(now) {
            out.push_back(Output::Register(Register::Rules, serial, request));
        }
    }

    /// Handles the coordinator's response to a request for the rules register. Returns whether a later holder has
    /// written to it.
    pub(crate) fn on_register_response(
        &mut self,
        now: Millis,
        serial: u64,
        response: RegisterResponse,
        out: &mut VecDeque<Output>,
    ) -> bool {
        let Some(term) = &mut self.term else { return false };
        match term.rules_register.handle_response(now, serial, response) {
            RegisterEvent::Nothing => {}
            RegisterEvent::Found(found) => {
                self.number = self.number.max(found.as_ref().map_or(0, |r| r.id().number));
                term.stored_rules = Some(found);
            }
            RegisterEvent::Stored(revision) => {
                if let Some(pending) = self.pending.as_mut().filter(|r| r.revision.id() == revision.id()) {
                    pending.persistence = Persistence::Stored;
                }
                term.stored_rules = Some(Some(revision));
            }
            RegisterEvent::Superseded => return true,
        }
        self.tick(now, out);
        false
    }
}
