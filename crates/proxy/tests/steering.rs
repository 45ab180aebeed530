//! Proxies that steer away from unhealthy servers together, in virtual time and from fixed seeds: the decision
//! modules, eyes, judges and books that run in service, before servers and links that are played here. What
//! the checker counts it sees at the servers and in the proxies' standings alone.

use oatbank_cluster_state::messages::{MemberRow, ObservationRow, ServerRow};
use oatbank_cluster_state::state::{member_state, MergeResult, StateTable};
use oatbank_engine::engine::Finished;
use oatbank_limiter_core::interface::*;
use oatbank_limiter_core::logic::Gateway;
use oatbank_node_runtime::settings::Settings as Node;
use oatbank_proxy::limiter_settings;
use oatbank_proxy::outlier_ejection::OutlierEjection;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, HashMap};

const ZONES: [(&str, &str); 4] =
    [("akl-penrose", "akl"), ("akl-eastt", "akl"), ("chc-hornby", "chc"), ("chc-sockburn", "chc")];
/// The trouble begins here, ms, and the day ends there.
const ONSET: f64 = 6000.0;
const END: f64 = 24_000.0;
const AIM: f64 = 600.0;
const WORK: f64 = 100.0;
const BOARDS: usize = 3;

/// What a server does with an attempt: how it ends and how long that takes.
type Does<'a> = &'a dyn Fn(&Try) -> (Outcome, f64);

/// An attempt as a server sees it.
struct Try {
    server: usize,
    at: f64,
    /// Of the proxy.
    zone: usize,
    /// A chance in 0 to 1, and a usual answer time.
    roll: f64,
    usual: f64,
}

struct Day<'a> {
    proxies: usize,
    servers: usize,
    rate: f64,
    seed: u64,
    does: Does<'a>,
    /// Proxies tell each other, and heed it.
    shared: bool,
    /// Their decision modules are told; without, the checker has to find it.
    heeded: bool,
    /// Rows are told again by one of the boards, this much later, ms.
    repeats: f64,
    /// This proxy neither reads nor does anything from the onset on.
    frozen: Option<usize>,
}

impl Default for Day<'_> {
    fn default() -> Self {
        let does: Does = &|t| well(t);
        Day {
            proxies: 9,
            servers: 12,
            rate: 90.0,
            seed: 1,
            does,
            shared: true,
            heeded: true,
            repeats: 0.0,
            frozen: None,
        }
    }
}

fn well(t: &Try) -> (Outcome, f64) {
    (if t.roll < 0.015 { Outcome::Error } else { Outcome::Ok }, t.usual)
}

/// What was seen of a day.
#[derive(Default)]
struct Report {
    /// When the first attempt failed or was slow after the onset, by server.
    first: BTreeMap<usize, f64>,
    /// When a proxy first used a server as not well after that.
    effect: BTreeMap<(usize, usize), f64>,
    /// Changes after which a proxy used a server as not well, by server.
    doubted: BTreeMap<usize, u32>,
    /// Looks at which a proxy left more than an eighth of the servers.
    beyond: u32,
    /// Sends of what runs once to a server that this proxy knew not to be well, while others were.
    once_to_unhealthy: u32,
    /// Sends to each server after the onset, by second.
    sends: HashMap<(usize, u64), u32>,
    /// Requests after the onset: all, and those that earned nothing.
    asked: u32,
    lost: u32,
    /// Requests that were answered after their aim.
    late: u32,
    /// No server was found for these at once.
    unsent: u32,
    /// Rows told, and their bytes.
    rows: u32,
    bytes: usize,
    /// What runs once and ran again.
    ran_twice: u32,
    /// Servers that are not well at the end, over all proxies.
    left_at_end: usize,
}

impl Report {
    /// From the first failure to the effect at this share of the proxies, ms.
    fn span(&self, server: usize, share: f64, proxies: usize) -> f64 {
        let Some(first) = self.first.get(&server) else { return f64::INFINITY };
        let at = |p| self.effect.get(&(p, server)).map_or(f64::INFINITY, |at| at - first);
        let mut spans: Vec<f64> = (0..proxies).map(at).collect();
        spans.sort_by(f64::total_cmp);
        spans[((proxies as f64 * share) as usize).min(proxies - 1)]
    }

    fn sent(&self, server: usize, from: u64, to: u64) -> u32 {
        (from..to).map(|s| self.sends.get(&(server, s)).copied().unwrap_or(0)).sum()
    }
}

enum What {
    Request(usize),
    Module(usize, Event),
    EndKind { proxy: usize, id: RequestId, attempt: u8, outcome: Outcome },
    Row { to: usize, row: ObservationRow, at: f64 },
    Look(usize),
}

