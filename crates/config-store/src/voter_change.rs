//! Voter changes by joint consensus: a change is first chosen by a majority of the outgoing voters and one of the next
//! voters; only then do the next voters decide alone.

use crate::guard::{is_disabled, Guard};
use crate::messages::{ProposalNumber, VoterConfiguration, VoterId, MAX_VOTERS};

/// A change of the voters.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum VoterChange {
    /// Adds a voter, which replaces any earlier disk of the same machine.
    AddVoter(VoterId),
    /// Removes these voters, if the current configuration is the one proposed with this number.
    RemoveVoters(Vec<VoterId>, ProposalNumber),
}

impl VoterChange {
    /// Returns the configuration to propose after `configuration`, which must be chosen; `None` if the change is
    /// complete or no longer applies.
    pub fn next(&self, configuration: &VoterConfiguration) -> Option<VoterConfiguration> {
        if configuration.is_changing() {
            let voters = configuration.voters.clone();
            return Some(VoterConfiguration { voters, ..VoterConfiguration::default() });
        }
        let mut voters = configuration.voters.clone();
        match self {
            VoterChange::AddVoter(voter) if voters.contains(voter) => return None,
            VoterChange::AddVoter(voter) => {
                voters.retain(|other| other.address != voter.address);
                voters.push(voter.clone());
            }
            VoterChange::RemoveVoters(_, based_on) if *based_on != configuration.proposed_in => return None,
            VoterChange::RemoveVoters(removed, _) => voters.retain(|voter| !removed.contains(voter)),
        }
        // One voter over the limit is allowed: it replaces an unreachable one, which is removed next.
        let is_valid = voters != configuration.voters && !voters.is_empty() && voters.len() <= MAX_VOTERS + 1;
        let outgoing =
            if is_disabled(Guard::JointQuorum) { Vec::new() } else { configuration.voters.clone() };
        is_valid.then(|| VoterConfiguration { voters, outgoing, ..VoterConfiguration::default() })
    }
}
