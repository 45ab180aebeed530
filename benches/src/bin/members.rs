//! What a membership source costs by the size of the folder: time to the first whole list, and from a change's
//! write to the engine's being told, over the stand-in coordinator on loopback.
//!
//! Then the daemon by the same sizes: memory and CPU for the first list, and CPU for each change after it.
//!
//! `cargo build --release && cargo run --release -p oatbank-benches --bin members`

use oatbank_benches::cpu;
use oatbank_engine::ports::clock::{Clock, SystemClock};
use oatbank_engine::ports::membership::{MembershipSink, News};
use oatbank_engine::supervise::keep_running;
use oatbank_testkit::conformance::on_local_set;
use oatbank_testkit::zookeeper::Coordinator;
use oatbank_testkit::{Scratch, Standalone};
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
    let told: MembershipSink = Rc::new(move |news| _ = tell.send((Instant::now(), news)));
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

/// Resident memory of a process now, and at most so far, MB.
fn memory(pid: &str) -> (f64, f64) {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).expect("a process");
    let field = |name: &str| {
        let line = status.lines().find(|l| l.starts_with(name)).expect("a field");
        line.split_whitespace().nth(1).and_then(|kb| kb.parse::<f64>().ok()).expect("kB") / 1024.0
    };
    (field("VmRSS:"), field("VmHWM:"))
}

/// The daemon with a folder of so many members, which change one after another.
fn daemon(members: usize) {
    let coordinator = Coordinator::start(1);
    (0..members).for_each(|i| coordinator.put(&path(i), &node(i)));
    let file = Scratch::new(&format!(
        "listen = \"127.0.0.1:0\"\n[members]\nzookeeper = \"{}\"\npath = \"/services/quotes\"\n[[classes]]\n\
         name = \"look\"\naim_ms = 1500\ndeadline_ms = 2000\nrepeat = \"safe\"\n[[plans]]\nname = \"team\"\n",
        coordinator.cluster()
    ));
    let mut process = Standalone::serve("target/release/oatbank", &file);
    process.drain_log();
    let pid = process.child.id().to_string();
    let rest = || {
        // Until a whole second brings next to no work: there is no other sign that it has read all.
        let mut before = cpu(&pid);
        loop {
            std::thread::sleep(Duration::from_secs(1));
            let now = cpu(&pid);
            if now - before <= Duration::from_millis(20) {
                return now;
            }
            before = now;
        }
    };
    let first = rest();
    let (held, most) = memory(&pid);
    for i in 0..CHANGES {
        coordinator.delete(&path(i));
        std::thread::sleep(Duration::from_millis(10));
    }
    let changed = cpu(&pid) - first;
    println!(
        "{members:>5} members, the daemon: {held:>5.1} MB, {most:>5.1} at most; CPU {:>4} ms for the list, {:>5.2} ms a change",
        first.as_millis(),
        changed.as_secs_f64() * 1000.0 / CHANGES as f64
    );
}

fn main() {
    for members in [100, 1000, 5000] {
        on_local_set(run(members));
    }
    [10, 100, 1000, 5000].into_iter().for_each(daemon);
}
