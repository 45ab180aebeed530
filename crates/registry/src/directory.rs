//! Selects the limiters that a client lookup returns (`GET /lookup`).

use oatbank_cluster_state::messages::MemberRow;
use oatbank_cluster_state::state::{member_state, Millis, SESSION_TIMEOUT};

/// Maximum number of limiters in an answer.
const MAX_NAMED: usize = 64;
/// Minimum number of limiters in an answer, if there are as many, so that a client can fail over.
const MIN_NAMED: usize = 2;

/// Returns the addresses of the ready limiters for a client in this zone and region: those of the zone, those of the region
/// if the zone has too few, and all of them if the region has none. `members` pairs each limiter with the time since its last
/// heartbeat, ms.
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
