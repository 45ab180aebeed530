//! Tests of the daemon with its server list in ZooKeeper-style ephemeral nodes.

use oatbank_testkit::zookeeper::Coordinator;
use oatbank_testkit::{answer, eventually, Act, Client, Fleet, Scratch, Server, Standalone};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::HashSet;
use std::io::{BufRead, BufReader};
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const OATBANK: &str = env!("CARGO_BIN_EXE_oatbank");
/// Longest time after a removal in which requests may still arrive.
const GRACE: Duration = Duration::from_millis(250);

/// Engine that records the arrival times of requests.
struct Engine {
    server: Server,
    arrivals: Arc<Mutex<Vec<Instant>>>,
}

impl Engine {
    fn start() -> Engine {
        let arrivals = Arc::new(Mutex::new(Vec::new()));
        let there = arrivals.clone();
        let server = Server::start(move |_| {
            there.lock().expect("a lock").push(Instant::now());
            Act::Late(Duration::from_millis(2), answer("200 OK", "", b"made"))
        });
        Engine { server, arrivals }
    }

    fn node(&self) -> Vec<u8> {
        let port = self.server.address.port();
        format!(r#"{{"address":"127.0.0.1","port":{port},"payload":{{"started_ms":1}}}}"#).into_bytes()
    }

    /// Returns how long after `at` the last request arrived, if one did.
    fn last_after(&self, at: Instant) -> Option<Duration> {
        let arrivals = self.arrivals.lock().expect("a lock");
        arrivals.last().and_then(|last| last.checked_duration_since(at))
    }
}

/// Prints the distribution of the sorted delays of the last requests, for `docs/design/membership.md`.
fn histogram(late: &[Duration]) {
    let at = |share: f64| late[((late.len() - 1) as f64 * share) as usize];
    println!("{} removals: p50 {:?}, p99 {:?}, most {:?}", late.len(), at(0.5), at(0.99), at(1.0));
    for ms in [0.1, 0.5, 1.0, 2.0, 5.0, 10.0, 20.0, 50.0, 100.0, 250.0] {
        let within = late.iter().filter(|l| l.as_secs_f64() * 1000.0 <= ms).count();
        println!("  within {ms:>5} ms: {within}");
    }
}

/// Writes a configuration with these lines in `[members]`, followed by further lines.
fn config(coordinator: &Coordinator, members: &str, further: &str) -> Scratch {
    Scratch::new(&format!(
        "name = \"n0\"\nlisten = \"127.0.0.1:0\"\n[members]\nzookeeper = \"{}\"\npath = \"/services/quotes\"\n{members}\n\
         [[classes]]\nname = \"look\"\naim_ms = 1500\ndeadline_ms = 2000\nrepeat = \"safe\"\n\
         [[classes]]\nname = \"once\"\naim_ms = 1500\ndeadline_ms = 2000\nrepeat = \"unsafe\"\n{further}\n\
         [[plans]]\nname = \"team\"\nrate = 100000\nburst = 100000\n",
        coordinator.cluster()
    ))
}

fn path(which: usize) -> String {
    format!("/services/quotes/s-{which:08x}")
}

#[test]
fn removed_servers_get_no_requests_after_the_grace_period_under_load() {
    let coordinator = Coordinator::start(1);
    let engines: Vec<Engine> = (0..24).map(|_| Engine::start()).collect();
    engines.iter().enumerate().for_each(|(i, e)| coordinator.put(&path(i), &e.node()));
    // Hold-down is off, as the same engines are removed and added ten times.
    let file = config(&coordinator, "hold_down = false", "");
    let limiter = Standalone::serve(OATBANK, &file);
    eventually("the list", || Client::connect(limiter.address).look_of_one().status() == 200);
    let (stop, asked, refused) = (AtomicBool::new(false), AtomicUsize::new(0), AtomicUsize::new(0));
    let mut late = Vec::new();
    std::thread::scope(|scope| {
        for _ in 0..12 {
            scope.spawn(|| {
                let mut client = Client::connect(limiter.address);
                while !stop.load(Ordering::SeqCst) {
                    let status = client.look_of_one().status();
                    asked.fetch_add(1, Ordering::SeqCst);
                    refused.fetch_add(usize::from(status != 200), Ordering::SeqCst);
                }
            });
        }
        for _ in 0..10 {
            let mut removed = Vec::new();
            for (i, engine) in engines.iter().enumerate().take(20) {
                assert!(coordinator.delete(&path(i)));
                removed.push((engine, Instant::now()));
                std::thread::sleep(Duration::from_millis(5));
            }
            // Late requests arrive within this time.
            std::thread::sleep(GRACE + Duration::from_millis(50));
            late.extend(removed.iter().map(|(engine, at)| engine.last_after(*at).unwrap_or_default()));
            engines.iter().enumerate().take(20).for_each(|(i, e)| coordinator.put(&path(i), &e.node()));
            let met =
                || engines[..20].iter().filter(|e| e.last_after(removed[19].1 + GRACE).is_some()).count();
            eventually("those that came back are met again", || met() >= 10);
        }
        stop.store(true, Ordering::SeqCst);
    });
    late.sort_unstable();
    histogram(&late);
    let most = late[late.len() - 1];
    assert!(late.len() >= 200 && most < GRACE, "a request came {most:?} after its engine's removal");
    let (asked, refused) = (asked.into_inner(), refused.into_inner());
    assert!(refused * 100 <= asked, "{refused} of {asked} were not served");
}

#[test]
fn members_prints_the_list_and_omitted_nodes_and_follows_changes() {
    let coordinator = Coordinator::start(1);
    coordinator.put(&path(1), br#"{"address":"127.0.0.1","port":9001,"payload":{"zone":"a"}}"#);
    coordinator.put(&path(2), br#"{"address":"nowhere","port":9002}"#);
    let file = config(&coordinator, "", "");
    let done = Command::new(OATBANK).args(["members", "--config", file.path()]).output().expect("oatbank");
    let text = String::from_utf8_lossy(&done.stdout).into_owned();
    assert!(done.status.success(), "{text}");
    for part in
        ["s-00000001", "ready", "127.0.0.1:9001", "zone a", "left out: no usable address", "1 members"]
    {
        assert!(text.contains(part), "no {part:?} in {text}");
    }
    let mut command = Command::new(OATBANK);
    command.args(["members", "--follow", "--config", file.path()]).stdout(Stdio::piped());
    let mut follower = command.spawn().expect("oatbank");
    let mut lines = BufReader::new(follower.stdout.take().expect("output")).lines().map_while(Result::ok);
    assert!(lines.any(|line| line.contains("1 members")), "the first list");
    assert!(coordinator.delete(&path(1)));
    let change = lines.next().expect("a change");
    assert!(change.contains("s-00000001") && change.contains("gone"), "{change}");
    follower.kill().expect("a kill");
    follower.wait().expect("its end");
}

fn plain_node(address: std::net::SocketAddr) -> Vec<u8> {
    let port = address.port();
    format!(r#"{{"address":"127.0.0.1","port":{port},"payload":{{"started_ms":1}}}}"#).into_bytes()
}

/// Stops the load when dropped, so that its threads end even if the test fails.
struct Stop<'a>(&'a AtomicBool);

impl Drop for Stop<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::SeqCst);
    }
}

