//! A program of the store: answers calls, votes if it is a voter, looks for the voters if it doesn't know them.

use crate::acceptor::{Acceptor, Rejoining, Write};
use crate::caller::{chance, who};
use crate::disk::{Disk, DiskError};
use crate::wire::{kind, Accept, Answer, Fetch, Here, Prepare, Rejoin, Standing, Verdict};
use bytes::Bytes;
use greenroom::link::{Answering, Link};
use greenroom::log::{error, info};
use prost::Message;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, Notify};
use tokio::time::{sleep, timeout_at, Instant};

/// How long a voter that looks for others waits for their answers.
const ASKING: Duration = Duration::from_millis(400);
/// How long it waits before it asks again: a voter that lost its disk, and one that has only to know who votes.
const AGAIN: (Duration, Duration) = (Duration::from_millis(200), Duration::from_secs(5));

/// What a program of the store has to be told.
#[derive(Clone, Debug)]
pub struct Terms {
    /// Where it listens; voters are named so.
    pub address: SocketAddr,
    /// The store's programs it knows of, with the same port.
    pub seeds: Vec<SocketAddr>,
    /// Whether this is the first start of the whole system: the seeds found the register.
    pub first_start: bool,
    /// Where its file is.
    pub folder: PathBuf,
}

enum Asked {
    Prepare(Prepare),
    Accept(Accept),
    Rejoin(Rejoin),
}

enum State {
    Outside(Vec<String>),
    Rejoining(Rejoining),
    Voting(Acceptor, Disk),
}

/// The program, without its sockets.
pub struct Voter {
    terms: Terms,
    state: RefCell<State>,
    pending: RefCell<Vec<(Asked, oneshot::Sender<Answer>)>>,
    wake: Notify,
    refusing: Cell<bool>,
}

fn names(addresses: &[SocketAddr]) -> Vec<String> {
    addresses.iter().map(ToString::to_string).collect()
}

impl Voter {
    /// Opens what is on the disk, or founds the register where this is the first start. What is found damaged is set
    /// aside. An error is one that may pass: try again.
    pub fn start(terms: Terms) -> Result<Rc<Voter>, DiskError> {
        let state = match Disk::open(&terms.folder) {
            Ok(Some((disk, kept, record))) => {
                let edition = record.as_ref().map_or(0, |record| record.edition);
                match Acceptor::restored(kept, record, chance(edition)) {
                    Some(acceptor) => {
                        info!("store: Votes again, at edition {edition}.");
                        State::Voting(acceptor, disk)
                    }
                    None => Voter::damaged(&terms, "what it holds does not fit together")?,
                }
            }
            Ok(None) if terms.first_start => Voter::found(&terms)?,
            Ok(None) => State::Outside(Vec::new()),
            Err(DiskError::Damaged(what)) => Voter::damaged(&terms, &what)?,
            Err(error) => return Err(error),
        };
        Ok(Rc::new(Voter {
            terms,
            state: RefCell::new(state),
            pending: RefCell::default(),
            wake: Notify::new(),
            refusing: Cell::new(false),
        }))
    }

    fn found(terms: &Terms) -> Result<State, DiskError> {
        let founders: BTreeSet<SocketAddr> = terms.seeds.iter().copied().collect();
        let voters = names(&founders.iter().copied().collect::<Vec<_>>());
        let Some(me) = founders.iter().position(|founder| *founder == terms.address) else {
            info!("store: Does not vote: the first start names {}.", voters.join(", "));
            return Ok(State::Outside(voters));
        };
        let acceptor = Acceptor::founded(voters, me, chance(u64::from(terms.address.port())));
        let disk = Disk::create(&terms.folder, acceptor.kept(), None)?;
        info!("store: Founded with {} voters.", founders.len());
        Ok(State::Voting(acceptor, disk))
    }

    fn damaged(terms: &Terms, what: &str) -> Result<State, DiskError> {
        error!("store: The file is damaged and set aside: {what}.");
        Disk::set_aside(&terms.folder)?;
        Ok(State::Outside(Vec::new()))
    }

    /// What answers calls.
    pub fn handler(self: &Rc<Voter>) -> Rc<dyn Fn(u8, Bytes) -> Answering> {
        let voter = self.clone();
        Rc::new(move |kind, body| voter.clone().handle(kind, body))
    }

