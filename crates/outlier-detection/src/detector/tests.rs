//! Tests of the parent module.

use super::*;

fn evidence_of(observer: &str, server: &str, failing: f64, at: Millis) -> Evidence {
    let failing = Weight([failing; 2]);
    Evidence { server: server.into(), observer: observer.into(), failing, at, ..Evidence::default() }
}

fn services(count: usize) -> BTreeMap<String, Vec<String>> {
    [("s".to_owned(), (0..count).map(|n| format!("i-{n}")).collect())].into()
}

fn avoided(detector: &Detector, count: usize) -> usize {
    (0..count).filter(|n| detector.state(&format!("i-{n}")) >= HealthState::Suspect).count()
}

#[test]
fn two_observers_eject_a_server_one_makes_it_suspect_and_a_dissenter_prevents_both() {
    let evaluate = |evidence: &[Evidence]| {
        let mut detector = Detector::default();
        detector.evaluate(100.0, evidence, &services(6), &|_| true);
        detector.state("i-1")
    };
    let (a, b) = (evidence_of("a", "i-1", 30.0, 100.0), evidence_of("b", "i-1", 9.0, 100.0));
    assert_eq!(evaluate(std::slice::from_ref(&a)), HealthState::Suspect);
    assert_eq!(evaluate(&[a.clone(), b]), HealthState::Ejected);
    assert_eq!(
        evaluate(&[a, evidence_of("b", "i-1", -2.0, 100.0)]),
        HealthState::Healthy,
        "unhealthy for some callers only"
    );
}

#[test]
fn an_observer_without_session_or_with_many_complaints_has_little_weight() {
    let everybody: Vec<Evidence> = (0..12).map(|n| evidence_of("a", &format!("i-{n}"), 20.0, 0.0)).collect();
    let mut detector = Detector::default();
    detector.evaluate(10.0, &everybody, &services(30), &|_| true);
    assert!(detector.has_no_cases());
    detector.evaluate(10.0, &everybody[..1], &services(30), &|_| false);
    assert!(detector.has_no_cases());
    detector.evaluate(10.0, &everybody[..1], &services(30), &|_| true);
    assert!(!detector.has_no_cases(), "the same evidence from an observer with a session");
}

#[test]
fn at_most_an_eighth_is_avoided_and_none_if_most_are_unhealthy() {
    for (unhealthy, of, expected) in
        [(1, 9, 1), (3, 9, 1), (4, 9, 1), (5, 9, 0), (9, 9, 0), (1, 2, 0), (1, 3, 1)]
    {
        let reported = |n: usize| ["a", "b", "c"].map(|who| evidence_of(who, &format!("i-{n}"), 8.0, 0.0));
        let evidence: Vec<Evidence> = (0..unhealthy).flat_map(reported).collect();
        let mut detector = Detector::default();
        detector.evaluate(1.0, &evidence, &services(of), &|_| true);
        assert_eq!(avoided(&detector, of), expected, "{unhealthy} of {of}");
    }
}

#[test]
fn an_unreachable_server_is_suspect_only_if_two_observers_report_it() {
    let unreached = |who: &str| Evidence { unreached: 2.0, ..evidence_of(who, "i-1", 0.0, 0.0) };
    let evaluate = |evidence: &[Evidence]| {
        let mut detector = Detector::default();
        detector.evaluate(1.0, evidence, &services(6), &|_| true);
        detector.state("i-1")
    };
    assert_eq!(evaluate(&[unreached("a")]), HealthState::Healthy);
    assert_eq!(evaluate(&[unreached("a"), unreached("b")]), HealthState::Suspect);
    assert_eq!(
        evaluate(&[unreached("a"), unreached("b"), evidence_of("c", "i-1", -4.0, 0.0)]),
        HealthState::Healthy
    );
}

#[test]
fn good_answers_return_a_server_and_a_relapse_lengthens_the_probe_interval() {
    let (mut detector, all) = (Detector::default(), services(6));
    let mut now = 0.0;
    let mut waits = Vec::new();
    for _ in 0..5 {
        let unhealthy = [evidence_of("a", "i-1", 8.0, now), evidence_of("b", "i-1", 8.0, now)];
        detector.evaluate(now, &unhealthy, &all, &|_| true);
        assert_eq!(detector.state("i-1"), HealthState::Ejected);
        let ejected_at = now;
        while !detector.is_due(now, "i-1") {
            now += 50.0;
            detector.evaluate(now, &unhealthy, &all, &|_| true);
        }
        waits.push(now - ejected_at);
        let favourable = Evidence { consecutive_successes: 5, ..evidence_of("c", "i-1", -1.0, now) };
        detector.evaluate(
            now,
            &[unhealthy[0].clone(), unhealthy[1].clone(), favourable.clone()],
            &all,
            &|_| true,
        );
        assert_eq!(detector.state("i-1"), HealthState::Returning);
    }
    assert_eq!(waits, [1500.0, 3000.0, 6000.0, 12_000.0, 12_000.0]);
}
