//! Tests the program's command line. `crates/local-cluster` tests it together with the other programs.

use std::path::PathBuf;
use std::process::Command;

const EXAMPLE: &str = include_str!("../../node-runtime/tests/node.toml");

fn check(name: &str, text: &str) -> (bool, String) {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR"))
        .join(format!("oatbank-registry-{}-{name}.toml", std::process::id()));
    std::fs::write(&path, text).unwrap();
    let mut run = Command::new(env!("CARGO_BIN_EXE_oatbank-registry"));
    let output = run.arg("--settings").arg(&path).arg("--check").output().unwrap();
    std::fs::remove_file(path).unwrap();
    (output.status.success(), String::from_utf8([output.stdout, output.stderr].concat()).unwrap())
}

#[test]
fn check_accepts_valid_settings_and_reports_errors_by_line() {
    let (is_valid, output) = check("good", EXAMPLE);
    assert!(is_valid && output.contains("in order"), "{output}");
    let (is_valid, output) = check("bad", &EXAMPLE.replace("drainMs = 3000", "drainMs = -1"));
    assert!(!is_valid && output.contains("line 41: bounds.drainMs"), "{output}");
}
