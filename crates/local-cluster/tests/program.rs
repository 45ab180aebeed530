//! Tests of the command line, and of a rule for the programs' sources.

use oatbank_local_cluster::cluster::{LocalCluster, Plan};
use std::path::Path;
use std::process::Command;

#[test]
fn command_serves_traffic_and_reports_the_result_in_its_exit_status() {
    let run = Command::new(env!("CARGO_BIN_EXE_oatbank-local-cluster"))
        .args(["--seconds", "2", "--rate", "60"])
        .output()
        .unwrap();
    let text = String::from_utf8_lossy(&run.stdout);
    assert!(run.status.success(), "{}: {text}{}", run.status, String::from_utf8_lossy(&run.stderr));
    assert!(
        text.contains("oatbank-local-cluster serves at 127.")
            && text.contains("all")
            && text.contains(" 0 failed"),
        "{text}"
    );
    let wrong =
        Command::new(env!("CARGO_BIN_EXE_oatbank-local-cluster")).args(["--rate", "none"]).output().unwrap();
    assert!(!wrong.status.success() && String::from_utf8_lossy(&wrong.stderr).contains("--help"));
}

/// Wall clocks differ between machines and jump, so no decision may depend on one. Exempt are the store, which mixes it into
/// a random number, and the engine, whose wall clock is used by the daemon but not by the proxy.
#[test]
fn sources_do_not_read_the_wall_clock() {
    fn look(folder: &Path, found: &mut Vec<String>) {
        for entry in std::fs::read_dir(folder).unwrap().flatten() {
            let path = entry.path();
            if path.is_dir() {
                look(&path, found);
            } else if std::fs::read_to_string(&path)
                .is_ok_and(|t| t.contains("SystemTime") || t.contains("SystemClock::new"))
            {
                found.push(path.display().to_string());
            }
        }
    }
    let mut found = Vec::new();
    let crates = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    for name in
        ["node-runtime", "cluster-state", "config-model", "registry", "proxy", "operations", "limiter-core"]
    {
        look(&crates.join(name).join("src"), &mut found);
    }
    assert!(found.is_empty(), "{found:?}");
}

/// Guards against a cluster without a majority: its stores opened the files that the cluster of a failed test had left, and went
/// on with the addresses of that cluster.
#[test]
fn a_cluster_does_not_use_the_folder_that_another_one_has_left() {
    let plan = Plan { cores: 1, proxies: 0, ..Plan::default() };
    let first = LocalCluster::start(Plan { keep: true, ..plan.clone() }).unwrap();
    let left = first.folder().to_owned();
    drop(first);
    let second = LocalCluster::start(plan).unwrap();
    assert!(left.is_dir() && second.folder() != left, "{}", left.display());
    std::fs::remove_dir_all(left).unwrap();
}
