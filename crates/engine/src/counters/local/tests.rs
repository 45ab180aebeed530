//! Tests of the parent module.

use super::*;

fn call(name: u64, add: f64) -> Call {
    Call { id: CallId(0), name: CountName(name), add, ttl: 100.0 }
}

#[test]
fn a_total_accumulates_until_it_expires_and_then_restarts() {
    let numbers = CounterTotals::default();
    assert_eq!(numbers.add(0.0, &call(1, 2.0)), CallEnd::Added(2.0));
    assert_eq!(numbers.add(99.0, &call(1, 3.0)), CallEnd::Added(5.0));
    assert_eq!(numbers.add(99.0, &call(2, 1.0)), CallEnd::Added(1.0));
    assert_eq!(numbers.snapshot(99.0), [(CountName(1), 5.0), (CountName(2), 1.0)]);
    assert_eq!(
        numbers.add(100.0, &call(1, 1.0)),
        CallEnd::Added(1.0),
        "its lifetime runs from the first call"
    );
}

#[test]
fn new_names_beyond_the_limit_are_refused_and_known_names_still_count() {
    let mut sums = Sums::default();
    for name in 0..MAX_NAMES as u64 {
        sums.add(1.0, &call(name, 1.0));
    }
    assert_eq!(sums.add(2.0, &call(u64::MAX, 1.0)), CallEnd::Busy);
    assert_eq!(sums.add(2.0, &call(7, 1.0)), CallEnd::Added(2.0));
    assert_eq!(sums.add(6000.0, &call(u64::MAX, 1.0)), CallEnd::Added(1.0), "expired names are purged");
    assert_eq!(sums.sums.len(), 1);
}
