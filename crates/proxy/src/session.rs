//! This limiter's session with a control limiter, and the few other limiters whose news it follows.

use crate::counter_owner::keeper;
use oatbank_cluster_state::messages::{MemberRow, NoticeRow};
use oatbank_cluster_state::replication::{ask, Asking, Heard, Knowledge, Place, IN_TOUCH};
use oatbank_cluster_state::state::member_state;
use oatbank_node_runtime::log;
use oatbank_node_runtime::process::Told;
use oatbank_node_runtime::random::chance;
use oatbank_node_runtime::rpc::Link;
use oatbank_node_runtime::settings::place::{PROXY, REGISTRY};
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;

/// The control limiter's answer may be held so long, ms: well within a session.
const HOLD: u32 = 600;
/// Another is asked so soon after one has failed.
const AGAIN: Duration = Duration::from_millis(60);
/// How many other limiters are followed, the first of them in the own region where there is one, how long their answers may be held, ms, and when one that failed is replaced.
const FEW: u64 = 2;
const FEW_HOLD: u32 = 1500;
const FEW_AGAIN: Duration = Duration::from_millis(300);
/// Each is followed for so many calls; then the lot falls anew, so that no two groups keep to themselves.
const FEW_CALLS: u32 = 20;

/// Links to other processes, one each.
#[derive(Default)]
pub struct Links(RefCell<HashMap<SocketAddr, Rc<Link>>>);

impl Links {
    /// The link to this address.
    pub fn to(&self, address: SocketAddr) -> Rc<Link> {
        self.0.borrow_mut().entry(address).or_insert_with(|| Link::new(address)).clone()
    }
}

/// What this limiter says of itself, and to whom.
pub struct Session {
    known: Rc<Knowledge>,
    told: Rc<Told>,
    links: Rc<Links>,
    life: u64,
    beat: Cell<u64>,
    state: Cell<u32>,
    turned: Notify,
    /// With whom the session stands, and what was taken in there.
    with: Cell<Option<Ipv4Addr>>,
    place: Cell<Place>,
    /// What is to be told of servers.
    notices: RefCell<Vec<NoticeRow>>,
    noticed: Notify,
}

impl Session {
    /// No session yet.
    pub fn new(known: Rc<Knowledge>, told: Rc<Told>, links: Rc<Links>) -> Rc<Self> {
        let (life, beat, state) = (chance().max(1), Cell::new(0), Cell::new(member_state::STARTING));
        Rc::new(Session {
            known,
            told,
            links,
            life,
            beat,
            state,
            turned: Notify::new(),
            with: Cell::new(None),
            place: Cell::default(),
            notices: RefCell::default(),
            noticed: Notify::new(),
        })
    }

    /// It is about to end.
    pub fn is_leaving(&self) -> bool {
        self.state.get() == member_state::LEAVING
    }

    /// What it says of itself from now on; it is told at once. Who leaves does not come back.
    pub fn turn(&self, state: u32) {
        if !self.is_leaving() && self.state.replace(state) != state {
            self.turned.notify_waiters();
        }
    }

    /// Drawn at the start.
    pub fn life(&self) -> u64 {
        self.life
    }

    /// Tells this of servers, with the next call, and at once where it makes a server doubtful by itself.
    pub fn notice(&self, rows: Vec<NoticeRow>) {
        let strong = rows.iter().any(NoticeRow::is_strong);
        self.notices.borrow_mut().extend(rows);
        if strong {
            self.noticed.notify_one();
        }
    }

    /// What is to be told of servers now: of one server only the newest word counts.
    fn take_notices(&self) -> Vec<NoticeRow> {
        let mut rows = self.notices.take();
        rows.reverse();
        rows.sort_by(|a, b| a.server.cmp(&b.server));
        rows.dedup_by(|a, b| a.server == b.server);
        rows
    }

    /// It was not heard: it is told again, unless something newer is.
    fn put_back(&self, mut rows: Vec<NoticeRow>) {
        rows.append(&mut self.notices.borrow_mut());
        *self.notices.borrow_mut() = rows;
    }

    fn row(&self) -> MemberRow {
        let settings = self.told.settings();
        self.beat.set(self.beat.get() + 1);
        let front = settings.listen_on("front").map(|a| a.to_string()).unwrap_or_default();
        MemberRow {
            name: settings.node.clone(),
            life: self.life,
            beat: self.beat.get(),
            front,
            inner: settings.inner_address(PROXY).to_string(),
            zone: settings.zone.clone(),
            region: settings.region.clone(),
            state: self.state.get(),
            lapsed: false,
            heard_ago: 0,
            edition: self.known.edition(),
        }
    }

    /// The core machines: the seeds, and those that vote as far as is known.
    fn core(&self) -> Vec<Ipv4Addr> {
        let mut core: Vec<Ipv4Addr> = self.told.settings().seeds.iter().map(|s| *s.ip()).collect();
        for ip in self.known.core() {
            if !core.contains(&ip) {
                core.push(ip);
            }
        }
        core
    }

