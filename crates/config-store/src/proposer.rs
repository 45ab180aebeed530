//! The Paxos proposer: one operation on the register, over as many rounds as it needs. No I/O and no clock: it takes
//! events and returns [`Action`]s.
//!
//! A round has two phases: first the voters are asked for a promise (prepare), then to accept a record. The caller
//! sends the request of an action to [`Operation::recipients`] and passes each response to
//! [`Operation::on_response`], with the [`PhaseId`] of the phase in which the request was sent.

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

/// The purpose of an operation.
#[derive(Debug)]
pub enum Task<F> {
    /// Reads the newest value.
    Read,
    /// Changes the value with this function, which may be called several times.
    Change(F),
    /// Changes the voters.
    ChangeVoters(VoterChange),
}

/// The result of an operation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome<R> {
    /// Edition and value that a majority has accepted. A change returns the ones it made, even if later changes have
    /// followed; a read returns the newest.
    Chosen(u64, Option<Bytes>),
    /// The function rejected the newest value; no change of this operation is or will be chosen.
    Rejected(R),
    /// More editions have followed than [`Record::lineage`] lists: the change may or may not be among them.
    Unknown,
}

/// The next step of the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action<R> {
    /// Wait for more responses.
    Wait,
    /// Send this prepare request to [`Operation::recipients`].
    Prepare(Prepare),
    /// Send this accept request to [`Operation::recipients`].
    Accept(Accept),
    /// The round has failed: wait for a random time, then call [`Operation::begin_round`].
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

/// The outcome to report once the proposed record is chosen.
enum Goal<R> {
    /// Edition and value of this operation's change.
    Made(u64, Bytes),
    Read,
    Reject(R),
    /// No outcome yet: the record is one step of a change of the voters.
    ConfigurationStep,
}

/// One operation, over as many rounds as it needs.
pub struct Operation<F, R> {
    task: Task<F>,
    proposer_id: u64,
    founders: VoterConfiguration,
    /// The highest round seen from any proposer; the next round of this one is higher.
    highest_round: u64,
    known: KnownRecord,
    /// The proposal of this operation whose record a majority has accepted.
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
    /// Creates an operation of the proposer `proposer_id`, which differs between incarnations and runs one operation
    /// at a time. `founders` are the voters if no record names any; `highest_round` is the highest round the proposer
    /// has seen.
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

    /// Begins the first round, or the next one after a back-off.
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

    /// Returns the addresses to which the request of the current phase is sent.
    pub fn recipients(&self) -> &[String] {
        &self.recipients
    }

    /// Returns the current phase; responses of other phases are not counted.
    pub fn phase_id(&self) -> PhaseId {
        self.phase_id
    }

    /// Returns the newest record seen.
    pub fn known(&self) -> &KnownRecord {
        &self.known
    }

    /// Returns the highest round seen.
    pub fn highest_round(&self) -> u64 {
        self.highest_round
    }

    /// Returns whether this operation has proposed a change, which may then be chosen even if the operation is
    /// abandoned.
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

    /// Handles a voter's response in the phase `phase_id`.
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

    /// Records that no response will come from this voter in the phase `phase_id`.
    pub fn on_failure(&mut self, phase_id: PhaseId, voter: &str) -> Action<R> {
        if phase_id != self.phase_id || !self.is_waiting {
            return Action::Wait;
        }
        self.failed.insert(voter.to_owned());
        self.evaluate()
    }

    /// Ends the current phase, whose time is up.
    pub fn on_timeout(&mut self) -> Action<R> {
        if !self.is_waiting {
            return Action::Wait;
        }
        self.is_waiting = false;
        Action::BackOff
    }

    /// Returns the voters whose majority is needed: those of the newest record seen, or in the second phase those of
    /// the proposed record itself.
    fn configuration(&self) -> &VoterConfiguration {
        match &self.proposed {
            Some(record) if self.phase_id.accepting => {
                record.configuration.as_ref().unwrap_or(&self.founders)
            }
            _ => self.known.configuration(&self.founders),
        }
    }

    /// Decides whether the phase has its majority, may still get one, or has failed.
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
            // A response brought a newer configuration, whose voters have not been asked yet.
            return self.begin_round();
        }
        Action::BackOff
    }

    /// After a majority has promised: proposes a new record, or completes the newest one.
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
                // A new configuration is proposed only once the current one is chosen.
                Task::ChangeVoters(change) if is_chosen || is_disabled(Guard::ChosenBeforeNext) => {
                    match change.next(self.configuration()) {
                        None => Goal::Read,
                        Some(next) if self.has_quorum_of(change, &next) => {
                            return self.propose_configuration(next)
                        }
                        // More voters may still respond.
                        Some(_) => return self.wait_for_more(),
                    }
                }
                Task::ChangeVoters(_) => Goal::ConfigurationStep,
            },
        };
        if is_chosen {
            return self.finish(goal);
        }
        // A value may be reported only once it is chosen, so the same record is proposed again in this round.
        let Some(record) = self.known.record.clone() else { return Action::BackOff };
        self.goal = Some(goal);
        self.send_accept(record)
    }

    /// Returns whether the newest record is chosen already: a majority has accepted it in the same proposal. A newer
    /// record learned outside this phase was proposed according to the protocol, so it is a valid base as well.
    fn is_known_record_chosen(&self) -> bool {
        let proposal = self.known.proposal;
        let has_accepted = |voter: &VoterId| {
            granted_by(&self.granted, voter)
                .is_some_and(|response| response.accepted == proposal && !response.adopted)
        };
        self.chosen_in == Some(proposal) || self.configuration().quorum(has_accepted)
    }

    /// Returns whether a majority of the next voters has responded: without one, nothing more could be agreed on after
    /// this step. An added voter must be among them, with a promise that is durable on its disk: otherwise the change
    /// would raise the size of a majority without adding a working voter.
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

    /// Returns whether this recipient was asked and has neither responded nor failed.
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

    /// Returns the edition that an earlier round of this operation made, if the newest record descends from it.
    ///
    /// # Errors
    /// [`LineageTooShort`] if the lineage does not reach back far enough to tell.
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

    /// Records that a majority has accepted, so the proposed record is chosen, and goes on to the next step.
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
