//! The asking side: one operation on the register over as many rounds as it takes. No I/O; events in, actions out.

use crate::messages::{Accept, Answer, Ballot, Cast, Here, Member, Prepare, Record, Verdict, LINEAGE, MOST};
use bytes::Bytes;
use std::collections::{BTreeMap, BTreeSet};

/// Whether the model has taken this guard out, to see that its checker finds it missing.
#[cfg(test)]
pub(crate) fn is_without(guard: Guard) -> bool {
    WITHOUT.with(|without| without.get() == Some(guard))
}

#[cfg(not(test))]
fn is_without(_: Guard) -> bool {
    false
}

#[cfg(test)]
thread_local! {
    pub(crate) static WITHOUT: std::cell::Cell<Option<Guard>> = const { std::cell::Cell::new(None) };
}

/// What a change of the voters rests on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Guard {
    /// Voters before and after decide together while they change.
    Together,
    /// The next change comes after one that is chosen.
    ChosenFirst,
    /// A machine with another disk is another voter.
    SameDisk,
}

/// The newest record that a proposer has seen, with the ballot it was accepted in.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Known {
    /// Zero if none was seen.
    pub ballot: Ballot,
    /// The record.
    pub record: Option<Record>,
}

impl Known {
    /// The edition; 0 if none.
    pub fn edition(&self) -> u64 {
        self.record.as_ref().map_or(0, |record| record.edition)
    }

    /// The value; `None` if none was ever set.
    pub fn value(&self) -> Option<&Bytes> {
        self.record.as_ref().filter(|record| record.edition > 0).map(|record| &record.value)
    }

    /// Who votes by it.
    pub fn cast<'a>(&'a self, founders: &'a Cast) -> &'a Cast {
        self.record.as_ref().and_then(|record| record.cast.as_ref()).unwrap_or(founders)
    }

    /// Takes what an answer holds, if it is newer.
    pub fn learn(&mut self, answer: &Answer) {
        if answer.accepted > self.ballot && answer.record.is_some() {
            *self = Known { ballot: answer.accepted, record: answer.record.clone() };
        }
    }

    /// Takes what a program of the store says that it holds, if it is newer.
    pub fn learn_from(&mut self, here: &Here) {
        if here.accepted > self.ballot && here.record.is_some() {
            *self = Known { ballot: here.accepted, record: here.record.clone() };
        }
    }
}

/// A change of the voters.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Turn {
    /// This machine votes from then on, in place of any disk that it had before.
    TakeIn(Member),
    /// These vote no more, if the cast is still the one made in that ballot.
    LetGo(Vec<Member>, Ballot),
}

impl Turn {
    /// The cast to be proposed after one that is chosen; `None` where there is nothing left to do. Every change is
    /// first made together with the voters before it, and then alone.
    pub fn next(&self, cast: &Cast) -> Option<Cast> {
        if cast.is_changing() {
            return Some(Cast { members: cast.members.clone(), ..Cast::default() });
        }
        let mut members = cast.members.clone();
        match self {
            Turn::TakeIn(member) if members.contains(member) => return None,
            Turn::TakeIn(member) => {
                members.retain(|other| other.name != member.name);
                members.push(member.clone());
            }
            Turn::LetGo(_, made) if *made != cast.made => return None,
            Turn::LetGo(gone, _) => members.retain(|member| !gone.contains(member)),
        }
        // One more than that makes room for itself: it comes for one that is silent.
        let changes = members != cast.members && !members.is_empty() && members.len() <= MOST + 1;
        let before = if is_without(Guard::Together) { Vec::new() } else { cast.members.clone() };
        changes.then(|| Cast { members, before, ..Cast::default() })
    }
}

/// What an operation is for.
#[derive(Debug)]
pub enum Task<F> {
    /// The newest value.
    Read,
    /// Another value.
    Change(F),
    /// Other voters.
    Turn(Turn),
}

/// What a change gave.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome<R> {
    /// A majority holds it. For a change: the edition it made and its value, also if later ones followed already. For
    /// a reading: the newest.
    Chosen(u64, Option<Bytes>),
    /// The function refused the newest value; nothing of this operation is or will be chosen.
    Refused(R),
    /// More editions followed than the lineage names: it may or may not have been one of them.
    Unknown,
}

