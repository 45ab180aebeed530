//! Tests of the parent module.

use super::*;
use crate::evidence::{Counts, Report, Row};

/// Feeds reports from limiters that observe these failure rates in zones a, b and c, with `attempts` attempts per zone and
/// report. Returns the first verdict on zone a other than `Sound` with its time in ms, or `Sound` after `rounds` rounds.
fn first_verdict(limiters: &[[f64; 3]], attempts: u64, rounds: u64) -> (Verdict, u64) {
    let (mut reports, mut test) = (LimiterReports::default(), SequentialTest::default());
    for round in 0..=rounds {
        let now = 500 * round;
        for (n, rates) in limiters.iter().enumerate() {
            let row = |(zone, rate): (&str, &f64)| {
                let failed = (round as f64 * attempts as f64 * rate) as u64;
                let counts = Counts { ok: round * attempts - failed, failed, ..Counts::default() };
                Row { zone: zone.into(), counts, servers: 3 }
            };
            let rows = ["a", "b", "c"].into_iter().zip(rates).map(row).collect();
            let own = Some(["a", "b", "c"][n % 3].to_owned());
            for increment in reports.record(now, n as u16, &Report { life: 1, own, rows }) {
                let baseline = baseline_rate(&reports, now, &increment.zone);
                test.add(n as u16, &increment, baseline);
            }
        }
        let verdict = assess(&reports, &test, now, "a");
        if verdict != Verdict::Sound {
            return (verdict, now);
        }
    }
    (Verdict::Sound, 500 * rounds)
}

#[test]
fn a_failure_rate_of_25_percent_is_detected_within_two_seconds_by_small_and_large_fleets() {
    for (limiters, attempts) in [(6, 7), (24, 2)] {
        let (verdict, after) = first_verdict(&vec![[0.25, 0.0, 0.0]; limiters], attempts, 60);
        assert_eq!(verdict, Verdict::Fails, "{limiters} limiters");
        assert!(after <= 2000, "{limiters} limiters: {after} ms");
    }
}

#[test]
fn sporadic_failures_are_ignored_and_failures_of_all_zones_are_told_apart() {
    assert_eq!(first_verdict(&[[0.02, 0.01, 0.0]; 6], 100, 7200).0, Verdict::Sound);
    assert_eq!(first_verdict(&[[0.2, 0.2, 0.2]; 6], 20, 200).0, Verdict::Sound, "all zones fail alike");
    assert_eq!(first_verdict(&[[1.0, 0.9, 0.9]; 6], 20, 200).0, Verdict::Everything);
}

#[test]
fn a_broken_path_of_one_limiter_or_of_one_zone_is_not_a_zone_failure() {
    let mut all = vec![[0.0, 0.0, 0.0]; 6];
    all[4] = [1.0, 0.0, 0.0];
    assert_eq!(first_verdict(&all, 20, 200).0, Verdict::CutOff(vec![4]));
    // All limiters of zone b lose their link to zone a.
    let by_link: Vec<_> = (0..9).map(|n| if n % 3 == 1 { [1.0, 0.0, 0.0] } else { [0.0; 3] }).collect();
    assert_eq!(first_verdict(&by_link, 20, 200).0, Verdict::Link("b".into()));
}
