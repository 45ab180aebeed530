//! Each decision alone, in a process of its own for each size: its time, and the process's peak memory.

use super::load::{change, configuration, key, Size};
use super::{fit, gauge};
use oatbank_cluster_state::messages::{AgreedState, MemberRow, ServerRow, StateUpdate};
use oatbank_cluster_state::state::StateTable;
use oatbank_config_model::{Configuration, Proposal, RouteTable};
use oatbank_config_store::acceptor::Acceptor;
use oatbank_config_store::messages::{Accept, PersistentState, Record, VoterConfiguration};
use oatbank_config_store::proposer::{Action as Step, KnownRecord, Operation, Outcome as PaxosOutcome, Task};
use oatbank_config_store::storage::{StateFile, StateWriter};
use oatbank_limiter_core::interface::*;
use oatbank_limiter_core::logic::{Gateway, Quotas};
use oatbank_proxy::counter_owner::owner_of;
use oatbank_proxy::subsetting::{select_servers, Placement};
use oatbank_registry::directory;
use oatbank_registry::operator_command::{apply, Applied, OperatorCommand};
use prost::Message;
use std::hint::black_box;
use std::process::Command;
use std::time::{Duration, Instant};

/// Each figure is taken for so long, and from two runs at least.
const FOR: Duration = Duration::from_millis(700);

const ROUTES: &[usize] = &[100, 1000, 10_000, 110_000];
const TENANTS: &[usize] = &[1000, 10_000, 100_000, 360_000];
const SERVERS: &[usize] = &[1000, 5000, 20_000, 80_000];
const LIMITERS: &[usize] = &[100, 500, 2000, 16_000];
const BYTES: &[usize] = &[1 << 10, 32 << 10, 1 << 20, 8 << 20, 40 << 20];

