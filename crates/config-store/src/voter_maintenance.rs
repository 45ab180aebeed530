//! Maintains the set of voters from one core machine: asks to become a voter, removes voters that are permanently lost,
//! and leaves before a planned shutdown. The rules are in [`crate::membership`].

use crate::client::RegisterClient;
use crate::known_record::KnownRecord;
use crate::membership::{may_join, removable_on_shutdown, LivenessTracker, RemovalDecision};
use crate::messages::{LocalState, ProposalNumber, VoterConfiguration, VoterId};
use crate::proposer::VoterChange;
use crate::voter::{QueuedRequest, Voter};
use crate::voter_reporter::{QuorumLossReporter, VoterChangeReporter};
use oatbank_node_runtime::log::{info, warn};
use oatbank_node_runtime::random::random_u64;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, Instant};

/// How long other processes may take to answer with the voters they know of.
const DISCOVERY_TIMEOUT: Duration = Duration::from_millis(400);
/// How long a change of the voters may take.
const CHANGE_TIMEOUT: Duration = Duration::from_millis(1500);
/// How long each attempt to leave the voters before a planned shutdown may take.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(600);
/// The number of attempts to leave the voters.
const LEAVE_ATTEMPTS: usize = 2;
/// Mean wait between two attempts to become a voter.
const JOIN_RETRY: Duration = Duration::from_millis(200);
/// Wait between two checks of the voters.
const CHECK_INTERVAL: Duration = Duration::from_secs(2);
/// Wait between two checks of the voters if removing an unreachable one would raise the tolerated losses.
const CHECK_SOON_INTERVAL: Duration = Duration::from_millis(500);
/// With this many voters or fewer a machine keeps its place at shutdown: fewer than three voters tolerate no loss.
const MIN_REMAINING_VOTERS: usize = 3;

/// The state that one machine keeps between two checks of the voters.
struct Maintenance {
    voter: Rc<Voter>,
    this_voter: VoterId,
    client: RegisterClient,
    started: Instant,
    liveness: LivenessTracker,
    changes: VoterChangeReporter,
    quorum_loss: QuorumLossReporter,
    /// The proposal of the record stored at the previous check.
    accepted_before: ProposalNumber,
}

impl Voter {
    /// Checks the voters periodically and never returns: makes this machine a voter, and removes lost ones.
    pub async fn maintain_voters(self: Rc<Voter>) {
        let mut maintenance = Maintenance {
            this_voter: self.voter_id(),
            client: RegisterClient::new(u64::from(self.address.port())),
            started: Instant::now(),
            liveness: LivenessTracker::new(self.tolerated_failures),
            changes: VoterChangeReporter::default(),
            quorum_loss: QuorumLossReporter::default(),
            accepted_before: self.accepted(),
            voter: self.clone(),
        };
        loop {
            let Some(wait) = maintenance.check().await else { continue };
            tokio::select! {
                biased;
                () = sleep(wait) => {}
                () = self.membership_changed.notified() => {}
            }
        }
    }

    /// Removes this machine from the voters before a planned shutdown, if the others then tolerate as many losses as
    /// with it: a majority of the others then has the agreed record. Otherwise it stays a voter, as it may come back.
    /// [`Voter::maintain_voters`] must have ended.
    pub async fn leave(&self) {
        let this_voter = self.voter_id();
        let client = RegisterClient::new(u64::from(self.address.port()));
        client.learn(&self.local_state());
        for _ in 0..LEAVE_ATTEMPTS {
            let known = client.configuration();
            if known.voters.len() <= MIN_REMAINING_VOTERS && !known.is_changing() {
                return;
            }
            let states = client.discover_voters(&[], DISCOVERY_TIMEOUT).await;
            let configuration = client.configuration();
            let is_reachable = reachable_in(&states, &this_voter);
            let unreachable: Vec<VoterId> =
                configuration.voters.iter().filter(|voter| !is_reachable(voter)).cloned().collect();
            let removed =
                removable_on_shutdown(&configuration, &this_voter, &unreachable, self.tolerated_failures);
            if removed.is_empty() && !configuration.is_changing() {
                return;
            }
            // A change in progress is completed first.
            let change = VoterChange::RemoveVoters(removed.clone(), configuration.proposed_in);
            if client.change_voters(change, LEAVE_TIMEOUT).await && !removed.is_empty() {
                info!("store: removed from the voters before shutdown: {}", list_addresses(&removed));
                return;
            }
        }
    }
}

