//! Guards against a tenant exceeding its quota when it sends eight times its usual load while limiters restart, are cut off or
//! are slow. In most such runs, it reached up to 1.03 times what is allowed in five seconds. Overload alone never caused this.
//!
//! Cause: admissions without an answer of the counter's owner were bounded only by the usual time of an answer, and an owner or
//! limiter that had just started took the quota to be unused. Before the fix, the fullest window held these multiples of what
//! is allowed: 1.3 to 1.6 with a silent owner, 1.2 to 1.3 with answers after 0.45 s, 1.01 to 1.04 with many limiters killed
//! twice, and 0.82 without faults.

mod common;

use common::quota_fleet::{simulate, Fault, FaultKind, Outcome, Scenario, Target};

const SEEDS: std::ops::RangeInclusive<u64> = 1..=3;

fn fault(kind: FaultKind, at: u64, duration: u64, target: Target) -> Fault {
    Fault { at, duration, kind, target }
}

fn outcomes(title: &str, faults: &[Fault]) -> Vec<Outcome> {
    SEEDS
        .map(|seed| {
            let outcome = simulate(Scenario::large(seed, faults.to_vec()));
            println!("{title}, seed {seed}: {outcome:?}");
            outcome
        })
        .collect()
}

fn assert_quota_kept(title: &str, faults: &[Fault]) {
    for outcome in outcomes(title, faults) {
        assert!(outcome.fullest_window <= 1.0, "{title}: {outcome:?}");
        assert!(outcome.calm_rejected_share < 0.01, "{title}: {outcome:?}");
    }
}

#[test]
fn overload_without_faults_stays_within_the_quota_and_calm_requests_pass() {
    for outcome in outcomes("no fault", &[]) {
        assert!(outcome.fullest_window <= 1.0 && outcome.admitted_share > 0.85, "{outcome:?}");
        assert!(outcome.calm_rejected_share == 0.0 && outcome.calm_waited_share < 0.02, "{outcome:?}");
    }
}

#[test]
fn an_owner_that_does_not_answer_in_time_does_not_raise_the_quota() {
    for (title, kind, duration) in [
        ("killed for 3.5 s", FaultKind::Kill, 3500),
        ("cut off", FaultKind::Isolate, 6000),
        ("slow to answer by 0.45 s", FaultKind::Slow(450), 8000),
        ("killed and restarted after 0.5 s", FaultKind::Kill, 500),
    ] {
        assert_quota_kept(&format!("the owner is {title}"), &[fault(kind, 5900, duration, Target::Owner)]);
    }
}

#[test]
fn killed_and_restarted_limiters_do_not_give_out_the_quota_again() {
    let killed = |at, share| fault(FaultKind::Kill, at, 500, Target::Share(share));
    assert_quota_kept("30% and then 60% killed", &[killed(7000, 0.3), killed(8500, 0.6)]);
    let owner = fault(FaultKind::Kill, 7000, 3500, Target::Owner);
    assert_quota_kept("the owner and others killed", &[owner, killed(7000, 0.3)]);
}

#[test]
fn rolling_restarts_and_partitions_do_not_raise_the_rate() {
    let rolling = [fault(FaultKind::Restart, 6500, 500, Target::Rolling(4, 500))];
    for outcome in outcomes("rolling restart", &rolling) {
        assert!(
            outcome.fullest_window <= 1.0 && outcome.admitted_share <= 1.05,
            "rolling restart: {outcome:?}"
        );
    }
    assert_quota_kept("30% cut off", &[fault(FaultKind::Isolate, 6500, 6000, Target::Share(0.3))]);
}

#[test]
fn an_owner_isolated_under_peak_load_does_not_give_out_a_second_quota() {
    // Until the owner detects the partition it continues to give out the quota, while the others already use their shares.
    for (limiters, rate, seed, at) in [(85, 40.0, 1, 7000), (13, 83.0, 2, 8000), (9, 172.0, 1, 7000)] {
        let faults = vec![fault(FaultKind::Isolate, at, 6000, Target::Owner)];
        let scenario =
            Scenario { limiters, rate, burst: rate, overload: 10.0, ..Scenario::large(seed, faults) };
        let outcome = simulate(scenario);
        println!("{limiters} limiters, {rate} a second: {outcome:?}");
        assert!(outcome.fullest_window <= 1.0, "{limiters} limiters, {rate} a second: {outcome:?}");
    }
}

#[test]
fn other_tenant_and_fleet_sizes_stay_within_the_quota() {
    let killed = |at| fault(FaultKind::Kill, at, 300, Target::Share(1.0));
    let faults = [
        ("all killed three times", vec![killed(7000), killed(8500), killed(10_000)]),
        ("the owner is cut off", vec![fault(FaultKind::Isolate, 5900, 6000, Target::Owner)]),
        ("the owner answers late", vec![fault(FaultKind::Slow(450), 5000, 8000, Target::Owner)]),
    ];
    let sizes = [
        (85, 104.0, 104.0),
        (85, 104.0, 0.0),
        (85, 30.0, 30.0),
        (85, 8.0, 8.0),
        (20, 475.0, 475.0),
        (9, 172.0, 172.0),
        (9, 23.0, 0.0),
    ];
    for (limiters, rate, burst) in sizes {
        for (title, faults) in &faults {
            let title = format!("{limiters} limiters, {rate} a second, burst {burst}, {title}");
            let outcome = simulate(Scenario { limiters, rate, burst, ..Scenario::large(1, faults.clone()) });
            println!("{title}: {outcome:?}");
            assert!(outcome.fullest_window <= 1.0, "{title}: {outcome:?}");
        }
    }
}
