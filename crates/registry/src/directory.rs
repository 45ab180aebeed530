//! Which limiters a client is sent to.

use oatbank_cluster_state::messages::MemberRow;
use oatbank_cluster_state::state::{member_state, Millis, SESSION};

/// The most that are named.
const MOST: usize = 64;
/// A client that one limiter has failed needs another: so many are named where there are.
const LEAST: usize = 2;

/// The fronts for a client of this zone and region: those of its zone, with others of its region where these are too few,
/// and all where its region has none. A word of a session may take a while to get here: `slack`.
pub fn fronts<'a>(
    members: impl Iterator<Item = (&'a MemberRow, Millis)>,
    zone: &str,
    region: &str,
) -> Vec<String> {
    let able = |(row, ago): &(&MemberRow, Millis)| {
        row.state == member_state::READY && !row.lapsed && *ago < SESSION && !row.front.is_empty()
    };
    let able: Vec<&MemberRow> = members.filter(able).map(|(row, _)| row).collect();
    let near: Vec<&MemberRow> = able.iter().copied().filter(|r| r.zone == zone).collect();
    let around: Vec<&MemberRow> = able.iter().copied().filter(|r| r.region == region).collect();
    let chosen = if near.len() >= LEAST {
        near
    } else if !around.is_empty() {
        around
    } else {
        able
    };
    chosen.iter().take(MOST).map(|r| r.front.clone()).collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    fn member(zone: &str, region: &str, front: &str) -> MemberRow {
        let state = member_state::READY;
        MemberRow {
            zone: zone.into(),
            region: region.into(),
            front: front.into(),
            state,
            ..MemberRow::default()
        }
    }

    #[test]
    fn near_ones_are_named_and_others_where_these_are_too_few() {
        let rows =
            [member("a1", "a", "1"), member("a1", "a", "2"), member("a2", "a", "3"), member("b1", "b", "4")];
        let ask = |zone: &str, region: &str| fronts(rows.iter().map(|r| (r, 10.0)), zone, region);
        assert_eq!(ask("a1", "a"), ["1", "2"]);
        assert_eq!(ask("a2", "a"), ["1", "2", "3"]);
        assert_eq!(ask("b2", "b"), ["4"]);
        assert_eq!(ask("c1", "c"), ["1", "2", "3", "4"]);
    }

    #[test]
    fn who_is_not_ready_or_was_not_heard_is_not_named() {
        let good = member("a", "a", "1");
        let bad = [
            (MemberRow { state: member_state::STARTING, ..good.clone() }, 10.0),
            (MemberRow { state: member_state::LEAVING, ..good.clone() }, 10.0),
            (MemberRow { lapsed: true, ..good.clone() }, 10.0),
            (good.clone(), SESSION),
        ];
        assert!(fronts(bad.iter().map(|(r, ago)| (r, *ago)), "a", "a").is_empty());
    }
}
