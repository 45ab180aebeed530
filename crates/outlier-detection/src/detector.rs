//! Derives the health state of servers from the evidence of all proxies.
//!
//! Each proxy evaluates the same rules on replicated evidence, so all proxies reach the same result within the replication
//! delay.

use crate::observer::MAX_SUCCESSES;
use crate::{
    Evidence, Millis, Weight, CLEAR_THRESHOLD, EJECT_THRESHOLD, EVIDENCE_LIFETIME, RELAPSE_THRESHOLD,
    SUSPECT_THRESHOLD,
};
use std::collections::{BTreeMap, BTreeSet};

/// Maximum weight of one observer's evidence against a server: alone it makes a server suspect but never ejected.
const MAX_AGAINST: f64 = 8.0;
/// Maximum weight of one observer's evidence in favour of a server.
const MAX_FOR: f64 = 6.0;
/// An observer that reports more servers than this at once is weighted down in proportion.
const CREDIBLE_COMPLAINTS: f64 = 4.0;
/// Weight of an observer without a session.
const NO_SESSION_CREDIBILITY: f64 = 0.1;
/// Factor by which evidence is discounted for each good answer that a probe has received since.
const SUCCESS_DISCOUNT: f64 = 0.6;
/// Time in ms after which a suspect server is probed.
const PROBE_SUSPECT_AFTER: Millis = 300.0;
/// Time in ms after which an ejected server is probed for the first time; doubles with each repeated ejection.
const PROBE_EJECTED_AFTER: Millis = 1500.0;
/// Maximum number of doublings of [`PROBE_EJECTED_AFTER`].
const MAX_DOUBLINGS: u32 = 3;
/// Time in ms after which a returning server counts as healthy.
const RETURN_PERIOD: Millis = 2000.0;
/// Time in ms without an ejection after which earlier ejections no longer lengthen the probe interval.
const FORGET_EJECTIONS_AFTER: Millis = 60_000.0;
/// At most one in this many of a service's servers is avoided, but at least one of three or more may be.
const EJECT_ONE_IN: usize = 8;

/// Evidence that one observer contributes by not reaching a server.
const UNREACHED_WEIGHT: f64 = 4.0;

/// The health state of a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum HealthState {
    /// Used normally.
    #[default]
    Healthy,
    /// Was unhealthy and receives a little traffic again.
    Returning,
    /// Receives no reads.
    Suspect,
    /// Receives no traffic except probes.
    Ejected,
}

impl HealthState {
    /// The name in logs and in the output of `oatbankctl`.
    pub fn text(self) -> &'static str {
        match self {
            HealthState::Healthy => "well",
            HealthState::Returning => "returning",
            HealthState::Suspect => "doubtful",
            HealthState::Ejected => "shunned",
        }
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct ServerCase {
    state: HealthState,
    since: Millis,
    /// Number of recent ejections.
    ejections: u32,
    /// Time of the last ejection, ms.
    ejected_at: Millis,
    score: f64,
    /// Whether the limit on avoided servers permits avoiding this one.
    may_eject: bool,
}

impl ServerCase {
    fn probe_interval(&self) -> Millis {
        match self.state {
            HealthState::Ejected => {
                PROBE_EJECTED_AFTER * f64::from(1 << self.ejections.saturating_sub(1).min(MAX_DOUBLINGS))
            }
            _ => PROBE_SUSPECT_AFTER,
        }
    }

