//! The command itself, and what holds of the programs' sources.

use std::path::Path;
use std::process::Command;

#[test]
fn the_command_serves_and_says_so_by_its_status() {
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

/// Machines' times of day differ and jump: no decision may hang on one. (The store stirs it into a number drawn by chance, and
/// the engine has a clock by it that the daemon uses and the proxy does not.)
#[test]
fn nothing_reads_the_time_of_day() {
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
