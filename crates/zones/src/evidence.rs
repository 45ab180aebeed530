//! What limiters count by zone, as totals since their start, so that a lost report loses nothing; here they are faded and put
//! side by side.

use crate::Millis;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Counts fade by this, ms: what was a few seconds ago still tells, what was half a minute ago does not.
pub const DECAY_MS: f64 = 3000.0;
/// Rates fade by this, ms: they say what zones carry now.
const RATE_DECAY_MS: f64 = 2000.0;
/// A limiter that has said nothing for this long, ms, tells nothing any more.
pub const STALE_AFTER_MS: Millis = 3000;
/// Zones of one report: more do not fit into a message, and those with the most failures come first.
pub const MAX_ROWS: usize = 24;

/// How attempts in a zone ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Counts {
    /// Served.
    pub ok: u64,
    /// Answered with an error.
    pub failed: u64,
    /// No answer in time.
    pub silent: u64,
    /// No connection.
    pub refused: u64,
    /// The connection broke.
    pub broken: u64,
    /// Turned away unseen: busy, not failing.
    pub full: u64,
}

impl Counts {
    fn bad(&self) -> u64 {
        self.failed + self.silent + self.refused + self.broken
    }

    /// What has come since `before`; all of it where the totals fell, as after a restart.
    fn since(&self, before: &Counts) -> (f64, f64, f64) {
        let (bad, ok, full) = (self.bad(), self.ok, self.full);
        if bad < before.bad() || ok < before.ok || full < before.full {
            return (bad as f64, ok as f64, full as f64);
        }
        ((bad - before.bad()) as f64, (ok - before.ok) as f64, (full - before.full) as f64)
    }
}

/// A limiter's totals of a zone.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// The zone.
    pub zone: String,
    /// Since the limiter's start.
    pub counts: Counts,
    /// Servers that it knows there, and may use.
    pub servers: u32,
}

/// What a limiter says of all zones.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Tells its process from others of its name.
    pub life: u64,
    /// Where it stands itself.
    pub own: Option<String>,
    /// The zones.
    pub rows: Vec<Row>,
}

/// One limiter's view of one zone, faded.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct View {
    /// Attempts that failed.
    pub bad: f64,
    /// Attempts that were served.
    pub ok: f64,
    /// What each is a second, from the same counts.
    pub rate: f64,
    /// Servers there.
    pub servers: u32,
}

impl View {
    /// Attempts that tell something.
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

/// What came to a zone from one limiter since its last report: the increments of a sequential test.
#[derive(Clone, Debug, PartialEq)]
pub struct Increment {
    /// The zone.
    pub zone: String,
    /// Attempts that failed.
    pub bad: f64,
    /// Attempts that were served.
    pub ok: f64,
}

/// All limiters' reports. Limiters are numbers here, as the caller has them.
#[derive(Clone, Debug, Default)]
pub struct LimiterReports {
    limiters: BTreeMap<u16, LimiterState>,
}

impl LimiterReports {
    /// Takes in a report; what is new in it. The first of a process is where its counting begins.
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

    /// All zones that some limiter tells of.
    pub fn zones(&self) -> Vec<String> {
        let mut names: Vec<String> = self.limiters.values().flat_map(|s| s.views.keys().cloned()).collect();
        names.sort();
        names.dedup();
        names
    }

    /// Each limiter's view of a zone, where it is fresh, with the zone that the limiter stands in.
    pub fn views(&self, now: Millis, zone: &str) -> Vec<(u16, Option<&str>, View)> {
        let fresh = self.limiters.iter().filter(|(_, s)| now.saturating_sub(s.at) < STALE_AFTER_MS);
        fresh.filter_map(|(n, s)| s.views.get(zone).map(|v| (*n, s.own.as_deref(), *v))).collect()
    }

    /// All of them together.
    pub fn sum(&self, now: Millis, zone: &str) -> View {
        self.views(now, zone).iter().fold(View::default(), |a, (_, _, v)| View {
            bad: a.bad + v.bad,
            ok: a.ok + v.ok,
            rate: a.rate + v.rate,
            servers: a.servers.max(v.servers),
        })
    }

    /// All zones but one together.
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
