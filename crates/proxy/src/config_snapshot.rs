//! Immutable snapshot of one edition of the agreed state, used to handle requests and replaced as a whole.

use http::header::HOST;
use http::request::Parts;
use oatbank_cluster_state::messages::AgreedState;
use oatbank_config_model::{Configuration, Route, RouteKind, RouteTable, ValidationError};
use oatbank_limiter_core::interface::{Class, Repeat};
use oatbank_node_runtime::settings::Settings;
use std::collections::BTreeSet;

/// Most zones with a bit of their own in masks of allowed zones.
const MAX_ZONES: usize = 63;

/// Value of an answer after its route's latency target, relative to one in time.
const LATE_VALUE: f64 = 0.3;

/// Suffix of the zone name that holds a zone's contested servers. Their answers are proven by the server id that each attempt
/// names. The decision module distinguishes servers by zone only, so it has two zones for each zone.
const CONTESTED_SUFFIX: &str = " (contested)";

/// The decision module's name for the contested servers of a zone.
pub fn contested_zone(zone: &str) -> String {
    format!("{zone}{CONTESTED_SUFFIX}")
}

/// Names of all zones in the decision module: first the zones of uncontested servers, then those of contested ones.
pub fn zone_names(settings: &Settings) -> Vec<String> {
    let zones = settings.zones.iter().map(|(zone, _)| zone.clone());
    zones.chain(settings.zones.iter().map(|(zone, _)| contested_zone(zone))).collect()
}

/// Routes, keys, evacuated zones and zone masks of one edition.
#[derive(Debug)]
pub struct ConfigSnapshot {
    /// Number of the edition.
    pub edition: u64,
    /// Routes and keys.
    pub routes: RouteTable,
    /// Zones that are evacuated.
    pub evacuated: BTreeSet<String>,
    /// Mask of the zones that each route's homes allow, by route index; 0 allows all.
    route_zones: Vec<u64>,
    /// Mask of the zones that each customer's homes allow, by customer index; 0 allows all.
    customer_zones: Vec<u64>,
    zone_count: usize,
}

/// Mask of the zones in these regions; 0 if there are none.
fn zone_mask(settings: &Settings, regions: &[String]) -> u64 {
    let zones = settings.zones.iter().take(MAX_ZONES).enumerate();
    zones.filter(|(_, (_, region))| regions.contains(region)).fold(0, |mask, (index, _)| mask | 1 << index)
}

impl ConfigSnapshot {
    /// Reads the agreed state of an edition.
    ///
    /// # Errors
    /// Fails if the configuration is invalid.
    pub fn new(
        edition: u64,
        agreed: &AgreedState,
        settings: &Settings,
    ) -> Result<ConfigSnapshot, ValidationError> {
        let configuration = Configuration::read(&agreed.config)?;
        let customers = configuration.customers.as_deref().unwrap_or_default();
        Ok(ConfigSnapshot {
            edition,
            evacuated: agreed.evacuated_zones.iter().cloned().collect(),
            route_zones: configuration.routes.iter().map(|route| zone_mask(settings, &route.homes)).collect(),
            customer_zones: customers.iter().map(|customer| zone_mask(settings, &customer.homes)).collect(),
            zone_count: settings.zones.len(),
            routes: RouteTable::new(&configuration),
        })
    }

    /// The configuration.
    pub fn configuration(&self) -> &Configuration {
        self.routes.configuration()
    }

    /// The route of a request, as its index in the configuration.
    pub fn route(&self, head: &Parts) -> Option<usize> {
        let host_header = || head.headers.get(HOST).and_then(|value| value.to_str().ok());
        self.routes.route(head.uri.host().or_else(host_header).unwrap_or_default(), head.uri.path())
    }

    /// Whether the request's route requires at-most-once execution, whatever the method.
    pub fn is_at_most_once(&self, head: &Parts) -> bool {
        self.route(head).is_some_and(|route| self.configuration().routes[route].kind == RouteKind::Unsafe)
    }

    /// The mask of allowed zones for a service with contested servers. It includes these only if the request is repeatable.
    pub fn with_contested(&self, allowed: u64, is_repeatable: bool) -> u64 {
        // Excludes all contested servers if the mask has no room for two zones each.
        let zones = self.zone_count.min(MAX_ZONES);
        let all = if zones >= MAX_ZONES { u64::MAX >> 1 } else { (1 << zones) - 1 };
        match (allowed, is_repeatable && 2 * zones <= MAX_ZONES) {
            (0, true) => 0,
            (0, false) => all,
            (allowed, true) => allowed | allowed << zones,
            (allowed, false) => allowed,
        }
    }

    /// The mask of zones whose servers may get a request; 0 allows all. `None` if the homes of route and customer have no zone
    /// in common.
    pub fn allowed_zones(&self, route: usize, customer: Option<usize>) -> Option<u64> {
        let by_route = self.route_zones.get(route).copied().unwrap_or(0);
        let by_customer =
            customer.and_then(|customer| self.customer_zones.get(customer)).copied().unwrap_or(0);
        match (by_route, by_customer) {
            (0, mask) | (mask, 0) => Some(mask),
            (a, b) => Some(a & b).filter(|both| *both != 0),
        }
    }
}

/// The decision module's class of a route for requests of this rank.
pub fn class(route: &Route, rank: u32) -> Class {
    Class {
        target: route.target_ms.max(1.0),
        deadline: route.give_up_ms,
        late_worth: LATE_VALUE,
        worth: 1.0 / (1.0 + f64::from(rank)),
        repeat: match route.kind {
            RouteKind::Safe | RouteKind::Download => Repeat::Safe,
            RouteKind::Unsafe => Repeat::Unsafe,
        },
    }
}

/// Chooses a service of a route by weight for `random` from 0 to 1; `None` if no weight is above 0.
pub fn choose_service(route: &Route, random: f64) -> Option<&str> {
    let total: f64 = route.shares.iter().map(|(_, weight)| weight.max(0.0)).sum();
    let mut left = random * total;
    let weighted = || route.shares.iter().filter(|(_, weight)| *weight > 0.0);
    for (service, weight) in weighted() {
        if left < *weight {
            return Some(service);
        }
        left -= weight;
    }
    weighted().next_back().map(|(service, _)| service.as_str())
}

#[cfg(test)]
mod tests;
