//! Tests of the parent module.

use super::*;

fn record(observer: &mut Observer, now: Millis, server: &str, end: EndKind, took: Millis) {
    let (service, class) = ("s", "c");
    observer.record(now, &AttemptResult { service, class, server, end, took, warm: true });
}

fn record_healthy_history(observer: &mut Observer, until: Millis) {
    for n in 0..200 {
        record(
            observer,
            until - 20_000.0 + f64::from(n) * 100.0,
            &format!("i-{}", n % 8),
            EndKind::Success,
            100.0,
        );
    }
}

#[test]
fn one_failure_is_not_reported_and_two_are_reported_at_once() {
    let mut observer = Observer::default();
    record_healthy_history(&mut observer, 20_000.0);
    record(&mut observer, 20_001.0, "i-1", EndKind::Failure, 2.0);
    assert_eq!(observer.reports(20_001.0, |_| false), []);
    record(&mut observer, 20_300.0, "i-1", EndKind::Failure, 2.0);
    let reported = observer.reports(20_300.0, |_| false);
    assert_eq!(reported.iter().map(|n| n.server.as_str()).collect::<Vec<_>>(), ["i-1"]);
    assert_eq!(observer.reports(20_350.0, |_| false), [], "already reported");
    assert_eq!(
        observer.reports(20_350.0, |id| id == "i-2").len(),
        1,
        "favourable evidence on a contested server is reported"
    );
}

#[test]
fn general_slowness_and_cold_or_full_servers_are_not_reported() {
    let mut observer = Observer::default();
    record_healthy_history(&mut observer, 20_000.0);
    for n in 0..400 {
        let (now, server) = (20_000.0 + f64::from(n) * 50.0, format!("i-{}", n % 8));
        // All servers suddenly take four times as long.
        record(&mut observer, now, &server, EndKind::Success, 400.0);
        assert_eq!(observer.reports(now, |_| false), [], "at {n}");
        record(&mut observer, now, &server, EndKind::Ignored, 1.0);
        let (service, class) = ("s", "c");
        observer.record(
            now,
            &AttemptResult {
                service,
                class,
                server: "new",
                end: EndKind::Failure,
                took: 3000.0,
                warm: false,
            },
        );
    }
}

#[test]
fn a_server_that_becomes_slow_is_reported_and_one_that_always_was_slow_is_not() {
    let mut observer = Observer::default();
    let mut first = None;
    for n in 0..600u32 {
        let (now, server) = (f64::from(n) * 50.0, n % 8);
        let took = [200.0, if n > 400 { 400.0 } else { 100.0 }, 100.0][server.min(2) as usize];
        record(&mut observer, now, &format!("i-{server}"), EndKind::Success, took);
        for evidence in observer.reports(now, |_| false) {
            assert_eq!(evidence.server, "i-1");
            first = first.or(Some(n));
        }
    }
    assert!(first.is_some_and(|n| n < 400 + 4 * 8), "{first:?}");
}
