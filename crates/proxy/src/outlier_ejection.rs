//! Outlier ejection, shared by all proxies. An [`Observer`] evaluates the results of this proxy's attempts, and its evidence is
//! sent to the other proxies as observation rows. A [`Detector`] decides from the rows of all proxies which servers get
//! traffic.

use crate::counter_owner::owner_of;
use oatbank_cluster_state::admin_query::table;
use oatbank_cluster_state::messages::{ObservationRow, Table};
use oatbank_cluster_state::state::{member_state, server_state, Millis, StateTable};
use oatbank_engine::engine::Finished;
use oatbank_limiter_core::interface::{Outcome, Standing};
use oatbank_node_runtime::log::{self, RateLimitedLog};
use oatbank_node_runtime::settings::Settings as Node;
use oatbank_outlier_detection::detector::{Detector, HealthState};
use oatbank_outlier_detection::observer::{AttemptResult, Observer};
use oatbank_outlier_detection::{EndKind, Evidence, Weight};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};

/// How long one limiter probes an unhealthy server before another is drawn, ms, so that a stalled limiter does not delay the
/// server's return.
const PROBE_ROTATION_INTERVAL: Millis = 2000.0;

/// Weight of other limiters' evidence against a server from which on this limiter also reports evidence in its favour, in
/// hundredths.
const DISPUTED_WEIGHT: i32 = 400;
/// Time after a server rejected a request as overloaded or reset a connection during which no server of its service is
/// avoided, ms.
const SATURATION_HOLD: Millis = 5000.0;
/// FNV-1a prime, used to draw the limiter that probes a server.
const FNV_PRIME: u64 = 0x0100_0000_01b3;
/// Longest time between evaluations if there is nothing new, ms.
const EVALUATION_INTERVAL: Millis = 250.0;

/// Evidence of this proxy on servers and the verdicts drawn from the evidence of all proxies.
#[derive(Default)]
pub struct OutlierEjection {
    observer: RefCell<Observer>,
    detector: RefCell<Detector>,
    /// Sequence number of the latest observation reported about each server.
    seqs: RefCell<BTreeMap<String, u32>>,
    /// Standings of servers that are not healthy, as of the last evaluation.
    standings: RefCell<BTreeMap<String, Standing>>,
    /// Time of the last evaluation, ms, and the table's observation sequence number then.
    last_evaluation: Cell<(Millis, u64)>,
    /// Whether attempts have ended since the last evaluation.
    has_new_ends: Cell<bool>,
    /// Last time a server of each service rejected a request as overloaded or reset a connection, ms.
    saturated_at: RefCell<BTreeMap<String, Millis>>,
    log_limit: RateLimitedLog,
}

/// Classifies the outcome of an attempt as evidence on its server.
fn end_kind(outcome: Outcome) -> EndKind {
    match outcome {
        Outcome::Ok => EndKind::Success,
        Outcome::Error | Outcome::TimedOut => EndKind::Failure,
        Outcome::ConnectFailed => EndKind::NotConnected,
        Outcome::Cancelled => EndKind::Cancelled,
        // Overloaded servers may reset connections: avoiding them would overload the others.
        Outcome::Full | Outcome::Reset | Outcome::NotSent => EndKind::Ignored,
    }
}

fn hundredths(weight: Weight) -> Vec<i32> {
    weight.0.iter().map(|w| (w * 100.0).round() as i32).collect()
}

fn weight(hundredths: &[i32]) -> Weight {
    Weight([0, 1].map(|at| f64::from(hundredths.get(at).copied().unwrap_or(0).clamp(-3000, 3000)) / 100.0))
}

fn observation(row: &ObservationRow, at: Millis) -> Evidence {
    Evidence {
        server: row.server.clone(),
        observer: row.observer.clone(),
        failing: weight(&row.failing),
        slow: weight(&row.slow),
        unreached: f64::from(row.unreached) / 100.0,
        consecutive_successes: row.goods,
        at,
    }
}

