//! Controller of all zones of a fleet: takes reports and orders, and proposes what the fleet should decide next.

use crate::capacity::{CapacityEstimator, Load};
use crate::evidence::{LimiterReports, Report};
use crate::failover::{Observation, Order, Phase, ZoneFailover};
use crate::verdict::{assess, baseline_rate, SequentialTest, Verdict};
use crate::{Millis, ReducedZone};
use std::collections::BTreeMap;

/// Part of the estimated capacity that is relied on: the estimate is the maximum of many rates that are a few percent off.
const CAPACITY_SAFETY_FACTOR: f64 = 0.8;

/// An order that cannot be carried out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderError {
    /// No limiter has reported this zone; holds the known zones.
    UnknownZone(Vec<String>),
    /// No other zone is fully used, so this one must not be left.
    LastFullZone,
}

/// The status of a zone as shown to operators.
#[derive(Clone, Debug, serde::Serialize)]
pub struct ZoneStatus {
    /// Name of the zone.
    pub zone: String,
    /// Current assessment.
    pub verdict: Verdict,
    /// Log-likelihood ratio that the zone is failing.
    pub evidence: f64,
    /// Value of `evidence` at which the zone counts as failing.
    pub sure: f64,
    /// Proposed share, 0 to 1.
    pub share: f64,
    /// Phase of its failover.
    pub phase: Phase,
    /// Operator order in force.
    pub order: Option<Order>,
    /// Attempts per second.
    pub rate: f64,
    /// Share of attempts that fail, 0 to 1.
    pub failing: f64,
    /// Share that would have to stay in use if the zone were left now.
    pub stays: f64,
    /// For each limiter: its number, its recent attempts in the zone, and the failed ones among them.
    pub limiters: Vec<(u16, f64, f64)>,
}

/// The zones of a fleet, held by the limiter that leads it.
#[derive(Clone, Debug)]
pub struct Zones {
    limiters: usize,
    seed: u64,
    reports: LimiterReports,
    test: SequentialTest,
    capacity: CapacityEstimator,
    failovers: BTreeMap<String, ZoneFailover>,
    /// Attempts and failed attempts since each zone's last step.
    since_step: BTreeMap<String, (f64, f64)>,
    /// The fleet's last decision; `None` until it is known.
    decided: Option<Vec<ReducedZone>>,
    /// Failure rate of the other zones for each zone, as of the last tick.
    baseline: BTreeMap<String, f64>,
    cold: ColdStart,
    /// Attempts per second of each zone while it was last healthy and fully used.
    normal_rates: BTreeMap<String, f64>,
}

/// Reduced capacity of a server that has just started.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdStart {
    /// Capacity of a cold server as a share of that of a warm one.
    pub share: f64,
    /// Serving time in ms after which a server is warm.
    pub warm_after: Millis,
}

impl Zones {
    /// Zones of a fleet of `limiters` limiters; `seed` varies the hold times.
    pub fn new(limiters: usize, cold: ColdStart, seed: u64) -> Zones {
        let (reports, test, capacity) = Default::default();
        let (failovers, since_step, decided) = Default::default();
        let (baseline, normal_rates) = Default::default();
        Zones {
            limiters,
            seed,
            reports,
            test,
            capacity,
            failovers,
            since_step,
            decided,
            baseline,
            cold,
            normal_rates,
        }
    }

    /// Records a limiter's report.
    pub fn report(&mut self, now: Millis, from: u16, report: &Report) {
        for increment in self.reports.record(now, from, report) {
            let baseline = self.baseline.get(&increment.zone).copied().unwrap_or(0.0);
            self.test.add(from, &increment, baseline);
            let (attempts, bad) = self.since_step.entry(increment.zone).or_default();
            (*attempts, *bad) = (*attempts + increment.bad + increment.ok, *bad + increment.bad);
        }
    }

    /// Sets the fleet's decision. The first call continues from the state left by the previous leader.
    pub fn set_decision(&mut self, now: Millis, left: &[ReducedZone]) {
        if self.decided.is_none() {
            for left in left {
                let failover = self.new_failover(&left.zone).resume(now, left.share, left.by);
                self.failovers.insert(left.zone.clone(), failover);
            }
        }
        self.decided = Some(left.to_vec());
    }

    fn new_failover(&self, zone: &str) -> ZoneFailover {
        let seed = zone.bytes().fold(self.seed, |x, b| (x ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3));
        ZoneFailover::new(self.limiters, seed)
    }

    /// Sets or, with `None`, ends an operator's order for a zone.
    ///
    /// # Errors
    /// When the zone is unknown, or when an order to leave would leave no fully used zone.
    pub fn order(&mut self, now: Millis, zone: &str, order: Option<Order>) -> Result<(), OrderError> {
        let known = self.known_zones();
        if !known.iter().any(|z| z == zone) {
            return Err(OrderError::UnknownZone(known));
        }
        let whole = |z: &String| z != zone && self.failovers.get(z).is_none_or(|c| c.share() >= 1.0);
        if matches!(order, Some(Order::Leave(_))) && !known.iter().any(whole) {
            return Err(OrderError::LastFullZone);
        }
        let fresh = self.new_failover(zone);
        self.failovers.entry(zone.to_owned()).or_insert(fresh).set_order(now, order);
        Ok(())
    }

