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
fn two_make_shunned_what_one_alone_makes_doubtful_and_one_who_sees_it_well_holds_that_up() {
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
        "ill for some callers only"
    );
}

#[test]
fn who_complains_of_the_world_or_has_no_session_condemns_nobody() {
    let everybody: Vec<Evidence> = (0..12).map(|n| evidence_of("a", &format!("i-{n}"), 20.0, 0.0)).collect();
    let mut detector = Detector::default();
    detector.evaluate(10.0, &everybody, &services(30), &|_| true);
    assert!(detector.has_no_cases());
    detector.evaluate(10.0, &everybody[..1], &services(30), &|_| false);
    assert!(detector.has_no_cases());
    detector.evaluate(10.0, &everybody[..1], &services(30), &|_| true);
    assert!(!detector.has_no_cases(), "the same of one server by who has a session");
}

#[test]
fn no_more_are_left_than_an_eighth_and_none_where_most_are_ill() {
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
fn who_cannot_reach_a_server_needs_a_second_that_cannot() {
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
fn good_answers_bring_it_back_and_a_relapse_lengthens_the_wait() {
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
        let goods = Evidence { goods: 5, ..evidence_of("c", "i-1", -1.0, now) };
        detector.evaluate(now, &[unhealthy[0].clone(), unhealthy[1].clone(), goods.clone()], &all, &|_| true);
        assert_eq!(detector.state("i-1"), HealthState::Returning);
    }
    assert_eq!(waits, [1500.0, 3000.0, 6000.0, 12_000.0, 12_000.0]);
}
