//! A peek by a caller that slept while all voters were exchanged: the old ones run on, let go, and answer it. They must
//! not agree, whichever records they hold: a majority of them accepted the first step away from their cast, and what a
//! disk accepted only rises.

use oatbank_config_store::acceptor::Acceptor;
use oatbank_config_store::messages::{Answer, Cast, Member, Verdict};
use oatbank_config_store::proposer::{sight, Action, Known, Operation, Outcome, Task, Turn};
use std::collections::{BTreeMap, BTreeSet};

type NoChange = fn(Option<&[u8]>, u64) -> Result<Vec<u8>, ()>;

/// Voters by name, with no network between them but who is reached.
struct Voters {
    voters: BTreeMap<String, Acceptor>,
    founders: Cast,
    highest: u64,
    known: Known,
}

impl Voters {
    fn founded(founders: &[&str], spares: &[&str]) -> Voters {
        let names: Vec<String> = founders.iter().map(|n| (*n).to_owned()).collect();
        let mut voters = BTreeMap::new();
        names.iter().for_each(|name| _ = voters.insert(name.clone(), Acceptor::founded(names.clone())));
        for (nth, spare) in spares.iter().enumerate() {
            voters.insert((*spare).to_owned(), Acceptor::fresh(nth as u64 + 7));
        }
        Voters { voters, founders: Cast::founders(&names), highest: 0, known: Known::default() }
    }

    fn member(&self, name: &str) -> Member {
        Member { name: name.to_owned(), id: self.voters[name].kept().id }
    }

    fn cast(&self) -> Cast {
        self.known.cast(&self.founders).clone()
    }

    /// Runs one operation; those in `deaf` hear nothing of it. Whether it was done.
    fn operate(&mut self, task: Task<NoChange>, deaf: &BTreeSet<&str>) -> bool {
        let mut operation: Operation<NoChange, ()> =
            Operation::new(task, 5, self.founders.clone(), self.highest, self.known.clone());
        let mut action = operation.begin();
        for _ in 0..40 {
            let token = operation.token();
            let asked = operation.whom().to_vec();
            let answers: Vec<(String, Option<Answer>)> = asked
                .into_iter()
                .map(|name| {
                    let voter = self.voters.get_mut(&name).filter(|_| !deaf.contains(&name[..]));
                    let answer = voter.and_then(|voter| match &action {
                        Action::Prepare(prepare) => Some(voter.prepare(prepare).0),
                        Action::Accept(accept) => Some(voter.accept(accept).0),
                        _ => None,
                    });
                    (name, answer)
                })
                .collect();
            let mut next = Action::Wait;
            for (name, answer) in answers {
                let then = match answer {
                    Some(answer) => operation.answer(token, &name, answer),
                    None => operation.failed(token, &name),
                };
                if !matches!(then, Action::Wait) && matches!(next, Action::Wait) {
                    next = then;
                }
            }
            (self.highest, self.known) = (operation.highest(), operation.known().clone());
            action = match next {
                Action::Done(outcome) => return matches!(outcome, Outcome::Chosen(..)),
                Action::Wait | Action::BackOff => operation.begin(),
                go_on => go_on,
            };
        }
        false
    }

    /// What a caller sees that knows this cast.
    fn peek(&self, cast: &Cast) -> Option<(bool, u64)> {
        let answers = cast.names().into_iter().map(|name| {
            let answer = self.voters[&name].peek();
            assert_eq!(answer.verdict(), Verdict::Given);
            (name, answer)
        });
        sight(cast, &answers.collect()).map(|sight| (sight.agreed, sight.edition))
    }
}

/// Exchanges 1, 2, 3 for 4, 5, 6, one by one; in each step one of those that vote then hears nothing.
fn exchange(deaf: [&'static str; 6]) -> Option<Voters> {
    let mut all = Voters::founded(&["1", "2", "3"], &["4", "5", "6"]);
    let put: NoChange = |_, _| Ok(b"old".to_vec());
    let nobody = BTreeSet::new();
    assert!(all.operate(Task::Change(put), &nobody));
    let mut casts = vec![all.cast()];
    let steps = [("4", "1"), ("5", "2"), ("6", "3")];
    for (nth, (comes, goes)) in steps.into_iter().enumerate() {
        let turn = Turn::TakeIn(all.member(comes));
        if !all.operate(Task::Turn(turn), &BTreeSet::from([deaf[2 * nth]])) {
            return None;
        }
        casts.push(all.cast());
        let turn = Turn::LetGo(vec![all.member(goes)], all.cast().made);
        if !all.operate(Task::Turn(turn), &BTreeSet::from([deaf[2 * nth + 1]])) {
            return None;
        }
        casts.push(all.cast());
    }
    let put: NoChange = |_, _| Ok(b"new".to_vec());
    assert!(all.operate(Task::Change(put), &nobody));
    assert_eq!(all.peek(&all.cast()), Some((true, 2)), "{deaf:?}: the voters of now agree");
    for (nth, cast) in casts.iter().enumerate().filter(|(_, cast)| **cast != all.cast()) {
        let seen = all.peek(cast);
        assert!(!matches!(seen, Some((true, _))), "{deaf:?}: the cast after {nth} changes agrees: {seen:?}");
    }
    Some(all)
}

#[test]
fn voters_that_were_all_exchanged_agree_on_nothing_any_more() {
    let names = ["1", "2", "3", "4", "5", "6"];
    let mut done = 0;
    // Who is deaf in which step: some thousand of the ways, each step with each of the six.
    for code in (0..6usize.pow(6)).step_by(7) {
        let deaf: Vec<&'static str> = (0..6).map(|nth| names[code / 6usize.pow(nth) % 6]).collect();
        let exchanged = exchange([deaf[0], deaf[1], deaf[2], deaf[3], deaf[4], deaf[5]]).is_some();
        // Who does not hear it is not taken in; all else goes through.
        let hear = ["4", "5", "6"].iter().enumerate().all(|(nth, comes)| deaf[2 * nth] != *comes);
        assert_eq!(exchanged, hear, "{deaf:?}");
        done += usize::from(exchanged);
    }
    assert!(done > 2400, "{done}");
}

#[test]
fn the_old_voters_may_hold_one_record_and_are_told_apart_by_its_cast() {
    // All three heard the first step, and no other: they hold one ballot, a majority of the cast that the caller knows.
    let mut all = Voters::founded(&["1", "2", "3"], &["4", "5", "6"]);
    let put: NoChange = |_, _| Ok(b"old".to_vec());
    let nobody = BTreeSet::new();
    assert!(all.operate(Task::Change(put), &nobody));
    let before = all.cast();
    assert_eq!(all.peek(&before), Some((true, 1)));
    let turn = Turn::TakeIn(all.member("4"));
    assert!(all.operate(Task::Turn(turn), &nobody));
    let held: BTreeSet<_> = ["1", "2", "3"].map(|name| all.voters[name].kept().accepted).into();
    assert_eq!(held.len(), 1, "one ballot at all three");
    assert!(!matches!(all.peek(&before), Some((true, _))));
}