type Decision = (&'static str, &'static str, &'static [usize], fn(usize) -> f64);

/// By name: what is done, the sizes, and the processor's time for one, us.
const ALL: [Decision; 19] = [
    ("read-routes", "reading and checking a configuration, by routes", ROUTES, |n| read(routes(n))),
    ("read-tenants", "the same, by tenants", TENANTS, |n| read(tenants(n))),
    ("change-routes", "one change on top of it, by routes", ROUTES, |n| changed(routes(n))),
    ("change-tenants", "the same, by tenants", TENANTS, |n| changed(tenants(n))),
    ("table-routes", "laying it out for requests, by routes", ROUTES, |n| laid_out(routes(n))),
    ("table-tenants", "the same, by tenants", TENANTS, |n| laid_out(tenants(n))),
    ("route", "a route's look-up, by routes", ROUTES, look_up_route),
    ("tenant", "a tenant's look-up, by tenants", TENANTS, look_up_tenant),
    ("ballots", "a round of ballots among three in memory, by bytes", BYTES, paxos_change),
    ("disk", "one voter's disk in such a round by the clock, by bytes", BYTES, disk),
    ("merge", "merging one word of each server, by servers", SERVERS, merge),
    ("digest", "one server's change with its digest, by servers", SERVERS, digest),
    ("since", "news for a follower that lacks nothing, by servers", SERVERS, since),
    ("look", "looking for silence, by servers", SERVERS, look),
    ("casting", "one service's slice (24 servers in three zones), by limiters", LIMITERS, casting),
    ("keeper", "who keeps a number, by limiters", LIMITERS, keeps),
    ("directory", "where a client is to go, by limiters", LIMITERS, fronts),
    (
        "choice",
        "a request from arrival to end, by the service's servers in the slice",
        &[10, 24, 40, 160],
        choice,
    ),
    ("quota", "a request's quota with its adds, by tenants", TENANTS, quota),
];

fn routes(routes: usize) -> Size {
    Size { routes, tenants: 0, services: 3300 }
}

fn tenants(tenants: usize) -> Size {
    Size { routes: 100, tenants, services: 100 }
}

/// The mean of what this takes, us: of the processor's time, which a busy machine does not lengthen, and by the clock.
fn took_both(mut what: impl FnMut(usize)) -> (f64, f64) {
    what(0);
    let (began, before, mut times) = (Instant::now(), crate::cpu("self"), 0);
    while began.elapsed() < FOR || times < 2 {
        times += 1;
        what(times);
    }
    let (cpu, clock) = (crate::cpu("self") - before, began.elapsed());
    (cpu.as_secs_f64() * 1e6 / times as f64, clock.as_secs_f64() * 1e6 / times as f64)
}

/// The mean of what this takes of the processor, us.
fn took(what: impl FnMut(usize)) -> f64 {
    took_both(what).0
}

fn read(size: Size) -> f64 {
    let body = configuration(size, 1);
    took(|_| _ = black_box(Proposal::replace(body.as_bytes()).expect("readable")))
}

/// What is decided once a proposal is taken.
fn taken(agreed_state: &AgreedState, proposal: Proposal) -> AgreedState {
    match apply(agreed_state, &OperatorCommand::Configure(proposal)).expect("taken") {
        Applied::Next(next) => *next,
        Applied::AlreadyInForce => panic!("it was taken before"),
    }
}

fn in_force(size: Size) -> AgreedState {
    let first = Proposal::replace(configuration(size, 1).as_bytes()).expect("readable");
    taken(&AgreedState::default(), first)
}

fn changed(size: Size) -> f64 {
    let agreed_state = in_force(size);
    let body = change(size, 2, 1);
    took(|_| {
        let proposal = Proposal::change(body.as_bytes()).expect("readable");
        // As at a registry: from the bytes of the promised value to the bytes of the next.
        black_box(taken(&agreed_state, proposal).encode_to_vec());
    })
}

fn laid_out(size: Size) -> f64 {
    let agreed_state = in_force(size);
    took(|_| {
        let configuration = Configuration::read(&agreed_state.config).expect("readable");
        black_box(RouteTable::new(&configuration));
    })
}

fn route_table(size: Size) -> RouteTable {
    RouteTable::new(&Configuration::read(&in_force(size).config).expect("readable"))
}

fn look_up_route(many: usize) -> f64 {
    let table = route_table(routes(many));
    let requests: Vec<(String, String)> = (0..4096)
        .map(|n: usize| n * 7919 % many)
        .map(|nth| (format!("host-{:04}.example", nth / 33), format!("/p-{nth}/some/page?x=1")))
        .collect();
    took(|n| {
        let (host, path) = &requests[n % requests.len()];
        assert!(table.route(host, path).is_some());
    })
}

fn look_up_tenant(many: usize) -> f64 {
    let table = route_table(tenants(many));
    let keys: Vec<String> = (0..4096usize).map(|n| key(n * 7919 % many)).collect();
    took(|n| assert!(table.customer(&keys[n % keys.len()]).is_some()))
}

/// One change through three voters, each message written and read as it travels.
fn paxos_change(bytes: usize) -> f64 {
    let names: Vec<String> = (1..=3).map(|n| format!("10.0.0.{n}:1")).collect();
    let mut voters: Vec<Acceptor> = names.iter().map(|_| Acceptor::founded(names.clone())).collect();
    let (mut view, mut highest) = (KnownRecord::default(), 0);
    took(|n| {
        let change = |_: Option<&[u8]>, _: u64| Ok::<_, ()>(vec![n as u8; bytes]);
        let mut operation = Operation::new(
            Task::Change(change),
            1,
            VoterConfiguration::founders(&names),
            highest,
            view.clone(),
        );
        let mut step = operation.begin_round();
        loop {
            let phase_id = operation.phase_id();
            let mut answers = Vec::new();
            match &step {
                Step::Prepare(request) => {
                    answers.extend(voters.iter_mut().map(|voter| voter.prepare(request).0));
                }
                Step::Accept(request) => {
                    for voter in &mut voters {
                        let travels = Accept::decode(&request.encode_to_vec()[..]).expect("readable");
                        answers.push(voter.accept(&travels).0);
                    }
                }
                Step::Done(PaxosOutcome::Chosen(..)) => break,
                other => panic!("{other:?}"),
            }
            for (name, answer) in names.iter().zip(answers) {
                let next = operation.on_response(phase_id, name, answer);
                if next != Step::Wait {
                    step = next;
                    break;
                }
            }
        }
        (view, highest) = (operation.known().clone(), operation.highest_round());
    })
}

fn disk(bytes: usize) -> f64 {
    let folder = std::env::temp_dir().join(format!("scale-{}", std::process::id()));
    let kept = PersistentState { disk_id: 1, ..PersistentState::default() };
    let mut disk = StateFile::create(&folder, &kept, None).expect("a disk");
    let record = Record { edition: 1, value: vec![7; bytes].into(), ..Record::default() };
    let took = took_both(|_| disk.write(&kept, Some(&record), true).expect("written")).1;
    drop(disk);
    let _ = std::fs::remove_dir_all(folder);
    took
}

fn server(nth: usize, call_count: u64) -> ServerRow {
    ServerRow {
        id: format!("i-{nth:06x}-0000"),
        service: format!("svc-{:04}", nth % 3300),
        address: format!("10.{}.{}.{}:8080", nth >> 16, nth >> 8 & 255, nth & 255),
        zone: format!("zone-{}", nth % 99),
        version: "v1".into(),
        slots: 3,
        call_count,
        ..ServerRow::default()
    }
}

fn state_table(servers: usize) -> StateTable {
    let mut table = StateTable::new(1, 1500.0, 0.0);
    (0..servers).for_each(|nth| _ = table.merge_server(0.0, &server(nth, 1)));
    table
}

fn merge(servers: usize) -> f64 {
    let mut table = state_table(servers);
    let rows: Vec<ServerRow> = (0..servers).map(|nth| server(nth, 1)).collect();
    let mut update = StateUpdate { servers: rows, ..StateUpdate::default() };
    took(|n| {
        update.servers.iter_mut().for_each(|row| row.call_count = n as u64 + 2);
        black_box(table.merge_update(1.0, &update));
    })
}

fn digest(servers: usize) -> f64 {
    let mut table = state_table(servers);
    took(|n| {
        // Each is drained once: later times change nothing any more, so lives go on.
        let row = ServerRow { id: format!("i-{:06x}-{:04x}", n % servers, n), ..server(n % servers, 1) };
        table.merge_server(1.0, &row);
        table.mark_server_left(1.0, &row.id);
        black_box(table.digest());
    })
}

fn since(servers: usize) -> f64 {
    let table = state_table(servers);
    took(|_| _ = black_box(table.update_since(1.0, 1, table.sequence(), false)))
}

fn look(servers: usize) -> f64 {
    let mut table = state_table(servers);
    took(|_| _ = black_box(table.expire(1.0, Some(1.0))))
}

fn zones() -> Vec<(String, String)> {
    (0..99).map(|zone| (format!("zone-{zone}"), format!("region-{}", zone % 31))).collect()
}

fn casting(limiters: usize) -> f64 {
    let zones = zones();
    let limiters: Vec<(String, String)> =
        (0..limiters).map(|n| (format!("edge-{n}"), zones[n % 99].0.clone())).collect();
    let servers: Vec<(String, String)> =
        (0..24).map(|n| (format!("i-{n:06x}"), zones[[0, 31, 62][n % 3]].0.clone())).collect();
    let servers: Vec<(&str, &str)> = servers.iter().map(|(a, b)| (a.as_str(), b.as_str())).collect();
    let placement = Placement { zones: &zones, name: "edge-0", zone: "zone-0", limiters: &limiters };
    took(|_| _ = black_box(select_servers(&placement, &servers)))
}

fn keeps(limiters: usize) -> f64 {
    let names: Vec<String> = (0..limiters).map(|n| format!("edge-{n}")).collect();
    took(|n| assert!(owner_of(n as u64, names.iter().map(String::as_str)).is_some()))
}

fn fronts(limiters: usize) -> f64 {
    let mut table = StateTable::new(1, 1500.0, 0.0);
    for (nth, (zone, region)) in zones().iter().cycle().take(limiters).enumerate() {
        let row = MemberRow {
            name: format!("edge-{nth}"),
            incarnation: 1,
            heartbeat: 1,
            front: format!("10.0.{}.{}:80", nth >> 8, nth & 255),
            zone: zone.clone(),
            region: region.clone(),
            state: 1,
            ..MemberRow::default()
        };
        table.merge_member(0.0, &row);
    }
    took(|_| assert!(!directory::fronts(table.members(1.0), "zone-0", "region-0").is_empty()))
}

fn choice(servers: usize) -> f64 {
    let classes =
        vec![Class { target: 500.0, deadline: 2000.0, worth: 1.0, repeat: Repeat::Safe, ..Class::default() }];
    let set = Settings {
        gateways: 16_000.0,
        classes,
        plans: vec![Plan { price: 1.0, ..Plan::default() }],
        max_attempts: 2,
        sparse: true,
        min_limit: 64.0,
        ..Settings::default()
    };
    let mut gateway = Gateway::new(set, 1);
    let entries = (0..servers as u64)
        .map(|n| ServerEntry {
            server: ServerId(n + 1),
            weight: 1.0,
            zone: n as u16 % 3,
            ..ServerEntry::default()
        })
        .collect();
    let mut wait_until_applied = Vec::new();
    gateway.handle(1.0, Event::Servers { update: ListUpdate::Full, entries }, &mut wait_until_applied);
    let mut served = 0;
    let us = took(|n| {
        let (now, id) = (2.0 + n as f64 * 0.05, RequestId(n as u32));
        wait_until_applied.clear();
        let request = Request { id, units: 1.0, time_left: 2000.0, spread: 1.0, ..Request::default() };
        gateway.handle(now, Event::Request(request), &mut wait_until_applied);
        let sent = wait_until_applied.iter().find_map(|a| match a {
            Action::Send { server, .. } => Some(*server),
            _ => None,
        });
        let Some(server) = sent else { return };
        served += 1;
        let (outcome, load) = (Outcome::Ok, Vec::new());
        let ended =
            Event::Ended { id, attempt: 0, server, outcome, complete: true, took: 20.0, settled: 0.0, load };
        gateway.handle(now, ended, &mut wait_until_applied);
    });
    assert!(served > 100, "{served} were sent on");
    us
}

fn quota(tenants: usize) -> f64 {
    let plans = vec![Plan { rate: 100.0, burst: 200.0, price: 1.0, debt: 4.0, ..Plan::default() }];
    let set = QuotaSettings {
        plans,
        max_units: 1.0,
        counter: true,
        counter_timeout: 400.0,
        sync_every: 100.0,
        ..QuotaSettings::default()
    };
    let mut quotas = Quotas::new(set, 1);
    let mut wait_until_applied = Vec::new();
    took(|n| {
        let (now, customer) = (1.0 + n as f64 * 0.01, CustomerId((n * 7919 % tenants) as u64));
        let draw = QuotaRequest { customer, units: 1.0, spread: 16_000.0, ..QuotaRequest::default() };
        let verdict = quotas.admit(now, draw, &mut wait_until_applied);
        quotas.record(now, customer, 1.0, !matches!(verdict, Verdict::Refuse { .. }));
        for act in wait_until_applied.drain(..) {
            if let Action::Count { name, add, .. } = act {
                quotas.handle_reply(now, name, Outcome::Ok, 2.0, add);
            }
        }
    })
}

/// One decision at one size, in this process.
pub fn one(words: &[String]) -> bool {
    let [name, size] = words else { return false };
    let Some((.., run)) = ALL.iter().find(|(view, ..)| view == name) else { return false };
    let Ok(size) = size.parse() else { return false };
    println!("{} {}", run(size), gauge::peak(std::process::id()) as f64 / 1e6);
    true
}

/// All decisions, or those of these names; whether each gave its figures.
pub fn all(names: &[String]) -> bool {
    let mut good = names.iter().all(|name| ALL.iter().any(|(view, ..)| view == name));
    for (name, about, sizes, _) in ALL.iter().filter(|d| names.is_empty() || names.iter().any(|n| n == d.0)) {
        let (mut times, mut peaks) = (Vec::new(), Vec::new());
        for size in *sizes {
            let own = std::env::current_exe().expect("a path");
            let output =
                Command::new(own).args(["decision", name, &size.to_string()]).output().expect("it runs");
            let text = String::from_utf8_lossy(&output.stdout).into_owned();
            let acknowledged =
                text.trim().split_once(' ').and_then(|(a, b)| Some((a.parse().ok()?, b.parse().ok()?)));
            let Some((us, peak)) = acknowledged else {
                println!("{name} at {size}: failed, {}", String::from_utf8_lossy(&output.stderr).trim());
                good = false;
                continue;
            };
            println!("{name} at {size}: {us:.3} us, peak {peak:.1} MB");
            times.push((*size as f64, us));
            peaks.push((*size as f64, peak));
        }
        let line =
            |points: &[(f64, f64)]| fit::line(points).map_or((0.0, 0.0, 0.0), |l| (l.base, l.slope, l.r2));
        let ((base, slope, r2), (peak_base, peak_slope, peak_r2)) = (line(&times), line(&peaks));
        let exponent = fit::power(&times).map_or((0.0, 0.0), |p| (p.exponent, p.r2));
        println!(
            "fit {name} ({about}): {base:.2} + {slope:.6} us each (R2 {r2:.3}, {}), power {:.2} (R2 {:.3}, {}); \
             {peak_base:.1} MB + {:.1} bytes each (R2 {peak_r2:.3})",
            fit::word(r2),
            exponent.0,
            exponent.1,
            fit::word(exponent.1),
            peak_slope * 1e6
        );
    }
    good
}
