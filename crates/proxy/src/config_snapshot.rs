//! What is in force: one immutable snapshot of an edition, swapped whole.

use http::header::HOST;
use http::request::Parts;
use oatbank_cluster_state::messages::Decided;
use oatbank_config_model::{Invalid, Kind, Playbill, Route, Table};
use oatbank_limiter_core::interface::{Class, CustomerId, Plan, Repeat};
use oatbank_node_runtime::settings::Settings;
use std::collections::BTreeSet;

/// A zone has a bit in the mask of zones that a request's servers may stand in.
const MOST_ZONES: usize = 63;

/// What is put after a zone's name for those of its servers whose owner is contested and whose answers are
/// proven by the life that a try names. The decision module knows servers apart by zone only, so each zone
/// stands there twice.
const PROVEN: &str = " (contested)";

/// How the decision module calls the part of a zone with the servers whose owner is contested.
pub fn proven(zone: &str) -> String {
    format!("{zone}{PROVEN}")
}

/// All zones as the decision module knows them: first those with the servers that are surely their owner's.
pub fn everywhere(settings: &Settings) -> Vec<String> {
    let zones = settings.zones.iter().map(|(zone, _)| zone.clone());
    zones.chain(settings.zones.iter().map(|(zone, _)| proven(zone))).collect()
}

/// What one edition says.
#[derive(Debug)]
pub struct Scene {
    /// The edition.
    pub edition: u64,
    /// Routes and keys.
    pub table: Table,
    /// Zones that are to be empty.
    pub empty: BTreeSet<String>,
    /// By route: the zones that its homes allow; 0: all.
    within: Vec<u64>,
    /// By customer.
    customers_within: Vec<u64>,
    /// How many zones there are.
    zones: usize,
}

/// The bit of each zone that stands in one of these regions; 0 where none is named.
fn mask(settings: &Settings, homes: &[String]) -> u64 {
    let zones = settings.zones.iter().take(MOST_ZONES).enumerate();
    zones.filter(|(_, (_, region))| homes.contains(region)).fold(0, |mask, (at, _)| mask | 1 << at)
}

impl Scene {
    /// Reads what was decided.
    ///
    /// # Errors
    /// When the configuration cannot be read.
    pub fn new(edition: u64, decided: &Decided, settings: &Settings) -> Result<Scene, Invalid> {
        let bill = Playbill::read(&decided.config)?;
        let within = bill.routes.iter().map(|r| mask(settings, &r.homes)).collect();
        let customers = bill.customers.as_deref().unwrap_or_default();
        let customers_within = customers.iter().map(|c| mask(settings, &c.homes)).collect();
        let empty = decided.empty.iter().cloned().collect();
        let zones = settings.zones.len();
        Ok(Scene { edition, table: Table::new(&bill), empty, within, customers_within, zones })
    }

    /// The route of a request.
    pub fn route(&self, head: &Parts) -> Option<usize> {
        let named = || head.headers.get(HOST).and_then(|v| v.to_str().ok());
        self.table.route(head.uri.host().or_else(named).unwrap_or_default(), head.uri.path())
    }

    /// Whether a request goes by a route whose requests run once at most, whatever their method.
    pub fn runs_once(&self, head: &Parts) -> bool {
        self.route(head).is_some_and(|at| self.table.bill().routes[at].kind == Kind::Unsafe)
    }

    /// The same zones where some of the servers are contested: with those, for what may be repeated, or
    /// without.
    pub fn among(&self, within: u64, repeatable: bool) -> u64 {
        // A mask has no room for more than half of its zones twice: then nothing at all goes to the contested
        // ones.
        let zones = self.zones.min(MOST_ZONES);
        let all = if zones >= MOST_ZONES { u64::MAX >> 1 } else { (1 << zones) - 1 };
        match (within, repeatable && 2 * zones <= MOST_ZONES) {
            (0, true) => 0,
            (0, false) => all,
            (within, true) => within | within << zones,
            (within, false) => within,
        }
    }

