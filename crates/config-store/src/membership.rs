//! Decides which voters to add and to remove. No I/O; the caller passes the time.
//!
//! A voter is removed only if that raises the number of further losses that the remaining voters tolerate:
//!
//! - One unreachable voter of an even number is removed after [`REMOVE_SPARE_AFTER`]. An odd number has a quorum
//!   whenever the even number could have one, so availability does not suffer even if the unreachable voter is healthy.
//! - Two unreachable voters of an odd number are removed after [`REMOVE_SPARE_AFTER`] if the remaining ones tolerate as
//!   many losses as the platform may cause, otherwise only after [`REMOVE_AFTER`], which is longer than any freeze,
//!   partition or restart.

use crate::messages::{VoterConfiguration, VoterId, MAX_VOTERS};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// A voter that has been unreachable for this long is considered permanently lost.
pub const REMOVE_AFTER: Duration = Duration::from_secs(20);
/// A voter that has been unreachable for this long is removed if the others tolerate as many losses without it.
pub const REMOVE_SPARE_AFTER: Duration = Duration::from_secs(2);
/// The number of consecutive observations that must have missed a voter before [`REMOVE_SPARE_AFTER`] applies.
const MIN_MISSES: u32 = 2;
/// A longer gap between two observations means that this process was paused; earlier observations are then discarded.
const MAX_OBSERVATION_GAP: Duration = Duration::from_secs(6);
/// The number of voters is never reduced below this.
const MIN_VOTERS: usize = 3;

/// Returns how many more voters, whichever they are, may be lost with a quorum left; `None` if there is no quorum now.
pub fn tolerated_losses(
    configuration: &VoterConfiguration,
    is_lost: impl Fn(&VoterId) -> bool,
) -> Option<usize> {
    // A lost machine may be missing from both sets, and all losses may fall into one of the sets.
    let spare = |voters: &[VoterId]| {
        let remaining = voters.iter().filter(|voter| !is_lost(voter)).count();
        remaining.checked_sub(voters.len() / 2 + 1)
    };
    if configuration.is_changing() {
        Some(spare(&configuration.voters)?.min(spare(&configuration.outgoing)?))
    } else {
        spare(&configuration.voters)
    }
}

/// Returns which of the unreachable voters to remove so that the others tolerate more losses: one of an even number, or
/// two of an odd number if the remaining ones would tolerate `min_tolerated` losses with all of them reachable.
pub fn removable_voters(
    configuration: &VoterConfiguration,
    unreachable: &[VoterId],
    min_tolerated: usize,
) -> Vec<VoterId> {
    let voters = configuration.voters.len();
    // Removing a single voter of an odd number does not raise the number of tolerated losses.
    let removed = 1 + voters % 2;
    if configuration.is_changing() || unreachable.len() < removed || voters < MIN_VOTERS + removed {
        return Vec::new();
    }
    if removed == 2 && (voters - removed - 1) / 2 < min_tolerated {
        return Vec::new();
    }
    unreachable[..removed].to_vec()
}

/// Returns which voters to remove when `this_voter` shuts down: itself, and an unreachable one if two must be removed
/// at once. Empty if removing it would not let the others tolerate more losses than leaving it absent.
pub fn removable_on_shutdown(
    configuration: &VoterConfiguration,
    this_voter: &VoterId,
    unreachable: &[VoterId],
    min_tolerated: usize,
) -> Vec<VoterId> {
    if !configuration.voters.contains(this_voter) {
        return Vec::new();
    }
    let others = unreachable.iter().filter(|voter| *voter != this_voter);
    let candidates: Vec<VoterId> = std::iter::once(this_voter).chain(others).cloned().collect();
    removable_voters(configuration, &candidates, min_tolerated)
}

/// Returns whether this machine should ask to become a voter: it is not one yet, and it replaces its own earlier disk,
/// the number of voters is below [`MAX_VOTERS`], or an unreachable voter will be removed to make room.
pub fn may_join(
    configuration: &VoterConfiguration,
    this_voter: &VoterId,
    is_reachable: impl Fn(&VoterId) -> bool,
) -> bool {
    let voters = &configuration.voters;
    let replaces_own_disk = voters.iter().any(|voter| voter.address == this_voter.address);
    let room = MAX_VOTERS + usize::from(!voters.iter().all(is_reachable));
    !voters.contains(this_voter) && (replaces_own_disk || voters.len() < room)
}

/// The decision after an observation of the voters.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RemovalDecision {
    /// All voters stay.
    KeepAll,
    /// All stay for now, but removing unreachable ones would raise the tolerated losses: observe again soon.
    CheckSoon,
    /// Remove these now.
    Remove(Vec<VoterId>),
}