/// What the shell does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action<R> {
    /// Waits for more answers.
    Wait,
    /// Sends it to [`Operation::whom`].
    Prepare(Prepare),
    /// Sends it to [`Operation::whom`].
    Accept(Accept),
    /// This round came to nothing: wait a random while, then [`Operation::begin`].
    BackOff,
    /// It is over.
    Done(Outcome<R>),
}

/// Which question an answer belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Token {
    /// The round.
    pub ballot: Ballot,
    /// Of its first question (promise) or the second (accept).
    pub accepting: bool,
}

struct Attempt {
    edition: u64,
    origin: Ballot,
    value: Bytes,
}

enum Goal<R> {
    Made(u64, Bytes),
    Read,
    Refuse(R),
    /// One step of a change of the voters.
    Step,
}

/// One operation, over as many rounds as it takes.
pub struct Operation<F, R> {
    task: Task<F>,
    by: u64,
    founders: Cast,
    highest: u64,
    known: Known,
    /// The record of this ballot was found to be chosen.
    sure: Option<Ballot>,
    token: Token,
    asked: Vec<String>,
    answers: BTreeMap<String, Answer>,
    failed: BTreeSet<String>,
    waiting: bool,
    attempts: Vec<Attempt>,
    proposed: Option<Record>,
    goal: Option<Goal<R>>,
}

