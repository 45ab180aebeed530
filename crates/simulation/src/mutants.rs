//! Guards taken out, one at a time, on a copy of the sources: a checker that finds nothing then proves nothing.

use crate::schedule::{Point, POINTS};
use std::fs;
use std::path::Path;
use std::process::{Command, Output};

/// A guard taken out.
#[derive(Debug)]
pub struct Mutant {
    /// What it is called.
    pub name: &'static str,
    /// The file, from the root of the sources.
    pub file: &'static str,
    /// What stands there, exactly once.
    pub from: &'static str,
    /// What is put there.
    pub to: &'static str,
    /// The family that should catch it.
    pub point: Point,
}

const fn mutant(
    name: &'static str,
    point: Point,
    file: &'static str,
    from: &'static str,
    to: &'static str,
) -> Mutant {
    Mutant { name, file, from, to, point }
}

const PROPOSER: &str = "crates/config-store/src/proposer.rs";
const PEEK: &str = "crates/config-store/src/peek.rs";
const VOTER_CHANGE: &str = "crates/config-store/src/voter_change.rs";
const ACCEPTOR: &str = "crates/config-store/src/acceptor.rs";
const VOTER: &str = "crates/config-store/src/voter.rs";
const WIRE: &str = "crates/config-store/src/messages.rs";
const MEMBERS: &str = "crates/config-store/src/membership.rs";
const CALLER: &str = "crates/config-store/src/client.rs";
const FOLLOW: &str = "crates/cluster-state/src/replication.rs";
const NEWS: &str = "crates/cluster-state/src/state.rs";
const LINK: &str = "crates/node-runtime/src/rpc.rs";
const COUNCIL: &str = "crates/registry/src/quorum_client.rs";
const ORDERS: &str = "crates/registry/src/operator_command.rs";
const OUTSIDE: &str = "crates/registry/src/control_api.rs";
const STATION: &str = "crates/registry/src/node.rs";
const LEASE: &str = "crates/proxy/src/lease.rs";