/// The result of the observations of one voter so far.
#[derive(Clone, Copy, Debug)]
struct Liveness {
    /// When it was last reachable, or first observed.
    last_seen: Duration,
    /// The number of consecutive observations that have missed it.
    misses: u32,
}

/// Tracks, on one voter, which other voters are reachable.
#[derive(Debug, Default)]
pub struct LivenessTracker {
    /// The number of machines that the platform may stop at once.
    tolerated_failures: usize,
    last_observation: Option<Duration>,
    voters: BTreeMap<VoterId, Liveness>,
    /// Addresses of voters that were removed and have not been reachable since. If one is a voter again nevertheless,
    /// other machines can reach it, so [`REMOVE_SPARE_AFTER`] does not apply to it.
    recently_removed: BTreeSet<String>,
}

impl LivenessTracker {
    /// Creates a tracker; `tolerated_failures` is the number of machines that may be lost at once.
    pub fn new(tolerated_failures: usize) -> LivenessTracker {
        LivenessTracker { tolerated_failures, ..LivenessTracker::default() }
    }

    /// Records which voters `this_voter` has just reached, and decides which to remove.
    pub fn observe(
        &mut self,
        now: Duration,
        configuration: &VoterConfiguration,
        this_voter: &VoterId,
        is_reachable: impl Fn(&VoterId) -> bool,
    ) -> RemovalDecision {
        let voters = &configuration.voters;
        let in_touch = configuration.quorum(&is_reachable) && voters.contains(this_voter);
        self.update(now, voters, in_touch, &is_reachable);
        // Only the first reachable voter acts. If two act, consensus still makes the change only once.
        let is_first = voters.iter().find(|voter| is_reachable(voter)) == Some(this_voter);
        if !in_touch || configuration.is_changing() || !is_first {
            return RemovalDecision::KeepAll;
        }
        self.decide(now, configuration)
    }

    fn update(
        &mut self,
        now: Duration,
        voters: &[VoterId],
        in_touch: bool,
        is_reachable: &impl Fn(&VoterId) -> bool,
    ) {
        let was_running = self.last_observation.is_some_and(|last| now - last <= MAX_OBSERVATION_GAP);
        self.last_observation = Some(now);
        if !was_running || !in_touch {
            self.voters.clear();
        }
        let before = std::mem::take(&mut self.voters);
        for voter in voters {
            let known = before.get(voter).copied().unwrap_or(Liveness { last_seen: now, misses: 0 });
            let liveness = if is_reachable(voter) || !in_touch {
                Liveness { last_seen: now, misses: 0 }
            } else {
                Liveness { misses: known.misses + 1, ..known }
            };
            self.voters.insert(voter.clone(), liveness);
        }
        let is_back =
            |address: &String| voters.iter().any(|voter| voter.address == *address && is_reachable(voter));
        self.recently_removed.retain(|address| !is_back(address));
    }

    fn decide(&self, now: Duration, configuration: &VoterConfiguration) -> RemovalDecision {
        let select = |applies: &dyn Fn(&VoterId, &Liveness) -> bool| -> Vec<VoterId> {
            let selected = self.voters.iter().filter(|(voter, liveness)| applies(voter, liveness));
            selected.map(|(voter, _)| voter.clone()).collect()
        };
        let was_removed = |voter: &VoterId| self.recently_removed.contains(&voter.address);
        let missed = select(&|voter, liveness| liveness.misses > 0 && !was_removed(voter));
        let spare = select(&|voter, liveness| {
            now - liveness.last_seen >= REMOVE_SPARE_AFTER
                && liveness.misses >= MIN_MISSES
                && !was_removed(voter)
        });
        let gone = select(&|_, liveness| now - liveness.last_seen >= REMOVE_AFTER);
        let removable = [
            removable_voters(configuration, &spare, self.tolerated_failures),
            removable_voters(configuration, &gone, 0),
        ];
        match removable.into_iter().find(|voters| !voters.is_empty()) {
            Some(voters) => RemovalDecision::Remove(voters),
            None if removable_voters(configuration, &missed, self.tolerated_failures).is_empty() => {
                RemovalDecision::KeepAll
            }
            None => RemovalDecision::CheckSoon,
        }
    }

    /// Records that these voters were removed.
    pub fn record_removed(&mut self, removed: &[VoterId]) {
        self.recently_removed.extend(removed.iter().map(|voter| voter.address.clone()));
    }
}
