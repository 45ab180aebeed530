//! Tests of the parent module.

use super::*;

#[test]
fn an_observation_row_round_trips_and_weights_are_clamped() {
    let evidence = Evidence {
        server: "i-1".into(),
        observer: "edge-1".into(),
        failing: Weight([9.0, -3.25]),
        slow: Weight([0.0, 12.5]),
        unreached: 1.5,
        consecutive_successes: 3,
        at: 70.0,
    };
    let row = ObservationRow {
        server: "i-1".into(),
        observer: "edge-1".into(),
        failing: hundredths(evidence.failing),
        slow: hundredths(evidence.slow),
        unreached: 150,
        goods: 3,
        ..ObservationRow::default()
    };
    assert_eq!(observation(&row, 70.0), evidence);
    assert_eq!(weight(&[i32::MAX]), Weight([30.0, 0.0]), "weights out of range are clamped");
}
