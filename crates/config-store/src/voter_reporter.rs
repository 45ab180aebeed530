//! Log lines on the voters, each written once for each change.

use crate::messages::{ProposalNumber, VoterConfiguration, VoterId};
use crate::voter::{names, FOUND_AGAIN};
use oatbank_node_runtime::log::{info, warn};
use std::net::SocketAddr;
use std::time::Duration;

/// The voters have had no reachable majority for this long when it is first logged.
const REPORT_LOSS_AFTER: Duration = Duration::from_secs(10);
/// How often the loss is logged again.
const REPORT_LOSS_EVERY: Duration = Duration::from_secs(60);

/// Logs which voters are missing while no majority of them is reachable for long.
#[derive(Default)]
pub(crate) struct QuorumLossReporter {
    since: Option<Duration>,
    last_report: Option<Duration>,
}

impl QuorumLossReporter {
    pub(crate) fn report(
        &mut self,
        now: Duration,
        configuration: &VoterConfiguration,
        seeds: &[SocketAddr],
        is_reachable: impl Fn(&VoterId) -> bool,
    ) {
        if configuration.quorum(&is_reachable) {
            *self = QuorumLossReporter::default();
            return;
        }
        let lasts = now - *self.since.get_or_insert(now);
        if lasts < REPORT_LOSS_AFTER || self.last_report.is_some_and(|last| now - last < REPORT_LOSS_EVERY) {
            return;
        }
        self.last_report = Some(now);
        let seconds = lasts.as_secs();
        if configuration.voters.is_empty() {
            let seeds = names(seeds).join(", ");
            warn!("store: For {seconds} s nobody says who votes, also none of {seeds}. If nothing was ever agreed, see {FOUND_AGAIN} in docs/operators/core.md.");
            return;
        }
        let outgoing = configuration.outgoing.iter().filter(|voter| !configuration.voters.contains(voter));
        let unreachable: Vec<&str> = configuration
            .voters
            .iter()
            .chain(outgoing)
            .filter(|voter| !is_reachable(voter))
            .map(|voter| voter.address.as_str())
            .collect();
        let unreachable = unreachable.join(", ");
        warn!("store: For {seconds} s no majority of the voters is there: {unreachable} are silent, or back without the disk that voted.");
    }
}

/// What was last logged of the voters.
#[derive(Clone, Copy, PartialEq, Eq)]
struct Reported {
    proposed_in: ProposalNumber,
    is_voter: bool,
}

/// Logs changes of the voters as this machine sees them.
#[derive(Default)]
pub(crate) struct VoterChangeReporter {
    last: Option<Reported>,
}

impl VoterChangeReporter {
    pub(crate) fn report(&mut self, configuration: &VoterConfiguration, this_voter: &VoterId) {
        let is_voter = configuration.voters.contains(this_voter);
        let reported = Reported { proposed_in: configuration.proposed_in, is_voter };
        let is_settled = !configuration.voters.is_empty() && !configuration.is_changing();
        if !is_settled || self.last == Some(reported) {
            return;
        }
        let was_voter = self.last.replace(reported).map(|last| last.is_voter);
        let voters: Vec<&str> = configuration.voters.iter().map(|voter| voter.address.as_str()).collect();
        let voters = voters.join(", ");
        match (was_voter, is_voter) {
            (None, true) => info!("store: Votes; the voters are {voters}."),
            (Some(true), true) => info!("store: The voters are {voters} now."),
            (Some(false), true) => info!("store: Is taken in and votes; the voters are {voters}."),
            (Some(true), false) => warn!("store: Votes no more, and asks to be taken in again."),
            (_, false) => info!("store: Does not vote yet; the voters are {voters}."),
        }
    }
}
