//! The table of the store's voters and their state, for `oatbankctl voters`.

use oatbank_cluster_state::admin_query::table;
use oatbank_cluster_state::messages::Table;
use oatbank_config_store::membership::tolerated_losses;
use oatbank_config_store::messages::{ProposalNumber, VoterConfiguration, VoterId, VoterResponse};
use std::collections::BTreeMap;

type Responses = BTreeMap<String, VoterResponse>;

const COLUMNS: [&str; 7] = ["voter", "disk", "place", "state", "edition", "accepted", "promised"];

/// Returns the response of this voter, ignoring one that comes from another disk at the same address.
fn response_of<'a>(responses: &'a Responses, voter: &VoterId) -> Option<&'a VoterResponse> {
    responses.get(&voter.address).filter(|response| response.disk_id == voter.disk_id)
}

/// Returns the newest proposal that a quorum has accepted. Voters with an older one are behind.
fn agreed_proposal(configuration: &VoterConfiguration, responses: &Responses) -> Option<ProposalNumber> {
    let mut proposals: Vec<ProposalNumber> = responses.values().map(|response| response.accepted).collect();
    proposals.sort_unstable();
    let is_held = |proposal: ProposalNumber| {
        configuration.quorum(|voter| {
            response_of(responses, voter).is_some_and(|response| response.accepted >= proposal)
        })
    };
    proposals.into_iter().rev().find(|proposal| is_held(*proposal))
}

/// Returns whether a voter joins, leaves or votes. Voters join and leave only during a change of the configuration.
fn role(configuration: &VoterConfiguration, voter: &VoterId) -> &'static str {
    match (configuration.voters.contains(voter), configuration.outgoing.contains(voter)) {
        (true, false) if configuration.is_changing() => "comes",
        (false, _) => "goes",
        _ => "votes",
    }
}

fn state(responses: &Responses, voter: &VoterId, agreed: Option<ProposalNumber>) -> &'static str {
    match (response_of(responses, voter), responses.get(&voter.address)) {
        (Some(response), _) if Some(response.accepted) >= agreed => "up to date",
        (Some(_), _) => "behind",
        (None, Some(_)) => "has another disk",
        (None, None) => "silent",
    }
}

/// Builds the table of voters and their responses. The title tells how many more voters may fail without loss of the quorum.
pub fn show(configuration: &VoterConfiguration, responses: &Responses) -> Table {
    let agreed = agreed_proposal(configuration, responses);
    let row = |voter: &VoterId| {
        let response = response_of(responses, voter);
        let cell = |of: &dyn Fn(&VoterResponse) -> String| response.map_or_else(String::new, of);
        vec![
            voter.address.clone(),
            format!("{:x}", voter.disk_id),
            role(configuration, voter).to_owned(),
            state(responses, voter, agreed).to_owned(),
            cell(&|response| response.edition.to_string()),
            cell(&|response| response.accepted.to_string()),
            cell(&|response| response.promised.to_string()),
        ]
    };
    let outgoing = configuration.outgoing.iter().filter(|voter| !configuration.voters.contains(voter));
    let rows = configuration.voters.iter().chain(outgoing).map(row).collect();
    let changing = if configuration.is_changing() { ", changing" } else { "" };
    let tolerated = match tolerated_losses(configuration, |voter| response_of(responses, voter).is_none()) {
        Some(more) => format!("{more} more may be lost"),
        None => "no majority is there".to_owned(),
    };
    table(format!("{} voters{changing}: {tolerated}", configuration.voters.len()), &COLUMNS, rows)
}
