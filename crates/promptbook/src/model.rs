//! Seeded random schedules over acceptors, proposers and rejoining voters, judged from outside by a checker that only
//! sees what callers are told. `SCHEDULES` asks for more of them, `SEED` for one.

use crate::acceptor::{Acceptor, Quorum, Rejoining, Write};
use crate::proposer::{sight, Action, Known, Operation, Outcome, Token};
use crate::wire::{Accept, Answer, Ballot, Kept, Prepare, Record, Rejoin, Verdict};
use assert_matches::assert_matches;
use bytes::Bytes;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};

/// What is broken on purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    Nothing,
    /// Acceptors answer before their state is durable.
    Forgetful,
    /// Quorums that need not intersect.
    HalfIsEnough,
    /// A voter without a disk votes from nothing.
    VotesAtOnce,
    /// What was read in a round is told without being chosen.
    UnconfirmedReads,
}

/// The history a value stands for: the changes that made it, in their order.
fn history(value: Option<&[u8]>) -> Vec<u32> {
    value.unwrap_or_default().chunks(4).map(|id| u32::from_be_bytes(id.try_into().unwrap())).collect()
}

/// Knows what was told to callers, and nothing of how it came about.
#[derive(Default)]
struct Checker {
    /// The longest history told as chosen; every other told one is a beginning of it.
    chain: Vec<u32>,
    acknowledged: BTreeSet<u32>,
    /// Changes told as not made.
    never: BTreeSet<u32>,
}

impl Checker {
    fn told(&mut self, edition: u64, told: &[u32], floor: usize) -> Result<(), String> {
        if edition != told.len() as u64 {
            return Err(format!("edition {edition} for a history of {}", told.len()));
        }
        if told.len() < floor {
            return Err(format!("told {told:?} after {floor} changes were known to be made"));
        }
        let common = told.len().min(self.chain.len());
        if told[..common] != self.chain[..common] {
            return Err(format!("two chains: {told:?} and {:?}", self.chain));
        }
        if told.len() > self.chain.len() {
            self.chain = told.to_vec();
        }
        if self.chain.iter().collect::<BTreeSet<_>>().len() < self.chain.len() {
            return Err(format!("a change made twice: {:?}", self.chain));
        }
        if let Some(id) = self.chain.iter().find(|id| self.never.contains(id)) {
            return Err(format!("change {id} is in {:?} though it was told as not made", self.chain));
        }
        Ok(())
    }

    fn not_made(&mut self, id: u32) -> Result<(), String> {
        self.never.insert(id);
        self.told(self.chain.len() as u64, &self.chain.clone(), 0)
    }

    fn at_the_end(&self) -> Result<(), String> {
        match self.acknowledged.iter().find(|id| !self.chain.contains(id)) {
            Some(id) => Err(format!("the acknowledged change {id} is not in {:?}", self.chain)),
            None => Ok(()),
        }
    }
}

type Change = Box<dyn Fn(Option<&[u8]>, u64) -> Result<Vec<u8>, (u64, Vec<u32>)>>;

enum Doing {
    Nothing,
    Operating { operation: Box<Operation<Change, (u64, Vec<u32>)>>, id: Option<u32>, backing_off: bool },
    Peeking { answers: Vec<Option<Answer>> },
}

struct Caller {
    by: u64,
    highest: u64,
    known: Known,
    /// Tells one question for a sight from the next.
    serial: u64,
    floor: usize,
    doing: Doing,
}

enum Voter {
    Up(Acceptor),
    Rejoining(Rejoining),
    Down,
}

#[derive(Clone)]
enum Said {
    Prepare(Prepare),
    Accept(Accept),
    Peek,
}

#[derive(Clone)]
enum Letter {
    Asked { caller: usize, by: u64, serial: u64, token: Token, voter: usize, said: Said },
    Answered { caller: usize, by: u64, serial: u64, token: Token, voter: usize, answer: Answer },
    Rejoin { voter: usize, life: u32, asked: Rejoin, to: usize },
    Report { voter: usize, life: u32, asked: Rejoin, from: usize, answer: Answer },
}

