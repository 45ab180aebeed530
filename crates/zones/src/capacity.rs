//! What zones bear: from the most that their servers were seen to serve well. A server nobody has tried hard is taken to bear
//! what the best of the others has, and the next step may go half beyond: that is how more is found out.

use crate::Millis;
use std::collections::BTreeMap;

/// A step may ask of servers so much more than they were seen to serve.
const CAPACITY_HEADROOM: f64 = 1.5;
/// What was seen fades by this, ms: servers are replaced, and night is not noon.
const DECAY_MS: f64 = 600_000.0;

/// A zone now.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Attempts a second.
    pub rate: f64,
    /// Its servers.
    pub servers: u32,
    /// The part of it that is used.
    pub share: f64,
    /// It serves well.
    pub healthy: bool,
}

/// What servers of zones have served well, a second and server.
#[derive(Clone, Debug, Default)]
pub struct CapacityEstimator {
    best: BTreeMap<String, (Millis, f64)>,
}

impl CapacityEstimator {
    /// Takes in what a zone serves now.
    pub fn observe(&mut self, now: Millis, zone: &str, load: Load) {
        let used = f64::from(load.servers) * load.share;
        if !load.healthy || used <= 0.0 {
            return;
        }
        let (at, best) = self.best.get(zone).copied().unwrap_or((now, 0.0));
        let decayed = best * (-((now - at) as f64) / DECAY_MS).exp();
        self.best.insert(zone.to_owned(), (now, decayed.max(load.rate / used)));
    }

    /// What one server bears, a second; nothing where nobody has served anything.
    pub(crate) fn per_server(&self) -> Option<f64> {
        self.best.values().map(|(_, best)| *best).max_by(f64::total_cmp).filter(|best| *best > 0.0)
    }

    /// The part of a zone that has to stay in use as the others do not bear it, 0 to its present share.
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