struct Proxy {
    gateway: Gateway,
    outlier_ejection: OutlierEjection,
    table: StateTable,
    node: Node,
    zone: usize,
    ends: Vec<Finished>,
    open: HashMap<RequestId, Asked>,
}

struct Asked {
    at: f64,
    attempts: Vec<(usize, f64, bool)>,
    once: bool,
    over: bool,
    ran: u32,
}

fn id(server: usize) -> String {
    format!("i-{server:03}")
}

fn entries(now: f64, servers: usize, outlier_ejection: &OutlierEjection, heed: bool) -> Vec<ServerEntry> {
    let entry = |n: usize| ServerEntry {
        server: ServerId(n as u64),
        weight: 1.0,
        zone: (n % ZONES.len()) as u16,
        standing: if heed { outlier_ejection.standing(now, "s", &id(n)) } else { Standing::Well },
        ..ServerEntry::default()
    };
    (0..servers).map(entry).collect()
}

fn play(day: &Day) -> Report {
    let base = include_str!("../../node-runtime/tests/node.toml");
    let mut rng = Pcg64Mcg::seed_from_u64(day.seed);
    let mut chance = move || (f64::from(rng.next_u32()) + 1.0) / (f64::from(u32::MAX) + 2.0);
    let mut tables: Vec<StateTable> =
        (0..day.proxies + BOARDS).map(|n| StateTable::new(n as u64 + 1, 1500.0, 0.0)).collect();
    for table in &mut tables {
        for n in 0..day.servers {
            let zone = ZONES[n % ZONES.len()].0.to_owned();
            let row =
                ServerRow { id: id(n), service: "s".into(), zone, call_count: 1, ..ServerRow::default() };
            table.merge_server(0.0, &row);
        }
        for n in 0..day.proxies {
            let (zone, region) = ZONES[n % ZONES.len()];
            let (name, state) = (format!("edge-{n}"), member_state::READY);
            let (zone, region) = (zone.into(), region.into());
            let row =
                MemberRow { name, incarnation: 7, heartbeat: 1, zone, region, state, ..MemberRow::default() };
            table.merge_member(0.0, &row);
        }
    }
    let boards = tables.split_off(day.proxies);
    let mut boards: Vec<StateTable> = boards;
    let class = |repeat| Class { target: AIM, deadline: 2500.0, worth: 1.0, repeat, ..Class::default() };
    let mut proxies: Vec<Proxy> = tables
        .into_iter()
        .enumerate()
        .map(|(n, table)| {
            let at = n % ZONES.len();
            let mut node = Node::parse(base).expect("settings");
            (node.node_name, node.zone) = (format!("edge-{n}"), ZONES[at].0.to_owned());
            node.region = ZONES[at].1.to_owned();
            node.zones = ZONES.iter().map(|(z, r)| ((*z).to_owned(), (*r).to_owned())).collect();
            let mut settings = limiter_settings::settings(&node, day.proxies as f64, 0.0, 0.0);
            settings.classes = vec![class(Repeat::Safe), class(Repeat::Unsafe)];
            let gateway = Gateway::new(settings, day.seed << 8 | n as u64);
            let (outlier_ejection, open) = (OutlierEjection::default(), HashMap::new());
            Proxy { gateway, outlier_ejection, table, node, zone: at, ends: Vec::new(), open }
        })
        .collect();

    let (mut due, mut serial) = (BTreeMap::<(u64, u64), What>::new(), 0u64);
    let mut post = |due: &mut BTreeMap<(u64, u64), What>, at: f64, what: What| {
        serial += 1;
        due.insert(((at * 1000.0) as u64, serial), what);
    };
    for (n, proxy) in proxies.iter().enumerate() {
        let list = entries(0.0, day.servers, &proxy.outlier_ejection, false);
        let event = Event::Servers { update: ListUpdate::Full, entries: list };
        post(&mut due, 1.0, What::Module(n, event));
        post(&mut due, 2.0 + n as f64, What::Request(n));
        post(&mut due, 50.0 * chance(), What::Look(n));
    }
    let (mut report, mut number) = (Report::default(), 0u32);
    let frozen = |n: usize, now: f64| day.frozen == Some(n) && now >= ONSET;
    while let Some(((at, _), what)) = due.pop_first() {
        let now = at as f64 / 1000.0;
        if now > END {
            break;
        }
        let (n, event) = match what {
            What::Row { to, row, at } if to >= day.proxies => {
                // A board: what is new goes to all others.
                let board = to - day.proxies;
                let observation_row = ObservationRow { ago: (now - at) as u32, ..row };
                let before = boards[board].sequence();
                let wakes = boards[board].merge_observation(now, &observation_row) != MergeResult::Unchanged;
                if boards[board].sequence() == before {
                    continue;
                }
                let ways =
                    (0..day.proxies).chain((0..BOARDS).filter(|b| *b != board).map(|b| day.proxies + b));
                for to in ways {
                    report.bytes += prost_len(&observation_row);
                    // What wakes nobody waits for the next call.
                    let delay =
                        if wakes { 0.0 } else { [200.0, 600.0][usize::from(to < day.proxies)] * chance() };
                    let distance = delay + 2.0 + 35.0 * chance() + if chance() < 0.05 { 300.0 } else { 0.0 };
                    post(&mut due, now + distance, What::Row { to, row: observation_row.clone(), at });
                    if day.repeats > 0.0 && board == 0 {
                        post(&mut due, now + day.repeats, What::Row { to, row: observation_row.clone(), at });
                    }
                }
                continue;
            }
            What::Row { to, row, at } => {
                if !frozen(to, now) {
                    let observation_row = ObservationRow { ago: (now - at) as u32, ..row };
                    proxies[to].table.merge_observation(now, &observation_row);
                }
                continue;
            }
            What::Look(n) => {
                post(&mut due, now + 50.0, What::Look(n));
                if frozen(n, now) {
                    continue;
                }
                let p = &mut proxies[n];
                let ends = std::mem::take(&mut p.ends);
                if !ends.is_empty() {
                    p.outlier_ejection.record_ends(now, "s", &["read".into(), "once".into()], &ends);
                }
                if !day.shared || !p.outlier_ejection.is_due(now, &p.table) {
                    continue;
                }
                for row in p.outlier_ejection.observations(now, &p.table, &p.node.node_name, 7) {
                    p.table.merge_observation(now, &row);
                    report.rows += 1;
                    let to = day.proxies + n % BOARDS;
                    let delay = if row.is_strong() { 0.0 } else { 600.0 * chance() };
                    post(&mut due, now + delay + 2.0 + 35.0 * chance(), What::Row { to, row, at: now });
                }
                let changed = p.outlier_ejection.evaluate(now, now, &p.table, &p.node);
                if !changed {
                    continue;
                }
                let list = entries(now, day.servers, &p.outlier_ejection, true);
                let left = |e: &&ServerEntry| !matches!(e.standing, Standing::Well | Standing::Returning);
                report.beyond += u32::from(list.iter().filter(left).count() > (day.servers / 8).max(1));
                for e in list.iter().filter(left) {
                    let server = e.server.0 as usize;
                    *report.doubted.entry(server).or_default() += 1;
                    if report.first.contains_key(&server) {
                        report.effect.entry((n, server)).or_insert(now);
                    }
                }
                let entries =
                    if day.heeded { list } else { entries(now, day.servers, &p.outlier_ejection, false) };
                (n, Event::Servers { update: ListUpdate::Full, entries })
            }
            What::Request(n) => {
                let gap = -chance().ln() * 1000.0 * day.proxies as f64 / day.rate;
                post(&mut due, now + gap, What::Request(n));
                if frozen(n, now) {
                    continue;
                }
                number += 1;
                let (id, once) = (RequestId(number), number % 4 == 0);
                let asked = Asked { at: now, attempts: Vec::new(), once, over: false, ran: 0 };
                proxies[n].open.insert(id, asked);
                report.asked += u32::from(now > ONSET);
                let class = ClassId(usize::from(once));
                let request =
                    Request { id, class, units: 1.0, time_left: 2480.0, spread: 1.0, ..Request::default() };
                (n, Event::Request(request))
            }
            What::Module(n, event) => (n, event),
            What::EndKind { proxy: n, id, attempt, outcome } => {
                let p = &mut proxies[n];
                let Some(asked) = p.open.get_mut(&id) else { continue };
                let Some((server, sent, live)) = asked.attempts.get_mut(usize::from(attempt)) else {
                    continue;
                };
                if !std::mem::replace(live, false) {
                    continue;
                }
                let (server, took, complete) = (*server, now - *sent, asked.over || outcome == Outcome::Ok);
                if now > ONSET
                    && (outcome != Outcome::Ok && outcome != Outcome::Cancelled || took > 3.0 * WORK)
                {
                    report.first.entry(server).or_insert(now);
                }
                if outcome == Outcome::Ok && !asked.over && asked.at > ONSET {
                    report.late += u32::from(now - asked.at > AIM);
                }
                asked.over |= complete;
                let (class, name) = (ClassId(usize::from(asked.once)), self::id(server).into());
                p.ends.push(Finished { server: name, class, outcome, took, warm: true });
                let (server, load, settled) = (ServerId(server as u64), Vec::new(), 0.0);
                (n, Event::Ended { id, attempt, server, outcome, complete, took, settled, load })
            }
        };
        if frozen(n, now) {
            continue;
        }
        let mut actions = Vec::new();
        proxies[n].gateway.handle(now, event, &mut actions);
        for action in actions {
            match action {
                Action::Timer { after, name } => {
                    post(&mut due, now + after, What::Module(n, Event::Timer(name)));
                }
                Action::Send { id, server, timeout } => {
                    let p = &mut proxies[n];
                    let server = server.0 as usize;
                    let standing = p.outlier_ejection.standing(now, "s", &self::id(server));
                    let Some(asked) = p.open.get_mut(&id) else { continue };
                    let attempt = asked.attempts.len() as u8;
                    asked.attempts.push((server, now, true));
                    report.once_to_unhealthy +=
                        u32::from(asked.once && day.shared && standing != Standing::Well);
                    if now > ONSET {
                        *report.sends.entry((server, ((now - ONSET) / 1000.0) as u64)).or_default() += 1;
                    }
                    // A spread as of the sites': half of them within 0.7 and 1.4 of the median.
                    let usual = WORK * (0.5 * (chance() + chance() + chance() - 1.5) * 2.0).exp();
                    let t = Try { server, at: now, zone: p.zone, roll: chance(), usual };
                    let (outcome, took) = (day.does)(&t);
                    asked.ran +=
                        u32::from(matches!(outcome, Outcome::Ok | Outcome::Reset | Outcome::TimedOut));
                    report.ran_twice += u32::from(asked.once && asked.ran > 1);
                    let span = if timeout > 0.0 { timeout } else { 2480.0 };
                    let (outcome, took) =
                        if took > span { (Outcome::TimedOut, span) } else { (outcome, took) };
                    post(&mut due, now + took, What::EndKind { proxy: n, id, attempt, outcome });
                }
                Action::Cancel { id, attempt } => {
                    post(&mut due, now, What::EndKind { proxy: n, id, attempt, outcome: Outcome::Cancelled });
                }
                Action::Refuse { id, .. } | Action::Fail(id) => {
                    if let Some(asked) = proxies[n].open.get_mut(&id).filter(|a| !a.over) {
                        asked.over = true;
                        report.lost += u32::from(asked.at > ONSET);
                        report.unsent += u32::from(asked.attempts.is_empty());
                    }
                }
                _ => {}
            }
        }
    }
    let left = |p: &Proxy| {
        (0..day.servers).filter(|n| p.outlier_ejection.standing(END, "s", &id(*n)) != Standing::Well).count()
    };
    report.left_at_end =
        proxies.iter().enumerate().filter(|(n, _)| day.frozen != Some(*n)).map(|(_, p)| left(p)).sum();
    report
}