/// Sends requests from one client until it is stopped. Returns the number of requests and of those not served.
fn load(address: std::net::SocketAddr, stop: &AtomicBool) -> (usize, usize) {
    let mut client = Client::connect(address);
    let (mut asked, mut unserved) = (0, 0);
    while !stop.load(Ordering::SeqCst) {
        asked += 1;
        unserved += usize::from(client.look_of_one().status() != 200);
    }
    (asked, unserved)
}

#[test]
fn mass_removal_of_engines_stops_requests_to_each_within_the_grace_period() {
    let (coordinator, fleet) = (Coordinator::start(1), Fleet::start(520));
    fleet.addresses.iter().enumerate().for_each(|(i, a)| coordinator.put(&path(i), &plain_node(*a)));
    let file = config(&coordinator, "", "");
    let limiter = Standalone::serve(OATBANK, &file);
    eventually("the list", || Client::connect(limiter.address).look_of_one().status() == 200);
    let stop = AtomicBool::new(false);
    let (removed, results) = std::thread::scope(|scope| {
        let clients: Vec<_> = (0..8).map(|_| scope.spawn(|| load(limiter.address, &stop))).collect();
        let ending = Stop(&stop);
        let begun = Instant::now();
        let mut removed = Vec::new();
        for i in 20..520 {
            let at = begun + Duration::from_micros(1900 * (i as u64 - 20));
            std::thread::sleep(at.saturating_duration_since(Instant::now()));
            assert!(coordinator.delete(&path(i)));
            removed.push((i, Instant::now()));
        }
        // Late requests arrive within this time.
        std::thread::sleep(2 * GRACE);
        drop(ending);
        let results: Vec<(usize, usize)> = clients.into_iter().map(|c| c.join().expect("a client")).collect();
        (removed, results)
    });
    let mut late: Vec<Duration> =
        removed.iter().map(|(i, at)| fleet.last_after(*i, *at).unwrap_or_default()).collect();
    late.sort_unstable();
    histogram(&late);
    assert!(late[499] < GRACE, "a request came {:?} after its engine's removal", late[499]);
    let (asked, unserved) = results.iter().fold((0, 0), |(a, u), (x, y)| (a + x, u + y));
    assert!(asked > 500 && unserved * 100 <= asked, "{unserved} of {asked} were not served");
}

