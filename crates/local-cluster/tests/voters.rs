//! A core machine is replaced, and another one is lost right after it; what leaves is known to enough of them.

mod common;

use common::{System, HOST, MS};
use oatbank_local_cluster::cluster::{call, LocalCluster, Plan, Role, CORE, INNER_REGISTRY};
use oatbank_local_cluster::operator::TestConfiguration;
use oatbank_local_cluster::shell::{self, Table};
use oatbank_local_cluster::wait;
use std::time::{Duration, Instant};

/// Who votes, as the shell tells it at a core machine.
fn voters(cluster: &LocalCluster, at: usize) -> Option<Table> {
    shell::ask(cluster.inner(at, INNER_REGISTRY), &["voters"])
}

/// Waits until all of so many voters hold what is agreed.
fn until_vote(cluster: &LocalCluster, at: usize, count: usize, within: Duration) {
    let title = format!("{count} voters: {} more may be lost", (count - 1) / 2);
    let all = || {
        voters(cluster, at)
            .is_some_and(|t| t.title == title && t.rows.iter().all(|r| r.contains(&"up to date".into())))
    };
    wait::holds(within, &title, all).unwrap_or_else(|e| panic!("{e}: {:?}", voters(cluster, at)));
}

/// Three found the register, the others are taken in.
fn system(cores: usize, tolerates: usize) -> System {
    let plan = Plan { cores, tolerates, ..Plan::default() };
    let system = System::serving(plan, TestConfiguration::new(HOST).route("/x/", "safe", "s"), &["s"]);
    until_vote(&system.cluster, 0, cores, wait::LONG);
    system
}

/// Orders are taken by those that are left, and what was acknowledged is read back.
fn serves(system: &System, paths: &[&str]) {
    let mut configuration = system.configuration.clone();
    for path in paths {
        configuration = configuration.next().route(path, "safe", "s");
        system.operator.must_put(&configuration).unwrap();
    }
    let (version, text) = system.operator.read().unwrap();
    assert_eq!(version, configuration.version);
    assert!(paths.iter().all(|path| text.contains(&format!("\"{path}\""))), "whole: {text}");
}

#[test]
fn a_planned_replacement_and_a_crash_at_once_leave_a_majority() {
    let system = system(4, 1);
    let cluster = &system.cluster;
    // The one that is replaced is told to end, all of it, and another one dies as soon as it has.
    cluster.signal("TERM", &[(0, Role::Registry), (0, Role::Store)]).unwrap();
    let acknowledged = Instant::now();
    for role in CORE {
        let status = cluster.ended(0, role, Duration::from_secs(6)).unwrap();
        assert!(status.success(), "{role:?}: {status}");
    }
    assert!(acknowledged.elapsed() < Duration::from_secs(3), "it ended after {:?}", acknowledged.elapsed());
    cluster.kill_all(&CORE.map(|role| (1, role)));
    serves(&system, &["/after/", "/later/"]);
    assert!(cluster.has_logged(0, Role::Store, "removed from the voters before shutdown"));
    // The one that died answers nobody for good; whoever is asked late on a busy machine answers the next time.
    let title = || voters(cluster, 2).is_some_and(|t| t.title == "3 voters: 0 more may be lost");
    wait::holds(wait::LONG, "three voters, one of them lost", title)
        .unwrap_or_else(|e| panic!("{e}: {:?}", voters(cluster, 2)));
    // Of three nobody leaves: this one keeps its place, and is back in it.
    CORE.iter().for_each(|role| cluster.run(1, *role).unwrap());
    until_vote(cluster, 2, 3, wait::LONG);
    cluster.signal("TERM", &[(2, Role::Store)]).unwrap();
    let status = cluster.ended(2, Role::Store, 500 * MS).unwrap();
    assert!(
        status.success() && !cluster.has_logged(2, Role::Store, "removed from the voters before shutdown"),
        "{status}"
    );
}

#[test]
fn one_that_dies_for_good_makes_room_before_the_next_may_be_lost() {
    let system = system(4, 1);
    let cluster = &system.cluster;
    cluster.kill_all(&CORE.map(|role| (0, role)));
    // As long as a machine that is back counts as lost.
    until_vote(cluster, 1, 3, 4000 * MS);
    cluster.kill_all(&CORE.map(|role| (2, role)));
    serves(&system, &["/after/"]);
    // Both come back, and the one that was let go is taken in again.
    for back in [2, 0] {
        CORE.iter().for_each(|role| cluster.run(back, *role).unwrap());
    }
    until_vote(cluster, 1, 4, wait::LONG);
}

#[test]
fn a_word_that_a_server_leaves_is_known_to_as_many_others_as_may_be_lost() {
    let system = system(5, 2);
    let cluster = &system.cluster;
    let leave = |within| call(cluster.control(0), "POST", "/servers/i-1/leave", "", within).map(|a| a.status);
    // One other hears it: those two may be lost.
    let others: Vec<_> = (2..5).map(|core| (core, Role::Registry)).collect();
    cluster.signal("STOP", &others).unwrap();
    let alone = leave(Duration::from_secs(2));
    cluster.signal("CONT", &others).unwrap();
    assert_eq!(alone.unwrap(), 503);
    let taken = || leave(Duration::from_secs(2)).is_ok_and(|status| status == 200);
    wait::holds(wait::LONG, "it is taken", taken).unwrap();
}