fn prost_len(row: &ObservationRow) -> usize {
    prost::Message::encoded_len(row)
}

/// What an unhealthy server does from the onset on, others do as ever.
fn unhealthy<'a>(
    server: usize,
    does: impl Fn(&Try) -> (Outcome, f64) + 'a,
) -> impl Fn(&Try) -> (Outcome, f64) + 'a {
    move |t| if t.server == server && t.at >= ONSET { does(t) } else { well(t) }
}

fn failing(share: f64) -> impl Fn(&Try) -> (Outcome, f64) {
    move |t| if t.roll < share { (Outcome::Error, 3.0) } else { (Outcome::Ok, t.usual) }
}

#[test]
fn a_server_that_fails_is_left_by_all_soon_and_what_runs_once_goes_elsewhere() {
    let mut blind_to_unhealthy = 0;
    for seed in 1..4 {
        let does = unhealthy(0, failing(1.0));
        let day = Day { seed, does: &does, ..Day::default() };
        let (shared, alone) = (play(&day), play(&Day { shared: false, ..day }));
        let span = shared.span(0, 1.0, 9);
        assert!(span < 4000.0, "seed {seed}: at all after {span} ms");
        assert_eq!((shared.beyond, shared.once_to_unhealthy, shared.unsent), (0, 0, 0), "seed {seed}");
        assert_eq!((shared.ran_twice, alone.ran_twice), (0, 0), "seed {seed}");
        let sent = |r: &Report| r.sent(0, 0, 12);
        assert!(sent(&shared) <= sent(&alone), "seed {seed}: {} and {}", sent(&shared), sent(&alone));
        // The checker finds proxies that judge and do not act by it.
        let blind = play(&Day { heeded: false, ..day });
        blind_to_unhealthy += blind.once_to_unhealthy;
    }
    assert!(blind_to_unhealthy > 0, "the checker sees it");
}

