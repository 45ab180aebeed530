//! Tests of the program's command line. `crates/local-cluster` tests the program in a cluster.

use std::path::PathBuf;
use std::process::Command;

const EXAMPLE: &str = include_str!("../../node-runtime/tests/node.toml");

fn check(name: &str, text: &str) -> (bool, String) {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR"))
        .join(format!("oatbank-proxy-{}-{name}.toml", std::process::id()));
    std::fs::write(&path, text).unwrap();
    let mut run = Command::new(env!("CARGO_BIN_EXE_oatbank-proxy"));
    let result = run.arg("--settings").arg(&path).arg("--check").output().unwrap();
    std::fs::remove_file(path).unwrap();
    (result.status.success(), String::from_utf8([result.stdout, result.stderr].concat()).unwrap())
}

#[test]
fn check_reports_invalid_settings_with_their_line() {
    let (is_valid, output) = check("good", EXAMPLE);
    assert!(is_valid && output.contains("in order"), "{output}");
    let (is_valid, output) = check("bad", &EXAMPLE.replace("drainMs = 3000", "drainMs = -1"));
    assert!(!is_valid && output.contains("line 41: bounds.drainMs"), "{output}");
}
