//! Measures how evenly a gateway loads equal servers, in virtual time and from fixed seeds.

use oatbank_limiter_core::interface::*;
use oatbank_limiter_core::logic::Gateway;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

/// Model of equal servers that process all their requests in parallel.
#[derive(Clone, Copy)]
struct Model {
    servers: u64,
    clients: u32,
    /// Mean service time, ms.
    service: f64,
    exponential: bool,
}

fn settings() -> Settings {
    Settings {
        gateways: 1.0,
        classes: vec![Class { target: 1500.0, deadline: 4000.0, worth: 1.0, ..Class::default() }],
        plans: vec![Plan { rate: 1e9, burst: 1e9, price: 1.0, ..Plan::default() }],
        max_units: 1.0,
        max_attempts: 3,
        // The model supports one attempt per request.
        parallel_tries: false,
        cancelling: true,
        cold_start: 0.2,
        warm_after: 10_000.0,
        ..Settings::default()
    }
}

fn micros(ms: f64) -> u64 {
    (ms * 1000.0) as u64
}

/// Simulates clients that send the next request at once, and returns the requests served by each server.
fn simulate(model: Model, requests: usize) -> Vec<u64> {
    let mut rng = Pcg64Mcg::seed_from_u64(7);
    let mut gateway = Gateway::new(settings(), 3);
    let mut actions = Vec::new();
    let entries = (1..=model.servers)
        .map(|n| ServerEntry { server: ServerId(n), weight: 1.0, ..ServerEntry::default() })
        .collect();
    gateway.handle(1.0, Event::Servers { update: ListUpdate::Full, entries }, &mut actions);
    let mut served = vec![0u64; model.servers as usize];
    // Pending events by time: start of a request (0), end of an attempt (1), tick (2).
    let mut due: BinaryHeap<Reverse<(u64, u8, u32)>> = BinaryHeap::new();
    let mut out: HashMap<u32, (ServerId, f64)> = HashMap::new();
    (0..model.clients).for_each(|id| due.push(Reverse((micros(1000.0), 0, id))));
    due.push(Reverse((micros(1000.0), 2, 0)));
    let (mut next, mut begun) = (model.clients, 0);
    while let Some(Reverse((at, kind, id))) = due.pop() {
        let now = at as f64 / 1000.0;
        actions.clear();
        match kind {
            0 if begun >= requests => continue,
            0 => {
                begun += 1;
                let customer = CustomerId(u64::from(id) % 64);
                let request = Request {
                    id: RequestId(id),
                    customer,
                    units: 1.0,
                    time_left: 4000.0,
                    spread: 1.0,
                    ..Request::default()
                };
                gateway.handle(now, Event::Request(request), &mut actions);
            }
            1 => {
                let Some((server, sent)) = out.remove(&id) else { continue };
                served[server.0 as usize - 1] += 1;
                let (id, outcome, complete, took) = (RequestId(id), Outcome::Ok, true, now - sent);
                let load = Vec::new();
                let ended =
                    Event::Ended { id, attempt: 0, server, outcome, complete, took, settled: 0.0, load };
                gateway.handle(now, ended, &mut actions);
                due.push(Reverse((at, 0, next)));
                next += 1;
            }
            _ => {
                gateway.handle(now, Event::Timer(0), &mut actions);
                if begun < requests || !out.is_empty() {
                    due.push(Reverse((at + micros(20.0), 2, 0)));
                }
            }
        }
        for action in &actions {
            match action {
                Action::Send { id, server, .. } if !out.contains_key(&id.0) => {
                    let uniform = ((rng.next_u64() >> 11) as f64 + 1.0) / (1u64 << 53) as f64;
                    let took = model.service * if model.exponential { -uniform.ln() } else { 1.0 };
                    out.insert(id.0, (*server, now));
                    due.push(Reverse((at + micros(took).max(1), 1, id.0)));
                }
                Action::Refuse { .. } => {
                    due.push(Reverse((at + micros(10.0), 0, next)));
                    next += 1;
                }
                _ => {}
            }
        }
    }
    served
}

/// Returns the largest and the smallest load relative to the mean.
fn spread(served: &[u64]) -> (f64, f64) {
    let mean = served.iter().sum::<u64>() as f64 / served.len() as f64;
    let (least, most) = (served.iter().min().expect("servers"), served.iter().max().expect("servers"));
    (*most as f64 / mean, *least as f64 / mean)
}

#[test]
fn equal_servers_get_equal_load() {
    let mut uneven = Vec::new();
    for servers in [10, 100] {
        for clients in [1, 8, 64] {
            for service in [0.2, 5.0, 100.0] {
                for exponential in [false, true] {
                    let model = Model { servers, clients, service, exponential };
                    // With fewer requests per server the gateway would use only a subset.
                    let rate = f64::from(clients) / service;
                    if rate * 3000.0 < 2.0 * servers as f64 {
                        continue;
                    }
                    let (most, least) = spread(&simulate(model, 1000 * servers as usize));
                    println!(
                        "{servers:>4} servers {clients:>3} clients {service:>5} ms exponential {exponential:<5}: \
                         most {most:.2}, least {least:.2} of the mean"
                    );
                    if most > 1.3 || least < 0.7 {
                        uneven.push((servers, clients, service, exponential, most, least));
                    }
                }
            }
        }
    }
    assert!(uneven.is_empty(), "{uneven:#?}");
}
