//! Tests where requests go when the gateways agree that a server is unhealthy.

use oatbank_limiter_core::interface::*;
use oatbank_limiter_core::logic::Gateway;
use std::collections::BTreeMap;

/// Sends `count` requests, 20 ms apart, each answered before the next, and returns the number sent to each server.
/// Server 0 succeeds; attempts at the others end with `out`.
fn shares(standings: &[Standing], repeat: Repeat, count: u32, out: Outcome) -> BTreeMap<u64, u32> {
    shares_of(false, standings, repeat, count, out)
}

fn shares_of(
    sparse: bool,
    standings: &[Standing],
    repeat: Repeat,
    count: u32,
    out: Outcome,
) -> BTreeMap<u64, u32> {
    let class = Class { target: 500.0, deadline: 1500.0, worth: 1.0, repeat, ..Class::default() };
    let settings =
        Settings { gateways: 1.0, classes: vec![class], max_units: 1.0, sparse, ..Settings::default() };
    let mut gateway = Gateway::new(settings, 5);
    let entry = |(at, standing): (usize, &Standing)| ServerEntry {
        server: ServerId(at as u64),
        weight: 1.0,
        standing: *standing,
        ..ServerEntry::default()
    };
    let entries = standings.iter().enumerate().map(entry).collect();
    let mut actions = Vec::new();
    gateway.handle(1000.0, Event::Servers { update: ListUpdate::Full, entries }, &mut actions);
    let mut sent = BTreeMap::new();
    for n in 0..count {
        let now = 1001.0 + 20.0 * f64::from(n);
        let id = RequestId(n);
        let request = Request { id, units: 1.0, time_left: 1500.0, spread: 1.0, ..Request::default() };
        actions.clear();
        gateway.handle(now, Event::Request(request), &mut actions);
        let server = actions.iter().find_map(|a| match a {
            Action::Send { server, .. } => Some(*server),
            _ => None,
        });
        let Some(server) = server else { continue };
        *sent.entry(server.0).or_default() += 1;
        let (complete, load) = (true, Vec::new());
        let outcome = if server.0 == 0 { Outcome::Ok } else { out };
        let event =
            Event::Ended { id, attempt: 0, server, outcome, complete, took: 10.0, settled: 0.0, load };
        gateway.handle(now + 10.0, event, &mut actions);
    }
    sent
}

#[test]
fn non_idempotent_requests_use_healthy_servers_only_and_reads_also_returning_ones() {
    use Standing::{Doubtful, Returning, Shunned, Tried, Well};
    let all = [Well, Well, Returning, Doubtful, Shunned, Tried];
    let once = shares(&all, Repeat::Unsafe, 300, Outcome::Ok);
    assert_eq!(once.keys().copied().collect::<Vec<_>>(), [0, 1]);
    let reads = shares(&all, Repeat::Safe, 300, Outcome::Ok);
    assert_eq!(reads.keys().copied().collect::<Vec<_>>(), [0, 1, 2, 5]);
    assert!(reads[&2] < 30, "a returning server gets a reduced share: {reads:?}");
    assert!((10..=16).contains(&reads[&5]), "one probe per 0.4 s for 6 s: {reads:?}");
    assert_eq!(shares(&[Well; 3], Repeat::Safe, 300, Outcome::Ok).len(), 3);
}

#[test]
fn unhealthy_servers_are_used_when_no_other_is_available() {
    let unhealthy = [Standing::Shunned, Standing::Doubtful, Standing::Shunned];
    for repeat in [Repeat::Safe, Repeat::Unsafe] {
        let sent = shares(&unhealthy, repeat, 60, Outcome::Ok);
        assert_eq!(sent.values().sum::<u32>(), 60, "{sent:?}");
    }
    // The only healthy server is unreachable, so the unhealthy one gets all requests.
    let left = shares(&[Standing::Shunned, Standing::Well], Repeat::Safe, 60, Outcome::ConnectFailed);
    assert!(left[&0] > 30, "{left:?}");
}

#[test]
fn a_returning_server_in_a_sparse_list_gets_fewer_requests() {
    use Standing::{Returning, Well};
    let drawn = |standing| {
        let all = [Well, Well, Well, Well, Well, Well, standing];
        shares_of(true, &all, Repeat::Safe, 1400, Outcome::Ok)[&6]
    };
    let (well, returning) = (drawn(Well), drawn(Returning));
    assert!(2 * returning < well, "{returning} requests to the returning server, {well} to a healthy one");
}
