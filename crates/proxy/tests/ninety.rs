//! A tenant's quota over ninety limiters that hear of each other late: the incident `quota-at-ninety`.

use oatbank_limiter_core::interface::*;
use oatbank_limiter_core::logic::Quotas;
use oatbank_proxy::quota_counter::quota_settings;
use oatbank_proxy::quota_plan::{plan, QuotaAllowance};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;

const RATE: f64 = 172.0;
const BURST: f64 = 172.0;
const WINDOW: f64 = 5.0;
/// Between a limiter and a number's keeper and back, and until adds are gathered, ms.
const LATE: Millis = 95.0;
/// Milliseconds between two looks at what is due.
const TICK: usize = 50;
const CALM: usize = 12_000;
const END: usize = 24_000;

/// What became of the worst window, as a part of what the rule allows, and the share refused in calm times.
#[derive(Debug)]
struct Day {
    worst: f64,
    refused: f64,
}

/// So many limiters, a tenant that asks at 0.62 of its quota and then at `hot` times that, by chance at any limiter.
fn play(seed: u64, limiters: usize, hot: f64, set: QuotaSettings) -> Day {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut roll = move || f64::from(rng.next_u32()) / f64::from(u32::MAX);
    let mut all: Vec<Quotas> = (0..limiters).map(|n| Quotas::new(set.clone(), seed ^ n as u64)).collect();
    let mut totals: BTreeMap<CountName, f64> = BTreeMap::new();
    let mut calls: Vec<(f64, usize, CountName, f64)> = Vec::new();
    let mut adds: Vec<(f64, usize, CountName, f64)> = Vec::new();
    let (mut ran, mut calm, mut refused) = (Vec::new(), 0.0, 0.0);
    let draw = |n| QuotaRequest {
        customer: CustomerId(n),
        units: 1.0,
        spread: limiters as f64,
        ..QuotaRequest::default()
    };
    for ms in 0..END {
        let now = 60_000.0 + ms as f64;
        let usual = 0.62 * RATE / 1000.0;
        if roll() < if ms < CALM { usual } else { hot * usual } {
            let (at, mut wait_until_applied) = ((roll() * limiters as f64) as usize % limiters, Vec::new());
            let within = all[at].admit(now, draw(1), &mut wait_until_applied) == Verdict::Within;
            all[at].record(now, CustomerId(1), 1.0, within);
            if within {
                ran.push(now);
            }
            if (5000..CALM).contains(&ms) {
                (calm, refused) = (calm + 1.0, refused + f64::from(u8::from(!within)));
            }
            push(&mut adds, wait_until_applied, now, at);
        }
        if ms % TICK == 0 {
            for (at, quotas) in all.iter_mut().enumerate() {
                let mut wait_until_applied = Vec::new();
                quotas.tick(now, &mut wait_until_applied);
                push(&mut adds, wait_until_applied, now, at);
            }
        }
        // Half of the way there, and half of it back.
        adds.retain(|(when, at, name, add)| {
            let comes = *when <= now;
            if comes {
                let total = totals.entry(*name).or_default();
                *total += add;
                calls.push((now + LATE / 2.0, *at, *name, *total));
            }
            !comes
        });
        calls.retain(|(when, at, name, total)| {
            let comes = *when <= now;
            if comes {
                all[*at].handle_reply(now, *name, Outcome::Ok, LATE, *total);
            }
            !comes
        });
    }
    let allowed = (RATE * WINDOW + BURST) * 1.1 + 20.0;
    let within = |from: f64| ran.iter().filter(|at| (from..from + WINDOW * 1000.0).contains(*at)).count();
    let most = ran.iter().step_by(7).map(|at| within(*at)).max().unwrap_or(0);
    Day { worst: most as f64 / allowed, refused: refused / calm }
}

fn push(
    adds: &mut Vec<(f64, usize, CountName, f64)>,
    wait_until_applied: Vec<Action>,
    now: Millis,
    at: usize,
) {
    for act in wait_until_applied {
        if let Action::Count { name, add, .. } = act {
            adds.push((now + LATE / 2.0, at, name, add));
        }
    }
}

fn plans(limiters: usize) -> Vec<Plan> {
    let allowed = QuotaAllowance { window: WINDOW, over: 0.1, slack: 20.0, limiters: limiters as f64 };
    vec![plan(RATE, BURST, allowed)]
}

#[test]
fn a_hot_tenant_keeps_to_its_quota_at_nine_and_at_ninety_limiters() {
    for limiters in [9, 87] {
        for (seed, hot) in [(1, 4.3), (2, 7.5), (3, 7.5)] {
            let day = play(seed, limiters, hot, quota_settings(plans(limiters), limiters as f64));
            println!("{limiters} limiters, seed {seed}, {hot} times: {day:?}");
            assert!(day.worst <= 1.0, "{limiters} limiters, seed {seed}: {day:?}");
            assert!(day.refused < 0.02, "{limiters} limiters, seed {seed}: {day:?}");
        }
    }
}

#[test]
fn with_a_tenth_of_the_burst_left_untold_by_each_the_same_check_fails() {
    let set = QuotaSettings { sync_share: 0.1, ..quota_settings(plans(9), 87.0) };
    let day = play(2, 87, 7.5, set);
    println!("87 limiters, a tenth untold by each: {day:?}");
    assert!(day.worst > 1.05, "{day:?}");
}
