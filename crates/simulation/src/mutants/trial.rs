//! Tries a mutant on a copy of the sources: builds it, runs schedules and tests, and reports which of them detected it.

use super::Mutant;
use crate::schedule::POINTS;
use quick_error::quick_error;
use std::fs;
use std::io;
use std::path::Path;
use std::process::{Command, Output};

quick_error! {
    /// TrialError is the reason why a mutant could not be tried.
    #[derive(Debug)]
    pub enum TrialError {
        /// A file cannot be read or written, or a program cannot be started.
        Io(subject: String, error: io::Error) {
            display("{}: {}", subject, error)
        }
        /// The text to replace does not occur exactly once in the file.
        NotOnce(file: &'static str, text: &'static str, found: usize) {
            display("{}: {:?} occurs {} times instead of once", file, text, found)
        }
        /// The copy does not build.
        DoesNotBuild(output: String) {
            display("the copy does not build: {}", output)
        }
        /// The tests of a package cannot be built or run.
        TestsDoNotRun(package: String, output: String) {
            display("cannot run the tests of {}: {}", package, output)
        }
    }
}

impl TrialError {
    /// Turns an I/O error into one that names its file or program.
    fn at(subject: impl ToString) -> impl FnOnce(io::Error) -> TrialError {
        let subject = subject.to_string();
        move |error| TrialError::Io(subject, error)
    }
}

/// TrialResult tells which check detected a mutant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TrialResult {
    /// A schedule of its own family broke a rule; holds the first lines of output.
    Caught(String),
    /// Only a schedule of another family broke a rule; holds the first lines of output.
    CaughtElsewhere(String),
    /// No schedule broke a rule, but a test of the changed package or of the registry failed; holds its name.
    CaughtByTest(String),
    /// No schedule and no test detected it.
    Missed,
}

/// Applies a mutant to the copy at `tree`, builds it, and runs `schedules` schedules of its family and an eighth as
/// many of each other family, then the tests. The file is restored afterwards.
///
/// # Errors
/// Fails if the text to replace does not occur exactly once, a file or program cannot be used, the copy does not build,
/// or its tests cannot be run.
pub fn try_out(tree: &Path, mutant: &Mutant, schedules: u64, jobs: u64) -> Result<TrialResult, TrialError> {
    let path = tree.join(mutant.file);
    let text = fs::read_to_string(&path).map_err(TrialError::at(mutant.file))?;
    let found = text.matches(mutant.from).count();
    if found != 1 {
        return Err(TrialError::NotOnce(mutant.file, mutant.from, found));
    }
    fs::write(&path, text.replace(mutant.from, mutant.to)).map_err(TrialError::at(mutant.file))?;
    let result = run_checks(tree, mutant, schedules, jobs);
    fs::write(&path, text).map_err(TrialError::at(mutant.file))?;
    result
}

fn run_checks(tree: &Path, mutant: &Mutant, schedules: u64, jobs: u64) -> Result<TrialResult, TrialError> {
    build(tree)?;
    let own = POINTS.iter().filter(|(point, _)| *point == mutant.point);
    let others = POINTS.iter().filter(|(point, _)| *point != mutant.point);
    for (nth, (_, name)) in own.chain(others).enumerate() {
        let many = if nth == 0 { schedules } else { schedules / 8 };
        let played = Command::new(tree.join("target/tested/oatbank-simulation"))
            .args(["--point", name, "--schedules", &many.to_string(), "--jobs", &jobs.to_string()])
            .output()
            .map_err(TrialError::at("oatbank-simulation"))?;
        if !played.status.success() {
            let output = String::from_utf8_lossy(&played.stdout).into_owned();
            let first: Vec<&str> = output.lines().take(2).map(str::trim).collect();
            let first = if first.is_empty() { "the schedule panicked".to_owned() } else { first.join("; ") };
            return Ok(if nth == 0 {
                TrialResult::Caught(first)
            } else {
                TrialResult::CaughtElsewhere(first)
            });
        }
    }
    Ok(failing_test(tree, mutant)?.map_or(TrialResult::Missed, TrialResult::CaughtByTest))
}

