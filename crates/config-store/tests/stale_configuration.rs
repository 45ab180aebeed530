//! A quorum read by a client that was paused while all voters were replaced: the removed voters still run and respond.
//! They must not appear to agree, whichever records they have: a majority of them accepted the first step away from
//! their configuration, and the proposal that a disk has accepted only increases.

use oatbank_config_store::acceptor::Acceptor;
use oatbank_config_store::messages::{ResponseStatus, VoterConfiguration, VoterId, VoterResponse};
use oatbank_config_store::peek::summarize_peek;
use oatbank_config_store::proposer::{Action, KnownRecord, Operation, Outcome, Task, VoterChange};
use std::collections::{BTreeMap, BTreeSet};

type PlainChange = fn(Option<&[u8]>, u64) -> Result<Vec<u8>, ()>;

/// Voters by name, without a network: each operation names the voters that it does not reach.
struct Voters {
    voters: BTreeMap<String, Acceptor>,
    founders: VoterConfiguration,
    highest_round: u64,
    known: KnownRecord,
}

impl Voters {
    fn founded(founders: &[&str], spares: &[&str]) -> Voters {
        let addresses: Vec<String> = founders.iter().map(|n| (*n).to_owned()).collect();
        let mut voters = BTreeMap::new();
        addresses
            .iter()
            .for_each(|name| _ = voters.insert(name.clone(), Acceptor::founded(addresses.clone())));
        for (nth, spare) in spares.iter().enumerate() {
            voters.insert((*spare).to_owned(), Acceptor::fresh(nth as u64 + 7));
        }
        Voters {
            voters,
            founders: VoterConfiguration::founders(&addresses),
            highest_round: 0,
            known: KnownRecord::default(),
        }
    }

    fn voter(&self, name: &str) -> VoterId {
        VoterId { address: name.to_owned(), disk_id: self.voters[name].state().disk_id }
    }

    fn configuration(&self) -> VoterConfiguration {
        self.known.configuration(&self.founders).clone()
    }

    /// Runs one operation that does not reach the voters in `unreachable`. Returns whether it succeeded.
    fn operate(&mut self, task: Task<PlainChange>, unreachable: &BTreeSet<&str>) -> bool {
        let mut operation: Operation<PlainChange, ()> =
            Operation::new(task, 5, self.founders.clone(), self.highest_round, self.known.clone());
        let mut action = operation.begin_round();
        for _ in 0..40 {
            let phase_id = operation.phase_id();
            let asked = operation.recipients().to_vec();
            let responses: Vec<(String, Option<VoterResponse>)> = asked
                .into_iter()
                .map(|name| {
                    let voter = self.voters.get_mut(&name).filter(|_| !unreachable.contains(&name[..]));
                    let response = voter.and_then(|voter| match &action {
                        Action::Prepare(prepare) => Some(voter.prepare(prepare).0),
                        Action::Accept(accept) => Some(voter.accept(accept).0),
                        _ => None,
                    });
                    (name, response)
                })
                .collect();
            let mut next = Action::Wait;
            for (name, response) in responses {
                let then = match response {
                    Some(response) => operation.on_response(phase_id, &name, response),
                    None => operation.on_failure(phase_id, &name),
                };
                if !matches!(then, Action::Wait) && matches!(next, Action::Wait) {
                    next = then;
                }
            }
            (self.highest_round, self.known) = (operation.highest_round(), operation.known().clone());
            action = match next {
                Action::Done(outcome) => return matches!(outcome, Outcome::Chosen(..)),
                Action::Wait | Action::BackOff => operation.begin_round(),
                next => next,
            };
        }
        false
    }

    /// Returns whether a quorum read with this configuration agrees, and its edition.
    fn peek(&self, configuration: &VoterConfiguration) -> Option<(bool, u64)> {
        let responses = configuration.addresses().into_iter().map(|name| {
            let response = self.voters[&name].peek();
            assert_eq!(response.status(), ResponseStatus::Granted);
            (name, response)
        });
        summarize_peek(configuration, &responses.collect()).map(|summary| (summary.agreed, summary.edition))
    }
}