    fn set_state(&mut self, now: Millis, state: HealthState) {
        if state == HealthState::Ejected && self.state != HealthState::Ejected {
            self.ejections =
                if now - self.ejected_at > FORGET_EJECTIONS_AFTER { 1 } else { self.ejections + 1 };
            self.ejected_at = now;
        }
        (self.state, self.since) = (state, now);
    }
}

/// A change of state, for the log.
#[derive(Clone, Debug, PartialEq)]
pub struct StateChange {
    /// Id of the server.
    pub server: String,
    /// The new state.
    pub state: HealthState,
    /// Evidence against the server at the change.
    pub score: f64,
}

/// Health states of all servers that are, or recently were, unhealthy.
#[derive(Clone, Debug, Default)]
pub struct Detector {
    cases: BTreeMap<String, ServerCase>,
}

/// The summed evidence against each server in `evidence`.
fn scores(now: Millis, evidence: &[Evidence], session: &dyn Fn(&str) -> bool) -> BTreeMap<String, f64> {
    let fresh = || evidence.iter().filter(|n| now - n.at < EVIDENCE_LIFETIME);
    let strength = |n: &Evidence| {
        let span = now - n.at;
        n.failing.decayed(span).strongest_against().max(n.slow.decayed(span).strongest_against())
    };
    let mut complaints: BTreeMap<&str, f64> = BTreeMap::new();
    for n in fresh().filter(|n| strength(n) >= 2.0 || n.unreached > 0.9) {
        *complaints.entry(&n.observer).or_default() += 1.0;
    }
    let credibility = |observer: &str| {
        let many = complaints.get(observer).copied().unwrap_or(0.0);
        (CREDIBLE_COMPLAINTS / many.max(1.0)).min(1.0)
            * if session(observer) { 1.0 } else { NO_SESSION_CREDIBILITY }
    };
    let mut by_server: BTreeMap<&str, Vec<&Evidence>> = BTreeMap::new();
    fresh().for_each(|n| by_server.entry(&n.server).or_default().push(n));
    let score = |reported: Vec<&Evidence>| {
        let later_successes = |n: &Evidence| -> u32 {
            reported.iter().filter(|o| o.at > n.at).map(|o| o.consecutive_successes).sum()
        };
        let (mut failing, mut slow, mut unreached) = (Weight::default(), Weight::default(), 0.0);
        let mut disconnected = BTreeSet::new();
        for n in &reported {
            let (credibility, span) = (credibility(&n.observer), now - n.at);
            let discount = SUCCESS_DISCOUNT.powi(later_successes(n).min(MAX_SUCCESSES) as i32);
            let part =
                |w: f64| credibility * (if w > 0.0 { w * discount } else { w }).clamp(-MAX_FOR, MAX_AGAINST);
            for (sum, of) in [(&mut failing, n.failing), (&mut slow, n.slow)] {
                let of = of.decayed(span);
                (0..2).for_each(|at| sum.0[at] += part(of.0[at]));
            }
            let unreached_attempts = n.unreached * (-span.max(0.0) / crate::DECAY[1]).exp() * discount;
            if unreached_attempts > 0.5 {
                disconnected.insert(n.observer.as_str());
                unreached += credibility * UNREACHED_WEIGHT;
            }
        }
        // An observer that cannot reach a server may itself be disconnected: two must report it, and good results of others
        // count against it.
        let unreached =
            if disconnected.len() > 1 { unreached + failing.strongest_in_favour().min(0.0) } else { 0.0 };
        failing.strongest_against().max(slow.strongest_against()).max(unreached)
    };
    by_server.into_iter().map(|(id, reported)| (id.to_owned(), score(reported))).collect()
}

impl Detector {
    /// Re-evaluates all servers and returns the changes of state. `services` holds the ids of each service's usable servers;
    /// `session` tells whether an observer has a session.
    pub fn evaluate(
        &mut self,
        now: Millis,
        evidence: &[Evidence],
        services: &BTreeMap<String, Vec<String>>,
        session: &dyn Fn(&str) -> bool,
    ) -> Vec<StateChange> {
        let scores = scores(now, evidence, session);
        for (id, score) in &scores {
            if *score >= SUSPECT_THRESHOLD {
                self.cases.entry(id.clone()).or_default();
            }
        }
        let mut changes = Vec::new();
        for (id, case) in &mut self.cases {
            case.score = scores.get(id).copied().unwrap_or(0.0);
            let (score, elapsed) = (case.score, now - case.since);
            let next = match case.state {
                HealthState::Healthy if score >= EJECT_THRESHOLD => HealthState::Ejected,
                HealthState::Healthy if score >= SUSPECT_THRESHOLD => HealthState::Suspect,
                HealthState::Suspect if score >= EJECT_THRESHOLD => HealthState::Ejected,
                HealthState::Suspect if score < CLEAR_THRESHOLD => HealthState::Healthy,
                HealthState::Ejected if score < CLEAR_THRESHOLD && elapsed >= case.probe_interval() => {
                    HealthState::Returning
                }
                HealthState::Returning if score >= RELAPSE_THRESHOLD => HealthState::Ejected,
                HealthState::Returning if elapsed >= RETURN_PERIOD => HealthState::Healthy,
                state => state,
            };
            if next != case.state {
                case.set_state(now, next);
                changes.push(StateChange { server: id.clone(), state: next, score });
            }
        }
        self.cases.retain(|_, case| {
            case.state != HealthState::Healthy || now - case.ejected_at < FORGET_EJECTIONS_AFTER
        });
        // Limits the servers that are avoided to what the rest can replace, the worst first. If more than half are
        // unhealthy, avoiding some does not help.
        self.cases.values_mut().for_each(|case| case.may_eject = false);
        for ids in services.values() {
            let unhealthy =
                |id: &&String| self.cases.get(*id).is_some_and(|c| c.state >= HealthState::Suspect);
            let mut unhealthy: Vec<String> = ids.iter().filter(unhealthy).cloned().collect();
            if 2 * unhealthy.len() > ids.len() {
                continue;
            }
            let score_of = |id: &String| self.cases.get(id).map_or(0.0, |c| c.score);
            unhealthy.sort_by(|a, b| score_of(b).total_cmp(&score_of(a)).then(a.cmp(b)));
            unhealthy.truncate((ids.len() / EJECT_ONE_IN).max(usize::from(ids.len() > 2)));
            for id in unhealthy {
                if let Some(case) = self.cases.get_mut(&id) {
                    case.may_eject = true;
                }
            }
        }
        changes
    }

    /// The effective state of a server: healthy if the limit on avoided servers does not permit avoiding it.
    pub fn state(&self, id: &str) -> HealthState {
        let case = self.cases.get(id);
        let case = case.filter(|c| c.may_eject || c.state == HealthState::Returning);
        case.map_or(HealthState::Healthy, |c| c.state)
    }

    /// Whether a probe of this server is due.
    pub fn is_due(&self, now: Millis, id: &str) -> bool {
        let unhealthy = self.cases.get(id).filter(|c| c.may_eject && c.state >= HealthState::Suspect);
        unhealthy.is_some_and(|c| now - c.since >= c.probe_interval())
    }

    /// The ids of servers that are not healthy, each with the time of its last state change.
    pub fn unhealthy(&self) -> BTreeMap<String, Millis> {
        let unhealthy = self.cases.iter().filter(|(_, c)| c.state != HealthState::Healthy);
        unhealthy.map(|(id, c)| (id.clone(), c.since)).collect()
    }

    /// Whether no server is, or recently was, unhealthy.
    pub fn has_no_cases(&self) -> bool {
        self.cases.is_empty()
    }
}

#[cfg(test)]
mod tests;
