//! Losses that a configuration tolerates at each step of each voter change, and the rules for removing voters.

use oatbank_config_store::membership::{
    may_join, removable_on_shutdown, removable_voters, tolerated_losses, LivenessTracker, RemovalDecision,
};
use oatbank_config_store::messages::{ProposalNumber, VoterConfiguration, VoterId, MAX_VOTERS};
use oatbank_config_store::proposer::VoterChange;
use std::time::Duration;

fn configuration(voters: usize) -> VoterConfiguration {
    VoterConfiguration::founders(&(0..voters).map(|voter| voter.to_string()).collect::<Vec<_>>())
}

fn voter(number: usize, disk_id: u64) -> VoterId {
    VoterId { address: number.to_string(), disk_id }
}

/// Returns each set of voters whose loss leaves a quorum.
fn losses(configuration: &VoterConfiguration) -> impl Iterator<Item = Vec<VoterId>> + '_ {
    let of = |bits: usize| -> Vec<VoterId> {
        let bit = |(nth, _): &(usize, &VoterId)| bits >> nth & 1 == 1;
        configuration.voters.iter().enumerate().filter(bit).map(|(_, voter)| voter.clone()).collect()
    };
    (0..1usize << configuration.voters.len())
        .map(of)
        .filter(|lost| configuration.quorum(|voter| !lost.contains(voter)))
}

/// Computes [`tolerated_losses`] by brute force, over every set of further losses.
fn brute_force_tolerated_losses(configuration: &VoterConfiguration, lost: &[VoterId]) -> Option<usize> {
    let mut all = configuration.voters.clone();
    all.extend(configuration.outgoing.iter().filter(|voter| !configuration.voters.contains(voter)).cloned());
    let quorum = |bits: usize| {
        configuration.quorum(|voter| {
            let nth = all.iter().position(|other| other == voter).unwrap();
            !lost.contains(voter) && bits >> nth & 1 == 0
        })
    };
    let holds =
        |most: usize| (0..1usize << all.len()).filter(|b| b.count_ones() as usize <= most).all(quorum);
    (0..=all.len()).take_while(|most| holds(*most)).last()
}

/// Returns the joint configuration of a change and the final one after it, as far as the change applies.
fn steps(change: &VoterChange, configuration: &VoterConfiguration) -> Vec<VoterConfiguration> {
    let joint = change.next(configuration);
    let after = joint.as_ref().and_then(|joint| change.next(joint));
    joint.into_iter().chain(after).collect()
}

#[test]
fn tolerated_losses_match_a_brute_force_computation() {
    for voters in 3..=5 {
        let configuration = configuration(voters);
        for lost in losses(&configuration) {
            assert_eq!(
                tolerated_losses(&configuration, |m| lost.contains(m)),
                brute_force_tolerated_losses(&configuration, &lost),
                "{lost:?}"
            );
            for change in [VoterChange::AddVoter(voter(voters, 7)), VoterChange::AddVoter(voter(0, 7))] {
                for step in steps(&change, &configuration) {
                    let expected = brute_force_tolerated_losses(&step, &lost);
                    assert_eq!(
                        tolerated_losses(&step, |m| lost.contains(m)),
                        expected,
                        "{step:?} without {lost:?}"
                    );
                }
            }
        }
    }
    let nominal: Vec<_> = (1..=9).map(|voters| tolerated_losses(&configuration(voters), |_| false)).collect();
    assert_eq!(nominal, [0, 0, 1, 1, 2, 2, 3, 3, 4].map(Some));
    assert_eq!(tolerated_losses(&configuration(4), |m| ["0", "1"].contains(&&m.address[..])), None);
}

