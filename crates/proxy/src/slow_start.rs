//! Slow start: which limiters send requests to a server that warms up, and how many each, so that they add up to less than
//! the rule's bound.
//!
//! A server that warms up has a few senders, the first limiters in an order of its own: those near it before the others, and
//! among equals by a hash. All others leave it out meanwhile. Each sender sends it at most
//! [`WarmupShares::requests_per_second`] requests in any second, by a minimum interval between any two of them: so the
//! senders' seconds need not agree, and a limiter that comes or goes changes the senders of a server by one. See
//! `docs/design/system.md`, FAILBACK.

use crate::subsetting::{name_hash, Placement};
use oatbank_cluster_state::state::Millis;
use oatbank_node_runtime::settings::Bounds;
use std::collections::{BTreeMap, BTreeSet};

/// Share of a server's warm-up rate that its senders use together.
const RATE_SHARE: f64 = 1.2;
/// Minimum interval of one sender's requests, ms. Requests that are delayed on their way may come closer together by what
/// this is over a second.
pub const MIN_REQUEST_INTERVAL: Millis = 1100.0;
/// Share of the rule's slack that the senders may use. The rest is for limiters that see other members than most do, and for
/// what was on its way when the warm-up began.
const SLACK_SHARE: f64 = 0.5;
/// A limiter that started less than this ago, ms, sends nothing to servers that warm up: it knows neither how many limiters
/// there are nor what its incarnation before has sent.
pub const BLIND_AFTER_START: Millis = 2000.0;

/// How the requests to a server that warms up are divided.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmupShares {
    /// How many limiters send it requests.
    pub senders: usize,
    /// The most requests that each sends in any second.
    pub requests_per_second: usize,
    /// How fast each sends, requests a second; 0 if it is not known what the server takes.
    pub rate: f64,
}

impl WarmupShares {
    /// The shares of servers that take `warmup_rate` requests a second while they warm up, among so many limiters.
    pub fn new(bounds: &Bounds, warmup_rate: f64, limiters: usize) -> Self {
        if warmup_rate <= 0.0 {
            return WarmupShares { senders: usize::MAX, requests_per_second: usize::MAX, rate: 0.0 };
        }
        let wanted = RATE_SHARE * warmup_rate;
        let bound = (warmup_rate * bounds.cold_over + SLACK_SHARE * bounds.cold_slack).floor().max(1.0);
        let needed = (wanted * MIN_REQUEST_INTERVAL / 1000.0).ceil();
        let senders = needed.min(bound).min(limiters as f64).max(1.0);
        let each = (bound / senders).floor();
        let rate = (wanted / senders).min(each * 1000.0 / MIN_REQUEST_INTERVAL);
        WarmupShares { senders: senders as usize, requests_per_second: each as usize, rate }
    }

    /// Whether this limiter is one of the senders of a server. `placement` holds all limiters that may be active, this one or
    /// not.
    pub fn includes(&self, placement: &Placement<'_>, id: &str, zone: &str) -> bool {
        if self.senders > placement.limiters.len() {
            return true;
        }
        let order = |name: &str, from: &str| (placement.distance(from, zone), sender_hash(id, name));
        let own = (order(placement.name, placement.zone), placement.name);
        let others = placement.limiters.iter().filter(|(name, _)| name != placement.name);
        let before = others.filter(|(name, from)| (order(name, from), name.as_str()) < own);
        before.count() < self.senders
    }
}

/// Zones whose evacuation has ended. Their servers may have begun to warm up shortly before, and say so with their next
/// heartbeat only: each is taken to warm up for the whole duration from when the end was seen, whatever it has said so far.
#[derive(Debug, Default)]
pub struct RestoredZones(BTreeMap<String, Millis>);

impl RestoredZones {
    /// The evacuated zones have changed.
    pub fn on_change(&mut self, now: Millis, before: &BTreeSet<String>, after: &BTreeSet<String>) {
        self.0.extend(before.difference(after).map(|zone| (zone.clone(), now)));
    }

    /// How much longer a server of a zone warms up, ms, if it says `left` itself and warm-ups last for `duration`.
    pub fn warmup_left(&self, now: Millis, zone: &str, left: Millis, duration: Millis) -> Millis {
        self.0.get(zone).map_or(left, |restored_at| left.max(duration - (now - restored_at)))
    }
}

/// The place of a limiter in the order of a server's senders.
fn sender_hash(id: &str, name: &str) -> u64 {
    let x = name_hash(id).rotate_left(17) ^ name_hash(name);
    (x ^ (x >> 29)).wrapping_mul(0xd6e8_feb8_6659_fd93)
}
