//! What a membership source costs by the size of the folder: time to the first whole list, and from a change's
//! write to the engine's being told, over the stand-in coordinator on loopback.
//!
//! `cargo run --release -p oatbank-benches --bin members`

use oatbank_engine::ports::clock::{Clock, SystemClock};
use oatbank_engine::ports::membership::{News, Told};
use oatbank_engine::supervise::keep_running;
use oatbank_testkit::conformance::on_local_set;
use oatbank_testkit::zookeeper::Coordinator;
use oatbank_zookeeper::{follow, state, Config};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::mpsc::unbounded_channel;

const CHANGES: usize = 100;

fn node(which: usize) -> Vec<u8> {
    let port = 1 + which;
    format!(r#"{{"address":"127.0.0.1","port":{port},"payload":{{"zone":"a","started_ms":1}}}}"#).into_bytes()
}

fn path(which: usize) -> String {
    format!("/services/quotes/s-{which:08x}")
}

async fn run(members: usize) {
    let coordinator = Coordinator::start(1);
    (0..members).for_each(|i| coordinator.put(&path(i), &node(i)));
    let (tell, mut heard) = unbounded_channel();
    let told: Told = Rc::new(move |news| _ = tell.send((Instant::now(), news)));
    let (cluster, session_timeout) = (coordinator.cluster(), Duration::from_secs(10));
    let config = Config { cluster, path: "/services/quotes".into(), session_timeout, auth: None };
    let (clock, shared) = (Rc::new(SystemClock::new()) as Rc<dyn Clock>, state(&config));
    let started = Instant::now();
    keep_running("members", move || follow(config.clone(), clock.clone(), told.clone(), shared.clone()));
    let (at, first) = heard.recv().await.expect("a list");
    let News::Complete(all) = first else { panic!("changes before a list") };
    // Past its first second a list is told though not all is read; the rest comes as changes.
    let (mut known, mut whole) = (all.len(), at);
    while known < members {
        let (at, news) = heard.recv().await.expect("the rest");
        let News::Changes(changes) = news else { panic!("a second list") };
        (known, whole) = (known + changes.len(), at);
    }
    let mut times = Vec::new();
    for i in 0..CHANGES {
        let before = Instant::now();
        coordinator.delete(&path(i));
        let (at, _) = heard.recv().await.expect("a change");
        times.push(at - before);
    }
    times.sort_unstable();
    println!(
        "{members:>5} members: whole list after {:>7.1} ms; a removal told after {:>6.2} ms (median), {:>6.2} ms (most)",
        (whole - started).as_secs_f64() * 1000.0,
        times[CHANGES / 2].as_secs_f64() * 1000.0,
        times[CHANGES - 1].as_secs_f64() * 1000.0
    );
}

fn main() {
    for members in [100, 1000, 5000] {
        on_local_set(run(members));
    }
}