struct Site {
    voter: Voter,
    durable: Option<(Kept, Option<Record>)>,
    /// Answers that wait for the disk, with whether they say anything new.
    unsynced: Vec<Letter>,
    life: u32,
}

struct World {
    fault: Fault,
    chance: Pcg64Mcg,
    quorum: Quorum,
    names: Vec<String>,
    sites: Vec<Site>,
    callers: Vec<Caller>,
    letters: Vec<Letter>,
    /// Those held up for long.
    late: Vec<Letter>,
    /// The more, the fewer crashes.
    trouble: usize,
    proposals: BTreeMap<Ballot, Record>,
    checker: Checker,
    changes: u32,
    lives: u64,
    wiped: u32,
}

impl World {
    fn new(seed: u64, fault: Fault) -> World {
        let mut chance = Pcg64Mcg::seed_from_u64(seed);
        let voters = if chance.next_u32() % 4 == 0 { 5 } else { 3 };
        let names: Vec<String> = (0..voters).map(|voter| voter.to_string()).collect();
        let mut quorum = Quorum::of(voters);
        if fault == Fault::HalfIsEnough {
            quorum.majority = voters / 2;
        }
        let sites = (0..voters)
            .map(|me| {
                let acceptor = Acceptor::founded(names.clone(), me, chance.next_u64());
                let durable = Some((acceptor.kept().clone(), None));
                Site { voter: Voter::Up(acceptor), durable, unsynced: Vec::new(), life: 0 }
            })
            .collect();
        let callers = (1..=3)
            .map(|by| Caller {
                by,
                highest: 0,
                known: Known::default(),
                serial: 0,
                floor: 0,
                doing: Doing::Nothing,
            })
            .collect();
        let trouble = 1 + chance.next_u32() as usize % 12;
        World {
            fault,
            chance,
            quorum,
            names,
            sites,
            callers,
            letters: Vec::new(),
            late: Vec::new(),
            trouble,
            proposals: BTreeMap::new(),
            checker: Checker::default(),
            changes: 0,
            lives: 3,
            wiped: 0,
        }
    }

    fn below(&mut self, limit: usize) -> usize {
        self.chance.next_u32() as usize % limit
    }

    fn one_in(&mut self, odds: usize) -> bool {
        self.below(odds) == 0
    }

    // What voters do.

    fn deliver(&mut self, letter: Letter) -> Result<(), String> {
        match letter {
            Letter::Asked { caller, by, serial, token, voter, said } => {
                let site = &mut self.sites[voter];
                let answer = match &mut site.voter {
                    Voter::Up(acceptor) => match said {
                        Said::Prepare(prepare) => acceptor.prepare(&prepare).0,
                        Said::Accept(accept) => acceptor.accept(&accept).0,
                        Said::Peek => {
                            // Only what is durable is shown: the program writes before it hears the next call.
                            if !site.unsynced.is_empty() {
                                return Ok(());
                            }
                            acceptor.peek()
                        }
                    },
                    Voter::Rejoining(_) => Answer::default(),
                    Voter::Down => return Ok(()),
                };
                let answered = Letter::Answered { caller, by, serial, token, voter, answer };
                self.answer_from(voter, answered);
                Ok(())
            }
            Letter::Rejoin { voter, life, asked, to } => {
                let Voter::Up(acceptor) = &mut self.sites[to].voter else { return Ok(()) };
                let answer = acceptor.rejoin(&asked).0;
                self.answer_from(to, Letter::Report { voter, life, asked, from: to, answer });
                Ok(())
            }
            Letter::Report { voter, life, asked, from, answer } => {
                let site = &mut self.sites[voter];
                if site.life != life {
                    return Ok(());
                }
                let Voter::Rejoining(rejoining) = &mut site.voter else { return Ok(()) };
                let Some(acceptor) = rejoining.report(&asked, from, answer) else { return Ok(()) };
                site.durable = Some((acceptor.kept().clone(), acceptor.record().cloned()));
                site.voter = Voter::Up(acceptor);
                Ok(())
            }
            Letter::Answered { caller, by, serial, token, voter, answer } => {
                if self.callers[caller].by != by {
                    return Ok(());
                }
                self.hear(caller, serial, token, voter, answer)
            }
        }
    }

