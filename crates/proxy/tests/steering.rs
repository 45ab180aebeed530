//! Simulation of proxies that eject unhealthy servers together, in virtual time and from fixed seeds. The decision modules,
//! observers, detectors and state tables are those of production; servers and network are simulated. The checks use only what
//! arrives at servers and the standings at the proxies.

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
/// Start of the fault, ms.
const FAULT_START: f64 = 6000.0;
/// End of the simulation, ms.
const END: f64 = 24_000.0;
/// Latency target of the requests, ms.
const LATENCY_TARGET: f64 = 600.0;
/// Median time that a healthy server takes, ms.
const SERVICE_TIME: f64 = 100.0;
/// Number of core machines that relay observations between proxies.
const RELAYS: usize = 3;

/// A server's response to an attempt: its outcome and its duration, ms.
type ServerBehavior<'a> = &'a dyn Fn(&Attempt) -> (Outcome, f64);

/// An attempt as a server sees it.
struct Attempt {
    server: usize,
    at: f64,
    /// Index of the proxy's zone.
    zone: usize,
    /// Random number from 0 to 1.
    random: f64,
    /// Answer time of a healthy server, ms.
    usual_duration: f64,
}

struct Scenario<'a> {
    proxies: usize,
    servers: usize,
    rate: f64,
    seed: u64,
    behavior: ServerBehavior<'a>,
    /// Whether proxies exchange observations and evaluate them.
    shares_observations: bool,
    /// Whether standings are passed to the decision modules. If not, the check on at-most-once requests has to fail.
    applies_standings: bool,
    /// Delay after which one of the relays sends rows again, ms; 0 for never.
    repeat_delay: f64,
    /// Index of a proxy that does nothing from the start of the fault on.
    frozen: Option<usize>,
}

impl Default for Scenario<'_> {
    fn default() -> Self {
        let behavior: ServerBehavior = &|t| healthy(t);
        Scenario {
            proxies: 9,
            servers: 12,
            rate: 90.0,
            seed: 1,
            behavior,
            shares_observations: true,
            applies_standings: true,
            repeat_delay: 0.0,
            frozen: None,
        }
    }
}

fn healthy(t: &Attempt) -> (Outcome, f64) {
    (if t.random < 0.015 { Outcome::Error } else { Outcome::Ok }, t.usual_duration)
}

/// Measurements of one simulation.
#[derive(Default)]
struct Report {
    /// Time of the first failed or slow attempt after the start of the fault by server, ms.
    first_failure: BTreeMap<usize, f64>,
    /// Time after that at which a proxy first avoided a server, by proxy and server, ms.
    first_avoided: BTreeMap<(usize, usize), f64>,
    /// Number of changed standings with which a proxy avoided a server, by server.
    avoided: BTreeMap<usize, u32>,
    /// Evaluations after which a proxy avoided more than an eighth of the servers.
    over_limit: u32,
    /// Attempts of at-most-once requests sent to a server that the sending proxy considered unhealthy.
    once_to_unhealthy: u32,
    /// Attempts sent to each server, by second after the start of the fault.
    sends: HashMap<(usize, u64), u32>,
    /// Requests after the start of the fault.
    requests: u32,
    /// Requests after the start of the fault that were rejected or failed.
    lost: u32,
    /// Requests that were answered after the latency target.
    late: u32,
    /// Requests that were rejected without any attempt.
    unroutable: u32,
    /// Observation rows sent by proxies.
    rows: u32,
    /// Bytes of observation rows sent by relays.
    bytes: usize,
    /// At-most-once requests that ran more than once.
    ran_twice: u32,
    /// Servers that are not healthy at the end, summed over all proxies.
    avoided_at_end: usize,
}

