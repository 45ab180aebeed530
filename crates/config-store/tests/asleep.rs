//! A proposer that was paused: for more editions than the lineage lists, and while all voters were replaced.

use oatbank_config_store::acceptor::Acceptor;
use oatbank_config_store::messages::{VoterConfiguration, VoterId, VoterResponse, MAX_LINEAGE};
use oatbank_config_store::peek::summarize_peek;
use oatbank_config_store::proposer::{Action, KnownRecord, Operation, Outcome, Task, VoterChange};
use std::collections::BTreeMap;

type Change = Box<dyn Fn(Option<&[u8]>, u64) -> Result<Vec<u8>, String>>;
type TestOperation = Operation<Change, String>;
type Voters = BTreeMap<String, Acceptor>;

fn founders() -> Vec<String> {
    (0..3).map(|n| format!("v{n}")).collect()
}

fn voters() -> Voters {
    founders().into_iter().map(|name| (name, Acceptor::founded(founders()))).collect()
}

fn begin(task: Task<Change>, proposer_id: u64, known: &KnownRecord) -> (TestOperation, Action<String>) {
    let mut operation =
        Operation::new(task, proposer_id, VoterConfiguration::founders(&founders()), 0, known.clone());
    let action = operation.begin_round();
    (operation, action)
}

/// Returns a task that appends a letter to the value.
fn append(letter: u8) -> Task<Change> {
    Task::Change(Box::new(move |before: Option<&[u8]>, _| {
        Ok(before.unwrap_or_default().iter().copied().chain([letter]).collect())
    }))
}

/// Sends the request of `action` to the recipients in `reachable` (all if empty) and passes their responses to the
/// operation. Returns the next action.
fn run_phase(
    operation: &mut TestOperation,
    action: Action<String>,
    voters: &mut Voters,
    reachable: &[&str],
) -> Action<String> {
    let phase_id = operation.phase_id();
    for name in operation.recipients().to_vec() {
        let voter = voters.get_mut(&name).filter(|_| reachable.is_empty() || reachable.contains(&&name[..]));
        let response = match (&action, voter) {
            (Action::Prepare(prepare), Some(voter)) => voter.prepare(prepare).0,
            (Action::Accept(accept), Some(voter)) => voter.accept(accept).0,
            _ => continue,
        };
        let next = operation.on_response(phase_id, &name, response);
        if next != Action::Wait {
            return next;
        }
    }
    operation.on_timeout()
}

/// Runs rounds until the operation is complete.
fn run_rounds(
    operation: &mut TestOperation,
    mut action: Action<String>,
    voters: &mut Voters,
) -> Outcome<String> {
    for _ in 0..20 {
        action = match action {
            Action::Done(outcome) => return outcome,
            Action::BackOff => operation.begin_round(),
            action => run_phase(operation, action, voters, &[]),
        };
    }
    panic!("the operation does not complete within 20 steps");
}

/// Runs a complete operation of another proposer that reaches all voters. Returns its outcome and the newest record.
fn run_operation(
    task: Task<Change>,
    proposer_id: u64,
    voters: &mut Voters,
) -> (Outcome<String>, KnownRecord) {
    let (mut operation, action) = begin(task, proposer_id, &KnownRecord::default());
    let outcome = run_rounds(&mut operation, action, voters);
    (outcome, operation.known().clone())
}

/// Reads the edition and the value with another proposer.
fn read_value(voters: &mut Voters) -> (u64, Vec<u8>) {
    match run_operation(Task::Read, 900, voters).0 {
        Outcome::Chosen(edition, value) => (edition, value.unwrap_or_default().to_vec()),
        other => panic!("not read: {other:?}"),
    }
}

#[test]
fn a_change_interrupted_for_longer_than_the_lineage_has_an_unknown_outcome() {
    // The voters that accept the proposed change before the proposer pauses; with two of them it is chosen. A record
    // that only the last voter has is never found by the other proposers, so it is not chosen.
    for accepted_by in [&["v2"][..], &["v0"], &["v0", "v1"], &["v0", "v1", "v2"]] {
        for missed_changes in
            [0, 1, MAX_LINEAGE - 2, MAX_LINEAGE - 1, MAX_LINEAGE, MAX_LINEAGE + 1, MAX_LINEAGE + 50]
        {
            let mut voters = voters();
            assert_eq!(
                run_operation(append(b'a'), 1, &mut voters).0,
                Outcome::Chosen(1, Some(b"a"[..].into()))
            );
            let (mut operation, action) = begin(append(b'X'), 2, &KnownRecord::default());
            let action = run_phase(&mut operation, action, &mut voters, &[]);
            // The first prepare request is rejected if an earlier operation has used a higher number.
            let action = match action {
                Action::BackOff => {
                    let again = operation.begin_round();
                    run_phase(&mut operation, again, &mut voters, &[])
                }
                action => action,
            };
            assert!(matches!(action, Action::Accept(_)), "{action:?}");
            // The voters accept, but their responses are lost.
            let phase_id = operation.phase_id();
            let Action::Accept(accept) = &action else { return };
            for name in accepted_by {
                voters.get_mut(*name).expect("a voter").accept(accept);
            }
            assert_eq!(operation.phase_id(), phase_id);
            for n in 0..missed_changes {
                // Other proposers make further changes meanwhile.
                assert!(matches!(
                    run_operation(append(b'b'), 10 + n as u64, &mut voters).0,
                    Outcome::Chosen(..)
                ));
            }
            let (_, before) = read_value(&mut voters);
            assert_eq!(operation.on_timeout(), Action::BackOff);
            assert!(operation.may_be_chosen());
            let again = operation.begin_round();
            let outcome = run_rounds(&mut operation, again, &mut voters);
            let (edition, after) = read_value(&mut voters);
            let times = after.iter().filter(|letter| **letter == b'X').count();
            let was_made = before.contains(&b'X');
            // The change would have made edition 2; the lineage of the newest record lists MAX_LINEAGE - 1 editions
            // before it.
            let followed = before.len() - 2.min(before.len());
            match outcome {
                Outcome::Chosen(made, made_value) => {
                    assert_eq!(times, 1, "the change is in the value once: {accepted_by:?} {missed_changes}");
                    assert_eq!(made_value.expect("a value"), after[..made as usize]);
                    assert!(edition >= made);
                    assert!(
                        missed_changes == 0 || followed < MAX_LINEAGE,
                        "the lineage is too short: {accepted_by:?} {missed_changes}"
                    );
                }
                Outcome::Unknown => {
                    assert!(
                        followed >= MAX_LINEAGE,
                        "{accepted_by:?} {missed_changes}: the lineage was long enough to tell"
                    );
                    assert_eq!(
                        times,
                        usize::from(was_made),
                        "the change is not made again: {accepted_by:?} {missed_changes}"
                    );
                }
                Outcome::Rejected(why) => panic!("{why}"),
            }
        }
    }
}