    fn handle(self: Rc<Voter>, kind: u8, body: Bytes) -> Answering {
        let now = |answer: Vec<u8>| -> Answering { Box::pin(std::future::ready(answer)) };
        let asked = match kind {
            kind::WHO => return now(self.here().encode_to_vec()),
            kind::PEEK | kind::FETCH => {
                let answer = match (&*self.state.borrow(), kind) {
                    (State::Voting(acceptor, _), kind::PEEK) => acceptor.peek(),
                    (State::Voting(acceptor, _), _) => match Fetch::decode(body) {
                        Ok(fetch) => acceptor.fetch(&fetch),
                        Err(_) => Answer::default(),
                    },
                    _ => Answer::default(),
                };
                return now(answer.encode_to_vec());
            }
            kind::PREPARE => Prepare::decode(body).map(Asked::Prepare),
            kind::ACCEPT => Accept::decode(body).map(Asked::Accept),
            kind::REJOIN => Rejoin::decode(body).map(Asked::Rejoin),
            _ => return now(Vec::new()),
        };
        // Who doesn't vote, and what cannot be read, is answered with the empty answer.
        let (Ok(asked), State::Voting(..)) = (asked, &*self.state.borrow()) else { return now(Vec::new()) };
        let (sender, receiver) = oneshot::channel();
        self.pending.borrow_mut().push((asked, sender));
        self.wake.notify_one();
        Box::pin(async move { receiver.await.unwrap_or_default().encode_to_vec() })
    }

    fn here(&self) -> Here {
        let seeds = names(&self.terms.seeds);
        match &*self.state.borrow() {
            State::Outside(voters) => {
                Here { voters: voters.clone(), standing: Standing::Outside as i32, incarnation: 0, seeds }
            }
            State::Rejoining(rejoining) => Here {
                voters: rejoining.voters().to_vec(),
                standing: Standing::Rejoining as i32,
                incarnation: rejoining.incarnation(),
                seeds,
            },
            State::Voting(acceptor, _) => Here {
                voters: acceptor.kept().voters.clone(),
                standing: Standing::Voting as i32,
                incarnation: acceptor.kept().incarnation,
                seeds,
            },
        }
    }

    /// Votes, without end. All that has come in is answered after one write.
    pub async fn vote(self: Rc<Voter>) {
        loop {
            self.wake.notified().await;
            self.batch();
        }
    }

    fn batch(&self) {
        let asked = self.pending.take();
        let mut state = self.state.borrow_mut();
        let State::Voting(acceptor, disk) = &mut *state else { return };
        let before = acceptor.clone();
        let mut needed = Write::Nothing;
        let mut answers = Vec::with_capacity(asked.len());
        for (asked, sender) in asked {
            let (answer, write) = match &asked {
                Asked::Prepare(prepare) => acceptor.prepare(prepare),
                Asked::Accept(accept) => acceptor.accept(accept),
                Asked::Rejoin(rejoin) => acceptor.rejoin(rejoin),
            };
            needed = needed.max(write);
            answers.push((answer, sender));
        }
        let written = match needed {
            Write::Nothing => Ok(()),
            _ => disk.write(acceptor.kept(), acceptor.record(), needed == Write::Record),
        };
        match written {
            Ok(()) => {
                if needed != Write::Nothing && self.refusing.replace(false) {
                    info!("store: The disk takes writes again.");
                }
                for (answer, sender) in answers {
                    let _ = sender.send(answer);
                }
            }
            Err(error) => {
                if !self.refusing.replace(true) {
                    error!("store: Gives no votes: {error}.");
                }
                *acceptor = before;
                for (_, sender) in answers {
                    let _ = sender.send(acceptor.answer(Verdict::Unable));
                }
            }
        }
    }