/// Replaces the voters 1, 2 and 3 by 4, 5 and 6 one by one; each step does not reach the voter named in
/// `unreachable`. Returns `None` if a step fails.
fn replace_all_voters(unreachable: [&'static str; 6]) -> Option<Voters> {
    let mut cluster = Voters::founded(&["1", "2", "3"], &["4", "5", "6"]);
    let write: PlainChange = |_, _| Ok(b"old".to_vec());
    let nobody = BTreeSet::new();
    assert!(cluster.operate(Task::Change(write), &nobody));
    let mut configurations = vec![cluster.configuration()];
    let steps = [("4", "1"), ("5", "2"), ("6", "3")];
    for (nth, (joining, leaving)) in steps.into_iter().enumerate() {
        let change = VoterChange::AddVoter(cluster.voter(joining));
        if !cluster.operate(Task::ChangeVoters(change), &BTreeSet::from([unreachable[2 * nth]])) {
            return None;
        }
        configurations.push(cluster.configuration());
        let change =
            VoterChange::RemoveVoters(vec![cluster.voter(leaving)], cluster.configuration().proposed_in);
        if !cluster.operate(Task::ChangeVoters(change), &BTreeSet::from([unreachable[2 * nth + 1]])) {
            return None;
        }
        configurations.push(cluster.configuration());
    }
    let write: PlainChange = |_, _| Ok(b"new".to_vec());
    assert!(cluster.operate(Task::Change(write), &nobody));
    assert_eq!(
        cluster.peek(&cluster.configuration()),
        Some((true, 2)),
        "{unreachable:?}: the current voters agree"
    );
    for (nth, configuration) in configurations
        .iter()
        .enumerate()
        .filter(|(_, configuration)| **configuration != cluster.configuration())
    {
        let result = cluster.peek(configuration);
        assert!(
            !matches!(result, Some((true, _))),
            "{unreachable:?}: the configuration after {nth} changes agrees: {result:?}"
        );
    }
    Some(cluster)
}

#[test]
fn removed_voters_never_agree_in_a_quorum_read() {
    let addresses = ["1", "2", "3", "4", "5", "6"];
    let mut replacements = 0;
    // A sample of one in seven of all combinations of unreached voters, with each of the six in each step.
    for combination in (0..6usize.pow(6)).step_by(7) {
        let unreachable: Vec<&'static str> =
            (0..6).map(|nth| addresses[combination / 6usize.pow(nth) % 6]).collect();
        let is_replaced = replace_all_voters([
            unreachable[0],
            unreachable[1],
            unreachable[2],
            unreachable[3],
            unreachable[4],
            unreachable[5],
        ])
        .is_some();
        // A step fails only if it does not reach the machine that joins.
        let joiners_are_reached =
            ["4", "5", "6"].iter().enumerate().all(|(nth, joining)| unreachable[2 * nth] != *joining);
        assert_eq!(is_replaced, joiners_are_reached, "{unreachable:?}");
        replacements += usize::from(is_replaced);
    }
    assert!(replacements > 2400, "only {replacements} complete replacements");
}

#[test]
fn removed_voters_with_the_same_record_are_detected_by_its_configuration() {
    // All three accepted the first step and no later one: a majority of the configuration that the client knows has
    // accepted the same proposal.
    let mut cluster = Voters::founded(&["1", "2", "3"], &["4", "5", "6"]);
    let write: PlainChange = |_, _| Ok(b"old".to_vec());
    let nobody = BTreeSet::new();
    assert!(cluster.operate(Task::Change(write), &nobody));
    let before = cluster.configuration();
    assert_eq!(cluster.peek(&before), Some((true, 1)));
    let change = VoterChange::AddVoter(cluster.voter("4"));
    assert!(cluster.operate(Task::ChangeVoters(change), &nobody));
    let held: BTreeSet<_> = ["1", "2", "3"].map(|name| cluster.voters[name].state().accepted).into();
    assert_eq!(held.len(), 1, "all three have accepted the same proposal");
    assert!(!matches!(cluster.peek(&before), Some((true, _))));
}