#[test]
fn a_briefly_removed_server_keeps_its_connections() {
    let coordinator = Coordinator::start(1);
    let engine = Engine::start();
    coordinator.put(&path(0), &engine.node());
    let file = config(&coordinator, "", "");
    let limiter = Standalone::serve(OATBANK, &file);
    let mut client = Client::connect(limiter.address);
    eventually("the list", || client.look_of_one().status() == 200);
    assert!(coordinator.delete(&path(0)));
    // A limiter without servers reports that it is not ready.
    eventually("told", || client.get("/healthz", "").status() == 503);
    coordinator.put(&path(0), &engine.node());
    eventually("back", || client.look_of_one().status() == 200);
    let opened = engine.server.connections.load(Ordering::SeqCst);
    assert_eq!(opened, 1, "connections opened over the flap");
}

#[test]
fn a_limiter_registers_itself_and_removes_its_node_at_shutdown() {
    let coordinator = Coordinator::start(1);
    let file = config(&coordinator, "register = \"/services/limiters\"", "");
    let mut limiter = Standalone::serve(OATBANK, &file);
    limiter.line_with("this is limiter 1 of 1");
    coordinator.put("/services/limiters/m9", b"{}");
    limiter.line_with("this is limiter 2 of 2");
    assert_eq!(coordinator.children("/services/limiters"), ["m9", "n0"]);
    limiter.signal("-TERM");
    eventually("removed", || coordinator.children("/services/limiters") == ["m9"]);
    eventually("ended", || limiter.child.try_wait().expect("a status").is_some_and(|s| s.success()));
}

#[test]
fn file_servers_are_used_until_the_folder_lists_them() {
    let coordinator = Coordinator::start(1);
    let (old, new) = (Engine::start(), Engine::start());
    let servers = format!("[[servers]]\nid = \"old\"\naddress = \"{}\"", old.server.address);
    let file = config(&coordinator, "servers = \"beside\"", &servers);
    let limiter = Standalone::serve(OATBANK, &file);
    let mut client = Client::connect(limiter.address);
    eventually("the file's", || client.look_of_one().status() == 200);
    // The node has another id but the address of the file's server.
    coordinator.put(&path(0), &old.node());
    coordinator.put(&path(1), &new.node());
    eventually("the folder's", || {
        client.look_of_one().status() == 200
            && new.last_after(Instant::now()).is_none()
            && new.server.count() > 0
    });
    assert!(coordinator.delete(&path(0)));
    let at = Instant::now();
    let until = at + GRACE + Duration::from_millis(100);
    while Instant::now() < until {
        assert_eq!(client.look_of_one().status(), 200);
    }
    let late = old.last_after(at).unwrap_or_default();
    assert!(late < GRACE, "the file brought back what the folder removed: {late:?}");
}

