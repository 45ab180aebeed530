//! Tests of the known servers and their numbers.

use super::*;

fn member(id: &str) -> Member {
    Member::ready(id, "127.0.0.1:80".parse().expect("an address"))
}

#[test]
fn zone_shares_of_all_limiters_add_up_at_each_server() {
    let shares = |n: u32, part: f64| Shares { parts: [(0, part)].into(), place: f64::from(n) / 24.0 };
    for part in [0.0, 1.0 / 24.0, 0.25, 0.5, 1.0] {
        for id in ["engine-1", "engine-2", "engine-3"] {
            let using = (0..24).filter(|n| !shares(*n, part).excludes(id, 0)).count();
            assert_eq!(using, (24.0 * part) as usize, "{id}, {part}");
        }
    }
    assert!(!shares(3, 0.0).excludes("engine-1", 1), "another zone");
}

#[test]
fn a_complete_list_removes_missing_servers_and_a_delta_does_not() {
    let mut fleet = Fleet::default();
    fleet.apply(&News::Complete(vec![member("s-00000001"), member("s-00000002")]), &[]);
    fleet.apply(&News::Changes(vec![member("s-00000003")]), &[]);
    let ids = ["s-00000001", "s-00000002", "s-00000003"];
    let numbers = ids.map(|id| fleet.number(id));
    assert_eq!(numbers.map(|n| fleet.is_ready(n)), [true; 3]);
    fleet.apply(&News::Complete(vec![member("s-00000002")]), &[]);
    assert_eq!(numbers.map(|n| fleet.is_ready(n)), [false, true, false]);
    assert_eq!(fleet.numbers.len(), 1, "removed servers are forgotten");
}

/// Numbers assigned to a complete list, in the order of the ids.
fn numbers(fleet: &mut Fleet, ids: &[&str]) -> Vec<ServerId> {
    let (_, entries) = fleet.apply(&News::Complete(ids.iter().map(|id| member(id)).collect()), &[]);
    assert_eq!(entries.len(), ids.len(), "no server is left out");
    let mut ids = ids.to_vec();
    ids.sort_unstable();
    ids.iter().map(|id| fleet.number(id)).collect()
}

#[test]
fn ids_with_colliding_32_bit_hashes_get_distinct_numbers() {
    // Ids with the same last eight digits, and two with the same 32-bit FNV-1a hash.
    for pair in [["s-00000001", "x-00000001"], ["costarring", "liquid"]] {
        let assigned = numbers(&mut Fleet::default(), &pair);
        assert_ne!(assigned[0], assigned[1], "{pair:?}");
    }
}

#[test]
fn colliding_ids_get_the_same_distinct_numbers_at_every_limiter() {
    // The first candidate of every id is 7, the next ones depend on the id.
    let colliding_fleet = || Fleet {
        hash: |id, nth| if nth == 0 { 7 } else { 100 * nth + id.len() as u64 },
        ..Fleet::default()
    };
    let (mut here, mut there) = (colliding_fleet(), colliding_fleet());
    let assigned = numbers(&mut here, &["a", "bb", "ccc"]);
    assert_eq!(assigned, [7, 102, 103].map(ServerId));
    assert_eq!(numbers(&mut there, &["ccc", "a", "bb"]), assigned, "independent of the order of the list");
    // A remaining server keeps its number when the others are removed, and a new one takes a free number.
    assert_eq!(numbers(&mut here, &["ccc"]), [ServerId(103)]);
    assert_eq!(numbers(&mut here, &["ccc", "dddd"]), [103, 7].map(ServerId));
}

#[test]
fn a_server_without_an_address_is_left_out() {
    let mut fleet = Fleet::default();
    let nowhere = Member { address: None, ..member("s-00000002") };
    let (_, entries) = fleet.apply(&News::Complete(vec![member("s-00000001"), nowhere]), &[]);
    assert_eq!(entries.len(), 1);
    let gone = Member { state: ServerState::Gone, address: None, ..member("s-00000001") };
    assert_eq!(
        fleet.apply(&News::Changes(vec![gone]), &[]).1.len(),
        1,
        "a server that is gone needs no address"
    );
    assert!(fleet.is_empty());
}
