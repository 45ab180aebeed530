//! What the decision module of a service is told: the free values, with their reasons.

use crate::slow_start::Parts;
use oatbank_cluster_state::state::Millis;
use oatbank_limiter_core::interface::Settings;
use oatbank_node_runtime::settings::Settings as Node;

/// Cost of a server in another zone of the region, and in another region, beside the near one.
const SAME_REGION: f64 = 1.5;
const OTHER_REGION: f64 = 9.0;
/// Answers that take this share of the aim on the mean say that servers are full: the work alone may take a third, and the
/// way to another region a tenth.
const SLOW_MARK: f64 = 0.7;
/// Requests of a service that a limiter has out at once at least. Servers turn away what is too much for them, and that
/// costs less than a request that is held back for a limit that has not grown yet.
const LEAST_LIMIT: f64 = 12.0;
/// A limiter compares all servers of a service up to this number: the near ones are among them.
const SUBSET_LEAST: f64 = 40.0;
/// Share of the rule's further tries that is spent: what others see a little later is in the rest.
const TRIES_SHARE: f64 = 0.75;
/// What a server bears while it is cold, beside what it bears.
const COLD_START: f64 = 0.3;
/// Longest wait that a refusal tells, ms.
pub const LONGEST_WAIT: Millis = 2000.0;
/// Mean answer times after which a repeatable request gets a second copy: servers differ in speed by two, and one request in
/// a hundred takes five times as long as usual.
const HEDGE_AFTER: f64 = 3.0;

/// The module's settings before so many limiters, for a service whose servers are cold for `cold_s` and bear `cold_rate`
/// requests a second then.
pub fn settings(node: &Node, limiters: f64, cold_s: f64, cold_rate: f64) -> Settings {
    let own = node.zones.iter().position(|(zone, _)| *zone == node.zone).unwrap_or(0);
    let cost = |(zone, region): &(String, String)| match () {
        () if *zone == node.zone => 1.0,
        () if *region == node.region => SAME_REGION,
        () => OTHER_REGION,
    };
    Settings {
        gateways: limiters,
        zone: own as u16,
        max_units: 1.0,
        parallel_tries: true,
        retry_after: true,
        max_retry_after: LONGEST_WAIT,
        cold_start: COLD_START,
        warm_after: cold_s * 1000.0,
        // Twice: for servers that are surely their owner's, and for those whose life alone proves it.
        zone_cost: node.zones.iter().chain(&node.zones).map(cost).collect(),
        retry_saved: TRIES_SHARE * node.bounds.extra_tries / limiters,
        retry_earn: TRIES_SHARE * node.bounds.retry_ratio,
        cold_rate: Parts::new(&node.bounds, cold_rate, limiters as usize).rate,
        slow_mark: SLOW_MARK,
        hedge_after: HEDGE_AFTER,
        least_limit: LEAST_LIMIT,
        subset_least: SUBSET_LEAST,
        ..Settings::default()
    }
}
