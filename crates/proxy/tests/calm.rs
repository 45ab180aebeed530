//! Guards against rejections by a decision module whose servers are idle: the server list grows one by one, requests arrive in
//! bursts on one connection, and each takes a third of the latency target.

use oatbank_limiter_core::interface::*;
use oatbank_limiter_core::logic::Gateway;
use oatbank_node_runtime::settings::Settings as Node;
use oatbank_proxy::limiter_settings;

fn node() -> Node {
    Node::parse(include_str!("../../node-runtime/tests/node.toml")).expect("settings")
}

fn server(id: u64, zone: u16) -> ServerEntry {
    ServerEntry { server: ServerId(id), weight: 1.0, zone, ..ServerEntry::default() }
}

/// Simulates 20 s with bursts of four requests twice a second, each of which takes 200 ms at a server. Returns the number of
/// rejected requests.
fn count_rejections(settings: Settings) -> u32 {
    let class = Class { target: 600.0, deadline: 2500.0, late_worth: 0.3, worth: 0.5, repeat: Repeat::Safe };
    let mut module = Gateway::new(Settings { gateways: 9.0, ..Settings::default() }, 7);
    let mut actions = Vec::new();
    // The server list arrives before the settings and grows one by one, as servers send their first heartbeats.
    for id in 0..8u64 {
        let entries = (0..=id).map(|id| server(id, (id % 4) as u16)).collect();
        module.handle(id as f64, Event::Servers { update: ListUpdate::Full, entries }, &mut actions);
        if id == 0 {
            let settings = Settings { classes: vec![class.clone()], ..settings.clone() };
            module.handle(0.5, Event::Settings(Box::new(settings)), &mut actions);
        }
    }
    let (mut in_flight, mut rejected, mut next_id) = (Vec::new(), 0, 0u32);
    for tick in 1..2000u32 {
        let now = 100.0 + f64::from(tick) * 10.0;
        actions.clear();
        if tick % 50 == 0 {
            for _ in 0..4 {
                next_id += 1;
                let request = Request {
                    id: RequestId(next_id),
                    units: 1.0,
                    time_left: 2500.0,
                    spread: 1.0,
                    ..Request::default()
                };
                module.handle(now, Event::Request(request), &mut actions);
            }
        }
        if tick % 2 == 0 {
            module.handle(now, Event::Timer(0), &mut actions);
        }
        let completed: Vec<(f64, RequestId, u8, ServerId)> =
            in_flight.iter().copied().filter(|o: &(f64, _, _, _)| o.0 <= now).collect();
        in_flight.retain(|o| o.0 > now);
        for (_, id, attempt, server) in completed {
            let ended = Event::Ended {
                id,
                attempt,
                server,
                outcome: Outcome::Ok,
                complete: true,
                took: 200.0,
                settled: 0.0,
                load: Vec::new(),
            };
            module.handle(now, ended, &mut actions);
        }
        for action in &actions {
            match action {
                Action::Send { id, server, .. } => in_flight.push((now + 200.0, *id, 0, *server)),
                Action::Refuse { .. } => rejected += 1,
                _ => {}
            }
        }
    }
    rejected
}

#[test]
fn bursts_to_idle_servers_are_not_rejected() {
    assert_eq!(count_rejections(limiter_settings::settings(&node(), 9.0, 3.0, 3.6)), 0);
}

#[test]
fn without_the_tuned_settings_the_same_bursts_are_rejected() {
    let tuned = limiter_settings::settings(&node(), 9.0, 3.0, 3.6);
    let untuned = Settings { slow_threshold: 0.0, min_limit: 0.0, min_subset_size: 0.0, ..tuned };
    assert!(count_rejections(untuned) > 10, "without the tuned settings, bursts must be rejected");
}
