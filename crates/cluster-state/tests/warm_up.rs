//! Replication of warm-up times from a core machine to a limiter. Guards against the incident `cold-sum-at-ninety`.

use oatbank_cluster_state::messages::ServerRow;
use oatbank_cluster_state::state::{MergeResult, StateTable};

fn heartbeat(call_count: u64, warmup_ms: u32) -> ServerRow {
    let (id, service, address) = ("a".into(), "s".into(), "10.0.0.1:80".into());
    ServerRow { id, service, address, call_count, warmup_ms, ..ServerRow::default() }
}

fn warmup_left(table: &StateTable, now: f64) -> f64 {
    table.servers(now).next().map_or(-1.0, |(_, warmup_left)| warmup_left)
}

#[test]
fn new_warm_up_is_sent_to_followers_and_a_continuing_one_is_not() {
    // A limiter receives only changes that affect use, so it keeps the first heartbeat of a warm-up until the next one begins.
    let (mut core, mut limiter) = (StateTable::new(1, 1500.0, 0.0), StateTable::new(2, 1500.0, 0.0));
    let mut position = (0, 0);
    let mut calls = 0;
    for (now, warmup_ms, update) in [
        (0.0, 3000, true),
        (1500.0, 1500, false),
        // The warm-up restarts 2.8 s after it first began.
        (2800.0, 3000, true),
        (4300.0, 1500, false),
        (5800.0, 0, false),
        // Two more warm-ups later, one as long as before and one shorter.
        (20_000.0, 3000, true),
        (23_000.0, 0, false),
        (26_000.0, 1200, true),
    ] {
        calls += 1;
        let merged = core.merge_server(now, &heartbeat(calls, warmup_ms));
        assert_eq!(matches!(merged, MergeResult::Changed(_)), update, "at {now}");
        if core.has_update_since(position.0, position.1, false, true) {
            let sent = core.update_since(now + 30.0, position.0, position.1, false);
            position = (sent.epoch, sent.seen);
            assert!(limiter.merge_update(now + 50.0, &sent), "at {now}: the limiter's list must change");
        }
        assert!(
            warmup_left(&limiter, now + 50.0) >= f64::from(warmup_ms) - 50.0,
            "at {now}: {}",
            warmup_left(&limiter, now + 50.0)
        );
    }
}

#[test]
fn timeout_of_a_known_heartbeat_does_not_restart_the_warm_up() {
    let mut table = StateTable::new(1, 1500.0, 0.0);
    table.merge_server(0.0, &heartbeat(5, 3000));
    table.merge_server(2000.0, &ServerRow { timed_out: true, ..heartbeat(5, 3000) });
    assert_eq!(warmup_left(&table, 2000.0), 1000.0);
}