    /// Looks for the voters as long as this is not one that votes: a voter that has lost its disk learns from the
    /// others what it may have promised and accepted, and votes again.
    pub async fn look(self: Rc<Voter>) {
        let mut links: BTreeMap<SocketAddr, Rc<Link>> = BTreeMap::new();
        let mut named: BTreeSet<SocketAddr> = self.terms.seeds.iter().copied().collect();
        loop {
            let known = match &*self.state.borrow() {
                State::Voting(..) => return,
                State::Outside(voters) => !voters.is_empty(),
                State::Rejoining(_) => true,
            };
            if matches!(*self.state.borrow(), State::Rejoining(_)) {
                if !self.rejoin(&mut links).await {
                    sleep(AGAIN.0).await;
                }
                continue;
            }
            named.remove(&self.terms.address);
            for address in &named {
                links.entry(*address).or_insert_with(|| Link::new(*address));
            }
            match self.find(&links, &mut named).await {
                Some(voters) => self.found_voters(voters, known),
                None if !known => sleep(AGAIN.0).await,
                None => {}
            }
            if matches!(&*self.state.borrow(), State::Outside(voters) if !voters.is_empty()) {
                sleep(AGAIN.1).await;
            }
        }
    }

    fn chance(&self) -> u64 {
        chance(u64::from(self.terms.address.port()))
    }

    fn found_voters(&self, voters: Vec<String>, known: bool) {
        let me = self.terms.address.to_string();
        let mut state = self.state.borrow_mut();
        match voters.iter().position(|voter| *voter == me) {
            Some(me) => {
                info!("store: Has lost its disk: asks the other voters.");
                *state = State::Rejoining(Rejoining::new(voters, me, self.chance()));
            }
            None => {
                if !known {
                    info!("store: Does not vote: the voters are {}.", voters.join(", "));
                }
                *state = State::Outside(voters);
            }
        }
    }

    /// Asks all that are known who votes, and notes whom else they name.
    async fn find(
        &self,
        links: &BTreeMap<SocketAddr, Rc<Link>>,
        named: &mut BTreeSet<SocketAddr>,
    ) -> Option<Vec<String>> {
        let (sender, mut answers) = mpsc::unbounded_channel();
        for link in links.values() {
            let (link, sender) = (link.clone(), sender.clone());
            tokio::task::spawn_local(async move {
                if let Some(here) = who(&link, ASKING).await {
                    let _ = sender.send(here);
                }
            });
        }
        drop(sender);
        while let Some(here) = answers.recv().await {
            let others = here.voters.iter().chain(&here.seeds);
            named.extend(others.filter_map(|name| name.parse::<SocketAddr>().ok()));
            if !here.voters.is_empty() {
                return Some(here.voters);
            }
        }
        None
    }

    /// Asks the other voters, each twice: for its ticket and for its report. Says whether this one votes now.
    async fn rejoin(&self, links: &mut BTreeMap<SocketAddr, Rc<Link>>) -> bool {
        let (sender, mut answers) = mpsc::unbounded_channel();
        let mut asked_of = BTreeMap::new();
        let until = Instant::now() + 2 * ASKING;
        loop {
            if let State::Rejoining(rejoining) = &*self.state.borrow() {
                for (voter, asked) in rejoining.ask() {
                    let Ok(address) = rejoining.voters()[voter].parse::<SocketAddr>() else { continue };
                    if asked_of.insert(voter, asked) == Some(asked) {
                        continue;
                    }
                    let link = links.entry(address).or_insert_with(|| Link::new(address)).clone();
                    let sender = sender.clone();
                    tokio::task::spawn_local(async move {
                        let answer = link.call(kind::REJOIN, asked.encode_to_vec(), ASKING).await;
                        if let Some(answer) = answer.ok().and_then(|answer| Answer::decode(answer).ok()) {
                            let _ = sender.send((voter, asked, answer));
                        }
                    });
                }
            }
            let Ok(Some((voter, asked, answer))) = timeout_at(until, answers.recv()).await else {
                return false;
            };
            let mut state = self.state.borrow_mut();
            let State::Rejoining(rejoining) = &mut *state else { return false };
            let Some(acceptor) = rejoining.report(&asked, voter, answer) else { continue };
            match Disk::create(&self.terms.folder, acceptor.kept(), acceptor.record()) {
                Ok(disk) => {
                    let edition = acceptor.record().map_or(0, |record| record.edition);
                    info!("store: Has rejoined and votes, at edition {edition}.");
                    *state = State::Voting(acceptor, disk);
                    return true;
                }
                Err(error) => {
                    // What was reported may be old by the next try, so it begins again.
                    error!("store: Cannot rejoin yet: {error}.");
                    let (voters, me) = (rejoining.voters().to_vec(), acceptor.kept().me as usize);
                    *state = State::Rejoining(Rejoining::new(voters, me, self.chance()));
                    return false;
                }
            }
        }
    }
}
