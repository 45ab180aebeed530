//! The register as other programs use it: rounds over links to the voters, on one thread, in a `LocalSet`.

use crate::messages::{kind, Answer, Ballot, Cast, Fetch, Here, Peek, Who};
use crate::proposer::{sight, Action, Known, Operation, Outcome, Task, Token, Turn};
use bytes::Bytes;
use oatbank_node_runtime::random::chance;
use oatbank_node_runtime::rpc::{Link, LinkError};
use prost::Message;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, Mutex};
use tokio::time::{sleep, timeout_at, Instant};

/// How long a question of a round waits for those that are slow.
pub const PHASE: Duration = Duration::from_millis(350);
/// The longest back-off between two rounds, in milliseconds.
const LONGEST_BACK_OFF: u64 = 240;

/// Why a change has no result.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChangeError<R> {
    /// The function refused what was chosen last. The change is not made and never will be.
    Refused(R),
    /// No majority could be reached in time. The change is not made and never will be.
    Unreachable,
    /// It may have been made, or may be made yet.
    Unknown,
}

impl<R: fmt::Debug> fmt::Display for ChangeError<R> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ChangeError::Refused(refusal) => write!(f, "refused: {refusal:?}"),
            ChangeError::Unreachable => f.write_str("not made: no majority could be reached"),
            ChangeError::Unknown => f.write_str("it may or may not have been made"),
        }
    }
}

impl<R: fmt::Debug> std::error::Error for ChangeError<R> {}

/// What a majority says it holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Peeked {
    /// The ballot a majority agrees on, otherwise the highest seen.
    pub ballot: Ballot,
    /// Its edition; 0 before the first change.
    pub edition: u64,
    /// Whether a majority agrees on it: then it is chosen, and nothing newer was chosen before the call began.
    pub agreed: bool,
    /// Whether the caller holds the value of this very ballot.
    pub known: bool,
}

type Never = std::convert::Infallible;
type NoChange = fn(Option<&[u8]>, u64) -> Result<Vec<u8>, Never>;
type Incoming = mpsc::UnboundedReceiver<(String, Result<Answer, LinkError>)>;

/// One program's access to the register.
pub struct Caller {
    by: u64,
    /// They vote where no record says otherwise.
    founders: RefCell<Cast>,
    links: RefCell<BTreeMap<SocketAddr, Rc<Link>>>,
    /// The highest round seen.
    highest: Rc<Cell<u64>>,
    known: Rc<RefCell<Known>>,
    /// The last one that was certainly chosen.
    confirmed: RefCell<Known>,
    chance: RefCell<Pcg64Mcg>,
    /// A proposer runs one operation at a time.
    turn: Mutex<()>,
}

impl fmt::Debug for Caller {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Caller({:x}, {:?})", self.by, self.cast())
    }
}

impl Caller {
    /// A caller that knows of no voters yet; `me` helps to tell callers apart.
    pub fn new(me: u64) -> Caller {
        let by = chance().wrapping_add(me);
        Caller {
            by,
            founders: RefCell::default(),
            links: RefCell::default(),
            highest: Rc::default(),
            known: Rc::default(),
            confirmed: RefCell::default(),
            chance: RefCell::new(Pcg64Mcg::seed_from_u64(by)),
            turn: Mutex::new(()),
        }
    }

    /// Takes what a program of the store says of the voters.
    pub fn learn(&self, here: &Here) {
        if self.founders.borrow().members.is_empty() {
            *self.founders.borrow_mut() = Cast::founders(&here.founders);
        }
        self.known.borrow_mut().learn_from(here);
    }

    /// The voters, as far as known; without members before any are.
    pub fn cast(&self) -> Cast {
        self.known.borrow().cast(&self.founders.borrow()).clone()
    }

    /// The newest record it was told of, chosen or not, with its ballot.
    pub fn known(&self) -> Known {
        self.known.borrow().clone()
    }

