//! Tests of the parent module.

use super::*;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

const OUTCOMES: [ExecutionOutcome; 5] = [
    ExecutionOutcome::NotExecuted,
    ExecutionOutcome::Unknown,
    ExecutionOutcome::Running,
    ExecutionOutcome::Failed,
    ExecutionOutcome::Succeeded,
];

fn server() -> Arc<str> {
    "i-1".into()
}

#[test]
fn a_late_answer_replaces_an_unknown_outcome_and_is_final() {
    let mut log = OutcomeLog::new(OutcomeLogLimits::default());
    let mut outcome_after = |outcome| {
        log.record(1.0, "a", outcome, "", &server());
        log.get(1.0, "a").map(|k| k.outcome)
    };
    for (reports, known) in [
        (ExecutionOutcome::NotExecuted, ExecutionOutcome::NotExecuted),
        (ExecutionOutcome::Running, ExecutionOutcome::Running),
        (ExecutionOutcome::Unknown, ExecutionOutcome::Unknown),
        (ExecutionOutcome::NotExecuted, ExecutionOutcome::Unknown),
        (ExecutionOutcome::Running, ExecutionOutcome::Unknown),
        (ExecutionOutcome::Succeeded, ExecutionOutcome::Succeeded),
        (ExecutionOutcome::Failed, ExecutionOutcome::Succeeded),
    ] {
        assert_eq!(outcome_after(reports), Some(known), "{reports:?}");
    }
}

#[test]
fn entries_are_bounded_in_time_and_number_and_rejections_evict_nothing() {
    let limits = OutcomeLogLimits { max_entries: 100, retention: 1000.0, max_name_bytes: 8 };
    let mut log = OutcomeLog::new(limits);
    log.record(0.0, "first", ExecutionOutcome::Running, "", &server());
    log.record(900.0, "first", ExecutionOutcome::Succeeded, "", &server());
    assert!(log.get(1500.0, "first").is_some(), "retention starts at the last update");
    assert!(log.get(1901.0, "first").is_none());
    (0..90).for_each(|n| log.record(2000.0, &format!("r{n}"), ExecutionOutcome::Running, "", &server()));
    (0..5000)
        .for_each(|n| log.record(2001.0, &format!("n{n}"), ExecutionOutcome::NotExecuted, "", &server()));
    assert!(log.len() == 90 && log.dropped() == 5000);
    (0..5000).for_each(|n| log.record(2002.0, &format!("d{n}"), ExecutionOutcome::Succeeded, "", &server()));
    assert!(log.len() == 100 && log.ages.len() <= 400);
    assert!(log.get(2002.0, "d4999").is_some() && log.get(2002.0, "d4899").is_none());
    log.record(2002.0, "far too long", ExecutionOutcome::Succeeded, "", &server());
    assert!(log.get(2002.0, "far too long").is_none());
    assert!(log.get(3003.0, "d4999").is_none() && log.is_empty() && log.ages.is_empty());
}

#[test]
fn merging_is_independent_of_order_and_reports_a_request_that_ran_twice() {
    for seed in 0..500 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut reports: Vec<OutcomeReport> = (0..6)
            .map(|_| OutcomeReport {
                proxy: format!("edge-{}", rng.next_u32() % 4),
                outcome: OUTCOMES[rng.next_u32() as usize % 5],
                why: String::new(),
                server: format!("i-{}", rng.next_u32() % 2),
                age: f64::from(rng.next_u32() % 3),
            })
            .collect();
        let merged = merge(reports.clone());
        // Independent calculation: the highest outcome, and the number of proxies with an outcome that proves execution.
        let heaviest = reports.iter().map(|s| s.outcome.number()).max();
        let proxies: std::collections::BTreeSet<&str> =
            reports.iter().filter(|s| s.outcome.number() >= 4).map(|s| s.proxy.as_str()).collect();
        assert_eq!(merged.outcome.map(ExecutionOutcome::number), heaviest, "seed {seed}");
        assert_eq!(merged.ran_twice, proxies.len() > 1, "seed {seed}");
        for i in (1..reports.len()).rev() {
            reports.swap(i, rng.next_u64() as usize % (i + 1));
        }
        let twice = reports.iter().chain(&reports).cloned();
        assert_eq!(merge(twice), merged, "seed {seed}");
    }
    assert!(
        OUTCOMES.iter().all(|f| ExecutionOutcome::from_number(f.number()) == Some(*f))
            && ExecutionOutcome::from_number(0).is_none()
    );
}
