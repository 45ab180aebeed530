//! Following other processes' news, and telling them one's own. The rows' order is [`crate::state`]'s; here are the calls,
//! the waiting and the clock.

use crate::anti_entropy::Agreement;
use crate::messages::{call, Core, Decided, Follow, MemberRow, News, NoticeRow, ServerRow};
use crate::pause_detector::Awake;
use crate::state::{Book, Millis};
use bytes::Bytes;
use oatbank_node_runtime::log;
use oatbank_node_runtime::random::chance;
use oatbank_node_runtime::rpc::Link;
use prost::Message;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Words that change nothing are gathered for so long, ms.
const GATHER: Millis = 200.0;
/// That limiters act by a newer edition is gathered for so long, ms, where an order waits for it.
const SOON: Millis = 20.0;
/// Who asked a majority longer ago than this, ms, is not in touch with it.
pub const IN_TOUCH: Millis = 1500.0;
/// A call is given up so long after it should have been answered at the latest.
const PATIENCE: Duration = Duration::from_millis(700);

/// The steady clock of this process, in ms since its start.
#[derive(Clone, Copy, Debug)]
pub struct Steady {
    began: Instant,
    rate: f64,
}

impl Steady {
    /// Begins now, a little above 0: no moment is 0.
    pub fn start() -> Self {
        Steady::at_rate(1.0)
    }

    /// The same of a machine whose clock runs at another rate than it should.
    pub fn at_rate(rate: f64) -> Self {
        Steady { began: Instant::now(), rate }
    }

    /// Now.
    pub fn now(&self) -> Millis {
        1.0 + self.began.elapsed().as_secs_f64() * 1000.0 * self.rate
    }
}

/// What a follower has said it took in.
#[derive(Clone, Copy, Debug, Default)]
pub struct Seen {
    /// All of this life up to this.
    pub seen: u64,
    /// This edition.
    pub edition: u64,
    /// When it said so.
    pub at: Millis,
    /// It wants each word: a core machine.
    pub each: bool,
    /// The digest of the servers that it knew.
    pub digest: u64,
    /// Its address, where it is a core machine.
    pub core_ip: Option<Ipv4Addr>,
}

/// Called when servers or limiters changed in what they are used for, or an edition was taken.
pub type Hears = Rc<dyn Fn()>;

/// What this process knows and tells.
pub struct Knowledge {
    clock: Steady,
    book: RefCell<Book>,
    decided: RefCell<(u64, Rc<Decided>)>,
    core: RefCell<Core>,
    /// A majority was asked then, or later, and knew nothing newer than what is decided here.
    fresh: Cell<Option<Millis>>,
    /// What the system's time is ahead of this process's.
    ahead: Cell<Millis>,
    agreement: RefCell<Agreement>,
    /// None: this process keeps no watch over its own pauses.
    awake: Cell<Option<Awake>>,
    followers: RefCell<HashMap<String, Seen>>,
    /// Orders that wait for limiters to act.
    orders: Cell<usize>,
    stirred: Notify,
    hears: RefCell<Vec<Hears>>,
}

impl Knowledge {
    /// Knows nothing yet.
    pub fn new(clock: Steady, beat_every: Millis) -> Rc<Self> {
        Rc::new(Knowledge {
            clock,
            book: RefCell::new(Book::new(chance(), beat_every, clock.now())),
            decided: RefCell::default(),
            core: RefCell::default(),
            fresh: Cell::default(),
            ahead: Cell::default(),
            agreement: RefCell::new(Agreement::new(clock.now())),
            awake: Cell::default(),
            followers: RefCell::default(),
            orders: Cell::default(),
            stirred: Notify::new(),
            hears: RefCell::default(),
        })
    }

    /// Now.
    pub fn now(&self) -> Millis {
        self.clock.now()
    }

    /// The system's time: what the process that has run for longest, or followed one that had, has counted. All agree on
    /// it within the way between them, whatever their times of day are.
    pub fn time(&self) -> Millis {
        self.now() + self.ahead.get()
    }

    /// The clock.
    pub fn clock(&self) -> Steady {
        self.clock
    }

    /// Calls this from now on when something changed.
    pub fn on_change(&self, hears: Hears) {
        self.hears.borrow_mut().push(hears);
    }

    /// Looks at servers and limiters.
    pub fn with<T>(&self, look: impl FnOnce(&Book, Millis) -> T) -> T {
        look(&self.book.borrow(), self.now())
    }