    /// How many voters are known.
    pub fn voters_count(&self) -> usize {
        self.known.borrow().cast(&self.founders.borrow()).members.len()
    }

    /// The addresses of the voters, as far as known.
    pub fn voters(&self) -> Vec<SocketAddr> {
        self.cast().names().iter().filter_map(|name| name.parse().ok()).collect()
    }

    /// Asks those at `among`, those whom they name, and the voters known, who votes. What each one said.
    pub async fn look(&self, among: &[SocketAddr], within: Duration) -> BTreeMap<SocketAddr, Here> {
        let until = Instant::now() + within;
        let (sender, mut answers) = mpsc::unbounded_channel::<(SocketAddr, Option<Here>)>();
        let mut asked: BTreeSet<SocketAddr> = BTreeSet::new();
        let mut next: Vec<SocketAddr> = among.to_vec();
        let mut pending = 0;
        let mut heard = BTreeMap::new();
        loop {
            next.extend(self.voters());
            for to in next.drain(..) {
                if asked.insert(to) {
                    pending += 1;
                    let (link, sender) = (self.link(to), sender.clone());
                    let known = self.known.borrow().ballot;
                    tokio::task::spawn_local(async move {
                        let _ = sender.send((to, who(&link, known, within).await));
                    });
                }
            }
            if pending == 0 {
                return heard;
            }
            let Ok(Some((at, here))) = timeout_at(until, answers.recv()).await else { return heard };
            pending -= 1;
            let Some(here) = here else { continue };
            self.learn(&here);
            if self.cast().members.is_empty() {
                next.extend(here.seeds.iter().filter_map(|seed| seed.parse::<SocketAddr>().ok()));
            }
            heard.insert(at, here);
        }
    }

    /// Changes who votes. Done once it is chosen, or was so already; `false` if it did not come so far in time.
    pub async fn recast(&self, turn: Turn, within: Duration) -> bool {
        let until = Instant::now() + within;
        let Ok(_turn) = timeout_at(until, self.turn.lock()).await else { return false };
        self.operate::<NoChange, Never>(Task::Turn(turn), until).await.is_ok()
    }

    fn link(&self, to: SocketAddr) -> Rc<Link> {
        self.links.borrow_mut().entry(to).or_insert_with(|| Link::new(to)).clone()
    }

    /// The newest edition and value that this caller knows to have been chosen.
    pub fn confirmed(&self) -> (u64, Option<Bytes>) {
        let confirmed = self.confirmed.borrow();
        (confirmed.edition(), confirmed.value().cloned())
    }

    /// Changes the value. `change` gets the newest one (`None` before the first) with its edition and gives the next
    /// or refuses; it may be asked several times. Gives the edition and the value that it made.
    pub async fn change<F, R>(&self, change: F, within: Duration) -> Result<(u64, Bytes), ChangeError<R>>
    where
        F: Fn(Option<&[u8]>, u64) -> Result<Vec<u8>, R>,
    {
        let until = Instant::now() + within;
        let Ok(_turn) = timeout_at(until, self.turn.lock()).await else {
            return Err(ChangeError::Unreachable);
        };
        match self.operate(Task::Change(change), until).await {
            Ok(Outcome::Chosen(edition, value)) => Ok((edition, value.unwrap_or_default())),
            Ok(Outcome::Refused(refusal)) => Err(ChangeError::Refused(refusal)),
            Ok(Outcome::Unknown) | Err(true) => Err(ChangeError::Unknown),
            Err(false) => Err(ChangeError::Unreachable),
        }
    }