    /// The zones that a request's servers may stand in; 0: all. `None`: its homes leave none.
    pub fn within(&self, route: usize, customer: Option<usize>) -> Option<u64> {
        let of_route = self.within.get(route).copied().unwrap_or(0);
        let of_customer = customer.and_then(|c| self.customers_within.get(c)).copied().unwrap_or(0);
        match (of_route, of_customer) {
            (0, mask) | (mask, 0) => Some(mask),
            (a, b) => Some(a & b).filter(|both| *both != 0),
        }
    }
}

/// How the decision module sees a route.
pub fn class(route: &Route, rank: u32) -> Class {
    Class {
        aim: route.target_ms.max(1.0),
        deadline: route.give_up_ms,
        late_worth: 0.3,
        worth: 1.0 / (1.0 + f64::from(rank)),
        repeat: match route.kind {
            Kind::Safe | Kind::Download => Repeat::Safe,
            Kind::Unsafe => Repeat::Unsafe,
        },
    }
}

/// Parts of a tenant's rate and burst that are given out. The rest is for what limiters let through before they hear of each
/// other.
const RATE_PART: f64 = 0.97;
const BURST_PART: f64 = 0.6;
/// That much beyond it, in bursts, is paid back before anything else passes.
const DEBT: f64 = 4.0;
/// Less of a burst than this would refuse what comes unevenly in calm times.
const LEAST_BURST: f64 = 0.3;
/// A tenant that presses asks for so many times its rate beyond it: what is let through unheard is sized by that.
const PRESSES: f64 = 3.7;
/// How long that goes on before limiters have heard of each other, s, and how much longer for each limiter: a limiter tells
/// of each request, and has one the more rarely the more limiters there are.
const UNHEARD: f64 = 0.2;
const UNHEARD_EACH: f64 = 0.001;

/// How much of a tenant's quota the rule lets run in its window, beyond what the quota gives, and over which window.
#[derive(Clone, Copy, Debug)]
pub struct Allowed {
    /// The window, s.
    pub window: f64,
    /// A share of what the quota gives in the window.
    pub over: f64,
    /// Requests.
    pub slack: f64,
    /// Limiters that share the quota.
    pub limiters: f64,
}

/// How the decision module sees a tenant's quota.
pub fn plan(rate: f64, burst: f64, allowed: Allowed) -> Plan {
    if rate <= 0.0 {
        return Plan { price: 1.0, ..Plan::default() };
    }
    // A quota without a burst still lets one second through at once.
    let burst = if burst > 0.0 { burst } else { rate };
    let given = RATE_PART * rate * allowed.window;
    let bound = (rate * allowed.window + burst) * (1.0 + allowed.over) + allowed.slack;
    let unheard = PRESSES * rate * (UNHEARD + UNHEARD_EACH * allowed.limiters);
    let room = if allowed.window > 0.0 { bound - given - unheard } else { burst };
    Plan {
        rate: rate * RATE_PART,
        burst: room.max(LEAST_BURST * burst).min(BURST_PART * burst).max(1.0),
        price: 1.0,
        over_cost: 1.0,
        debt: DEBT,
        ..Plan::default()
    }
}

/// What stands for a tenant in the numbers that limiters keep for each other: the same at each, whichever versions of the
/// configuration it has seen.
pub fn tenant_number(name: &str) -> CustomerId {
    let mix = |x: u64, b: u8| (x ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3);
    let x = name.bytes().fold(0xcbf2_9ce4_8422_2325, mix);
    CustomerId((x ^ (x >> 29)).wrapping_mul(0xd6e8_feb8_6659_fd93))
}

/// The service of a route that a roll in 0 to 1 falls on.
pub fn share(route: &Route, roll: f64) -> Option<&str> {
    let all: f64 = route.shares.iter().map(|(_, weight)| weight.max(0.0)).sum();
    let mut at = roll * all;
    let with_weight = || route.shares.iter().filter(|(_, weight)| *weight > 0.0);
    for (service, weight) in with_weight() {
        if at < *weight {
            return Some(service);
        }
        at -= weight;
    }
    with_weight().next_back().map(|(service, _)| service.as_str())
}