#[test]
fn load_calm_and_one_slow_proxy_condemn_nobody_and_cost_little() {
    let all_slow = |t: &Try| (Outcome::Ok, t.usual * if t.at >= ONSET { 4.0 } else { 1.0 });
    let all_fail = |t: &Try| if t.at >= ONSET { (Outcome::Error, 3.0) } else { well(t) };
    let zone_slow = |t: &Try| (Outcome::Ok, t.usual * if t.zone == 1 && t.at >= ONSET { 5.0 } else { 1.0 });
    for seed in 1..3 {
        let days: [(&str, Does); 4] =
            [("calm", &well), ("all slow", &all_slow), ("all fail", &all_fail), ("slow proxies", &zone_slow)];
        for (name, does) in days {
            let report = play(&Day { seed, does, ..Day::default() });
            // Under load some find no room, whoever judges.
            let alone = play(&Day { seed, does, shared: false, ..Day::default() });
            assert_eq!(report.beyond, 0, "{name}, seed {seed}");
            assert!(report.unsent <= alone.unsent + 5, "{name}, seed {seed}: {}", report.unsent);
            if name != "all fail" {
                assert!(report.doubted.len() <= 3, "{name}, seed {seed}: {:?}", report.doubted);
            }
            if name == "calm" {
                assert!(report.rows <= 30, "seed {seed}: {} rows, {} bytes", report.rows, report.bytes);
            }
        }
    }
}

