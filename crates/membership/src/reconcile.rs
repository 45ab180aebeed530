//! From reads and watches to a list of servers.
//!
//! The caller keeps a session and carries out what [`Step::reads`] asks for, each read with a one-shot watch. It tells
//! the reconciler, in the order of its connection: answers, fired watches, and what becomes of the session.
//!
//! Guarantees, for any order, loss and repetition of events:
//! - a server is announced ready only if the last read of its node showed it so, and its folder's last read named it;
//! - a node that a read showed to be gone is announced gone in the same step: from then on the limiter counts as told;
//! - the list never goes back in time: a read that is older than what was seen is read again, and believed only
//!   once nothing newer has come for a whole [`Settings::settle`];
//! - while the service is away the list holds. Back after longer than [`Settings::settle`], a member that has not been
//!   seen again is kept that long once more: sessions have expired on both sides, and members come back one by one;
//! - once the session stands, reads are answered and nothing changes, the list is the tree's.

use crate::payload::{self, Reason};
use oatbank_engine::ports::membership::{Member, News};
use oatbank_limiter_core::interface::{Millis, ServerState};
use std::collections::hash_map::Entry;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::hash::Hash;
use std::net::SocketAddr;

/// Reads of nodes that are out at once: a herd of members is read in a bounded number of steps.
const MAX_CONCURRENT_READS: usize = 64;
/// A read that failed or was too old is made again after this, ms.
const RETRY_DELAY: Millis = 50.0;
/// The first list is told after this, ms, though some node has not been read.
const FIRST_LIST_DELAY: Millis = 1000.0;
/// A server that comes back within this, ms, at its address and without a start time is the same process.
const SAME_PROCESS_WINDOW: Millis = 60_000.0;

/// What the reconciler goes by.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// How long members take to come back after the service was away, ms: at least their session time-out.
    pub settle: Millis,
}

/// What to read, with a watch.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ReadRequest {
    /// The names in the folder.
    Children,
    /// One node.
    Data(String),
}

/// What has happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// The session stands, on a new connection: watches are to be set anew.
    Connected,
    /// The connection is lost, or the session has expired; reads that are out will not be answered.
    Lost,
    /// The folder was read.
    Children {
        /// The service's transaction at the read.
        zxid: i64,
        /// The names.
        names: Vec<String>,
    },
    /// A node was read.
    Data {
        /// Its name.
        name: String,
        /// The service's transaction at the read.
        zxid: i64,
        /// The transaction that created the node.
        created: i64,
        /// What it holds.
        bytes: Vec<u8>,
    },
    /// A node that was to be read is not there.
    NoNode {
        /// Its name.
        name: String,
        /// The service's transaction at the read.
        zxid: i64,
    },
    /// A read has failed; nothing is known by it.
    Failed(ReadRequest),
    /// A watch has fired: what was read may have changed.
    Fired(ReadRequest),
    /// [`Step::due`] has come.
    Due,
}

/// What comes of an event.
#[derive(Debug, Default)]
pub struct Step {
    /// What to read.
    pub reads: Vec<ReadRequest>,
    /// What to tell the engine.
    pub news: Option<News>,
    /// When [`Event::Due`] is to be told, if nothing comes before.
    pub due: Option<Millis>,
}

#[derive(Debug)]
struct Node {
    /// Not read since its watch fired or the connection was made.
    dirty: bool,
    reading: bool,
    /// The connection on which it was last named by the folder.
    listed_on: u64,
    /// The read of the folder that last named it.
    listed_by_read: u64,
    read_at: i64,
    created: i64,
    content: Option<Result<Member, Reason>>,
}

/// A node that claims an id or an address, and the transaction that created it; the newest holds it.
type Claim = (i64, String);

/// The folder's state, and the list that was told.
#[derive(Debug)]
pub struct Reconciler {
    settings: Settings,
    connected: bool,
    /// Counts connections.
    connection: u64,
    folder_dirty: bool,
    folder_reading: bool,
    folder_read_at: i64,
    /// Counts reads of the folder.
    folder_reads: u64,
    /// Since when reads have been older than what was seen.
    outdated_since: Option<Millis>,
    lost_at: Option<Millis>,
    settling_until: Millis,
    retry_at: Option<Millis>,
    nodes: BTreeMap<String, Node>,
    queue: VecDeque<String>,
    reading: usize,
    by_id: HashMap<String, BTreeSet<Claim>>,
    by_address: HashMap<SocketAddr, BTreeSet<Claim>>,
    announced: BTreeMap<String, Member>,
    first_due: Option<Millis>,
    started: bool,
    /// Servers that went: address, start, and when.
    removed: HashMap<String, (Option<SocketAddr>, Millis, Millis)>,
    current_at: Option<Millis>,
    changes: BTreeMap<String, Member>,
}