impl<F, R> Operation<F, R>
where
    F: Fn(Option<&[u8]>, u64) -> Result<Vec<u8>, R>,
{
    /// An operation by `by` (one life of one proposer; it runs one operation at a time). `founders` vote where no
    /// record says otherwise; `highest` is the highest round it has seen.
    pub fn new(task: Task<F>, by: u64, founders: Cast, highest: u64, known: Known) -> Operation<F, R> {
        Operation {
            task,
            by,
            founders,
            highest: highest.max(known.ballot.round),
            known,
            sure: None,
            token: Token { ballot: Ballot::default(), accepting: false },
            asked: Vec::new(),
            answers: BTreeMap::new(),
            failed: BTreeSet::new(),
            waiting: false,
            attempts: Vec::new(),
            proposed: None,
            goal: None,
        }
    }

    /// Begins a round, the first one or after a back-off.
    pub fn begin(&mut self) -> Action<R> {
        self.highest += 1;
        let mut whom = self.known.cast(&self.founders).names();
        if let Task::Turn(Turn::TakeIn(member)) = &self.task {
            if !whom.contains(&member.name) {
                whom.push(member.name.clone());
            }
        }
        self.ask(Token { ballot: Ballot { round: self.highest, by: self.by }, accepting: false }, whom);
        Action::Prepare(Prepare { ballot: self.token.ballot, known: self.known.ballot })
    }

    /// Whom the question goes to.
    pub fn whom(&self) -> &[String] {
        &self.asked
    }

    /// The question that answers are taken for now.
    pub fn token(&self) -> Token {
        self.token
    }

    /// The newest record seen.
    pub fn known(&self) -> &Known {
        &self.known
    }

    /// The highest round seen.
    pub fn highest(&self) -> u64 {
        self.highest
    }

    /// Whether, if it ended now, it may have been or may yet be chosen.
    pub fn open(&self) -> bool {
        !self.attempts.is_empty()
    }

    fn ask(&mut self, token: Token, whom: Vec<String>) {
        self.token = token;
        self.asked = whom;
        self.answers.clear();
        self.failed.clear();
        self.waiting = true;
    }

    /// A voter's answer to the question `token`.
    pub fn answer(&mut self, token: Token, voter: &str, answer: Answer) -> Action<R> {
        self.highest = self.highest.max(answer.promised.round);
        self.known.learn(&answer);
        if token != self.token || !self.waiting {
            return Action::Wait;
        }
        if answer.verdict() == Verdict::Given {
            self.answers.insert(voter.to_owned(), answer);
        } else {
            self.failed.insert(voter.to_owned());
        }
        self.go_on()
    }

    /// No answer will come from this voter.
    pub fn failed(&mut self, token: Token, voter: &str) -> Action<R> {
        if token != self.token || !self.waiting {
            return Action::Wait;
        }
        self.failed.insert(voter.to_owned());
        self.go_on()
    }

    /// The time for this question is over.
    pub fn over(&mut self) -> Action<R> {
        if !self.waiting {
            return Action::Wait;
        }
        self.waiting = false;
        Action::BackOff
    }

    /// Whose majority is needed: that of the newest record seen, and for an acceptance that of the record itself.
    fn cast(&self) -> &Cast {
        match &self.proposed {
            Some(record) if self.token.accepting => record.cast.as_ref().unwrap_or(&self.founders),
            _ => self.known.cast(&self.founders),
        }
    }

    fn go_on(&mut self) -> Action<R> {
        let given = |member: &Member| counts(&self.answers, member).is_some();
        if self.cast().quorum(given) {
            self.waiting = false;
            return if self.token.accepting { self.chosen() } else { self.promised() };
        }
        if self.cast().quorum(|member| given(member) || self.is_silent(&member.name)) {
            return Action::Wait;
        }
        self.waiting = false;
        let asked = |member: &Member| self.asked.contains(&member.name);
        if !self.token.accepting && !self.cast().quorum(asked) {
            // Others vote now, and have not been asked.
            return self.begin();
        }
        Action::BackOff
    }

    fn promised(&mut self) -> Action<R> {
        let at = self.known.ballot;
        // What all of a majority accepted in the same ballot is chosen already. (A record newer than theirs that is
        // known from elsewhere was proposed properly in its ballot, so it may be gone on from as well.)
        let holds =
            |member: &Member| counts(&self.answers, member).is_some_and(|a| a.accepted == at && !a.adopted);
        let agreed = self.sure == Some(at) || self.cast().quorum(holds);
        let goal = match self.mine() {
            Ok(Some(goal)) => goal,
            Err(()) => return Action::Done(Outcome::Unknown),
            Ok(None) => match &self.task {
                Task::Read => Goal::Read,
                Task::Change(change) => {
                    let value = self.known.value().map(|value| &value[..]);
                    match change(value, self.known.edition()) {
                        Err(refusal) => Goal::Refuse(refusal),
                        Ok(value) => return self.propose(value.into()),
                    }
                }
                // Other voters come only after a cast that is chosen.
                Task::Turn(turn) if agreed || is_without(Guard::ChosenFirst) => {
                    match turn.next(self.cast()) {
                        None => Goal::Read,
                        Some(next) if self.is_there(turn, &next) => return self.step(next),
                        // More may answer yet.
                        Some(_) => return self.wait_for_more(),
                    }
                }
                Task::Turn(_) => Goal::Step,
            },
        };
        if agreed {
            return self.done(goal);
        }
        // To be told to anyone, what was read has to be chosen: the same record again in this ballot.
        let Some(record) = self.known.record.clone() else { return Action::BackOff };
        self.goal = Some(goal);
        self.send(record)
    }

    /// Whether a majority of the next voters is there: without one, nothing more could be agreed after this step. Who
    /// comes in is one of those who are, by a promise that its disk has taken: one that is not would be a voter more
    /// and a vote less.
    fn is_there(&self, turn: &Turn, next: &Cast) -> bool {
        let there = |member: &Member| counts(&self.answers, member).is_some();
        let comes = match turn {
            Turn::TakeIn(member) => !next.members.contains(member) || there(member),
            Turn::LetGo(..) => true,
        };
        comes && next.quorum(there)
    }

    fn wait_for_more(&mut self) -> Action<R> {
        self.waiting = self.asked.iter().any(|name| self.is_silent(name));
        if self.waiting {
            Action::Wait
        } else {
            Action::BackOff
        }
    }

    fn is_silent(&self, name: &String) -> bool {
        self.asked.contains(name) && !self.answers.contains_key(name) && !self.failed.contains(name)
    }

    fn step(&mut self, next: Cast) -> Action<R> {
        let cast = Some(Cast { made: self.token.ballot, ..next });
        self.goal = Some(Goal::Step);
        self.send(Record { cast, ..self.known.record.clone().unwrap_or_default() })
    }

    /// Whether an earlier round of this operation made an edition that the newest record comes after.
    fn mine(&self) -> Result<Option<Goal<R>>, ()> {
        let Some(record) = &self.known.record else { return Ok(None) };
        for attempt in &self.attempts {
            let Some(back) = record.edition.checked_sub(attempt.edition) else { continue };
            match record.lineage.get(back as usize) {
                Some(origin) if *origin == attempt.origin => {
                    return Ok(Some(Goal::Made(attempt.edition, attempt.value.clone())))
                }
                Some(_) => {}
                None => return Err(()),
            }
        }
        Ok(None)
    }

    fn propose(&mut self, value: Bytes) -> Action<R> {
        let edition = self.known.edition() + 1;
        let origin = self.token.ballot;
        let before = self.known.record.as_ref().map_or(&[][..], |record| &record.lineage);
        let lineage = std::iter::once(origin).chain(before.iter().copied()).take(LINEAGE).collect();
        let cast = self.known.record.as_ref().and_then(|record| record.cast.clone());
        self.attempts.push(Attempt { edition, origin, value: value.clone() });
        self.goal = Some(Goal::Made(edition, value.clone()));
        self.send(Record { edition, lineage, value, cast })
    }

    fn send(&mut self, record: Record) -> Action<R> {
        let ballot = self.token.ballot;
        let whom = record.cast.as_ref().unwrap_or(&self.founders).names();
        self.proposed = Some(record.clone());
        self.ask(Token { ballot, accepting: true }, whom);
        Action::Accept(Accept { ballot, record })
    }

    fn chosen(&mut self) -> Action<R> {
        if self.token.ballot > self.known.ballot {
            self.known = Known { ballot: self.token.ballot, record: self.proposed.take() };
        }
        self.sure = Some(self.token.ballot);
        match (self.goal.take(), &self.task) {
            (Some(Goal::Step), Task::Turn(turn)) if turn.next(self.known.cast(&self.founders)).is_some() => {
                self.begin()
            }
            (Some(Goal::Step), _) => self.done(Goal::Read),
            (Some(goal), _) => self.done(goal),
            (None, _) => Action::BackOff,
        }
    }

    fn done(&mut self, goal: Goal<R>) -> Action<R> {
        Action::Done(match goal {
            Goal::Made(edition, value) => Outcome::Chosen(edition, Some(value)),
            Goal::Read | Goal::Step => Outcome::Chosen(self.known.edition(), self.known.value().cloned()),
            Goal::Refuse(refusal) => Outcome::Refused(refusal),
        })
    }
}

