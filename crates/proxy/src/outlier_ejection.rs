//! Outlier ejection, together with all other proxies. How attempts end goes to an [`Observer`]; what it concludes is sent to the
//! other proxies as observation rows; a [`Detector`] over the rows of all proxies says which servers get traffic.

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

/// One limiter tries an unhealthy server for so long, ms; then the lot falls anew, so that one that stands still
/// holds nobody up.
const PROBE_TURN: Millis = 2000.0;

/// Hundredths that others say against a server, from which on it is contested.
const CONTESTED: i32 = 400;
/// So long after a server turned something away none of its service is left, ms.
const NO_ROOM: Millis = 5000.0;
/// Of the lots.
const PRIME: u64 = 0x0100_0000_01b3;
/// Without updates, servers are looked at this often, ms.
const IDLE: Millis = 250.0;

/// What this proxy sees, and what all say.
#[derive(Default)]
pub struct OutlierEjection {
    observer: RefCell<Observer>,
    detector: RefCell<Detector>,
    /// Sequence number of the latest observation reported about each server.
    seqs: RefCell<BTreeMap<String, u32>>,
    /// Servers that are not simply healthy, as last asked for.
    standings: RefCell<BTreeMap<String, Standing>>,
    /// When it was last thought about, and by which count of the book; ends came in since.
    last: Cell<(Millis, u64)>,
    confirmed: Cell<bool>,
    /// When servers of a service last turned something away.
    full: RefCell<BTreeMap<String, Millis>>,
    log_limit: RateLimitedLog,
}

/// What an attempt's end says of its server.
fn end(outcome: Outcome) -> EndKind {
    match outcome {
        Outcome::Ok => EndKind::Success,
        Outcome::Error | Outcome::TimedOut => EndKind::Failure,
        Outcome::ConnectFailed => EndKind::NotConnected,
        Outcome::Cancelled => EndKind::Cancelled,
        // Servers that are full may end connections for that: to leave them would fill the others.
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
        goods: row.goods,
        at,
    }
}

impl OutlierEjection {
    /// Takes in how attempts of a service have ended; `class`: the names of its classes.
    pub fn record_ends(&self, now: Millis, service: &str, classes: &[String], ends: &[Finished]) {
        let mut observer = self.observer.borrow_mut();
        self.confirmed.set(true);
        for f in ends {
            if matches!(f.outcome, Outcome::Full | Outcome::Reset) {
                self.full.borrow_mut().insert(service.to_owned(), now);
            }
            let class = classes.get(f.class.0).map_or("", String::as_str);
            let (server, took, warm) = (&*f.server, f.took, f.warm);
            observer.record(now, &AttemptResult { service, class, server, end: end(f.outcome), took, warm });
        }
    }

    /// Whether to evaluate again: something is new, or time has passed.
    pub fn is_due(&self, now: Millis, table: &StateTable) -> bool {
        let (at, seen) = self.last.get();
        let is = self.confirmed.replace(false) || table.observation_sequence() != seen || now - at >= IDLE;
        if is {
            self.last.set((now, table.observation_sequence()));
        }
        is
    }

    /// What this limiter has to tell now, as rows of the book.
    pub fn observations(
        &self,
        now: Millis,
        table: &StateTable,
        name: &str,
        incarnation: u64,
    ) -> Vec<ObservationRow> {
        // Where others complain of a server by more than one failure, what is known in its favour is worth
        // telling.
        let mut against: BTreeMap<&str, i32> = BTreeMap::new();
        for (row, _) in table.observations(now).filter(|(row, _)| row.observer != name) {
            let most = row.failing.iter().chain(&row.slow).max().copied().unwrap_or(0).clamp(0, 3000);
            let unreached = if row.unreached > 90 { CONTESTED } else { 0 };
            *against.entry(&row.server).or_default() += most.max(unreached);
        }
        let contested = |id: &str| against.get(id).is_some_and(|w| *w >= CONTESTED);
        let observations = self.observer.borrow_mut().reports(now, contested);
        let mut seqs = self.seqs.borrow_mut();
        if seqs.len() > 1024 {
            // Servers come and go. Those told of lately are kept, as their words count on.
            let observed: BTreeSet<&str> =
                table.observations(now).map(|(row, _)| row.server.as_str()).collect();
            seqs.retain(|id, _| observed.contains(id.as_str()));
        }
        let row = |n: Evidence| {
            let seq = seqs.entry(n.server.clone()).or_default();
            *seq += 1;
            ObservationRow {
                observer: name.to_owned(),
                incarnation,
                seq: *seq,
                failing: hundredths(n.failing),
                slow: hundredths(n.slow),
                unreached: (n.unreached * 100.0).round() as u32,
                goods: n.goods,
                ago: 0,
                server: n.server,
            }
        };
        observations.into_iter().map(row).collect()
    }

