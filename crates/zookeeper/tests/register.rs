//! Tests of the registration against the coordinator of the test kit.

use oatbank_engine::ports::clock::{Clock, SystemClock};
use oatbank_membership::register::{Incarnation, Place, State};
use oatbank_testkit::conformance::{on_local_set, until};
use oatbank_testkit::zookeeper::Coordinator;
use oatbank_zookeeper::register::Registrar;
use oatbank_zookeeper::Config;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

const FOLDER: &str = "/services/quotes/limiters";

struct Limiter {
    registrar: Rc<Registrar>,
    place: Rc<Cell<Option<Place>>>,
}

fn start(coordinator: &Coordinator, name: &str, started_ms: u64) -> Limiter {
    let config = Config {
        cluster: coordinator.cluster(),
        path: FOLDER.into(),
        session_timeout: Duration::from_millis(600),
        auth: None,
    };
    let (place, clock) = (Rc::new(Cell::new(None)), Rc::new(SystemClock::new()) as Rc<dyn Clock>);
    let placed = place.clone();
    let life = Incarnation { started_ms, instance: 7 };
    let registrar = Registrar::new(config, name, life, clock, move |told| placed.set(Some(told)));
    tokio::task::spawn_local(registrar.clone().run());
    Limiter { registrar, place }
}

fn is_registered_as(limiter: &Limiter, number: usize, count: usize) -> bool {
    limiter.registrar.state() == State::Registered && limiter.place.get() == Some(Place { number, count })
}

#[test]
fn limiters_learn_their_number_and_the_number_of_limiters() {
    let coordinator = Coordinator::start(1);
    on_local_set(async move {
        // The limiters start before the folder exists.
        let (b, a) = (start(&coordinator, "b", 1), start(&coordinator, "a", 1));
        until("two", || is_registered_as(&a, 0, 2) && is_registered_as(&b, 1, 2)).await;
        let c = start(&coordinator, "c", 1);
        until("three", || {
            is_registered_as(&a, 0, 3) && is_registered_as(&b, 1, 3) && is_registered_as(&c, 2, 3)
        })
        .await;
        a.registrar.leave().await;
        assert_eq!(a.registrar.state(), State::Left);
        assert_eq!(coordinator.children(FOLDER), ["b", "c"], "removed before its session has ended");
        until("two again", || is_registered_as(&b, 0, 2) && is_registered_as(&c, 1, 2)).await;
    });
}

#[test]
fn a_node_is_created_again_after_session_expiry_or_deletion() {
    let coordinator = Coordinator::start(2);
    on_local_set(async move {
        let (a, b) = (start(&coordinator, "a", 1), start(&coordinator, "b", 1));
        until("two", || is_registered_as(&a, 0, 2) && is_registered_as(&b, 1, 2)).await;
        for round in 0..6 {
            let owned = coordinator.sessions();
            match round % 3 {
                0 => owned.into_iter().for_each(|session| coordinator.expire(session)),
                1 => coordinator.cut(),
                _ => _ = coordinator.delete(&format!("{FOLDER}/a")),
            }
            until("both again", || coordinator.children(FOLDER) == ["a", "b"]).await;
            until("both have their numbers", || is_registered_as(&a, 0, 2) && is_registered_as(&b, 1, 2))
                .await;
        }
    });
}

#[test]
fn a_restarted_limiter_replaces_the_node_of_its_predecessor() {
    let coordinator = Coordinator::start(1);
    on_local_set(async move {
        let old = start(&coordinator, "a", 1);
        until("the old one", || is_registered_as(&old, 0, 1)).await;
        let old_node = coordinator.get(&format!("{FOLDER}/a"));
        // The new process starts while the old one's node still exists; the old process is superseded.
        let new = start(&coordinator, "a", 2);
        until("the new one", || is_registered_as(&new, 0, 1)).await;
        assert_ne!(coordinator.get(&format!("{FOLDER}/a")), old_node);
        assert_eq!(coordinator.children(FOLDER), ["a"]);
        until("the old one is superseded", || matches!(old.registrar.state(), State::Superseded(_))).await;
    });
}