    /// Changes servers and limiters, and tells who follows.
    pub fn change<T>(&self, how: impl FnOnce(&mut Book, Millis) -> T) -> T {
        let before = { (self.book.borrow().count(), self.book.borrow().changes()) };
        let done = how(&mut self.book.borrow_mut(), self.now());
        let after = { (self.book.borrow().count(), self.book.borrow().changes()) };
        if after != before {
            self.stir(after.1 != before.1);
        }
        done
    }

    fn stir(&self, changed: bool) {
        self.stirred.notify_waiters();
        if changed {
            let hears = self.hears.borrow().clone();
            hears.iter().for_each(|hears| hears());
        }
    }

    /// The newest edition known here; 0 before the first.
    pub fn edition(&self) -> u64 {
        self.decided.borrow().0
    }

    /// What is decided, as far as known here.
    pub fn decided(&self) -> Rc<Decided> {
        self.decided.borrow().1.clone()
    }

    /// Takes an edition, unless it is known already. One life never goes back.
    pub fn decide(&self, edition: u64, decided: Decided) {
        if edition > self.edition() {
            *self.decided.borrow_mut() = (edition, Rc::new(decided));
            self.stir(true);
        }
    }

    /// The core machines that vote, as far as known here.
    pub fn core(&self) -> Vec<Ipv4Addr> {
        self.core.borrow().ips.iter().map(|ip| Ipv4Addr::from(*ip)).collect()
    }

    /// Takes the core machines of this version, unless they are older than those known. Who follows hears of them.
    pub fn set_core(&self, version: u64, ips: impl Iterator<Item = Ipv4Addr>) {
        if version > self.core.borrow().version {
            *self.core.borrow_mut() = Core { version, ips: ips.map(u32::from).collect() };
        }
    }

    /// A majority was asked then and knew of nothing newer than `edition`.
    pub fn confirm(&self, at: Millis, edition: u64) {
        if self.edition() >= edition && self.fresh.get().is_none_or(|fresh| fresh < at) {
            self.fresh.set(Some(at));
        }
    }

    /// How long ago a majority was known to know of nothing newer.
    pub fn fresh_ago(&self) -> Option<Millis> {
        self.fresh.get().map(|at| (self.now() - at).max(0.0))
    }

    /// The moment as of which a majority is known to have known of nothing newer.
    pub fn fresh_at(&self) -> Option<Millis> {
        self.fresh.get()
    }

    /// This process runs: to be called every [`crate::pause_detector::PULSE`] from the first call on. For how long it stood
    /// still, if it did.
    pub fn pulse(&self) -> Option<Millis> {
        let mut awake = self.awake.get().unwrap_or_else(|| Awake::new(self.now()));
        let stood = awake.pulse(self.now());
        self.awake.set(Some(awake));
        stood
    }

    /// What is said to this process now was said now, and did not lie in a socket while it stood still.
    pub fn is_settled(&self) -> bool {
        self.awake.get().is_none_or(|awake| awake.is_settled(self.now()))
    }

    /// A majority was asked a short while ago.
    pub fn in_touch(&self) -> bool {
        self.fresh_ago().is_some_and(|ago| ago <= IN_TOUCH)
    }

    /// The control limiter that this process follows was found to know the same servers a short while ago.
    pub fn agrees(&self) -> bool {
        !self.agreement.borrow().is_past(self.now())
    }

    /// Compares what is known here with what a teller knows whose news were all taken in; whether to take
    /// everything anew.
    fn compare(&self, edition: u64, digest: u64) -> bool {
        let same = digest == self.book.borrow().digest();
        edition == self.edition() && self.agreement.borrow_mut().heard(self.now(), same)
    }

    /// What the follower of this name took in last.
    pub fn seen_by(&self, name: &str) -> Seen {
        self.followers.borrow().get(name).copied().unwrap_or_default()
    }

    /// Who follows this process, with what each took in last.
    pub fn followers(&self) -> Vec<(String, Seen)> {
        let mut all: Vec<_> =
            self.followers.borrow().iter().map(|(name, seen)| (name.clone(), *seen)).collect();
        all.sort_by(|a, b| a.0.cmp(&b.0));
        all
    }

    /// Waits until this holds of what followers took in, or the time is up; whether it holds.
    pub async fn wait_for(&self, within: Duration, holds: impl Fn(&HashMap<String, Seen>) -> bool) -> bool {
        let until = Instant::now() + within;
        loop {
            let stirred = self.stirred.notified();
            if holds(&self.followers.borrow()) {
                return true;
            }
            if tokio::time::timeout_at(until, stirred).await.is_err() {
                return holds(&self.followers.borrow());
            }
        }
    }

