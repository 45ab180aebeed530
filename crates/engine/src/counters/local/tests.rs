//! Tests of the parent module.

use super::*;

fn call(name: u64, add: f64) -> Call {
    Call { id: CallId(0), name: CountName(name), add, ttl: 100.0 }
}

#[test]
fn a_name_adds_up_until_its_time_is_over_and_then_begins_anew() {
    let numbers = CounterTotals::default();
    assert_eq!(numbers.add(0.0, &call(1, 2.0)), CallEnd::Added(2.0));
    assert_eq!(numbers.add(99.0, &call(1, 3.0)), CallEnd::Added(5.0));
    assert_eq!(numbers.add(99.0, &call(2, 1.0)), CallEnd::Added(1.0));
    assert_eq!(numbers.snapshot(99.0), [(CountName(1), 5.0), (CountName(2), 1.0)]);
    assert_eq!(numbers.add(100.0, &call(1, 1.0)), CallEnd::Added(1.0), "its life ran from the first call");
}

#[test]
fn a_flood_of_names_is_turned_away_and_known_ones_still_count() {
    let mut sums = Sums::default();
    for name in 0..MOST_NAMES as u64 {
        sums.add(1.0, &call(name, 1.0));
    }
    assert_eq!(sums.add(2.0, &call(u64::MAX, 1.0)), CallEnd::Busy);
    assert_eq!(sums.add(2.0, &call(7, 1.0)), CallEnd::Added(2.0));
    assert_eq!(sums.add(6000.0, &call(u64::MAX, 1.0)), CallEnd::Added(1.0), "room again");
    assert_eq!(sums.sums.len(), 1);
}
