//! Settings of a service's decision module.

use crate::slow_start::WarmupShares;
use oatbank_cluster_state::state::Millis;
use oatbank_limiter_core::interface::Settings;
use oatbank_node_runtime::settings::Settings as NodeSettings;

/// Cost of a server in another zone of the region, relative to one in the same zone.
const SAME_REGION_COST: f64 = 1.5;
/// Cost of a server in another region, relative to one in the same zone.
const OTHER_REGION_COST: f64 = 9.0;
/// Mean answer time from which on servers count as overloaded, as a share of the latency target. Execution alone may take a
/// third of the target, and the network latency to another region a tenth.
const SLOW_THRESHOLD_SHARE: f64 = 0.7;
/// Minimum concurrency limit. A rejection by an overloaded server costs less than a request that waits because the limit has
/// not grown yet.
const MIN_CONCURRENCY: f64 = 12.0;
/// Minimum number of servers that a limiter compares; a service with fewer is compared completely. It includes the near ones.
const MIN_SUBSET: f64 = 40.0;
/// Share of the configured retry budget that is used. The rest covers retries that other limiters learn of with a delay.
const RETRY_SHARE: f64 = 0.75;
/// Capacity of a warming server relative to a warm one.
const WARMUP_CAPACITY: f64 = 0.3;
/// Longest `Retry-After` of a rejection, ms.
pub const MAX_RETRY_AFTER: Millis = 2000.0;
/// Delay before a repeatable request is hedged, in mean answer times. Servers differ in speed by a factor of two, and one
/// request in a hundred takes five times as long as usual.
const HEDGE_AFTER: f64 = 3.0;

/// The settings for this number of limiters and a service whose servers warm up for `warmup_s` seconds and take `warmup_rate`
/// requests per second meanwhile.
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
        starts_early: true,
        upload_time_counts: true,
        retry_after: true,
        max_retry_after: MAX_RETRY_AFTER,
        cold_start: WARMUP_CAPACITY,
        warm_after: warmup_s * 1000.0,
        // Each zone appears twice: for uncontested and for contested servers.
        zone_cost: node.zones.iter().chain(&node.zones).map(cost).collect(),
        retry_burst: RETRY_SHARE * node.bounds.extra_tries / limiters,
        retry_ratio: RETRY_SHARE * node.bounds.retry_ratio,
        max_cold_rate: WarmupShares::new(&node.bounds, warmup_rate, limiters as usize).rate,
        slow_threshold: SLOW_THRESHOLD_SHARE,
        hedge_after: HEDGE_AFTER,
        min_limit: MIN_CONCURRENCY,
        min_subset_size: MIN_SUBSET,
        ..Settings::default()
    }
}