    async fn ask(&self, ip: Ipv4Addr, place: &mut Place, hold: u32) -> Heard {
        let settings = self.told.settings();
        let link = self.links.to(settings.inner_of(ip, REGISTRY));
        let (rows, member) = (self.take_notices(), Some(self.row()));
        let (name, notices) = (settings.node.clone(), rows.clone());
        let asking = Asking { name, hold, member, notices, ..Asking::default() };
        let heard = ask(&self.known, &link, place, asking).await;
        if heard == Heard::Nothing {
            self.put_back(rows);
        }
        heard
    }

    /// Holds a session, for the life of the process.
    pub async fn hold(self: Rc<Self>) {
        let (turning, noticing) = (self.clone(), self.clone());
        tokio::task::spawn_local(async move { noticing.tell_notices().await });
        tokio::task::spawn_local(async move { turning.tell_turns().await });
        let mut next: VecDeque<Ipv4Addr> = VecDeque::new();
        let mut places: HashMap<Ipv4Addr, Place> = HashMap::new();
        loop {
            if next.is_empty() {
                let settings = self.told.settings();
                next = self.core().into();
                // Limiters begin with different ones; which, is drawn by name.
                let name = settings.node.clone();
                next.make_contiguous().sort_by_key(|ip| lot(&name, *ip));
            }
            let Some(ip) = next.pop_front() else {
                tokio::time::sleep(FEW_AGAIN).await;
                continue;
            };
            let place = places.entry(ip).or_default();
            let mut first = true;
            loop {
                // The first answer is not waited for: it says whether this one is worth staying with.
                let heard = self.ask(ip, place, if first { 0 } else { HOLD }).await;
                let Heard::Told { fresh_ago, .. } = heard else { break };
                let behind = fresh_ago.is_none_or(|ago| f64::from(ago) > IN_TOUCH);
                if first && !behind {
                    log::info!("session: with {}, edition {}", ip, self.known.edition());
                }
                self.with.set(Some(ip));
                self.place.set(*place);
                if behind && !next.is_empty() || !self.core().contains(&ip) {
                    break;
                }
                if behind {
                    // Nobody is in touch: asked again, but not at once.
                    next.clear();
                    tokio::time::sleep(FEW_AGAIN).await;
                    break;
                }
                first = false;
            }
            if self.with.replace(None) == Some(ip) {
                log::info!("session: {} is left", ip);
            }
            tokio::time::sleep(AGAIN).await;
        }
    }

    /// A turn is told beside the call that may be held just now.
    async fn tell_turns(&self) {
        loop {
            self.turned.notified().await;
            for _ in 0..2 {
                if let Some(ip) = self.with.get() {
                    let _ = self
                        .ask(ip, &mut Place { epoch: self.known.with(|b, _| b.epoch()), seen: 0 }, 0)
                        .await;
                }
            }
        }
    }

    /// What makes a server doubtful is told beside the call that may be held just now.
    async fn tell_notices(&self) {
        loop {
            self.noticed.notified().await;
            if let Some(ip) = self.with.get() {
                let _ = self.ask(ip, &mut self.place.get(), 0).await;
            }
        }
    }

    /// Follows a few other limiters, for the life of the process.
    pub fn follow_few(self: &Rc<Self>) {
        for nth in 0..FEW {
            let session = self.clone();
            tokio::task::spawn_local(async move { session.follow_one(nth).await });
        }
    }

    async fn follow_one(&self, nth: u64) {
        let mut place = (SocketAddr::from(([0, 0, 0, 0], 0)), Place::default());
        let mut round = chance();
        loop {
            round = round.wrapping_add(1);
            let (name, region) = (self.told.settings().node, self.told.settings().region);
            let partner = self.known.with(|book, now| {
                // News comes in from afar by one; the way between regions is dear.
                let near =
                    nth == 0 && book.members(now).any(|(row, _)| row.region == region && row.name != name);
                let others = book.members(now).filter(|(row, _)| !row.lapsed && row.name != name);
                let others = others.filter(|(row, _)| !near || row.region == region);
                let others: Vec<(String, SocketAddr)> =
                    others.filter_map(|(row, _)| Some((row.name.clone(), row.inner.parse().ok()?))).collect();
                let drawn =
                    keeper(round.wrapping_mul(2 * nth + 1), others.iter().map(|(name, _)| name.as_str()))?;
                others.iter().find(|(name, _)| name == drawn).map(|(_, at)| *at)
            });
            let Some(partner) = partner else {
                tokio::time::sleep(FEW_AGAIN).await;
                continue;
            };
            if place.0 != partner {
                place = (partner, Place::default());
            }
            let link = self.links.to(partner);
            for _ in 0..FEW_CALLS {
                let asking = Asking { name: name.clone(), hold: FEW_HOLD, ..Asking::default() };
                if ask(&self.known, &link, &mut place.1, asking).await == Heard::Nothing {
                    tokio::time::sleep(FEW_AGAIN).await;
                    break;
                }
            }
        }
    }
}

fn lot(name: &str, ip: Ipv4Addr) -> u64 {
    name.bytes().fold(u64::from(u32::from(ip)), |x, b| {
        (x ^ u64::from(b)).wrapping_mul(0x9e37_79b9_7f4a_7c15).rotate_left(31)
    })
}
