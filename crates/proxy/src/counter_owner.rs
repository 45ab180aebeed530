//! Which limiter owns a counter, by rendezvous hashing over the limiters that may be active.

use crate::quota_partition::owns_counters;
use oatbank_cluster_state::cluster_view::ClusterView;
use oatbank_cluster_state::state::member_state;
use std::net::SocketAddr;

/// The owner of a counter: each limiter has a score by its name and the counter's number, and the highest wins. When a limiter
/// comes or goes, only its own counters change hands.
pub fn owner_of<'a>(number: u64, names: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    names.max_by_key(|name| (score(number, name), *name))
}

/// Whether the limiter of this name has said that it ends.
fn is_leaving(view: &ClusterView, name: &str) -> bool {
    view.with(|table, _| table.member(name).is_some_and(|row| row.state == member_state::LEAVING))
}

/// The limiters that own counters as known to the limiter of this name, in order.
pub fn owner_names(view: &ClusterView, own_name: &str) -> Vec<String> {
    // A limiter that is not in touch counts alone: see `QuotaPartition`.
    if !view.in_touch() {
        return vec![own_name.to_owned()];
    }
    let mut names: Vec<String> = view.with(|table, now| {
        let owning = table.members(now).filter(|(row, age)| owns_counters(row, *age));
        owning.map(|(row, _)| row.name.clone()).collect()
    });
    if names.is_empty() || !is_leaving(view, own_name) {
        names.push(own_name.to_owned());
    }
    names.sort_unstable();
    names.dedup();
    names
}

/// The fingerprint of the owners as known to a limiter that counts alone.
pub const ALONE: u64 = 0;

/// A number that differs when [`owner_names`] does, without the names: with thousands of limiters it is looked at often.
pub fn owners_fingerprint(view: &ClusterView, own_name: &str) -> u64 {
    if !view.in_touch() {
        return ALONE;
    }
    let own = if is_leaving(view, own_name) { 1 } else { 2 };
    view.with(|table, now| {
        let owning = table.members(now).filter(|(row, age)| owns_counters(row, *age));
        owning.fold(own, |sum: u64, (row, _)| sum.wrapping_add(score(1, &row.name) << 1))
    })
}

/// Where the owner of a counter answers, as known to the limiter of this name; `None`: that limiter itself.
pub fn owner_address(view: &ClusterView, own_name: &str, number: u64) -> Option<SocketAddr> {
    if !view.in_touch() {
        return None;
    }
    let own = (!is_leaving(view, own_name)).then_some(own_name);
    view.with(|table, now| {
        let members = || table.members(now).filter(|(row, age)| owns_counters(row, *age));
        let owner = owner_of(number, members().map(|(row, _)| row.name.as_str()).chain(own))?;
        let row = members().find(|(row, _)| row.name == owner && row.name != own_name)?.0;
        row.inner.parse().ok()
    })
}

fn score(number: u64, name: &str) -> u64 {
    let mix = |x: u64, y: u64| (x ^ y).wrapping_mul(0x9e37_79b9_7f4a_7c15).rotate_left(29);
    let x = name.bytes().fold(number, |x, byte| mix(x, u64::from(byte)));
    mix(x ^ (x >> 31), number).wrapping_mul(0xd6e8_feb8_6659_fd93) >> 1
}

#[cfg(test)]
mod tests;
