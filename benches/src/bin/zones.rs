//! A zone that fails in part, or falls silent, behind 6 and 24 processes: how much still goes there, what is served, and how its
//! traffic comes back; with zones led as a fleet, and with each limiter for itself.
//!
//! `cargo build --release && cargo run --release -p oatbank-benches --bin zones [LIMITERS...]`

use oatbank_testkit::rig::zones::{look, rules, Came, EACH};
use oatbank_testkit::rig::{Plan, Rig};
use oatbank_testkit::{within, Fleet, Ill};
use std::time::{Duration, Instant};

/// Requests a second over all limiters; each must not run twice.
const RATE: usize = 240;
const SECOND: Duration = Duration::from_secs(1);
/// How long the zone is ill, after its first three seconds.
const ILL: Duration = Duration::from_secs(7);
/// How long its return is looked at.
const BACK: Duration = Duration::from_secs(60);

fn rig(limiters: usize, engines: &Fleet, as_fleet: bool) -> Rig {
    let program = std::env::current_exe().expect("a path").with_file_name("oatbank");
    let program = program.to_str().expect("text").to_owned();
    let terms = Some(format!("zones = {as_fleet}\nstrict_for_ms = 500"));
    let rig = Rig::start(Plan { program, limiters, terms, rules: rules(engines), seed: 1, elected: false });
    rig.ask_all("order", Duration::from_millis((1000 * limiters / RATE) as u64));
    within(Duration::from_secs(20), "zone a is used", || look(engines, &rig, SECOND / 4).part(0) > 0.3);
    std::thread::sleep(3 * SECOND);
    rig
}

fn play(limiters: usize, as_fleet: bool, ill: Ill) {
    let engines = Fleet::start(9);
    let rig = rig(limiters, &engines, as_fleet);
    let calm = look(&engines, &rig, 3 * SECOND);
    engines.fall(0..EACH, ill);
    let first = look(&engines, &rig, 3 * SECOND);
    let then = look(&engines, &rig, ILL);
    engines.fall(0..EACH, Ill::Well);
    let healed = Instant::now();
    let mut back = None;
    let before = Came::so_far(&engines, &rig);
    while healed.elapsed() < BACK && back.is_none() {
        if look(&engines, &rig, SECOND).part(0) >= 0.9 * calm.part(0) {
            back = Some(healed.elapsed());
        }
    }
    let returning = Came::so_far(&engines, &rig).since(&before);
    println!(
        "{limiters:>3} limiters, {:<17} {:<15} to a: {:.3} before, {:.3} in the first 3 s, {:.3} then; served {:.3}, {:.3}; back \
         after {}, {:.4} served meanwhile",
        if as_fleet { "as a fleet" } else { "each for itself" },
        format!("{ill:?}"),
        calm.part(0),
        first.part(0),
        then.part(0),
        first.goodput(),
        then.goodput(),
        back.map_or("more than 60 s".into(), |t| format!("{:.0} s", t.as_secs_f64())),
        returning.goodput(),
    );
}

fn main() {
    let sizes: Vec<usize> = std::env::args().skip(1).filter_map(|n| n.parse().ok()).collect();
    for limiters in if sizes.is_empty() { vec![6, 24] } else { sizes } {
        for ill in [Ill::Failing(0.25), Ill::Failing(1.0), Ill::Silent] {
            for as_fleet in [true, false] {
                play(limiters, as_fleet, ill);
            }
        }
    }
}
