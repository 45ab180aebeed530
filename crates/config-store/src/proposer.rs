//! The proposer of Paxos: one operation on the register, over as many rounds as it takes. No I/O and no clock: events in,
//! [`Action`]s out.
//!
//! A round has two phases. In the first the voters are asked to promise (prepare), in the second to accept a record. The
//! caller sends what an action names to [`Operation::recipients`] and hands each response in, with the
//! [`PhaseId`] of the phase in which it was asked.

use crate::guard::{is_disabled, Guard};
pub use crate::known_record::KnownRecord;
use crate::messages::{
    Accept, Prepare, ProposalNumber, Record, ResponseStatus, VoterConfiguration, VoterId, VoterResponse,
    MAX_LINEAGE,
};
use crate::peek::granted_by;
pub use crate::voter_change::VoterChange;
use bytes::Bytes;
use std::collections::{BTreeMap, BTreeSet};

/// What an operation is for.
#[derive(Debug)]
pub enum Task<F> {
    /// Reads the newest value.
    Read,
    /// Changes the value by this function, which may be called several times.
    Change(F),
    /// Changes the voters.
    ChangeVoters(VoterChange),
}

/// What an operation came to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome<R> {
    /// Edition and value that a majority has accepted. For a change, those it made, even if later ones have followed;
    /// for a read, the newest.
    Chosen(u64, Option<Bytes>),
    /// The function rejected the newest value; nothing of this operation is or will be chosen.
    Rejected(R),
    /// More editions have followed than [`Record::lineage`] names: the change may or may not be among them.
    Unknown,
}

/// What the caller does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action<R> {
    /// Wait for more responses.
    Wait,
    /// Send this to [`Operation::recipients`].
    Prepare(Prepare),
    /// Send this to [`Operation::recipients`].
    Accept(Accept),
    /// This round has failed: wait for a random time, then call [`Operation::begin_round`].
    BackOff,
    /// The operation is complete.
    Done(Outcome<R>),
}

/// The phase that a response belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PhaseId {
    /// The round's proposal number.
    pub proposal: ProposalNumber,
    /// Whether this is the second phase (accept) of the round.
    pub accepting: bool,
}

/// An edition that an earlier round of this operation proposed.
struct Attempt {
    edition: u64,
    origin: ProposalNumber,
    value: Bytes,
}

/// What is reported once the proposed record is chosen.
enum Goal<R> {
    Made(u64, Bytes),
    Read,
    Reject(R),
    /// Nothing yet: one step of a change of the voters.
    ConfigurationStep,
}

/// One operation, over as many rounds as it takes.
pub struct Operation<F, R> {
    task: Task<F>,
    proposer_id: u64,
    founders: VoterConfiguration,
    /// The highest round seen anywhere; the next round of this proposer is higher.
    highest_round: u64,
    known: KnownRecord,
    /// The record of this proposal is certainly chosen.
    chosen_in: Option<ProposalNumber>,
    phase_id: PhaseId,
    recipients: Vec<String>,
    granted: BTreeMap<String, VoterResponse>,
    failed: BTreeSet<String>,
    /// Whether the current phase still takes responses.
    is_waiting: bool,
    attempts: Vec<Attempt>,
    proposed: Option<Record>,
    goal: Option<Goal<R>>,
}

