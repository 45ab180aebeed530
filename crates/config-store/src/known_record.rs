//! The newest record that a process has learned of.

use crate::messages::{LocalState, ProposalNumber, Record, VoterConfiguration, VoterResponse};
use bytes::Bytes;

/// The newest record that a process has seen, chosen or not, with the proposal in which it was accepted.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct KnownRecord {
    /// The proposal in which the record was accepted; zero if no record was seen.
    pub proposal: ProposalNumber,
    /// The record; `None` if none was seen.
    pub record: Option<Record>,
}

impl KnownRecord {
    /// Returns the edition; 0 if there is no record.
    pub fn edition(&self) -> u64 {
        self.record.as_ref().map_or(0, |record| record.edition)
    }

    /// Returns the value; `None` before the first change.
    pub fn value(&self) -> Option<&Bytes> {
        self.record.as_ref().filter(|record| record.edition > 0).map(|record| &record.value)
    }

    /// Returns the voters that this record names, or the founders if it names none.
    pub fn configuration<'a>(&'a self, founders: &'a VoterConfiguration) -> &'a VoterConfiguration {
        self.record.as_ref().and_then(|record| record.configuration.as_ref()).unwrap_or(founders)
    }

    /// Stores the record of a voter's response, if it is newer.
    pub fn learn(&mut self, response: &VoterResponse) {
        self.learn_record(response.accepted, response.record.as_ref());
    }

    /// Stores the record of a store process's local state, if it is newer.
    pub fn learn_from(&mut self, state: &LocalState) {
        self.learn_record(state.accepted, state.record.as_ref());
    }

    fn learn_record(&mut self, proposal: ProposalNumber, record: Option<&Record>) {
        if proposal > self.proposal && record.is_some() {
            *self = KnownRecord { proposal, record: record.cloned() };
        }
    }
}