    fn answer_from(&mut self, voter: usize, letter: Letter) {
        self.sites[voter].unsynced.push(letter);
        if self.fault == Fault::Forgetful {
            let answered = std::mem::take(&mut self.sites[voter].unsynced);
            self.letters.extend(answered);
        }
    }

    fn sync(&mut self, voter: usize) {
        let site = &mut self.sites[voter];
        if let Voter::Up(acceptor) = &site.voter {
            site.durable = Some((acceptor.kept().clone(), acceptor.record().cloned()));
        }
        self.letters.append(&mut self.sites[voter].unsynced);
    }

    fn refuse_write(&mut self, voter: usize) {
        let chance = self.chance.next_u64();
        let site = &mut self.sites[voter];
        let (Voter::Up(acceptor), Some((kept, record))) = (&mut site.voter, &site.durable) else { return };
        *acceptor = Acceptor::restored(kept.clone(), record.clone(), chance).unwrap();
        for mut letter in site.unsynced.drain(..) {
            if let Letter::Answered { answer, .. } | Letter::Report { answer, .. } = &mut letter {
                *answer = acceptor.answer(Verdict::Unable);
            }
            self.letters.push(letter);
        }
    }

    fn crash(&mut self, voter: usize) {
        if self.one_in(2) {
            // The write was made, the answers were not sent.
            let site = &mut self.sites[voter];
            if let (Voter::Up(acceptor), true) = (&site.voter, self.fault != Fault::Forgetful) {
                site.durable = Some((acceptor.kept().clone(), acceptor.record().cloned()));
            }
        }
        let site = &mut self.sites[voter];
        site.unsynced.clear();
        site.voter = Voter::Down;
        site.life += 1;
    }

    fn restart(&mut self, voter: usize) {
        let chance = self.chance.next_u64();
        let names = self.names.clone();
        let site = &mut self.sites[voter];
        site.voter = match &site.durable {
            Some((kept, record)) => {
                Voter::Up(Acceptor::restored(kept.clone(), record.clone(), chance).unwrap())
            }
            None if self.fault == Fault::VotesAtOnce => Voter::Up(Acceptor::founded(names, voter, chance)),
            None => Voter::Rejoining(Rejoining::new(names, voter, chance)),
        };
    }

    fn wipe(&mut self, voter: usize) {
        let without = self.sites.iter().filter(|site| site.durable.is_none()).count();
        if without < (self.quorum.voters - 1) / 2 {
            self.crash(voter);
            self.sites[voter].durable = None;
            self.wiped += 1;
        }
    }

    fn ask_to_rejoin(&mut self, voter: usize) {
        let site = &self.sites[voter];
        if let Voter::Rejoining(rejoining) = &site.voter {
            let asked = rejoining.ask().into_iter();
            let life = site.life;
            self.letters.extend(asked.map(|(to, asked)| Letter::Rejoin { voter, life, asked, to }));
        }
    }

    // What callers do.