/// For 3 to 9 voters, with every set of them lost that leaves a quorum: no step of any change that the program makes
/// lowers the number of tolerated losses. With all voters reachable, each step tolerates as many losses as the platform
/// may cause.
#[test]
fn no_step_of_a_change_lowers_the_tolerated_losses() {
    let (mut checked_steps, mut raised) = (0, 0);
    for voters in 3..=9 {
        for tolerated_failures in 1..=(voters - 1) / 2 {
            let configuration = configuration(voters);
            for lost in losses(&configuration) {
                let is_reachable = |m: &VoterId| !lost.contains(m);
                let before = tolerated_losses(&configuration, |m| !is_reachable(m)).unwrap();
                let mut changes = Vec::new();
                // An additional machine, and one that lost its disk; each is reachable, as its own promise is needed.
                let joining = voter(voters, 7);
                if may_join(&configuration, &joining, is_reachable) {
                    changes.push(VoterChange::AddVoter(joining));
                }
                changes.extend(
                    lost.iter().map(|old| VoterChange::AddVoter(VoterId { disk_id: 7, ..old.clone() })),
                );
                // Removal of lost voters, and of one that shuts down.
                changes.push(VoterChange::RemoveVoters(
                    removable_voters(&configuration, &lost, tolerated_failures),
                    configuration.proposed_in,
                ));
                for this_voter in configuration.voters.iter().filter(|m| is_reachable(m)) {
                    let removed =
                        removable_on_shutdown(&configuration, this_voter, &lost, tolerated_failures);
                    if removed.is_empty() {
                        continue;
                    }
                    // Removing it must leave more tolerated losses than keeping it as an absent voter.
                    let if_absent = tolerated_losses(&configuration, |m| !is_reachable(m) || m == this_voter);
                    let steps = steps(
                        &VoterChange::RemoveVoters(removed.clone(), configuration.proposed_in),
                        &configuration,
                    );
                    let if_removed = tolerated_losses(&steps[1], |m| !is_reachable(m));
                    assert!(
                        if_removed > if_absent,
                        "{this_voter:?} of {configuration:?}: tolerates {if_removed:?} removed, {if_absent:?} absent"
                    );
                    changes.push(VoterChange::RemoveVoters(removed, configuration.proposed_in));
                }
                for change in changes {
                    let removes_reachable = matches!(
                        &change,
                        VoterChange::RemoveVoters(removed, _) if removed.iter().any(is_reachable)
                    );
                    for step in steps(&change, &configuration) {
                        let after = tolerated_losses(&step, |m| !is_reachable(m));
                        assert!(
                            after >= Some(before),
                            "{change:?}, {step:?}: tolerates {after:?} after {before}, lost {lost:?}"
                        );
                        let nominal = tolerated_losses(&step, |_| false).unwrap();
                        assert!(
                            nominal >= tolerated_failures,
                            "{change:?}, {step:?}: tolerates {nominal}, must tolerate {tolerated_failures}"
                        );
                        checked_steps += 1;
                        raised +=
                            usize::from(!removes_reachable && !step.is_changing() && after > Some(before));
                    }
                }
            }
        }
    }
    println!("{checked_steps} steps, {raised} changes that raise the tolerated losses");
    assert!(checked_steps > 10_000 && raised > 1000);
}

/// Without any one voter of an even number, the remaining odd number has a quorum whenever the even number had one.
/// So one voter of an even number may be removed even if it is healthy.
#[test]
fn removing_one_of_an_even_number_never_loses_a_quorum() {
    for voters in [4, 6, 8] {
        let configuration = configuration(voters);
        for removed in &configuration.voters {
            let change = VoterChange::RemoveVoters(vec![removed.clone()], configuration.proposed_in);
            let after = steps(&change, &configuration).pop().unwrap();
            for lost in losses(&configuration) {
                assert!(after.quorum(|m| !lost.contains(m)), "no quorum without {removed:?}, lost {lost:?}");
            }
        }
    }
}

/// If a joining machine counted as reachable without a durable promise, adding it could lower the number of tolerated
/// losses. This is why a promise of the joining machine is required.
#[test]
fn adding_a_voter_that_cannot_write_would_lower_the_tolerated_losses() {
    let joining = voter(3, 7);
    let after = steps(&VoterChange::AddVoter(joining.clone()), &configuration(3)).pop().unwrap();
    assert_eq!(tolerated_losses(&configuration(3), |_| false), Some(1));
    assert_eq!(tolerated_losses(&after, |m| *m == joining), Some(0));
}

/// Returns which voters the first of `voters` voters removes and after how many seconds, if those in `silent` are
/// unreachable from the start and an observation is made every two seconds.
fn first_removal(voters: usize, tolerated_failures: usize, silent: &[&str]) -> Option<(u64, Vec<String>)> {
    let configuration = configuration(voters);
    let mut tracker = LivenessTracker::new(tolerated_failures);
    let is_reachable = |voter: &VoterId| !silent.contains(&&voter.address[..]);
    for second in (0..=100).step_by(2) {
        let decision = tracker.observe(
            Duration::from_secs(second),
            &configuration,
            &configuration.voters[0],
            is_reachable,
        );
        if let RemovalDecision::Remove(removed) = decision {
            return Some((second, removed.into_iter().map(|voter| voter.address).collect()));
        }
    }
    None
}

