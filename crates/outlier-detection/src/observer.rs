//! Collects one proxy's evidence on servers and selects the evidence to report to the other proxies.

use crate::{
    EndKind, Evidence, Millis, Weight, CLEAR_THRESHOLD, DECAY, MAX_REPORTED, REPORT_THRESHOLD,
    SUSPECT_THRESHOLD,
};
use std::collections::BTreeMap;

/// Maximum failure rate of a healthy server.
const HEALTHY_FAILURE_RATE: f64 = 0.02;
/// Minimum failure rate of an unhealthy server.
const UNHEALTHY_FAILURE_RATE: f64 = 0.4;
/// Minimum ratio of an unhealthy server's failure rate to that of the other servers of its service: failures of all
/// servers are caused by load or by the network path.
const UNHEALTHY_FAILURE_FACTOR: f64 = 2.5;
/// Upper limit of the failure rate of the other servers.
const MAX_OTHERS_RATE: f64 = 0.34;
/// Time constant in ms by which the attempts of the other servers decay.
const OTHERS_DECAY: Millis = 5000.0;
/// Served attempts that are added to those of the other servers as a prior.
const OTHERS_PRIOR_ATTEMPTS: f64 = 4.0;
/// Failures of the other servers that are disregarded as chance.
const OTHERS_ACCIDENTS: f64 = 1.5;
/// An answer is slow if it takes longer than this many medians of its class over all servers of the service.
const SLOW_FACTOR: f64 = 3.5;
/// An answer is slow only if it exceeds the median by this time, in ms.
const MIN_SLOW_EXCESS: Millis = 40.0;
/// Maximum factor by which a server that has always been slower is compared with its own pace instead of the median.
const MAX_OWN_PACE: f64 = 2.0;
/// A slow server's share of slow answers exceeds that of its class by this much.
const SLOW_SHARE_EXCESS: f64 = 0.6;
/// Initial share of slow answers of a class.
const INITIAL_SLOW_SHARE: f64 = 0.08;
/// Lower limit of a class's share of slow answers.
const MIN_SLOW_SHARE: f64 = 0.03;
/// Upper limit of a class's share of slow answers.
const MAX_SLOW_SHARE: f64 = 0.3;
/// Maximum number of consecutive good answers that is counted.
pub(crate) const MAX_SUCCESSES: u32 = 20;
/// Step by which the logarithm of a class's median follows each answer.
const MEDIAN_STEP: f64 = 0.05;
/// Weight of each answer in the share of slow answers of a class.
const SHARE_STEP: f64 = 0.02;
/// Weight of each answer in a server's own pace.
const PACE_STEP: f64 = 0.05;
/// Change of the evidence from which a server is reported again.
pub const REPORT_DELTA: f64 = 2.0;
/// Minimum time between two reports on a server, in ms.
const REPORT_INTERVAL: Millis = 700.0;
/// Evidence in favour of a server, from which it is reported if other proxies report the server as unhealthy.
const FAVOURABLE_EVIDENCE: f64 = -1.5;
/// Time in ms without attempts after which a server's record is dropped.
const RECORD_LIFETIME: Millis = 60_000.0;
/// Time in ms within which a server counts as recently used.
const RECENT_USE: Millis = 4000.0;

/// Normal latency of one class of requests to one service.
#[derive(Clone, Copy, Debug)]
struct Baseline {
    /// Logarithm of the median answer time.
    median: f64,
    /// Share of answers that are slow.
    slow: f64,
}

/// Attempts and failures with exponential decay.
#[derive(Clone, Copy, Debug, Default)]
struct Share {
    attempts: f64,
    bad: f64,
    at: Millis,
}

impl Share {
    fn add(&mut self, now: Millis, bad: bool) {
        let keep = (-(now - self.at).max(0.0) / OTHERS_DECAY).exp();
        let bad = f64::from(u8::from(bad));
        *self = Share { attempts: self.attempts * keep + 1.0, bad: self.bad * keep + bad, at: now };
    }

    /// The failure rate excluding the attempts in `one`, less chance failures and with the prior.
    fn without(&self, now: Millis, one: &Share) -> f64 {
        let keep = |s: &Share| (-(now - s.at).max(0.0) / OTHERS_DECAY).exp();
        let bad = (self.bad * keep(self) - one.bad * keep(one) - OTHERS_ACCIDENTS).max(0.0);
        let attempts = (self.attempts * keep(self) - one.attempts * keep(one)).max(0.0);
        bad / (attempts + OTHERS_PRIOR_ATTEMPTS)
    }
}

/// This proxy's record of one server.
#[derive(Clone, Debug, Default)]
struct ServerRecord {
    service: String,
    share: Share,
    failing: Weight,
    slow: Weight,
    unreached: f64,
    /// Time up to which the weights are decayed, ms.
    at: Millis,
    last_seen: Millis,
    /// Logarithm of its latency relative to other servers while healthy.
    pace: f64,
    /// When the detector found the server unhealthy, ms.
    unhealthy_since: Option<Millis>,
    consecutive_successes: u32,
    reported: Option<Evidence>,
}