impl<F, R> Operation<F, R>
where
    F: Fn(Option<&[u8]>, u64) -> Result<Vec<u8>, R>,
{
    /// An operation of the proposer `proposer_id`, which differs between incarnations and runs one operation at a time.
    /// `founders` are the voters where no record names any; `highest_round` is the highest round the proposer has seen.
    pub fn new(
        task: Task<F>,
        proposer_id: u64,
        founders: VoterConfiguration,
        highest_round: u64,
        known: KnownRecord,
    ) -> Operation<F, R> {
        Operation {
            task,
            proposer_id,
            founders,
            highest_round: highest_round.max(known.proposal.round),
            known,
            chosen_in: None,
            phase_id: PhaseId { proposal: ProposalNumber::default(), accepting: false },
            recipients: Vec::new(),
            granted: BTreeMap::new(),
            failed: BTreeSet::new(),
            is_waiting: false,
            attempts: Vec::new(),
            proposed: None,
            goal: None,
        }
    }

    /// Begins a round: the first one, or the next after a back-off.
    pub fn begin_round(&mut self) -> Action<R> {
        self.highest_round += 1;
        let mut recipients = self.known.configuration(&self.founders).addresses();
        if let Task::ChangeVoters(VoterChange::AddVoter(voter)) = &self.task {
            if !recipients.contains(&voter.address) {
                recipients.push(voter.address.clone());
            }
        }
        let proposal = ProposalNumber { round: self.highest_round, proposer_id: self.proposer_id };
        self.begin_phase(PhaseId { proposal, accepting: false }, recipients);
        Action::Prepare(Prepare { proposal, known: self.known.proposal })
    }

    /// Addresses that the current phase's request goes to.
    pub fn recipients(&self) -> &[String] {
        &self.recipients
    }

    /// The phase whose responses are taken now.
    pub fn phase_id(&self) -> PhaseId {
        self.phase_id
    }

    /// The newest record seen.
    pub fn known(&self) -> &KnownRecord {
        &self.known
    }

    /// The highest round seen.
    pub fn highest_round(&self) -> u64 {
        self.highest_round
    }

    /// Whether, if it were given up now, its change may have been chosen or may be chosen yet.
    pub fn may_be_chosen(&self) -> bool {
        !self.attempts.is_empty()
    }

    fn begin_phase(&mut self, phase_id: PhaseId, recipients: Vec<String>) {
        self.phase_id = phase_id;
        self.recipients = recipients;
        self.granted.clear();
        self.failed.clear();
        self.is_waiting = true;
    }

    /// A voter's response in the phase `phase_id`.
    pub fn on_response(&mut self, phase_id: PhaseId, voter: &str, response: VoterResponse) -> Action<R> {
        self.highest_round = self.highest_round.max(response.promised.round);
        self.known.learn(&response);
        if phase_id != self.phase_id || !self.is_waiting {
            return Action::Wait;
        }
        if response.status() == ResponseStatus::Granted {
            self.granted.insert(voter.to_owned(), response);
        } else {
            self.failed.insert(voter.to_owned());
        }
        self.evaluate()
    }

    /// No response will come from this voter in the phase `phase_id`.
    pub fn on_failure(&mut self, phase_id: PhaseId, voter: &str) -> Action<R> {
        if phase_id != self.phase_id || !self.is_waiting {
            return Action::Wait;
        }
        self.failed.insert(voter.to_owned());
        self.evaluate()
    }

    /// The time for the current phase is over.
    pub fn on_timeout(&mut self) -> Action<R> {
        if !self.is_waiting {
            return Action::Wait;
        }
        self.is_waiting = false;
        Action::BackOff
    }

    /// The voters whose majority is needed: those of the newest record seen, and in the second phase those of the
    /// proposed record itself.
    fn configuration(&self) -> &VoterConfiguration {
        match &self.proposed {
            Some(record) if self.phase_id.accepting => {
                record.configuration.as_ref().unwrap_or(&self.founders)
            }
            _ => self.known.configuration(&self.founders),
        }
    }

    /// Decides whether the phase has its majority, can still get one, or has failed.
    fn evaluate(&mut self) -> Action<R> {
        let has_granted = |voter: &VoterId| granted_by(&self.granted, voter).is_some();
        if self.configuration().quorum(has_granted) {
            self.is_waiting = false;
            return if self.phase_id.accepting { self.on_accepted() } else { self.on_promised() };
        }
        if self.configuration().quorum(|voter| has_granted(voter) || self.is_pending(&voter.address)) {
            return Action::Wait;
        }
        self.is_waiting = false;
        let was_asked = |voter: &VoterId| self.recipients.contains(&voter.address);
        if !self.phase_id.accepting && !self.configuration().quorum(was_asked) {
            // Other voters are in force now, and have not been asked.
            return self.begin_round();
        }
        Action::BackOff
    }

    /// A majority has promised: propose a new record, or complete the newest one.
    fn on_promised(&mut self) -> Action<R> {
        let is_chosen = self.is_known_record_chosen();
        let goal = match self.find_own_attempt() {
            Ok(Some(goal)) => goal,
            Err(LineageTooShort) => return Action::Done(Outcome::Unknown),
            Ok(None) => match &self.task {
                Task::Read => Goal::Read,
                Task::Change(change) => {
                    let value = self.known.value().map(|value| &value[..]);
                    match change(value, self.known.edition()) {
                        Err(rejection) => Goal::Reject(rejection),
                        Ok(value) => return self.propose_value(value.into()),
                    }
                }
                // Other voters are proposed only after a configuration that is chosen.
                Task::ChangeVoters(change) if is_chosen || is_disabled(Guard::ChosenBeforeNext) => {
                    match change.next(self.configuration()) {
                        None => Goal::Read,
                        Some(next) if self.has_quorum_of(change, &next) => {
                            return self.propose_configuration(next)
                        }
                        // More may respond yet.
                        Some(_) => return self.wait_for_more(),
                    }
                }
                Task::ChangeVoters(_) => Goal::ConfigurationStep,
            },
        };
        if is_chosen {
            return self.finish(goal);
        }
        // A value may be reported only once it is chosen: the same record is proposed again in this round.
        let Some(record) = self.known.record.clone() else { return Action::BackOff };
        self.goal = Some(goal);
        self.send_accept(record)
    }

    /// Whether the newest record is chosen already: all of a majority accepted it in the same proposal. (A newer record
    /// that is known from elsewhere was properly proposed in its round, so it may be built on as well.)
    fn is_known_record_chosen(&self) -> bool {
        let proposal = self.known.proposal;
        let has_accepted = |voter: &VoterId| {
            granted_by(&self.granted, voter)
                .is_some_and(|response| response.accepted == proposal && !response.adopted)
        };
        self.chosen_in == Some(proposal) || self.configuration().quorum(has_accepted)
    }

    /// Whether a majority of the next voters has responded: without one, nothing more could be agreed after this step.
    /// An added voter must be among them, with a promise that its disk has taken: otherwise it would be one voter more
    /// and one vote less.
    fn has_quorum_of(&self, change: &VoterChange, next: &VoterConfiguration) -> bool {
        let has_responded = |voter: &VoterId| granted_by(&self.granted, voter).is_some();
        let added_has_responded = match change {
            VoterChange::AddVoter(voter) => !next.voters.contains(voter) || has_responded(voter),
            VoterChange::RemoveVoters(..) => true,
        };
        added_has_responded && next.quorum(has_responded)
    }

    fn wait_for_more(&mut self) -> Action<R> {
        self.is_waiting = self.recipients.iter().any(|address| self.is_pending(address));
        if self.is_waiting {
            Action::Wait
        } else {
            Action::BackOff
        }
    }

    /// Whether this recipient has not responded yet.
    fn is_pending(&self, address: &String) -> bool {
        self.recipients.contains(address)
            && !self.granted.contains_key(address)
            && !self.failed.contains(address)
    }

    fn propose_configuration(&mut self, next: VoterConfiguration) -> Action<R> {
        let configuration = Some(VoterConfiguration { proposed_in: self.phase_id.proposal, ..next });
        self.goal = Some(Goal::ConfigurationStep);
        self.send_accept(Record { configuration, ..self.known.record.clone().unwrap_or_default() })
    }

    /// The edition that an earlier round of this operation made, if the newest record descends from it.
    fn find_own_attempt(&self) -> Result<Option<Goal<R>>, LineageTooShort> {
        let Some(record) = &self.known.record else { return Ok(None) };
        for attempt in &self.attempts {
            let Some(editions_back) = record.edition.checked_sub(attempt.edition) else { continue };
            match record.lineage.get(editions_back as usize) {
                Some(origin) if *origin == attempt.origin => {
                    return Ok(Some(Goal::Made(attempt.edition, attempt.value.clone())))
                }
                Some(_) => {}
                None => return Err(LineageTooShort),
            }
        }
        Ok(None)
    }

    fn propose_value(&mut self, value: Bytes) -> Action<R> {
        let edition = self.known.edition() + 1;
        let origin = self.phase_id.proposal;
        let before = self.known.record.as_ref().map_or(&[][..], |record| &record.lineage);
        let lineage = std::iter::once(origin).chain(before.iter().copied()).take(MAX_LINEAGE).collect();
        let configuration = self.known.record.as_ref().and_then(|record| record.configuration.clone());
        self.attempts.push(Attempt { edition, origin, value: value.clone() });
        self.goal = Some(Goal::Made(edition, value.clone()));
        self.send_accept(Record { edition, lineage, value, configuration })
    }

    fn send_accept(&mut self, record: Record) -> Action<R> {
        let proposal = self.phase_id.proposal;
        let recipients = record.configuration.as_ref().unwrap_or(&self.founders).addresses();
        self.proposed = Some(record.clone());
        self.begin_phase(PhaseId { proposal, accepting: true }, recipients);
        Action::Accept(Accept { proposal, record })
    }

    /// A majority has accepted: the proposed record is chosen.
    fn on_accepted(&mut self) -> Action<R> {
        if self.phase_id.proposal > self.known.proposal {
            self.known = KnownRecord { proposal: self.phase_id.proposal, record: self.proposed.take() };
        }
        self.chosen_in = Some(self.phase_id.proposal);
        let configuration = self.known.configuration(&self.founders);
        match (self.goal.take(), &self.task) {
            (Some(Goal::ConfigurationStep), Task::ChangeVoters(change))
                if change.next(configuration).is_some() =>
            {
                self.begin_round()
            }
            (Some(Goal::ConfigurationStep), _) => self.finish(Goal::Read),
            (Some(goal), _) => self.finish(goal),
            (None, _) => Action::BackOff,
        }
    }

    fn finish(&mut self, goal: Goal<R>) -> Action<R> {
        Action::Done(match goal {
            Goal::Made(edition, value) => Outcome::Chosen(edition, Some(value)),
            Goal::Read | Goal::ConfigurationStep => {
                Outcome::Chosen(self.known.edition(), self.known.value().cloned())
            }
            Goal::Reject(rejection) => Outcome::Rejected(rejection),
        })
    }
}

/// The newest record's lineage does not reach back to an attempt of this operation.
struct LineageTooShort;