    fn begin(&mut self, caller: usize) -> Result<(), String> {
        let floor = self.checker.chain.len();
        let what = self.below(4);
        let expects = self.one_in(2);
        let quorum = self.quorum;
        let me = &mut self.callers[caller];
        me.floor = floor;
        me.serial += 1;
        if what == 0 {
            me.doing = Doing::Peeking { answers: vec![None; quorum.voters] };
            self.send(caller, Said::Peek);
            return Ok(());
        }
        let id = (what > 1).then(|| {
            self.changes += 1;
            self.changes
        });
        let change = id.map(|id| -> Change {
            Box::new(move |before, edition| {
                if expects && edition != floor as u64 {
                    return Err((edition, history(before)));
                }
                Ok([before.unwrap_or_default(), &id.to_be_bytes()].concat())
            })
        });
        let operation = Box::new(Operation::new(change, me.by, quorum, me.highest, me.known.clone()));
        me.doing = Doing::Operating { operation, id, backing_off: true };
        self.go_on(caller)
    }

    /// A round after the back-off.
    fn go_on(&mut self, caller: usize) -> Result<(), String> {
        let Doing::Operating { operation, backing_off, .. } = &mut self.callers[caller].doing else {
            return Ok(());
        };
        *backing_off = false;
        let action = operation.begin();
        self.act(caller, action)
    }

    fn hear(
        &mut self,
        caller: usize,
        serial: u64,
        token: Token,
        voter: usize,
        answer: Answer,
    ) -> Result<(), String> {
        let quorum = self.quorum;
        let me = &mut self.callers[caller];
        if me.serial != serial {
            return Ok(());
        }
        match &mut me.doing {
            Doing::Nothing => Ok(()),
            Doing::Operating { operation, .. } => {
                let action = operation.answer(token, voter, answer);
                self.act(caller, action)
            }
            Doing::Peeking { answers } => {
                answers[voter] = Some(answer);
                let Some(seen) = sight(quorum, answers).filter(|seen| seen.agreed) else { return Ok(()) };
                let floor = me.floor;
                me.doing = Doing::Nothing;
                let record = self.proposals.get(&seen.ballot);
                let told = history(record.map(|record| &record.value[..]));
                self.checker.told(seen.edition, &told, floor)
            }
        }
    }

    fn act(&mut self, caller: usize, action: Action<(u64, Vec<u32>)>) -> Result<(), String> {
        match action {
            Action::Wait => Ok(()),
            Action::Prepare(prepare) => {
                self.send(caller, Said::Prepare(prepare));
                Ok(())
            }
            Action::Accept(accept) => {
                let before = self.proposals.insert(accept.ballot, accept.record.clone());
                if before.is_some_and(|before| before != accept.record) {
                    return Err(format!("two records in ballot {}", accept.ballot));
                }
                if self.fault == Fault::UnconfirmedReads {
                    if let Doing::Operating { id: None, .. } = &self.callers[caller].doing {
                        let told = history(Some(&accept.record.value));
                        return self
                            .ended(caller, Outcome::Chosen(told.len() as u64, Some(accept.record.value)));
                    }
                }
                self.send(caller, Said::Accept(accept));
                Ok(())
            }
            Action::BackOff => {
                if let Doing::Operating { backing_off, .. } = &mut self.callers[caller].doing {
                    *backing_off = true;
                }
                Ok(())
            }
            Action::Done(outcome) => self.ended(caller, outcome),
        }
    }

    /// The operation leaves what it has learned.
    fn leave(&mut self, caller: usize) -> (Option<u32>, bool) {
        let me = &mut self.callers[caller];
        match std::mem::replace(&mut me.doing, Doing::Nothing) {
            Doing::Operating { operation, id, .. } => {
                me.highest = operation.highest();
                me.known = operation.known().clone();
                (id, operation.open())
            }
            _ => (None, false),
        }
    }

    fn ended(&mut self, caller: usize, outcome: Outcome<(u64, Vec<u32>)>) -> Result<(), String> {
        let floor = self.callers[caller].floor;
        let (id, _) = self.leave(caller);
        match (outcome, id) {
            (Outcome::Chosen(edition, value), id) => {
                let told = history(value.as_deref());
                if let Some(id) = id {
                    if told.last() != Some(&id) || told.len() <= floor {
                        return Err(format!("change {id} acknowledged with {told:?}, after {floor} changes"));
                    }
                    self.checker.acknowledged.insert(id);
                }
                let floor = if id.is_some() { 0 } else { floor };
                self.checker.told(edition, &told, floor)
            }
            (Outcome::Refused((edition, told)), Some(id)) => {
                self.checker.told(edition, &told, floor)?;
                self.checker.not_made(id)
            }
            (Outcome::Refused(_), None) => Err("a reading was refused".into()),
            (Outcome::Unknown, _) => Ok(()),
        }
    }

