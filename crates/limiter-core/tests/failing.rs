//! Simulates several gateways with servers that fail part of their requests, in virtual time and from fixed seeds, and
//! measures where the traffic goes and how much of it is lost.

mod events;

use events::{asks, ended};
use oatbank_limiter_core::interface::*;
use oatbank_limiter_core::logic::Gateway;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;

/// Number of zones; the gateways are in the first.
const ZONES: u64 = 3;
/// Servers per zone.
const SERVERS_PER_ZONE: u64 = 3;
/// Requests per second over all gateways.
const RATE: f64 = 240.0;
/// Mean service time, ms.
const SERVICE: f64 = 8.0;
/// Time at which the failures begin, s.
const ONSET: f64 = 10.0;

fn settings(gateways: usize) -> Settings {
    let class =
        Class { target: 500.0, deadline: 2000.0, worth: 1.0, repeat: Repeat::Unsafe, ..Class::default() };
    Settings {
        gateways: gateways as f64,
        classes: vec![class],
        plans: vec![Plan { rate: 1e6, burst: 1e6, price: 1.0, ..Plan::default() }],
        max_units: 1.0,
        max_attempts: 3,
        cancelling: true,
        ..Settings::default()
    }
}

/// Returns the fraction of requests that a server fails at a time in seconds.
type Failing<'a> = &'a dyn Fn(ServerId, f64) -> f64;

/// A finished request: time of arrival in seconds, server, and whether it succeeded.
struct FinishedRequest {
    at: f64,
    server: ServerId,
    served: bool,
}

fn zone(server: ServerId) -> u64 {
    (server.0 - 1) / SERVERS_PER_ZONE
}

fn simulate(gateways: usize, seconds: f64, failing: Failing, seed: u64) -> Vec<FinishedRequest> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut chance = move || (f64::from(rng.next_u32()) + 1.0) / (f64::from(u32::MAX) + 2.0);
    let mut fleet: Vec<Gateway> =
        (0..gateways).map(|n| Gateway::new(settings(gateways), seed << 16 | n as u64)).collect();
    let (mut due, mut serial) = (BTreeMap::new(), 0u64);
    let mut post = |due: &mut BTreeMap<(u64, u64), _>, at: f64, what: (usize, Option<Event>)| {
        serial += 1;
        due.insert(((at * 1000.0) as u64, serial), what);
    };
    let begin = 10_000.0;
    for n in 0..gateways {
        let line =
            |s| ServerEntry { server: ServerId(s), zone: zone(ServerId(s)) as u16, ..Default::default() };
        let entries = (1..=ZONES * SERVERS_PER_ZONE).map(line).collect();
        post(&mut due, begin, (n, Some(Event::Servers { update: ListUpdate::Full, entries })));
        post(&mut due, begin + 1.0, (n, None));
    }
    let (mut actions, mut number, mut done) = (Vec::new(), 0u32, Vec::new());
    while let Some(((at, _), (n, event))) = due.pop_first() {
        let now = at as f64 / 1000.0;
        let second = (now - begin) / 1000.0;
        if second > seconds {
            break;
        }
        let event = event.unwrap_or_else(|| {
            let gap = -chance().ln() * 1000.0 * gateways as f64 / RATE;
            post(&mut due, now + gap, (n, None));
            number += 1;
            let (id, customer) = (RequestId(number), CustomerId(u64::from(number % 50)));
            asks(id, customer, gateways as f64, 2000.0)
        });
        actions.clear();
        fleet[n].handle(now, event, &mut actions);
        for action in actions.drain(..) {
            match action {
                Action::Send { id, server, .. } => {
                    let served = chance() >= failing(server, second);
                    done.push(FinishedRequest { at: second, server, served });
                    let outcome = if served { Outcome::Ok } else { Outcome::Error };
                    let took = SERVICE * (0.5 + chance());
                    post(&mut due, now + took, (n, Some(ended(id, 0, server, outcome, took))));
                }
                Action::Timer { after, name } => post(&mut due, now + after, (n, Some(Event::Timer(name)))),
                _ => {}
            }
        }
    }
    done
}