    /// Waits until all limiters with a session are known to act by an edition, or the time is up; who is behind then, by
    /// name. Other core machines tell soon which of theirs act, for as long as this waits.
    pub async fn acts(&self, within: Duration, edition: u64) -> Vec<String> {
        let _waits = Waits::new(&self.orders);
        let all = |_: &_| self.with(|book, now| book.behind(now, edition).next().is_none());
        if self.wait_for(within, all).await {
            return Vec::new();
        }
        self.with(|book, now| book.behind(now, edition).map(str::to_owned).collect())
    }

    /// Whether an order waits here for limiters to act.
    pub fn waits(&self) -> bool {
        self.orders.get() > 0
    }

    fn wanted(&self, follow: &Follow, each: bool, notices: bool) -> bool {
        self.edition() > follow.edition
            || self.book.borrow().has_news(follow.epoch, follow.seen, each, notices)
    }

    /// Answers a call, at once or when there is news.
    pub async fn answer(&self, follow: Follow) -> News {
        let came = self.now();
        if let Some(member) = &follow.member {
            self.change(|book, now| {
                book.member(now, &MemberRow { heard_ago: 0, lapsed: false, ..member.clone() })
            });
        }
        if !follow.notices.is_empty() {
            self.change(|book, now| follow.notices.iter().for_each(|row| _ = book.notice(now, row)));
        }
        if follow.epoch == self.book.borrow().epoch() {
            let (seen, edition, digest) = (follow.seen, follow.edition, follow.digest);
            let core_ip = (follow.core_ip != 0).then(|| Ipv4Addr::from(follow.core_ip));
            let seen = Seen { seen, edition, at: came, each: follow.each, digest, core_ip };
            self.followers.borrow_mut().insert(follow.name.clone(), seen);
            self.stirred.notify_waiters();
        } else if follow.each {
            // Another life of it: what it had taken in ended with the one before.
            self.followers.borrow_mut().remove(&follow.name);
        }
        let (hold, gather) = (f64::from(follow.hold), GATHER.min(f64::from(follow.hold)));
        loop {
            let stirred = self.stirred.notified();
            let waited = self.now() - came;
            let acted = follow.keen && self.book.borrow().acted() > follow.seen;
            if waited >= hold
                || self.wanted(&follow, false, false)
                || waited >= SOON && acted
                || waited >= gather && self.wanted(&follow, follow.each, !follow.plain)
            {
                break;
            }
            let until = match () {
                () if waited < SOON && acted => SOON,
                () if waited < gather => gather,
                () => hold,
            };
            let left = Duration::from_secs_f64((until - waited).max(0.5) / 1000.0);
            // Either it is woken, or looks again.
            let _ = tokio::time::timeout(left, stirred).await;
        }
        let now = self.now();
        let mut news = self.book.borrow().since(now, follow.epoch, follow.seen, follow.each);
        if follow.plain {
            news.notices.clear();
        }
        news.limiters = self.book.borrow().limiters(now);
        news.edition = self.edition();
        if news.edition > follow.edition {
            news.decided = Some((*self.decided()).clone());
        }
        news.fresh_ago = self.fresh_ago().map(|ago| ago.ceil() as u32);
        news.held = (now - came) as u32;
        news.time = self.time();
        news.core = Some(self.core.borrow().clone()).filter(|core| core.version > follow.core);
        news
    }

    /// Answers an encoded [`Follow`]. Who has just stood still takes in nothing, and says nothing: the follower asks
    /// another.
    pub async fn answer_bytes(&self, body: Bytes) -> Vec<u8> {
        if !self.is_settled() {
            return Vec::new();
        }
        match Follow::decode(body) {
            Ok(follow) => self.answer(follow).await.encode_to_vec(),
            // Of another version: it hears nothing, and says so in its log.
            Err(_) => Vec::new(),
        }
    }

    /// Takes in another's news; `asked` is when it was asked.
    pub fn hear(&self, asked: Millis, mut news: News) {
        // What lay here while this process stood still is as much older than it says.
        let late = self.now() - asked - f64::from(news.held) - PATIENCE.as_secs_f64() * 1000.0;
        if late > 0.0 {
            news.age(late.ceil() as u32);
        }
        self.ahead.set(self.ahead.get().max(news.time - self.now()));
        if let Some(decided) = &news.decided {
            self.decide(news.edition, decided.clone());
        }
        if let Some(core) = &news.core {
            self.set_core(core.version, core.ips.iter().map(|ip| Ipv4Addr::from(*ip)));
        }
        if let Some(ago) = news.fresh_ago {
            // It was sent no sooner than it was held, and is no older then than it says.
            self.confirm(asked + f64::from(news.held) - f64::from(ago), news.edition);
        }
        self.change(|book, now| book.merge(now, &news));
    }

