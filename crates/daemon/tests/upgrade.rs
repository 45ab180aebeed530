//! Process upgrades: an old and a new process share a listening socket and behave as one limiter.

use oatbank_testkit::*;
use std::net::TcpListener;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

const OATBANK: &str = env!("CARGO_BIN_EXE_oatbank");

/// Configuration shared by the processes, and the services that they use.
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
        // The path is longer than a socket address can hold.
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

/// Clients that send requests one after another until they are stopped, each on a connection that it keeps as long as
/// possible. Counts served requests, and those that met a closed connection or another status.
struct Load {
    stop: Arc<AtomicBool>,
    served: Arc<AtomicUsize>,
    failed: Arc<AtomicUsize>,
    threads: Vec<std::thread::JoinHandle<()>>,
}

impl Load {
    fn start(place: &Place, clients: usize) -> Load {
        let (stop, served, failed) =
            (Arc::default(), Arc::<AtomicUsize>::default(), Arc::<AtomicUsize>::default());
        let address = place.setup.passed.as_ref().expect("a socket").local_addr().expect("an address");
        let run = |_| {
            let (stop, served, failed): (Arc<AtomicBool>, _, _) =
                (Arc::clone(&stop), Arc::clone(&served), Arc::clone(&failed));
            std::thread::spawn(move || {
                let mut client = Client::connect(address);
                while !stop.load(Ordering::SeqCst) {
                    client.send("GET", "look", "X-Time-Left: 2.0\r\n", b"");
                    let answer = client.read();
                    let good = answer.as_ref().is_some_and(|a| a.status() == 200);
                    if good { &served } else { &failed }.fetch_add(1, Ordering::SeqCst);
                    let closes = |m: &Message| m.header("connection") == Some("close");
                    if answer.as_ref().is_none_or(closes) {
                        client = Client::connect(address);
                    }
                }
            })
        };
        let threads = (0..clients).map(run).collect();
        Load { stop, served, failed, threads }
    }

    fn stop(self) -> (usize, usize) {
        self.stop.store(true, Ordering::SeqCst);
        self.threads.into_iter().for_each(|t| t.join().expect("a client"));
        (self.served.load(Ordering::SeqCst), self.failed.load(Ordering::SeqCst))
    }
}

#[test]
fn two_upgrades_fail_no_request_and_keep_suspensions() {
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
    // Up to 8 requests that were in flight when the call was answered may still be counted.
    assert!(a.count() <= seen + 8, "{} requests to a suspended server", a.count() - seen);
    assert_eq!(limiter.call("POST", "/v1/servers/s-1/resume").0, 200);
    let seen = a.count();
    eventually("it is used again", || a.count() > seen);
    let (served, failed) = load.stop();
    assert_eq!(failed, 0, "of {served}");
}

#[test]
fn a_call_at_either_process_applies_to_both() {
    let (a, b) = (Server::ok(), Server::ok());
    let place = Place::new("either", &[&a, &b]);
    let old = place.start();
    let new = place.start();
    // The old process still answers at its control address.
    assert_eq!(old.call("POST", "/v1/servers/s-1/suspend").0, 200);
    let seen = a.count();
    (0..30).for_each(|_| assert_eq!(place.client().look().status(), 200));
    assert_eq!(a.count(), seen, "suspended at the old process, applied by the new one");
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
    eventually("the old process stops accepting", || old.said("yields") > 0);
    new.signal("-KILL");
    new.exit_code();
    assert_eq!(place.client().look().status(), 200, "the old process accepts clients again");
    // A further process takes over from it.
    let next = place.start();
    eventually("the old process stops accepting", || old.said("yields") > 1);
    assert_eq!(place.client().look().status(), 200);
    drop(next);
}

#[test]
fn a_killed_or_hanging_predecessor_does_not_block_a_successor() {
    let (a, b) = (Server::ok(), Server::ok());
    let place = Place::new("hangs", &[&a, &b]);
    let mut old = place.start();
    assert_eq!(old.call("POST", "/v1/servers/s-1/suspend").0, 200);
    old.signal("-KILL");
    old.exit_code();
    let second = place.start();
    let seen = a.count();
    (0..30).for_each(|_| assert_eq!(place.client().look().status(), 200));
    assert_eq!(a.count(), seen, "a suspension outlives the killed process");
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
fn damaged_files_and_a_missing_folder_do_not_prevent_serving() {
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
fn a_process_without_a_successor_shuts_down_normally() {
    let server = Server::ok();
    let place = Place::new("alone", &[&server]);
    let mut limiter = place.start();
    assert_eq!(place.client().look().status(), 200);
    limiter.terminate();
    assert_eq!(limiter.exit_code(), Some(0));
}
