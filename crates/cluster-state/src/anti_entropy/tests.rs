//! Tests of the parent module.

use super::*;
use crate::messages::ServerRow;
use crate::state::StateTable;

#[test]
fn snapshot_restores_a_server_that_an_incomplete_snapshot_had_ended() {
    let row = |call_count| ServerRow { id: "a".into(), call_count, ..ServerRow::default() };
    let other = ServerRow { id: "b".into(), call_count: 1, ..ServerRow::default() };
    for repairs in [true, false] {
        let (mut source, mut follower) = (StateTable::new(1, 1500.0, 0.0), StateTable::new(2, 1500.0, 0.0));
        source.merge_server(0.0, &other);
        follower.merge_server(0.0, &row(7));
        // The source is warm but has not heard of this server, so the follower ends it.
        follower.merge_update(9000.0, &source.update_since(9000.0, 0, 0, false));
        let (mut position, mut agreement) = ((1, source.sequence()), SourceAgreement::new(9000.0));
        let mut agreed_after = None;
        for tick in 0..100u32 {
            let now = 9000.0 + f64::from(tick) * 300.0;
            if tick % 5 == 0 {
                // The first heartbeat is the one that the follower already knows, so merging it changes nothing there.
                source.merge_server(now, &row(u64::from(7 + tick / 5)));
            }
            let update = source.update_since(now, position.0, position.1, false);
            position = (update.epoch, update.seen);
            follower.merge_update(now, &update);
            if agreement.on_update(now, follower.digest() == update.digest) && repairs {
                position = (0, 0);
            }
            if follower.digest() == update.digest {
                agreed_after = agreed_after.or(Some(now - 9000.0));
            }
        }
        let is_within_bound = agreed_after.is_some_and(|after| after <= MAX_DIVERGENCE);
        assert_eq!(is_within_bound, repairs, "{agreed_after:?}");
    }
}

#[test]
fn lasting_difference_triggers_snapshots_with_doubling_waits() {
    let mut agreement = SourceAgreement::new(0.0);
    let mut snapshots_at = Vec::new();
    for tick in 1..400 {
        let now = f64::from(tick) * 100.0;
        if agreement.on_update(now, false) {
            snapshots_at.push(now);
        }
        assert_eq!(agreement.has_diverged(now), now > MAX_DIVERGENCE, "{now}");
    }
    assert_eq!(snapshots_at, [3100.0, 9100.0, 21_100.0]);
    assert!(
        !agreement.on_update(50_000.0, true)
            && !agreement.has_diverged(54_000.0)
            && agreement.has_diverged(55_100.0)
    );
}
