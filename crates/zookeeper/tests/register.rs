//! Registration against the stand-in coordinator.

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

fn is(limiter: &Limiter, number: usize, count: usize) -> bool {
    limiter.registrar.state() == State::Registered && limiter.place.get() == Some(Place { number, count })
}

#[test]
fn limiters_know_their_number_and_how_many_there_are() {
    let coordinator = Coordinator::start(1);
    on_local_set(async move {
        // Also from before there is a folder.
        let (b, a) = (start(&coordinator, "b", 1), start(&coordinator, "a", 1));
        until("two", || is(&a, 0, 2) && is(&b, 1, 2)).await;
        let c = start(&coordinator, "c", 1);
        until("three", || is(&a, 0, 3) && is(&b, 1, 3) && is(&c, 2, 3)).await;
        a.registrar.leave().await;
        assert_eq!(a.registrar.state(), State::Left);
        assert_eq!(coordinator.children(FOLDER), ["b", "c"], "removed before its session has ended");
        until("two again", || is(&b, 0, 2) && is(&c, 1, 2)).await;
    });
}

#[test]
fn a_node_is_made_anew_after_its_session_expired_or_it_was_deleted() {
    let coordinator = Coordinator::start(2);
    on_local_set(async move {
        let (a, b) = (start(&coordinator, "a", 1), start(&coordinator, "b", 1));
        until("two", || is(&a, 0, 2) && is(&b, 1, 2)).await;
        for round in 0..6 {
            let owned = coordinator.sessions();
            match round % 3 {
                0 => owned.into_iter().for_each(|session| coordinator.expire(session)),
                1 => coordinator.cut(),
                _ => _ = coordinator.delete(&format!("{FOLDER}/a")),
            }
            until("both again", || coordinator.children(FOLDER) == ["a", "b"]).await;
            until("both know", || is(&a, 0, 2) && is(&b, 1, 2)).await;
        }
    });
}

#[test]
fn what_an_earlier_life_left_behind_is_replaced() {
    let coordinator = Coordinator::start(1);
    on_local_set(async move {
        let old = start(&coordinator, "a", 1);
        until("the old one", || is(&old, 0, 1)).await;
        let left = coordinator.get(&format!("{FOLDER}/a"));
        // The new process comes while the old one's node is still there; the old one is not heard any more.
        let new = start(&coordinator, "a", 2);
        until("the new one", || is(&new, 0, 1)).await;
        assert_ne!(coordinator.get(&format!("{FOLDER}/a")), left);
        assert_eq!(coordinator.children(FOLDER), ["a"]);
        until("the old one knows", || matches!(old.registrar.state(), State::Superseded(_))).await;
    });
}
