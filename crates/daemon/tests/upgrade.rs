//! A new version beside the running one: two real processes on one listening socket that behave as one limiter.

use oatbank_testkit::*;
use std::net::TcpListener;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

const OATBANK: &str = env!("CARGO_BIN_EXE_oatbank");

/// What both processes are given, and what stands round them.
struct Place {
    setup: Setup,
    folder: PathBuf,
    _discovery: Discovery,
    _counter: Counter,
}

impl Place {
    fn new(name: &str, servers: &[&Server]) -> Place {
        let known = all_ready(1, servers);
        let (discovery, counter) = (Discovery::start(known.clone()), Counter::ok());
        // A long name: no socket's could be so long.
        let folder =
            std::env::temp_dir().join(format!("oatbank-{}-{name}-{}", std::process::id(), "x".repeat(80)));
        std::fs::create_dir_all(&folder).expect("a folder");
        let listener = Arc::new(TcpListener::bind("127.0.0.1:0").expect("a port"));
        let setup = Setup {
            control: true,
            passed: Some(listener),
            env: vec![("TMPDIR".into(), folder.to_str().expect("text").into())],
            ..Setup::new(discovery.address, counter.address, &known)
        };
        Place { setup, folder, _discovery: discovery, _counter: counter }
    }

    fn start(&self) -> Limiter {
        self.setup.start(OATBANK)
    }