/// All of them.
pub const MUTANTS: &[Mutant] = &[
    mutant(
        "a half is a majority",
        Point::Cutoff,
        WIRE,
        "2 * of.iter().filter(|voter| holds(voter)).count() > of.len()",
        "2 * of.iter().filter(|voter| holds(voter)).count() + 1 >= of.len()",
    ),
    mutant(
        "votes are given that the disk refused",
        Point::Losses,
        VOTER,
        "                *acceptor = before;\n                for (_, sender) in responses {\n                    let _ = sender.send(acceptor.respond(ResponseStatus::StorageUnavailable));\n                }",
        "                drop(before);\n                for (response, sender) in responses {\n                    let _ = sender.send(response);\n                }",
    ),
    mutant(
        "a record is accepted without a write",
        Point::Losses,
        ACCEPTOR,
        "(self.respond(ResponseStatus::Granted), RequiredWrite::StateAndRecord)",
        "(self.respond(ResponseStatus::Granted), RequiredWrite::Nothing)",
    ),
    mutant(
        "a promise is not written",
        Point::Numbers,
        ACCEPTOR,
        "..self.respond(ResponseStatus::Granted) }, RequiredWrite::State)",
        "..self.respond(ResponseStatus::Granted) }, RequiredWrite::Nothing)",
    ),
    mutant(
        "a promise does not bind",
        Point::Numbers,
        ACCEPTOR,
        "if request.proposal < self.state.promised {",
        "if request.proposal < self.state.accepted {",
    ),
    mutant(
        "a new disk counts as the old one",
        Point::Losses,
        PEEK,
        "|response: &VoterResponse| response.disk_id == voter.disk_id || is_disabled(Guard::SameDisk);",
        "|_: &VoterResponse| true;",
    ),
    mutant(
        "voters change without those before them",
        Point::Changes,
        VOTER_CHANGE,
        "if is_disabled(Guard::JointQuorum) { Vec::new() }",
        "if true { Vec::new() }",
    ),
    mutant(
        "voters change before the last change is chosen",
        Point::Changes,
        PROPOSER,
        "Task::ChangeVoters(change) if is_chosen || is_disabled(Guard::ChosenBeforeNext) => {",
        "Task::ChangeVoters(change) if is_chosen || true => {",
    ),
    mutant(
        "voters change without looking whether a majority is there",
        Point::Changes,
        PROPOSER,
        "        added_has_responded && next.quorum(has_responded)\n",
        "        let _ = (added_has_responded, next.quorum(has_responded));\n        true\n",
    ),
    mutant(
        "what was read is told before it is chosen",
        Point::Numbers,
        PROPOSER,
        "        if is_chosen {\n            return self.finish(goal);",
        "        if is_chosen || true {\n            return self.finish(goal);",
    ),
    mutant(
        "a peek needs no agreement",
        Point::Numbers,
        COUNCIL,
        "if peeked.agreed && peeked.edition <= self.known.edition() {",
        "if peeked.edition <= self.known.edition() {",
    ),
    mutant(
        "a peek does not look whose record it is",
        Point::Changes,
        PEEK,
        "                && response.configuration_proposed_in == configuration.proposed_in\n",
        "",
    ),
    mutant(
        "readings are answered by what is known here",
        Point::Cutoff,
        COUNCIL,
        "        if self.ask().await {\n            Ok(self.known.decided())",
        "        if self.ask().await || self.known.edition() > 0 {\n            Ok(self.known.decided())",
    ),
    mutant(
        "everybody is always in touch",
        Point::Cutoff,
        FOLLOW,
        "self.fresh_ago().is_some_and(|ago| ago <= IN_TOUCH)",
        "self.fresh_ago().is_none_or(|ago| ago >= 0.0)",
    ),
    mutant(
        "beats are acknowledged out of touch",
        Point::Cutoff,
        OUTSIDE,
        "if !self.council.is_alone() && !self.known.in_touch() {",
        "if false {",
    ),
    mutant(
        "what a leaving server says is shared with nobody",
        Point::Losses,
        OUTSIDE,
        "|seen| self.council.is_shared(seen, since)).await",
        "|seen| self.council.is_shared(seen, since) || true).await",
    ),
    mutant(
        "a number stands for any order under it",
        Point::Numbers,
        ORDERS,
        "Ok(at) if self.0[at].digest == proposal.digest() => Fate::Taken,",
        "Ok(_) => Fate::Taken,",
    ),
    mutant(
        "a repeat is not remembered",
        Point::Numbers,
        ORDERS,
        "Ok(at) if self.0[at].digest == proposal.digest() => Fate::Taken,",
        "Ok(at) if self.0[at].digest != proposal.digest() => Fate::Never,",
    ),
    mutant(
        "an order that may have been made is made again",
        Point::Answers,
        PROPOSER,
        "                Some(origin) if *origin == attempt.origin => {",
        "                Some(origin) if false && *origin == attempt.origin => {",
    ),
    mutant(
        "a follower goes back",
        Point::Cutoff,
        FOLLOW,
        "        if edition > self.edition() {\n            *self.decided",
        "        if edition != self.edition() {\n            *self.decided",
    ),
    mutant(
        "knowledge is as fresh as its answer",
        Point::Cutoff,
        FOLLOW,
        "self.confirm(asked + f64::from(news.held) - f64::from(ago), news.edition);",
        "self.confirm(self.now(), news.edition);\n            let _ = (asked, ago);",
    ),
    mutant(
        "a majority's word is as fresh as its answer",
        Point::Cutoff,
        COUNCIL,
        "            self.known.confirm(asked, peeked.edition);",
        "            self.known.confirm(self.known.now() + 0.0 * asked, peeked.edition);",
    ),
    mutant(
        "a lease stands for ever",
        Point::Cutoff,
        LEASE,
        "Some(span) => fresh_ago.is_some_and(|ago| ago < span),",
        "Some(_) => fresh_ago.is_some(),",
    ),
    mutant(
        "knowledge is confirmed by a majority that knows more",
        Point::Cutoff,
        FOLLOW,
        "if self.edition() >= edition && self.fresh",
        "if (self.edition() >= edition || true) && self.fresh",
    ),
    mutant(
        "the silent stay voters for ever",
        Point::Changes,
        MEMBERS,
        "    unreachable[..removed].to_vec()",
        "    unreachable[..0 * removed].to_vec()",
    ),
    mutant(
        "who was not awake judges silence",
        Point::Cutoff,
        STATION,
        "now - listens_since > listened && known",
        "now - listens_since > -listened && known",
    ),
    mutant(
        "a late answer goes to another call",
        Point::Answers,
        LINK,
        ".filter(|waiting| waiting.number == id >> PLACE_BITS).map(|_| key)",
        ".map(|_| key)",
    ),
    mutant(
        "a number of a round is used again",
        Point::Answers,
        CALLER,
        "        let proposer_id = chance().wrapping_add(salt);",
        "        let proposer_id = salt.min(1);",
    ),
    mutant(
        "a server's earlier word undoes a later one",
        Point::Answers,
        NEWS,
        "        let state = self.state.max(other.state);",
        "        let state = other.state;",
    ),
    mutant(
        "what a follower lacks is not compared",
        Point::Answers,
        FOLLOW,
        "    if comparable && known.compare(edition, digest) {",
        "    if false && known.compare(edition, digest) {",
    ),
];

/// What came of a mutant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fate {
    /// Its family broke a rule: the first line on it.
    Caught(String),
    /// Only another family did.
    CaughtElsewhere(String),
    /// No schedule did, but a scripted test or the store's own model fails: its name.
    CaughtByTest(String),
    /// Nothing did.
    Missed,
}

/// Takes one guard out of the copy at `tree`, builds it, and plays so many schedules of its family, then of the others.
///
/// # Errors
/// Where the sources do not hold what is to be replaced exactly once, or the copy does not build.
pub fn try_out(tree: &Path, mutant: &Mutant, schedules: u64, jobs: u64) -> Result<Fate, String> {
    let path = tree.join(mutant.file);
    let text = fs::read_to_string(&path).map_err(|e| format!("{}: {e}", mutant.file))?;
    let found = text.matches(mutant.from).count();
    if found != 1 {
        return Err(format!("{}: {:?} is there {found} times, not once", mutant.file, mutant.from));
    }
    fs::write(&path, text.replace(mutant.from, mutant.to)).map_err(|e| format!("{}: {e}", mutant.file))?;
    let fate = play_it(tree, mutant, schedules, jobs);
    fs::write(&path, text).map_err(|e| format!("{}: {e}", mutant.file))?;
    fate
}