/// Returns the fraction of the requests of a span that went to the first zone, and the fraction that succeeded.
fn shares(done: &[FinishedRequest], from: f64, to: f64) -> (f64, f64) {
    let span: Vec<&FinishedRequest> = done.iter().filter(|d| (from..to).contains(&d.at)).collect();
    let all = span.len().max(1) as f64;
    let in_first_zone = span.iter().filter(|d| zone(d.server) == 0).count() as f64;
    (in_first_zone / all, span.iter().filter(|d| d.served).count() as f64 / all)
}

/// Returns, for each span, the fractions sent to the first zone and served, averaged over four seeds.
fn mean_shares(gateways: usize, failing: Failing, spans: &[(f64, f64)]) -> Vec<(f64, f64)> {
    let mut rows = vec![(0.0, 0.0); spans.len()];
    for seed in 1..=4 {
        let done = simulate(gateways, spans.last().map_or(0.0, |s| s.1), failing, seed);
        for (row, (from, to)) in rows.iter_mut().zip(spans) {
            let (in_first_zone, served) = shares(&done, *from, *to);
            (row.0, row.1) = (row.0 + in_first_zone / 4.0, row.1 + served / 4.0);
        }
    }
    rows
}

/// The first zone fails this fraction of its requests from the onset on; all other requests fail at 0.002.
fn first_zone(share: f64) -> impl Fn(ServerId, f64) -> f64 {
    move |server, at| if zone(server) == 0 && at >= ONSET { share } else { 0.002 }
}

const SPANS: [(f64, f64); 4] = [(5.0, 10.0), (10.0, 13.0), (13.0, 20.0), (20.0, 60.0)];

#[test]
fn servers_that_fail_a_quarter_of_their_requests_lose_their_traffic() {
    // Regression: ejection after three consecutive failures, which are rare, left 87 to 95% of the traffic there with
    // 6 gateways and all of it with 24.
    for gateways in [6, 24] {
        let rows = mean_shares(gateways, &first_zone(0.25), &SPANS);
        println!("{gateways} gateways: {rows:.3?}");
        assert!(rows[0].0 > 0.95, "the near zone is used while it is healthy: {rows:.3?}");
        for (in_first_zone, served) in &rows[2..] {
            assert!(*in_first_zone < 0.06 && *served >= 0.97, "{gateways} gateways: {rows:.3?}");
        }
    }
}

#[test]
fn servers_keep_their_traffic_when_all_fail_alike() {
    let all = |_: ServerId, at: f64| if at >= ONSET { 0.25 } else { 0.002 };
    let rows = mean_shares(6, &all, &SPANS);
    println!("{rows:.3?}");
    for (in_first_zone, served) in &rows[2..] {
        // The near zone is no worse than the others, so it may get all of the traffic.
        assert!(*in_first_zone > 0.15 && (0.72..0.78).contains(served), "{rows:.3?}");
    }
}

#[test]
fn a_recovered_zone_gets_its_traffic_back() {
    let while_bad = |server: ServerId, at: f64| {
        if zone(server) == 0 && (ONSET..ONSET + 10.0).contains(&at) {
            0.25
        } else {
            0.0
        }
    };
    let rows = mean_shares(6, &while_bad, &[(5.0, 10.0), (13.0, 20.0), (90.0, 120.0)]);
    println!("{rows:.3?}");
    assert!(rows[1].0 < 0.06 && rows[2].0 > 0.9, "{rows:.3?}");
}

#[test]
#[ignore = "a measurement: cargo test --profile tested -p oatbank-limiter-core --test failing -- --ignored --nocapture"]
fn table() {
    for gateways in [1, 6, 24] {
        for share in [0.0, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0] {
            println!(
                "{gateways:>3} gateways, {share:>4}: {:.3?}",
                mean_shares(gateways, &first_zone(share), &SPANS)
            );
        }
    }
}
