//! A tenant's quota over limiters that are cut off from each other for long: the incident `quota-separated`. Real quotas, the
//! real choice of keepers and parts, in virtual time.

use oatbank_cluster_state::messages::MemberRow;
use oatbank_cluster_state::state::member_state;
use oatbank_limiter_core::interface::*;
use oatbank_limiter_core::logic::Quotas;
use oatbank_proxy::counter_owner::owner_of;
use oatbank_proxy::quota_counter::quota_settings;
use oatbank_proxy::quota_partition::{owns_counters, QuotaPartition};
use oatbank_proxy::quota_plan::{plan, QuotaAllowance};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;

const RATE: f64 = 83.0;
const BURST: f64 = 83.0;
const WINDOW: f64 = 5.0;
const LATE: Millis = 45.0;
const TICK: usize = 50;
const CUT: usize = 10_000;
const JOINED: usize = 26_000;
const END: usize = 36_000;

/// What limiters see of each other, and whether that matters to them.
#[derive(Clone, Copy)]
struct Sight {
    /// Limiters from this one on are cut off from the others.
    first: usize,
    /// From then on the tenant presses, ms.
    hot: usize,
    /// As it was before: each side gives out the whole.
    is_snapshot: bool,
}

fn name(limiter: usize) -> String {
    format!("edge-{limiter}")
}

impl Sight {
    fn reaches(&self, ms: usize, one: usize, other: usize) -> bool {
        !(CUT..JOINED).contains(&ms) || (one >= self.first) == (other >= self.first)
    }

    /// How the others stand to this limiter: the core is on the larger side, where sessions end; a call was held for half
    /// a second before.
    fn members(&self, ms: usize, one: usize, limiters: usize) -> Vec<(MemberRow, Millis)> {
        let row = |other: usize| {
            let ago = if self.reaches(ms, one, other) { 300.0 } else { (ms - CUT) as f64 + 500.0 };
            let expired = ago > 2000.0 && one < self.first;
            (
                MemberRow { name: name(other), expired, state: member_state::READY, ..MemberRow::default() },
                ago,
            )
        };
        (0..limiters).filter(|other| *other != one).map(row).collect()
    }

    fn reach(&self, ms: usize, one: usize, limiters: usize) -> QuotaPartition {
        let confirmed = if self.reaches(ms, one, 0) { 500.0 } else { (ms - CUT) as f64 + 500.0 };
        let members = self.members(ms, one, limiters);
        let reach =
            QuotaPartition::of(&name(one), members.iter().map(|(row, ago)| (row, *ago)), Some(confirmed));
        match self.is_snapshot {
            true => QuotaPartition { separated: 0, is_alone: false, ..reach },
            false => reach,
        }
    }

    /// The limiter that keeps this number for this one.
    fn owner_of(&self, ms: usize, one: usize, limiters: usize, number: u64) -> usize {
        if self.reach(ms, one, limiters).is_alone {
            return one;
        }
        let members = self.members(ms, one, limiters);
        let kept = members.iter().filter(|(row, ago)| {
            // Nobody judges sessions where the core is not: before, numbers stayed where they were there.
            owns_counters(row, *ago) && !(self.is_snapshot && one >= self.first && *ago > 4000.0)
        });
        let names: Vec<&str> = kept.map(|(row, _)| row.name.as_str()).collect();
        let me = name(one);
        let drawn = owner_of(number, names.into_iter().chain(std::iter::once(me.as_str()))).unwrap();
        drawn.strip_prefix("edge-").unwrap().parse().unwrap()
    }
}

struct Call {
    at: Millis,
    from: usize,
    name: CountName,
    /// What the keeper says; none: it was not reached.
    total: Option<f64>,
}