impl Reconciler {
    /// Knows nothing yet.
    pub fn new(settings: Settings) -> Self {
        Reconciler {
            settings,
            connected: false,
            connection: 0,
            folder_dirty: true,
            folder_reading: false,
            folder_read_at: i64::MIN,
            folder_reads: 0,
            outdated_since: None,
            lost_at: None,
            settling_until: f64::NEG_INFINITY,
            retry_at: None,
            nodes: BTreeMap::new(),
            queue: VecDeque::new(),
            reading: 0,
            by_id: HashMap::new(),
            by_address: HashMap::new(),
            announced: BTreeMap::new(),
            first_due: None,
            started: false,
            removed: HashMap::new(),
            current_at: None,
            changes: BTreeMap::new(),
        }
    }

    /// The list as it was told, by id.
    pub fn list(&self) -> &BTreeMap<String, Member> {
        &self.announced
    }

    /// Nodes that are left out, and why.
    pub fn left_out(&self) -> Vec<(&str, Reason)> {
        let reason = |(name, node): (&'_ String, &Node)| match node.content.as_ref()? {
            Err(reason) => Some(reason.clone()),
            Ok(member) => self.conflict(name, node, member),
        };
        self.nodes.iter().filter_map(|(name, node)| Some((name.as_str(), reason((name, node))?))).collect()
    }

    /// When the list was last known to be the tree's; none before the first time.
    pub fn current_at(&self) -> Option<Millis> {
        self.current_at
    }

    /// Takes in what has happened.
    pub fn handle(&mut self, now: Millis, event: Event) -> Step {
        match event {
            Event::Connected => self.connect(now),
            Event::Lost => self.disconnect(now),
            Event::Children { zxid, names } => self.handle_children(now, zxid, names),
            Event::Data { name, zxid, created, bytes } => self.handle_data(now, &name, zxid, created, &bytes),
            Event::NoNode { name, zxid } => self.handle_no_node(now, &name, zxid),
            Event::Failed(read) => self.handle_failed(now, read),
            Event::Fired(ReadRequest::Children) => self.folder_dirty = true,
            Event::Fired(ReadRequest::Data(name)) => self.mark_dirty(&name),
            Event::Due => self.handle_due(now),
        }
        self.step(now)
    }

    fn connect(&mut self, now: Millis) {
        self.connected = true;
        self.connection += 1;
        if self.lost_at.take().is_some_and(|at| now - at >= self.settings.settle) {
            self.settling_until = now + self.settings.settle;
        }
        (self.folder_dirty, self.folder_reading, self.reading) = (true, false, 0);
        self.queue.clear();
        for (name, node) in &mut self.nodes {
            (node.dirty, node.reading) = (true, false);
            self.queue.push_back(name.clone());
        }
    }

    fn disconnect(&mut self, now: Millis) {
        self.connected = false;
        self.lost_at.get_or_insert(now);
        (self.folder_reading, self.reading, self.retry_at) = (false, 0, None);
        self.nodes.values_mut().for_each(|node| node.reading = false);
        self.outdated_since = None;
    }

    /// A node is to be read.
    fn mark_dirty(&mut self, name: &str) {
        let Some(node) = self.nodes.get_mut(name) else { return };
        if !node.dirty {
            node.dirty = true;
            self.queue.push_back(name.to_owned());
        }
    }

    fn retry(&mut self, now: Millis) {
        self.retry_at.get_or_insert(now + RETRY_DELAY);
    }

    /// Whether a read is older than what was seen. One that stays so is believed in the end: the service's own
    /// history may have been set back.
    fn is_outdated(&mut self, now: Millis, zxid: i64, seen: i64) -> bool {
        if zxid >= seen {
            self.outdated_since = None;
            return false;
        }
        let since = *self.outdated_since.get_or_insert(now);
        if now - since < self.settings.settle {
            return true;
        }
        // Nothing that was seen before can be compared with what comes from now on.
        self.outdated_since = None;
        self.folder_read_at = i64::MIN;
        self.nodes.values_mut().for_each(|node| node.read_at = i64::MIN);
        false
    }

    fn handle_children(&mut self, now: Millis, zxid: i64, names: Vec<String>) {
        if !std::mem::take(&mut self.folder_reading) {
            return;
        }
        if self.is_outdated(now, zxid, self.folder_read_at) {
            self.folder_dirty = true;
            return self.retry(now);
        }
        self.folder_read_at = zxid;
        if !self.started && self.first_due.is_none() {
            self.first_due = Some(now + FIRST_LIST_DELAY);
        }
        self.folder_reads += 1;
        for name in names {
            let node = self.nodes.entry(name.clone()).or_insert_with(|| {
                let valid = payload::is_plain(&name);
                if valid {
                    self.queue.push_back(name);
                }
                let content = if valid { None } else { Some(Err(Reason::Name)) };
                Node {
                    dirty: valid,
                    reading: false,
                    listed_on: 0,
                    listed_by_read: 0,
                    read_at: i64::MIN,
                    created: 0,
                    content,
                }
            });
            (node.listed_on, node.listed_by_read) = (self.connection, self.folder_reads);
        }
        self.remove_unlisted(now);
    }

