//! The real daemon with its list of servers in a tree of ephemeral nodes.

use oatbank_testkit::zookeeper::Coordinator;
use oatbank_testkit::{answer, eventually, Act, Client, Scratch, Server, Standalone};
use std::io::{BufRead, BufReader};
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const OATBANK: &str = env!("CARGO_BIN_EXE_oatbank");
/// What the rule on drains allows.
const GRACE: Duration = Duration::from_millis(250);

/// An engine that notes when requests come.
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

    /// How long after `at` the last request came.
    fn last_after(&self, at: Instant) -> Option<Duration> {
        let arrivals = self.arrivals.lock().expect("a lock");
        arrivals.last().and_then(|last| last.checked_duration_since(at))
    }
}

fn config(coordinator: &Coordinator) -> Scratch {
    Scratch::new(&format!(
        "listen = \"127.0.0.1:0\"\n[members]\nzookeeper = \"{}\"\npath = \"/services/quotes\"\n\
         [[classes]]\nname = \"look\"\naim_ms = 1500\ndeadline_ms = 2000\nrepeat = \"safe\"\n\
         [[plans]]\nname = \"team\"\nrate = 100000\nburst = 100000\n",
        coordinator.cluster()
    ))
}

fn path(which: usize) -> String {
    format!("/services/quotes/s-{which:08x}")
}

#[test]
fn two_hundred_removals_under_load_each_hold_within_the_grace() {
    let coordinator = Coordinator::start(1);
    let engines: Vec<Engine> = (0..24).map(|_| Engine::start()).collect();
    engines.iter().enumerate().for_each(|(i, e)| coordinator.put(&path(i), &e.node()));
    let file = config(&coordinator);
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
            // Nothing that comes is late later than this.
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
    let at = |share: f64| late[((late.len() - 1) as f64 * share) as usize];
    println!("{} removals: p50 {:?}, p99 {:?}, most {:?}", late.len(), at(0.5), at(0.99), at(1.0));
    assert!(late.len() >= 200 && at(1.0) < GRACE, "a request came {:?} after its engine's removal", at(1.0));
    let (asked, refused) = (asked.into_inner(), refused.into_inner());
    assert!(refused * 100 <= asked, "{refused} of {asked} were not served");
}

#[test]
fn the_list_is_printed_with_what_is_left_out_and_why_and_followed() {
    let coordinator = Coordinator::start(1);
    coordinator.put(&path(1), br#"{"address":"127.0.0.1","port":9001,"payload":{"zone":"a"}}"#);
    coordinator.put(&path(2), br#"{"address":"nowhere","port":9002}"#);
    let file = config(&coordinator);
    let done = Command::new(OATBANK).args(["members", "--config", file.path()]).output().expect("oatbank");
    let text = String::from_utf8_lossy(&done.stdout).into_owned();
    assert!(done.status.success(), "{text}");
    for part in ["s-00000001", "ready", "127.0.0.1:9001", "zone a", "left out: no address", "1 members"] {
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
