//! All zones of a fleet: reports and orders in, what the fleet should decide next out.

use crate::capacity::{CapacityEstimator, Load};
use crate::evidence::{LimiterReports, Report};
use crate::failover::{Observation, Order, Phase, ZoneFailover};
use crate::verdict::{assess, baseline_rate, SequentialTest, Verdict};
use crate::{Millis, ReducedZone};
use std::collections::BTreeMap;

/// What servers bear is the largest of many figures that are a few percent off each: of a bound so much is used.
const CAPACITY_SAFETY_FACTOR: f64 = 0.8;

/// An order that cannot be carried out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderError {
    /// No limiter knows of this zone; these are known.
    UnknownZone(Vec<String>),
    /// No other zone is wholly used: to leave this one would leave nothing.
    LastFullZone,
}

/// A zone as operators are shown it.
#[derive(Clone, Debug, serde::Serialize)]
pub struct ZoneStatus {
    /// Its name.
    pub zone: String,
    /// What is found of it.
    pub verdict: Verdict,
    /// The evidence that it fails, and where that is sure.
    pub evidence: f64,
    /// See `evidence`.
    pub sure: f64,
    /// How much of it is used, and is to be.
    pub share: f64,
    /// Where it stands.
    pub phase: Phase,
    /// What staff ordered.
    pub order: Option<Order>,
    /// Attempts a second, and the part of them that fails.
    pub rate: f64,
    /// See `rate`.
    pub failing: f64,
    /// What would have to stay in use if it were to be left now.
    pub stays: f64,
    /// Each limiter's attempts there of the last seconds, and how many failed.
    pub limiters: Vec<(u16, f64, f64)>,
}

/// The zones of a fleet, at the limiter that decides.
#[derive(Clone, Debug)]
pub struct Zones {
    limiters: usize,
    seed: u64,
    board: LimiterReports,
    test: SequentialTest,
    capacity: CapacityEstimator,
    failovers: BTreeMap<String, ZoneFailover>,
    /// Attempts since each zone's last step: all, and those that failed.
    since_step: BTreeMap<String, (f64, f64)>,
    /// What is decided, once that is known.
    decided: Option<Vec<ReducedZone>>,
    /// The rate of failures outside each zone, as of the last tick.
    baseline: BTreeMap<String, f64>,
    cold: ColdStart,
    /// Attempts a second that a zone had before it was left.
    normal_rates: BTreeMap<String, f64>,
}

/// What a server that has just started is spared.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdStart {
    /// It bears this part of what it will.
    pub share: f64,
    /// Until it has served for so long, ms.
    pub warm_after: Millis,
}

impl Zones {
    /// Of a fleet of so many limiters.
    pub fn new(limiters: usize, cold: ColdStart, seed: u64) -> Zones {
        let (board, test, capacity) = Default::default();
        let (failovers, since_step, decided) = Default::default();
        let (baseline, normal_rates) = Default::default();
        Zones {
            limiters,
            seed,
            board,
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

    /// Takes in a limiter's report.
    pub fn report(&mut self, now: Millis, from: u16, report: &Report) {
        for increment in self.board.record(now, from, report) {
            let baseline = self.baseline.get(&increment.zone).copied().unwrap_or(0.0);
            self.test.add(from, &increment, baseline);
            let (attempts, bad) = self.since_step.entry(increment.zone).or_default();
            (*attempts, *bad) = (*attempts + increment.bad + increment.ok, *bad + increment.bad);
        }
    }

    /// What the fleet has decided. Where another limiter has led it so far, that is gone on from.
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

    /// Staff order something, or end their order.
    ///
    /// # Errors
    /// When there is no such zone, or nothing would be left.
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
        let mut known = self.board.zones();
        known.extend(self.failovers.keys().cloned());
        known.sort();
        known.dedup();
        known
    }

    fn loads(&self, now: Millis) -> BTreeMap<String, Load> {
        let load = |zone: String| {
            let seen = self.board.sum(now, &zone);
            let healthy = self.test.sum(&zone) < SequentialTest::threshold() / 2.0;
            let share = self.failovers.get(&zone).map_or(1.0, ZoneFailover::share);
            (zone, Load { rate: seen.rate, servers: seen.servers, share, healthy })
        };
        self.board.zones().into_iter().map(load).collect()
    }

    fn observe(&self, now: Millis, zone: &str, loads: &BTreeMap<String, Load>) -> Observation {
        let (attempts, bad) = self.since_step.get(zone).copied().unwrap_or_default();
        Observation {
            failing: assess(&self.board, &self.test, now, zone) == Verdict::Fails,
            attempts,
            bad,
            baseline: self.baseline.get(zone).copied().unwrap_or(0.0),
            required_share: self.capacity.required_share(zone, loads),
            cold_limit: self.cold_limit(now, zone, loads),
            others_healthy: loads.iter().all(|(z, l)| z == zone || l.share < 1.0 || l.healthy),
        }
    }

    /// As much of a zone as its servers bear should they all be cold, until it has been used for as long as they need.
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

    /// Time has passed; what the fleet should decide, where that is not what it has decided.
    pub fn tick(&mut self, now: Millis) -> Option<Vec<ReducedZone>> {
        self.decided.as_ref()?;
        let loads = self.loads(now);
        for (zone, load) in &loads {
            self.baseline.insert(zone.clone(), baseline_rate(&self.board, now, zone));
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
                // From now on it is looked at as it is then.
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

    /// The zones as they stand.
    pub fn status(&self, now: Millis) -> Vec<ZoneStatus> {
        let loads = self.loads(now);
        let show = |zone: String| {
            let seen = self.board.sum(now, &zone);
            let failover = self.failovers.get(&zone);
            ZoneStatus {
                verdict: assess(&self.board, &self.test, now, &zone),
                evidence: self.test.sum(&zone),
                sure: SequentialTest::threshold(),
                share: failover.map_or(1.0, ZoneFailover::share),
                phase: failover.map_or(Phase::Used, ZoneFailover::phase),
                order: failover.and_then(ZoneFailover::order),
                rate: seen.rate,
                failing: if seen.attempts() > 0.0 { seen.bad / seen.attempts() } else { 0.0 },
                stays: self.capacity.required_share(&zone, &loads),
                limiters: self
                    .board
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