#[test]
fn a_paused_proposer_without_a_pending_change_builds_on_the_newest_record() {
    let mut voters = voters();
    let (_, outdated) = run_operation(append(b'a'), 1, &mut voters);
    for n in 0..1000 {
        assert!(matches!(run_operation(append(b'b'), 10 + n, &mut voters).0, Outcome::Chosen(..)));
    }
    let (mut operation, action) = begin(append(b'X'), 1, &outdated);
    assert!(matches!(run_rounds(&mut operation, action, &mut voters), Outcome::Chosen(1002, _)));
    let (edition, value) = read_value(&mut voters);
    assert_eq!((edition, value.len(), value.last()), (1002, 1002, Some(&b'X')));
}

/// Replaces all three founders one after the other; the removed ones still respond. Returns all machines and the record
/// known before the first replacement.
fn replace_all_founders() -> (Voters, KnownRecord) {
    let mut voters = voters();
    let (_, outdated) = run_operation(append(b'a'), 1, &mut voters);
    for (n, founder) in founders().into_iter().enumerate() {
        let voter = VoterId { address: format!("w{n}"), disk_id: 50 + n as u64 };
        voters.insert(voter.address.clone(), Acceptor::fresh(voter.disk_id));
        let (_, known) =
            run_operation(Task::ChangeVoters(VoterChange::AddVoter(voter)), 20 + n as u64, &mut voters);
        let configuration = known.record.and_then(|record| record.configuration).expect("a configuration");
        let removal = VoterChange::RemoveVoters(
            vec![VoterId { address: founder, disk_id: 0 }],
            configuration.proposed_in,
        );
        run_operation(Task::ChangeVoters(removal), 30 + n as u64, &mut voters);
    }
    (voters, outdated)
}

#[test]
fn a_proposer_with_an_outdated_configuration_decides_nothing_with_removed_voters() {
    let (mut voters, outdated) = replace_all_founders();
    for n in 0..3 {
        assert!(matches!(run_operation(append(b'b'), 40 + n, &mut voters).0, Outcome::Chosen(..)));
    }
    for task in [Task::Read, append(b'X')] {
        let changes = matches!(task, Task::Change(_));
        let (mut operation, action) = begin(task, 60, &outdated);
        assert_eq!(operation.recipients(), founders());
        let outcome = run_rounds(&mut operation, action, &mut voters);
        let Outcome::Chosen(edition, Some(value)) = outcome else { panic!("{outcome:?}") };
        assert_eq!((edition, &value[..]), if changes { (5, &b"abbbX"[..]) } else { (4, &b"abbb"[..]) });
        assert!(operation
            .known()
            .configuration(&VoterConfiguration::default())
            .voters
            .iter()
            .all(|voter| voter.address.starts_with('w')));
    }
    // While none of the current voters is reachable, nothing is proposed.
    let (mut operation, mut action) = begin(append(b'Y'), 61, &outdated);
    for _ in 0..6 {
        action = match action {
            Action::BackOff => operation.begin_round(),
            Action::Done(outcome) => panic!("{outcome:?}"),
            action => run_phase(&mut operation, action, &mut voters, &["v0", "v1", "v2"]),
        };
        assert!(!matches!(action, Action::Accept(_)), "a record was proposed without the current voters");
    }
    assert!(!operation.may_be_chosen());
}

#[test]
fn a_quorum_read_with_an_outdated_configuration_finds_no_agreement() {
    let (mut voters, outdated) = replace_all_founders();
    assert!(matches!(run_operation(append(b'b'), 40, &mut voters).0, Outcome::Chosen(..)));
    let configuration = outdated.configuration(&VoterConfiguration::founders(&founders())).clone();
    let all = founders();
    for asked in [&all[..], &all[..2], &all[1..]] {
        let responses: BTreeMap<String, VoterResponse> =
            asked.iter().map(|name| (name.clone(), voters[name].peek())).collect();
        let summary = summarize_peek(&configuration, &responses);
        assert!(
            summary.is_none_or(|summary| !summary.agreed || summary.proposal > outdated.proposal),
            "{summary:?}"
        );
        // The result differs from the record the proposer knows, so it continues with the current voters.
        assert!(summary.is_none_or(|summary| summary.proposal != outdated.proposal), "{summary:?}");
    }
    // A founder that has lost its disk since does not count.
    voters.insert("v0".into(), Acceptor::fresh(99));
    let responses = ["v0", "v1"].map(|name| (name.to_owned(), voters[name].peek()));
    assert_eq!(summarize_peek(&configuration, &responses.into()), None);
}
