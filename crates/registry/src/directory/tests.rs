//! Tests of the parent module.

use super::*;

fn member(zone: &str, region: &str, front: &str) -> MemberRow {
    let state = member_state::READY;
    MemberRow { zone: zone.into(), region: region.into(), front: front.into(), state, ..MemberRow::default() }
}

#[test]
fn limiters_of_the_zone_come_first_then_the_region_then_all() {
    let rows =
        [member("a1", "a", "1"), member("a1", "a", "2"), member("a2", "a", "3"), member("b1", "b", "4")];
    let ask = |zone: &str, region: &str| fronts(rows.iter().map(|r| (r, 10.0)), zone, region);
    assert_eq!(ask("a1", "a"), ["1", "2"]);
    assert_eq!(ask("a2", "a"), ["1", "2", "3"]);
    assert_eq!(ask("b2", "b"), ["4"]);
    assert_eq!(ask("c1", "c"), ["1", "2", "3", "4"]);
}

#[test]
fn limiters_that_are_not_ready_or_silent_are_omitted() {
    let good = member("a", "a", "1");
    let bad = [
        (MemberRow { state: member_state::STARTING, ..good.clone() }, 10.0),
        (MemberRow { state: member_state::LEAVING, ..good.clone() }, 10.0),
        (MemberRow { expired: true, ..good.clone() }, 10.0),
        (good.clone(), SESSION_TIMEOUT),
    ];
    assert!(fronts(bad.iter().map(|(r, ago)| (r, *ago)), "a", "a").is_empty());
}