/// The answer of this very voter: not that of another disk of its machine.
fn counts<'a>(answers: &'a BTreeMap<String, Answer>, member: &Member) -> Option<&'a Answer> {
    let same = |answer: &Answer| answer.id == member.id || is_without(Guard::SameDisk);
    answers.get(&member.name).filter(|answer| same(answer) && answer.verdict() == Verdict::Given)
}

/// What the answers to a peek say.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sight {
    /// The ballot that a majority agrees on, otherwise the highest seen.
    pub ballot: Ballot,
    /// Its edition.
    pub edition: u64,
    /// Whether a majority agrees on it: its record is chosen, and nothing newer was before the first was asked.
    pub agreed: bool,
    /// The highest round promised to anyone.
    pub highest: u64,
}

/// Judges the answers to a peek by the voters known; `None` below a majority of them.
pub fn sight(cast: &Cast, answers: &BTreeMap<String, Answer>) -> Option<Sight> {
    if !cast.quorum(|member| counts(answers, member).is_some()) {
        return None;
    }
    let given: Vec<&Answer> =
        cast.members.iter().chain(&cast.before).filter_map(|member| counts(answers, member)).collect();
    // Only a record with these very voters is theirs to choose.
    let agreed = given.iter().map(|answer| answer.accepted).find(|ballot| {
        cast.quorum(|member| {
            counts(answers, member)
                .is_some_and(|a| a.accepted == *ballot && !a.adopted && a.cast_made == cast.made)
        })
    });
    let ballot = agreed.or_else(|| given.iter().map(|answer| answer.accepted).max())?;
    Some(Sight {
        ballot,
        edition: given.iter().find(|a| a.accepted == ballot).map_or(0, |a| a.edition),
        agreed: agreed.is_some(),
        highest: given.iter().map(|answer| answer.promised.round).max().unwrap_or(0),
    })
}
