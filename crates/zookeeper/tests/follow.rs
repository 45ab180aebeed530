//! Tests of the membership source against the coordinator of the test kit.

use oatbank_engine::ports::clock::{Clock, SystemClock};
use oatbank_engine::supervise::keep_running;
use oatbank_testkit::conformance::membership::Seen;
use oatbank_testkit::conformance::{on_local_set, until};
use oatbank_testkit::zookeeper::Coordinator;
use oatbank_zookeeper::{follow, state, Config, Shared};
use std::rc::Rc;
use std::time::Duration;

fn node(port: u16) -> Vec<u8> {
    format!(r#"{{"address":"127.0.0.1","port":{port}}}"#).into_bytes()
}

fn start(coordinator: &Coordinator, session_timeout: Duration) -> (Seen, Shared) {
    let (seen, clock) = (Seen::default(), Rc::new(SystemClock::new()) as Rc<dyn Clock>);
    let config = Config {
        cluster: coordinator.cluster(),
        path: "/services/quotes".into(),
        session_timeout,
        auth: None,
    };
    let (told, state) = (seen.told(), state(&config));
    let shared = state.clone();
    keep_running("members", move || follow(config.clone(), clock.clone(), told.clone(), state.clone()));
    (seen, shared)
}

fn members(coordinator: &Coordinator, names: &[&str]) {
    for (i, name) in names.iter().enumerate() {
        coordinator.put(&format!("/services/quotes/{name}"), &node(9001 + i as u16));
    }
}

#[test]
fn the_list_follows_the_folder() {
    let coordinator = Coordinator::start(1);
    on_local_set(async move {
        // The source starts before the folder exists.
        let (seen, state) = start(&coordinator, Duration::from_secs(10));
        seen.ready(&[]).await;
        members(&coordinator, &["a", "b", "c"]);
        seen.ready(&["a", "b", "c"]).await;
        coordinator.delete("/services/quotes/b");
        seen.ready(&["a", "c"]).await;
        let draining = br#"{"address":"127.0.0.1","port":9001,"payload":{"status":"STOPPING"}}"#;
        coordinator.put("/services/quotes/a", draining);
        seen.ready(&["c"]).await;
        coordinator.put("/services/quotes/odd", b"{");
        coordinator.put("/services/quotes/d", &node(9010));
        seen.ready(&["c", "d"]).await;
        // The read of the invalid node may be answered after that of d.
        until("the invalid node is left out", || state.borrow().left_out().len() == 1).await;
    });
}

#[test]
fn an_engine_is_removed_when_its_session_expires() {
    use zookeeper_client::{Acls, Client, CreateMode};
    let coordinator = Coordinator::start(1);
    on_local_set(async move {
        members(&coordinator, &["a"]);
        let (seen, _) = start(&coordinator, Duration::from_secs(10));
        seen.ready(&["a"]).await;
        let engine = Client::connect(&coordinator.cluster()).await.expect("a session");
        let mode = CreateMode::Ephemeral.with_acls(Acls::anyone_all());
        engine.create("/services/quotes/e", &node(9020), &mode).await.expect("a member");
        seen.ready(&["a", "e"]).await;
        coordinator.expire(engine.session_id().0);
        seen.ready(&["a"]).await;
    });
}

#[test]
fn the_list_stays_current_across_expired_sessions_and_lost_connections() {
    let coordinator = Coordinator::start(3);
    on_local_set(async move {
        members(&coordinator, &["a", "b"]);
        let (seen, _) = start(&coordinator, Duration::from_secs(10));
        seen.ready(&["a", "b"]).await;
        for round in 0..5 {
            let name = format!("/services/quotes/n{round}");
            match round % 3 {
                0 => coordinator.cut(),
                1 => coordinator.sessions().into_iter().for_each(|s| coordinator.expire(s)),
                _ => coordinator.endpoints.iter().for_each(|e| e.spoil()),
            }
            coordinator.put(&name, &node(9100));
            seen.ready(&["a", "b", &format!("n{round}")]).await;
            coordinator.delete(&name);
            seen.ready(&["a", "b"]).await;
        }
    });
}

#[test]
fn the_list_is_kept_during_an_outage_and_after_an_empty_restart() {
    let coordinator = Coordinator::start(2);
    on_local_set(async move {
        members(&coordinator, &["a", "b"]);
        let (seen, state) = start(&coordinator, Duration::from_millis(800));
        seen.ready(&["a", "b"]).await;
        let known_at = state.borrow().current_at().expect("a time");
        coordinator.endpoints.iter().for_each(|e| e.refuse(true));
        coordinator.lose_tree();
        // The outage outlasts every session; the list is checked throughout.
        let clock = SystemClock::new();
        while clock.now() < known_at + 2000.0 {
            assert_eq!(state.borrow().list().len(), 2, "the list is kept during the outage");
            clock.until(clock.now() + 20.0).await;
        }
        assert!(
            state.borrow().current_at().expect("a time") < clock.now() - 1000.0,
            "the age of the list is reported"
        );
        coordinator.endpoints.iter().for_each(|e| e.refuse(false));
        // Server a registers again in time; b never does.
        members(&coordinator, &["a"]);
        seen.ready(&["a"]).await;
    });
}