    /// Judges by all rows there are; `time` is the system's. Whether that changes how servers are to be used.
    pub fn evaluate(&self, now: Millis, time: Millis, table: &StateTable, node: &Node) -> bool {
        let mut detector = self.detector.borrow_mut();
        let observations: Vec<Evidence> =
            table.observations(now).map(|(row, ago)| observation(row, now - ago)).collect();
        if observations.is_empty() && detector.is_calm() {
            return !self.standings.take().is_empty();
        }
        let members: Vec<_> = table.members(now).map(|(row, _)| row).filter(|row| !row.expired).collect();
        let mut services: BTreeMap<String, Vec<String>> = BTreeMap::new();
        let mut zones: BTreeMap<&str, &str> = BTreeMap::new();
        for (row, _) in table.servers(now).filter(|(r, _)| r.state == server_state::READY && !r.timed_out) {
            services.entry(row.service.clone()).or_default().push(row.id.clone());
            zones.insert(&row.id, &row.zone);
        }
        let session = |name: &str| members.iter().any(|row| row.name == name);
        for change in detector.evaluate(now, &observations, &services, &session) {
            if self.log_limit.allow().is_some() {
                log::info!("outlier: {} is {} ({:.1})", change.server, change.state.text(), change.score);
            }
        }
        let unhealthy = detector.unhealthy();
        self.observer.borrow_mut().set_unhealthy(&unhealthy);
        let ready = || members.iter().filter(|row| row.state == member_state::READY);
        // Who tries it stands as near to it as there are any.
        let probes = |id: &str| {
            let zone = zones.get(id).copied().unwrap_or_default();
            let region = node.zones.iter().find(|(z, _)| z == zone).map_or("", |(_, region)| region);
            let near: Vec<&str> = ready().filter(|r| r.zone == zone).map(|r| r.name.as_str()).collect();
            let around: Vec<&str> = ready().filter(|r| r.region == region).map(|r| r.name.as_str()).collect();
            let names = match (near.is_empty(), around.is_empty()) {
                (false, _) => near,
                (true, false) => around,
                _ => ready().map(|r| r.name.as_str()).collect(),
            };
            let turn = (time / PROBE_TURN) as u64;
            let number = id.bytes().fold(turn.wrapping_mul(0x9e37_79b9_7f4a_7c15), |x, b| {
                (x ^ u64::from(b)).wrapping_mul(PRIME)
            });
            owner_of(number, names.into_iter()) == Some(node.node_name.as_str())
        };
        let standing = |id: &String| match detector.state(id) {
            HealthState::Healthy => Standing::Well,
            HealthState::Returning => Standing::Returning,
            _ if detector.is_due(now, id) && probes(id) => Standing::Tried,
            HealthState::Suspect => Standing::Doubtful,
            HealthState::Ejected => Standing::Shunned,
        };
        let standings = unhealthy.keys().map(|id| (id.clone(), standing(id)));
        let standings: BTreeMap<String, Standing> = standings.filter(|(_, s)| *s != Standing::Well).collect();
        let changed = *self.standings.borrow() != standings;
        *self.standings.borrow_mut() = standings;
        changed
    }

    /// For the shell: what is made of each server that is not simply healthy.
    pub fn verdicts_table(&self, now: Millis) -> Table {
        let (detector, standings) = (self.detector.borrow(), self.standings.borrow());
        let row = |(id, since): (String, Millis)| {
            let here = standings.get(&id).copied().unwrap_or_default();
            let (state, since) =
                (detector.state(&id).text().to_owned(), format!("{:.1} s", (now - since) / 1000.0));
            vec![id, state, format!("{here:?}").to_lowercase(), since]
        };
        let rows: Vec<Vec<String>> = detector.unhealthy().into_iter().map(row).collect();
        table(
            format!("{} servers are not simply well", rows.len()),
            &["server", "verdict", "here", "for"],
            rows,
        )
    }

    /// How a server of a service is to be used. Where servers have turned something away of late there is no room for
    /// what others would have to take.
    pub fn standing(&self, now: Millis, service: &str, id: &str) -> Standing {
        if self.full.borrow().get(service).is_some_and(|at| now - at < NO_ROOM) {
            return Standing::Well;
        }
        self.standings.borrow().get(id).copied().unwrap_or_default()
    }
}

#[cfg(test)]
mod tests;
