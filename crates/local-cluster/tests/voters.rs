//! Changes of the voter set when core machines are replaced or lost, and replication of a server's departure.

mod common;

use common::{System, HOST, MS};
use oatbank_local_cluster::cluster::{call, LocalCluster, Plan, Role, CORE, INNER_REGISTRY};
use oatbank_local_cluster::operator::TestConfiguration;
use oatbank_local_cluster::shell::{self, Table};
use oatbank_local_cluster::wait;
use std::time::{Duration, Instant};

/// Returns the shell's table of voters at a core machine, if it answers.
fn voters(cluster: &LocalCluster, at: usize) -> Option<Table> {
    shell::ask(cluster.inner(at, INNER_REGISTRY), &["voters"])
}

/// Waits until there are `count` voters and all are up to date.
fn until_vote(cluster: &LocalCluster, at: usize, count: usize, within: Duration) {
    let title = format!("{count} voters: {} more may be lost", (count - 1) / 2);
    let all = || {
        voters(cluster, at)
            .is_some_and(|t| t.title == title && t.rows.iter().all(|r| r.contains(&"up to date".into())))
    };
    wait::holds(within, &title, all).unwrap_or_else(|e| panic!("{e}: {:?}", voters(cluster, at)));
}

/// Starts a cluster and waits until all core machines vote: the first three found the register, the others join it.
fn system(cores: usize, tolerates: usize) -> System {
    let plan = Plan { cores, tolerates, ..Plan::default() };
    let system = System::serving(plan, TestConfiguration::new(HOST).route("/x/", "safe", "s"), &["s"]);
    until_vote(&system.cluster, 0, cores, wait::LONG);
    system
}

/// Checks that the remaining machines accept configurations and return what was acknowledged.
fn serves(system: &System, paths: &[&str]) {
    let mut configuration = system.configuration.clone();
    for path in paths {
        configuration = configuration.next().route(path, "safe", "s");
        system.operator.must_put(&configuration).unwrap();
    }
    let (version, text) = system.operator.read().unwrap();
    assert_eq!(version, configuration.version);
    assert!(paths.iter().all(|path| text.contains(&format!("\"{path}\""))), "incomplete: {text}");
}

#[test]
fn planned_shutdown_followed_by_a_crash_leaves_a_majority() {
    let system = system(4, 1);
    let cluster = &system.cluster;
    // All programs of one machine are shut down, and another machine is killed as soon as they have ended.
    cluster.signal("TERM", &[(0, Role::Registry), (0, Role::Store)]).unwrap();
    let acknowledged = Instant::now();
    for role in CORE {
        let status = cluster.ended(0, role, Duration::from_secs(6)).unwrap();
        assert!(status.success(), "{role:?}: {status}");
    }
    assert!(acknowledged.elapsed() < Duration::from_secs(3), "shutdown took {:?}", acknowledged.elapsed());
    cluster.kill_all(&CORE.map(|role| (1, role)));
    serves(&system, &["/after/", "/later/"]);
    assert!(cluster.has_logged(0, Role::Store, "removed from the voters before shutdown"));
    // The killed machine never answers. A slow answer on a busy host is covered by asking again.
    let title = || voters(cluster, 2).is_some_and(|t| t.title == "3 voters: 0 more may be lost");
    wait::holds(wait::LONG, "three voters, one of them failed", title)
        .unwrap_or_else(|e| panic!("{e}: {:?}", voters(cluster, 2)));
    // A set of three voters removes none: the killed machine keeps its place and resumes voting.
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
fn dead_voter_is_removed_before_the_next_loss() {
    let system = system(4, 1);
    let cluster = &system.cluster;
    cluster.kill_all(&CORE.map(|role| (0, role)));
    // 4 s is also the time for which a returned machine counts as lost.
    until_vote(cluster, 1, 3, 4000 * MS);
    cluster.kill_all(&CORE.map(|role| (2, role)));
    serves(&system, &["/after/"]);
    // Both machines return, and the removed one joins again.
    for back in [2, 0] {
        CORE.iter().for_each(|role| cluster.run(back, *role).unwrap());
    }
    until_vote(cluster, 1, 4, wait::LONG);
}

#[test]
fn server_departure_needs_more_registries_than_may_be_lost() {
    let system = system(5, 2);
    let cluster = &system.cluster;
    let leave = |within| call(cluster.control(0), "POST", "/servers/i-1/leave", "", within).map(|a| a.status);
    // Only one other registry is reachable, and those two may both be lost.
    let others: Vec<_> = (2..5).map(|core| (core, Role::Registry)).collect();
    cluster.signal("STOP", &others).unwrap();
    let alone = leave(Duration::from_secs(2));
    cluster.signal("CONT", &others).unwrap();
    assert_eq!(alone.unwrap(), 503);
    let taken = || leave(Duration::from_secs(2)).is_ok_and(|status| status == 200);
    wait::holds(wait::LONG, "the departure is acknowledged", taken).unwrap();
}
