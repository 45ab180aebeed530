//! Changes of the configuration, one after the other: how long each takes to be acknowledged, and which proxies act by it
//! at that moment.

use crate::client::{try_at, Ask};
use crate::cluster::{LocalCluster, Plan};
use crate::error::ClusterError;
use crate::operator::{Operator, TestConfiguration};
use crate::server::Server;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

const HOST: &str = "shop.example";

/// What is to be measured.
#[derive(Clone, Copy, Debug)]
pub struct Wanted {
    /// Core machines.
    pub cores: usize,
    /// Proxies.
    pub proxies: usize,
    /// Changes.
    pub changes: usize,
}

/// A change that was acknowledged.
#[derive(Clone, Copy, Debug)]
pub struct Change {
    /// From its sending to its acknowledgement.
    pub took: Duration,
    /// Proxies that did not yet act by it when they were asked then.
    pub behind: usize,
}

/// Sends changes that each add a route, and asks every proxy for that route as soon as the change is acknowledged.
///
/// # Errors
/// When a program does not start or a change is not taken.
pub fn play(
    wanted: Wanted,
    end: &AtomicBool,
    mut hears: impl FnMut(usize, Change),
) -> Result<Vec<Change>, ClusterError> {
    let cluster = LocalCluster::start(
        Plan { cores: wanted.cores, proxies: wanted.proxies, ..Plan::default() }.bound("graceS", 2),
    )?;
    let operator = Operator::new(cluster.controls());
    let mut configuration = TestConfiguration::new(HOST).route("/first/", "safe", "reader");
    operator.must_put(&configuration)?;
    let server = Server::start(&cluster, 0, "reader")?;
    server.register()?;
    cluster.until_ready()?;
    let mut changes = Vec::new();
    for nth in 0..wanted.changes {
        if end.load(Ordering::SeqCst) {
            break;
        }
        let path = format!("/change-{nth}/");
        configuration = configuration.next();
        configuration.routes.truncate(1);
        configuration = configuration.route(&path, "safe", "reader");
        let sent = Instant::now();
        operator.must_put(&configuration)?;
        let took = sent.elapsed();
        let ask = Ask::get(HOST, &format!("{path}1"));
        let asked: Vec<_> = cluster
            .fronts()
            .into_iter()
            .map(|front| {
                let ask = ask.clone();
                std::thread::spawn(move || try_at(front, &ask).status() == 404)
            })
            .collect();
        let behind = asked.into_iter().filter_map(|a| a.join().ok()).filter(|behind| *behind).count();
        let change = Change { took, behind };
        hears(nth, change);
        changes.push(change);
    }
    cluster.end();
    Ok(changes)
}

/// Median and longest of what the changes took.
pub fn median_and_longest(changes: &[Change]) -> (Duration, Duration) {
    let mut took: Vec<Duration> = changes.iter().map(|c| c.took).collect();
    took.sort_unstable();
    let at = |n: usize| took.get(n).copied().unwrap_or_default();
    (at(took.len() / 2), at(took.len().saturating_sub(1)))
}