impl Report {
    /// Time from a server's first failure until this share of the proxies avoided it, ms; infinite if they did not.
    fn span(&self, server: usize, share: f64, proxies: usize) -> f64 {
        let Some(first) = self.first_failure.get(&server) else { return f64::INFINITY };
        let at = |p| self.first_avoided.get(&(p, server)).map_or(f64::INFINITY, |at| at - first);
        let mut spans: Vec<f64> = (0..proxies).map(at).collect();
        spans.sort_by(f64::total_cmp);
        spans[((proxies as f64 * share) as usize).min(proxies - 1)]
    }

    fn sent(&self, server: usize, from: u64, to: u64) -> u32 {
        (from..to).map(|s| self.sends.get(&(server, s)).copied().unwrap_or(0)).sum()
    }
}

enum SimEvent {
    Request(usize),
    Module(usize, Event),
    AttemptEnded { proxy: usize, id: RequestId, attempt: u8, outcome: Outcome },
    Row { to: usize, row: ObservationRow, at: f64 },
    Evaluate(usize),
}

struct Proxy {
    gateway: Gateway,
    outlier_ejection: OutlierEjection,
    table: StateTable,
    node: Node,
    zone: usize,
    ends: Vec<Finished>,
    open: HashMap<RequestId, PendingRequest>,
}

struct PendingRequest {
    at: f64,
    attempts: Vec<(usize, f64, bool)>,
    once: bool,
    over: bool,
    ran: u32,
}

fn id(server: usize) -> String {
    format!("i-{server:03}")
}

fn entries(
    now: f64,
    servers: usize,
    outlier_ejection: &OutlierEjection,
    applies_standings: bool,
) -> Vec<ServerEntry> {
    let entry = |n: usize| ServerEntry {
        server: ServerId(n as u64),
        weight: 1.0,
        zone: (n % ZONES.len()) as u16,
        standing: if applies_standings {
            outlier_ejection.standing(now, "s", &id(n))
        } else {
            Standing::Well
        },
        ..ServerEntry::default()
    };
    (0..servers).map(entry).collect()
}

