//! Subsetting: which servers a limiter sends requests to. These are all servers of a small service and a subset of a large one.
//!
//! If each of ninety limiters used all servers, it would reach every server once in twenty seconds, too rarely to estimate its
//! load, and would open a connection for every second request. Therefore each limiter uses a slice of every zone's servers. The
//! servers of a zone form a ring in the order of their hashes. Limiters at the same distance from the zone (same zone, same
//! region, elsewhere) use slices of equal length at equal intervals, so that their load on the servers differs by at most one
//! limiter. Adding or removing a limiter shifts other slices by one or two servers.

use std::collections::BTreeMap;

/// Number of servers selected in the limiter's own zone.
const NEAR_SERVERS: usize = 10;
/// Number of servers selected in the other zones of the region together.
const REGION_SERVERS: usize = 6;
/// Number of servers selected in each other region, for routes with homes there and for failover.
const FAR_SERVERS: usize = 6;

/// Zones of this limiter and of all limiters that divide the servers.
#[derive(Clone, Copy)]
pub struct Placement<'a> {
    /// Zones with their regions.
    pub zones: &'a [(String, String)],
    /// The name of this limiter.
    pub name: &'a str,
    /// Its zone.
    pub zone: &'a str,
    /// Names and zones of the limiters that divide the servers.
    pub limiters: &'a [(String, String)],
}

/// Distance between two zones.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Distance {
    SameZone,
    SameRegion,
    OtherRegion,
}

/// Index of a limiter among those at the same distance from a zone, and their number.
struct Rank {
    index: usize,
    count: usize,
}

impl Placement<'_> {
    fn region(&self, zone: &str) -> Option<&str> {
        self.zones.iter().find(|(name, _)| name == zone).map(|(_, region)| region.as_str())
    }

    pub(crate) fn distance(&self, from: &str, to: &str) -> Distance {
        if from == to {
            Distance::SameZone
        } else if self.region(from) == self.region(to) {
            Distance::SameRegion
        } else {
            Distance::OtherRegion
        }
    }

    /// Rank of this limiter among the limiters at its distance from this zone, in hash order.
    fn rank(&self, zone: &str) -> Rank {
        let distance = self.distance(self.zone, zone);
        let is_peer =
            |(name, from): &&(String, String)| name != self.name && self.distance(from, zone) == distance;
        let own = (name_hash(self.name), self.name);
        let mut rank = Rank { index: 0, count: 1 };
        for (name, _) in self.limiters.iter().filter(is_peer) {
            rank.count += 1;
            rank.index += usize::from((name_hash(name), name.as_str()) < own);
        }
        rank
    }
}

/// A well-mixed hash of a name that is stable across processes and versions.
pub(crate) fn name_hash(name: &str) -> u64 {
    let x = name
        .bytes()
        .fold(0xcbf2_9ce4_8422_2325, |x: u64, byte| (x ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3));
    (x ^ (x >> 29)).wrapping_mul(0xd6e8_feb8_6659_fd93)
}

/// Selects the servers, given by id and zone, that this limiter sends requests to. Returns one flag per server, in order.
pub fn select_servers(placement: &Placement<'_>, servers: &[(&str, &str)]) -> Vec<bool> {
    let mut by_zone: BTreeMap<&str, Vec<usize>> = BTreeMap::new();
    for (index, (_, zone)) in servers.iter().enumerate() {
        by_zone.entry(zone).or_default().push(index);
    }
    // The zones of a region share the region's number of servers; the limiter's own zone has a number of its own.
    let group = |zone: &str| (placement.region(zone).unwrap_or_default(), zone == placement.zone);
    let mut zones_of_group: BTreeMap<(&str, bool), usize> = BTreeMap::new();
    for zone in by_zone.keys() {
        *zones_of_group.entry(group(zone)).or_default() += 1;
    }
    let mut is_selected = vec![false; servers.len()];
    for (zone, mut ring) in by_zone {
        let of_group = match placement.distance(placement.zone, zone) {
            Distance::SameZone => NEAR_SERVERS,
            Distance::SameRegion => REGION_SERVERS,
            Distance::OtherRegion => FAR_SERVERS,
        };
        let wanted = of_group.div_ceil(zones_of_group[&group(zone)]);
        if wanted >= ring.len() {
            ring.iter().for_each(|index| is_selected[*index] = true);
            continue;
        }
        ring.sort_by_cached_key(|index| (name_hash(servers[*index].0), servers[*index].0));
        let rank = placement.rank(zone);
        let first = rank.index * ring.len() / rank.count;
        (0..wanted).for_each(|offset| is_selected[ring[(first + offset) % ring.len()]] = true);
    }
    is_selected
}

#[cfg(test)]
mod tests;