    /// Takes in what a server said.
    pub fn server(&self, row: &ServerRow) -> crate::state::Word {
        self.change(|book, now| book.server(now, row))
    }
}

/// Counts an order for as long as it waits, whichever way that ends.
struct Waits<'a>(&'a Cell<usize>);

impl<'a> Waits<'a> {
    fn new(orders: &'a Cell<usize>) -> Self {
        orders.set(orders.get() + 1);
        Waits(orders)
    }
}

impl Drop for Waits<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Where a follower stands with one teller.
#[derive(Clone, Copy, Debug, Default)]
pub struct Place {
    /// The teller's life.
    pub epoch: u64,
    /// What was taken in of it.
    pub seen: u64,
}

/// What one call of a follower brought.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Heard {
    /// News, or that there are none. The teller was last told by a majority that it is up to date so long ago, ms.
    Told {
        /// None: never.
        fresh_ago: Option<u32>,
        /// How many limiters the teller counts.
        limiters: u32,
    },
    /// Nothing.
    Nothing,
}

/// What a follower says with a call.
#[derive(Clone, Debug, Default)]
pub struct Asking {
    /// The follower.
    pub name: String,
    /// It wants each word: a core machine.
    pub each: bool,
    /// Its address, where it is a core machine.
    pub core_ip: Option<Ipv4Addr>,
    /// The answer may be held so long, ms.
    pub hold: u32,
    /// Itself, where this is a session.
    pub member: Option<MemberRow>,
    /// What it has seen of servers.
    pub notices: Vec<NoticeRow>,
}

/// Asks once and takes in what comes.
pub async fn ask(known: &Knowledge, link: &Link, place: &mut Place, asking: Asking) -> Heard {
    let Asking { name, each, core_ip, hold, member, notices } = asking;
    let core_ip = core_ip.map_or(0, u32::from);
    let asked = known.now();
    let (epoch, seen, edition) = (place.epoch, place.seen, known.edition());
    let core = known.core.borrow().version;
    let (digest, session) = (known.with(|book, _| book.digest()), member.is_some());
    // Who is in touch with the core hears there what limiters have seen of servers.
    let plain = !each && !session && known.in_touch();
    let keen = each && known.waits();
    let follow = Follow {
        name,
        epoch,
        seen,
        edition,
        each,
        hold,
        member,
        notices,
        core,
        digest,
        plain,
        core_ip,
        keen,
    };
    let within = Duration::from_millis(u64::from(hold)) + PATIENCE;
    let answer = link.call(call::FOLLOW, follow.encode_to_vec(), within).await;
    let Some(news) = answer.ok().filter(|b| !b.is_empty()).and_then(|b| News::decode(b).ok()) else {
        return Heard::Nothing;
    };
    *place = Place { epoch: news.epoch, seen: news.seen };
    let (fresh_ago, limiters) = (news.fresh_ago, news.limiters);
    // Of another version, or itself behind: there is nothing to compare with.
    let comparable = session && news.digest != 0 && news.warm;
    let comparable = comparable && fresh_ago.is_some_and(|ago| f64::from(ago) <= IN_TOUCH);
    let (edition, digest) = (news.edition, news.digest);
    known.hear(asked, news);
    if comparable && known.compare(edition, digest) {
        log::info!("news: other servers are known here than at who is followed; all is taken in anew");
        *place = Place::default();
    }
    Heard::Told { fresh_ago, limiters }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn followers_hear_of_the_core_once_and_never_of_an_older_one() {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap();
        let (one, two) = (Knowledge::new(Steady::start(), 1500.0), Knowledge::new(Steady::start(), 1500.0));
        let ips = |last: u8| (1..=last).map(|n| Ipv4Addr::new(10, 0, 0, n));
        let tell = |from: &Knowledge, to: &Knowledge| {
            let follow = Follow { core: to.core.borrow().version, ..Follow::default() };
            let news = runtime.block_on(from.answer(follow));
            let told = news.core.is_some();
            to.hear(to.now(), news);
            told
        };
        assert!(!tell(&one, &two));
        one.set_core(1, ips(3));
        assert!(tell(&one, &two) && !tell(&one, &two));
        one.set_core(7, ips(5));
        assert!(!tell(&two, &one) && tell(&one, &two));
        two.set_core(6, ips(2));
        assert_eq!(two.core(), ips(5).collect::<Vec<_>>());
    }
}
