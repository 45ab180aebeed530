//! Which servers a limiter sends to: all of a small service, a part of a large one.
//!
//! What one limiter does for itself nine times it must not do ninety times: with all servers in reach each would see each of
//! them every twenty seconds, know none of them, and open a connection for every second request. So each takes a slice of
//! every zone's servers. Servers stand on a ring in the order of their lots; limiters that stand alike to the zone (in it, in
//! its region, elsewhere) take equal slices at equal distances, so that each server is in as many slices as the next, or one
//! more. Who comes or goes moves the slices of others by a place or two.

use std::collections::BTreeMap;

/// Servers of the own zone that a limiter takes.
const NEAR: usize = 10;
/// Of the other zones of the region together.
const REGION: usize = 6;
/// Of each other region: what homes there bind, and what is left where the own region fails.
const FAR: usize = 6;

/// Where limiters and servers stand.
#[derive(Clone, Copy)]
pub struct Ground<'a> {
    /// Zones with their regions.
    pub zones: &'a [(String, String)],
    /// This limiter.
    pub name: &'a str,
    /// Its zone.
    pub zone: &'a str,
    /// The limiters that take clients, with their zones.
    pub limiters: &'a [(String, String)],
}

/// How a limiter stands to a zone.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Way {
    Near,
    Region,
    Far,
}

impl Ground<'_> {
    fn region(&self, zone: &str) -> Option<&str> {
        self.zones.iter().find(|(z, _)| z == zone).map(|(_, region)| region.as_str())
    }

    pub(crate) fn way(&self, from: &str, to: &str) -> Way {
        match () {
            () if from == to => Way::Near,
            () if self.region(from) == self.region(to) => Way::Region,
            () => Way::Far,
        }
    }

    /// This limiter's place among those that stand to this zone as it does, and how many these are.
    fn place(&self, zone: &str) -> (usize, usize) {
        let way = self.way(self.zone, zone);
        let alike =
            self.limiters.iter().filter(|(name, from)| name != self.name && self.way(from, zone) == way);
        let own = (lot(self.name), self.name);
        let (mut before, mut all) = (0, 1);
        for (name, _) in alike {
            all += 1;
            before += usize::from((lot(name), name.as_str()) < own);
        }
        (before, all)
    }
}

pub(crate) fn lot(name: &str) -> u64 {
    let x = name
        .bytes()
        .fold(0xcbf2_9ce4_8422_2325, |x: u64, b| (x ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3));
    (x ^ (x >> 29)).wrapping_mul(0xd6e8_feb8_6659_fd93)
}

