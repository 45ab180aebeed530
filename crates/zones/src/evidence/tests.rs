//! Tests of the parent module.

use super::*;

fn report(life: u64, ok: u64, failed: u64) -> Report {
    let counts = Counts { ok, failed, ..Counts::default() };
    Report { life, own: None, rows: vec![Row { zone: "a".into(), counts, servers: 3 }] }
}

#[test]
fn increments_are_correct_after_lost_reports_and_restarts() {
    let mut reports = LimiterReports::default();
    assert!(reports.record(0, 1, &report(7, 1000, 10)).is_empty(), "the first report only sets the baseline");
    let increments = reports.record(500, 1, &report(7, 1040, 20));
    assert_eq!(increments, [Increment { zone: "a".into(), bad: 10.0, ok: 40.0 }]);
    // Two reports were lost.
    let increments = reports.record(2000, 1, &report(7, 1100, 30));
    assert_eq!((increments[0].bad, increments[0].ok), (10.0, 60.0));
    // A new process starts its totals from zero.
    assert!(reports.record(2500, 1, &report(8, 5, 0)).is_empty());
    assert_eq!(reports.record(3000, 1, &report(8, 9, 1))[0].ok, 4.0);
}

#[test]
fn counts_decay_and_stale_reports_are_ignored() {
    let mut reports = LimiterReports::default();
    reports.record(0, 1, &report(1, 0, 0));
    reports.record(500, 1, &report(1, 100, 0));
    assert!((reports.sum(500, "a").ok - 100.0).abs() < 1e-9);
    let later = 500 + DECAY_MS as Millis;
    reports.record(later, 1, &report(1, 100, 0));
    assert!((reports.sum(later, "a").ok - 100.0 / std::f64::consts::E).abs() < 1e-6);
    assert_eq!(reports.sum(later + STALE_AFTER_MS, "a"), View::default());
}