fn simulate(scenario: &Scenario) -> Report {
    let base = include_str!("../../node-runtime/tests/node.toml");
    let mut rng = Pcg64Mcg::seed_from_u64(scenario.seed);
    let mut random = move || (f64::from(rng.next_u32()) + 1.0) / (f64::from(u32::MAX) + 2.0);
    let mut tables: Vec<StateTable> =
        (0..scenario.proxies + RELAYS).map(|n| StateTable::new(n as u64 + 1, 1500.0, 0.0)).collect();
    for table in &mut tables {
        for n in 0..scenario.servers {
            let zone = ZONES[n % ZONES.len()].0.to_owned();
            let row =
                ServerRow { id: id(n), service: "s".into(), zone, call_count: 1, ..ServerRow::default() };
            table.merge_server(0.0, &row);
        }
        for n in 0..scenario.proxies {
            let (zone, region) = ZONES[n % ZONES.len()];
            let (name, state) = (format!("edge-{n}"), member_state::READY);
            let (zone, region) = (zone.into(), region.into());
            let row =
                MemberRow { name, incarnation: 7, heartbeat: 1, zone, region, state, ..MemberRow::default() };
            table.merge_member(0.0, &row);
        }
    }
    let relays = tables.split_off(scenario.proxies);
    let mut relays: Vec<StateTable> = relays;
    let class =
        |repeat| Class { target: LATENCY_TARGET, deadline: 2500.0, worth: 1.0, repeat, ..Class::default() };
    let mut proxies: Vec<Proxy> = tables
        .into_iter()
        .enumerate()
        .map(|(n, table)| {
            let at = n % ZONES.len();
            let mut node = Node::parse(base).expect("settings");
            (node.node_name, node.zone) = (format!("edge-{n}"), ZONES[at].0.to_owned());
            node.region = ZONES[at].1.to_owned();
            node.zones = ZONES.iter().map(|(z, r)| ((*z).to_owned(), (*r).to_owned())).collect();
            let mut settings = limiter_settings::settings(&node, scenario.proxies as f64, 0.0, 0.0);
            settings.classes = vec![class(Repeat::Safe), class(Repeat::Unsafe)];
            let gateway = Gateway::new(settings, scenario.seed << 8 | n as u64);
            let (outlier_ejection, open) = (OutlierEjection::default(), HashMap::new());
            Proxy { gateway, outlier_ejection, table, node, zone: at, ends: Vec::new(), open }
        })
        .collect();

    let (mut due, mut serial) = (BTreeMap::<(u64, u64), SimEvent>::new(), 0u64);
    let mut schedule = |due: &mut BTreeMap<(u64, u64), SimEvent>, at: f64, event: SimEvent| {
        serial += 1;
        due.insert(((at * 1000.0) as u64, serial), event);
    };
    for (n, proxy) in proxies.iter().enumerate() {
        let list = entries(0.0, scenario.servers, &proxy.outlier_ejection, false);
        let event = Event::Servers { update: ListUpdate::Full, entries: list };
        schedule(&mut due, 1.0, SimEvent::Module(n, event));
        schedule(&mut due, 2.0 + n as f64, SimEvent::Request(n));
        schedule(&mut due, 50.0 * random(), SimEvent::Evaluate(n));
    }
    let (mut report, mut number) = (Report::default(), 0u32);
    let frozen = |n: usize, now: f64| scenario.frozen == Some(n) && now >= FAULT_START;
    while let Some(((at, _), sim_event)) = due.pop_first() {
        let now = at as f64 / 1000.0;
        if now > END {
            break;
        }
        let (n, event) = match sim_event {
            SimEvent::Row { to, row, at } if to >= scenario.proxies => {
                // A relay forwards new rows to all proxies and other relays.
                let relay = to - scenario.proxies;
                let received = ObservationRow { ago: (now - at) as u32, ..row };
                let before = relays[relay].sequence();
                let is_urgent = relays[relay].merge_observation(now, &received) != MergeResult::Unchanged;
                if relays[relay].sequence() == before {
                    continue;
                }
                let targets = (0..scenario.proxies)
                    .chain((0..RELAYS).filter(|b| *b != relay).map(|b| scenario.proxies + b));
                for to in targets {
                    report.bytes += prost_len(&received);
                    // Rows that are not urgent wait for the next call.
                    let delay = if is_urgent {
                        0.0
                    } else {
                        [200.0, 600.0][usize::from(to < scenario.proxies)] * random()
                    };
                    let distance = delay + 2.0 + 35.0 * random() + if random() < 0.05 { 300.0 } else { 0.0 };
                    schedule(&mut due, now + distance, SimEvent::Row { to, row: received.clone(), at });
                    if scenario.repeat_delay > 0.0 && relay == 0 {
                        schedule(
                            &mut due,
                            now + scenario.repeat_delay,
                            SimEvent::Row { to, row: received.clone(), at },
                        );
                    }
                }
                continue;
            }
            SimEvent::Row { to, row, at } => {
                if !frozen(to, now) {
                    let received = ObservationRow { ago: (now - at) as u32, ..row };
                    proxies[to].table.merge_observation(now, &received);
                }
                continue;
            }
            SimEvent::Evaluate(n) => {
                schedule(&mut due, now + 50.0, SimEvent::Evaluate(n));
                if frozen(n, now) {
                    continue;
                }
                let p = &mut proxies[n];
                let ends = std::mem::take(&mut p.ends);
                if !ends.is_empty() {
                    p.outlier_ejection.record_ends(now, "s", &["read".into(), "once".into()], &ends);
                }
                if !scenario.shares_observations || !p.outlier_ejection.is_due(now, &p.table) {
                    continue;
                }
                for row in p.outlier_ejection.observations(now, &p.table, &p.node.node_name, 7) {
                    p.table.merge_observation(now, &row);
                    report.rows += 1;
                    let to = scenario.proxies + n % RELAYS;
                    let delay = if row.is_strong() { 0.0 } else { 600.0 * random() };
                    schedule(
                        &mut due,
                        now + delay + 2.0 + 35.0 * random(),
                        SimEvent::Row { to, row, at: now },
                    );
                }
                let changed = p.outlier_ejection.evaluate(now, now, &p.table, &p.node);
                if !changed {
                    continue;
                }
                let list = entries(now, scenario.servers, &p.outlier_ejection, true);
                let is_avoided =
                    |e: &&ServerEntry| !matches!(e.standing, Standing::Well | Standing::Returning);
                report.over_limit +=
                    u32::from(list.iter().filter(is_avoided).count() > (scenario.servers / 8).max(1));
                for e in list.iter().filter(is_avoided) {
                    let server = e.server.0 as usize;
                    *report.avoided.entry(server).or_default() += 1;
                    if report.first_failure.contains_key(&server) {
                        report.first_avoided.entry((n, server)).or_insert(now);
                    }
                }
                let entries = if scenario.applies_standings {
                    list
                } else {
                    entries(now, scenario.servers, &p.outlier_ejection, false)
                };
                (n, Event::Servers { update: ListUpdate::Full, entries })
            }
            SimEvent::Request(n) => {
                let gap = -random().ln() * 1000.0 * scenario.proxies as f64 / scenario.rate;
                schedule(&mut due, now + gap, SimEvent::Request(n));
                if frozen(n, now) {
                    continue;
                }
                number += 1;
                let (id, once) = (RequestId(number), number % 4 == 0);
                let pending = PendingRequest { at: now, attempts: Vec::new(), once, over: false, ran: 0 };
                proxies[n].open.insert(id, pending);
                report.requests += u32::from(now > FAULT_START);
                let class = ClassId(usize::from(once));
                let request =
                    Request { id, class, units: 1.0, time_left: 2480.0, spread: 1.0, ..Request::default() };
                (n, Event::Request(request))
            }
            SimEvent::Module(n, event) => (n, event),
            SimEvent::AttemptEnded { proxy: n, id, attempt, outcome } => {
                let p = &mut proxies[n];
                let Some(pending) = p.open.get_mut(&id) else { continue };
                let Some((server, sent, live)) = pending.attempts.get_mut(usize::from(attempt)) else {
                    continue;
                };
                if !std::mem::replace(live, false) {
                    continue;
                }
                let (server, took, complete) = (*server, now - *sent, pending.over || outcome == Outcome::Ok);
                if now > FAULT_START
                    && (outcome != Outcome::Ok && outcome != Outcome::Cancelled || took > 3.0 * SERVICE_TIME)
                {
                    report.first_failure.entry(server).or_insert(now);
                }
                if outcome == Outcome::Ok && !pending.over && pending.at > FAULT_START {
                    report.late += u32::from(now - pending.at > LATENCY_TARGET);
                }
                pending.over |= complete;
                let (class, name) = (ClassId(usize::from(pending.once)), self::id(server).into());
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
                    schedule(&mut due, now + after, SimEvent::Module(n, Event::Timer(name)));
                }
                Action::Send { id, server, timeout } => {
                    let p = &mut proxies[n];
                    let server = server.0 as usize;
                    let standing = p.outlier_ejection.standing(now, "s", &self::id(server));
                    let Some(pending) = p.open.get_mut(&id) else { continue };
                    let attempt = pending.attempts.len() as u8;
                    pending.attempts.push((server, now, true));
                    report.once_to_unhealthy +=
                        u32::from(pending.once && scenario.shares_observations && standing != Standing::Well);
                    if now > FAULT_START {
                        *report.sends.entry((server, ((now - FAULT_START) / 1000.0) as u64)).or_default() +=
                            1;
                    }
                    // Half of the durations lie within 0.7 and 1.4 times the median, as on the sites.
                    let usual_duration =
                        SERVICE_TIME * (0.5 * (random() + random() + random() - 1.5) * 2.0).exp();
                    let t = Attempt { server, at: now, zone: p.zone, random: random(), usual_duration };
                    let (outcome, took) = (scenario.behavior)(&t);
                    pending.ran +=
                        u32::from(matches!(outcome, Outcome::Ok | Outcome::Reset | Outcome::TimedOut));
                    report.ran_twice += u32::from(pending.once && pending.ran > 1);
                    let span = if timeout > 0.0 { timeout } else { 2480.0 };
                    let (outcome, took) =
                        if took > span { (Outcome::TimedOut, span) } else { (outcome, took) };
                    schedule(&mut due, now + took, SimEvent::AttemptEnded { proxy: n, id, attempt, outcome });
                }
                Action::Cancel { id, attempt } => {
                    schedule(
                        &mut due,
                        now,
                        SimEvent::AttemptEnded { proxy: n, id, attempt, outcome: Outcome::Cancelled },
                    );
                }
                Action::Refuse { id, .. } | Action::Fail(id) => {
                    if let Some(pending) = proxies[n].open.get_mut(&id).filter(|a| !a.over) {
                        pending.over = true;
                        report.lost += u32::from(pending.at > FAULT_START);
                        report.unroutable += u32::from(pending.attempts.is_empty());
                    }
                }
                _ => {}
            }
        }
    }
    let avoided_by = |p: &Proxy| {
        (0..scenario.servers)
            .filter(|n| p.outlier_ejection.standing(END, "s", &id(*n)) != Standing::Well)
            .count()
    };
    report.avoided_at_end = proxies
        .iter()
        .enumerate()
        .filter(|(n, _)| scenario.frozen != Some(*n))
        .map(|(_, p)| avoided_by(p))
        .sum();
    report
}

