//! Which voters to add and to remove. No I/O; the time is handed in.
//!
//! A voter is removed only where that raises the number of the remaining ones that may still be lost:
//!
//! - One unreachable voter of an even number is removed after [`REMOVE_SPARE_AFTER`]. An odd number has a quorum
//!   whenever the even number could have one, so this costs nothing even if the unreachable voter is healthy.
//! - Two unreachable voters of an odd number are removed that soon if the remaining ones tolerate as many losses as
//!   the platform may cause, otherwise only after [`REMOVE_AFTER`], which no freeze, partition or restart lasts.

use crate::messages::{VoterConfiguration, VoterId, MAX_VOTERS};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// A voter that has been unreachable for this long is gone for good.
pub const REMOVE_AFTER: Duration = Duration::from_secs(20);
/// A voter that has been unreachable for this long is removed where the others tolerate as many losses without it.
pub const REMOVE_SPARE_AFTER: Duration = Duration::from_secs(2);
/// So many observations in a row must have missed a voter before [`REMOVE_SPARE_AFTER`] applies.
const MIN_MISSES: u32 = 2;
/// After a longer gap between two observations this process was paused, and earlier observations say nothing.
const MAX_OBSERVATION_GAP: Duration = Duration::from_secs(6);
/// The number of voters is never reduced below this.
const MIN_VOTERS: usize = 3;

/// How many more voters may be lost, whichever they are, with a quorum left; `None` if there is no quorum now.
pub fn tolerated_losses(
    configuration: &VoterConfiguration,
    is_lost: impl Fn(&VoterId) -> bool,
) -> Option<usize> {
    // A lost machine is one voter less in each set, and the losses may all fall into one of the sets.
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

/// Which of the unreachable voters to remove so that the others tolerate more losses: one of an even number, or two of
/// an odd number if the remaining ones would tolerate `min_tolerated` losses with all of them reachable.
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

/// Which voters to remove when `this_voter` shuts down: itself, with an unreachable one where it takes two. Empty if the
/// others tolerate no more losses without it than with its place kept.
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

/// Whether this machine should ask to become a voter: it is none, and there is room, or an unreachable voter will be
/// removed to make room.
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

/// What an observation of the voters leads to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RemovalDecision {
    /// All voters stay.
    KeepAll,
    /// All stay for now, but removing some that are unreachable would help: observe again soon.
    CheckSoon,
    /// Remove these now.
    Remove(Vec<VoterId>),
}

/// What the observations so far say of one voter.
#[derive(Clone, Copy, Debug)]
struct Liveness {
    /// When it was last reachable, or first observed.
    last_seen: Duration,
    /// How many observations in a row have missed it.
    misses: u32,
}

/// One voter's record of which others are reachable.
#[derive(Debug, Default)]
pub struct LivenessTracker {
    /// How many machines the platform may take away at once.
    tolerated_failures: usize,
    last_observation: Option<Duration>,
    voters: BTreeMap<VoterId, Liveness>,
    /// Addresses of voters that were removed and have not been reachable since. One that votes again all the same is
    /// reachable for others, and not removed as soon again.
    recently_removed: BTreeSet<String>,
}

impl LivenessTracker {
    /// A tracker where so many machines may be lost at once.
    pub fn new(tolerated_failures: usize) -> LivenessTracker {
        LivenessTracker { tolerated_failures, ..LivenessTracker::default() }
    }

    /// Takes in which voters `this_voter` has just reached, and decides which to remove.
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
        // Only the first reachable voter acts. Changes are agreed on, so two that acted would do no harm.
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

    /// These voters were removed.
    pub fn record_removed(&mut self, removed: &[VoterId]) {
        self.recently_removed.extend(removed.iter().map(|voter| voter.address.clone()));
    }
}
