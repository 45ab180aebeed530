//! The program's command line. What it does among the others is tested in `crates/local-cluster`.

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
fn settings_are_checked_and_told_by_line() {
    let (good, said) = check("good", EXAMPLE);
    assert!(good && said.contains("in order"), "{said}");
    let (good, said) = check("bad", &EXAMPLE.replace("drainMs = 3000", "drainMs = -1"));
    assert!(!good && said.contains("line 41: bounds.drainMs"), "{said}");
}