impl Maintenance {
    /// Checks the voters once. Returns how long to wait before the next check; `None` to check again at once.
    async fn check(&mut self) -> Option<Duration> {
        // This machine's own record is as good a hint at the voters as that of any other process.
        self.client.learn(&self.voter.local_state());
        let seeds = self.voter.seeds.borrow().clone();
        let states = self.client.discover_voters(&seeds, DISCOVERY_TIMEOUT).await;
        let configuration = self.client.configuration();
        self.adopt_known_record(&configuration).await;
        let is_storage_failing = self.voter.is_storage_failing.get();
        let is_voter = configuration.voters.contains(&self.this_voter);
        if !is_voter || self.holds(&configuration) {
            self.changes.report(&configuration, &self.this_voter);
        }
        let is_reachable = reachable_in(&states, &self.this_voter);
        self.quorum_loss.report(self.started.elapsed(), &configuration, &seeds, &is_reachable);
        let mut wait = CHECK_INTERVAL;
        let wants_to_join = may_join(&configuration, &self.this_voter, &is_reachable);
        if configuration.voters.is_empty() || configuration.is_changing() || wants_to_join {
            // Random, so that machines that join at the same moment do not collide on every attempt.
            wait = JOIN_RETRY.mul_f64(0.5 + random_u64() as f64 / u64::MAX as f64);
            let can_join = !is_storage_failing && !configuration.voters.is_empty();
            let change = VoterChange::AddVoter(self.this_voter.clone());
            if can_join && self.client.change_voters(change, CHANGE_TIMEOUT).await {
                return None;
            }
        }
        let now = self.started.elapsed();
        match self.liveness.observe(now, &configuration, &self.this_voter, &is_reachable) {
            RemovalDecision::KeepAll => {}
            RemovalDecision::CheckSoon => wait = wait.min(CHECK_SOON_INTERVAL),
            RemovalDecision::Remove(removed) => self.remove(removed, configuration.proposed_in).await,
        }
        Some(wait)
    }

    /// Returns whether the record on this machine's disk has this configuration.
    fn holds(&self, configuration: &VoterConfiguration) -> bool {
        self.voter.state.borrow().acceptor.configuration_proposed_in() == configuration.proposed_in
    }

    /// Stores the newest known record if this machine is not a voter yet, if the configuration has changed, or if its
    /// own record is unchanged since the previous check while others have agreed on a newer one. While writes fail,
    /// each check attempts one.
    async fn adopt_known_record(&mut self, configuration: &VoterConfiguration) {
        let is_voter = configuration.voters.contains(&self.this_voter);
        let holds_configuration = self.holds(configuration);
        let known = self.client.known();
        let accepted = self.voter.accepted();
        let accepted_before = std::mem::replace(&mut self.accepted_before, accepted);
        if known.proposal > accepted && (!is_voter || !holds_configuration || accepted_before == accepted) {
            let _ = self.voter.enqueue(QueuedRequest::Adopt(known)).await;
        } else if self.voter.is_storage_failing.get() {
            let _ = self.voter.enqueue(QueuedRequest::Adopt(KnownRecord::default())).await;
        }
    }

    /// Proposes the removal of these voters, unless the configuration has changed since `based_on`.
    async fn remove(&mut self, removed: Vec<VoterId>, based_on: ProposalNumber) {
        warn!("store: removing unreachable voters: {}", list_addresses(&removed));
        let change = VoterChange::RemoveVoters(removed.clone(), based_on);
        if self.client.change_voters(change, CHANGE_TIMEOUT).await {
            self.liveness.record_removed(&removed);
        }
    }
}

fn list_addresses(voters: &[VoterId]) -> String {
    let addresses: Vec<&str> = voters.iter().map(|voter| voter.address.as_str()).collect();
    addresses.join(", ")
}

/// Returns a function that tells whether a voter is reachable: it is this machine, or has just answered with the same
/// disk id and without failing writes.
fn reachable_in<'a>(
    states: &'a BTreeMap<SocketAddr, LocalState>,
    this_voter: &VoterId,
) -> impl Fn(&VoterId) -> bool + 'a {
    let this_voter = this_voter.clone();
    move |voter| {
        let address = voter.address.parse::<SocketAddr>().ok();
        let state = address.and_then(|address| states.get(&address));
        state.is_some_and(|state| state.disk_id == voter.disk_id && !state.unable) || *voter == this_voter
    }
}
