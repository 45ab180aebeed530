//! A decider that a coordinator elected: its term, the register in which it stores the rules, and its resignation.

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

/// So many leases without a message from any other limiter end a term.
const SILENT_LEASES: u64 = 3;

/// What only a decider that was elected has.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Term {
    pub(super) number: u64,
    pub(super) since: Millis,
    /// The tree was seen without a gap from then until the term began.
    pub(super) unbroken: Millis,
    /// Until then the tree lets it decide.
    pub(super) until: Millis,
    /// Nothing new is decided before: whoever held the term before may have kept leases current until then.
    pub(super) decides_from: Millis,
    pub(super) rules_register: RulesRegister,
    /// What the tree knows to be decided, once that is known.
    pub(super) found: Option<Option<Arc<Revision>>>,
    /// What this limiter was until it knows what is in force.
    pub(super) former_member: Option<Member>,
    pub(super) next_announcement: Millis,
    /// It cannot take what is in force: another one is to decide.
    pub(super) unable_to_apply: bool,
}

impl Term {
    /// This, which the tree has, took effect here, and nothing else has been decided since: without this limiter's word
    /// nothing could be, or the tree would tell, as it was not away in which time it might have been set back.
    pub(super) fn in_force(&self, now: Millis, kept: &Revision) -> bool {
        let Some(before) =
            self.former_member.as_ref().filter(|b| b.held().is_some_and(|h| h.head == kept.head))
        else {
            return false;
        };
        let bound =
            matches!(before.active_rules(now), ActiveRules::Current(_) | ActiveRules::Strict(_, None));
        let seen =
            before.lease_until() >= self.unbroken && now.saturating_sub(self.since) < before.timing().lease;
        bound || seen
    }
}

impl Decider {
    /// The tree lets it decide until then.
    pub(crate) fn extend_term(&mut self, until: Millis) {
        if let Some(term) = &mut self.term {
            term.until = until;
        }
    }

    /// It goes on in another term, and nobody has decided between.
    pub(crate) fn continue_in_term(&mut self, number: u64, now: Millis) {
        if let Some(term) = &mut self.term {
            term.rules_register.continue_in_term(number);
            (term.number, term.next_announcement) = (number, now);
            self.epoch = self.epoch.max(number);
        }
    }

    /// Another one is to decide: this limiter cannot take what is in force, or none of the others has said anything to it
    /// for three leases.
    pub(crate) fn should_resign(&self, now: Millis) -> bool {
        let since = |at: Millis| now.saturating_sub(at) > SILENT_LEASES * self.timing.lease;
        let unheard = |known: &MemberRecord| known.last_heard.is_none_or(since);
        let long = self.term.as_ref().is_some_and(|t| since(t.since));
        let unable_to_apply = self.term.as_ref().is_some_and(|t| t.unable_to_apply);
        unable_to_apply || long && !self.known.is_empty() && self.known.values().all(unheard)
    }

    /// Another one decides from now on, or may.
    pub(crate) fn into_member(mut self, process_id: u64, now: Millis, out: &mut VecDeque<Output>) -> Member {
        if let Some(running) = self.running.as_ref().filter(|r| r.effective_at.is_none()) {
            out.push_back(Output::ProposalFinished(
                running.ask.ticket,
                ProposalOutcome::Unknown(running.revision.id()),
            ));
        }
        if let Some(before) = self.term.as_mut().and_then(|t| t.former_member.take()) {
            return before;
        }
        let authority = self.authority();
        let mut member = Member::new(self.timing, None, process_id, now).after_term(self.current, authority);
        if let Some(running) = self.running.filter(|r| r.own == Some(Verdict::Confirmed)) {
            member.confirm(running.revision, running.effective_at);
        }
        member
    }

    /// Tells those who may not know whose term it is.
    pub(super) fn announce_term(&mut self, now: Millis, out: &mut VecDeque<Output>) {
        let Some(term) = self.term.as_mut().filter(|t| now >= t.next_announcement) else { return };
        term.next_announcement = now + self.timing.heartbeat;
        let lost = |known: &MemberRecord| {
            known.last_heard.is_none_or(|at| now.saturating_sub(at) >= self.timing.lease)
        };
        let message = Message::TermAnnouncement { term: term.number, peer: Some(self.me) };
        let to = self.known.iter().filter(|(_, known)| lost(known));
        out.extend(to.map(|(peer, _)| Output::Send(*peer, message.clone())));
    }

    pub(super) fn poll_register(&mut self, now: Millis, out: &mut VecDeque<Output>) {
        let Some(term) = &mut self.term else { return };
        if let Some((serial, ask)) = term.rules_register.tick(now) {
            out.push_back(Output::Register(Register::Rules, serial, ask));
        }
    }

    /// What came of what the tree was asked to keep. Whether another holder has written since.
    pub(crate) fn on_register_response(
        &mut self,
        now: Millis,
        serial: u64,
        came: RegisterResponse,
        out: &mut VecDeque<Output>,
    ) -> bool {
        let Some(term) = &mut self.term else { return false };
        match term.rules_register.answered(now, serial, came) {
            RegisterEvent::Nothing => {}
            RegisterEvent::Found(found) => {
                self.number = self.number.max(found.as_ref().map_or(0, |r| r.id().number));
                term.found = Some(found);
            }
            RegisterEvent::Stored(revision) => {
                if let Some(running) = self.running.as_mut().filter(|r| r.revision.id() == revision.id()) {
                    running.persistence = Persistence::Stored;
                }
                term.found = Some(Some(revision));
            }
            RegisterEvent::Superseded => return true,
        }
        self.tick(now, out);
        false
    }
}
