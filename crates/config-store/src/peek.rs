//! What the voters' responses to a [`Peek`](crate::messages::Peek) say together: whether a majority has accepted the same
//! proposal, which is then chosen.

use crate::guard::{is_disabled, Guard};
use crate::messages::{ProposalNumber, ResponseStatus, VoterConfiguration, VoterId, VoterResponse};
use std::collections::BTreeMap;

/// The response granted by this very voter: not one of another disk of its machine.
pub(crate) fn granted_by<'a>(
    responses: &'a BTreeMap<String, VoterResponse>,
    voter: &VoterId,
) -> Option<&'a VoterResponse> {
    let same_disk =
        |response: &VoterResponse| response.disk_id == voter.disk_id || is_disabled(Guard::SameDisk);
    let response = responses.get(&voter.address)?;
    (same_disk(response) && response.status() == ResponseStatus::Granted).then_some(response)
}

/// What the responses to a peek say.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeekSummary {
    /// The proposal that a majority has accepted, otherwise the highest accepted by any.
    pub proposal: ProposalNumber,
    /// Its edition.
    pub edition: u64,
    /// Whether a majority has accepted it: its record is chosen, and nothing newer was before the first voter was asked.
    pub agreed: bool,
    /// The highest round promised to anyone.
    pub highest_round: u64,
}

/// Summarizes responses of the voters in `configuration`; `None` below a majority of them.
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

/// Whether a majority has accepted this proposal. Only a record with this very configuration is theirs to choose.
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
