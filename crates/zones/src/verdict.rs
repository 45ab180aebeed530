//! Does a zone fail, or one limiter's way to it, or the link between two zones, or everything?
//!
//! A sequential test (CUSUM) over all limiters' new attempts says *that* something fails and how soon; who sees it says *what*.
//! A quorum of limiters alone would be slow where each sees little, and a quorum of evidence alone would let one limiter
//! that is cut off, and tries a lot, take the zone from all.

use crate::evidence::{Board, News};
use crate::Millis;
use std::collections::BTreeMap;

/// The rate of failures that is nobody's fault, at least.
const SOUND: f64 = 0.02;
/// The rate that is worth leaving for is so much more than what the other zones have.
const WORSE: f64 = 0.10;
/// The evidence at which the test says that it fails: the odds of e^12 against an accident.
const SURE: f64 = 12.0;
/// A limiter's report counts for so many attempts at most in one go, so that none outvotes the rest.
const MOST_AT_ONCE: f64 = 20.0;
/// The part of the limiters with tries there that must have seen failures of their own.
const SEEN_BY: f64 = 0.5;
/// A limiter with fewer tries in its view is not asked.
const FEW: f64 = 2.0;
/// Where so much of all attempts outside fail too, there is nowhere to go.
const EVERYWHERE: f64 = 0.5;

/// What is found of a zone.
#[derive(Clone, Debug, PartialEq, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// Nothing that could not be an accident.
    Sound,
    /// It fails, for most that try.
    Fails,
    /// These limiters alone see it fail: it is their way there.
    CutOff(Vec<u16>),
    /// Those that stand in this zone see it fail, and no others: the link between the two.
    Link(String),
    /// It fails, and so do the others: nothing is won by leaving.
    Everything,
}

/// The test's sums, by zone.
#[derive(Clone, Debug, Default)]
pub struct Test {
    runs: BTreeMap<String, Run>,
}

/// A zone's evidence since it last came to nothing.
#[derive(Clone, Debug, Default)]
struct Run {
    sum: f64,
    /// What each limiter tried since, and how much of it failed. Limiters leave what fails by themselves within a second, so
    /// that nothing else tells who has seen it.
    seen: BTreeMap<u16, (f64, f64)>,
}

impl Test {
    /// Takes in what is new; `sound` is the rate of failures in the other zones.
    pub fn take(&mut self, from: u16, news: &News, sound: f64) {
        let (p0, p1) = rates(sound);
        let part = (MOST_AT_ONCE / (news.bad + news.ok)).min(1.0);
        let step = part * (news.bad * (p1 / p0).ln() + news.ok * ((1.0 - p1) / (1.0 - p0)).ln());
        let run = self.runs.entry(news.zone.clone()).or_default();
        // Bounded above as well: what was sure for long must not take as long to be doubted.
        run.sum = (run.sum + step).clamp(0.0, 2.0 * SURE);
        if run.sum <= 0.0 {
            return run.seen.clear();
        }
        let (tries, bad) = run.seen.entry(from).or_default();
        (*tries, *bad) = (*tries + news.bad + news.ok, *bad + news.bad);
    }

    /// The evidence against a zone, of [`Test::sure`].
    pub fn sum(&self, zone: &str) -> f64 {
        self.runs.get(zone).map_or(0.0, |run| run.sum)
    }

    /// Where it is sure.
    pub const fn sure() -> f64 {
        SURE
    }

    /// A zone is looked at anew: it was left, or begins to be used again.
    pub fn forget(&mut self, zone: &str) {
        self.runs.remove(zone);
    }
}

/// The rates between which the test tells.
fn rates(sound: f64) -> (f64, f64) {
    let p0 = sound.clamp(SOUND, 0.8);
    (p0, (p0 + WORSE).max(2.0 * p0).min(0.95))
}

/// The rate of failures outside a zone, as a limit for what is sound.
pub fn sound_rate(board: &Board, now: Millis, zone: &str) -> f64 {
    let others = board.elsewhere(now, zone);
    if others.tries() < FEW {
        return SOUND;
    }
    others.bad / others.tries()
}

/// What is found of a zone now.
pub fn judge(board: &Board, test: &Test, now: Millis, zone: &str) -> Verdict {
    let Some(run) = test.runs.get(zone).filter(|run| run.sum >= SURE) else { return Verdict::Sound };
    let views = board.views(now, zone);
    let sound = sound_rate(board, now, zone);
    let (_, p1) = rates(sound);
    let tried = |n: &u16| run.seen.get(n).copied().unwrap_or_default();
    // Also those that have not reported since the run began: they may see nothing.
    let asked: Vec<_> = views.iter().filter(|(n, _, v)| tried(n).0.max(v.tries()) >= FEW).collect();
    // It has seen failures of its own, and more than the rate between sound and not.
    let sees = |n: &u16| tried(n).1 >= 1.0 && tried(n).1 / tried(n).0 > p1 / 2.0;
    let seeing: Vec<_> = asked.iter().filter(|(n, ..)| sees(n)).collect();
    if asked.is_empty() {
        return Verdict::Sound;
    }
    if sound >= EVERYWHERE {
        return Verdict::Everything;
    }
    let part = seeing.len() as f64 / asked.len() as f64;
    if part >= SEEN_BY && (asked.len() > 1 || views.len() == 1) {
        return Verdict::Fails;
    }
    let mut homes: Vec<&str> = seeing.iter().filter_map(|(_, own, _)| *own).collect();
    homes.sort_unstable();
    homes.dedup();
    if let ([home], true) = (&homes[..], seeing.len() > 1) {
        let all = asked.iter().filter(|(_, own, _)| *own == Some(home)).count();
        if seeing.len() == all && *home != zone {
            return Verdict::Link((*home).to_owned());
        }
    }
    match seeing.is_empty() {
        true => Verdict::Sound,
        false => Verdict::CutOff(seeing.iter().map(|(n, _, _)| *n).collect()),
    }
}

#[cfg(test)]
mod tests;
