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
fn borne_by_trying(configuration: &VoterConfiguration, lost: &[VoterId]) -> Option<usize> {
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
fn steps(turn: &VoterChange, configuration: &VoterConfiguration) -> Vec<VoterConfiguration> {
    let joint = turn.next(configuration);
    let after = joint.as_ref().and_then(|joint| turn.next(joint));
    joint.into_iter().chain(after).collect()
}

#[test]
fn what_is_borne_is_what_every_set_of_losses_leaves() {
    for voters in 3..=5 {
        let configuration = configuration(voters);
        for lost in losses(&configuration) {
            assert_eq!(
                tolerated_losses(&configuration, |m| lost.contains(m)),
                borne_by_trying(&configuration, &lost),
                "{lost:?}"
            );
            for turn in [VoterChange::AddVoter(voter(voters, 7)), VoterChange::AddVoter(voter(0, 7))] {
                for step in steps(&turn, &configuration) {
                    let tried = borne_by_trying(&step, &lost);
                    assert_eq!(
                        tolerated_losses(&step, |m| lost.contains(m)),
                        tried,
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
fn no_step_of_a_change_lowers_what_is_borne() {
    let (mut walked, mut raised) = (0, 0);
    for voters in 3..=9 {
        for tolerated_failures in 1..=(voters - 1) / 2 {
            let configuration = configuration(voters);
            for lost in losses(&configuration) {
                let there = |m: &VoterId| !lost.contains(m);
                let before = tolerated_losses(&configuration, |m| !there(m)).unwrap();
                let mut turns = Vec::new();
                // An additional machine, and one that lost its disk; each is reachable, as its own promise is needed.
                let joins = voter(voters, 7);
                if may_join(&configuration, &joins, there) {
                    turns.push(VoterChange::AddVoter(joins));
                }
                turns.extend(
                    lost.iter().map(|old| VoterChange::AddVoter(VoterId { disk_id: 7, ..old.clone() })),
                );
                // Removal of lost voters, and of one that shuts down.
                turns.push(VoterChange::RemoveVoters(
                    removable_voters(&configuration, &lost, tolerated_failures),
                    configuration.proposed_in,
                ));
                for this_voter in configuration.voters.iter().filter(|m| there(m)) {
                    let gone = removable_on_shutdown(&configuration, this_voter, &lost, tolerated_failures);
                    if gone.is_empty() {
                        continue;
                    }
                    // Removing it must leave more tolerated losses than keeping it as an absent voter.
                    let state = tolerated_losses(&configuration, |m| !there(m) || m == this_voter);
                    let steps = steps(
                        &VoterChange::RemoveVoters(gone.clone(), configuration.proposed_in),
                        &configuration,
                    );
                    let left = tolerated_losses(&steps[1], |m| !there(m));
                    assert!(
                        left > state,
                        "{this_voter:?} of {configuration:?}: tolerates {left:?} removed, {state:?} absent"
                    );
                    turns.push(VoterChange::RemoveVoters(gone, configuration.proposed_in));
                }
                for turn in turns {
                    let leaves =
                        matches!(&turn, VoterChange::RemoveVoters(gone, _) if gone.iter().any(there));
                    for step in steps(&turn, &configuration) {
                        let after = tolerated_losses(&step, |m| !there(m));
                        assert!(
                            after >= Some(before),
                            "{turn:?}, {step:?}: tolerates {after:?} after {before}, lost {lost:?}"
                        );
                        let nominal = tolerated_losses(&step, |_| false).unwrap();
                        assert!(
                            nominal >= tolerated_failures,
                            "{turn:?}, {step:?}: tolerates {nominal}, must tolerate {tolerated_failures}"
                        );
                        walked += 1;
                        raised += usize::from(!leaves && !step.is_changing() && after > Some(before));
                    }
                }
            }
        }
    }
    println!("{walked} steps, {raised} changes that raise the tolerated losses");
    assert!(walked > 10_000 && raised > 1000);
}

/// Without any one voter of an even number, the remaining odd number has a quorum whenever the even number had one. So one
/// voter of an even number may be removed even if it is healthy.
#[test]
fn one_less_of_an_even_number_decides_whenever_the_even_number_could() {
    for voters in [4, 6, 8] {
        let configuration = configuration(voters);
        for gone in &configuration.voters {
            let turn = VoterChange::RemoveVoters(vec![gone.clone()], configuration.proposed_in);
            let after = steps(&turn, &configuration).pop().unwrap();
            for lost in losses(&configuration) {
                assert!(after.quorum(|m| !lost.contains(m)), "no quorum without {gone:?}, lost {lost:?}");
            }
        }
    }
}

/// If a joining machine counted as reachable without a durable promise, adding it could lower the number of tolerated
/// losses. This is why a promise of the joining machine is required.
#[test]
fn a_joiner_that_cannot_write_would_lower_what_is_borne() {
    let joins = voter(3, 7);
    let after = steps(&VoterChange::AddVoter(joins.clone()), &configuration(3)).pop().unwrap();
    assert_eq!(tolerated_losses(&configuration(3), |_| false), Some(1));
    assert_eq!(tolerated_losses(&after, |m| *m == joins), Some(0));
}

/// Returns which voters the first of `voters` voters removes and after how many seconds, if those in `silent` are
/// unreachable from the start and an observation is made every two seconds.
fn gone(voters: usize, tolerated_failures: usize, silent: &[&str]) -> Option<(u64, Vec<String>)> {
    let configuration = configuration(voters);
    let mut watch = LivenessTracker::new(tolerated_failures);
    let is_reachable = |voter: &VoterId| !silent.contains(&&voter.address[..]);
    for second in (0..=100).step_by(2) {
        let looked = watch.observe(
            Duration::from_secs(second),
            &configuration,
            &configuration.voters[0],
            is_reachable,
        );
        if let RemovalDecision::Remove(gone) = looked {
            return Some((second, gone.into_iter().map(|voter| voter.address).collect()));
        }
    }
    None
}

#[test]
fn the_silent_go_only_where_that_helps_and_soon_only_where_it_costs_nothing() {
    let addresses = |addresses: &[&str]| addresses.iter().map(|name| (*name).to_owned()).collect::<Vec<_>>();
    assert_eq!(gone(4, 1, &["2"]), Some((2, addresses(&["2"]))));
    assert_eq!(gone(6, 2, &["2", "4"]), Some((2, addresses(&["2"]))));
    // Removing one of five does not raise the tolerated losses. Two unreachable voters of five are removed late if two
    // losses must be tolerated, because they may come back; early if only one loss must be tolerated.
    assert_eq!(gone(5, 2, &["2"]), None);
    assert_eq!(gone(5, 2, &["2", "4"]), Some((20, addresses(&["2", "4"]))));
    assert_eq!(gone(5, 1, &["2", "4"]), Some((2, addresses(&["2", "4"]))));
    assert_eq!(gone(7, 2, &["2", "4"]), Some((2, addresses(&["2", "4"]))));
    // The number of voters is not reduced below three.
    assert_eq!(gone(3, 1, &["2"]), None);
    // Without a majority an observer cannot tell which side is partitioned.
    assert_eq!(gone(4, 1, &["2", "3"]), None);
}

#[test]
fn one_look_that_misses_is_no_silence_and_who_was_let_go_is_not_let_go_as_soon_again() {
    let configuration = configuration(4);
    let this_voter = &configuration.voters[0];
    let misses = |voter: &VoterId| voter.address != "2";
    let mut watch = LivenessTracker::new(1);
    let mut look = |ms: u64, is_reachable: &dyn Fn(&VoterId) -> bool| {
        let looked = watch.observe(Duration::from_millis(ms), &configuration, this_voter, is_reachable);
        if let RemovalDecision::Remove(gone) = &looked {
            // The first removal fails.
            if ms > 5400 {
                watch.record_removed(gone);
            }
        }
        looked
    };
    let these = || RemovalDecision::Remove(vec![voter(2, 0)]);
    assert_eq!(look(0, &|_| true), RemovalDecision::KeepAll);
    assert_eq!(look(2400, &misses), RemovalDecision::CheckSoon);
    assert_eq!(look(2900, &|_| true), RemovalDecision::KeepAll);
    assert_eq!(look(4900, &misses), RemovalDecision::CheckSoon);
    assert_eq!([look(5400, &misses), look(5900, &misses)], [these(), these()]);
    // The voter was added again but is unreachable from here, so the others seem to reach it: it is removed late.
    for ms in (6000..22_900).step_by(2000) {
        assert_eq!(look(ms, &misses), RemovalDecision::KeepAll, "{ms}");
    }
    assert_eq!(look(22_900, &misses), these());
    // Once it has been reachable, the short delay applies again.
    assert_eq!(
        [look(23_000, &|_| true), look(24_500, &misses)],
        [RemovalDecision::KeepAll, RemovalDecision::CheckSoon]
    );
    assert_eq!(look(25_000, &misses), these());
}

#[test]
fn who_slept_or_was_cut_off_has_not_heard_a_silence() {
    let configuration = configuration(4);
    let this_voter = &configuration.voters[0];
    let misses = |voter: &VoterId| voter.address != "2";
    let mut watch = LivenessTracker::new(1);
    for second in [0, 8, 16, 30] {
        let looked = watch.observe(Duration::from_secs(second), &configuration, this_voter, misses);
        assert_eq!(
            looked,
            RemovalDecision::CheckSoon,
            "a paused process must not count earlier observations, at {second} s"
        );
    }
    // One observation without a quorum discards the earlier ones.
    assert_eq!(
        watch.observe(Duration::from_secs(31), &configuration, this_voter, |voter| voter == this_voter),
        RemovalDecision::KeepAll
    );
    assert_eq!(
        watch.observe(Duration::from_secs(32), &configuration, this_voter, misses),
        RemovalDecision::CheckSoon
    );
    // A voter acts only if it is the first reachable one.
    assert_eq!(
        watch.observe(Duration::from_secs(33), &configuration, &configuration.voters[1], misses),
        RemovalDecision::KeepAll
    );
    assert_eq!(
        watch.observe(Duration::from_secs(34), &configuration, this_voter, misses),
        RemovalDecision::Remove(vec![voter(2, 0)])
    );
    // Five voters, of which two may be lost: unreachable ones are removed only after the long delay, which starts anew
    // after a pause or a loss of the quorum.
    let five = VoterConfiguration::founders(&(0..5).map(|voter| voter.to_string()).collect::<Vec<_>>());
    let this_voter = &five.voters[0];
    let misses = |voter: &VoterId| !["2", "3"].contains(&&voter.address[..]);
    let mut watch = LivenessTracker::new(2);
    for second in [0, 2, 4, 30, 32] {
        assert_eq!(
            watch.observe(Duration::from_secs(second), &five, this_voter, misses),
            RemovalDecision::KeepAll
        );
    }
    watch.observe(Duration::from_secs(34), &five, this_voter, |voter| voter == this_voter);
    for second in (36..54).step_by(2) {
        assert_eq!(
            watch.observe(Duration::from_secs(second), &five, this_voter, misses),
            RemovalDecision::KeepAll,
            "{second}"
        );
    }
    assert_eq!(
        watch.observe(Duration::from_secs(54), &five, &five.voters[1], misses),
        RemovalDecision::KeepAll
    );
    let both = vec![voter(2, 0), voter(3, 0)];
    assert_eq!(
        watch.observe(Duration::from_secs(56), &five, this_voter, misses),
        RemovalDecision::Remove(both)
    );
}

#[test]
fn whoever_ends_in_order_stays_a_voter_where_its_place_is_worth_more() {
    let goes = |voters: usize, absent: &[usize], tolerated_failures| {
        let configuration = configuration(voters);
        let absent: Vec<VoterId> = absent.iter().map(|nth| configuration.voters[*nth].clone()).collect();
        removable_on_shutdown(&configuration, &configuration.voters[0], &absent, tolerated_failures)
            .iter()
            .map(|m| m.address.clone())
            .collect::<String>()
    };
    assert_eq!([goes(3, &[], 1), goes(5, &[], 2), goes(5, &[], 1)], ["", "", ""]);
    assert_eq!([goes(4, &[], 1), goes(6, &[], 2)], ["0", "0"]);
    // One voter is absent already when another shuts down.
    assert_eq!([goes(7, &[3], 2), goes(5, &[3], 2), goes(5, &[3], 1)], ["03", "", "03"]);
    // No removal if the machine is not a voter, or while a change is in progress.
    assert_eq!(removable_on_shutdown(&configuration(4), &voter(9, 1), &[], 1), []);
    let changing = VoterChange::AddVoter(voter(4, 7)).next(&configuration(4)).unwrap();
    assert_eq!(removable_on_shutdown(&changing, &voter(0, 0), &[], 1), []);
}

#[test]
fn one_more_than_most_comes_only_for_one_that_is_silent() {
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