    /// The newest edition and value at some moment during the call, both 0 and `None` before the first change; `None`
    /// where no majority answered in time. Without a change since the last reading, and with a majority that agrees,
    /// this is one question to the voters and nothing is written.
    pub async fn read(&self, within: Duration) -> Option<(u64, Option<Bytes>)> {
        let until = Instant::now() + within;
        for _ in 0..3 {
            let Some(peeked) = timeout_at(until, self.peek()).await.ok()? else { break };
            let known = peeked.known || timeout_at(until, self.fetch(peeked.ballot)).await.ok()?;
            match (peeked.agreed, known) {
                (true, true) => return Some(self.confirm()),
                // Other voters were in what came: they are asked once more.
                (false, true) if !peeked.known => {}
                _ => break,
            }
        }
        let _turn = timeout_at(until, self.turn.lock()).await.ok()?;
        match self.operate::<NoChange, Never>(Task::Read, until).await {
            Ok(Outcome::Chosen(edition, value)) => Some((edition, value)),
            _ => None,
        }
    }

    /// Asks each voter what it holds; those of the cast known, with what each one said in time.
    pub async fn roll(&self) -> (Cast, BTreeMap<String, Answer>) {
        let cast = self.cast();
        let mut answers = BTreeMap::new();
        let mut incoming = self.ask(&cast.names(), kind::PEEK, Peek {}.encode_to_vec());
        let until = Instant::now() + PHASE;
        while let Ok(Some((voter, answer))) = timeout_at(until, incoming.recv()).await {
            answers.extend(answer.ok().map(|answer| (voter, answer)));
        }
        (cast, answers)
    }

    /// Asks what a majority holds. Ends as soon as a majority agrees, otherwise after [`PHASE`] at the latest; `None`
    /// below a majority.
    pub async fn peek(&self) -> Option<Peeked> {
        let cast = self.cast();
        let mut answers: BTreeMap<String, Answer> = BTreeMap::new();
        let mut incoming = self.ask(&cast.names(), kind::PEEK, Peek {}.encode_to_vec());
        let until = Instant::now() + PHASE;
        let mut seen = None;
        while let Ok(Some((voter, answer))) = timeout_at(until, incoming.recv()).await {
            let Ok(answer) = answer else { continue };
            answers.insert(voter, answer);
            seen = sight(&cast, &answers);
            if seen.is_some_and(|sight| sight.agreed) {
                break;
            }
        }
        let seen = seen?;
        self.highest.set(self.highest.get().max(seen.highest));
        let known = self.known.borrow().ballot == seen.ballot;
        if seen.agreed && known {
            self.confirm();
        }
        Some(Peeked { ballot: seen.ballot, edition: seen.edition, agreed: seen.agreed, known })
    }

    fn confirm(&self) -> (u64, Option<Bytes>) {
        let known = self.known.borrow();
        let mut confirmed = self.confirmed.borrow_mut();
        if known.ballot > confirmed.ballot {
            confirmed.clone_from(&known);
        }
        (known.edition(), known.value().cloned())
    }

    /// Gets the record of this ballot from whoever has it; says whether it is what is known now.
    async fn fetch(&self, ballot: Ballot) -> bool {
        let fetch = Fetch { known: self.known.borrow().ballot };
        let mut incoming = self.ask(&self.cast().names(), kind::FETCH, fetch.encode_to_vec());
        let until = Instant::now() + PHASE;
        while let Ok(Some((_, answer))) = timeout_at(until, incoming.recv()).await {
            // A newer one may not be chosen yet; rounds may go on from it, but this reading is not it.
            match answer {
                Ok(answer) if answer.accepted == ballot => self.known.borrow_mut().learn(&answer),
                _ => continue,
            }
            if self.known.borrow().ballot == ballot {
                return true;
            }
        }
        false
    }

    /// Sends one question to these.
    fn ask(&self, whom: &[String], kind: u8, body: Vec<u8>) -> Incoming {
        let (sender, receiver) = mpsc::unbounded_channel();
        for voter in whom {
            let Ok(at) = voter.parse() else { continue };
            let (link, voter, sender, body) = (self.link(at), voter.clone(), sender.clone(), body.clone());
            tokio::task::spawn_local(async move {
                let call = link.call(kind, body, PHASE);
                // Whoever asked may have enough already; what is being sent is sent, but nobody waits for it.
                let answer = tokio::select! {
                    biased;
                    answer = call => answer,
                    () = sender.closed() => return,
                };
                let answer = answer.and_then(|answer| Answer::decode(answer).map_err(|_| LinkError::Lost));
                let _ = sender.send((voter, answer));
            });
        }
        receiver
    }

