//! Incident `quota-at-ninety`: ninety limiters learned of each other's admissions with a delay, and an overloading tenant
//! exceeded its quota. Decision-module quotas in virtual time.

use oatbank_limiter_core::interface::*;
use oatbank_limiter_core::logic::Quotas;
use oatbank_proxy::quota_counter::quota_settings;
use oatbank_proxy::quota_plan::{plan, QuotaAllowance};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;

/// The tenant's quota, requests per second.
const RATE: f64 = 172.0;
/// The tenant's burst, requests.
const BURST: f64 = 172.0;
/// The quota window, s.
const WINDOW: f64 = 5.0;
/// Round trip between a limiter and a counter's owner, including the batching of additions, ms.
const ROUND_TRIP: Millis = 95.0;
/// Interval of the decision modules' ticks.
const TICK_INTERVAL_MS: usize = 50;
/// The tenant overloads from this time on.
const OVERLOAD_START_MS: usize = 12_000;
/// End of the simulation.
const END_MS: usize = 24_000;

/// Measurements of one simulation.
#[derive(Debug)]
struct SimulationResult {
    /// Admissions in the fullest window relative to what is allowed.
    fullest_window: f64,
    /// Share of requests that were rejected before the overload.
    rejected: f64,
}

/// Simulates a tenant that sends 0.62 of its quota and later `overload` times as much, to random limiters.
fn simulate(seed: u64, limiters: usize, overload: f64, settings: QuotaSettings) -> SimulationResult {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut random = move || f64::from(rng.next_u32()) / f64::from(u32::MAX);
    let mut all: Vec<Quotas> =
        (0..limiters).map(|n| Quotas::new(settings.clone(), seed ^ n as u64)).collect();
    let mut totals: BTreeMap<CountName, f64> = BTreeMap::new();
    let mut calls: Vec<(f64, usize, CountName, f64)> = Vec::new();
    let mut adds: Vec<(f64, usize, CountName, f64)> = Vec::new();
    let (mut admitted_at, mut calm_requests, mut rejected) = (Vec::new(), 0.0, 0.0);
    let draw = |n| QuotaRequest {
        customer: CustomerId(n),
        units: 1.0,
        spread: limiters as f64,
        ..QuotaRequest::default()
    };
    for ms in 0..END_MS {
        let now = 60_000.0 + ms as f64;
        let usual_rate = 0.62 * RATE / 1000.0;
        if random() < if ms < OVERLOAD_START_MS { usual_rate } else { overload * usual_rate } {
            let (at, mut actions) = ((random() * limiters as f64) as usize % limiters, Vec::new());
            let within = all[at].admit(now, draw(1), &mut actions) == Verdict::Within;
            all[at].record(now, CustomerId(1), 1.0, within);
            if within {
                admitted_at.push(now);
            }
            if (5000..OVERLOAD_START_MS).contains(&ms) {
                (calm_requests, rejected) = (calm_requests + 1.0, rejected + f64::from(u8::from(!within)));
            }
            queue_adds(&mut adds, actions, now, at);
        }
        if ms % TICK_INTERVAL_MS == 0 {
            for (at, quotas) in all.iter_mut().enumerate() {
                let mut actions = Vec::new();
                quotas.tick(now, &mut actions);
                queue_adds(&mut adds, actions, now, at);
            }
        }
        // Each direction takes half of the round trip.
        adds.retain(|(when, at, name, add)| {
            let is_due = *when <= now;
            if is_due {
                let total = totals.entry(*name).or_default();
                *total += add;
                calls.push((now + ROUND_TRIP / 2.0, *at, *name, *total));
            }
            !is_due
        });
        calls.retain(|(when, at, name, total)| {
            let is_due = *when <= now;
            if is_due {
                all[*at].handle_reply(now, *name, Outcome::Ok, ROUND_TRIP, *total);
            }
            !is_due
        });
    }
    let allowed = (RATE * WINDOW + BURST) * 1.1 + 20.0;
    let within =
        |from: f64| admitted_at.iter().filter(|at| (from..from + WINDOW * 1000.0).contains(*at)).count();
    let fullest = admitted_at.iter().step_by(7).map(|at| within(*at)).max().unwrap_or(0);
    SimulationResult { fullest_window: fullest as f64 / allowed, rejected: rejected / calm_requests }
}

fn queue_adds(adds: &mut Vec<(f64, usize, CountName, f64)>, actions: Vec<Action>, now: Millis, at: usize) {
    for action in actions {
        if let Action::Count { name, add, .. } = action {
            adds.push((now + ROUND_TRIP / 2.0, at, name, add));
        }
    }
}

fn plans(limiters: usize) -> Vec<Plan> {
    let allowed = QuotaAllowance { window: WINDOW, over: 0.1, slack: 20.0, limiters: limiters as f64 };
    vec![plan(RATE, BURST, allowed)]
}

#[test]
fn an_overloading_tenant_stays_within_its_quota_with_9_and_87_limiters() {
    for limiters in [9, 87] {
        for (seed, overload) in [(1, 4.3), (2, 7.5), (3, 7.5)] {
            let result = simulate(seed, limiters, overload, quota_settings(plans(limiters), limiters as f64));
            println!("{limiters} limiters, seed {seed}, {overload} times: {result:?}");
            assert!(result.fullest_window <= 1.0, "{limiters} limiters, seed {seed}: {result:?}");
            assert!(result.rejected < 0.02, "{limiters} limiters, seed {seed}: {result:?}");
        }
    }
}

#[test]
fn an_unreported_share_of_a_tenth_per_limiter_exceeds_the_quota() {
    let settings = QuotaSettings { sync_share: 0.1, ..quota_settings(plans(9), 87.0) };
    let result = simulate(2, 87, 7.5, settings);
    println!("87 limiters, each may leave a tenth unreported: {result:?}");
    assert!(result.fullest_window > 1.05, "{result:?}");
}