    fn known_zones(&self) -> Vec<String> {
        let mut known = self.reports.zones();
        known.extend(self.failovers.keys().cloned());
        known.sort();
        known.dedup();
        known
    }

    fn loads(&self, now: Millis) -> BTreeMap<String, Load> {
        let load = |zone: String| {
            let seen = self.reports.sum(now, &zone);
            let healthy = self.test.sum(&zone) < SequentialTest::threshold() / 2.0;
            let share = self.failovers.get(&zone).map_or(1.0, ZoneFailover::share);
            (zone, Load { rate: seen.rate, servers: seen.servers, share, healthy })
        };
        self.reports.zones().into_iter().map(load).collect()
    }

    fn observe(&self, now: Millis, zone: &str, loads: &BTreeMap<String, Load>) -> Observation {
        let (attempts, bad) = self.since_step.get(zone).copied().unwrap_or_default();
        Observation {
            failing: assess(&self.reports, &self.test, now, zone) == Verdict::Fails,
            attempts,
            bad,
            baseline: self.baseline.get(zone).copied().unwrap_or(0.0),
            required_share: self.capacity.required_share(zone, loads),
            cold_limit: self.cold_limit(now, zone, loads),
            others_healthy: loads.iter().all(|(z, l)| z == zone || l.share < 1.0 || l.healthy),
        }
    }

    /// Largest share of a zone that its servers can serve if all are cold; 1 once it has been in use for the warm-up time.
    fn cold_limit(&self, now: Millis, zone: &str, loads: &BTreeMap<String, Load>) -> f64 {
        let failover = self.failovers.get(zone);
        let used_for =
            failover.and_then(ZoneFailover::in_use_since).map_or(0, |since| now.saturating_sub(since));
        let normal_rate = self.normal_rates.get(zone).copied().unwrap_or(0.0);
        if used_for >= self.cold.warm_after || normal_rate <= 0.0 {
            return 1.0;
        }
        let servers = loads.get(zone).map_or(0, |l| l.servers);
        match self.capacity.per_server() {
            Some(per_server) if servers > 0 => {
                (CAPACITY_SAFETY_FACTOR * self.cold.share * per_server * f64::from(servers) / normal_rate)
                    .min(1.0)
            }
            _ => 1.0,
        }
    }

    /// Advances all zones; returns the list that the fleet should decide if it differs from its last decision.
    pub fn tick(&mut self, now: Millis) -> Option<Vec<ReducedZone>> {
        self.decided.as_ref()?;
        let loads = self.loads(now);
        for (zone, load) in &loads {
            self.baseline.insert(zone.clone(), baseline_rate(&self.reports, now, zone));
            self.capacity.observe(now, zone, *load);
            if load.share >= 1.0 && load.healthy {
                self.normal_rates.insert(zone.clone(), load.rate);
            }
        }
        for zone in self.known_zones() {
            let observation = self.observe(now, &zone, &loads);
            let fresh = self.new_failover(&zone);
            let failover = self.failovers.entry(zone.clone()).or_insert(fresh);
            if failover.update(now, &observation) {
                // Evidence from before the step does not apply to the new share.
                self.since_step.remove(&zone);
                self.test.reset(&zone);
            }
        }
        let wanted: Vec<ReducedZone> = self
            .failovers
            .iter()
            .filter(|(_, c)| c.share() < 1.0 || c.order().is_some())
            .map(reduced_zone)
            .collect();
        (self.decided.as_ref() != Some(&wanted)).then_some(wanted)
    }

    /// The status of all known zones.
    pub fn status(&self, now: Millis) -> Vec<ZoneStatus> {
        let loads = self.loads(now);
        let show = |zone: String| {
            let seen = self.reports.sum(now, &zone);
            let failover = self.failovers.get(&zone);
            ZoneStatus {
                verdict: assess(&self.reports, &self.test, now, &zone),
                evidence: self.test.sum(&zone),
                sure: SequentialTest::threshold(),
                share: failover.map_or(1.0, ZoneFailover::share),
                phase: failover.map_or(Phase::Used, ZoneFailover::phase),
                order: failover.and_then(ZoneFailover::order),
                rate: seen.rate,
                failing: if seen.attempts() > 0.0 { seen.bad / seen.attempts() } else { 0.0 },
                stays: self.capacity.required_share(&zone, &loads),
                limiters: self
                    .reports
                    .views(now, &zone)
                    .iter()
                    .map(|(n, _, v)| (*n, v.attempts(), v.bad))
                    .collect(),
                zone,
            }
        };
        self.known_zones().into_iter().map(show).collect()
    }
}

fn reduced_zone((zone, failover): (&String, &ZoneFailover)) -> ReducedZone {
    ReducedZone { zone: zone.clone(), share: failover.share(), by: failover.by() }
}
