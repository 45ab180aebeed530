//! One fleet by its size, with real processes: from asking for a change to its effect, how long two limiters contradicted
//! each other beside SIGHUP to one after the other, what a quiet fleet says to itself, and a request's CPU with the
//! fleet's table and without.
//!
//! `cargo build --release && cargo run --release -p oatbank-benches --bin fleet [LIMITERS ...]`

use oatbank_benches::cpu;
use oatbank_testkit::rig::{Plan, Rig};
use oatbank_testkit::{eventually, Client, Fleet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// How long a quiet fleet is looked at.
const SPAN: Duration = Duration::from_secs(5);
/// How long each of two limiters is asked in its turn, and how many turns there are.
const TURN: Duration = Duration::from_millis(400);
const TURNS: u32 = 40;
/// Between two SIGHUPs, where settings go round one by one: a fast script.
const STEP: Duration = Duration::from_millis(100);

fn rules(engine: SocketAddr) -> String {
    format!(
        "[[servers]]\nid = \"engine-{}\"\naddress = \"{engine}\"\n[[classes]]\nname = \"quote\"\naim_ms = 500\n\
         deadline_ms = 1000\nrepeat = \"safe\"\n[[plans]]\nname = \"team\"\nrate = 1e6\nburst = 1e6\n",
        engine.port()
    )
}

fn rig(limiters: usize, engines: &Fleet, fleet: bool) -> Rig {
    let (program, rules) = ("target/release/oatbank".to_owned(), rules(engines.addresses[0]));
    let terms = fleet.then(String::new);
    let rig = Rig::start(Plan { program, limiters, terms, rules, seed: 1, elected: false });
    if fleet {
        let current = |n| rig.call(n, "GET", "status", "").1.contains("\"acting\": \"current\"");
        eventually("all act by the first", || (0..limiters).all(current));
    }
    rig
}

/// From the first request to the second engine to the last one to the first.
fn contradicted(engines: &Fleet) -> Duration {
    let met = engines.met();
    let (last, first) = (met[0].last.expect("requests"), met[1].first.expect("requests"));
    last.saturating_duration_since(first)
}

fn change(limiters: usize) {
    let engines = Fleet::start(2);
    let rig = rig(limiters, &engines, true);
    let before: Vec<(u64, u64)> = (0..limiters).map(|n| sent(&rig, n)).collect();
    std::thread::sleep(SPAN);
    let quiet: Vec<(u64, u64)> = (0..limiters).map(|n| sent(&rig, n)).collect();
    let rate =
        |n: usize, of: fn((u64, u64)) -> u64| (of(quiet[n]) - of(before[n])) as f64 / SPAN.as_secs_f64();
    rig.ask_all("quote", Duration::from_millis(5));
    eventually("traffic", || engines.met()[0].requests > 20 * limiters);
    let asked = Instant::now();
    let (status, answer) = rig.call(0, "POST", "propose?expect=1", &rules(engines.addresses[1]));
    assert_eq!(status, 200, "{answer}");
    let decided = asked.elapsed();
    let seen = engines.met()[1].requests;
    eventually("all act by the second", || engines.met()[1].requests > seen + 40 * limiters);
    let met = engines.met();
    let ms = |at: Option<Instant>| at.map_or(0.0, |at| (at - asked).as_secs_f64() * 1000.0);
    println!(
        "{limiters:>3} limiters, one set: decided after {:>5.0} ms, first request by the new after {:>5.0} ms, last by the old \
         after {:>5.0} ms, contradicted {:>6.1} ms; quiet: the decider says {:.1} messages and {:.0} bytes a second, each \
         other {:.1} and {:.0}",
        decided.as_secs_f64() * 1000.0,
        ms(met[1].first),
        ms(met[0].last),
        contradicted(&engines).as_secs_f64() * 1000.0,
        rate(0, |s| s.0),
        rate(0, |s| s.1),
        rate(limiters - 1, |s| s.0),
        rate(limiters - 1, |s| s.1),
    );
}

/// Messages and bytes that a limiter has said so far.
fn sent(rig: &Rig, n: usize) -> (u64, u64) {
    let status = rig.call(n, "GET", "status", "").1;
    let number = |key: &str| {
        let (_, rest) = status.split_once(&format!("\"{key}\": ")).expect("traffic");
        rest.split(|c: char| !c.is_ascii_digit()).next().and_then(|n| n.parse().ok()).expect("a number")
    };
    (number("sent"), number("sent_bytes"))
}

/// The same change by SIGHUP, one after the other.
fn one_by_one(limiters: usize) {
    let engines = Fleet::start(2);
    let mut rig = rig(limiters, &engines, false);
    rig.ask_all("quote", Duration::from_millis(5));
    eventually("traffic", || engines.met()[0].requests > 20 * limiters);
    for n in 0..limiters {
        rig.reload(n, &rules(engines.addresses[1]));
        std::thread::sleep(STEP);
    }
    println!(
        "{limiters:>3} limiters, SIGHUP each 100 ms: contradicted {:>6.1} ms, and without end where one misses it",
        contradicted(&engines).as_secs_f64() * 1000.0
    );
}

/// One limiter of three under one client, and what it has cost so far.
struct Asked {
    rig: Rig,
    client: Client,
    used: Duration,
    made: u32,
}

impl Asked {
    fn new(engines: &Fleet, fleet: bool) -> Asked {
        let rig = rig(3, engines, fleet);
        let mut client = Client::connect(rig.address(1));
        (0..500).for_each(|_| drop(client.of_one("GET", "quote")));
        Asked { rig, client, used: Duration::ZERO, made: 0 }
    }

    fn turn(&mut self) {
        let pid = self.rig.pid(1).expect("a process").to_string();
        let (begun, before) = (Instant::now(), cpu(&pid));
        while begun.elapsed() < TURN {
            self.client.of_one("GET", "quote");
            self.made += 1;
        }
        self.used += cpu(&pid).saturating_sub(before);
    }

    fn each(&self) -> f64 {
        self.used.as_secs_f64() * 1e6 / f64::from(self.made)
    }
}

/// CPU a request, us, without the table and with it: both run all the time and are asked in turn, so that whatever slows the
/// machine slows both.
fn request() -> (f64, f64) {
    let engines = Fleet::start(1);
    let (mut off, mut on) = (Asked::new(&engines, false), Asked::new(&engines, true));
    for turn in 0..TURNS {
        let both = if turn % 2 == 0 { [&mut off, &mut on] } else { [&mut on, &mut off] };
        both.into_iter().for_each(Asked::turn);
    }
    (off.each(), on.each())
}

fn main() {
    let sizes: Vec<usize> = std::env::args().skip(1).filter_map(|n| n.parse().ok()).collect();
    let sizes = if sizes.is_empty() { vec![3, 10, 30] } else { sizes };
    for limiters in sizes {
        change(limiters);
        one_by_one(limiters);
    }
    for _ in 0..3 {
        let (off, on) = request();
        println!("CPU a request: {off:.1} us without the table, {on:.1} us with it, {:.3} times", on / off);
    }
}
