//! A proposer that was paused: for more editions than the lineage lists, and while all voters were replaced.

use oatbank_config_store::acceptor::Acceptor;
use oatbank_config_store::messages::{VoterConfiguration, VoterId, VoterResponse, MAX_LINEAGE};
use oatbank_config_store::peek::summarize_peek;
use oatbank_config_store::proposer::{Action, KnownRecord, Operation, Outcome, Task, VoterChange};
use std::collections::BTreeMap;

type Change = Box<dyn Fn(Option<&[u8]>, u64) -> Result<Vec<u8>, String>>;
type Work = Operation<Change, String>;
type Voters = BTreeMap<String, Acceptor>;

fn founders() -> Vec<String> {
    (0..3).map(|n| format!("v{n}")).collect()
}

fn voters() -> Voters {
    founders().into_iter().map(|name| (name, Acceptor::founded(founders()))).collect()
}

fn begin(task: Task<Change>, proposer_id: u64, known: &KnownRecord) -> (Work, Action<String>) {
    let mut work =
        Operation::new(task, proposer_id, VoterConfiguration::founders(&founders()), 0, known.clone());
    let action = work.begin_round();
    (work, action)
}

/// Returns a task that appends a letter to the value.
fn add(letter: u8) -> Task<Change> {
    Task::Change(Box::new(move |before: Option<&[u8]>, _| {
        Ok(before.unwrap_or_default().iter().copied().chain([letter]).collect())
    }))
}

/// Sends the request of `action` to the recipients in `reach` (all if empty) and passes their responses to the operation.
/// Returns the next action.
fn carry(work: &mut Work, action: Action<String>, voters: &mut Voters, reach: &[&str]) -> Action<String> {
    let phase_id = work.phase_id();
    for name in work.recipients().to_vec() {
        let voter = voters.get_mut(&name).filter(|_| reach.is_empty() || reach.contains(&&name[..]));
        let response = match (&action, voter) {
            (Action::Prepare(prepare), Some(voter)) => voter.prepare(prepare).0,
            (Action::Accept(accept), Some(voter)) => voter.accept(accept).0,
            _ => continue,
        };
        let next = work.on_response(phase_id, &name, response);
        if next != Action::Wait {
            return next;
        }
    }
    work.on_timeout()
}

/// Runs rounds until the operation is complete.
fn run(work: &mut Work, mut action: Action<String>, voters: &mut Voters) -> Outcome<String> {
    for _ in 0..20 {
        action = match action {
            Action::Done(outcome) => return outcome,
            Action::BackOff => work.begin_round(),
            action => carry(work, action, voters, &[]),
        };
    }
    panic!("the operation does not complete within 20 steps");
}

/// Runs a complete operation of another proposer that reaches all voters. Returns its outcome and the newest record.
fn done(task: Task<Change>, proposer_id: u64, voters: &mut Voters) -> (Outcome<String>, KnownRecord) {
    let (mut work, action) = begin(task, proposer_id, &KnownRecord::default());
    let outcome = run(&mut work, action, voters);
    (outcome, work.known().clone())
}

/// Reads the edition and the value with another proposer.
fn value(voters: &mut Voters) -> (u64, Vec<u8>) {
    match done(Task::Read, 900, voters).0 {
        Outcome::Chosen(edition, value) => (edition, value.unwrap_or_default().to_vec()),
        other => panic!("not read: {other:?}"),
    }
}

#[test]
fn who_was_asleep_for_longer_than_the_lineage_says_that_it_does_not_know_whether_it_made_it_or_not() {
    // The voters that accept the proposed change before the proposer pauses; with two of them it is chosen. A record that
    // only the last voter has is never found by the other proposers, so it is not chosen.
    for accepted in [&["v2"][..], &["v0"], &["v0", "v1"], &["v0", "v1", "v2"]] {
        for asleep in [0, 1, MAX_LINEAGE - 2, MAX_LINEAGE - 1, MAX_LINEAGE, MAX_LINEAGE + 1, MAX_LINEAGE + 50]
        {
            let mut voters = voters();
            assert_eq!(done(add(b'a'), 1, &mut voters).0, Outcome::Chosen(1, Some(b"a"[..].into())));
            let (mut work, action) = begin(add(b'X'), 2, &KnownRecord::default());
            let action = carry(&mut work, action, &mut voters, &[]);
            // The first prepare request is rejected if an earlier operation has used a higher number.
            let action = match action {
                Action::BackOff => {
                    let again = work.begin_round();
                    carry(&mut work, again, &mut voters, &[])
                }
                action => action,
            };
            assert!(matches!(action, Action::Accept(_)), "{action:?}");
            // The voters accept, but their responses are lost.
            let phase_id = work.phase_id();
            let Action::Accept(accept) = &action else { return };
            for name in accepted {
                voters.get_mut(*name).expect("a voter").accept(accept);
            }
            assert_eq!(work.phase_id(), phase_id);
            for n in 0..asleep {
                // Other proposers make further changes meanwhile.
                assert!(matches!(done(add(b'b'), 10 + n as u64, &mut voters).0, Outcome::Chosen(..)));
            }
            let (_, before) = value(&mut voters);
            assert_eq!(work.on_timeout(), Action::BackOff);
            assert!(work.may_be_chosen());
            let again = work.begin_round();
            let outcome = run(&mut work, again, &mut voters);
            let (edition, after) = value(&mut voters);
            let times = after.iter().filter(|letter| **letter == b'X').count();
            let was_made = before.contains(&b'X');
            // The change would have made edition 2; the lineage of the newest record lists MAX_LINEAGE - 1 editions before it.
            let followed = before.len() - 2.min(before.len());
            match outcome {
                Outcome::Chosen(made, made_value) => {
                    assert_eq!(times, 1, "the change is in the value once: {accepted:?} {asleep}");
                    assert_eq!(made_value.expect("a value"), after[..made as usize]);
                    assert!(edition >= made);
                    assert!(
                        asleep == 0 || followed < MAX_LINEAGE,
                        "the lineage is too short: {accepted:?} {asleep}"
                    );
                }
                Outcome::Unknown => {
                    assert!(
                        followed >= MAX_LINEAGE,
                        "{accepted:?} {asleep}: the lineage was long enough to tell"
                    );
                    assert_eq!(
                        times,
                        usize::from(was_made),
                        "the change is not made again: {accepted:?} {asleep}"
                    );
                }
                Outcome::Rejected(why) => panic!("{why}"),
            }
        }
    }
}

