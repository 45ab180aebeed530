//! Tests the effect of each optional setting, and the default behaviour without it.

mod events;

use events::{asks, ended};
use oatbank_limiter_core::interface::*;
use oatbank_limiter_core::logic::Gateway;

struct Harness {
    gateway: Gateway,
    next: u32,
}

fn settings() -> Settings {
    Settings {
        gateways: 1.0,
        classes: vec![Class { target: 500.0, deadline: 1500.0, worth: 1.0, ..Class::default() }],
        max_units: 1.0,
        parallel_tries: true,
        cancelling: true,
        cold_start: 0.5,
        warm_after: 60_000.0,
        ..Settings::default()
    }
}

fn server(n: u64, zone: u16) -> ServerEntry {
    ServerEntry { server: ServerId(n), weight: 1.0, zone, ..ServerEntry::default() }
}

impl Harness {
    fn new(settings: Settings, entries: Vec<ServerEntry>) -> Self {
        let mut harness = Harness { gateway: Gateway::new(settings, 11), next: 0 };
        harness.handle(0.0, Event::Servers { update: ListUpdate::Full, entries });
        harness
    }

    fn handle(&mut self, now: Millis, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.gateway.handle(now, event, &mut actions);
        actions
    }

    fn ask(&mut self, now: Millis, allowed_zones: u64) -> (RequestId, Vec<Action>) {
        self.next += 1;
        let id = RequestId(self.next);
        let mut ask = asks(id, CustomerId(1), 1.0, 1500.0);
        if let Event::Request(request) = &mut ask {
            request.allowed_zones = allowed_zones;
        }
        (id, self.handle(now, ask))
    }

    /// Sends `times` requests, one every 20 ms, each served within 5 ms, and returns their servers.
    fn serve(&mut self, from: Millis, times: u32, allowed_zones: u64) -> Vec<ServerId> {
        let one = |i| {
            let now = from + 20.0 * f64::from(i);
            let (id, actions) = self.ask(now, allowed_zones);
            let server = sent(&actions).expect("the request is sent");
            self.handle(now + 5.0, ended(id, 0, server, Outcome::Ok, 5.0));
            server
        };
        (0..times).map(one).collect()
    }
}

fn sent(actions: &[Action]) -> Option<ServerId> {
    actions.iter().find_map(|a| match a {
        Action::Send { server, .. } => Some(*server),
        _ => None,
    })
}

fn refused(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Refuse { .. }))
}

#[test]
fn configured_zone_costs_apply_and_the_own_zone_is_cheapest_by_default() {
    let served = |zone_cost| {
        let entries = (0..3).map(|zone| server(u64::from(zone), zone)).collect();
        Harness::new(Settings { zone_cost, ..settings() }, entries).serve(0.0, 50, 0)
    };
    assert!(served(vec![]).iter().all(|s| *s == ServerId(0)));
    assert!(served(vec![1.5, 1.5, 1.0]).iter().all(|s| *s == ServerId(2)));
    // A zone that is left out has its default cost.
    assert!(served(vec![2.0]).iter().all(|s| *s != ServerId(0)));
}

#[test]
fn requests_and_retries_stay_in_the_allowed_zones() {
    let entries = || (1..=6).map(|n| server(n, (n % 3) as u16)).collect();
    let mut harness = Harness::new(settings(), entries());
    assert!(harness.serve(0.0, 50, 0b010).iter().all(|s| s.0 % 3 == 1));
    assert!(harness.serve(2000.0, 50, 0b110).iter().all(|s| s.0 % 3 != 0));
    // Retries stay in the allowed zones as well, until no server is left.
    let (id, actions) = harness.ask(4000.0, 0b100);
    let first = sent(&actions).unwrap();
    let again = sent(&harness.handle(4001.0, ended(id, 0, first, Outcome::Error, 1.0))).unwrap();
    assert_eq!(first.0 + again.0, 2 + 5);
    let last = harness.handle(4002.0, ended(id, 1, again, Outcome::Error, 1.0));
    assert!(sent(&last).is_none() && refused(&last), "{last:?}");
}