impl OutlierEjection {
    /// Records results of attempts at a service's servers. `classes` are the names of the service's classes, by index.
    pub fn record_ends(&self, now: Millis, service: &str, classes: &[String], ends: &[Finished]) {
        let mut observer = self.observer.borrow_mut();
        self.has_new_ends.set(true);
        for finished in ends {
            if matches!(finished.outcome, Outcome::Full | Outcome::Reset) {
                self.saturated_at.borrow_mut().insert(service.to_owned(), now);
            }
            let class = classes.get(finished.class.0).map_or("", String::as_str);
            let (server, took, warm) = (&*finished.server, finished.took, finished.warm);
            observer.record(
                now,
                &AttemptResult { service, class, server, end: end_kind(finished.outcome), took, warm },
            );
        }
    }

    /// Whether an evaluation is due because attempts ended, observations arrived, or [`EVALUATION_INTERVAL`] has passed. If so,
    /// notes it as done.
    pub fn is_due(&self, now: Millis, table: &StateTable) -> bool {
        let (at, seen) = self.last_evaluation.get();
        let is_due = self.has_new_ends.replace(false)
            || table.observation_sequence() != seen
            || now - at >= EVALUATION_INTERVAL;
        if is_due {
            self.last_evaluation.set((now, table.observation_sequence()));
        }
        is_due
    }

    /// This limiter's new observations, as rows for the cluster state.
    pub fn observations(
        &self,
        now: Millis,
        table: &StateTable,
        name: &str,
        incarnation: u64,
    ) -> Vec<ObservationRow> {
        // Evidence in a server's favour is reported only where others have evidence of more than one failure.
        let mut weight_against: BTreeMap<&str, i32> = BTreeMap::new();
        for (row, _) in table.observations(now).filter(|(row, _)| row.observer != name) {
            let strongest = row.failing.iter().chain(&row.slow).max().copied().unwrap_or(0).clamp(0, 3000);
            let unreached = if row.unreached > 90 { DISPUTED_WEIGHT } else { 0 };
            *weight_against.entry(&row.server).or_default() += strongest.max(unreached);
        }
        let is_disputed = |id: &str| weight_against.get(id).is_some_and(|w| *w >= DISPUTED_WEIGHT);
        let observations = self.observer.borrow_mut().reports(now, is_disputed);
        let mut seqs = self.seqs.borrow_mut();
        if seqs.len() > 1024 {
            // Bounds the map as servers are replaced. Servers with current observations keep their sequence numbers.
            let observed: BTreeSet<&str> =
                table.observations(now).map(|(row, _)| row.server.as_str()).collect();
            seqs.retain(|id, _| observed.contains(id.as_str()));
        }
        let row = |evidence: Evidence| {
            let seq = seqs.entry(evidence.server.clone()).or_default();
            *seq += 1;
            ObservationRow {
                observer: name.to_owned(),
                incarnation,
                seq: *seq,
                failing: hundredths(evidence.failing),
                slow: hundredths(evidence.slow),
                unreached: (evidence.unreached * 100.0).round() as u32,
                goods: evidence.consecutive_successes,
                ago: 0,
                server: evidence.server,
            }
        };
        observations.into_iter().map(row).collect()
    }