    /// `Err` says whether it may have been or may yet be chosen.
    async fn operate<F, R>(&self, task: Task<F>, until: Instant) -> Result<Outcome<R>, bool>
    where
        F: Fn(Option<&[u8]>, u64) -> Result<Vec<u8>, R>,
    {
        let known = self.known.borrow().clone();
        let mut operation =
            Operation::new(task, self.by, self.founders.borrow().clone(), self.highest.get(), known);
        let result = self.rounds(&mut operation, until).await;
        self.highest.set(self.highest.get().max(operation.highest()));
        if operation.known().ballot > self.known.borrow().ballot {
            self.known.borrow_mut().clone_from(operation.known());
        }
        match result {
            Some(outcome) => {
                if !matches!(outcome, Outcome::Unknown) {
                    self.confirm();
                }
                Ok(outcome)
            }
            None => Err(operation.open()),
        }
    }

    async fn rounds<F, R>(&self, operation: &mut Operation<F, R>, until: Instant) -> Option<Outcome<R>>
    where
        F: Fn(Option<&[u8]>, u64) -> Result<Vec<u8>, R>,
    {
        for round in 0u32.. {
            let before = operation.highest();
            let mut action = operation.begin();
            loop {
                // The numbers of a round are never used again, whatever becomes of this call.
                self.highest.set(self.highest.get().max(operation.highest()));
                let (kind, body) = match &action {
                    Action::Prepare(prepare) => (kind::PREPARE, prepare.encode_to_vec()),
                    Action::Accept(accept) => (kind::ACCEPT, accept.encode_to_vec()),
                    _ => break,
                };
                let token = operation.token();
                let incoming = self.ask(operation.whom(), kind, body);
                action = self.phase(operation, token, incoming, until).await?;
            }
            if let Action::Done(outcome) = action {
                return Some(outcome);
            }
            // The first time the round was only too low, mostly: it is known now, so there is nothing to wait for.
            if round > 0 || operation.highest() <= before + 1 {
                let longest = LONGEST_BACK_OFF.min(20 << round.min(8));
                let wait = self.chance.borrow_mut().next_u64() % longest;
                if timeout_at(until, sleep(Duration::from_millis(wait))).await.is_err() {
                    return None;
                }
            }
            if Instant::now() >= until {
                return None;
            }
        }
        None
    }

    /// Waits for the answers to one question; `None` when the operation's time is over.
    async fn phase<F, R>(
        &self,
        operation: &mut Operation<F, R>,
        token: Token,
        mut incoming: Incoming,
        until: Instant,
    ) -> Option<Action<R>>
    where
        F: Fn(Option<&[u8]>, u64) -> Result<Vec<u8>, R>,
    {
        let phase = Instant::now() + PHASE;
        loop {
            let action = match timeout_at(phase.min(until), incoming.recv()).await {
                Ok(Some((voter, Ok(answer)))) => operation.answer(token, &voter, answer),
                Ok(Some((voter, Err(_)))) => operation.failed(token, &voter),
                Ok(None) => operation.over(),
                Err(_) if Instant::now() >= until => return None,
                Err(_) => operation.over(),
            };
            if !matches!(action, Action::Wait) {
                return Some(action);
            }
        }
    }
}

/// Asks one program who votes.
pub async fn who(link: &Link, known: Ballot, within: Duration) -> Option<Here> {
    Here::decode(link.call(kind::WHO, Who { known }.encode_to_vec(), within).await.ok()?).ok()
}