    /// Removes the nodes that the folder's last read, which was just made, did not name.
    fn remove_unlisted(&mut self, now: Millis) {
        let settling = now < self.settling_until;
        let gone = self.nodes.iter().filter(|(_, node)| {
            // While members come back, one that has not been seen on this connection yet may still do so.
            node.listed_by_read != self.folder_reads && (!settling || node.listed_on == self.connection)
        });
        let gone: Vec<String> = gone.map(|(name, _)| name.clone()).collect();
        gone.iter().for_each(|name| self.remove(now, name));
    }

    fn handle_data(&mut self, now: Millis, name: &str, zxid: i64, created: i64, bytes: &[u8]) {
        let Some(seen) = self.take_pending_read(name) else { return };
        if self.is_outdated(now, zxid, seen) {
            self.mark_dirty(name);
            return self.retry(now);
        }
        let held = payload::read(name, bytes).map(|(member, started)| self.with_start(now, member, started));
        self.index(name, false);
        if let Some(node) = self.nodes.get_mut(name) {
            (node.read_at, node.created) = (zxid, created);
            let before = node.content.replace(held);
            self.index(name, true);
            self.evaluate_change(now, name, before.and_then(Result::ok));
        }
    }

    /// A read of this node was out; what it has seen of it.
    fn take_pending_read(&mut self, name: &str) -> Option<i64> {
        let node = self.nodes.get_mut(name).filter(|node| node.reading)?;
        node.reading = false;
        self.reading = self.reading.saturating_sub(1);
        Some(node.read_at)
    }

    fn handle_no_node(&mut self, now: Millis, name: &str, zxid: i64) {
        let Some(seen) = self.take_pending_read(name) else { return };
        if self.is_outdated(now, zxid, seen.max(self.folder_read_at)) {
            self.mark_dirty(name);
            return self.retry(now);
        }
        // The folder's watch tells of it too, but later; and it is not yet back where members come back.
        if now >= self.settling_until || self.nodes.get(name).is_some_and(|n| n.listed_on == self.connection)
        {
            self.remove(now, name);
        }
        self.folder_dirty = true;
    }

    fn handle_failed(&mut self, now: Millis, read: ReadRequest) {
        match read {
            ReadRequest::Children => {
                if std::mem::take(&mut self.folder_reading) {
                    self.folder_dirty = true;
                }
            }
            ReadRequest::Data(name) => {
                if self.take_pending_read(&name).is_some() {
                    self.mark_dirty(&name);
                }
            }
        }
        self.retry(now);
    }

    fn handle_due(&mut self, now: Millis) {
        if self.retry_at.is_some_and(|at| now >= at) {
            self.retry_at = None;
        }
        if self.settling_until.is_finite() && now >= self.settling_until {
            self.settling_until = f64::NEG_INFINITY;
            // Believed now is what a read shows from here on.
            self.folder_dirty |= self.connected;
        }
    }

    /// The start time that is announced. One that is not told is not made up from the node's creation: a session that
    /// flaps creates it anew, and the process has not restarted.
    fn with_start(&self, now: Millis, member: Member, started: Option<Millis>) -> Member {
        if started.is_some() || !self.started {
            return member;
        }
        let known = self.announced.get(&member.id).filter(|m| m.address == member.address).map(|m| m.started);
        let past = self.removed.get(&member.id);
        let past =
            past.filter(|(address, _, at)| *address == member.address && now - at < SAME_PROCESS_WINDOW);
        // One that was never here has just come, and may be cold.
        let started = known.or(past.map(|(_, started, _)| *started)).unwrap_or(now);
        Member { started, ..member }
    }

    fn remove(&mut self, now: Millis, name: &str) {
        self.index(name, false);
        if let Some(node) = self.nodes.remove(name) {
            if node.reading {
                self.reading = self.reading.saturating_sub(1);
            }
            if let Some(Ok(member)) = node.content {
                self.evaluate_sharing(now, &member);
            }
        }
    }

    // ---- One id, one address: the newest node holds them ------------------------------------------

    fn index(&mut self, name: &str, add: bool) {
        let Some(node) = self.nodes.get(name) else { return };
        let Some(Ok(member)) = &node.content else { return };
        let claim = (node.created, name.to_owned());
        if let Some(address) = member.address {
            update_claim(&mut self.by_address, address, claim.clone(), add);
        }
        update_claim(&mut self.by_id, member.id.clone(), claim, add);
    }

