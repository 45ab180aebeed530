//! All zones of a fleet: reports and orders in, what the fleet should decide next out.

use crate::bears::{Bears, Load};
use crate::evidence::{Board, Report};
use crate::failover::{Order, Phase, Sight, ZoneFailover};
use crate::verdict::{judge, sound_rate, Test, Verdict};
use crate::{Millis, ReducedZone};
use std::collections::BTreeMap;

/// What servers bear is the largest of many figures that are a few percent off each: of a bound so much is used.
const SURELY: f64 = 0.8;

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
    board: Board,
    test: Test,
    bears: Bears,
    courses: BTreeMap<String, ZoneFailover>,
    /// Attempts since each zone's last step: all, and those that failed.
    since: BTreeMap<String, (f64, f64)>,
    /// What is decided, once that is known.
    decided: Option<Vec<ReducedZone>>,
    /// The rate of failures outside each zone, as of the last tick.
    sound: BTreeMap<String, f64>,
    cold: ColdStart,
    /// Attempts a second that a zone had before it was left.
    usual: BTreeMap<String, f64>,
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
        let (board, test, bears) = Default::default();
        let (courses, since, decided) = Default::default();
        let (sound, usual) = Default::default();
        Zones { limiters, seed, board, test, bears, courses, since, decided, sound, cold, usual }
    }

    /// Takes in a limiter's report.
    pub fn report(&mut self, now: Millis, from: u16, report: &Report) {
        for news in self.board.report(now, from, report) {
            let sound = self.sound.get(&news.zone).copied().unwrap_or(0.0);
            self.test.take(from, &news, sound);
            let (tries, bad) = self.since.entry(news.zone).or_default();
            (*tries, *bad) = (*tries + news.bad + news.ok, *bad + news.bad);
        }
    }

    /// What the fleet has decided. Where another limiter has led it so far, that is gone on from.
    pub fn set_decision(&mut self, now: Millis, left: &[ReducedZone]) {
        if self.decided.is_none() {
            for left in left {
                let course = self.fresh(&left.zone).taken_over(now, left.share, left.by);
                self.courses.insert(left.zone.clone(), course);
            }
        }
        self.decided = Some(left.to_vec());
    }

    fn fresh(&self, zone: &str) -> ZoneFailover {
        let seed = zone.bytes().fold(self.seed, |x, b| (x ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3));
        ZoneFailover::new(self.limiters, seed)
    }

    /// Staff order something, or end their order.
    ///
    /// # Errors
    /// When there is no such zone, or nothing would be left.
    pub fn order(&mut self, now: Millis, zone: &str, order: Option<Order>) -> Result<(), OrderError> {
        let known = self.known();
        if !known.iter().any(|z| z == zone) {
            return Err(OrderError::UnknownZone(known));
        }
        let whole = |z: &String| z != zone && self.courses.get(z).is_none_or(|c| c.share() >= 1.0);
        if matches!(order, Some(Order::Leave(_))) && !known.iter().any(whole) {
            return Err(OrderError::LastFullZone);
        }
        let fresh = self.fresh(zone);
        self.courses.entry(zone.to_owned()).or_insert(fresh).ordered(now, order);
        Ok(())
    }

    fn known(&self) -> Vec<String> {
        let mut known = self.board.zones();
        known.extend(self.courses.keys().cloned());
        known.sort();
        known.dedup();
        known
    }

    fn loads(&self, now: Millis) -> BTreeMap<String, Load> {
        let load = |zone: String| {
            let seen = self.board.sum(now, &zone);
            let well = self.test.sum(&zone) < Test::sure() / 2.0;
            let share = self.courses.get(&zone).map_or(1.0, ZoneFailover::share);
            (zone, Load { rate: seen.rate, servers: seen.servers, share, well })
        };
        self.board.zones().into_iter().map(load).collect()
    }

    fn sight(&self, now: Millis, zone: &str, loads: &BTreeMap<String, Load>) -> Sight {
        let (tries, bad) = self.since.get(zone).copied().unwrap_or_default();
        Sight {
            fails: judge(&self.board, &self.test, now, zone) == Verdict::Fails,
            tries,
            bad,
            sound: self.sound.get(zone).copied().unwrap_or(0.0),
            stays: self.bears.stays(zone, loads),
            cold_most: self.cold_most(now, zone, loads),
            others_well: loads.iter().all(|(z, l)| z == zone || l.share < 1.0 || l.well),
        }
    }

    /// As much of a zone as its servers bear should they all be cold, until it has been used for as long as they need.
    fn cold_most(&self, now: Millis, zone: &str, loads: &BTreeMap<String, Load>) -> f64 {
        let course = self.courses.get(zone);
        let used_for = course.and_then(ZoneFailover::back_since).map_or(0, |since| now.saturating_sub(since));
        let usual = self.usual.get(zone).copied().unwrap_or(0.0);
        if used_for >= self.cold.warm_after || usual <= 0.0 {
            return 1.0;
        }
        let servers = loads.get(zone).map_or(0, |l| l.servers);
        match self.bears.each() {
            Some(each) if servers > 0 => {
                (SURELY * self.cold.share * each * f64::from(servers) / usual).min(1.0)
            }
            _ => 1.0,
        }
    }

    /// Time has passed; what the fleet should decide, where that is not what it has decided.
    pub fn tick(&mut self, now: Millis) -> Option<Vec<ReducedZone>> {
        self.decided.as_ref()?;
        let loads = self.loads(now);
        for (zone, load) in &loads {
            self.sound.insert(zone.clone(), sound_rate(&self.board, now, zone));
            self.bears.saw(now, zone, *load);
            if load.share >= 1.0 && load.well {
                self.usual.insert(zone.clone(), load.rate);
            }
        }
        for zone in self.known() {
            let sight = self.sight(now, &zone, &loads);
            let fresh = self.fresh(&zone);
            let course = self.courses.entry(zone.clone()).or_insert(fresh);
            if course.next(now, &sight) {
                // From now on it is looked at as it is then.
                self.since.remove(&zone);
                self.test.forget(&zone);
            }
        }
        let wanted: Vec<ReducedZone> =
            self.courses.iter().filter(|(_, c)| c.share() < 1.0 || c.order().is_some()).map(left).collect();
        (self.decided.as_ref() != Some(&wanted)).then_some(wanted)
    }

    /// The zones as they stand.
    pub fn status(&self, now: Millis) -> Vec<ZoneStatus> {
        let loads = self.loads(now);
        let show = |zone: String| {
            let seen = self.board.sum(now, &zone);
            let course = self.courses.get(&zone);
            ZoneStatus {
                verdict: judge(&self.board, &self.test, now, &zone),
                evidence: self.test.sum(&zone),
                sure: Test::sure(),
                share: course.map_or(1.0, ZoneFailover::share),
                phase: course.map_or(Phase::Used, ZoneFailover::phase),
                order: course.and_then(ZoneFailover::order),
                rate: seen.rate,
                failing: if seen.tries() > 0.0 { seen.bad / seen.tries() } else { 0.0 },
                stays: self.bears.stays(&zone, &loads),
                limiters: self
                    .board
                    .views(now, &zone)
                    .iter()
                    .map(|(n, _, v)| (*n, v.tries(), v.bad))
                    .collect(),
                zone,
            }
        };
        self.known().into_iter().map(show).collect()
    }
}

fn left((zone, course): (&String, &ZoneFailover)) -> ReducedZone {
    ReducedZone { zone: zone.clone(), share: course.share(), by: course.by() }
}