#[test]
fn a_request_without_an_allowed_server_is_refused_at_once() {
    let mut harness = Harness::new(settings(), vec![server(1, 0), server(2, 70)]);
    for allowed_zones in [0b10, 1 << 6] {
        let (_, actions) = harness.ask(0.0, allowed_zones);
        assert!(sent(&actions).is_none() && refused(&actions), "{actions:?}");
    }
    // Requests for other zones are not affected.
    assert_eq!(harness.serve(10.0, 1, 0b1), [ServerId(1)]);
}

#[test]
fn ejection_is_suspended_when_all_allowed_servers_fail() {
    let entries = (1..=6).map(|n| server(n, u16::from(n > 4))).collect();
    let mut harness = Harness::new(settings(), entries);
    for i in 0..12 {
        let now = f64::from(i) * 20.0;
        let (id, actions) = harness.ask(now, 0b10);
        let server = sent(&actions).expect("the request is sent");
        assert!(server.0 > 4);
        harness.handle(now + 1.0, ended(id, 0, server, Outcome::Error, 1.0));
        harness.handle(now + 2.0, Event::Gone(id));
    }
}

#[test]
fn the_retry_budget_follows_its_settings() {
    let retries = |retry_burst, retry_ratio| {
        let entries = (1..=40).map(|n| server(n, 0)).collect();
        let mut harness = Harness::new(Settings { retry_burst, retry_ratio, ..settings() }, entries);
        let mut retries = 0;
        for i in 0..9 {
            let now = f64::from(i) * 20.0;
            let (id, mut actions) = harness.ask(now, 0);
            let mut attempt = 0;
            while let Some(server) = sent(&actions) {
                actions = harness.handle(now + 1.0, ended(id, attempt, server, Outcome::Error, 1.0));
                attempt += 1;
            }
            retries += attempt - 1;
        }
        retries
    };
    // One retry at first, and one more after every four requests: at the fifth and the ninth.
    assert_eq!(retries(1.0, 0.25), 3);
    assert_eq!(retries(0.5, 0.25), 0, "a budget of less than one allows no retry");
    assert_eq!(retries(0.0, 0.0), 10, "the initial budget of ten; nine requests earn less than one retry");
}

#[test]
fn max_cold_rate_limits_the_requests_to_a_cold_server() {
    let to_cold = |max_cold_rate| {
        let cold = ServerEntry { started: 1.0, ..server(1, 0) };
        let entries = vec![cold, server(2, 0), server(3, 0)];
        let mut harness = Harness::new(Settings { max_cold_rate, cold_start: 0.95, ..settings() }, entries);
        harness.serve(10.0, 500, 0).iter().filter(|s| **s == ServerId(1)).count()
    };
    assert!(to_cold(0.0) > 20, "{} requests in ten seconds", to_cold(0.0));
    let bounded = to_cold(0.5);
    assert!((2..=6).contains(&bounded), "{bounded} requests in ten seconds");
    assert_eq!(to_cold(1000.0), to_cold(0.0), "a high limit does not exceed the default");
}

#[test]
fn hedging_starts_after_the_configured_delay() {
    let hedged_at = |hedge_after| {
        let mut harness =
            Harness::new(Settings { hedge_after, ..settings() }, (1..=4).map(|n| server(n, 0)).collect());
        harness.ask(0.0, 0);
        (1..25)
            .map(|i| 20.0 * f64::from(i))
            .find(|now| sent(&harness.handle(*now, Event::Timer(0))).is_some())
    };
    // Without samples, the mean response time of a class is taken as a fifth of its target, 100 ms.
    assert_eq!(hedged_at(2.0), Some(220.0));
    assert_eq!(hedged_at(0.0), None, "eight mean response times exceed the target");
}