#[test]
fn who_was_asleep_with_nothing_under_way_goes_on_from_the_newest() {
    let mut voters = voters();
    let (_, old) = done(add(b'a'), 1, &mut voters);
    for n in 0..1000 {
        assert!(matches!(done(add(b'b'), 10 + n, &mut voters).0, Outcome::Chosen(..)));
    }
    let (mut work, action) = begin(add(b'X'), 1, &old);
    assert!(matches!(run(&mut work, action, &mut voters), Outcome::Chosen(1002, _)));
    let (edition, value) = value(&mut voters);
    assert_eq!((edition, value.len(), value.last()), (1002, 1002, Some(&b'X')));
}

/// Replaces all three founders one after the other; the removed ones still respond. Returns all machines and the record
/// known before the first replacement.
fn replaced() -> (Voters, KnownRecord) {
    let mut voters = voters();
    let (_, old) = done(add(b'a'), 1, &mut voters);
    for (n, founder) in founders().into_iter().enumerate() {
        let voter = VoterId { address: format!("w{n}"), disk_id: 50 + n as u64 };
        voters.insert(voter.address.clone(), Acceptor::fresh(voter.disk_id));
        let (_, known) = done(Task::ChangeVoters(VoterChange::AddVoter(voter)), 20 + n as u64, &mut voters);
        let configuration = known.record.and_then(|record| record.configuration).expect("a configuration");
        let gone = VoterChange::RemoveVoters(
            vec![VoterId { address: founder, disk_id: 0 }],
            configuration.proposed_in,
        );
        done(Task::ChangeVoters(gone), 30 + n as u64, &mut voters);
    }
    (voters, old)
}

#[test]
fn a_proposer_with_the_voters_of_long_ago_decides_nothing_with_them() {
    let (mut voters, old) = replaced();
    for n in 0..3 {
        assert!(matches!(done(add(b'b'), 40 + n, &mut voters).0, Outcome::Chosen(..)));
    }
    for task in [Task::Read, add(b'X')] {
        let changes = matches!(task, Task::Change(_));
        let (mut work, action) = begin(task, 60, &old);
        assert_eq!(work.recipients(), founders());
        let outcome = run(&mut work, action, &mut voters);
        let Outcome::Chosen(edition, Some(value)) = outcome else { panic!("{outcome:?}") };
        assert_eq!((edition, &value[..]), if changes { (5, &b"abbbX"[..]) } else { (4, &b"abbb"[..]) });
        assert!(work
            .known()
            .configuration(&VoterConfiguration::default())
            .voters
            .iter()
            .all(|voter| voter.address.starts_with('w')));
    }
    // While none of the current voters is reachable, nothing is proposed.
    let (mut work, mut action) = begin(add(b'Y'), 61, &old);
    for _ in 0..6 {
        action = match action {
            Action::BackOff => work.begin_round(),
            Action::Done(outcome) => panic!("{outcome:?}"),
            action => carry(&mut work, action, &mut voters, &["v0", "v1", "v2"]),
        };
        assert!(!matches!(action, Action::Accept(_)), "a record was proposed without the current voters");
    }
    assert!(!work.may_be_chosen());
}

#[test]
fn a_peek_with_the_voters_of_long_ago_finds_nothing_agreed() {
    let (mut voters, old) = replaced();
    assert!(matches!(done(add(b'b'), 40, &mut voters).0, Outcome::Chosen(..)));
    let configuration = old.configuration(&VoterConfiguration::founders(&founders())).clone();
    let all = founders();
    for asked in [&all[..], &all[..2], &all[1..]] {
        let responses: BTreeMap<String, VoterResponse> =
            asked.iter().map(|name| (name.clone(), voters[name].peek())).collect();
        let seen = summarize_peek(&configuration, &responses);
        assert!(seen.is_none_or(|seen| !seen.agreed || seen.proposal > old.proposal), "{seen:?}");
        // The result differs from the record the proposer knows, so it continues with the current voters.
        assert!(seen.is_none_or(|seen| seen.proposal != old.proposal), "{seen:?}");
    }
    // A founder that has lost its disk since does not count.
    voters.insert("v0".into(), Acceptor::fresh(99));
    let responses = ["v0", "v1"].map(|name| (name.to_owned(), voters[name].peek()));
    assert_eq!(summarize_peek(&configuration, &responses.into()), None);
}