    /// Evaluates the observations of all limiters. `time` is the cluster's time, ms. Returns whether any standing has changed.
    pub fn evaluate(&self, now: Millis, time: Millis, table: &StateTable, node: &Node) -> bool {
        let mut detector = self.detector.borrow_mut();
        let observations: Vec<Evidence> =
            table.observations(now).map(|(row, ago)| observation(row, now - ago)).collect();
        if observations.is_empty() && detector.has_no_cases() {
            return !self.standings.take().is_empty();
        }
        let members: Vec<_> = table.members(now).map(|(row, _)| row).filter(|row| !row.expired).collect();
        let mut services: BTreeMap<String, Vec<String>> = BTreeMap::new();
        let mut zones: BTreeMap<&str, &str> = BTreeMap::new();
        for (row, _) in table.servers(now).filter(|(r, _)| r.state == server_state::READY && !r.timed_out) {
            services.entry(row.service.clone()).or_default().push(row.id.clone());
            zones.insert(&row.id, &row.zone);
        }
        let has_session = |name: &str| members.iter().any(|row| row.name == name);
        for change in detector.evaluate(now, &observations, &services, &has_session) {
            if self.log_limit.allow().is_some() {
                log::info!("outlier: {} is {} ({:.1})", change.server, change.state.text(), change.score);
            }
        }
        let unhealthy = detector.unhealthy();
        self.observer.borrow_mut().set_unhealthy(&unhealthy);
        let ready = || members.iter().filter(|row| row.state == member_state::READY);
        // The prober is drawn from the ready limiters nearest to the server.
        let is_prober = |id: &str| {
            let zone = zones.get(id).copied().unwrap_or_default();
            let region = node.zones.iter().find(|(z, _)| z == zone).map_or("", |(_, region)| region);
            let in_zone: Vec<&str> = ready().filter(|r| r.zone == zone).map(|r| r.name.as_str()).collect();
            let in_region: Vec<&str> =
                ready().filter(|r| r.region == region).map(|r| r.name.as_str()).collect();
            let names = match (in_zone.is_empty(), in_region.is_empty()) {
                (false, _) => in_zone,
                (true, false) => in_region,
                _ => ready().map(|r| r.name.as_str()).collect(),
            };
            let rotation = (time / PROBE_ROTATION_INTERVAL) as u64;
            let number = id.bytes().fold(rotation.wrapping_mul(0x9e37_79b9_7f4a_7c15), |x, b| {
                (x ^ u64::from(b)).wrapping_mul(FNV_PRIME)
            });
            owner_of(number, names.into_iter()) == Some(node.node_name.as_str())
        };
        let standing = |id: &String| match detector.state(id) {
            HealthState::Healthy => Standing::Well,
            HealthState::Returning => Standing::Returning,
            _ if detector.is_due(now, id) && is_prober(id) => Standing::Tried,
            HealthState::Suspect => Standing::Doubtful,
            HealthState::Ejected => Standing::Shunned,
        };
        let standings = unhealthy.keys().map(|id| (id.clone(), standing(id)));
        let standings: BTreeMap<String, Standing> = standings.filter(|(_, s)| *s != Standing::Well).collect();
        let changed = *self.standings.borrow() != standings;
        *self.standings.borrow_mut() = standings;
        changed
    }

    /// The `verdicts` table for `oatbankctl`: state and standing of each server that is not healthy.
    pub fn verdicts_table(&self, now: Millis) -> Table {
        let (detector, standings) = (self.detector.borrow(), self.standings.borrow());
        let row = |(id, since): (String, Millis)| {
            let here = standings.get(&id).copied().unwrap_or_default();
            let (state, since) =
                (detector.state(&id).text().to_owned(), format!("{:.1} s", (now - since) / 1000.0));
            vec![id, state, format!("{here:?}").to_lowercase(), since]
        };
        let rows: Vec<Vec<String>> = detector.unhealthy().into_iter().map(row).collect();
        table(format!("{} servers are not healthy", rows.len()), &["server", "verdict", "here", "for"], rows)
    }

    /// How a server of a service is to be used. While servers of the service are overloaded, all are used: the others could
    /// not take the traffic of an avoided one.
    pub fn standing(&self, now: Millis, service: &str, id: &str) -> Standing {
        if self.saturated_at.borrow().get(service).is_some_and(|at| now - at < SATURATION_HOLD) {
            return Standing::Well;
        }
        self.standings.borrow().get(id).copied().unwrap_or_default()
    }
}

#[cfg(test)]
mod tests;