impl ServerRecord {
    fn decay_to(&mut self, now: Millis) {
        let span = now - self.at;
        (self.failing, self.slow) = (self.failing.decayed(span), self.slow.decayed(span));
        self.unreached *= (-span.max(0.0) / DECAY[1]).exp();
        self.at = now;
    }

    /// Strength of this proxy's evidence against the server.
    fn evidence_against(&self) -> f64 {
        let unreached = if self.unreached > 0.9 { REPORT_THRESHOLD } else { 0.0 };
        self.failing.strongest_against().max(self.slow.strongest_against()).max(unreached)
    }

    fn evidence_for(&self) -> f64 {
        self.failing.strongest_in_favour().min(self.slow.strongest_in_favour())
    }

    /// Whether the evidence differs materially from the last report.
    fn has_moved(&self, now: Millis) -> bool {
        let Some(reported) = &self.reported else { return true };
        let span = now - reported.at;
        self.failing.differs_from(reported.failing.decayed(span))
            || self.slow.differs_from(reported.slow.decayed(span))
            || self.unreached > reported.unreached + 0.9
            || self.consecutive_successes != reported.consecutive_successes
    }
}

/// One proxy's own evidence.
#[derive(Clone, Debug, Default)]
pub struct Observer {
    baseline: BTreeMap<(String, String), Baseline>,
    records: BTreeMap<String, ServerRecord>,
    /// Attempts of all servers, by service.
    shares: BTreeMap<String, Share>,
}

/// The observed result of an attempt.
#[derive(Clone, Copy, Debug)]
pub struct AttemptResult<'a> {
    /// Name of the service.
    pub service: &'a str,
    /// Request class.
    pub class: &'a str,
    /// Id of the server.
    pub server: &'a str,
    /// How the attempt ended.
    pub end: EndKind,
    /// Duration of the attempt, ms.
    pub took: Millis,
    /// Whether the server was warm.
    pub warm: bool,
}

/// The natural logarithm of a duration, ms; what is shorter than 1 ms counts as 1 ms.
fn log_duration(took: Millis) -> f64 {
    took.max(1.0).ln()
}

impl ServerRecord {
    /// Adds the end of an attempt to the evidence of failure. `baseline` is the failure rate of the other servers.
    fn add_end(&mut self, end: EndKind, baseline: f64) {
        let unhealthy = UNHEALTHY_FAILURE_RATE.max(UNHEALTHY_FAILURE_FACTOR * baseline);
        match end {
            EndKind::NotConnected => (self.unreached, self.consecutive_successes) = (self.unreached + 1.0, 0),
            EndKind::Failure => {
                self.failing.add((unhealthy / baseline).ln());
                self.consecutive_successes = 0;
            }
            EndKind::Success => {
                self.failing.add(((1.0 - unhealthy) / (1.0 - baseline)).ln());
                self.unreached = 0.0;
            }
            EndKind::Cancelled | EndKind::Ignored => {}
        }
    }

    /// Adds an attempt's duration to the evidence of slowness, and to the baseline of its service and class.
    fn add_duration(&mut self, now: Millis, seen: &AttemptResult<'_>, baseline: &mut Baseline) {
        let took = log_duration(seen.took);
        let pace = self.pace.clamp(0.0, MAX_OWN_PACE.ln());
        let line = (baseline.median + pace).exp();
        let slow = seen.took > SLOW_FACTOR * line && seen.took > line + MIN_SLOW_EXCESS;
        if !slow && seen.end == EndKind::Cancelled {
            return;
        }
        // The share of slow answers and the pace are learnt only from servers without evidence of slowness. The median
        // follows all servers: under load all are slow, and that is normal then.
        let suspect = self.slow.strongest_against() >= CLEAR_THRESHOLD;
        let before = baseline.slow.clamp(MIN_SLOW_SHARE, MAX_SLOW_SHARE);
        baseline.median += MEDIAN_STEP * (took - baseline.median).signum();
        if !suspect {
            baseline.slow += SHARE_STEP * (f64::from(u8::from(slow)) - baseline.slow);
            self.pace += if slow { 0.0 } else { PACE_STEP * (took - baseline.median - self.pace) };
        }
        let unhealthy = before + SLOW_SHARE_EXCESS;
        self.slow.add(if slow {
            (unhealthy / before).ln()
        } else {
            ((1.0 - unhealthy) / (1.0 - before)).ln()
        });
        if slow {
            self.consecutive_successes = 0;
        } else if self.unhealthy_since.is_some_and(|since| now - seen.took > since) {
            self.consecutive_successes = (self.consecutive_successes + 1).min(MAX_SUCCESSES);
        }
    }
}

