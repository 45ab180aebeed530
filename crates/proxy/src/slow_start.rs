//! Slow start: which limiters send requests to a warming server and at what rate, so that their sum stays below the configured
//! bound.
//!
//! A warming server has a few senders: the first limiters in an order specific to the server, by distance and then by hash.
//! Other limiters send it nothing. Each sender sends at most [`WarmupShares::requests_per_second`] requests in any second,
//! enforced by a minimum interval between requests, so senders need no common clock. Adding or removing a limiter changes a
//! server's senders by one. See
//! `docs/design/system.md`, FAILBACK.

use crate::subsetting::{name_hash, Placement};
use oatbank_cluster_state::state::Millis;
use oatbank_node_runtime::settings::Bounds;
use std::collections::{BTreeMap, BTreeSet};

/// Target rate of all senders of a server together, relative to its warm-up rate.
const RATE_SHARE: f64 = 1.2;
/// Minimum interval between one sender's requests, ms. The excess over one second allows for varying network delay.
pub const MIN_REQUEST_INTERVAL: Millis = 1100.0;
/// Share of the bound's slack that the senders may use. The rest covers limiters with a different view of the members, and
/// requests in flight when the warm-up began.
const SLACK_SHARE: f64 = 0.5;
/// Time after its start during which a limiter sends nothing to warming servers, ms: it knows neither the number of limiters
/// nor what its previous incarnation has sent.
pub const BLIND_AFTER_START: Millis = 2000.0;

/// Division of the requests to a warming server among its senders.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmupShares {
    /// Number of limiters that send requests.
    pub senders: usize,
    /// Most requests that each sender sends in any second.
    pub requests_per_second: usize,
    /// Target rate of each sender, requests per second; 0 if no warm-up rate is configured.
    pub rate: f64,
}

impl WarmupShares {
    /// Divides `warmup_rate` requests per second among this number of limiters. A rate of 0 means no limit.
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

    /// Whether this limiter is one of the senders of a server. `placement` holds the limiters that may be active, with or
    /// without this one.
    pub fn is_sender(&self, placement: &Placement<'_>, id: &str, zone: &str) -> bool {
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

/// Zones whose evacuation has ended, with the time, ms. Their servers may have started to warm up shortly before and report it
/// only with their next heartbeat, so each is treated as warming for the whole duration from then on.
#[derive(Debug, Default)]
pub struct RestoredZones(BTreeMap<String, Millis>);

impl RestoredZones {
    /// Records the zones that are evacuated in `before` but not in `after` as restored now.
    pub fn on_change(&mut self, now: Millis, before: &BTreeSet<String>, after: &BTreeSet<String>) {
        self.0.extend(before.difference(after).map(|zone| (zone.clone(), now)));
    }

    /// Remaining warm-up time of a server in `zone`, ms. `left` is the time that the server reports, and `duration` the length
    /// of a warm-up.
    pub fn warmup_left(&self, now: Millis, zone: &str, left: Millis, duration: Millis) -> Millis {
        self.0.get(zone).map_or(left, |restored_at| left.max(duration - (now - restored_at)))
    }
}

/// Sort key of a limiter in the order of a server's senders.
fn sender_hash(id: &str, name: &str) -> u64 {
    let x = name_hash(id).rotate_left(17) ^ name_hash(name);
    (x ^ (x >> 29)).wrapping_mul(0xd6e8_feb8_6659_fd93)
}
