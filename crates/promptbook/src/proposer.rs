//! The asking side: one operation on the register over as many rounds as it takes. No I/O; events in, actions out.

use crate::acceptor::{consistent, Quorum};
use crate::wire::{Accept, Answer, Ballot, Prepare, Record, Verdict, LINEAGE};
use bytes::Bytes;

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
        self.record.as_ref().map(|record| &record.value)
    }

    /// Takes what an answer holds, if it is newer.
    pub fn learn(&mut self, answer: &Answer) {
        if answer.accepted > self.ballot && answer.record.is_some() {
            *self = Known { ballot: answer.accepted, record: answer.record.clone() };
        }
    }
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
    /// Sends it to all voters.
    Prepare(Prepare),
    /// Sends it to all voters.
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
}

/// One change, or one reading (an operation without a function).
pub struct Operation<F, R> {
    change: Option<F>,
    by: u64,
    quorum: Quorum,
    highest: u64,
    known: Known,
    token: Token,
    answers: Vec<Option<Answer>>,
    failed: Vec<bool>,
    waiting: bool,
    attempts: Vec<Attempt>,
    proposed: Option<Record>,
    goal: Option<Goal<R>>,
}

impl<F, R> Operation<F, R>
where
    F: Fn(Option<&[u8]>, u64) -> Result<Vec<u8>, R>,
{
    /// An operation by `by` (one life of one proposer; it runs one operation at a time). `highest` is the highest
    /// round it has seen.
    pub fn new(change: Option<F>, by: u64, quorum: Quorum, highest: u64, known: Known) -> Operation<F, R> {
        Operation {
            change,
            by,
            quorum,
            highest: highest.max(known.ballot.round),
            known,
            token: Token { ballot: Ballot::default(), accepting: false },
            answers: Vec::new(),
            failed: Vec::new(),
            waiting: false,
            attempts: Vec::new(),
            proposed: None,
            goal: None,
        }
    }

    /// Begins a round, the first one or after a back-off.
    pub fn begin(&mut self) -> Action<R> {
        self.highest += 1;
        self.ask(Token { ballot: Ballot { round: self.highest, by: self.by }, accepting: false });
        Action::Prepare(Prepare { ballot: self.token.ballot, known: self.known.ballot })
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

    fn ask(&mut self, token: Token) {
        self.token = token;
        self.answers = vec![None; self.quorum.voters];
        self.failed = vec![false; self.quorum.voters];
        self.waiting = true;
    }

    /// A voter's answer to the question `token`.
    pub fn answer(&mut self, token: Token, voter: usize, answer: Answer) -> Action<R> {
        self.highest = self.highest.max(answer.promised.round);
        self.known.learn(&answer);
        if token != self.token || !self.waiting || voter >= self.quorum.voters {
            return Action::Wait;
        }
        if answer.verdict() == Verdict::Given {
            self.answers[voter] = Some(answer);
        } else {
            self.failed[voter] = true;
        }
        self.go_on()
    }

    /// No answer will come from this voter.
    pub fn failed(&mut self, token: Token, voter: usize) -> Action<R> {
        if token != self.token || !self.waiting || voter >= self.quorum.voters {
            return Action::Wait;
        }
        self.failed[voter] = true;
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

    fn standing(&self) -> Vec<(usize, &Answer)> {
        let given =
            self.answers.iter().enumerate().filter_map(|(voter, answer)| Some((voter, answer.as_ref()?)));
        consistent(given).collect()
    }

    fn go_on(&mut self) -> Action<R> {
        let standing = self.standing();
        if standing.len() >= self.quorum.majority {
            self.waiting = false;
            return if self.token.accepting { self.chosen() } else { self.promised() };
        }
        // Those that answered for an incarnation that is over count as failed.
        let silent =
            (0..self.quorum.voters).filter(|v| self.answers[*v].is_none() && !self.failed[*v]).count();
        if standing.len() + silent < self.quorum.majority {
            self.waiting = false;
            return Action::BackOff;
        }
        Action::Wait
    }

    fn promised(&mut self) -> Action<R> {
        let standing = self.standing();
        let mut counted = vec![0; self.quorum.voters];
        for (voter, answer) in &standing {
            counted[*voter] = answer.incarnation;
        }
        // What all of a majority accepted in the same ballot is chosen already. (A record newer than theirs that is
        // known from elsewhere was proposed properly in its ballot, so it may be gone on from as well.)
        let agreed = agree(self.quorum, &standing) == Some(self.known.ballot);
        let goal = match self.mine() {
            Ok(Some(goal)) => goal,
            Err(()) => return Action::Done(Outcome::Unknown),
            Ok(None) => match &self.change {
                None => Goal::Read,
                Some(change) => {
                    let value = self.known.value().map(|value| &value[..]);
                    match change(value, self.known.edition()) {
                        Err(refusal) => Goal::Refuse(refusal),
                        Ok(value) => return self.propose(value.into(), counted),
                    }
                }
            },
        };
        if agreed {
            return self.done(goal);
        }
        // To be told to anyone, what was read has to be chosen: the same record again in this ballot.
        let Some(record) = self.known.record.clone() else { return Action::BackOff };
        self.goal = Some(goal);
        self.send(record, counted)
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

    fn propose(&mut self, value: Bytes, counted: Vec<u64>) -> Action<R> {
        let edition = self.known.edition() + 1;
        let origin = self.token.ballot;
        let before = self.known.record.as_ref().map_or(&[][..], |record| &record.lineage);
        let lineage = std::iter::once(origin).chain(before.iter().copied()).take(LINEAGE).collect();
        self.attempts.push(Attempt { edition, origin, value: value.clone() });
        self.goal = Some(Goal::Made(edition, value.clone()));
        self.send(Record { edition, lineage, value }, counted)
    }

    fn send(&mut self, record: Record, counted: Vec<u64>) -> Action<R> {
        let ballot = self.token.ballot;
        self.proposed = Some(record.clone());
        self.ask(Token { ballot, accepting: true });
        Action::Accept(Accept { ballot, record, counted })
    }

    fn chosen(&mut self) -> Action<R> {
        if self.token.ballot > self.known.ballot {
            self.known = Known { ballot: self.token.ballot, record: self.proposed.take() };
        }
        match self.goal.take() {
            Some(goal) => self.done(goal),
            None => Action::BackOff,
        }
    }

    fn done(&mut self, goal: Goal<R>) -> Action<R> {
        Action::Done(match goal {
            Goal::Made(edition, value) => Outcome::Chosen(edition, Some(value)),
            Goal::Read => Outcome::Chosen(self.known.edition(), self.known.value().cloned()),
            Goal::Refuse(refusal) => Outcome::Refused(refusal),
        })
    }
}

/// The ballot that a majority of the answers has accepted in, if there is one: its record is chosen, and nothing newer
/// was chosen before the first of them was asked.
pub fn agree(quorum: Quorum, standing: &[(usize, &Answer)]) -> Option<Ballot> {
    standing
        .iter()
        .map(|(_, answer)| answer.accepted)
        .find(|b| standing.iter().filter(|(_, a)| a.accepted == *b && !a.adopted).count() >= quorum.majority)
}

/// What the answers to a peek say.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sight {
    /// The ballot that a majority agrees on, otherwise the highest seen.
    pub ballot: Ballot,
    /// Its edition.
    pub edition: u64,
    /// Whether a majority agrees on it.
    pub agreed: bool,
    /// The highest round promised to anyone.
    pub highest: u64,
}

/// Judges the answers to a peek; `None` below a majority.
pub fn sight(quorum: Quorum, answers: &[Option<Answer>]) -> Option<Sight> {
    let given = answers.iter().enumerate().filter_map(|(voter, answer)| Some((voter, answer.as_ref()?)));
    let standing: Vec<_> =
        consistent(given.filter(|(_, answer)| answer.verdict() == Verdict::Given)).collect();
    if standing.len() < quorum.majority {
        return None;
    }
    let agreed = agree(quorum, &standing);
    let highest_accepted = standing.iter().map(|(_, answer)| answer.accepted).max()?;
    let ballot = agreed.unwrap_or(highest_accepted);
    Some(Sight {
        ballot,
        edition: standing.iter().find(|(_, a)| a.accepted == ballot).map_or(0, |(_, a)| a.edition),
        agreed: agreed.is_some(),
        highest: standing.iter().map(|(_, answer)| answer.promised.round).max().unwrap_or(0),
    })
}
