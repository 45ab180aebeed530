//! The settings of a service's decision module: the free values, with their reasons.

use crate::slow_start::WarmupShares;
use oatbank_cluster_state::state::Millis;
use oatbank_limiter_core::interface::Settings;
use oatbank_node_runtime::settings::Settings as NodeSettings;

/// Cost of a server in another zone of the region, beside one in the own zone.
const SAME_REGION_COST: f64 = 1.5;
/// Cost of a server in another region, beside one in the own zone.
const OTHER_REGION_COST: f64 = 9.0;
/// Mean answer times over this share of the latency target say that servers are full: the work alone may take a third, and
/// the latency to another region a tenth.
const SLOW_MARK: f64 = 0.7;
/// The least concurrency limit. Servers reject what is too much for them, and that costs less than a request that is held
/// back by a limit that has not grown yet.
const MIN_CONCURRENCY: f64 = 12.0;
/// A limiter compares all servers of a service up to this number: the near ones are among them.
const MIN_SUBSET: f64 = 40.0;
/// Share of the rule's retry budget that is spent: what others see a little later is in the rest.
const RETRY_SHARE: f64 = 0.75;
/// What a server takes while it warms up, beside what it takes then.
const WARMUP_CAPACITY: f64 = 0.3;
/// The longest wait that a rejection tells, ms.
pub const MAX_RETRY_AFTER: Millis = 2000.0;
/// A request that may be repeated is hedged after so many mean answer times: servers differ in speed by two, and one request
/// in a hundred takes five times as long as usual.
const HEDGE_AFTER: f64 = 3.0;

/// The settings among so many limiters, for a service whose servers warm up for `warmup_s` and take `warmup_rate` requests
/// a second meanwhile.
pub fn settings(node: &NodeSettings, limiters: f64, warmup_s: f64, warmup_rate: f64) -> Settings {
    let own_zone = node.zones.iter().position(|(zone, _)| *zone == node.zone).unwrap_or(0);
    let cost = |(zone, region): &(String, String)| {
        if *zone == node.zone {
            1.0
        } else if *region == node.region {
            SAME_REGION_COST
        } else {
            OTHER_REGION_COST
        }
    };
    Settings {
        gateways: limiters,
        zone: own_zone as u16,
        max_units: 1.0,
        parallel_tries: true,
        retry_after: true,
        max_retry_after: MAX_RETRY_AFTER,
        cold_start: WARMUP_CAPACITY,
        warm_after: warmup_s * 1000.0,
        // Twice: for servers that are certainly their owner's, and for contested ones.
        zone_cost: node.zones.iter().chain(&node.zones).map(cost).collect(),
        retry_burst: RETRY_SHARE * node.bounds.extra_tries / limiters,
        retry_ratio: RETRY_SHARE * node.bounds.retry_ratio,
        max_cold_rate: WarmupShares::new(&node.bounds, warmup_rate, limiters as usize).rate,
        slow_threshold: SLOW_MARK,
        hedge_after: HEDGE_AFTER,
        min_limit: MIN_CONCURRENCY,
        min_subset_size: MIN_SUBSET,
        ..Settings::default()
    }
}
