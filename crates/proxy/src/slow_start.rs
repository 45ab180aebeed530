//! Which limiters send to a cold server, and how much each: parts that add up to less than the rule's bound.
//!
//! A cold server has a few takers, the first limiters in an order of its own: those that stand near it before the others, and
//! among equals by lot. All others leave it out while it is cold. Each taker sends it at most [`Parts::each`] requests in any
//! second, wherever that second begins, by a distance between any two of them. So the takers' seconds need not agree, and
//! who comes or goes changes the takers of a server by one. See `docs/design/system.md`, FAILBACK.

use crate::subsetting::{lot, Ground};
use oatbank_cluster_state::state::Millis;
use oatbank_node_runtime::settings::Bounds;
use std::collections::{BTreeMap, BTreeSet};

/// Share of a cold server's rate that its takers send together.
const SHARE: f64 = 1.2;
/// Least time between two requests of one taker, ms: those that are late on their way may come closer by what is over a
/// second.
pub const APART: Millis = 1100.0;
/// Share of the slack that the parts may use up. The rest is for limiters that see other members than the rest does, and for
/// what was on its way when the spell began.
const SLACK_SHARE: f64 = 0.5;
/// A limiter that lives for less than this, ms, sends cold servers nothing: it neither knows how many it is one of, nor what
/// it sent in the life before.
pub const BLIND: Millis = 2000.0;

/// How a cold server's requests are divided.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Parts {
    /// How many limiters send it something.
    pub takers: usize,
    /// What each sends at most in any second.
    pub each: usize,
    /// How fast each sends, requests a second; 0: it is not known what the server bears.
    pub rate: f64,
}

impl Parts {
    /// For servers that bear so many requests a second while they are cold, before so many limiters.
    pub fn new(bounds: &Bounds, cold_rate: f64, limiters: usize) -> Self {
        if cold_rate <= 0.0 {
            return Parts { takers: usize::MAX, each: usize::MAX, rate: 0.0 };
        }
        let wanted = SHARE * cold_rate;
        let whole = (cold_rate * bounds.cold_over + SLACK_SHARE * bounds.cold_slack).floor().max(1.0);
        let takers = (wanted * APART / 1000.0).ceil().min(whole).min(limiters as f64).max(1.0);
        let each = (whole / takers).floor();
        let rate = (wanted / takers).min(each * 1000.0 / APART);
        Parts { takers: takers as usize, each: each as usize, rate }
    }

    /// Whether this limiter is one of the takers of a server. `ground` holds all limiters that may act, this one or not.
    pub fn takes(&self, ground: &Ground<'_>, id: &str, zone: &str) -> bool {
        if self.takers > ground.limiters.len() {
            return true;
        }
        let order = |name: &str, from: &str| (ground.way(from, zone), lot_of(id, name));
        let own = (order(ground.name, ground.zone), ground.name);
        let others = ground.limiters.iter().filter(|(name, _)| name != ground.name);
        others.filter(|(name, from)| (order(name, from), name.as_str()) < own).count() < self.takers
    }
}

/// Zones that were taken back: their servers may have become cold shortly before, and say so with their next beat only. Each
/// is held to be cold for a whole spell from when the order was seen, whatever it has said so far.
#[derive(Debug, Default)]
pub struct TakenBack(BTreeMap<String, Millis>);

impl TakenBack {
    /// The zones that are to be empty have changed.
    pub fn note(&mut self, now: Millis, before: &BTreeSet<String>, after: &BTreeSet<String>) {
        self.0.extend(before.difference(after).map(|zone| (zone.clone(), now)));
    }

    /// How much longer a server is cold in a zone that says it is so for `left`, where spells last for `span`, ms.
    pub fn left(&self, now: Millis, zone: &str, left: Millis, span: Millis) -> Millis {
        self.0.get(zone).map_or(left, |at| left.max(span - (now - at)))
    }
}

/// A limiter's lot at a server.
fn lot_of(id: &str, name: &str) -> u64 {
    let x = lot(id).rotate_left(17) ^ lot(name);
    (x ^ (x >> 29)).wrapping_mul(0xd6e8_feb8_6659_fd93)
}