/// Which of a service's servers, given by id and zone, this limiter sends to.
pub fn cast(ground: &Ground<'_>, servers: &[(&str, &str)]) -> Vec<bool> {
    let mut by_zone: BTreeMap<&str, Vec<usize>> = BTreeMap::new();
    for (at, (_, zone)) in servers.iter().enumerate() {
        by_zone.entry(zone).or_default().push(at);
    }
    // Zones of the region share what the region gets, as those of another region do.
    let mut stands: BTreeMap<(&str, bool), usize> = BTreeMap::new();
    for zone in by_zone.keys() {
        let near = *zone == ground.zone;
        *stands.entry((ground.region(zone).unwrap_or_default(), near)).or_default() += 1;
    }
    let mut taken = vec![false; servers.len()];
    for (zone, mut ring) in by_zone {
        let way = ground.way(ground.zone, zone);
        let together = match way {
            Way::Near => NEAR,
            Way::Region => REGION,
            Way::Far => FAR,
        };
        let sharing = stands[&(ground.region(zone).unwrap_or_default(), way == Way::Near)];
        let wanted = together.div_ceil(sharing);
        if wanted >= ring.len() {
            ring.iter().for_each(|at| taken[*at] = true);
            continue;
        }
        ring.sort_by_cached_key(|at| (lot(servers[*at].0), servers[*at].0));
        let (place, of) = ground.place(zone);
        let first = place * ring.len() / of;
        (0..wanted).for_each(|i| taken[ring[(first + i) % ring.len()]] = true);
    }
    taken
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::collections::BTreeSet;

    /// Zones `a1`, `a2`, `a3`, `b1`, ... of regions `a`, `b`, ...
    fn zones(regions: usize) -> Vec<(String, String)> {
        let region = |r: usize| char::from(b'a' + r as u8);
        (0..regions)
            .flat_map(|r| (1..=3).map(move |z| (format!("{}{z}", region(r)), region(r).to_string())))
            .collect()
    }

    fn spread(zones: &[(String, String)], what: &str, many: usize) -> Vec<(String, String)> {
        (0..many).map(|i| (format!("{what}-{i}"), zones[i % zones.len()].0.clone())).collect()
    }

    fn borrowed(all: &[(String, String)]) -> Vec<(&str, &str)> {
        all.iter().map(|(a, b)| (a.as_str(), b.as_str())).collect()
    }

    fn all_casts(
        zones: &[(String, String)],
        limiters: &[(String, String)],
        servers: &[(&str, &str)],
    ) -> Vec<Vec<bool>> {
        let each = |(name, zone): &(String, String)| cast(&Ground { zones, name, zone, limiters }, servers);
        limiters.iter().map(each).collect()
    }

    #[test]
    fn a_small_fleet_takes_all() {
        let zones = zones(2);
        let (limiters, servers) = (spread(&zones, "l", 9), spread(&zones, "s", 12));
        let casts = all_casts(&zones, &limiters, &borrowed(&servers));
        assert!(casts.iter().flatten().all(|taken| *taken));
    }

    #[test]
    fn a_large_fleet_takes_slices_that_cover_each_server_evenly_and_each_region() {
        for (regions, limiters, servers) in
            [(2, 87, 189), (3, 85, 135), (2, 87, 89), (3, 85, 64), (2, 300, 450)]
        {
            let zones = zones(regions);
            let (limiters, servers) = (spread(&zones, "l", limiters), spread(&zones, "s", servers));
            let servers = borrowed(&servers);
            let casts = all_casts(&zones, &limiters, &servers);
            let times = |at: usize, near: bool| {
                let by = limiters
                    .iter()
                    .zip(&casts)
                    .filter(|((_, zone), cast)| cast[at] && (zone == servers[at].1) == near);
                by.count()
            };
            for zone in &zones {
                let of_zone = || (0..servers.len()).filter(|at| servers[*at].1 == zone.0);
                let near: Vec<usize> = of_zone().map(|at| times(at, true)).collect();
                let (least, most) = (near.iter().min().expect("some"), near.iter().max().expect("some"));
                assert!(*least >= 1 && most - least <= 2, "{}: {near:?}", zone.0);
            }
            for (cast, (_, zone)) in casts.iter().zip(&limiters) {
                let many = cast.iter().filter(|taken| **taken).count();
                assert!(many <= 40, "{many}");
                for region in ["a", "b", "c"].iter().take(regions) {
                    let there =
                        (0..servers.len()).filter(|at| cast[*at] && servers[*at].1.starts_with(region));
                    assert!(there.count() >= FAR, "{zone} reaches too few of {region}");
                }
            }
        }
    }

    #[test]
    fn who_comes_or_goes_moves_little() {
        let zones = zones(2);
        let (limiters, servers) = (spread(&zones, "l", 87), spread(&zones, "s", 189));
        let servers = borrowed(&servers);
        let of = |limiters: &[(String, String)], servers: &[(&str, &str)]| -> BTreeSet<String> {
            let taken = cast(&Ground { zones: &zones, name: "l-0", zone: "a1", limiters }, servers);
            let taken = taken.iter().zip(servers).filter(|(taken, _)| **taken);
            taken.map(|(_, (id, _))| (*id).to_owned()).collect()
        };
        let before = of(&limiters, &servers);
        for gone in [1, 30, 60, 86] {
            let mut fewer = limiters.clone();
            fewer.remove(gone);
            let after = of(&fewer, &servers);
            assert!(before.difference(&after).count() <= before.len() / 3, "limiter {gone}");
            let mut fewer = servers.clone();
            fewer.remove(gone);
            let after = of(&limiters, &fewer);
            assert!(before.difference(&after).count() <= 3, "server {gone}");
        }
    }
}
