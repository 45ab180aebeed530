//! Tests of the parent module.

use super::*;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

fn server(id: &str, call_count: u64, state: u32) -> ServerRow {
    let address = format!("10.0.0.{}:80", id.len());
    ServerRow { id: id.into(), service: "s".into(), address, call_count, state, ..ServerRow::default() }
}

fn new_table(epoch: u64) -> StateTable {
    StateTable::new(epoch, 1500.0, 0.0)
}

fn states(table: &StateTable) -> Vec<(String, u32, bool, u64)> {
    table.servers(0.0).map(|(r, _)| (r.id.clone(), r.state, r.timed_out, r.call_count)).collect()
}

#[test]
fn merging_servers_is_commutative_and_idempotent() {
    for seed in 0..300 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut rows = Vec::new();
        for _ in 0..12 {
            let row =
                server(["a", "bb"][rng.next_u32() as usize % 2], 1 + rng.next_u64() % 5, rng.next_u32() % 3);
            // Within an incarnation, a heartbeat number identifies one heartbeat. Only the timeout is added by others.
            let state = if row.call_count < 4 { 0 } else { row.state };
            let service = ["s", "t"][rng.next_u32() as usize % 2].to_owned();
            let row = ServerRow { state, service, ..row };
            rows.push(ServerRow { timed_out: rng.next_u32() % 4 == 0, ..row });
        }
        let mut orders: [Vec<usize>; 2] = [(0..12).collect(), (0..12).chain(0..12).collect()];
        for order in &mut orders {
            for i in (1..order.len()).rev() {
                order.swap(i, rng.next_u64() as usize % (i + 1));
            }
        }
        let tables = orders.map(|order| {
            let mut table = new_table(1);
            order.iter().for_each(|i| _ = table.merge_server(1.0, &rows[*i]));
            (states(&table), table.digest())
        });
        assert_eq!(tables[0], tables[1], "seed {seed}");
    }
}

#[test]
fn merging_observations_is_commutative_and_ignores_old_ones() {
    let observations_of = |table: &StateTable| -> Vec<(String, u64, u32)> {
        table
            .observations(0.0)
            .map(|(r, _)| (format!("{}{}", r.server, r.observer), r.incarnation, r.seq))
            .collect()
    };
    for seed in 0..200 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut pick = |of: u32| rng.next_u32() % of;
        let rows: Vec<ObservationRow> = (0..16)
            .map(|_| ObservationRow {
                server: ["a", "bb"][pick(2) as usize].into(),
                observer: ["x", "y"][pick(2) as usize].into(),
                incarnation: u64::from(pick(2)),
                seq: 1 + pick(6),
                ..ObservationRow::default()
            })
            .collect();
        let mut repeated_order: Vec<usize> = (0..16).chain(0..16).collect();
        for i in (1..repeated_order.len()).rev() {
            repeated_order.swap(i, pick(1 + i as u32) as usize);
        }
        let (mut once, mut reordered, mut replicated) = (new_table(1), new_table(2), new_table(3));
        rows.iter().for_each(|row| _ = once.merge_observation(1.0, row));
        repeated_order.iter().for_each(|i| _ = reordered.merge_observation(1.0, &rows[*i]));
        replicated.merge_update(1.0, &reordered.update_since(1.0, 0, 0, false));
        assert_eq!(observations_of(&once), observations_of(&reordered), "seed {seed}");
        assert_eq!(observations_of(&once), observations_of(&replicated), "seed {seed}");
        let before = once.change_sequence();
        rows.iter().for_each(|row| _ = once.merge_observation(20_000.0, row));
        assert_eq!(once.change_sequence(), before, "seed {seed}: repeated observations change nothing");
    }
    let mut table = new_table(1);
    let row =
        ObservationRow { server: "a".into(), observer: "x".into(), seq: 1, ..ObservationRow::default() };
    table.merge_observation(0.0, &row);
    assert!(table.observations(OBSERVATION_LIFETIME + 1.0).next().is_none(), "the observation has expired");
    let late = ObservationRow { seq: 2, ago: OBSERVATION_LIFETIME as u32, ..row };
    assert_eq!(table.merge_observation(OBSERVATION_LIFETIME + 2.0, &late), MergeResult::Unchanged);
}

#[test]
fn late_heartbeat_does_not_revive_a_draining_or_left_server() {
    let mut table = new_table(1);
    table.merge_server(0.0, &server("a", 1, server_state::READY));
    table.merge_server(1.0, &server("a", 5, server_state::DRAINING));
    assert_eq!(table.merge_server(2.0, &server("a", 4, server_state::READY)), MergeResult::Unchanged);
    assert_eq!(
        table.merge_server(2.0, &server("a", 6, server_state::READY)),
        MergeResult::Unchanged,
        "draining is final"
    );
    table.mark_server_left(3.0, "a");
    table.merge_server(4.0, &server("a", 9, server_state::DRAINING));
    assert_eq!(states(&table)[0].1, server_state::LEFT);
    table.mark_server_left(4.0, "unknown");
    table.merge_server(5.0, &server("unknown", 3, server_state::READY));
    assert_eq!(states(&table)[1].1, server_state::LEFT);
}

