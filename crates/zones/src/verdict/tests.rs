//! Tests of the parent module.

use super::*;
use crate::evidence::{Counts, Report, Row};

/// Reports of limiters that see these rates of failures in zones a, b and c, `tries` each a report, until `a` is judged
/// other than sound or so many reports are over.
fn first_verdict(limiters: &[[f64; 3]], attempts: u64, reports: u64) -> (Verdict, u64) {
    let (mut board, mut test) = (LimiterReports::default(), SequentialTest::default());
    for round in 0..=reports {
        let now = 500 * round;
        for (n, rates) in limiters.iter().enumerate() {
            let row = |(zone, rate): (&str, &f64)| {
                let failed = (round as f64 * attempts as f64 * rate) as u64;
                let counts = Counts { ok: round * attempts - failed, failed, ..Counts::default() };
                Row { zone: zone.into(), counts, servers: 3 }
            };
            let rows = ["a", "b", "c"].into_iter().zip(rates).map(row).collect();
            let own = Some(["a", "b", "c"][n % 3].to_owned());
            for increment in board.record(now, n as u16, &Report { life: 1, own, rows }) {
                let baseline = baseline_rate(&board, now, &increment.zone);
                test.add(n as u16, &increment, baseline);
            }
        }
        let verdict = assess(&board, &test, now, "a");
        if verdict != Verdict::Sound {
            return (verdict, now);
        }
    }
    (Verdict::Sound, 500 * reports)
}

#[test]
fn a_quarter_that_fails_is_found_within_two_seconds_by_few_and_by_many() {
    for (limiters, attempts) in [(6, 7), (24, 2)] {
        let (verdict, after) = first_verdict(&vec![[0.25, 0.0, 0.0]; limiters], attempts, 60);
        assert_eq!(verdict, Verdict::Fails, "{limiters} limiters");
        assert!(after <= 2000, "{limiters} limiters: {after} ms");
    }
}

#[test]
fn accidents_are_none_and_what_fails_everywhere_is_not_left() {
    assert_eq!(first_verdict(&[[0.02, 0.01, 0.0]; 6], 100, 7200).0, Verdict::Sound);
    assert_eq!(first_verdict(&[[0.2, 0.2, 0.2]; 6], 20, 200).0, Verdict::Sound, "all alike");
    assert_eq!(first_verdict(&[[1.0, 0.9, 0.9]; 6], 20, 200).0, Verdict::Everything);
}

#[test]
fn one_that_is_cut_off_does_not_take_the_zone_from_the_rest() {
    let mut all = vec![[0.0, 0.0, 0.0]; 6];
    all[4] = [1.0, 0.0, 0.0];
    assert_eq!(first_verdict(&all, 20, 200).0, Verdict::CutOff(vec![4]));
    // All that stand in one zone.
    let by_link: Vec<_> = (0..9).map(|n| if n % 3 == 1 { [1.0, 0.0, 0.0] } else { [0.0; 3] }).collect();
    assert_eq!(first_verdict(&by_link, 20, 200).0, Verdict::Link("b".into()));
}
