//! Estimates the capacity of zones from the highest rate that their servers were observed to serve without failures.
//!
//! Every server is assumed to have the capacity of the best one observed. A step may exceed this by half, which is how a
//! higher capacity is discovered.

use crate::Millis;
use std::collections::BTreeMap;

/// Factor by which a step may exceed the observed rate per server.
const CAPACITY_HEADROOM: f64 = 1.5;
/// Time constant in ms by which observed rates decay: servers are replaced, and load varies over the day.
const DECAY_MS: f64 = 600_000.0;

/// The current load of a zone.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Attempts per second.
    pub rate: f64,
    /// Number of servers.
    pub servers: u32,
    /// Share of the zone in use, 0 to 1.
    pub share: f64,
    /// Whether it serves without significant failures.
    pub healthy: bool,
}

/// The highest rate per server that each zone has served without failures, with its time.
#[derive(Clone, Debug, Default)]
pub struct CapacityEstimator {
    best: BTreeMap<String, (Millis, f64)>,
}

impl CapacityEstimator {
    /// Records the current load of a zone; ignored if the zone is unhealthy or not in use.
    pub fn observe(&mut self, now: Millis, zone: &str, load: Load) {
        let used = f64::from(load.servers) * load.share;
        if !load.healthy || used <= 0.0 {
            return;
        }
        let (at, best) = self.best.get(zone).copied().unwrap_or((now, 0.0));
        let decayed = best * (-((now - at) as f64) / DECAY_MS).exp();
        self.best.insert(zone.to_owned(), (now, decayed.max(load.rate / used)));
    }

    /// Estimated capacity of one server in attempts per second; `None` if no zone has served anything.
    pub(crate) fn per_server(&self) -> Option<f64> {
        self.best.values().map(|(_, best)| *best).max_by(f64::total_cmp).filter(|best| *best > 0.0)
    }

    /// The share of a zone that must stay in use because the other zones lack the capacity, 0 to its present share.
    pub fn required_share(&self, zone: &str, loads: &BTreeMap<String, Load>) -> f64 {
        let Some(own) = loads.get(zone).filter(|l| l.rate > 0.0) else { return 0.0 };
        let others: Vec<&Load> =
            loads.iter().filter(|(n, l)| *n != zone && l.share >= 1.0 && l.healthy).map(|(_, l)| l).collect();
        if others.iter().all(|l| l.servers == 0) {
            return own.share;
        }
        let Some(per_server) = self.per_server() else { return 0.0 };
        let room: f64 =
            others.iter().map(|l| f64::from(l.servers) * per_server * CAPACITY_HEADROOM - l.rate).sum();
        own.share * (1.0 - room.max(0.0) / own.rate).max(0.0)
    }
}

#[cfg(test)]
mod tests;
