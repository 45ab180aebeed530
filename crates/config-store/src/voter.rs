//! A program of the store: answers calls, and sees to it that its machine votes and that those who are gone do not.

use crate::acceptor::{Acceptor, Write};
use crate::client::Caller;
use crate::membership::{leave, may_join, Gone, Watch};
use crate::messages::{kind, Accept, Answer, Ballot, Cast, Fetch, Here, Member, Prepare, Verdict, Who};
use crate::proposer::{Known, Turn};
use crate::storage::{DiskError, Place, Writes};
use bytes::Bytes;
use oatbank_node_runtime::log::{error, info, warn};
use oatbank_node_runtime::random::chance;
use oatbank_node_runtime::rpc::Answering;
use prost::Message;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::io::ErrorKind;
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{oneshot, Notify};
use tokio::time::{sleep, Instant};

/// How long others may take to say who votes, and a change of the voters to be made.
const ASKING: (Duration, Duration) = (Duration::from_millis(400), Duration::from_millis(1500));
/// One that ends tries this long to be let go, and so often.
const LEAVING: (Duration, usize) = (Duration::from_millis(600), 2);
/// How long it waits before it looks again: one that wants to vote, and one that does.
const AGAIN: (Duration, Duration) = (Duration::from_millis(200), Duration::from_secs(2));
/// The same where one is silent whom to let go would help.
const SOON: Duration = Duration::from_millis(500);
/// It says which voters are missing after so long without a majority of them, and again after so long.
const MISSING: (Duration, Duration) = (Duration::from_secs(10), Duration::from_secs(60));
/// The operator's word that the founders of this file found the register anew (see `docs/operators/core.md`).
const FOUND_AGAIN: &str = "found-again";

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
    /// How many machines may be lost at once, as the platform says.
    pub tolerates: usize,
}

enum Asked {
    Prepare(Prepare),
    Accept(Accept),
    /// Of its own program: to keep what it was told of, and to write in any case.
    Keep(Known),
}

/// The program, without its sockets.
pub struct Voter {
    address: SocketAddr,
    seeds: RefCell<Vec<SocketAddr>>,
    state: RefCell<(Acceptor, Box<dyn Writes>)>,
    pending: RefCell<Vec<(Asked, oneshot::Sender<Answer>)>>,
    wake: Notify,
    refusing: Cell<bool>,
    /// Looks again at once.
    stirred: Notify,
    tolerates: usize,
}

fn names(addresses: &[SocketAddr]) -> Vec<String> {
    addresses.iter().map(ToString::to_string).collect()
}

/// The founders that the operator names for a founding anew.
fn found_again(place: &dyn Place, terms: &Terms) -> Result<Option<BTreeSet<SocketAddr>>, DiskError> {
    let Some(text) = place.note(FOUND_AGAIN)? else { return Ok(None) };
    let path = terms.folder.join(FOUND_AGAIN);
    let words = text.split([',', ' ', '\n']).filter(|word| !word.is_empty());
    let port = terms.address.port();
    let founders: Result<BTreeSet<SocketAddr>, _> =
        words.map(|word| word.parse().map(|ip: IpAddr| SocketAddr::new(ip, port))).collect();
    let (path, own) = (path.display(), terms.address.ip());
    let refused = |what: String| DiskError::Refused(std::io::Error::new(ErrorKind::InvalidInput, what));
    match founders {
        _ if place.was_set_aside()? => Err(refused(format!(
            "{path}: a damaged file is beside it, so this machine has voted; take one away"
        ))),
        Ok(founders) if founders.contains(&terms.address) => Ok(Some(founders)),
        _ => Err(refused(format!(
            "{path}: {text:?}; allowed: the addresses of all founders, {own} among them, as 10.0.0.4,10.0.0.5"
        ))),
    }
}

impl Voter {
    /// Opens what is on the disk, or founds the register where this is the first start. What is found damaged is set
    /// aside. An error is one that may pass: try again.
    pub fn start(terms: Terms) -> Result<Rc<Voter>, DiskError> {
        let folder = terms.folder.clone();
        Voter::start_at(&folder, terms)
    }