#[test]
fn an_ill_server_comes_back_though_a_proxy_is_frozen_and_a_board_repeats_itself() {
    let mut left = 0;
    for seed in 1..5 {
        let does = |t: &Try| {
            if t.server == 0 && (ONSET..ONSET + 5000.0).contains(&t.at) {
                (Outcome::Error, 3.0)
            } else {
                well(t)
            }
        };
        let (repeats, frozen) = (1500.0, Some(4));
        let report = play(&Day { seed, does: &does, repeats, frozen, ..Day::default() });
        left += u32::from(report.doubted.contains_key(&0));
        assert_eq!((report.left_at_end, report.once_to_unhealthy), (0, 0), "seed {seed}");
    }
    assert!(left >= 3, "it was left on {left} days of 4");
}

#[test]
#[ignore = "a measurement: cargo test -p oatbank-proxy --test steering -- --ignored --nocapture"]
fn table() {
    let slow = |t: &Try| (Outcome::Ok, 4.0 * t.usual);
    let silent = |_: &Try| (Outcome::TimedOut, 9000.0);
    let kinds: [(&str, Does); 5] = [
        ("fails all", &unhealthy(0, failing(1.0))),
        ("fails 40%", &unhealthy(0, failing(0.4))),
        ("fails 25%", &unhealthy(0, failing(0.25))),
        ("four times as slow", &unhealthy(0, slow)),
        ("silent", &unhealthy(0, silent)),
    ];
    println!("kind | proxies | to effect at half, at all, ms: median, worst | sends to it: alone, shared | lost, late");
    for (name, does) in kinds {
        for proxies in [3, 9, 30, 90] {
            let (servers, rate) = ((proxies * 4 / 3).max(6), proxies as f64 * 10.0);
            let run =
                |seed, shared| play(&Day { proxies, servers, rate, seed, does, shared, ..Day::default() });
            let seeds = 1..4u64;
            let both: Vec<(Report, Report)> = seeds.map(|s| (run(s, false), run(s, true))).collect();
            let of = |share: f64| {
                let mut spans: Vec<f64> = both.iter().map(|(_, s)| s.span(0, share, proxies)).collect();
                spans.sort_by(f64::total_cmp);
                (spans[spans.len() / 2], spans[spans.len() - 1])
            };
            let total = |which: bool, get: &dyn Fn(&Report) -> u32| -> u32 {
                both.iter().map(|b| get(if which { &b.1 } else { &b.0 })).sum()
            };
            println!(
                "{name} | {proxies} | {:?} {:?} | {} {} | {} {}, {} {} | rows {}",
                of(0.5),
                of(1.0),
                total(false, &|r| r.sent(0, 0, 16)),
                total(true, &|r| r.sent(0, 0, 16)),
                total(false, &|r| r.lost),
                total(true, &|r| r.lost),
                total(false, &|r| r.late),
                total(true, &|r| r.late),
                total(true, &|r| r.rows),
            );
        }
    }
}
