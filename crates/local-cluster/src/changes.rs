//! Measures successive configuration changes: the time until each is acknowledged, and the number of proxies that have not
//! applied it by then.

use crate::client::{try_at, ClientRequest};
use crate::cluster::{LocalCluster, Plan};
use crate::error::ClusterError;
use crate::operator::{Operator, TestConfiguration};
use crate::server::Server;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

const HOST: &str = "shop.example";

/// Parameters of the measurement.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Number of core machines.
    pub cores: usize,
    /// Number of proxies.
    pub proxies: usize,
    /// Number of changes.
    pub changes: usize,
}

/// An acknowledged change.
#[derive(Clone, Copy, Debug)]
pub struct Change {
    /// Time from sending to acknowledgement.
    pub took: Duration,
    /// Number of proxies that answered a request on the new route with 404 right after the acknowledgement.
    pub behind: usize,
}

/// Sends changes that each add a route, and requests that route from every proxy as soon as the change is acknowledged.
///
/// # Errors
/// Returns an error if a program does not start or a change is not accepted.
pub fn run(
    options: Options,
    end: &AtomicBool,
    mut hears: impl FnMut(usize, Change),
) -> Result<Vec<Change>, ClusterError> {
    let cluster = LocalCluster::start(
        Plan { cores: options.cores, proxies: options.proxies, ..Plan::default() }.bound("graceS", 2),
    )?;
    let operator = Operator::new(cluster.controls());
    let mut configuration = TestConfiguration::new(HOST).route("/first/", "safe", "reader");
    operator.must_put(&configuration)?;
    let server = Server::start(&cluster, 0, "reader")?;
    server.register()?;
    cluster.until_ready()?;
    let mut changes = Vec::new();
    for nth in 0..options.changes {
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
        let ask = ClientRequest::get(HOST, &format!("{path}1"));
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

/// Returns the median and the longest time to acknowledgement; zero if there are no changes.
pub fn median_and_longest(changes: &[Change]) -> (Duration, Duration) {
    let mut took: Vec<Duration> = changes.iter().map(|c| c.took).collect();
    took.sort_unstable();
    let at = |n: usize| took.get(n).copied().unwrap_or_default();
    (at(took.len() / 2), at(took.len().saturating_sub(1)))
}
