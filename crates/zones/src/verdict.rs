//! Does a zone fail, or one limiter's way to it, or the link between two zones, or everything?
//!
//! A sequential test (CUSUM) over all limiters' new attempts says *that* something fails and how soon; who sees it says *what*.
//! A quorum of limiters alone would be slow where each sees little, and a quorum of evidence alone would let one limiter
//! that is cut off, and tries a lot, take the zone from all.

use crate::evidence::{Increment, LimiterReports};
use crate::Millis;
use std::collections::BTreeMap;

/// The rate of failures that is nobody's fault, at least.
const MIN_HEALTHY_RATE: f64 = 0.02;
/// The rate that is worth leaving for is so much more than what the other zones have.
const FAILURE_RATE_EXCESS: f64 = 0.10;
/// The evidence at which the test says that it fails: the odds of e^12 against an accident.
const FAILURE_THRESHOLD: f64 = 12.0;
/// A limiter's report counts for so many attempts at most in one go, so that none outvotes the rest.
const MAX_ATTEMPTS_PER_REPORT: f64 = 20.0;
/// The part of the limiters with tries there that must have seen failures of their own.
const OBSERVER_QUORUM: f64 = 0.5;
/// A limiter with fewer tries in its view is not asked.
const MIN_ATTEMPTS: f64 = 2.0;
/// Where so much of all attempts outside fail too, there is nowhere to go.
const GLOBAL_FAILURE_RATE: f64 = 0.5;

/// What is found of a zone.
#[derive(Clone, Debug, PartialEq, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// Nothing that could not be an accident.
    Sound,
    /// It fails, for most that try.
    Fails,
    /// These limiters alone see it fail: it is their way there.
    CutOff(Vec<u16>),
    /// Those that stand in this zone see it fail, and no others: the link between the two.
    Link(String),
    /// It fails, and so do the others: nothing is won by leaving.
    Everything,
}

/// The test's sums, by zone.
#[derive(Clone, Debug, Default)]
pub struct SequentialTest {
    by_zone: BTreeMap<String, ZoneEvidence>,
}

/// A zone's evidence since it last came to nothing.
#[derive(Clone, Debug, Default)]
struct ZoneEvidence {
    sum: f64,
    /// What each limiter tried since, and how much of it failed. Limiters leave what fails by themselves within a second, so
    /// that nothing else tells who has seen it.
    by_limiter: BTreeMap<u16, (f64, f64)>,
}

impl SequentialTest {
    /// Takes in what is new; `sound` is the rate of failures in the other zones.
    pub fn add(&mut self, from: u16, increment: &Increment, baseline: f64) {
        let (p0, p1) = rates(baseline);
        let part = (MAX_ATTEMPTS_PER_REPORT / (increment.bad + increment.ok)).min(1.0);
        let step = part * (increment.bad * (p1 / p0).ln() + increment.ok * ((1.0 - p1) / (1.0 - p0)).ln());
        let run = self.by_zone.entry(increment.zone.clone()).or_default();
        // Bounded above as well: what was sure for long must not take as long to be doubted.
        run.sum = (run.sum + step).clamp(0.0, 2.0 * FAILURE_THRESHOLD);
        if run.sum <= 0.0 {
            return run.by_limiter.clear();
        }
        let (attempts, bad) = run.by_limiter.entry(from).or_default();
        (*attempts, *bad) = (*attempts + increment.bad + increment.ok, *bad + increment.bad);
    }

    /// The evidence against a zone, of [`Test::sure`].
    pub fn sum(&self, zone: &str) -> f64 {
        self.by_zone.get(zone).map_or(0.0, |run| run.sum)
    }

    /// Where it is sure.
    pub const fn threshold() -> f64 {
        FAILURE_THRESHOLD
    }

    /// A zone is looked at anew: it was left, or begins to be used again.
    pub fn reset(&mut self, zone: &str) {
        self.by_zone.remove(zone);
    }
}

/// The rates between which the test tells.
fn rates(baseline: f64) -> (f64, f64) {
    let p0 = baseline.clamp(MIN_HEALTHY_RATE, 0.8);
    (p0, (p0 + FAILURE_RATE_EXCESS).max(2.0 * p0).min(0.95))
}

/// The rate of failures outside a zone, as a limit for what is sound.
pub fn baseline_rate(board: &LimiterReports, now: Millis, zone: &str) -> f64 {
    let others = board.sum_others(now, zone);
    if others.attempts() < MIN_ATTEMPTS {
        return MIN_HEALTHY_RATE;
    }
    others.bad / others.attempts()
}

/// What is found of a zone now.
pub fn assess(board: &LimiterReports, test: &SequentialTest, now: Millis, zone: &str) -> Verdict {
    let Some(run) = test.by_zone.get(zone).filter(|run| run.sum >= FAILURE_THRESHOLD) else {
        return Verdict::Sound;
    };
    let views = board.views(now, zone);
    let baseline = baseline_rate(board, now, zone);
    let (_, p1) = rates(baseline);
    let tally = |n: &u16| run.by_limiter.get(n).copied().unwrap_or_default();
    // Also those that have not reported since the run began: they may see nothing.
    let active: Vec<_> =
        views.iter().filter(|(n, _, v)| tally(n).0.max(v.attempts()) >= MIN_ATTEMPTS).collect();
    // It has seen failures of its own, and more than the rate between sound and not.
    let observes_failures = |n: &u16| tally(n).1 >= 1.0 && tally(n).1 / tally(n).0 > p1 / 2.0;
    let observers: Vec<_> = active.iter().filter(|(n, ..)| observes_failures(n)).collect();
    if active.is_empty() {
        return Verdict::Sound;
    }
    if baseline >= GLOBAL_FAILURE_RATE {
        return Verdict::Everything;
    }
    let part = observers.len() as f64 / active.len() as f64;
    if part >= OBSERVER_QUORUM && (active.len() > 1 || views.len() == 1) {
        return Verdict::Fails;
    }
    let mut homes: Vec<&str> = observers.iter().filter_map(|(_, own, _)| *own).collect();
    homes.sort_unstable();
    homes.dedup();
    if let ([home], true) = (&homes[..], observers.len() > 1) {
        let all = active.iter().filter(|(_, own, _)| *own == Some(home)).count();
        if observers.len() == all && *home != zone {
            return Verdict::Link((*home).to_owned());
        }
    }
    match observers.is_empty() {
        true => Verdict::Sound,
        false => Verdict::CutOff(observers.iter().map(|(n, _, _)| *n).collect()),
    }
}

#[cfg(test)]
mod tests;
