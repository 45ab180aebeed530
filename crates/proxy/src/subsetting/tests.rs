//! Tests of the parent module.

use super::*;
use std::collections::BTreeSet;

/// Zones `a1`, `a2`, `a3`, `b1`, ... of regions `a`, `b`, ...
fn zones(regions: usize) -> Vec<(String, String)> {
    let region = |r: usize| char::from(b'a' + r as u8);
    (0..regions)
        .flat_map(|r| (1..=3).map(move |z| (format!("{}{z}", region(r)), region(r).to_string())))
        .collect()
}

fn spread(zones: &[(String, String)], prefix: &str, count: usize) -> Vec<(String, String)> {
    (0..count).map(|i| (format!("{prefix}-{i}"), zones[i % zones.len()].0.clone())).collect()
}

fn borrowed(all: &[(String, String)]) -> Vec<(&str, &str)> {
    all.iter().map(|(a, b)| (a.as_str(), b.as_str())).collect()
}

fn all_selections(
    zones: &[(String, String)],
    limiters: &[(String, String)],
    servers: &[(&str, &str)],
) -> Vec<Vec<bool>> {
    let select =
        |(name, zone): &(String, String)| select_servers(&Placement { zones, name, zone, limiters }, servers);
    limiters.iter().map(select).collect()
}

#[test]
fn all_servers_of_a_small_fleet_are_selected() {
    let zones = zones(2);
    let (limiters, servers) = (spread(&zones, "l", 9), spread(&zones, "s", 12));
    let selections = all_selections(&zones, &limiters, &borrowed(&servers));
    assert!(selections.iter().flatten().all(|taken| *taken));
}

#[test]
fn slices_of_a_large_fleet_cover_servers_evenly_and_reach_each_region() {
    for (regions, limiters, servers) in [(2, 87, 189), (3, 85, 135), (2, 87, 89), (3, 85, 64), (2, 300, 450)]
    {
        let zones = zones(regions);
        let (limiters, servers) = (spread(&zones, "l", limiters), spread(&zones, "s", servers));
        let servers = borrowed(&servers);
        let selections = all_selections(&zones, &limiters, &servers);
        let times = |at: usize, near: bool| {
            let by = limiters
                .iter()
                .zip(&selections)
                .filter(|((_, zone), selection)| selection[at] && (zone == servers[at].1) == near);
            by.count()
        };
        for zone in &zones {
            let of_zone = || (0..servers.len()).filter(|at| servers[*at].1 == zone.0);
            let near: Vec<usize> = of_zone().map(|at| times(at, true)).collect();
            let (least, most) = (near.iter().min().expect("some"), near.iter().max().expect("some"));
            assert!(*least >= 1 && most - least <= 2, "{}: {near:?}", zone.0);
        }
        for (selection, (_, zone)) in selections.iter().zip(&limiters) {
            let count = selection.iter().filter(|taken| **taken).count();
            assert!(count <= 40, "{count}");
            for region in ["a", "b", "c"].iter().take(regions) {
                let there =
                    (0..servers.len()).filter(|at| selection[*at] && servers[*at].1.starts_with(region));
                assert!(
                    there.count() >= FAR_SERVERS,
                    "a limiter in {zone} selects too few servers in region {region}"
                );
            }
        }
    }
}

#[test]
fn adding_or_removing_one_member_changes_few_selections() {
    let zones = zones(2);
    let (limiters, servers) = (spread(&zones, "l", 87), spread(&zones, "s", 189));
    let servers = borrowed(&servers);
    let of = |limiters: &[(String, String)], servers: &[(&str, &str)]| -> BTreeSet<String> {
        let taken = select_servers(&Placement { zones: &zones, name: "l-0", zone: "a1", limiters }, servers);
        let taken = taken.iter().zip(servers).filter(|(taken, _)| **taken);
        taken.map(|(_, (id, _))| (*id).to_owned()).collect()
    };
    let before = of(&limiters, &servers);
    for gone in [1, 30, 60, 86] {
        let mut fewer = limiters.clone();
        fewer.remove(gone);
        let after = of(&fewer, &servers);
        assert!(before.difference(&after).count() <= before.len() / 3, "limiter {gone} removed");
        let mut fewer = servers.clone();
        fewer.remove(gone);
        let after = of(&limiters, &fewer);
        assert!(before.difference(&after).count() <= 3, "server {gone} removed");
    }
}