/// Runs a limiter under load with eight engines and a coordinator of three endpoints, and injects faults in an order
/// derived from the seed.
fn run_random_faults(seed: u64) {
    println!("seed {seed}");
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut roll = move |n: u64| rng.next_u64() % n;
    let coordinator = Coordinator::start(3);
    let engines: Vec<Engine> = (0..8).map(|_| Engine::start()).collect();
    engines.iter().enumerate().for_each(|(i, e)| coordinator.put(&path(i), &e.node()));
    // With hold-down some flapping engines stay excluded for longer than the test waits.
    let hold_down = seed % 2 == 0;
    let file = config(&coordinator, &format!("session_timeout_ms = 1000\nhold_down = {hold_down}"), "");
    let limiter = Standalone::serve(OATBANK, &file);
    eventually("the list", || Client::connect(limiter.address).look_of_one().status() == 200);
    let (stop, once) = (AtomicBool::new(false), Mutex::new(Vec::new()));
    std::thread::scope(|scope| {
        let _ending = Stop(&stop);
        for class in ["look", "look", "look", "once", "once"] {
            let (stop, once, address) = (&stop, &once, limiter.address);
            scope.spawn(move || {
                let mut client = Client::connect(address);
                let method = if class == "look" { "GET" } else { "POST" };
                while !stop.load(Ordering::SeqCst) {
                    let begun = Instant::now();
                    let (id, answer) = client.of_one(method, class);
                    let took = begun.elapsed();
                    assert!(took < Duration::from_millis(2250), "seed {seed}: answered after {took:?}");
                    assert!(
                        [200, 429, 502, 504].contains(&answer.status()),
                        "seed {seed}: {}",
                        answer.status()
                    );
                    if class == "once" {
                        once.lock().expect("a lock").push((id, answer.status()));
                    }
                }
            });
        }
        for _ in 0..40 {
            let (endpoint, engine) = (&coordinator.endpoints[roll(3) as usize], roll(8) as usize);
            match roll(12) {
                0 => coordinator.cut(),
                1 => coordinator.sessions().into_iter().for_each(|s| coordinator.expire(s)),
                2 => endpoint.spoil(),
                3 => endpoint.freeze(true),
                4 => endpoint.refuse(true),
                5 => endpoint.late(Duration::from_millis(roll(60))),
                6 => coordinator.lag(roll(3) as usize, true),
                7 => coordinator.endpoints.iter().for_each(|e| {
                    e.freeze(false);
                    e.refuse(false);
                    e.late(Duration::ZERO);
                }),
                8 => (0..3).for_each(|e| coordinator.lag(e, false)),
                9 | 10 => _ = coordinator.delete(&path(engine)),
                _ => coordinator.put(&path(engine), &engines[engine].node()),
            }
            std::thread::sleep(Duration::from_millis(10 + roll(60)));
        }
        // All faults are healed; engines 0 to 3 are members and the others are not.
        coordinator.endpoints.iter().for_each(|e| {
            e.freeze(false);
            e.refuse(false);
            e.late(Duration::ZERO);
        });
        (0..3).for_each(|e| coordinator.lag(e, false));
        (0..4).for_each(|i| coordinator.put(&path(i), &engines[i].node()));
        (4..8).for_each(|i| _ = coordinator.delete(&path(i)));
        let healed = Instant::now();
        eventually("members are met, and the others are not any more", || {
            let since = |e: &Engine| {
                e.last_after(healed).map_or(Duration::MAX, |late| healed.elapsed().saturating_sub(late))
            };
            let met = engines[..4].iter().filter(|e| since(e) < Duration::from_millis(500)).count();
            met >= if hold_down { 1 } else { 4 }
                && engines[4..].iter().all(|e| since(e) > 2 * GRACE)
                && healed.elapsed() > 2 * GRACE
        });
        assert!(coordinator.delete(&path(3)));
        let at = Instant::now();
        std::thread::sleep(GRACE + Duration::from_millis(100));
        let late = engines[3].last_after(at).unwrap_or_default();
        assert!(late < GRACE, "seed {seed}: a request came {late:?} after the removal");
    });
    let mut seen = HashSet::new();
    for message in engines.iter().flat_map(|e| e.server.seen.lock().expect("a lock").clone()) {
        if message.start.starts_with("POST") {
            let id = message.header("x-correlation-id").expect("an id").to_owned();
            assert!(seen.insert(id.clone()), "seed {seed}: {id} came twice");
        }
    }
    let once = once.into_inner().expect("a lock");
    assert!(once.len() > 100, "seed {seed}: {} requests", once.len());
    for (id, status) in &once {
        assert!(*status != 200 || seen.contains(id), "seed {seed}: {id} was served by nobody");
        assert!(*status != 429 || !seen.contains(id), "seed {seed}: {id} was refused and had run");
    }
}

#[test]
fn random_faults_lose_or_duplicate_no_request_and_removed_servers_get_none() {
    let seeds = std::env::var("OATBANK_SCHEDULES").ok().and_then(|n| n.parse().ok()).unwrap_or(2);
    (1..=seeds).for_each(run_random_faults);
}