#[test]
fn unreachable_voters_are_removed_only_if_that_helps_and_early_only_if_that_costs_nothing() {
    let addresses = |addresses: &[&str]| addresses.iter().map(|name| (*name).to_owned()).collect::<Vec<_>>();
    assert_eq!(first_removal(4, 1, &["2"]), Some((2, addresses(&["2"]))));
    assert_eq!(first_removal(6, 2, &["2", "4"]), Some((2, addresses(&["2"]))));
    // Removing one of five does not raise the tolerated losses. Two unreachable voters of five are removed late if two
    // losses must be tolerated, because they may come back; early if only one loss must be tolerated.
    assert_eq!(first_removal(5, 2, &["2"]), None);
    assert_eq!(first_removal(5, 2, &["2", "4"]), Some((20, addresses(&["2", "4"]))));
    assert_eq!(first_removal(5, 1, &["2", "4"]), Some((2, addresses(&["2", "4"]))));
    assert_eq!(first_removal(7, 2, &["2", "4"]), Some((2, addresses(&["2", "4"]))));
    // The number of voters is not reduced below three.
    assert_eq!(first_removal(3, 1, &["2"]), None);
    // Without a majority an observer cannot tell which side is partitioned.
    assert_eq!(first_removal(4, 1, &["2", "3"]), None);
}

#[test]
fn a_single_miss_removes_no_voter_and_a_removed_voter_is_not_removed_early_again() {
    let configuration = configuration(4);
    let this_voter = &configuration.voters[0];
    let is_reachable = |voter: &VoterId| voter.address != "2";
    let mut tracker = LivenessTracker::new(1);
    let mut observe = |ms: u64, is_reachable: &dyn Fn(&VoterId) -> bool| {
        let decision = tracker.observe(Duration::from_millis(ms), &configuration, this_voter, is_reachable);
        if let RemovalDecision::Remove(removed) = &decision {
            // The first removal fails.
            if ms > 5400 {
                tracker.record_removed(removed);
            }
        }
        decision
    };
    let removal = || RemovalDecision::Remove(vec![voter(2, 0)]);
    assert_eq!(observe(0, &|_| true), RemovalDecision::KeepAll);
    assert_eq!(observe(2400, &is_reachable), RemovalDecision::CheckSoon);
    assert_eq!(observe(2900, &|_| true), RemovalDecision::KeepAll);
    assert_eq!(observe(4900, &is_reachable), RemovalDecision::CheckSoon);
    assert_eq!([observe(5400, &is_reachable), observe(5900, &is_reachable)], [removal(), removal()]);
    // The voter was added again but is unreachable from here, so the others seem to reach it: it is removed late.
    for ms in (6000..22_900).step_by(2000) {
        assert_eq!(observe(ms, &is_reachable), RemovalDecision::KeepAll, "{ms}");
    }
    assert_eq!(observe(22_900, &is_reachable), removal());
    // Once it has been reachable, the short delay applies again.
    assert_eq!(
        [observe(23_000, &|_| true), observe(24_500, &is_reachable)],
        [RemovalDecision::KeepAll, RemovalDecision::CheckSoon]
    );
    assert_eq!(observe(25_000, &is_reachable), removal());
}