#[cfg(test)]
mod tests {
    use super::*;

    fn settings() -> Settings {
        Settings::parse(include_str!("../../node-runtime/tests/node.toml")).expect("settings")
    }

    fn decided() -> Decided {
        let config = r#"{"version":"r7","routes":{"columns":["name","hostName","pathStart","routeKind","giveUpMs","targetMs","rank","shares","tries","homeRegions","service"],"rows":[["a","h","/a/","safe",1000,400,2,[{"service":"s","weight":90},{"service":"t","weight":10}],2,[],null],["b","h","/b/","unsafe",1200,500,1,null,2,["akl"],"s"]]},"services":{"columns":["name","healthPath"],"rows":[["s","/health"],["t","/health"]]},"limits":{},"customers":{"columns":["name","keys","rank","ratePerS","burst","homeRegions"],"rows":[["x",["k"],0,83,83,[]],["y",["l"],0,0,0,["chc"]]]}}"#;
        Decided { config: config.into(), empty: vec!["chc-hornby".into()], ..Decided::default() }
    }

    #[test]
    fn homes_of_route_and_tenant_both_bind() {
        let (settings, scene) = (settings(), Scene::new(3, &decided(), &settings()).expect("a scene"));
        let zones = |mask: u64| -> Vec<&str> {
            let zones = settings.zones.iter().enumerate();
            zones.filter(|(at, _)| mask & 1 << at != 0).map(|(_, (zone, _))| zone.as_str()).collect()
        };
        assert_eq!(scene.within(0, Some(0)), Some(0), "anywhere");
        assert_eq!(zones(scene.within(1, Some(0)).expect("some")), ["akl-eastt", "akl-penrose"]);
        assert_eq!(zones(scene.within(0, Some(1)).expect("some")), ["chc-hornby", "chc-sockburn"]);
        assert_eq!(scene.within(1, Some(1)), None, "akl and chc leave none");
    }

    #[test]
    fn what_may_run_once_keeps_to_the_zones_part_that_is_surely_the_owners() {
        let settings = settings();
        let scene = Scene::new(3, &decided(), &settings).expect("a scene");
        let (all, places) = (everywhere(&settings), settings.zones.len());
        let names = |mask: u64| -> Vec<&str> {
            let zones = all.iter().enumerate().filter(|(at, _)| mask & 1 << at != 0);
            zones.map(|(_, zone)| zone.as_str()).collect()
        };
        assert_eq!((scene.among(0, true), names(scene.among(0, false)).len()), (0, places));
        let home = scene.within(1, None).expect("its homes' zones");
        assert_eq!(scene.among(home, false), home);
        let proven = ["akl-eastt (contested)", "akl-penrose (contested)"];
        assert_eq!(names(scene.among(home, true)), [names(home), proven.to_vec()].concat());
        // No room for all zones twice: nothing goes to the contested ones.
        let wide = Scene { zones: 40, ..scene };
        assert_eq!((wide.among(0, true), wide.among(5, true)), ((1 << 40) - 1, 5));
    }

    #[test]
    fn a_tenant_has_one_number_at_all_limiters_and_no_other_has_it() {
        // A limiter that started after a tenant had come and gone counted the rest one place further on.
        let numbers: BTreeSet<u64> = (0..5000).map(|i| tenant_number(&format!("t{i}")).0).collect();
        assert_eq!(numbers.len(), 5000);
        assert_eq!(tenant_number("yefi830"), tenant_number("yefi830"));
    }

    #[test]
    fn weights_cut_the_roll() {
        let scene = Scene::new(3, &decided(), &settings()).expect("a scene");
        let route = &scene.table.bill().routes[0];
        assert_eq!(
            (share(route, 0.0), share(route, 0.89), share(route, 0.91)),
            (Some("s"), Some("s"), Some("t"))
        );
        assert_eq!(share(route, 1.0), Some("t"));
    }
}