fn prost_len(row: &ObservationRow) -> usize {
    prost::Message::encoded_len(row)
}

/// Behaviour where one server uses `behavior` from the start of the fault on and all others are healthy.
fn unhealthy<'a>(
    server: usize,
    behavior: impl Fn(&Attempt) -> (Outcome, f64) + 'a,
) -> impl Fn(&Attempt) -> (Outcome, f64) + 'a {
    move |t| if t.server == server && t.at >= FAULT_START { behavior(t) } else { healthy(t) }
}

fn failing(share: f64) -> impl Fn(&Attempt) -> (Outcome, f64) {
    move |t| if t.random < share { (Outcome::Error, 3.0) } else { (Outcome::Ok, t.usual_duration) }
}

#[test]
fn a_failing_server_is_avoided_by_all_proxies_within_four_seconds() {
    let mut once_sends_without_standings = 0;
    for seed in 1..4 {
        let behavior = unhealthy(0, failing(1.0));
        let scenario = Scenario { seed, behavior: &behavior, ..Scenario::default() };
        let (shared, alone) =
            (simulate(&scenario), simulate(&Scenario { shares_observations: false, ..scenario }));
        let span = shared.span(0, 1.0, 9);
        assert!(span < 4000.0, "seed {seed}: avoided by all proxies after {span} ms");
        assert_eq!(
            (shared.over_limit, shared.once_to_unhealthy, shared.unroutable),
            (0, 0, 0),
            "seed {seed}"
        );
        assert_eq!((shared.ran_twice, alone.ran_twice), (0, 0), "seed {seed}");
        let sent = |r: &Report| r.sent(0, 0, 12);
        assert!(sent(&shared) <= sent(&alone), "seed {seed}: {} and {}", sent(&shared), sent(&alone));
        // Without standings at the decision modules, the check on at-most-once requests has to fail.
        let without_standings = simulate(&Scenario { applies_standings: false, ..scenario });
        once_sends_without_standings += without_standings.once_to_unhealthy;
    }
    assert!(
        once_sends_without_standings > 0,
        "without standings, at-most-once requests must reach the unhealthy server"
    );
}