    fn client(&self) -> Client {
        Client::connect(self.setup.passed.as_ref().expect("a socket").local_addr().expect("an address"))
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Clients that ask one request after another until they are told to stop, each on a connection that it keeps for as
/// long as it may; how many answers they had, and how many requests met a closed connection or another answer.
struct Load {
    stop: Arc<AtomicBool>,
    served: Arc<AtomicUsize>,
    turned_back: Arc<AtomicUsize>,
    threads: Vec<std::thread::JoinHandle<()>>,
}

impl Load {
    fn start(place: &Place, clients: usize) -> Load {
        let (stop, served, turned_back) =
            (Arc::default(), Arc::<AtomicUsize>::default(), Arc::<AtomicUsize>::default());
        let address = place.setup.passed.as_ref().expect("a socket").local_addr().expect("an address");
        let run = |_| {
            let (stop, served, turned_back): (Arc<AtomicBool>, _, _) =
                (Arc::clone(&stop), Arc::clone(&served), Arc::clone(&turned_back));
            std::thread::spawn(move || {
                let mut client = Client::connect(address);
                while !stop.load(Ordering::SeqCst) {
                    client.send("GET", "look", "X-Time-Left: 2.0\r\n", b"");
                    let answer = client.read();
                    let good = answer.as_ref().is_some_and(|a| a.status() == 200);
                    if good { &served } else { &turned_back }.fetch_add(1, Ordering::SeqCst);
                    let closes = |m: &Message| m.header("connection") == Some("close");
                    if answer.as_ref().is_none_or(closes) {
                        client = Client::connect(address);
                    }
                }
            })
        };
        let threads = (0..clients).map(run).collect();
        Load { stop, served, turned_back, threads }
    }

    fn stop(self) -> (usize, usize) {
        self.stop.store(true, Ordering::SeqCst);
        self.threads.into_iter().for_each(|t| t.join().expect("a client"));
        (self.served.load(Ordering::SeqCst), self.turned_back.load(Ordering::SeqCst))
    }
}

#[test]
fn requests_run_on_over_two_upgrades_and_what_is_out_stays_out() {
    let (a, b) = (Server::ok(), Server::ok());
    let place = Place::new("load", &[&a, &b]);
    let mut limiter = place.start();
    let load = Load::start(&place, 8);
    eventually("traffic", || a.count() > 50);
    assert_eq!(limiter.call("POST", "/v1/servers/s-1/suspend").0, 200);
    let seen = a.count();
    for _ in 0..2 {
        let next = place.start();
        let before = load.served.load(Ordering::SeqCst);
        limiter.terminate();
        assert_eq!(limiter.exit_code(), Some(0));
        limiter = next;
        eventually("the new one serves", || load.served.load(Ordering::SeqCst) > before + 50);
    }
    // What was on its way when the call was answered may still be counted.
    assert!(a.count() <= seen + 8, "{} requests to a server that is out", a.count() - seen);
    assert_eq!(limiter.call("POST", "/v1/servers/s-1/resume").0, 200);
    let seen = a.count();
    eventually("it is used again", || a.count() > seen);
    let (served, turned_back) = load.stop();
    assert_eq!(turned_back, 0, "of {served}");
}

#[test]
fn a_call_at_either_process_holds_at_both() {
    let (a, b) = (Server::ok(), Server::ok());
    let place = Place::new("either", &[&a, &b]);
    let old = place.start();
    let new = place.start();
    // Kept from before the upgrade: still the old process's.
    assert_eq!(old.call("POST", "/v1/servers/s-1/suspend").0, 200);
    let seen = a.count();
    (0..30).for_each(|_| assert_eq!(place.client().look().status(), 200));
    assert_eq!(a.count(), seen, "said at the old one, kept by the new one");
    assert_eq!(new.call("POST", "/v1/servers/s-1/resume").0, 200);
    assert_eq!(new.call("POST", "/v1/servers/s-2/suspend").0, 200);
    old.terminate();
    eventually("the other is used", || {
        place.client().look();
        a.count() > seen
    });
}

#[test]
fn a_successor_that_dies_leaves_its_predecessor_serving() {
    let server = Server::ok();
    let place = Place::new("dies", &[&server]);
    let old = place.start();
    let mut new = place.start();
    eventually("it has yielded", || old.said("yields") > 0);
    new.signal("-KILL");
    new.exit_code();
    assert_eq!(place.client().look().status(), 200, "the old one takes clients again");
    // And the next one is taken over from it.
    let next = place.start();
    eventually("it has yielded", || old.said("yields") > 1);
    assert_eq!(place.client().look().status(), 200);
    drop(next);
}

#[test]
fn a_predecessor_that_was_killed_or_hangs_keeps_nobody_out() {
    let (a, b) = (Server::ok(), Server::ok());
    let place = Place::new("hangs", &[&a, &b]);
    let mut old = place.start();
    assert_eq!(old.call("POST", "/v1/servers/s-1/suspend").0, 200);
    old.signal("-KILL");
    old.exit_code();
    let second = place.start();
    let seen = a.count();
    (0..30).for_each(|_| assert_eq!(place.client().look().status(), 200));
    assert_eq!(a.count(), seen, "what was out before the end is out");
    second.signal("-STOP");
    let asked = Instant::now();
    let third = place.start();
    assert!(asked.elapsed() < Duration::from_secs(6), "ready after {:?}", asked.elapsed());
    let asked = Instant::now();
    assert_eq!(third.call("POST", "/v1/servers/s-1/resume").0, 200);
    assert!(asked.elapsed() < Duration::from_secs(1), "answered after {:?}", asked.elapsed());
    second.signal("-KILL");
}

#[test]
fn files_that_cannot_be_read_and_a_folder_that_is_not_there_are_told_and_passed_over() {
    let server = Server::ok();
    let mut place = Place::new("files", &[&server]);
    std::fs::write(place.folder.join("oatbank-suspensions.json"), "{\"s-1\":{\"out\":tr").expect("a file");
    std::fs::write(place.folder.join("oatbank.sock"), "no socket").expect("a file");
    let limiter = place.start();
    assert_eq!(place.client().look().status(), 200);
    drop(limiter);
    place.setup.env = vec![("TMPDIR".into(), "/nowhere".into())];
    let limiter = place.start();
    assert_eq!(place.client().look().status(), 200);
    drop(limiter);
}

#[test]
fn without_a_successor_the_end_is_as_ever() {
    let server = Server::ok();
    let place = Place::new("alone", &[&server]);
    let mut limiter = place.start();
    assert_eq!(place.client().look().status(), 200);
    limiter.terminate();
    assert_eq!(limiter.exit_code(), Some(0));
}