    fn give_up(&mut self, caller: usize) -> Result<(), String> {
        match self.leave(caller) {
            (Some(id), false) => self.checker.not_made(id),
            _ => Ok(()),
        }
    }

    /// The caller's process ends; the next one knows nothing.
    fn replace_caller(&mut self, caller: usize) {
        self.lives += 1;
        let me = &mut self.callers[caller];
        *me = Caller {
            by: self.lives,
            highest: 0,
            known: Known::default(),
            serial: 0,
            floor: 0,
            doing: Doing::Nothing,
        };
    }

    fn send(&mut self, caller: usize, said: Said) {
        let me = &self.callers[caller];
        let token = match &me.doing {
            Doing::Operating { operation, .. } => operation.token(),
            _ => Token { ballot: Ballot::default(), accepting: false },
        };
        let (by, serial) = (me.by, me.serial);
        for voter in 0..self.quorum.voters {
            let said = said.clone();
            self.letters.push(Letter::Asked { caller, by, serial, token, voter, said });
        }
    }

    // Chance.

    /// Someone that this applies to.
    fn any(&mut self, of: usize, applies: impl Fn(&World, usize) -> bool) -> Option<usize> {
        let some: Vec<usize> = (0..of).filter(|one| applies(self, *one)).collect();
        (!some.is_empty()).then(|| some[self.below(some.len())])
    }

    fn step(&mut self) -> Result<(), String> {
        let voters = self.quorum.voters;
        let callers = self.callers.len();
        match self.below(100) {
            0..=54 if !self.letters.is_empty() => {
                let at = self.below(self.letters.len());
                let letter = match self.below(40) {
                    0 => self.letters[at].clone(),
                    1 => {
                        self.letters.swap_remove(at);
                        return Ok(());
                    }
                    2..=4 => {
                        let late = self.letters.swap_remove(at);
                        self.late.push(late);
                        return Ok(());
                    }
                    _ => self.letters.swap_remove(at),
                };
                self.deliver(letter)
            }
            55..=56 if !self.late.is_empty() => {
                let at = self.below(self.late.len());
                let letter = self.late.swap_remove(at);
                self.deliver(letter)
            }
            0..=74 => {
                if let Some(voter) = self.any(voters, |w, voter| !w.sites[voter].unsynced.is_empty()) {
                    self.sync(voter);
                }
                Ok(())
            }
            75..=78 => {
                let trouble = self.trouble;
                if self.one_in(trouble) {
                    let voter = self.below(voters);
                    match self.below(4) {
                        0 => self.refuse_write(voter),
                        1..=2 => self.crash(voter),
                        _ => self.wipe(voter),
                    }
                }
                Ok(())
            }
            79..=86 => {
                let away = |w: &World, voter: usize| !matches!(w.sites[voter].voter, Voter::Up(_));
                match self.any(voters, away) {
                    Some(voter) if matches!(self.sites[voter].voter, Voter::Down) => self.restart(voter),
                    Some(voter) => self.ask_to_rejoin(voter),
                    None => {}
                }
                Ok(())
            }
            87..=97 => {
                let idle = |w: &World, caller: usize| {
                    matches!(
                        w.callers[caller].doing,
                        Doing::Nothing | Doing::Operating { backing_off: true, .. }
                    )
                };
                match self.any(callers, idle) {
                    Some(caller) if matches!(self.callers[caller].doing, Doing::Nothing) => {
                        self.begin(caller)
                    }
                    Some(caller) => self.go_on(caller),
                    None => Ok(()),
                }
            }
            98 => {
                let caller = self.below(callers);
                match &mut self.callers[caller].doing {
                    Doing::Operating { operation, .. } => {
                        let action = operation.over();
                        self.act(caller, action)
                    }
                    _ => self.give_up(caller),
                }
            }
            99 => {
                let caller = self.below(callers);
                match self.below(8) {
                    0 => self.replace_caller(caller),
                    1..=2 => self.give_up(caller)?,
                    _ => {}
                }
                Ok(())
            }
            _ => Ok(()),
        }
    }