#[test]
fn fleet_wide_slowness_and_slow_proxies_cause_few_ejections() {
    let all_slow =
        |t: &Attempt| (Outcome::Ok, t.usual_duration * if t.at >= FAULT_START { 4.0 } else { 1.0 });
    let all_fail = |t: &Attempt| if t.at >= FAULT_START { (Outcome::Error, 3.0) } else { healthy(t) };
    let zone_slow = |t: &Attempt| {
        (Outcome::Ok, t.usual_duration * if t.zone == 1 && t.at >= FAULT_START { 5.0 } else { 1.0 })
    };
    for seed in 1..3 {
        let scenarios: [(&str, ServerBehavior); 4] = [
            ("calm", &healthy),
            ("all slow", &all_slow),
            ("all fail", &all_fail),
            ("slow proxies", &zone_slow),
        ];
        for (name, behavior) in scenarios {
            let report = simulate(&Scenario { seed, behavior, ..Scenario::default() });
            // Some requests find no server under overload even without shared observations.
            let alone =
                simulate(&Scenario { seed, behavior, shares_observations: false, ..Scenario::default() });
            assert_eq!(report.over_limit, 0, "{name}, seed {seed}");
            assert!(report.unroutable <= alone.unroutable + 5, "{name}, seed {seed}: {}", report.unroutable);
            if name != "all fail" {
                assert!(report.avoided.len() <= 3, "{name}, seed {seed}: {:?}", report.avoided);
            }
            if name == "calm" {
                assert!(report.rows <= 30, "seed {seed}: {} rows, {} bytes", report.rows, report.bytes);
            }
        }
    }
}