    /// The same with its file at this place.
    pub fn start_at(place: &dyn Place, terms: Terms) -> Result<Rc<Voter>, DiskError> {
        let state = match place.open() {
            // Nothing was ever agreed with this disk.
            Ok(Some((disk, kept, None)))
                if kept.founders.is_empty() && found_again(place, &terms)?.is_some() =>
            {
                drop(disk);
                Voter::begin(place, &terms)?
            }
            Ok(Some((disk, kept, record))) => {
                let edition = record.as_ref().map_or(0, |record| record.edition);
                match Acceptor::restored(kept, record) {
                    Some(acceptor) => {
                        info!("store: Has its file, at edition {edition}.");
                        if place.forget_note(FOUND_AGAIN)? {
                            warn!("store: Does not follow {FOUND_AGAIN}: this machine holds its vote.");
                        }
                        (acceptor, disk)
                    }
                    None => Voter::damaged(place, &terms, "what it holds does not fit together")?,
                }
            }
            Ok(None) => Voter::begin(place, &terms)?,
            Err(DiskError::Damaged(what)) => Voter::damaged(place, &terms, &what)?,
            Err(error) => return Err(error),
        };
        Ok(Rc::new(Voter {
            address: terms.address,
            seeds: RefCell::new(terms.seeds),
            state: RefCell::new(state),
            pending: RefCell::default(),
            wake: Notify::new(),
            refusing: Cell::new(false),
            stirred: Notify::new(),
            tolerates: terms.tolerates.max(1),
        }))
    }

    /// Makes the file: a founder's at the first start, otherwise that of one that never voted with this disk.
    fn begin(place: &dyn Place, terms: &Terms) -> Result<(Acceptor, Box<dyn Writes>), DiskError> {
        let founders: BTreeSet<SocketAddr> = terms.seeds.iter().copied().collect();
        let first = terms.first_start && !place.was_set_aside()?;
        // The order to found anew holds for one disk, once.
        let again = found_again(place, terms)?;
        let acceptor = if let Some(founders) = &again {
            warn!("store: Founds the register anew, as {FOUND_AGAIN} says.");
            Acceptor::founded(names(&founders.iter().copied().collect::<Vec<_>>()))
        } else if first && founders.contains(&terms.address) {
            Acceptor::founded(names(&founders.iter().copied().collect::<Vec<_>>()))
        } else {
            Acceptor::fresh(chance())
        };
        let disk = place.create(acceptor.kept(), None)?;
        place.forget_note(FOUND_AGAIN)?;
        match acceptor.kept().founders.len() {
            0 => info!("store: Begins with an empty disk."),
            founders => info!("store: Founded with {founders} voters."),
        }
        Ok((acceptor, disk))
    }

    fn damaged(
        place: &dyn Place,
        terms: &Terms,
        what: &str,
    ) -> Result<(Acceptor, Box<dyn Writes>), DiskError> {
        error!("store: The file is damaged and set aside: {what}.");
        place.set_aside()?;
        Voter::begin(place, terms)
    }

    /// What answers calls.
    pub fn handler(self: &Rc<Voter>) -> Rc<dyn Fn(u8, Bytes) -> Answering> {
        let voter = self.clone();
        Rc::new(move |kind, body| voter.clone().handle(kind, body))
    }

    fn handle(self: Rc<Voter>, kind: u8, body: Bytes) -> Answering {
        let now = |answer: Vec<u8>| -> Answering { Box::pin(std::future::ready(answer)) };
        let asked = match kind {
            kind::WHO => {
                let seeds = names(&self.seeds.borrow());
                let here = Who::decode(body).map(|who| self.state.borrow().0.here(&who, seeds));
                let here = here.map(|here| Here { unable: self.refusing.get(), ..here });
                return now(here.unwrap_or_default().encode_to_vec());
            }
            kind::PEEK => return now(self.state.borrow().0.peek().encode_to_vec()),
            kind::FETCH => {
                let answer = Fetch::decode(body).map(|fetch| self.state.borrow().0.fetch(&fetch));
                return now(answer.unwrap_or_default().encode_to_vec());
            }
            kind::PREPARE => Prepare::decode(body).map(Asked::Prepare),
            kind::ACCEPT => Accept::decode(body).map(Asked::Accept),
            _ => return now(Vec::new()),
        };
        // What cannot be read is answered with the empty answer.
        let Ok(asked) = asked else { return now(Vec::new()) };
        let answer = self.put(asked);
        Box::pin(async move { answer.await.unwrap_or_default().encode_to_vec() })
    }

