//! Assigns counters to owners by rendezvous hashing over the limiters that may be active.

use crate::quota_partition::owns_counters;
use oatbank_cluster_state::cluster_view::ClusterView;
use oatbank_cluster_state::state::member_state;
use std::net::SocketAddr;

/// The owner of a counter: the limiter with the highest score for the counter's number; `None` without limiters. Adding or
/// removing a limiter moves only that limiter's counters.
pub fn owner_of<'a>(number: u64, names: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    names.max_by_key(|name| (score(number, name), *name))
}

/// Whether the limiter of this name is leaving.
fn is_leaving(view: &ClusterView, name: &str) -> bool {
    view.with(|table, _| table.member(name).is_some_and(|row| row.state == member_state::LEAVING))
}

/// Sorted names of the limiters that own counters, as known to the limiter of this name.
pub fn owner_names(view: &ClusterView, own_name: &str) -> Vec<String> {
    // A limiter without a connection to the core's majority counts alone: see `QuotaPartition`.
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

/// Fingerprint of a limiter that counts alone.
pub const ALONE: u64 = 0;

/// A hash of [`owner_names`] that is computed without copying the names: it is checked often, also with thousands of limiters.
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

/// RPC address of a counter's owner, as known to the limiter of this name; `None` if that is the limiter itself or the address
/// cannot be parsed.
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