#[test]
fn a_recovered_server_returns_despite_a_frozen_proxy_and_repeated_rows() {
    let mut runs_with_ejection = 0;
    for seed in 1..5 {
        let behavior = |t: &Attempt| {
            if t.server == 0 && (FAULT_START..FAULT_START + 5000.0).contains(&t.at) {
                (Outcome::Error, 3.0)
            } else {
                healthy(t)
            }
        };
        let (repeat_delay, frozen) = (1500.0, Some(4));
        let report =
            simulate(&Scenario { seed, behavior: &behavior, repeat_delay, frozen, ..Scenario::default() });
        runs_with_ejection += u32::from(report.avoided.contains_key(&0));
        assert_eq!((report.avoided_at_end, report.once_to_unhealthy), (0, 0), "seed {seed}");
    }
    assert!(runs_with_ejection >= 3, "the server was avoided in only {runs_with_ejection} of 4 runs");
}

#[test]
#[ignore = "a measurement: cargo test -p oatbank-proxy --test steering -- --ignored --nocapture"]
fn measure_ejection_times() {
    let slow = |t: &Attempt| (Outcome::Ok, 4.0 * t.usual_duration);
    let silent = |_: &Attempt| (Outcome::TimedOut, 9000.0);
    let kinds: [(&str, ServerBehavior); 5] = [
        ("fails all", &unhealthy(0, failing(1.0))),
        ("fails 40%", &unhealthy(0, failing(0.4))),
        ("fails 25%", &unhealthy(0, failing(0.25))),
        ("four times as slow", &unhealthy(0, slow)),
        ("silent", &unhealthy(0, silent)),
    ];
    println!("kind | proxies | to effect at half, at all, ms: median, worst | sends to it: alone, shared | lost, late");
    for (name, behavior) in kinds {
        for proxies in [3, 9, 30, 90] {
            let (servers, rate) = ((proxies * 4 / 3).max(6), proxies as f64 * 10.0);
            let run = |seed, shares_observations| {
                simulate(&Scenario {
                    proxies,
                    servers,
                    rate,
                    seed,
                    behavior,
                    shares_observations,
                    ..Scenario::default()
                })
            };
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
