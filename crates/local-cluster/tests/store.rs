//! Durability: acknowledged changes survive the end of all core processes and the loss of a disk.

mod common;

use common::{System, HOST, MS};
use oatbank_local_cluster::client::ClientRequest;
use oatbank_local_cluster::cluster::{Plan, Role, CORE};
use oatbank_local_cluster::operator::TestConfiguration;
use oatbank_local_cluster::wait;

#[test]
fn acknowledged_changes_survive_kills_of_the_whole_core_and_a_lost_disk() {
    let system =
        System::serving(Plan::default(), TestConfiguration::new(HOST).route("/x/", "safe", "s"), &["s"]);
    let cluster = &system.cluster;
    let all_back = || {
        for (machine, role) in cluster.core() {
            cluster.run(machine, role).unwrap();
        }
    };
    let mut configuration = system.configuration.clone();
    for round in 0..3 {
        configuration = configuration.next().route(&format!("/round-{round}/"), "safe", "s");
        system.operator.must_put(&configuration).unwrap();
        cluster.kill_all(&cluster.core());
        all_back();
        assert_eq!(system.operator.read().unwrap().0, configuration.version, "round {round}");
    }
    let (emptied, _) = system.operator.send("POST", "/empty/east-3/begin", "", wait::LONG).unwrap();
    assert_eq!(emptied.status, 200);

    // One machine is down and loses its disk; the two others continue.
    let lost = 1;
    CORE.iter().for_each(|role| cluster.kill(lost, *role));
    std::fs::remove_dir_all(cluster.data(lost)).unwrap();
    configuration = configuration.next();
    system.operator.must_put(&configuration).unwrap();
    CORE.iter().for_each(|role| cluster.run(lost, *role).unwrap());
    // A returned machine counts as lost for 4 s more. Only then may another one fail.
    let votes = || cluster.has_logged(lost, Role::Store, "became a voter");
    wait::holds(4000 * MS, "the machine votes again", votes).unwrap();
    // The machine is now needed for a majority, so it has to vote with the state it has caught up on.
    CORE.iter().for_each(|role| cluster.kill(0, *role));
    assert_eq!(
        system.operator.read().unwrap().0,
        configuration.version,
        "read from the refilled machine and another one"
    );
    configuration = configuration.next().route("/last/", "safe", "s");
    system.operator.must_put(&configuration).unwrap();
    cluster.kill_all(&[(lost, Role::Store), (lost, Role::Registry), (2, Role::Store), (2, Role::Registry)]);
    all_back();
    let read = system.operator.read().unwrap();
    assert_eq!(read.0, configuration.version);
    let field = |text: &str, from: &str| text.contains(from);
    assert!(field(&read.1, "\"/last/\"") && field(&read.1, "\"/round-0/\""), "incomplete: {}", read.1);
    for front in cluster.fronts() {
        system.until_served(front, &ClientRequest::get(HOST, "/last/1"));
    }
    wait::holds(wait::LONG, "all programs run", || cluster.lost().is_empty()).unwrap();
}