#[test]
fn a_pause_or_a_lost_quorum_discards_earlier_observations() {
    let configuration = configuration(4);
    let this_voter = &configuration.voters[0];
    let is_reachable = |voter: &VoterId| voter.address != "2";
    let mut tracker = LivenessTracker::new(1);
    for second in [0, 8, 16, 30] {
        let decision = tracker.observe(Duration::from_secs(second), &configuration, this_voter, is_reachable);
        assert_eq!(
            decision,
            RemovalDecision::CheckSoon,
            "a paused process must not count earlier observations, at {second} s"
        );
    }
    // One observation without a quorum discards the earlier ones.
    assert_eq!(
        tracker.observe(Duration::from_secs(31), &configuration, this_voter, |voter| voter == this_voter),
        RemovalDecision::KeepAll
    );
    assert_eq!(
        tracker.observe(Duration::from_secs(32), &configuration, this_voter, is_reachable),
        RemovalDecision::CheckSoon
    );
    // A voter acts only if it is the first reachable one.
    assert_eq!(
        tracker.observe(Duration::from_secs(33), &configuration, &configuration.voters[1], is_reachable),
        RemovalDecision::KeepAll
    );
    assert_eq!(
        tracker.observe(Duration::from_secs(34), &configuration, this_voter, is_reachable),
        RemovalDecision::Remove(vec![voter(2, 0)])
    );
    // Five voters, of which two may be lost: unreachable ones are removed only after the long delay, which starts anew
    // after a pause or a loss of the quorum.
    let five = VoterConfiguration::founders(&(0..5).map(|voter| voter.to_string()).collect::<Vec<_>>());
    let this_voter = &five.voters[0];
    let is_reachable = |voter: &VoterId| !["2", "3"].contains(&&voter.address[..]);
    let mut tracker = LivenessTracker::new(2);
    for second in [0, 2, 4, 30, 32] {
        assert_eq!(
            tracker.observe(Duration::from_secs(second), &five, this_voter, is_reachable),
            RemovalDecision::KeepAll
        );
    }
    tracker.observe(Duration::from_secs(34), &five, this_voter, |voter| voter == this_voter);
    for second in (36..54).step_by(2) {
        assert_eq!(
            tracker.observe(Duration::from_secs(second), &five, this_voter, is_reachable),
            RemovalDecision::KeepAll,
            "{second}"
        );
    }
    assert_eq!(
        tracker.observe(Duration::from_secs(54), &five, &five.voters[1], is_reachable),
        RemovalDecision::KeepAll
    );
    let both = vec![voter(2, 0), voter(3, 0)];
    assert_eq!(
        tracker.observe(Duration::from_secs(56), &five, this_voter, is_reachable),
        RemovalDecision::Remove(both)
    );
}

#[test]
fn a_voter_that_shuts_down_leaves_only_if_that_raises_the_tolerated_losses() {
    let removed_on_shutdown = |voters: usize, absent: &[usize], tolerated_failures| {
        let configuration = configuration(voters);
        let absent: Vec<VoterId> = absent.iter().map(|nth| configuration.voters[*nth].clone()).collect();
        removable_on_shutdown(&configuration, &configuration.voters[0], &absent, tolerated_failures)
            .iter()
            .map(|m| m.address.clone())
            .collect::<String>()
    };
    assert_eq!(
        [removed_on_shutdown(3, &[], 1), removed_on_shutdown(5, &[], 2), removed_on_shutdown(5, &[], 1)],
        ["", "", ""]
    );
    assert_eq!([removed_on_shutdown(4, &[], 1), removed_on_shutdown(6, &[], 2)], ["0", "0"]);
    // One voter is absent already when another shuts down.
    assert_eq!(
        [removed_on_shutdown(7, &[3], 2), removed_on_shutdown(5, &[3], 2), removed_on_shutdown(5, &[3], 1)],
        ["03", "", "03"]
    );
    // No removal if the machine is not a voter, or while a change is in progress.
    assert_eq!(removable_on_shutdown(&configuration(4), &voter(9, 1), &[], 1), []);
    let changing = VoterChange::AddVoter(voter(4, 7)).next(&configuration(4)).unwrap();
    assert_eq!(removable_on_shutdown(&changing, &voter(0, 0), &[], 1), []);
}

#[test]
fn a_voter_above_the_maximum_joins_only_if_another_is_unreachable() {
    let full = configuration(MAX_VOTERS);
    let spare = voter(MAX_VOTERS, 7);
    assert!(!may_join(&full, &spare, |_| true));
    assert!(may_join(&full, &spare, |m| m.address != "4"));
    assert!(may_join(&full, &voter(3, 7), |_| true), "a replaced disk does not need an additional place");
    let joined = steps(&VoterChange::AddVoter(spare.clone()), &full).pop().unwrap();
    assert_eq!(removable_voters(&joined, &[voter(4, 0)], 4), [voter(4, 0)]);
    assert!(
        !may_join(&joined, &voter(MAX_VOTERS + 1, 7), |m| m.address != "4"),
        "only one voter above the maximum"
    );
    let made = ProposalNumber::default();
    assert_eq!(VoterChange::RemoveVoters(vec![], made).next(&full), None);
}
