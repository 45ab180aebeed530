//! Decides whether a zone fails, one limiter's path to it, the link between two zones, or everything.
//!
//! A sequential test (CUSUM) over the new attempts of all limiters detects that something fails; the set of limiters that
//! observe the failures tells which part fails. A quorum of limiters alone would be slow where each limiter has little
//! traffic. Evidence alone would let one limiter with a broken path and many attempts remove the zone for the whole fleet.

use crate::evidence::{Increment, LimiterReports};
use crate::Millis;
use std::collections::BTreeMap;

/// Lower bound of the failure rate that counts as healthy.
const MIN_HEALTHY_RATE: f64 = 0.02;
/// A zone counts as failing if its failure rate exceeds that of the other zones by this much.
const FAILURE_RATE_EXCESS: f64 = 0.10;
/// Log-likelihood ratio at which the test reports a failure: odds of e^12 against chance.
const FAILURE_THRESHOLD: f64 = 12.0;
/// Maximum number of attempts that one report adds to the test, so that no limiter outweighs the others.
const MAX_ATTEMPTS_PER_REPORT: f64 = 20.0;
/// Share of the limiters with attempts in the zone that must have observed failures themselves.
const OBSERVER_QUORUM: f64 = 0.5;
/// A limiter with fewer attempts in the zone is not counted.
const MIN_ATTEMPTS: f64 = 2.0;
/// At this failure rate in the other zones, failing over does not help.
const GLOBAL_FAILURE_RATE: f64 = 0.5;

/// The assessment of a zone.
#[derive(Clone, Debug, PartialEq, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// No failures beyond chance.
    Sound,
    /// The zone fails for most limiters that use it.
    Fails,
    /// Only these limiters observe failures: their path to the zone is broken.
    CutOff(Vec<u16>),
    /// Exactly the limiters located in this other zone observe failures: the link between the two zones is broken.
    Link(String),
    /// The other zones fail as well: failing over does not help.
    Everything,
}

/// Sequential failure test (CUSUM) of each zone.
#[derive(Clone, Debug, Default)]
pub struct SequentialTest {
    by_zone: BTreeMap<String, ZoneEvidence>,
}

/// Evidence against a zone since the sum was last zero.
#[derive(Clone, Debug, Default)]
struct ZoneEvidence {
    sum: f64,
    /// Attempts and failed attempts of each limiter in this time. A limiter avoids failing servers by itself within a
    /// second, so its later attempts no longer show who has observed the failure.
    by_limiter: BTreeMap<u16, (f64, f64)>,
}

impl SequentialTest {
    /// Adds the new attempts of a limiter; `baseline` is the failure rate of the other zones.
    pub fn add(&mut self, from: u16, increment: &Increment, baseline: f64) {
        let (p0, p1) = rates(baseline);
        let part = (MAX_ATTEMPTS_PER_REPORT / (increment.bad + increment.ok)).min(1.0);
        let step = part * (increment.bad * (p1 / p0).ln() + increment.ok * ((1.0 - p1) / (1.0 - p0)).ln());
        let run = self.by_zone.entry(increment.zone.clone()).or_default();
        // Capped, so that a long failure does not take equally long to be cleared.
        run.sum = (run.sum + step).clamp(0.0, 2.0 * FAILURE_THRESHOLD);
        if run.sum <= 0.0 {
            return run.by_limiter.clear();
        }
        let (attempts, bad) = run.by_limiter.entry(from).or_default();
        (*attempts, *bad) = (*attempts + increment.bad + increment.ok, *bad + increment.bad);
    }

    /// The log-likelihood ratio against a zone, to compare with [`SequentialTest::threshold`].
    pub fn sum(&self, zone: &str) -> f64 {
        self.by_zone.get(zone).map_or(0.0, |run| run.sum)
    }

    /// The log-likelihood ratio at which a zone counts as failing.
    pub const fn threshold() -> f64 {
        FAILURE_THRESHOLD
    }

    /// Discards the evidence against a zone, when its share in use has changed.
    pub fn reset(&mut self, zone: &str) {
        self.by_zone.remove(zone);
    }
}

/// The failure rates of a healthy and of a failing zone, between which the test distinguishes.
fn rates(baseline: f64) -> (f64, f64) {
    let p0 = baseline.clamp(MIN_HEALTHY_RATE, 0.8);
    (p0, (p0 + FAILURE_RATE_EXCESS).max(2.0 * p0).min(0.95))
}

/// The failure rate of the other zones; `MIN_HEALTHY_RATE` if they have too few attempts.
pub fn baseline_rate(reports: &LimiterReports, now: Millis, zone: &str) -> f64 {
    let others = reports.sum_others(now, zone);
    if others.attempts() < MIN_ATTEMPTS {
        return MIN_HEALTHY_RATE;
    }
    others.bad / others.attempts()
}

/// Assesses a zone by its accumulated evidence and the limiters that observed it.
pub fn assess(reports: &LimiterReports, test: &SequentialTest, now: Millis, zone: &str) -> Verdict {
    let Some(run) = test.by_zone.get(zone).filter(|run| run.sum >= FAILURE_THRESHOLD) else {
        return Verdict::Sound;
    };
    let views = reports.views(now, zone);
    let baseline = baseline_rate(reports, now, zone);
    let (_, p1) = rates(baseline);
    let tally = |n: &u16| run.by_limiter.get(n).copied().unwrap_or_default();
    // Includes limiters that have not reported since the run began: they may observe no failures.
    let active: Vec<_> =
        views.iter().filter(|(n, _, v)| tally(n).0.max(v.attempts()) >= MIN_ATTEMPTS).collect();
    // The limiter has observed failures itself, at more than half the rate of a failing zone.
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
    let mut home_zones: Vec<&str> = observers.iter().filter_map(|(_, own, _)| *own).collect();
    home_zones.sort_unstable();
    home_zones.dedup();
    if let ([home_zone], true) = (&home_zones[..], observers.len() > 1) {
        let all = active.iter().filter(|(_, own, _)| *own == Some(home_zone)).count();
        if observers.len() == all && *home_zone != zone {
            return Verdict::Link((*home_zone).to_owned());
        }
    }
    match observers.is_empty() {
        true => Verdict::Sound,
        false => Verdict::CutOff(observers.iter().map(|(n, _, _)| *n).collect()),
    }
}

#[cfg(test)]
mod tests;
