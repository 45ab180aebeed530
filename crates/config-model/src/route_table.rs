//! Look-up of routes by host and path, and of tenants by key.

use crate::configuration::Configuration;
use crate::host::plain_host;
use std::collections::HashMap;

/// An immutable index of one version of the configuration for looking up requests.
#[derive(Clone, Debug)]
pub struct RouteTable {
    configuration: Configuration,
    /// Path prefixes by host, in lower case and without its port.
    hosts: HashMap<String, Prefixes>,
    /// The position of the tenant by key.
    keys: HashMap<String, usize>,
}

/// The distinct path prefixes of a host, sorted, each with the position of its route.
#[derive(Clone, Debug, Default)]
struct Prefixes {
    sorted: Vec<(String, usize)>,
    longest: usize,
}

impl RouteTable {
    /// Builds the index of `configuration`. Of two routes with the same host and prefix, the later one gets the requests.
    pub fn new(configuration: &Configuration) -> RouteTable {
        let mut hosts: HashMap<String, Prefixes> = HashMap::new();
        for (at, route) in configuration.routes.iter().enumerate() {
            let prefixes = hosts.entry(plain_host(&route.host).into_owned()).or_default();
            prefixes.longest = prefixes.longest.max(route.prefix.len());
            prefixes.sorted.push((route.prefix.clone(), at));
        }
        for prefixes in hosts.values_mut() {
            prefixes.sorted.sort_by(|a, b| a.0.cmp(&b.0).then(b.1.cmp(&a.1)));
            prefixes.sorted.dedup_by(|later, first| later.0 == first.0);
        }
        let mut keys = HashMap::new();
        for (at, customer) in configuration.customers.iter().flatten().enumerate() {
            keys.extend(customer.keys.iter().map(|key| (key.clone(), at)));
        }
        RouteTable { configuration: configuration.clone(), hosts, keys }
    }

    /// The version number of the configuration.
    pub fn version(&self) -> u64 {
        self.configuration.version
    }

    /// The position in [`Configuration::routes`] of a request's route: the one of the host with the longest matching path
    /// prefix. The host may have a port and upper-case letters, and the path a query.
    pub fn route(&self, host: &str, path: &str) -> Option<usize> {
        let prefixes = self.hosts.get(&*plain_host(host))?;
        let path = path.as_bytes();
        let end = path.iter().position(|b| *b == b'?').unwrap_or(path.len()).min(prefixes.longest);
        // Every prefix ends with a slash, so only the parts of the path up to a slash can match.
        let mut rest = &path[..end];
        while let Some(slash) = rest.iter().rposition(|b| *b == b'/') {
            let beginning = &rest[..=slash];
            let found = prefixes.sorted.binary_search_by(|(prefix, _)| prefix.as_bytes().cmp(beginning));
            if let Ok(at) = found {
                return Some(prefixes.sorted[at].1);
            }
            rest = &rest[..slash];
        }
        None
    }

    /// The position in [`Configuration::customers`] of the tenant with this key.
    pub fn customer(&self, key: &str) -> Option<usize> {
        self.keys.get(key).copied()
    }

    /// Whether there is a list of tenants, so that requests need keys.
    pub fn has_customers(&self) -> bool {
        self.configuration.customers.is_some()
    }

    /// The configuration that the table was built from.
    pub fn configuration(&self) -> &Configuration {
        &self.configuration
    }
}