#[test]
fn servers_sharing_an_id_are_separate_rows_until_one_times_out() {
    let forged = |calls| ServerRow { service: "other".into(), ..server("a", calls, 0) };
    let mut table = new_table(1);
    table.merge_server(0.0, &server("a", 3, 0));
    let digest_before = table.digest();
    assert!(matches!(table.merge_server(1.0, &forged(900)), MergeResult::Changed(_)));
    assert_eq!(states(&table).len(), 2, "a higher heartbeat number replaces no other claim");
    assert_ne!(table.digest(), digest_before);
    table.merge_server(4000.0, &server("a", 4, 0));
    assert!(table.expire(5600.0, Some(5600.0)), "the forged server times out");
    assert_eq!(table.digest(), digest_before);
    // All claims of an id that has left have left, including later ones.
    table.mark_server_left(5700.0, "a");
    table.merge_server(5800.0, &ServerRow { address: "10.9.9.9:1".into(), ..forged(901) });
    assert!(states(&table).iter().all(|s| s.1 == server_state::LEFT) && table.digest() == 0);
}

#[test]
fn server_timeout_is_reported_once_and_ends_with_a_heartbeat() {
    let mut table = new_table(1);
    table.merge_server(0.0, &server("a", 1, 0));
    assert!(
        !table.expire(5400.0, Some(5400.0)),
        "three heartbeat intervals and the slack have not passed yet"
    );
    assert!(!table.expire(5600.0, None), "without contact to a majority nothing times out");
    assert!(table.expire(5600.0, Some(5600.0)));
    assert!(!table.expire(5700.0, Some(5700.0)));
    assert_eq!(states(&table), [("a".into(), 0, true, 1)]);
    assert!(matches!(table.merge_server(6000.0, &server("a", 2, 0)), MergeResult::Changed(_)));
    assert_eq!(states(&table), [("a".into(), 0, false, 2)]);
}

#[test]
fn follower_gets_changes_since_its_position_and_a_snapshot_in_a_new_epoch() {
    let (mut source, mut follower) = (new_table(7), new_table(8));
    source.merge_server(0.0, &server("a", 1, 0));
    let all = source.update_since(10.0, 0, 0, false);
    assert!(all.is_snapshot);
    follower.merge_update(10.0, &all);
    assert!(!source.has_update_since(all.epoch, all.seen, false, true));
    source.merge_server(20.0, &server("a", 2, 0));
    assert!(!source.has_update_since(all.epoch, all.seen, false, true), "a heartbeat that changes nothing");
    assert!(source.has_update_since(all.epoch, all.seen, true, true));
    // An observation changes no list, so followers that omit observations are not woken.
    let before = source.change_sequence();
    let observation =
        ObservationRow { server: "a".into(), observer: "edge-1".into(), seq: 1, ..ObservationRow::default() };
    assert!(
        matches!(source.merge_observation(25.0, &observation), MergeResult::Changed(_))
            && source.change_sequence() == before
    );
    assert!(!source.has_update_since(all.epoch, all.seen, false, false));
    source.merge_server(30.0, &server("a", 3, server_state::DRAINING));
    let update = source.update_since(30.0, all.epoch, all.seen, false);
    assert!(!update.is_snapshot && update.servers.len() == 1);
    assert!(follower.merge_update(30.0, &update));
    assert_eq!(states(&follower)[0].1, server_state::DRAINING);
    assert!(new_table(9).has_update_since(all.epoch, all.seen, false, true), "another epoch");
}

#[test]
fn snapshot_of_a_warm_source_times_out_servers_missing_from_it() {
    let (mut source, mut follower) = (new_table(7), new_table(8));
    follower.merge_server(0.0, &server("old", 1, 0));
    source.merge_server(0.0, &server("a", 1, 0));
    follower.merge_update(1000.0, &source.update_since(1000.0, 0, 0, false));
    assert!(states(&follower).iter().all(|s| !s.2), "a source that is not warm ends nothing");
    follower.merge_update(9000.0, &source.update_since(9000.0, 0, 0, false));
    assert_eq!(states(&follower), [("a".into(), 0, false, 1), ("old".into(), 0, true, 1)]);
}

#[test]
fn limiter_stays_active_for_a_while_after_its_session_ends() {
    let mut table = new_table(1);
    let row = MemberRow { name: "e1".into(), incarnation: 5, heartbeat: 1, state: 1, ..MemberRow::default() };
    assert!(matches!(table.merge_member(0.0, &row), MergeResult::Changed(_)));
    assert_eq!(table.merge_member(400.0, &MemberRow { heartbeat: 2, ..row.clone() }), MergeResult::Unchanged);
    assert!(!table.expire(2000.0, Some(2000.0)));
    assert!(table.expire(2200.0, Some(2200.0)), "no heartbeat for longer than the session timeout");
    assert_eq!(table.active_limiter_count(2200.0), 1, "it may still be active");
    assert_eq!(table.active_limiter_count(2200.0 + ACTIVE_AFTER_SESSION), 0);
    // A more recent incarnation replaces the old one, whose late heartbeat does not replace it again.
    assert!(matches!(
        table.merge_member(3000.0, &MemberRow { incarnation: 6, ..row.clone() }),
        MergeResult::Changed(_)
    ));
    table.merge_member(3100.0, &MemberRow { heartbeat: 9, age_ms: 2000, ..row });
    assert_eq!(table.members(3100.0).next().map(|(r, _)| r.incarnation), Some(6));
}
