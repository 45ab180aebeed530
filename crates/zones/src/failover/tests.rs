//! Tests of the parent module.

use super::*;

const GOOD: Observation = Observation {
    failing: false,
    attempts: 100.0,
    bad: 0.0,
    baseline: 0.02,
    required_share: 0.0,
    cold_limit: 1.0,
    others_healthy: true,
};
const BAD: Observation = Observation { failing: true, bad: 30.0, ..GOOD };

/// Runs a failover in steps of 250 ms and returns each change of the share with its time.
fn run(
    failover: &mut ZoneFailover,
    from: Millis,
    to: Millis,
    observation: impl Fn(Millis, f64) -> Observation,
) -> Vec<(Millis, f64)> {
    let mut shares = Vec::new();
    for now in (from..to).step_by(250) {
        if failover.update(now, &observation(now, failover.share())) {
            shares.push((now, failover.share()));
        }
    }
    shares
}

#[test]
fn a_failing_zone_is_left_at_once_held_out_and_returned_in_steps() {
    let mut failover = ZoneFailover::new(24, 1);
    let shares = run(&mut failover, 0, 60_000, |now, share| match now {
        0..1000 => GOOD,
        _ if share == 1.0 && now < 4000 => BAD,
        _ => GOOD,
    });
    assert_eq!(shares[0], (1000, 0.0));
    let back: Vec<f64> = shares[1..].iter().map(|s| s.1).collect();
    assert_eq!(back.len(), 6, "{shares:?}");
    assert!((back[0] - 1.0 / 24.0).abs() < 1e-9 && back[5] == 1.0, "{back:?}");
    assert!(shares[1].0 >= 1000 + MIN_HOLD_MS * 4 / 5, "{shares:?}");
    assert!(shares[1..].windows(2).all(|w| w[1].0 - w[0].0 >= RETURN_STEP_MS), "{shares:?}");
    assert_eq!(failover.phase(), Phase::Used);
}

#[test]
fn a_zone_that_keeps_failing_is_retried_with_growing_intervals() {
    let mut failover = ZoneFailover::new(6, 2);
    let shares = run(&mut failover, 0, 900_000, |_, share| if share > 0.0 { BAD } else { GOOD });
    let tried: Vec<Millis> = shares.iter().filter(|s| s.1 > 0.0).map(|s| s.0).collect();
    let gaps: Vec<Millis> = tried.windows(2).map(|w| w[1] - w[0]).collect();
    assert!(gaps.windows(2).take(5).all(|w| w[1] > w[0]), "{gaps:?}");
    assert!(gaps.iter().all(|gap| *gap <= MAX_HOLD_MS * 6 / 5 + 1000), "{gaps:?}");
}

#[test]
fn two_failures_of_three_attempts_are_significant_and_five_of_a_hundred_are_not() {
    let observation = |attempts: f64, bad: f64| Observation { attempts, bad, ..GOOD };
    assert!(exceeds_tolerance(&observation(3.0, 2.0)) && exceeds_tolerance(&observation(100.0, 15.0)));
    assert!(!exceeds_tolerance(&observation(1.0, 1.0)) && !exceeds_tolerance(&observation(100.0, 5.0)));
}

#[test]
fn a_failed_step_is_reverted_and_the_next_one_waits_longer() {
    let mut failover = ZoneFailover::new(4, 3).resume(0, 0.5, ReductionCause::Evidence);
    let broken = Observation { failing: false, bad: 30.0, ..GOOD };
    assert!(failover.update(2000, &broken) && failover.share() == 0.25);
    assert!(!failover.update(4250, &GOOD), "the wait is longer than after a successful step");
    assert!(failover.update(2000 + MIN_HOLD_MS * 6 / 5 + RETURN_STEP_MS, &GOOD) && failover.share() == 0.5);
}

#[test]
fn load_beyond_the_others_capacity_stays_and_more_moves_only_while_they_are_healthy() {
    let mut failover = ZoneFailover::new(6, 4);
    let some = Observation { required_share: 0.4, ..BAD };
    assert!(failover.update(0, &some) && failover.share() == 0.4);
    assert!(!failover.update(2000, &Observation { required_share: 0.1, others_healthy: false, ..BAD }));
    assert!(failover.update(2250, &Observation { required_share: 0.1, ..BAD }) && failover.share() == 0.1);
    // The zone recovers while it is being left.
    assert!(!failover.update(4000, &GOOD) && failover.phase() == Phase::Returning);
    assert!(failover.update(4250, &GOOD) && failover.share() == 0.2);
}

#[test]
fn the_share_is_limited_until_servers_are_warm() {
    let mut failover = ZoneFailover::new(6, 8).resume(0, 0.0, ReductionCause::Evidence);
    let shares = run(&mut failover, 0, 60_000, |now, _| Observation {
        cold_limit: if now < 30_000 { 0.3 } else { 1.0 },
        ..GOOD
    });
    assert!(shares.iter().all(|(at, share)| *share <= 0.3 || *at >= 30_000), "{shares:?}");
    assert_eq!(shares.last().map(|s| s.1), Some(1.0));
}

#[test]
fn a_zone_is_not_held_out_while_the_other_zones_fail_too() {
    let mut failover = ZoneFailover::new(6, 7);
    assert!(failover.update(0, &BAD) && failover.share() == 0.0);
    assert!(!failover.update(1000, &GOOD));
    let all = Observation { others_healthy: false, baseline: 0.6, bad: 60.0, ..GOOD };
    let shares = run(&mut failover, 1000, 20_000, |_, _| all);
    assert_eq!(shares.first().map(|s| s.0), Some(1000));
    assert_eq!(
        shares.last().map(|s| s.1),
        Some(1.0),
        "a zone no worse than the others is fully used: {shares:?}"
    );
}

#[test]
fn an_operator_order_overrides_observations_until_it_is_carried_out() {
    let mut failover = ZoneFailover::new(6, 5);
    failover.set_order(0, Some(Order::Leave(4000)));
    let shares = run(&mut failover, 0, 10_000, |_, _| GOOD);
    assert_eq!(shares, [(1000, 0.75), (2000, 0.5), (3000, 0.25), (4000, 0.0)]);
    failover.set_order(10_000, Some(Order::Return));
    // The zone still fails and returns nevertheless.
    let shares = run(&mut failover, 10_000, 30_000, |_, _| BAD);
    let whole = shares.iter().position(|s| s.1 == 1.0).expect("full use");
    assert!(shares[whole].0 <= 10_000 + 4 * RETURN_STEP_MS, "{shares:?}");
    assert_eq!(
        shares[whole + 1].1,
        0.0,
        "once the zone is fully used the order is done, and observations decide again"
    );
    let mut held = ZoneFailover::new(6, 6);
    held.set_order(0, Some(Order::Hold));
    assert!(run(&mut held, 0, 9000, |_, _| BAD).is_empty());
}
