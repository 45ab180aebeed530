//! Quorum reads: from the responses to a [`Peek`](crate::messages::Peek), determines whether a majority has accepted
//! the same proposal, which is then chosen.

use crate::guard::{is_disabled, Guard};
use crate::messages::{ProposalNumber, ResponseStatus, VoterConfiguration, VoterId, VoterResponse};
use std::collections::BTreeMap;

/// Returns the response if it was granted by this voter, and not with another disk of the same machine.
pub(crate) fn granted_by<'a>(
    responses: &'a BTreeMap<String, VoterResponse>,
    voter: &VoterId,
) -> Option<&'a VoterResponse> {
    let same_disk =
        |response: &VoterResponse| response.disk_id == voter.disk_id || is_disabled(Guard::SameDisk);
    let response = responses.get(&voter.address)?;
    (same_disk(response) && response.status() == ResponseStatus::Granted).then_some(response)
}

/// Summary of the responses to a peek.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeekSummary {
    /// The proposal that a majority has accepted, otherwise the highest that any voter has accepted.
    pub proposal: ProposalNumber,
    /// The edition of the record accepted in `proposal`.
    pub edition: u64,
    /// Whether a majority has accepted it: its record is chosen, and no newer one was when the first voter was asked.
    pub agreed: bool,
    /// The highest round promised to any proposer.
    pub highest_round: u64,
}

/// Summarizes the responses of the voters in `configuration`; `None` without a majority of them.
pub fn summarize_peek(
    configuration: &VoterConfiguration,
    responses: &BTreeMap<String, VoterResponse>,
) -> Option<PeekSummary> {
    if !configuration.quorum(|voter| granted_by(responses, voter).is_some()) {
        return None;
    }
    let voters = configuration.voters.iter().chain(&configuration.outgoing);
    let granted: Vec<&VoterResponse> = voters.filter_map(|voter| granted_by(responses, voter)).collect();
    let agreed = granted
        .iter()
        .map(|response| response.accepted)
        .find(|proposal| is_chosen(*proposal, configuration, responses));
    let proposal = agreed.or_else(|| granted.iter().map(|response| response.accepted).max())?;
    let of_proposal = granted.iter().find(|response| response.accepted == proposal);
    Some(PeekSummary {
        proposal,
        edition: of_proposal.map_or(0, |response| response.edition),
        agreed: agreed.is_some(),
        highest_round: granted.iter().map(|response| response.promised.round).max().unwrap_or(0),
    })
}

/// Returns whether a majority has accepted this proposal. Only acceptances of a record with this same configuration
/// count: voters that have been replaced may all hold a record of a later configuration, which they cannot choose.
fn is_chosen(
    proposal: ProposalNumber,
    configuration: &VoterConfiguration,
    responses: &BTreeMap<String, VoterResponse>,
) -> bool {
    configuration.quorum(|voter| {
        granted_by(responses, voter).is_some_and(|response| {
            response.accepted == proposal
                && !response.adopted
                && response.configuration_proposed_in == configuration.proposed_in
        })
    })
}
