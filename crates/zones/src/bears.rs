//! What zones bear: from the most that their servers were seen to serve well. A server nobody has tried hard is taken to bear
//! what the best of the others has, and the next step may go half beyond: that is how more is found out.

use crate::Millis;
use std::collections::BTreeMap;

/// A step may ask of servers so much more than they were seen to serve.
const BEYOND: f64 = 1.5;
/// What was seen fades by this, ms: servers are replaced, and night is not noon.
const FADE: f64 = 600_000.0;

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
    pub well: bool,
}

/// What servers of zones have served well, a second and server.
#[derive(Clone, Debug, Default)]
pub struct Bears {
    best: BTreeMap<String, (Millis, f64)>,
}

impl Bears {
    /// Takes in what a zone serves now.
    pub fn saw(&mut self, now: Millis, zone: &str, load: Load) {
        let used = f64::from(load.servers) * load.share;
        if !load.well || used <= 0.0 {
            return;
        }
        let (at, best) = self.best.get(zone).copied().unwrap_or((now, 0.0));
        let faded = best * (-((now - at) as f64) / FADE).exp();
        self.best.insert(zone.to_owned(), (now, faded.max(load.rate / used)));
    }

    /// What one server bears, a second; nothing where nobody has served anything.
    pub(crate) fn each(&self) -> Option<f64> {
        self.best.values().map(|(_, best)| *best).max_by(f64::total_cmp).filter(|best| *best > 0.0)
    }

    /// The part of a zone that has to stay in use as the others do not bear it, 0 to its present share.
    pub fn stays(&self, zone: &str, loads: &BTreeMap<String, Load>) -> f64 {
        let Some(left) = loads.get(zone).filter(|l| l.rate > 0.0) else { return 0.0 };
        let others: Vec<&Load> =
            loads.iter().filter(|(n, l)| *n != zone && l.share >= 1.0 && l.well).map(|(_, l)| l).collect();
        if others.iter().all(|l| l.servers == 0) {
            return left.share;
        }
        let Some(each) = self.each() else { return 0.0 };
        let room: f64 = others.iter().map(|l| f64::from(l.servers) * each * BEYOND - l.rate).sum();
        left.share * (1.0 - room.max(0.0) / left.rate).max(0.0)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn loads(a: f64, b: f64, c: f64) -> BTreeMap<String, Load> {
        let load = |rate| Load { rate, servers: 3, share: 1.0, well: true };
        [("a".to_owned(), load(a)), ("b".to_owned(), load(b)), ("c".to_owned(), load(c))].into()
    }

    fn seen(loads: &BTreeMap<String, Load>) -> Bears {
        let mut bears = Bears::default();
        loads.iter().for_each(|(zone, load)| bears.saw(0, zone, *load));
        bears
    }

    #[test]
    fn idle_zones_bear_what_the_busy_one_did_and_even_ones_half_as_much_again() {
        let idle = loads(240.0, 0.0, 0.0);
        assert_eq!(seen(&idle).stays("a", &idle), 0.0);
        let even = loads(80.0, 80.0, 80.0);
        assert_eq!(seen(&even).stays("a", &even), 0.0);
    }

    #[test]
    fn what_the_others_do_not_bear_stays() {
        let usual = loads(100.0, 100.0, 100.0);
        let bears = seen(&usual);
        // They have taken 120 each meanwhile: room for 60 of 100.
        let full = loads(100.0, 120.0, 120.0);
        assert!((bears.stays("a", &full) - 0.4).abs() < 1e-9);
        // A second zone fails while the first is left: only what is used and serves well counts.
        let mut two = loads(0.0, 100.0, 150.0);
        two.get_mut("a").expect("a").share = 0.0;
        assert_eq!(bears.stays("b", &two), 1.0);
        assert_eq!(Bears::default().stays("a", &loads(1.0, 0.0, 0.0)), 0.0, "nothing is known: try");
        let alone = loads(5.0, 0.0, 0.0).into_iter().take(1).collect();
        assert_eq!(bears.stays("a", &alone), 1.0, "there is nowhere to go");
    }
}
