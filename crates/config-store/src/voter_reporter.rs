//! Log lines about the voters: one for each change, and repeated ones while no majority is reachable.

use crate::messages::{ProposalNumber, VoterConfiguration, VoterId};
use crate::voter::{address_strings, FOUND_AGAIN_FILE};
use oatbank_node_runtime::log::{info, warn};
use std::net::SocketAddr;
use std::time::Duration;

/// The loss of the reachable majority is first logged after this time.
const REPORT_LOSS_AFTER: Duration = Duration::from_secs(10);
/// Interval at which the loss of the reachable majority is logged again.
const REPORT_LOSS_EVERY: Duration = Duration::from_secs(60);

/// Logs the unreachable voters while no majority has been reachable for [`REPORT_LOSS_AFTER`].
#[derive(Default)]
pub(crate) struct QuorumLossReporter {
    since: Option<Duration>,
    last_report: Option<Duration>,
}

impl QuorumLossReporter {
    /// Takes the result of one check of the voters, and logs the loss of the majority if a report is due.
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
        let lost_for = now - *self.since.get_or_insert(now);
        if lost_for < REPORT_LOSS_AFTER || self.last_report.is_some_and(|last| now - last < REPORT_LOSS_EVERY)
        {
            return;
        }
        self.last_report = Some(now);
        let seconds = lost_for.as_secs();
        if configuration.voters.is_empty() {
            let seeds = address_strings(seeds).join(", ");
            warn!("store: no voters known for {seconds} s, and none of the seeds {seeds} names any; if nothing was ever agreed on, see {FOUND_AGAIN_FILE} in docs/operators/core.md");
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
        warn!("store: no majority of the voters reachable for {seconds} s: {unreachable} do not answer, cannot write to disk, or have lost the disk they voted with");
    }
}

/// The configuration that was last logged.
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
    /// Logs the configuration if it is not a joint one and differs from the last one logged.
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
            (None, true) => info!("store: is a voter; the voters are {voters}"),
            (Some(true), true) => info!("store: the voters are now {voters}"),
            (Some(false), true) => info!("store: became a voter; the voters are {voters}"),
            (Some(true), false) => warn!("store: is no longer a voter, and asks to be added again"),
            (_, false) => info!("store: is not a voter yet; the voters are {voters}"),
        }
    }
}
