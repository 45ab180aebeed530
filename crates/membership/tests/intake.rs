//! Tests of merged sources and of the hold-down of flapping members.

use oatbank_engine::ports::membership::{Member, News};
use oatbank_limiter_core::interface::ServerState;
use oatbank_membership::damping::{Damping, Settings};
use oatbank_membership::intake::{Intake, Standing};
use oatbank_membership::sources::Sources;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};

fn member(id: &str, port: u16) -> Member {
    Member::ready(id, std::net::SocketAddr::from(([127, 0, 0, 1], port)))
}

fn gone(id: &str) -> Member {
    Member { state: ServerState::Gone, address: None, ..member(id, 1) }
}

/// The member list as an engine would hold it.
#[derive(Default)]
struct EngineList(BTreeMap<String, Member>);

impl EngineList {
    fn apply(&mut self, news: Option<News>) {
        match news {
            None => {}
            Some(News::Complete(members) | News::Remembered(members)) => {
                self.0 = members.into_iter().map(|m| (m.id.clone(), m)).collect();
            }
            Some(News::Changes(members)) => members.into_iter().for_each(|m| match m.state {
                ServerState::Gone => _ = self.0.remove(&m.id),
                _ => _ = self.0.insert(m.id.clone(), m),
            }),
        }
    }

    fn ready(&self) -> BTreeSet<&str> {
        self.0.values().filter(|m| m.state == ServerState::Ready).map(|m| m.id.as_str()).collect()
    }
}

fn ids<'a>(of: &[&'a str]) -> BTreeSet<&'a str> {
    of.iter().copied().collect()
}

#[test]
fn a_server_removed_by_its_owner_is_gone_although_a_lower_source_lists_it() {
    let (mut sources, mut list) = (Sources::new(&["tree", "file"]), EngineList::default());
    list.apply(sources.update(1, News::Complete(vec![member("a", 1), member("b", 2), member("c", 3)])));
    assert_eq!(list.ready(), ids(&["a", "b", "c"]), "only the file has sent a list");
    // The same id, and the same address under another id.
    list.apply(sources.update(0, News::Complete(vec![member("a", 1), member("tree-b", 2)])));
    assert_eq!(list.ready(), ids(&["a", "c", "tree-b"]));
    list.apply(sources.update(0, News::Changes(vec![gone("a"), gone("tree-b")])));
    assert_eq!(list.ready(), ids(&["c"]), "an outdated list brings no server back");
    // Repeating the same list changes nothing; removing a server and listing it again does.
    list.apply(sources.update(1, News::Complete(vec![member("a", 1), member("b", 2), member("c", 3)])));
    assert_eq!(list.ready(), ids(&["c"]));
    list.apply(sources.update(1, News::Complete(vec![member("c", 3)])));
    list.apply(sources.update(1, News::Complete(vec![member("a", 1), member("c", 3)])));
    assert_eq!(list.ready(), ids(&["a", "c"]));
}

#[test]
fn every_source_can_drain_the_servers_it_owns() {
    let (mut sources, mut list) = (Sources::new(&["tree", "file"]), EngineList::default());
    list.apply(sources.update(1, News::Complete(vec![member("a", 1), member("b", 2)])));
    let draining = Member { state: ServerState::Draining, ..member("a", 1) };
    list.apply(sources.update(0, News::Complete(vec![draining])));
    assert_eq!(list.ready(), ids(&["b"]));
    let draining = Member { state: ServerState::Draining, ..member("b", 2) };
    list.apply(sources.update(1, News::Changes(vec![draining, member("a", 1)])));
    assert_eq!((list.ready(), list.0.len()), (ids(&[]), 2));
}

#[test]
fn a_remembered_list_counts_until_the_first_complete_list() {
    let mut sources = Sources::new(&["tree", "file"]);
    assert!(
        matches!(sources.update(1, News::Remembered(vec![member("a", 1)])), Some(News::Remembered(m)) if m.len() == 1)
    );
    assert!(
        matches!(sources.update(0, News::Complete(vec![member("b", 2)])), Some(News::Complete(m)) if m.len() == 2)
    );
    assert_eq!(
        sources.update(0, News::Remembered(vec![])),
        None,
        "a remembered list is older than the complete one"
    );
    assert_eq!(sources.update(0, News::Complete(vec![member("b", 2)])), None, "nothing has changed");
}