fn play_it(tree: &Path, mutant: &Mutant, schedules: u64, jobs: u64) -> Result<Fate, String> {
    build(tree)?;
    let own = POINTS.iter().filter(|(point, _)| *point == mutant.point);
    let others = POINTS.iter().filter(|(point, _)| *point != mutant.point);
    for (nth, (_, name)) in own.chain(others).enumerate() {
        let many = if nth == 0 { schedules } else { schedules / 8 };
        let played = Command::new(tree.join("target/tested/oatbank-simulation"))
            .args(["--point", name, "--schedules", &many.to_string(), "--jobs", &jobs.to_string()])
            .output()
            .map_err(|e| format!("oatbank-simulation: {e}"))?;
        if !played.status.success() {
            let told = String::from_utf8_lossy(&played.stdout).into_owned();
            let first: Vec<&str> = told.lines().take(2).map(str::trim).collect();
            let first = if first.is_empty() { "it panics".to_owned() } else { first.join("; ") };
            return Ok(if nth == 0 { Fate::Caught(first) } else { Fate::CaughtElsewhere(first) });
        }
    }
    Ok(failing_test(tree, mutant)?.map_or(Fate::Missed, Fate::CaughtByTest))
}

/// A test of the changed package, or of the registry above it, that fails in the copy.
fn failing_test(tree: &Path, mutant: &Mutant) -> Result<Option<String>, String> {
    const REGISTRY: &str = "oatbank-registry";
    let own = format!("oatbank-{}", mutant.file.split('/').nth(1).unwrap_or_default());
    for krate in std::iter::once(own.as_str()).chain(Some(REGISTRY).filter(|krate| *krate != own)) {
        let tested = cargo(tree, "test", krate)?;
        let told = String::from_utf8_lossy(&tested.stdout).into_owned();
        if let Some(line) = told.lines().find(|line| line.starts_with("test ") && line.ends_with("FAILED")) {
            return Ok(Some(format!("{krate}, {line}")));
        }
        if !tested.status.success() {
            return Err(format!("the tests of {krate}: {}", String::from_utf8_lossy(&tested.stderr)));
        }
    }
    Ok(None)
}

/// What is built anew for a mutant.
const QUICK: [&str; 6] = [
    "oatbank-node-runtime",
    "oatbank-cluster-state",
    "oatbank-config-store",
    "oatbank-registry",
    "oatbank-proxy",
    "oatbank-simulation",
];

/// Runs a command on one package of the copy.
fn cargo(tree: &Path, command: &str, krate: &str) -> Result<Output, String> {
    Command::new("cargo")
        .args([command, "--locked", "-j", "2", "--profile", "tested", "-p", krate])
        // Built often and run briefly.
        .args(QUICK.iter().flat_map(|krate| {
            let of = format!("profile.tested.package.{krate}");
            ["--config".into(), format!("{of}.opt-level=1"), "--config".into(), format!("{of}.debug=0")]
        }))
        .env("CARGO_INCREMENTAL", "1")
        .current_dir(tree)
        .env_remove("CARGO_TARGET_DIR")
        .output()
        .map_err(|e| format!("cargo: {e}"))
}

/// Builds the copy.
fn build(tree: &Path) -> Result<(), String> {
    let built = cargo(tree, "build", "oatbank-simulation")?;
    if built.status.success() {
        return Ok(());
    }
    Err(format!("the copy does not build: {}", String::from_utf8_lossy(&built.stderr)))
}

/// Copies the sources of the workspace at `from` to `to`, whatever was there before.
///
/// # Errors
/// When something cannot be read or written; the text names it.
pub fn copy(from: &Path, to: &Path) -> Result<(), String> {
    fs::create_dir_all(to).map_err(|e| format!("{}: {e}", to.display()))?;
    for part in ["Cargo.toml", "Cargo.lock", "crates", "benches"] {
        copy_all(&from.join(part), &to.join(part))?;
    }
    Ok(())
}

fn copy_all(from: &Path, to: &Path) -> Result<(), String> {
    let told = |path: &Path| {
        let path = path.display().to_string();
        move |e: std::io::Error| format!("{path}: {e}")
    };
    if from.is_dir() {
        fs::create_dir_all(to).map_err(told(to))?;
        for entry in fs::read_dir(from).map_err(told(from))? {
            let entry = entry.map_err(told(from))?;
            copy_all(&entry.path(), &to.join(entry.file_name()))?;
        }
        return Ok(());
    }
    let new = fs::read(from).map_err(told(from))?;
    // What is the same keeps its time, and is not built again.
    if fs::read(to).is_ok_and(|old| old == new) {
        return Ok(());
    }
    fs::write(to, new).map_err(told(to))
}
