//! What was acknowledged outlives the end of all processes of the core, and the loss of a disk.

mod common;

use common::{System, HOST, MS};
use oatbank_local_cluster::client::Ask;
use oatbank_local_cluster::cluster::{Plan, Role, CORE};
use oatbank_local_cluster::operator::TestConfiguration;
use oatbank_local_cluster::wait;

#[test]
fn an_acknowledged_change_outlives_kills_of_the_whole_core_and_a_lost_disk() {
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

    // A disk is lost with its machine down; the two others go on.
    let lost = 1;
    CORE.iter().for_each(|role| cluster.kill(lost, *role));
    std::fs::remove_dir_all(cluster.data(lost)).unwrap();
    configuration = configuration.next();
    system.operator.must_put(&configuration).unwrap();
    CORE.iter().for_each(|role| cluster.run(lost, *role).unwrap());
    // A machine that is back counts as lost for 4 s more; only then another may go.
    let votes = || cluster.has_logged(lost, Role::Store, "became a voter");
    wait::holds(4000 * MS, "it votes again", votes).unwrap();
    // It is needed for a majority now, so it votes: by what it has learned.
    CORE.iter().for_each(|role| cluster.kill(0, *role));
    assert_eq!(
        system.operator.read().unwrap().0,
        configuration.version,
        "read by the one that was empty, and another"
    );
    configuration = configuration.next().route("/last/", "safe", "s");
    system.operator.must_put(&configuration).unwrap();
    cluster.kill_all(&[(lost, Role::Store), (lost, Role::Registry), (2, Role::Store), (2, Role::Registry)]);
    all_back();
    let read = system.operator.read().unwrap();
    assert_eq!(read.0, configuration.version);
    let field = |text: &str, from: &str| text.contains(from);
    assert!(field(&read.1, "\"/last/\"") && field(&read.1, "\"/round-0/\""), "whole: {}", read.1);
    for front in cluster.fronts() {
        system.until_served(front, &Ask::get(HOST, "/last/1"));
    }
    wait::holds(wait::LONG, "all stand", || cluster.lost().is_empty()).unwrap();
}