#[test]
fn the_merged_list_follows_the_ranks_for_random_changes() {
    for seed in 0..500 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut roll = |n: u64| (rng.next_u64() % n) as usize;
        let (mut sources, mut list) = (Sources::new(&["x", "y", "z"]), EngineList::default());
        let mut lists = [const { BTreeMap::<String, Member>::new() }; 3];
        (0..3).for_each(|rank| list.apply(sources.update(rank, News::Complete(Vec::new()))));
        for _ in 0..60 {
            let (rank, which) = (roll(3), roll(6));
            let m = member(&format!("s{which}"), 1 + roll(6) as u16);
            if roll(2) == 0 {
                lists[rank].remove(&m.id);
                list.apply(sources.update(rank, News::Changes(vec![gone(&m.id)])));
            } else {
                lists[rank].insert(m.id.clone(), m.clone());
                list.apply(sources.update(rank, News::Changes(vec![m])));
            }
            // The list of the highest source applies unchanged, and every announced member is listed by some source.
            for (id, m) in &lists[0] {
                assert_eq!(list.0.get(id), Some(m), "seed {seed}");
            }
            for (id, m) in &list.0 {
                assert!(lists.iter().any(|l| l.get(id) == Some(m)), "seed {seed}: {id}");
            }
        }
    }
}

/// Simulates flaps of one of four servers, 100 ms down and 400 ms up, and returns how many changes passed.
fn flap(damping: &mut Damping, list: &mut EngineList, from: f64, times: usize) -> usize {
    let mut passed = 0;
    for i in 0..times {
        let at = from + 500.0 * i as f64;
        for (now, m) in [(at, gone("a")), (at + 100.0, member("a", 1))] {
            let news = damping.update(now, News::Changes(vec![m.clone()]));
            passed += usize::from(news.is_some());
            list.apply(news);
            assert!(m.state == ServerState::Ready || !list.ready().contains("a"), "a removal passes at once");
        }
    }
    passed
}

fn four_servers() -> (Damping, EngineList) {
    let (mut damping, mut list) = (Damping::new(Settings::default()), EngineList::default());
    let all = ["a", "b", "c", "d"].iter().enumerate().map(|(i, id)| member(id, 1 + i as u16)).collect();
    list.apply(damping.update(0.0, News::Complete(all)));
    (damping, list)
}

#[test]
fn one_flap_passes_and_a_minute_of_flapping_is_held_back() {
    let (mut damping, mut list) = four_servers();
    assert_eq!(flap(&mut damping, &mut list, 1000.0, 1), 2);
    assert!(list.ready().contains("a"), "one flap is not held back");
    let passed = flap(&mut damping, &mut list, 2000.0, 120);
    assert!(passed < 12, "{passed} of 240 changes passed in a minute");
    assert_eq!(list.ready(), ids(&["b", "c", "d"]));
    let until = damping.next_due().expect("a time");
    assert!((67_000.0..77_500.0).contains(&until), "released after its last flap at 61.6 s: {until}");
    assert_eq!(damping.release_due(until - 1.0), None);
    list.apply(damping.release_due(until));
    assert!(list.ready().contains("a") && damping.next_due().is_none());
}

#[test]
fn at_least_half_of_the_servers_stay_ready_if_all_flap() {
    let (mut damping, mut list) = four_servers();
    let all = ["a", "b", "c", "d"];
    for i in 0..40 {
        let at = 1000.0 + 500.0 * f64::from(i);
        list.apply(damping.update(at, News::Changes(all.iter().map(|id| gone(id)).collect())));
        assert_eq!(list.ready().len(), 0, "removals always pass");
        let back = all.iter().enumerate().map(|(n, id)| member(id, 1 + n as u16)).collect();
        list.apply(damping.update(at + 100.0, News::Changes(back)));
        assert!(list.ready().len() >= 2, "at least half must be ready: {:?}", list.ready());
    }
}

#[test]
fn rows_show_the_owner_and_the_held_members() {
    let mut intake = Intake::new(&["tree", "file"], Some(Settings::default()));
    intake.update(0.0, 1, News::Complete(vec![member("a", 1), member("b", 2), member("c", 3)]));
    intake.update(0.0, 0, News::Complete(vec![member("a", 1), member("d", 4)]));
    for i in 0..4 {
        let at = 100.0 * f64::from(i);
        intake.update(at, 0, News::Changes(vec![gone("d")]));
        intake.update(at + 50.0, 0, News::Changes(vec![member("d", 4)]));
    }
    let rows: Vec<(String, String, Standing)> =
        intake.rows().into_iter().map(|(row, standing)| (row.source, row.member.id, standing)).collect();
    let has = |source: &str, id: &str, is: fn(&Standing) -> bool| {
        rows.iter().any(|(s, i, standing)| s == source && i == id && is(standing))
    };
    assert!(
        has("tree", "a", |s| *s == Standing::Announced) && has("file", "a", |s| *s == Standing::Shadowed)
    );
    assert!(
        has("file", "b", |s| *s == Standing::Announced)
            && has("tree", "d", |s| matches!(s, Standing::HeldUntil(_)))
    );
    let until = intake.next_due().expect("a time");
    assert!(matches!(intake.release_due(until), Some(News::Changes(m)) if m[0].id == "d"));
}