impl Observer {
    /// Records the end of an attempt.
    pub fn record(&mut self, now: Millis, seen: &AttemptResult<'_>) {
        // A cold server may be slow or fail because it is cold, and a full server is not unhealthy.
        if !seen.warm || seen.end == EndKind::Ignored {
            return;
        }
        if !self.records.contains_key(seen.server) {
            let record =
                ServerRecord { service: seen.service.to_owned(), at: now, ..ServerRecord::default() };
            self.records.insert(seen.server.to_owned(), record);
        }
        let Some(record) = self.records.get_mut(seen.server) else { return };
        record.decay_to(now);
        record.last_seen = now;
        let succeeded = seen.end == EndKind::Success;
        let service_share = self.shares.entry(seen.service.to_owned()).or_default();
        let others = service_share.without(now, &record.share).min(MAX_OTHERS_RATE);
        if succeeded || seen.end == EndKind::Failure {
            record.share.add(now, !succeeded);
            service_share.add(now, !succeeded);
        }
        record.add_end(seen.end, HEALTHY_FAILURE_RATE.max(others));
        if matches!(seen.end, EndKind::Success | EndKind::Cancelled) {
            let key = (seen.service.to_owned(), seen.class.to_owned());
            let first = Baseline { median: log_duration(seen.took), slow: INITIAL_SLOW_SHARE };
            let baseline = self.baseline.entry(key).or_insert(first);
            record.add_duration(now, seen, baseline);
        }
    }

    /// Sets the servers that the detector finds unhealthy, each with its start time.
    pub fn set_unhealthy(&mut self, unhealthy: &BTreeMap<String, Millis>) {
        for (id, record) in &mut self.records {
            let since = unhealthy.get(id).copied();
            if since.is_none() || record.unhealthy_since.is_none() {
                record.consecutive_successes = 0;
            }
            record.unhealthy_since = since;
        }
    }

    /// The evidence to report now, worst first. `contested` tells whether another proxy reports a server as unhealthy.
    pub fn reports(&mut self, now: Millis, contested: impl Fn(&str) -> bool) -> Vec<Evidence> {
        self.records.retain(|_, record| now - record.last_seen < RECORD_LIFETIME);
        let mut last_seen: BTreeMap<&str, (usize, usize)> = BTreeMap::new();
        for record in self.records.values_mut() {
            record.decay_to(now);
        }
        for record in self.records.values().filter(|record| now - record.last_seen < RECENT_USE) {
            let of = last_seen.entry(&record.service).or_default();
            of.0 += 1;
            of.1 += usize::from(record.evidence_against() >= REPORT_THRESHOLD);
        }
        // If most servers of a service are affected, the cause is load or the network path, not a server.
        let loaded =
            |service: &str| last_seen.get(service).is_some_and(|(all, bad)| *bad > 2 && 2 * bad > *all);
        let reported =
            |record: &ServerRecord| record.reported.as_ref().is_some_and(|t| now - t.at < 2.0 * DECAY[1]);
        let mut due: Vec<(f64, String)> = Vec::new();
        let mut reported_count = 0;
        for (id, record) in &self.records {
            let was_reported = reported(record);
            reported_count += usize::from(was_reported);
            let complains = record.evidence_against() >= REPORT_THRESHOLD && !loaded(&record.service);
            let contradicts = (contested(id) || record.unhealthy_since.is_some())
                && (record.evidence_for() <= FAVOURABLE_EVIDENCE || record.consecutive_successes > 0);
            let retracts = was_reported
                && record.evidence_against() < REPORT_THRESHOLD
                && record.unhealthy_since.is_some();
            // A server that crosses the suspect threshold is reported at once.
            let becomes_suspect = |t: &Evidence| {
                record.evidence_against() >= SUSPECT_THRESHOLD
                    && t.failing.strongest_against().max(t.slow.strongest_against()) < SUSPECT_THRESHOLD
            };
            let is_due =
                record.reported.as_ref().is_none_or(|t| now - t.at >= REPORT_INTERVAL || becomes_suspect(t));
            if (complains || contradicts || retracts) && record.has_moved(now) && is_due {
                due.push((record.evidence_against(), id.clone()));
            }
        }
        due.sort_by(|a, b| b.0.total_cmp(&a.0));
        let mut reports = Vec::new();
        for (_, id) in due {
            let Some(record) = self.records.get_mut(&id) else { continue };
            if !reported(record) {
                if reported_count >= MAX_REPORTED {
                    continue;
                }
                reported_count += 1;
            }
            let evidence = Evidence {
                server: id,
                observer: String::new(),
                failing: record.failing,
                slow: record.slow,
                unreached: record.unreached,
                consecutive_successes: record.consecutive_successes,
                at: now,
            };
            record.reported = Some(evidence.clone());
            reports.push(evidence);
        }
        reports
    }
}

#[cfg(test)]
mod tests;
