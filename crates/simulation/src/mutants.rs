//! Mutants: copies of the sources with one guard removed. A checker that finds no violation in any of them proves nothing.

mod trial;

pub use trial::{copy, try_out, TrialError, TrialResult};

use crate::schedule::Point;

/// Mutant describes the removal of one guard.
#[derive(Debug)]
pub struct Mutant {
    /// Unique name.
    pub name: &'static str,
    /// Path of the file, relative to the workspace root.
    pub file: &'static str,
    /// Source text to replace; it occurs exactly once in the file.
    pub from: &'static str,
    /// Replacement.
    pub to: &'static str,
    /// Family of schedules that should detect the removal.
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
const MESSAGES: &str = "crates/config-store/src/messages.rs";
const MEMBERSHIP: &str = "crates/config-store/src/membership.rs";
const CLIENT: &str = "crates/config-store/src/client.rs";
const CLUSTER_VIEW: &str = "crates/cluster-state/src/cluster_view.rs";
const REPLICATION: &str = "crates/cluster-state/src/replication.rs";
const ROW: &str = "crates/cluster-state/src/state/row.rs";
const RPC_PENDING: &str = "crates/node-runtime/src/rpc/pending.rs";
const QUORUM_CLIENT: &str = "crates/registry/src/quorum_client.rs";
const OPERATOR_COMMAND: &str = "crates/registry/src/operator_command.rs";
const CONTROL_API: &str = "crates/registry/src/control_api.rs";
const REGISTRY_NODE: &str = "crates/registry/src/node.rs";
const LEASE: &str = "crates/proxy/src/lease.rs";

/// All mutants.
pub const MUTANTS: &[Mutant] = &[
    mutant(
        "a half is a majority",
        Point::Cutoff,
        MESSAGES,
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
        QUORUM_CLIENT,
        "if peeked.agreed && peeked.edition <= self.view.edition() {",
        "if peeked.edition <= self.view.edition() {",
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
        QUORUM_CLIENT,
        "        if self.refresh().await {\n            return Ok(self.view.agreed_state());",
        "        if self.refresh().await || self.view.edition() > 0 {\n            return Ok(self.view.agreed_state());",
    ),
    mutant(
        "everybody is always in touch",
        Point::Cutoff,
        CLUSTER_VIEW,
        "self.confirmed_ago().is_some_and(|ago| ago <= CONTACT_TIMEOUT)",
        "self.confirmed_ago().is_none_or(|ago| ago >= 0.0)",
    ),
    mutant(
        "beats are acknowledged out of touch",
        Point::Cutoff,
        CONTROL_API,
        "if !self.quorum.is_alone() && !self.view.in_touch() {",
        "if false {",
    ),
    mutant(
        "what a leaving server says is shared with nobody",
        Point::Losses,
        CONTROL_API,
        "|followers: &_| self.quorum.is_replicated(followers, sequence);",
        "|followers: &_| self.quorum.is_replicated(followers, sequence) || true;",
    ),
    mutant(
        "a number stands for any order under it",
        Point::Numbers,
        OPERATOR_COMMAND,
        "Ok(index) if self.0[index].digest == proposal.digest() => VersionStatus::Accepted,",
        "Ok(_) => VersionStatus::Accepted,",
    ),
    mutant(
        "a repeat is not remembered",
        Point::Numbers,
        OPERATOR_COMMAND,
        "Ok(index) if self.0[index].digest == proposal.digest() => VersionStatus::Accepted,",
        "Ok(index) if self.0[index].digest != proposal.digest() => VersionStatus::NotAccepted,",
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
        CLUSTER_VIEW,
        "        if edition > self.edition() {\n            *self.agreed",
        "        if edition != self.edition() {\n            *self.agreed",
    ),
    mutant(
        "knowledge is as fresh as its answer",
        Point::Cutoff,
        CLUSTER_VIEW,
        "self.confirm(requested + f64::from(update.held_ms) - f64::from(ago), update.edition);",
        "self.confirm(self.now(), update.edition);\n            let _ = (requested, ago);",
    ),
    mutant(
        "a majority's word is as fresh as its answer",
        Point::Cutoff,
        QUORUM_CLIENT,
        "            self.view.confirm(begun_at, peeked.edition);",
        "            self.view.confirm(self.view.now() + 0.0 * begun_at, peeked.edition);",
    ),
    mutant(
        "a lease stands for ever",
        Point::Cutoff,
        LEASE,
        "Some(duration) => confirmed_ago.is_some_and(|ago| ago < duration),",
        "Some(_) => confirmed_ago.is_some(),",
    ),
    mutant(
        "knowledge is confirmed by a majority that knows more",
        Point::Cutoff,
        CLUSTER_VIEW,
        "if self.edition() >= edition && self.confirmed_at",
        "if (self.edition() >= edition || true) && self.confirmed_at",
    ),
    mutant(
        "the silent stay voters for ever",
        Point::Changes,
        MEMBERSHIP,
        "    unreachable[..removed].to_vec()",
        "    unreachable[..0 * removed].to_vec()",
    ),
    mutant(
        "who was not awake judges silence",
        Point::Cutoff,
        REGISTRY_NODE,
        "now - listening_since > needed && view",
        "now - listening_since > -needed && view",
    ),
    mutant(
        "a late answer goes to another call",
        Point::Answers,
        RPC_PENDING,
        ".filter(|call| call.number == id >> INDEX_BITS).map(|_| index)",
        ".map(|_| index)",
    ),
    mutant(
        "a number of a round is used again",
        Point::Answers,
        CLIENT,
        "        let proposer_id = random_u64().wrapping_add(salt);",
        "        let proposer_id = salt.min(1);",
    ),
    mutant(
        "a server's earlier word undoes a later one",
        Point::Answers,
        ROW,
        "        let state = self.state.max(other.state);",
        "        let state = other.state;",
    ),
    mutant(
        "what a follower lacks is not compared",
        Point::Answers,
        REPLICATION,
        "    if is_comparable && view.compare(edition, digest) {",
        "    if false && view.compare(edition, digest) {",
    ),
];
