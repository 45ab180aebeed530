//! The Paxos acceptor: a voter's promised proposal and accepted record. No I/O; each method returns which parts must be
//! durable before the response is sent.
//!
//! Every core machine runs one, whether it is a voter or not: a proposer counts only the responses of the voters in
//! the [`VoterConfiguration`] in force.

use crate::messages::{
    Accept, Fetch, LocalState, LocalStateRequest, PersistentState, Prepare, ProposalNumber, Record,
    ResponseStatus, VoterConfiguration, VoterResponse,
};

/// The parts of an acceptor that must be durable before the response is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RequiredWrite {
    /// Nothing has changed, so nothing needs to be written.
    Nothing,
    /// Only [`Acceptor::state`].
    State,
    /// [`Acceptor::state`] and [`Acceptor::record`].
    StateAndRecord,
}

/// The promised proposal and the accepted record of one machine.
#[derive(Clone, Debug)]
pub struct Acceptor {
    /// Invariant: `state.accepted <= state.promised`.
    state: PersistentState,
    /// Invariant: present exactly if `state.accepted` is not the zero proposal.
    record: Option<Record>,
}

impl Acceptor {
    /// Creates the acceptor of a founder with its first disk, whose id is 0.
    pub fn founded(founders: Vec<String>) -> Acceptor {
        Acceptor { state: PersistentState { founders, ..PersistentState::default() }, record: None }
    }

    /// Creates an acceptor for an empty disk. `disk_id` is a random number that no earlier disk of this machine had.
    pub fn fresh(disk_id: u64) -> Acceptor {
        let state = PersistentState { disk_id: disk_id.max(1), ..PersistentState::default() };
        Acceptor { state, record: None }
    }

    /// Restores an acceptor from its durable parts. Returns `None` if the two contradict each other, or if the state
    /// has neither a disk id nor founders.
    pub fn restored(state: PersistentState, record: Option<Record>) -> Option<Acceptor> {
        let has_accepted = state.accepted != ProposalNumber::default();
        let is_identified = state.disk_id != 0 || !state.founders.is_empty();
        (record.is_some() == has_accepted && is_identified).then_some(Acceptor { state, record })
    }

    /// Returns the durable state without the record.
    pub fn state(&self) -> &PersistentState {
        &self.state
    }

    /// Returns the accepted record.
    pub fn record(&self) -> Option<&Record> {
        self.record.as_ref()
    }

    fn configuration(&self) -> Option<&VoterConfiguration> {
        self.record.as_ref().and_then(|record| record.configuration.as_ref())
    }

    /// Returns [`VoterConfiguration::proposed_in`] of the accepted record; zero if it names no voters.
    pub fn configuration_proposed_in(&self) -> ProposalNumber {
        self.configuration().map_or_else(ProposalNumber::default, |configuration| configuration.proposed_in)
    }

    /// Returns whether the accepted record has a joint configuration.
    pub fn is_changing(&self) -> bool {
        self.configuration().is_some_and(VoterConfiguration::is_changing)
    }

    /// Returns a response with the current state and no record.
    pub fn respond(&self, status: ResponseStatus) -> VoterResponse {
        VoterResponse {
            status: status as i32,
            disk_id: self.state.disk_id,
            promised: self.state.promised,
            accepted: self.state.accepted,
            adopted: self.state.adopted,
            edition: self.record.as_ref().map_or(0, |record| record.edition),
            record: None,
            configuration_proposed_in: self.configuration_proposed_in(),
        }
    }

    fn record_newer_than(&self, known: ProposalNumber) -> Option<Record> {
        self.record.clone().filter(|_| self.state.accepted > known)
    }

    /// Promises to reject all lower proposals. Rejects a proposal that is not higher than the promised one, so the same
    /// number is promised only once.
    pub fn prepare(&mut self, request: &Prepare) -> (VoterResponse, RequiredWrite) {
        if request.proposal <= self.state.promised {
            return (self.respond(ResponseStatus::Rejected), RequiredWrite::Nothing);
        }
        self.state.promised = request.proposal;
        let record = self.record_newer_than(request.known);
        (VoterResponse { record, ..self.respond(ResponseStatus::Granted) }, RequiredWrite::State)
    }

    /// Accepts the record, unless a higher proposal was promised. A repeated request is granted without a write.
    pub fn accept(&mut self, request: &Accept) -> (VoterResponse, RequiredWrite) {
        if request.proposal < self.state.promised {
            return (self.respond(ResponseStatus::Rejected), RequiredWrite::Nothing);
        }
        if request.proposal == self.state.accepted && !self.state.adopted {
            return (self.respond(ResponseStatus::Granted), RequiredWrite::Nothing);
        }
        self.state.promised = request.proposal;
        self.state.accepted = request.proposal;
        self.state.adopted = false;
        self.record = Some(request.record.clone());
        (self.respond(ResponseStatus::Granted), RequiredWrite::StateAndRecord)
    }

    /// Stores a record learned from another process, if it is newer. This is not a vote: later prepare responses
    /// carry the record, but this acceptor does not count towards the majority that accepted it.
    pub fn adopt(&mut self, proposal: ProposalNumber, record: &Record) -> RequiredWrite {
        if proposal <= self.state.accepted {
            return RequiredWrite::Nothing;
        }
        self.state.promised = self.state.promised.max(proposal);
        self.state.accepted = proposal;
        self.state.adopted = true;
        self.record = Some(record.clone());
        RequiredWrite::StateAndRecord
    }

    /// Returns the accepted proposal and its edition, without the record.
    pub fn peek(&self) -> VoterResponse {
        self.respond(ResponseStatus::Granted)
    }

    /// Returns the record, if it is newer than the one the caller knows.
    pub fn fetch(&self, request: &Fetch) -> VoterResponse {
        let record = self.record_newer_than(request.known);
        VoterResponse { record, ..self.respond(ResponseStatus::Granted) }
    }

    /// Returns the founders, and the record if it is newer than the one the caller knows: together they name the
    /// voters.
    pub fn local_state(&self, request: &LocalStateRequest, seeds: Vec<String>) -> LocalState {
        LocalState {
            founders: self.state.founders.clone(),
            seeds,
            disk_id: self.state.disk_id,
            accepted: self.state.accepted,
            record: self.record_newer_than(request.known),
            unable: false,
        }
    }
}