    fn conflict(&self, name: &str, node: &Node, member: &Member) -> Option<Reason> {
        let key = (node.created, name.to_owned());
        let last = |set: Option<&BTreeSet<Claim>>| set.and_then(BTreeSet::last) == Some(&key);
        if !last(self.by_id.get(&member.id)) {
            return Some(Reason::SameId);
        }
        let address = member.address.and_then(|a| self.by_address.get(&a));
        (!last(address)).then_some(Reason::SameAddress)
    }

    fn evaluate_change(&mut self, now: Millis, name: &str, before: Option<Member>) {
        if let Some(before) = before {
            self.evaluate_sharing(now, &before);
        }
        let after = self.nodes.get(name).and_then(|n| n.content.clone()).and_then(Result::ok);
        if let Some(after) = after {
            self.evaluate_sharing(now, &after);
        }
    }

    /// Looks anew at all ids that this member's id and address bear on.
    fn evaluate_sharing(&mut self, now: Millis, member: &Member) {
        let sharing = member.address.and_then(|a| self.by_address.get(&a));
        let mut ids: BTreeSet<String> = sharing
            .into_iter()
            .flatten()
            .filter_map(|(_, name)| Some(self.nodes.get(name)?.content.as_ref()?.as_ref().ok()?.id.clone()))
            .collect();
        ids.insert(member.id.clone());
        ids.iter().for_each(|id| self.evaluate(now, id));
    }

    /// Tells what is now true of an id, if that is not what was told.
    fn evaluate(&mut self, now: Millis, id: &str) {
        let holder =
            self.by_id.get(id).and_then(BTreeSet::last).and_then(|(_, name)| self.nodes.get_key_value(name));
        let holds = holder.and_then(|(name, node)| match &node.content {
            Some(Ok(member)) if self.conflict(name, node, member).is_none() => Some(member.clone()),
            _ => None,
        });
        match holds {
            Some(member) => {
                if self.announced.get(id) != Some(&member) {
                    self.changes.insert(id.to_owned(), member.clone());
                    self.announced.insert(id.to_owned(), member);
                }
            }
            None => {
                if let Some(member) = self.announced.remove(id) {
                    self.removed.retain(|_, (_, _, at)| now - *at < SAME_PROCESS_WINDOW);
                    self.removed.insert(id.to_owned(), (member.address, member.started, now));
                    let gone = Member { state: ServerState::Gone, ..member };
                    self.changes.insert(id.to_owned(), gone);
                }
            }
        }
    }

    // ---- What comes of it -------------------------------------------------------------------------

    fn step(&mut self, now: Millis) -> Step {
        let mut step = Step::default();
        if self.connected && self.retry_at.is_none() {
            self.issue_reads(&mut step.reads);
        }
        let clean = self.connected && !self.folder_dirty && !self.folder_reading;
        let idle = clean && self.reading == 0 && self.queue.is_empty();
        if idle {
            self.current_at = Some(now);
        }
        let first = !self.started && self.first_due.is_some_and(|at| idle || now >= at);
        if first {
            self.started = true;
            self.changes.clear();
            step.news = Some(News::Complete(self.announced.values().cloned().collect()));
        } else if self.started && !self.changes.is_empty() {
            let changes = std::mem::take(&mut self.changes);
            step.news = Some(News::Changes(changes.into_values().collect()));
        }
        let settling = Some(self.settling_until).filter(|at| at.is_finite());
        let first = self.first_due.filter(|_| !self.started);
        let timers = [self.retry_at, settling, first];
        step.due = timers.into_iter().flatten().min_by(f64::total_cmp);
        step
    }

    fn issue_reads(&mut self, reads: &mut Vec<ReadRequest>) {
        if self.folder_dirty && !self.folder_reading {
            (self.folder_dirty, self.folder_reading) = (false, true);
            reads.push(ReadRequest::Children);
        }
        while self.reading < MAX_CONCURRENT_READS {
            let Some(name) = self.queue.pop_front() else { break };
            let Some(node) = self.nodes.get_mut(&name).filter(|n| n.dirty) else { continue };
            if node.reading {
                // The answer that is due may be older than the watch that fired: read once more after it.
                self.queue.push_back(name);
                break;
            }
            (node.dirty, node.reading) = (false, true);
            self.reading += 1;
            reads.push(ReadRequest::Data(name));
        }
    }
}

/// Adds a node's claim to what it claims, or takes it away.
fn update_claim<K: Eq + Hash>(claims: &mut HashMap<K, BTreeSet<Claim>>, key: K, claim: Claim, add: bool) {
    if add {
        claims.entry(key).or_default().insert(claim);
    } else if let Entry::Occupied(mut held) = claims.entry(key) {
        held.get_mut().remove(&claim);
        if held.get().is_empty() {
            held.remove();
        }
    }
}
