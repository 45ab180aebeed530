//! Cold spells as they go from a core machine to a limiter: the incident `cold-sum-at-ninety`.

use oatbank_cluster_state::messages::ServerRow;
use oatbank_cluster_state::state::{MergeResult, StateTable};

fn heartbeat(call_count: u64, warmup_ms: u32) -> ServerRow {
    let (id, service, address) = ("a".into(), "s".into(), "10.0.0.1:80".into());
    ServerRow { id, service, address, call_count, warmup_ms, ..ServerRow::default() }
}

fn left(table: &StateTable, now: f64) -> f64 {
    table.servers(now).next().map_or(-1.0, |(_, left)| left)
}

#[test]
fn a_spell_that_begins_after_another_or_within_it_is_told_and_one_that_goes_on_is_not() {
    // A limiter hears only what changes use: it holds the first word of a spell until the next one begins.
    let (mut core, mut limiter) = (StateTable::new(1, 1500.0, 0.0), StateTable::new(2, 1500.0, 0.0));
    let mut at = (0, 0);
    let mut calls = 0;
    for (now, cold, update) in [
        (0.0, 3000, true),
        (1500.0, 1500, false),
        // It starts anew, 2.8 s after the first time.
        (2800.0, 3000, true),
        (4300.0, 1500, false),
        (5800.0, 0, false),
        // And becomes cold again later, twice, as long as before and for less.
        (20_000.0, 3000, true),
        (23_000.0, 0, false),
        (26_000.0, 1200, true),
    ] {
        calls += 1;
        let word = core.merge_server(now, &heartbeat(calls, cold));
        assert_eq!(matches!(word, MergeResult::Changed(_)), update, "at {now}");
        if core.has_update_since(at.0, at.1, false, true) {
            let told = core.update_since(now + 30.0, at.0, at.1, false);
            at = (told.epoch, told.seen);
            assert!(limiter.merge_update(now + 50.0, &told), "at {now}: the limiter's list changes");
        }
        assert!(
            left(&limiter, now + 50.0) >= f64::from(cold) - 50.0,
            "at {now}: {}",
            left(&limiter, now + 50.0)
        );
    }
}

#[test]
fn what_is_no_newer_does_not_begin_a_spell_again() {
    let mut table = StateTable::new(1, 1500.0, 0.0);
    table.merge_server(0.0, &heartbeat(5, 3000));
    table.merge_server(2000.0, &ServerRow { timed_out: true, ..heartbeat(5, 3000) });
    assert_eq!(left(&table, 2000.0), 1000.0);
}