    /// All come back and nothing is lost any more: a new caller reads, within so many rounds.
    fn settle(&mut self) -> Result<(), String> {
        for caller in 0..self.callers.len() {
            self.give_up(caller)?;
        }
        self.replace_caller(0);
        let floor = self.checker.chain.len();
        let operation = Box::new(Operation::new(None, self.lives, self.quorum, 0, Known::default()));
        self.callers[0].floor = floor;
        self.callers[0].doing = Doing::Operating { operation, id: None, backing_off: true };
        for _ in 0..40 {
            for voter in 0..self.quorum.voters {
                if matches!(self.sites[voter].voter, Voter::Down) {
                    self.restart(voter);
                }
                self.ask_to_rejoin(voter);
            }
            self.letters.append(&mut self.late);
            for letter in std::mem::take(&mut self.letters) {
                self.deliver(letter)?;
            }
            for voter in 0..self.quorum.voters {
                self.sync(voter);
            }
            match &self.callers[0].doing {
                Doing::Nothing => return self.checker.at_the_end(),
                Doing::Operating { backing_off: true, .. } => self.go_on(0)?,
                _ => {}
            }
        }
        Err("no reading came to an end though all were there".into())
    }
}

#[derive(Default)]
struct Tally {
    acknowledged: usize,
    never: usize,
    wiped: u32,
}

fn play(seed: u64, fault: Fault, tally: &mut Tally) -> Result<(), String> {
    let mut world = World::new(seed, fault);
    for _ in 0..600 {
        world.step()?;
    }
    world.settle()?;
    tally.acknowledged += world.checker.acknowledged.len();
    tally.never += world.checker.never.len();
    tally.wiped += world.wiped;
    Ok(())
}

fn schedules() -> std::ops::Range<u64> {
    let number = |name: &str| std::env::var(name).ok().and_then(|text| text.parse::<u64>().ok());
    match number("SEED") {
        Some(seed) => seed..seed + 1,
        None => 0..number("SCHEDULES").unwrap_or(2000),
    }
}

#[test]
fn schedules_keep_one_chain_and_lose_nothing() {
    let mut tally = Tally::default();
    let mut played = 0;
    for seed in schedules() {
        if let Err(what) = play(seed, Fault::Nothing, &mut tally) {
            panic!("SEED={seed}: {what}");
        }
        played += 1;
    }
    // They are about something.
    assert!(tally.acknowledged > 2 * played, "{} changes in {played} schedules", tally.acknowledged);
    assert!(tally.never > 0 && tally.wiped as usize > played / 2);
}

/// The first schedule in which the checker sees the fault.
fn caught(fault: Fault) -> Option<(u64, String)> {
    (0..2000).find_map(|seed| Some((seed, play(seed, fault, &mut Tally::default()).err()?)))
}

#[test]
fn a_forgetful_acceptor_is_caught() {
    assert!(caught(Fault::Forgetful).is_some());
}

#[test]
fn quorums_that_do_not_intersect_are_caught() {
    assert!(caught(Fault::HalfIsEnough).is_some());
}

#[test]
fn a_wiped_voter_that_votes_at_once_is_caught() {
    assert!(caught(Fault::VotesAtOnce).is_some());
}

#[test]
fn reading_what_is_not_chosen_is_caught() {
    assert!(caught(Fault::UnconfirmedReads).is_some());
}

