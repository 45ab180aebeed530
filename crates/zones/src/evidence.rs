//! Attempt counts that limiters report by zone, and their decayed sums.
//!
//! Reports hold totals since the limiter's start, so that a lost report loses no data.

use crate::Millis;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Time constant in ms by which counts decay: a few seconds still count, half a minute does not.
pub const DECAY_MS: f64 = 3000.0;
/// Time constant in ms by which rates decay: shorter, since they measure the current load of zones.
const RATE_DECAY_MS: f64 = 2000.0;
/// Age in ms from which a limiter's last report is ignored.
pub const STALE_AFTER_MS: Millis = 3000;
/// Maximum number of zones in one report, so that it fits into a message; those with the most failures come first.
pub const MAX_ROWS: usize = 24;

/// Attempts in a zone, counted by outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Counts {
    /// Served successfully.
    pub ok: u64,
    /// Answered with an error.
    pub failed: u64,
    /// Timed out without an answer.
    pub silent: u64,
    /// The connection was not established.
    pub refused: u64,
    /// The connection broke during the attempt.
    pub broken: u64,
    /// Rejected without processing because the server was full; does not count as a failure.
    pub full: u64,
}

impl Counts {
    fn bad(&self) -> u64 {
        self.failed + self.silent + self.refused + self.broken
    }

    /// Failed, served and rejected attempts since `before`; the full totals if they fell, as after a restart.
    fn since(&self, before: &Counts) -> (f64, f64, f64) {
        let (bad, ok, full) = (self.bad(), self.ok, self.full);
        if bad < before.bad() || ok < before.ok || full < before.full {
            return (bad as f64, ok as f64, full as f64);
        }
        ((bad - before.bad()) as f64, (ok - before.ok) as f64, (full - before.full) as f64)
    }
}

/// A limiter's totals for one zone.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// Name of the zone.
    pub zone: String,
    /// Totals since the limiter's start.
    pub counts: Counts,
    /// Number of servers in the zone that the limiter may use.
    pub servers: u32,
}

/// A limiter's report on all zones.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Identifies the process among earlier ones of the same limiter.
    pub life: u64,
    /// The zone in which the limiter itself runs.
    pub own: Option<String>,
    /// One row for each zone.
    pub rows: Vec<Row>,
}

/// One limiter's view of one zone, with exponential decay.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct View {
    /// Failed attempts.
    pub bad: f64,
    /// Served attempts.
    pub ok: f64,
    /// Failed and served attempts per second.
    pub rate: f64,
    /// Number of servers in the zone.
    pub servers: u32,
}

impl View {
    /// Attempts that count as evidence: failed and served ones.
    pub fn attempts(&self) -> f64 {
        self.bad + self.ok
    }
}

#[derive(Clone, Debug, Default)]
struct LimiterState {
    life: u64,
    own: Option<String>,
    at: Millis,
    totals: BTreeMap<String, Counts>,
    views: BTreeMap<String, View>,
}

/// Attempts of one limiter in a zone since its last report: the input of the sequential test.
#[derive(Clone, Debug, PartialEq)]
pub struct Increment {
    /// Name of the zone.
    pub zone: String,
    /// Failed attempts.
    pub bad: f64,
    /// Served attempts.
    pub ok: f64,
}

/// The reports of all limiters, by the number that the caller assigns to each limiter.
#[derive(Clone, Debug, Default)]
pub struct LimiterReports {
    limiters: BTreeMap<u16, LimiterState>,
}

impl LimiterReports {
    /// Records a report and returns the attempts since the previous one. The first report of a process only sets the
    /// baseline.
    pub fn record(&mut self, now: Millis, from: u16, report: &Report) -> Vec<Increment> {
        let seen = self.limiters.entry(from).or_default();
        let first = seen.life != report.life;
        if first {
            *seen = LimiterState { life: report.life, at: now, ..LimiterState::default() };
        }
        let elapsed = (now - seen.at) as f64;
        let (keep, keep_rate) = ((-elapsed / DECAY_MS).exp(), (-elapsed / RATE_DECAY_MS).exp());
        (seen.at, seen.own) = (now, report.own.clone());
        let mut increments = Vec::new();
        for row in report.rows.iter().take(MAX_ROWS) {
            let before = seen.totals.insert(row.zone.clone(), row.counts);
            let base = before.unwrap_or(if first { row.counts } else { Counts::default() });
            let (bad, ok, _) = row.counts.since(&base);
            let view = seen.views.entry(row.zone.clone()).or_default();
            let rate = (bad + ok) * 1000.0 / elapsed.max(1.0);
            *view = View {
                bad: view.bad * keep + bad,
                ok: view.ok * keep + ok,
                rate: view.rate * keep_rate + rate * (1.0 - keep_rate),
                servers: row.servers,
            };
            if bad + ok > 0.0 {
                increments.push(Increment { zone: row.zone.clone(), bad, ok });
            }
        }
        increments
    }

    /// The sorted names of all zones that any limiter has reported.
    pub fn zones(&self) -> Vec<String> {
        let mut names: Vec<String> = self.limiters.values().flat_map(|s| s.views.keys().cloned()).collect();
        names.sort();
        names.dedup();
        names
    }

    /// The views of a zone that are not stale: the limiter, the limiter's own zone, and the view.
    pub fn views(&self, now: Millis, zone: &str) -> Vec<(u16, Option<&str>, View)> {
        let fresh = self.limiters.iter().filter(|(_, s)| now.saturating_sub(s.at) < STALE_AFTER_MS);
        fresh.filter_map(|(n, s)| s.views.get(zone).map(|v| (*n, s.own.as_deref(), *v))).collect()
    }

    /// Sum of the views of all limiters that are not stale, with the largest server count.
    pub fn sum(&self, now: Millis, zone: &str) -> View {
        self.views(now, zone).iter().fold(View::default(), |a, (_, _, v)| View {
            bad: a.bad + v.bad,
            ok: a.ok + v.ok,
            rate: a.rate + v.rate,
            servers: a.servers.max(v.servers),
        })
    }

    /// Sum of all zones except `zone`.
    pub fn sum_others(&self, now: Millis, zone: &str) -> View {
        let others = self.zones().into_iter().filter(|z| z != zone);
        others.map(|z| self.sum(now, &z)).fold(View::default(), |a, v| View {
            bad: a.bad + v.bad,
            ok: a.ok + v.ok,
            rate: a.rate + v.rate,
            servers: a.servers + v.servers,
        })
    }
}

#[cfg(test)]
mod tests;
