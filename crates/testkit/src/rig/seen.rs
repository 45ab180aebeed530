//! What a rig's processes are seen to act by: told by themselves, and by the engines that they send to.

use super::{Plan, Rig};
use crate::Fleet;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// The stated time of the usual terms.
pub const WITHIN: Duration = Duration::from_millis(2000);

/// A rig whose first rules are those of the first engine; `terms` are keys of its `[fleet]`.
pub fn start(program: &str, limiters: usize, engines: &Fleet, terms: &str, seed: u64, elected: bool) -> Rig {
    let (program, rules) = (program.to_owned(), rules(engines.addresses[0], 1_000_000));
    Rig::start(Plan { program, limiters, terms: Some(terms.to_owned()), rules, seed, elected })
}

/// Rules whose only server is this one.
pub fn rules(engine: SocketAddr, rate: u32) -> String {
    format!(
        "[[servers]]\nid = \"engine-{}\"\naddress = \"{engine}\"\n[[classes]]\nname = \"quote\"\naim_ms = 500\n\
         deadline_ms = 1000\nrepeat = \"safe\"\n[[plans]]\nname = \"team\"\nrate = {rate}\nburst = {rate}\n",
        engine.port()
    )
}

/// The first number behind a key in a status.
pub fn number(status: &str, key: &str) -> Option<u64> {
    let (_, rest) = status.split_once(&format!("\"{key}\": "))?;
    rest.split(|c: char| !c.is_ascii_digit()).next()?.parse().ok()
}

/// What a limiter says of itself.
pub fn status(rig: &Rig, n: usize) -> String {
    rig.call(n, "GET", "status", "").1
}

/// The number of the revision that a limiter acts by, known to be current.
pub fn acts_by(rig: &Rig, n: usize) -> Option<u64> {
    let status = status(rig, n);
    status.contains("\"acting\": \"current\"").then(|| number(&status, "number")).flatten()
}

/// They all act by this revision, known to be current.
pub fn all_act_by(rig: &Rig, number: u64, limiters: usize) -> bool {
    (0..limiters).all(|n| acts_by(rig, n) == Some(number))
}

/// A limiter says that it is so: "current", "strict" or "refuses".
pub fn status_of(rig: &Rig, n: usize, acting: &str) -> bool {
    status(rig, n).contains(&format!("\"acting\": \"{acting}\""))
}

/// An engine that nobody has sent anything for this long is not acted by any more.
const BREAK: Duration = Duration::from_millis(200);

/// The longest time for which two engines contradicted each other: how long one had been in use without a break when
/// something still came to the other, which was in use before. A single late request counts from the beginning.
pub fn longest_contradiction(engines: &Fleet) -> Duration {
    let met = engines.met();
    let mut all: Vec<(Instant, usize)> = Vec::new();
    met.iter().enumerate().for_each(|(n, m)| all.extend(m.times.iter().map(|at| (*at, n))));
    all.sort();
    contradiction(&all)
}

/// The same of what came when to which engine, sorted.
pub fn contradiction(all: &[(Instant, usize)]) -> Duration {
    let mut longest = Duration::ZERO;
    let mut first: BTreeMap<usize, Instant> = BTreeMap::new();
    let mut lives: BTreeMap<usize, (Instant, Instant)> = BTreeMap::new();
    for (at, engine) in all {
        let begun = *first.entry(*engine).or_insert(*at);
        let life = lives.entry(*engine).or_insert((*at, *at));
        *life = (if *at - life.1 > BREAK { *at } else { life.0 }, *at);
        for (_, (from, last)) in lives.iter().filter(|(n, _)| *n != engine) {
            if *at - *last <= BREAK {
                longest = longest.max(last.saturating_duration_since(begun.max(*from)));
            }
        }
    }
    longest
}