// What chance seldom finds: votes from before a wipe that come in after it.

struct Three {
    voters: Vec<Option<Acceptor>>,
}

type PlainChange = fn(Option<&[u8]>, u64) -> Result<Vec<u8>, ()>;

fn operation(by: u64, highest: u64, change: PlainChange) -> Operation<PlainChange, ()> {
    Operation::new(Some(change), by, Quorum::of(3), highest, Known::default())
}

impl Three {
    fn new() -> Three {
        let names: Vec<String> = (0..3).map(|voter| voter.to_string()).collect();
        Three { voters: (0..3).map(|me| Some(Acceptor::founded(names.clone(), me, 7 << 32))).collect() }
    }

    fn prepare(&mut self, voter: usize, action: &Action<()>) -> Answer {
        assert_matches!(action, Action::Prepare(prepare) => {
            self.voters[voter].as_mut().unwrap().prepare(prepare).0
        })
    }

    fn accept(&mut self, voter: usize, action: &Action<()>) -> Answer {
        assert_matches!(action, Action::Accept(accept) => {
            self.voters[voter].as_mut().unwrap().accept(accept).0
        })
    }

    fn wipe_and_rejoin(&mut self, voter: usize) {
        let names = self.voters[voter].take().unwrap().kept().voters.clone();
        let mut rejoining = Rejoining::new(names, voter, 9 << 32);
        while self.voters[voter].is_none() {
            for (other, asked) in rejoining.ask() {
                let answer = self.voters[other].as_mut().unwrap().rejoin(&asked).0;
                if let Some(acceptor) = rejoining.report(&asked, other, answer) {
                    self.voters[voter] = Some(acceptor);
                }
            }
        }
    }
}

#[test]
fn an_acceptance_from_before_a_wipe_does_not_count_with_one_after_it() {
    let mut three = Three::new();
    let mut one = operation(1, 0, |_, _| Ok(b"one".to_vec()));
    let prepare = one.begin();
    let token = one.token();
    assert_eq!(one.answer(token, 0, three.prepare(0, &prepare)), Action::Wait);
    // Promises of 0 and 1; 0 accepts, and loses its disk before 1 accepts.
    let accept = one.answer(token, 1, three.prepare(1, &prepare));
    three.prepare(2, &prepare);
    let token = one.token();
    let before = three.accept(0, &accept);
    assert_eq!(one.answer(token, 0, before), Action::Wait);
    three.wipe_and_rejoin(0);
    // It counted a promise of 0 that is over now.
    assert_eq!(three.accept(1, &accept).verdict(), Verdict::Rejected);

    // The same with promises of 1 and 2.
    let mut two = operation(2, 1, |_, _| Ok(b"two".to_vec()));
    let prepare = two.begin();
    let token = two.token();
    assert_eq!(two.answer(token, 1, three.prepare(1, &prepare)), Action::Wait);
    let accept = two.answer(token, 2, three.prepare(2, &prepare));
    let token = two.token();
    let before = three.accept(0, &accept);
    three.wipe_and_rejoin(0);
    assert_eq!(two.answer(token, 0, before), Action::Wait);
    let after = three.accept(1, &accept);
    assert_eq!(after.verdict(), Verdict::Given);
    assert_eq!(two.answer(token, 1, after), Action::Wait);
    // 0 and 2 hold nothing, so it must not have been told as chosen; with the third it is.
    assert_eq!(three.voters[0].as_ref().unwrap().record(), None);
    let last = three.accept(2, &accept);
    assert_eq!(
        two.answer(token, 2, last),
        Action::Done(Outcome::Chosen(1, Some(Bytes::from_static(b"two"))))
    );
}

