//! Idle servers refuse nobody: a list that grows server by server, bursts on one connection, work that takes a third of
//! the aim.

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

/// Plays 20 s of bursts of four requests twice a second, each of 200 ms at a server; returns how many were refused.
fn play(settings: Settings) -> u32 {
    let class = Class { target: 600.0, deadline: 2500.0, late_worth: 0.3, worth: 0.5, repeat: Repeat::Safe };
    let mut module = Gateway::new(Settings { gateways: 9.0, ..Settings::default() }, 7);
    let mut wait_until_applied = Vec::new();
    // The list comes before the terms, and server by server, as servers beat one after the other.
    for id in 0..8u64 {
        let entries = (0..=id).map(|id| server(id, (id % 4) as u16)).collect();
        module.handle(
            id as f64,
            Event::Servers { update: ListUpdate::Full, entries },
            &mut wait_until_applied,
        );
        if id == 0 {
            let settings = Settings { classes: vec![class.clone()], ..settings.clone() };
            module.handle(0.5, Event::Settings(Box::new(settings)), &mut wait_until_applied);
        }
    }
    let (mut out, mut refused, mut next) = (Vec::new(), 0, 0u32);
    for tick in 1..2000u32 {
        let now = 100.0 + f64::from(tick) * 10.0;
        wait_until_applied.clear();
        if tick % 50 == 0 {
            for _ in 0..4 {
                next += 1;
                let request = Request {
                    id: RequestId(next),
                    units: 1.0,
                    time_left: 2500.0,
                    spread: 1.0,
                    ..Request::default()
                };
                module.handle(now, Event::Request(request), &mut wait_until_applied);
            }
        }
        if tick % 2 == 0 {
            module.handle(now, Event::Timer(0), &mut wait_until_applied);
        }
        let done: Vec<(f64, RequestId, u8, ServerId)> =
            out.iter().copied().filter(|o: &(f64, _, _, _)| o.0 <= now).collect();
        out.retain(|o| o.0 > now);
        for (_, id, attempt, server) in done {
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
            module.handle(now, ended, &mut wait_until_applied);
        }
        for act in &wait_until_applied {
            match act {
                Action::Send { id, server, .. } => out.push((now + 200.0, *id, 0, *server)),
                Action::Refuse { .. } => refused += 1,
                _ => {}
            }
        }
    }
    refused
}

#[test]
fn calm_bursts_are_served() {
    assert_eq!(play(limiter_settings::settings(&node(), 9.0, 3.0, 3.6)), 0);
}

#[test]
fn the_terms_in_service_would_refuse_them() {
    let ours = limiter_settings::settings(&node(), 9.0, 3.0, 3.6);
    let in_service = Settings { slow_threshold: 0.0, min_limit: 0.0, min_subset_size: 0.0, ..ours };
    assert!(play(in_service) > 10, "the check can fail");
}