    /// Asks what needs the disk.
    fn put(&self, asked: Asked) -> oneshot::Receiver<Answer> {
        let (sender, receiver) = oneshot::channel();
        self.pending.borrow_mut().push((asked, sender));
        self.wake.notify_one();
        receiver
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
        let (acceptor, disk) = &mut *state;
        let before = acceptor.clone();
        let mut needed = Write::Nothing;
        let mut answers = Vec::with_capacity(asked.len());
        for (asked, sender) in asked {
            let (answer, write) = match &asked {
                Asked::Prepare(prepare) => acceptor.prepare(prepare),
                Asked::Accept(accept) => acceptor.accept(accept),
                Asked::Keep(Known { ballot, record }) => {
                    let write = record.as_ref().map(|record| acceptor.adopt(*ballot, record));
                    (acceptor.answer(Verdict::Given), write.unwrap_or(Write::Nothing).max(Write::Kept))
                }
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
                if acceptor.cast_made() != before.cast_made() && !acceptor.is_changing() {
                    // Others vote now.
                    self.stirred.notify_one();
                }
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

    /// Core machines to ask from now on.
    pub fn seeds(&self, seeds: Vec<SocketAddr>) {
        *self.seeds.borrow_mut() = seeds;
        self.stirred.notify_one();
    }

    /// What it holds itself.
    fn here(&self) -> Here {
        self.state.borrow().0.here(&Who { known: Ballot::default() }, Vec::new())
    }

    fn accepted(&self) -> Ballot {
        self.state.borrow().0.kept().accepted
    }

    fn me(&self) -> Member {
        Member { name: self.address.to_string(), id: self.state.borrow().0.kept().id }
    }

    /// Sees to it, without end, that this machine is one of the voters, and lets go of those that are gone for good.
    pub async fn look(self: Rc<Voter>) {
        let me = self.me();
        let caller = Caller::new(u64::from(self.address.port()));
        let began = Instant::now();
        let mut watch = Watch::new(self.tolerates);
        let mut said = Said::default();
        let mut missing = Missing::default();
        let mut held = self.accepted();
        loop {
            // What it holds itself is a hint as good as any other's.
            caller.learn(&self.here());
            let among = self.seeds.borrow().clone();
            let heard = caller.look(&among, ASKING.0).await;
            let cast = caller.cast();
            let votes = cast.members.contains(&me);
            // What is agreed is on its disk before it asks to be taken in; and soon where others agreed without it.
            let holds_cast = self.state.borrow().0.cast_made() == cast.made;
            let known = caller.known();
            let before = std::mem::replace(&mut held, self.accepted());
            if known.ballot > held && (!votes || !holds_cast || before == held) {
                let _ = self.put(Asked::Keep(known)).await;
            } else if self.refusing.get() {
                let _ = self.put(Asked::Keep(Known::default())).await;
            }
            let refuses = self.refusing.get();
            if !votes || self.state.borrow().0.cast_made() == cast.made {
                said.cast(&cast, &me);
            }
            let hears = hearing(&heard, &me);
            missing.look(began.elapsed(), &cast, &among, &hears);
            let mut wait = AGAIN.1;
            if cast.members.is_empty() || cast.is_changing() || may_join(&cast, &me, &hears) {
                let turn = Turn::TakeIn(me.clone());
                // Others that come in at the same moment would meet again without chance in it.
                wait = AGAIN.0.mul_f64(0.5 + chance() as f64 / u64::MAX as f64);
                if !refuses && !cast.members.is_empty() && caller.recast(turn, ASKING.1).await {
                    continue;
                }
            }
            match watch.look(began.elapsed(), &cast, &me, &hears) {
                Gone::Nobody => {}
                Gone::Soon => wait = wait.min(SOON),
                Gone::These(gone) => {
                    let gone_names: Vec<&str> = gone.iter().map(|member| &member.name[..]).collect();
                    warn!("store: Silent for long, and votes no more: {}.", gone_names.join(", "));
                    if caller.recast(Turn::LetGo(gone.clone(), cast.made), ASKING.1).await {
                        watch.has_let_go(&gone);
                    }
                }
            }
            tokio::select! {
                biased;
                () = sleep(wait) => {}
                () = self.stirred.notified() => {}
            }
        }
    }

    /// Votes no more, before an end in order, where the others bear as much without it: what is agreed is on a majority
    /// of theirs then. Otherwise its place is kept, as it may come back. [`Voter::look`] must have ended.
    pub async fn leave(&self) {
        let me = self.me();
        let caller = Caller::new(u64::from(self.address.port()));
        caller.learn(&self.here());
        // Three bear nothing more as two, and nobody has to be asked for that.
        for _ in 0..LEAVING.1 {
            if caller.cast().members.len() <= 3 && !caller.cast().is_changing() {
                return;
            }
            let heard = caller.look(&[], ASKING.0).await;
            let cast = caller.cast();
            let hears = hearing(&heard, &me);
            let absent: Vec<Member> = cast.members.iter().filter(|member| !hears(member)).cloned().collect();
            let goes = leave(&cast, &me, &absent, self.tolerates);
            if goes.is_empty() && !cast.is_changing() {
                return;
            }
            // A change that is under way is finished first.
            let names: Vec<&str> = goes.iter().map(|member| &member.name[..]).collect();
            if caller.recast(Turn::LetGo(goes.clone(), cast.made), LEAVING.0).await && !goes.is_empty() {
                info!("store: Is let go before its end, the others bear as much: {}.", names.join(", "));
                return;
            }
        }
    }
}

/// Who was heard just now, with the disk that is named, and one that takes writes.
fn hearing<'a>(heard: &'a BTreeMap<SocketAddr, Here>, me: &'a Member) -> impl Fn(&Member) -> bool + 'a {
    move |member| {
        let at = member.name.parse::<SocketAddr>().ok();
        let here = at.and_then(|at| heard.get(&at));
        here.is_some_and(|here| here.id == member.id && !here.unable) || member == me
    }
}

/// Says which voters are missing where there is no majority of them for long.
#[derive(Default)]
struct Missing {
    since: Option<Duration>,
    said: Option<Duration>,
}

impl Missing {
    fn look(&mut self, now: Duration, cast: &Cast, among: &[SocketAddr], hears: impl Fn(&Member) -> bool) {
        if cast.quorum(&hears) {
            *self = Missing::default();
            return;
        }
        let since = now - *self.since.get_or_insert(now);
        if since < MISSING.0 || self.said.is_some_and(|said| now - said < MISSING.1) {
            return;
        }
        self.said = Some(now);
        let seconds = since.as_secs();
        if cast.members.is_empty() {
            let among = names(among).join(", ");
            warn!("store: For {seconds} s nobody says who votes, also none of {among}. If nothing was ever agreed, see {FOUND_AGAIN} in docs/operators/core.md.");
            return;
        }
        let all =
            cast.members.iter().chain(cast.before.iter().filter(|member| !cast.members.contains(member)));
        let silent: Vec<&str> = all.filter(|member| !hears(member)).map(|member| &member.name[..]).collect();
        let silent = silent.join(", ");
        warn!("store: For {seconds} s no majority of the voters is there: {silent} are silent, or back without the disk that voted.");
    }
}

/// What was said of the voters last, so that it is said once.
#[derive(Default)]
struct Said(Option<(Ballot, bool)>);

impl Said {
    fn cast(&mut self, cast: &Cast, me: &Member) {
        let votes = cast.members.contains(me);
        if cast.members.is_empty() || cast.is_changing() || self.0 == Some((cast.made, votes)) {
            return;
        }
        let before = self.0.replace((cast.made, votes)).map(|(_, votes)| votes);
        let voters: Vec<&str> = cast.members.iter().map(|member| &member.name[..]).collect();
        let voters = voters.join(", ");
        match (before, votes) {
            (None, true) => info!("store: Votes; the voters are {voters}."),
            (Some(true), true) => info!("store: The voters are {voters} now."),
            (Some(false), true) => info!("store: Is taken in and votes; the voters are {voters}."),
            (Some(true), false) => warn!("store: Votes no more, and asks to be taken in again."),
            (_, false) => info!("store: Does not vote yet; the voters are {voters}."),
        }
    }
}
