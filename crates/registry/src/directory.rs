//! Which limiters a client is told of (`GET /lookup`).

use oatbank_cluster_state::messages::MemberRow;
use oatbank_cluster_state::state::{member_state, Millis, SESSION_TIMEOUT};

/// The most limiters that are named.
const MAX_NAMED: usize = 64;
/// A client that one limiter has failed needs another: so many are named where there are as many.
const MIN_NAMED: usize = 2;

/// The addresses for a client of this zone and region: limiters of its zone, of its region if these are too few, and all
/// if its region has none. `members` are limiters with how long ago each was heard, ms.
pub fn fronts<'a>(
    members: impl Iterator<Item = (&'a MemberRow, Millis)>,
    zone: &str,
    region: &str,
) -> Vec<String> {
    let is_usable = |(row, age): &(&MemberRow, Millis)| {
        row.state == member_state::READY && !row.expired && *age < SESSION_TIMEOUT && !row.front.is_empty()
    };
    let usable: Vec<&MemberRow> = members.filter(is_usable).map(|(row, _)| row).collect();
    let in_zone: Vec<&MemberRow> = usable.iter().copied().filter(|row| row.zone == zone).collect();
    let in_region: Vec<&MemberRow> = usable.iter().copied().filter(|row| row.region == region).collect();
    let chosen = if in_zone.len() >= MIN_NAMED {
        in_zone
    } else if !in_region.is_empty() {
        in_region
    } else {
        usable
    };
    chosen.iter().take(MAX_NAMED).map(|row| row.front.clone()).collect()
}

#[cfg(test)]
mod tests;
