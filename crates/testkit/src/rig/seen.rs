//! Observes which revision the processes of a rig act by, from their status and from the engines they send to.

use super::{Plan, Rig};
use crate::Fleet;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Time bound stated in the default fleet terms.
pub const WITHIN: Duration = Duration::from_millis(2000);

/// Starts a rig whose initial rules name only the first engine. `terms` are keys of its `[fleet]` section.
pub fn start(program: &str, limiters: usize, engines: &Fleet, terms: &str, seed: u64, elected: bool) -> Rig {
    let (program, rules) = (program.to_owned(), rules(engines.addresses[0], 1_000_000));
    Rig::start(Plan { program, limiters, terms: Some(terms.to_owned()), rules, seed, elected })
}

/// Returns rules with `engine` as the only server.
pub fn rules(engine: SocketAddr, rate: u32) -> String {
    format!(
        "[[servers]]\nid = \"engine-{}\"\naddress = \"{engine}\"\n[[classes]]\nname = \"quote\"\naim_ms = 500\n\
         deadline_ms = 1000\nrepeat = \"safe\"\n[[plans]]\nname = \"team\"\nrate = {rate}\nburst = {rate}\n",
        engine.port()
    )
}

/// Returns the number that follows the first occurrence of a key in a JSON status.
pub fn number(status: &str, key: &str) -> Option<u64> {
    let (_, rest) = status.split_once(&format!("\"{key}\": "))?;
    rest.split(|c: char| !c.is_ascii_digit()).next()?.parse().ok()
}

/// Returns the status text of a limiter; empty without a response.
pub fn status(rig: &Rig, n: usize) -> String {
    rig.call(n, "GET", "status", "").1
}

/// Returns the number of the revision that a limiter acts by, or `None` if its status is not "current".
pub fn acts_by(rig: &Rig, n: usize) -> Option<u64> {
    let status = status(rig, n);
    status.contains("\"acting\": \"current\"").then(|| number(&status, "number")).flatten()
}

/// Returns whether the first `limiters` limiters all act by this revision with status "current".
pub fn all_act_by(rig: &Rig, number: u64, limiters: usize) -> bool {
    (0..limiters).all(|n| acts_by(rig, n) == Some(number))
}

/// Returns whether a limiter reports this state: "current", "strict" or "refuses".
pub fn status_of(rig: &Rig, n: usize, acting: &str) -> bool {
    status(rig, n).contains(&format!("\"acting\": \"{acting}\""))
}

/// An engine that has received nothing for this long counts as no longer in use.
const BREAK: Duration = Duration::from_millis(200);

/// Returns the longest time for which two engines were in conflicting use: how long one had been in continuous use
/// when the other, in use earlier, still received a request. A single late request counts from the start of that use.
pub fn longest_contradiction(engines: &Fleet) -> Duration {
    let met = engines.met();
    let mut all: Vec<(Instant, usize)> = Vec::new();
    met.iter().enumerate().for_each(|(n, m)| all.extend(m.times.iter().map(|at| (*at, n))));
    all.sort();
    contradiction(&all)
}

/// Computes [`longest_contradiction`] from request times and engine indices, sorted by time.
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