/// Returns the first failing test of the changed package or of the registry.
fn failing_test(tree: &Path, mutant: &Mutant) -> Result<Option<String>, TrialError> {
    const REGISTRY: &str = "oatbank-registry";
    let own = format!("oatbank-{}", mutant.file.split('/').nth(1).unwrap_or_default());
    for krate in std::iter::once(own.as_str()).chain(Some(REGISTRY).filter(|krate| *krate != own)) {
        let tested = cargo(tree, "test", krate)?;
        let output = String::from_utf8_lossy(&tested.stdout).into_owned();
        if let Some(line) = output.lines().find(|line| line.starts_with("test ") && line.ends_with("FAILED"))
        {
            return Ok(Some(format!("{krate}, {line}")));
        }
        if !tested.status.success() {
            let output = String::from_utf8_lossy(&tested.stderr).into_owned();
            return Err(TrialError::TestsDoNotRun(krate.to_owned(), output));
        }
    }
    Ok(None)
}

/// Packages compiled with less optimisation, since each mutant rebuilds them.
const LOW_OPTIMISATION_PACKAGES: [&str; 6] = [
    "oatbank-node-runtime",
    "oatbank-cluster-state",
    "oatbank-config-store",
    "oatbank-registry",
    "oatbank-proxy",
    "oatbank-simulation",
];

/// Runs a cargo command on one package of the copy.
fn cargo(tree: &Path, command: &str, krate: &str) -> Result<Output, TrialError> {
    Command::new("cargo")
        .args([command, "--locked", "-j", "2", "--profile", "tested", "-p", krate])
        // A low optimisation level: these packages are built often and run briefly.
        .args(LOW_OPTIMISATION_PACKAGES.iter().flat_map(|krate| {
            let of = format!("profile.tested.package.{krate}");
            ["--config".into(), format!("{of}.opt-level=1"), "--config".into(), format!("{of}.debug=0")]
        }))
        .env("CARGO_INCREMENTAL", "1")
        .current_dir(tree)
        .env_remove("CARGO_TARGET_DIR")
        .output()
        .map_err(TrialError::at("cargo"))
}

/// Builds the simulation in the copy.
fn build(tree: &Path) -> Result<(), TrialError> {
    let built = cargo(tree, "build", "oatbank-simulation")?;
    if built.status.success() {
        return Ok(());
    }
    Err(TrialError::DoesNotBuild(String::from_utf8_lossy(&built.stderr).into_owned()))
}

/// Copies the sources of the workspace at `from` over those at `to`.
///
/// # Errors
/// Fails if a file cannot be read or written; the error names it.
pub fn copy(from: &Path, to: &Path) -> Result<(), TrialError> {
    fs::create_dir_all(to).map_err(TrialError::at(to.display()))?;
    for part in ["Cargo.toml", "Cargo.lock", "crates", "benches"] {
        copy_all(&from.join(part), &to.join(part))?;
    }
    Ok(())
}

fn copy_all(from: &Path, to: &Path) -> Result<(), TrialError> {
    if from.is_dir() {
        fs::create_dir_all(to).map_err(TrialError::at(to.display()))?;
        for entry in fs::read_dir(from).map_err(TrialError::at(from.display()))? {
            let entry = entry.map_err(TrialError::at(from.display()))?;
            copy_all(&entry.path(), &to.join(entry.file_name()))?;
        }
        return Ok(());
    }
    let new = fs::read(from).map_err(TrialError::at(from.display()))?;
    // An unchanged file keeps its modification time, so that cargo does not rebuild it.
    if fs::read(to).is_ok_and(|old| old == new) {
        return Ok(());
    }
    fs::write(to, new).map_err(TrialError::at(to.display()))
}
