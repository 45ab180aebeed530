//! Tests of the parent module.

use super::*;
use crate::messages::ServerRow;
use crate::state::StateTable;

#[test]
fn an_end_that_was_inferred_from_a_source_that_lacked_a_server_is_taken_back() {
    let row = |call_count| ServerRow { id: "a".into(), call_count, ..ServerRow::default() };
    let other = ServerRow { id: "b".into(), call_count: 1, ..ServerRow::default() };
    for repairs in [true, false] {
        let (mut source, mut follower) = (StateTable::new(1, 1500.0, 0.0), StateTable::new(2, 1500.0, 0.0));
        source.merge_server(0.0, &other);
        follower.merge_server(0.0, &row(7));
        // Warm, and yet it has not heard of this one: the follower takes it for gone.
        follower.merge_update(9000.0, &source.update_since(9000.0, 0, 0, false));
        let (mut place, mut at) = ((1, source.sequence()), SourceAgreement::new(9000.0));
        let mut mended = None;
        for tick in 0..100u32 {
            let now = 9000.0 + f64::from(tick) * 300.0;
            if tick % 5 == 0 {
                // The first word is the one that the follower knows: it says nothing new there.
                source.merge_server(now, &row(u64::from(7 + tick / 5)));
            }
            let update = source.update_since(now, place.0, place.1, false);
            place = (update.epoch, update.seen);
            follower.merge_update(now, &update);
            if at.on_update(now, follower.digest() == update.digest) && repairs {
                place = (0, 0);
            }
            if follower.digest() == update.digest {
                mended = mended.or(Some(now - 9000.0));
            }
        }
        let bound = mended.is_some_and(|after| after <= MAX_DIVERGENCE);
        assert_eq!(bound, repairs, "{mended:?}");
    }
}

#[test]
fn who_differs_for_longer_than_updates_travel_takes_a_snapshot_and_then_more_rarely() {
    let mut at = SourceAgreement::new(0.0);
    let mut taken = Vec::new();
    for tick in 1..400 {
        let now = f64::from(tick) * 100.0;
        if at.on_update(now, false) {
            taken.push(now);
        }
        assert_eq!(at.has_diverged(now), now > MAX_DIVERGENCE, "{now}");
    }
    assert_eq!(taken, [3100.0, 9100.0, 21_100.0]);
    assert!(!at.on_update(50_000.0, true) && !at.has_diverged(54_000.0) && at.has_diverged(55_100.0));
}
