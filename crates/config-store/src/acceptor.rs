//! The acceptor of Paxos: what a voter has promised and accepted. No I/O; each response says what must be durable before
//! it is sent.
//!
//! Every core machine runs one, whether it has a vote or not: a proposer counts only the responses of the voters in
//! the [`VoterConfiguration`] in force.

use crate::messages::{
    Accept, Fetch, LocalState, LocalStateRequest, PersistentState, Prepare, ProposalNumber, Record,
    ResponseStatus, VoterConfiguration, VoterResponse,
};

/// What must be durable before the response is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RequiredWrite {
    /// Nothing has changed.
    Nothing,
    /// [`Acceptor::state`].
    State,
    /// [`Acceptor::state`] and [`Acceptor::record`].
    StateAndRecord,
}

/// One acceptor.
#[derive(Clone, Debug)]
pub struct Acceptor {
    /// Invariant: `state.accepted <= state.promised`.
    state: PersistentState,
    /// Invariant: present exactly if `state.accepted` is not the zero proposal.
    record: Option<Record>,
}

impl Acceptor {
    /// A founder on its first disk.
    pub fn founded(founders: Vec<String>) -> Acceptor {
        Acceptor { state: PersistentState { founders, ..PersistentState::default() }, record: None }
    }

    /// An acceptor on an empty disk. `disk_id` is a random number that no earlier disk of this machine had.
    pub fn fresh(disk_id: u64) -> Acceptor {
        let state = PersistentState { disk_id: disk_id.max(1), ..PersistentState::default() };
        Acceptor { state, record: None }
    }

    /// An acceptor from what was durable; `None` if the two parts contradict each other.
    pub fn restored(state: PersistentState, record: Option<Record>) -> Option<Acceptor> {
        let has_accepted = state.accepted != ProposalNumber::default();
        let is_identified = state.disk_id != 0 || !state.founders.is_empty();
        (record.is_some() == has_accepted && is_identified).then_some(Acceptor { state, record })
    }

    /// All that must be durable besides the record.
    pub fn state(&self) -> &PersistentState {
        &self.state
    }

    /// The accepted record.
    pub fn record(&self) -> Option<&Record> {
        self.record.as_ref()
    }

    fn configuration(&self) -> Option<&VoterConfiguration> {
        self.record.as_ref().and_then(|record| record.configuration.as_ref())
    }

    /// [`VoterConfiguration::proposed_in`] of the accepted record.
    pub fn configuration_proposed_in(&self) -> ProposalNumber {
        self.configuration().map_or_else(ProposalNumber::default, |configuration| configuration.proposed_in)
    }

    /// Whether the accepted record is a joint configuration.
    pub fn is_changing(&self) -> bool {
        self.configuration().is_some_and(VoterConfiguration::is_changing)
    }

    /// A response with the current state and no record.
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

    /// Promises not to take part in any lower proposal. The same number is promised only once.
    pub fn prepare(&mut self, request: &Prepare) -> (VoterResponse, RequiredWrite) {
        if request.proposal <= self.state.promised {
            return (self.respond(ResponseStatus::Rejected), RequiredWrite::Nothing);
        }
        self.state.promised = request.proposal;
        let record = self.record_newer_than(request.known);
        (VoterResponse { record, ..self.respond(ResponseStatus::Granted) }, RequiredWrite::State)
    }

    /// Accepts the record, unless a higher proposal was promised.
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

    /// Stores a record learned from another process, if it is newer. This is no vote: later prepare responses carry the
    /// record, but this acceptor is not counted among those that accepted it.
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

    /// The accepted proposal and its edition, without the record.
    pub fn peek(&self) -> VoterResponse {
        self.respond(ResponseStatus::Granted)
    }

    /// The record, if it is newer than what the caller knows.
    pub fn fetch(&self, request: &Fetch) -> VoterResponse {
        let record = self.record_newer_than(request.known);
        VoterResponse { record, ..self.respond(ResponseStatus::Granted) }
    }

    /// Who the voters are, as far as this acceptor knows.
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