#[test]
fn a_promise_from_before_a_wipe_does_not_count_with_one_after_it() {
    let mut three = Three::new();
    let mut late = operation(1, 8, |_, _| Ok(b"late".to_vec()));
    let prepare = late.begin();
    let token = late.token();
    let before = three.prepare(0, &prepare);
    three.wipe_and_rejoin(0);
    // A lower round that 0 cannot know it must not take part in: chosen by 0 and 1.
    let mut low = operation(2, 0, |_, _| Ok(b"low".to_vec()));
    let asked = low.begin();
    let told = low.token();
    low.answer(told, 0, three.prepare(0, &asked));
    let accept = low.answer(told, 1, three.prepare(1, &asked));
    let told = low.token();
    low.answer(told, 0, three.accept(0, &accept));
    assert_matches!(low.answer(told, 1, three.accept(1, &accept)), Action::Done(Outcome::Chosen(1, _)));
    // 2 holds nothing, and neither did 0 when it promised.
    assert_eq!(late.answer(token, 0, before), Action::Wait);
    assert_eq!(late.answer(token, 2, three.prepare(2, &prepare)), Action::Wait);
    assert_matches!(late.answer(token, 1, three.prepare(1, &prepare)), Action::Accept(accept) => {
        assert_eq!((accept.record.edition, accept.counted[0]), (2, 0));
    });
}

#[test]
fn a_claim_of_a_dead_life_is_not_recorded_after_that_of_the_next() {
    let mut three = Three::new();
    let names = three.voters[0].take().unwrap().kept().voters.clone();
    let mut dead = Rejoining::new(names, 0, 11 << 32);
    let other = three.voters[1].as_mut().unwrap();
    let asked = dead.ask()[0].1;
    dead.report(&asked, 1, other.rejoin(&asked).0);
    let held_up = dead.ask()[0].1;
    assert_ne!(held_up.ticket, 0);
    three.voters[0] = Some(Acceptor::founded(vec!["0".into(), "1".into(), "2".into()], 0, 0));
    three.wipe_and_rejoin(0);
    let known = three.voters[1].as_ref().unwrap().kept().known[0];
    let (answer, write) = three.voters[1].as_mut().unwrap().rejoin(&held_up);
    assert_eq!((answer.verdict(), write, answer.known[0]), (Verdict::Rejected, Write::Nothing, known));
}

#[test]
fn a_change_found_made_by_an_earlier_round_is_not_made_again() {
    let mut three = Three::new();
    let mut one = operation(1, 0, |before, _| Ok([before.unwrap_or_default(), b"x"].concat()));
    let prepare = one.begin();
    let token = one.token();
    one.answer(token, 0, three.prepare(0, &prepare));
    let accept = one.answer(token, 1, three.prepare(1, &prepare));
    // Both accept and neither answer arrives; another one builds on it.
    three.accept(0, &accept);
    three.accept(1, &accept);
    assert_eq!(one.over(), Action::BackOff);
    let mut two = operation(2, 1, |before, _| Ok([before.unwrap_or_default(), b"y"].concat()));
    let asked = two.begin();
    let told = two.token();
    two.answer(told, 1, three.prepare(1, &asked));
    let accept = two.answer(told, 2, three.prepare(2, &asked));
    three.accept(1, &accept);
    let mut action = one.begin();
    // The other round is in the way, and known then.
    for voter in 1..3 {
        let answer = three.prepare(voter, &action);
        let next = one.answer(one.token(), voter, answer);
        if voter == 2 {
            assert_eq!(next, Action::BackOff);
        }
    }
    action = one.begin();
    let token = one.token();
    one.answer(token, 1, three.prepare(1, &action));
    let accept = one.answer(token, 2, three.prepare(2, &action));
    assert_matches!(&accept, Action::Accept(accept) => assert_eq!(&accept.record.value[..], b"xy"));
    let token = one.token();
    one.answer(token, 1, three.accept(1, &accept));
    let done = one.answer(token, 2, three.accept(2, &accept));
    assert_eq!(done, Action::Done(Outcome::Chosen(1, Some(Bytes::from_static(b"x")))));
}