/// The worst window as a part of what the rule allows, and what was let through in the cut as a part of the rate.
fn play(seed: u64, limiters: usize, sight: Sight) -> (f64, f64) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut roll = move || f64::from(rng.next_u32()) / f64::from(u32::MAX);
    let settings = |reach: QuotaPartition| {
        let share = if reach.is_alone { 1.0 } else { limiters as f64 };
        let allowed =
            QuotaAllowance { window: WINDOW, over: 0.1, slack: 20.0 * reach.share(), limiters: share };
        quota_settings(vec![plan(RATE * reach.share(), BURST * reach.share(), allowed)], share)
    };
    let reaches: Vec<QuotaPartition> = (0..limiters).map(|one| sight.reach(0, one, limiters)).collect();
    let mut all: Vec<Quotas> =
        reaches.iter().enumerate().map(|(n, reach)| Quotas::new(settings(*reach), seed ^ n as u64)).collect();
    let mut planned = reaches;
    let mut totals: BTreeMap<(usize, CountName), f64> = BTreeMap::new();
    let (mut adds, mut calls) = (Vec::new(), Vec::<Call>::new());
    let mut ran = Vec::new();
    for ms in 0..END {
        let now = 60_000.0 + ms as f64;
        if roll() < if ms < sight.hot { 0.62 } else { 7.5 * 0.62 } * RATE / 1000.0 {
            let (at, mut wait_until_applied) = ((roll() * limiters as f64) as usize % limiters, Vec::new());
            let spread = if planned[at].is_alone { 1.0 } else { limiters as f64 };
            let draw =
                QuotaRequest { customer: CustomerId(1), units: 1.0, spread, ..QuotaRequest::default() };
            let within = all[at].admit(now, draw, &mut wait_until_applied) == Verdict::Within;
            all[at].record(now, CustomerId(1), 1.0, within);
            if within {
                ran.push(now);
            }
            push(&mut adds, wait_until_applied, now, at);
        }
        if ms % TICK == 0 {
            for at in 0..limiters {
                let reach = sight.reach(ms, at, limiters);
                if reach != planned[at] {
                    all[at].apply_settings(settings(reach));
                    planned[at] = reach;
                }
                // Other tenants' keepers answer: only these numbers are out of reach.
                all[at].handle_reply(now, CountName(0), Outcome::Ok, LATE, 0.0);
                let mut wait_until_applied = Vec::new();
                all[at].tick(now, &mut wait_until_applied);
                push(&mut adds, wait_until_applied, now, at);
            }
        }
        adds.retain(|(when, from, name, add)| {
            let comes = *when <= now;
            if comes {
                let owner_of = sight.owner_of(ms, *from, limiters, name.0);
                let total = sight.reaches(ms, *from, owner_of).then(|| {
                    let total = totals.entry((owner_of, *name)).or_default();
                    *total += add;
                    *total
                });
                let back = if total.is_some() { LATE / 2.0 } else { 400.0 };
                calls.push(Call { at: now + back, from: *from, name: *name, total });
            }
            !comes
        });
        calls.retain(|call| {
            let comes = call.at <= now;
            if comes {
                let (outcome, took) = match call.total {
                    Some(_) => (Outcome::Ok, LATE),
                    None => (Outcome::TimedOut, 400.0),
                };
                all[call.from].handle_reply(now, call.name, outcome, took, call.total.unwrap_or(0.0));
            }
            !comes
        });
    }
    let allowed = (RATE * WINDOW + BURST) * 1.1 + 20.0;
    let within = |from: f64| ran.iter().filter(|at| (from..from + WINDOW * 1000.0).contains(*at)).count();
    let worst = ran.iter().step_by(3).map(|at| within(*at)).max().unwrap_or(0);
    let separated = 60_000.0 + (CUT + 6000) as f64..60_000.0 + JOINED as f64;
    let given = ran.iter().filter(|at| separated.contains(*at)).count() as f64;
    (worst as f64 / allowed, given / (RATE * (separated.end - separated.start) / 1000.0))
}

fn push(
    adds: &mut Vec<(Millis, usize, CountName, f64)>,
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

#[test]
fn limiters_that_are_cut_off_from_each_other_divide_a_quota() {
    for seed in 1..=2 {
        for hot in [0, CUT - 2000] {
            for (limiters, separated) in [(9, 1), (9, 2), (9, 3), (30, 5), (87, 15)] {
                let (worst, given) =
                    play(seed, limiters, Sight { first: limiters - separated, hot, is_snapshot: false });
                println!("seed {seed}, hot {hot}, {separated} of {limiters} apart: worst {worst:.2}, in the cut {given:.2}");
                assert!(worst <= 1.0, "seed {seed}, {separated} of {limiters} apart: {worst:.2}");
                assert!(
                    given > 0.75,
                    "seed {seed}, {separated} of {limiters} apart: only {given:.2} is given out"
                );
            }
        }
    }
}

#[test]
fn where_each_side_gives_out_the_whole_the_same_check_fails() {
    let (worst, given) = play(1, 9, Sight { first: 6, hot: 0, is_snapshot: true });
    println!("3 of 9 apart, each side gives out the whole: worst {worst:.2}, in the cut {given:.2}");
    assert!(worst > 1.2 && given > 1.5);
}

#[test]
fn who_said_that_it_ends_holds_nothing_back_and_who_fell_silent_does() {
    let row =
        |name: &str, expired, state| MemberRow { name: name.into(), expired, state, ..MemberRow::default() };
    let members = [
        (row("me", false, member_state::READY), 0.0),
        (row("well", false, member_state::READY), 400.0),
        (row("silent", true, member_state::READY), 3900.0),
        (row("gone", true, member_state::READY), 60_000.0),
        (row("ended", true, member_state::LEAVING), 60_000.0),
    ];
    let of = |confirmed| QuotaPartition::of("me", members.iter().map(|(row, ago)| (row, *ago)), confirmed);
    assert_eq!(of(Some(1500.0)), QuotaPartition { connected: 2, separated: 2, is_alone: false });
    assert_eq!(of(Some(1501.0)), QuotaPartition { connected: 1, separated: 3, is_alone: true });
    assert_eq!(of(None).share(), 0.25);
}
