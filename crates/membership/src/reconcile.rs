//! Derives the list of servers from reads and watches of a coordinator's folder.
//!
//! The caller keeps a session and executes the reads in [`Step::reads`], each with a one-shot watch. It reports answers, fired
//! watches and session events to the reconciler in the order of its connection.
//!
//! Guarantees, for any order, loss and repetition of events:
//! - a server is announced as ready only if the last read of its node shows it as ready and the last read of the folder
//!   lists the node;
//! - a node that a read shows to be gone is announced as gone in the same step: from then on the limiter counts as informed;
//! - the list never goes back in time: a read that is older than an earlier one is repeated, and accepted only after no
//!   newer one has arrived for [`Settings::settle`];
//! - the list holds while the service is unavailable. After an outage longer than [`Settings::settle`], members not listed
//!   again are kept for that time once more: sessions have expired on both sides, and members register again one by one;
//! - once the session is established, reads are answered and nothing changes, the list equals the tree.

use crate::payload::{self, Reason};
use oatbank_engine::ports::membership::{Member, News};
use oatbank_limiter_core::interface::{Millis, ServerState};
use std::collections::hash_map::Entry;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::hash::Hash;
use std::net::SocketAddr;

/// Maximum number of concurrent node reads, so that many new members do not cause a burst of reads.
const MAX_CONCURRENT_READS: usize = 64;
/// Delay in ms before a failed or outdated read is repeated.
const RETRY_DELAY: Millis = 50.0;
/// Time in ms after which the first list is announced even if some nodes have not been read.
const FIRST_LIST_DELAY: Millis = 1000.0;
/// Time in ms within which a server that returns at the same address, without a start time, counts as the same process.
const SAME_PROCESS_WINDOW: Millis = 60_000.0;

/// Settings of the reconciler.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Time in ms that members take to register again after an outage of the service: at least their session timeout.
    pub settle: Millis,
}

/// A read with a watch that the caller has to execute.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ReadRequest {
    /// The names in the folder.
    Children,
    /// The content of one node.
    Data(String),
}

/// An event that the caller reports.
#[derive(Clone, Debug)]
pub enum Event {
    /// The session is established on a new connection; watches have to be set again.
    Connected,
    /// The connection is lost, or the session has expired; pending reads will not be answered.
    Lost,
    /// The folder was read.
    Children {
        /// The service's last transaction at the time of the read.
        zxid: i64,
        /// The names.
        names: Vec<String>,
    },
    /// A node was read.
    Data {
        /// Its name.
        name: String,
        /// The service's last transaction at the time of the read.
        zxid: i64,
        /// The transaction that created the node.
        created: i64,
        /// Its content.
        bytes: Vec<u8>,
    },
    /// A node to be read does not exist.
    NoNode {
        /// Its name.
        name: String,
        /// The service's last transaction at the time of the read.
        zxid: i64,
    },
    /// A read has failed without a result.
    Failed(ReadRequest),
    /// A watch has fired: the data of this read may have changed.
    Fired(ReadRequest),
    /// The time in [`Step::due`] is reached.
    Due,
}

/// The result of handling an event.
#[derive(Debug, Default)]
pub struct Step {
    /// Reads to execute.
    pub reads: Vec<ReadRequest>,
    /// Changes to announce to the engine.
    pub news: Option<News>,
    /// Time at which to report [`Event::Due`], unless another event comes first.
    pub due: Option<Millis>,
}

#[derive(Debug)]
struct Node {
    /// Not read since its watch fired or the connection was established.
    dirty: bool,
    reading: bool,
    /// The connection on which the folder last listed the node.
    listed_on: u64,
    /// The read of the folder that last listed the node.
    listed_by_read: u64,
    read_at: i64,
    created: i64,
    content: Option<Result<Member, Reason>>,
}

/// A node's claim to an id or an address: the transaction that created the node, and its name. The newest claim wins.
type Claim = (i64, String);

/// The known state of the folder, and the list as last announced.
#[derive(Debug)]
pub struct Reconciler {
    settings: Settings,
    connected: bool,
    /// Number of connections so far.
    connection: u64,
    folder_dirty: bool,
    folder_reading: bool,
    folder_read_at: i64,
    /// Number of reads of the folder so far.
    folder_reads: u64,
    /// Since when reads have been older than earlier ones.
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
    /// Servers that were removed: address, start time, and time of the removal.
    removed: HashMap<String, (Option<SocketAddr>, Millis, Millis)>,
    current_at: Option<Millis>,
    changes: BTreeMap<String, Member>,
}

impl Reconciler {
    /// Creates a reconciler without any data.
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

    /// The list as last announced, by id.
    pub fn list(&self) -> &BTreeMap<String, Member> {
        &self.announced
    }

    /// Nodes that are left out of the list, each with the reason.
    pub fn left_out(&self) -> Vec<(&str, Reason)> {
        let reason = |(name, node): (&'_ String, &Node)| match node.content.as_ref()? {
            Err(reason) => Some(reason.clone()),
            Ok(member) => self.conflict(name, node, member),
        };
        self.nodes.iter().filter_map(|(name, node)| Some((name.as_str(), reason((name, node))?))).collect()
    }

    /// When the list was last known to equal the tree; `None` before the first time.
    pub fn current_at(&self) -> Option<Millis> {
        self.current_at
    }

    /// Handles an event and returns the next reads and the changes of the list.
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

    /// Schedules a node for reading.
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

    /// Whether a read is older than an earlier one. Older reads are accepted after [`Settings::settle`]: the service's data
    /// may have been restored to an earlier state.
    fn is_outdated(&mut self, now: Millis, zxid: i64, seen: i64) -> bool {
        if zxid >= seen {
            self.outdated_since = None;
            return false;
        }
        let since = *self.outdated_since.get_or_insert(now);
        if now - since < self.settings.settle {
            return true;
        }
        // Earlier transaction numbers cannot be compared with those from now on.
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

    /// Removes the nodes that the last read of the folder did not list.
    fn remove_unlisted(&mut self, now: Millis) {
        let settling = now < self.settling_until;
        let gone = self.nodes.iter().filter(|(_, node)| {
            // After an outage, a member not yet listed on this connection may still register again.
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

    /// Marks a pending read of a node as answered and returns the transaction of its last read; `None` if none was pending.
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
        // The folder's watch reports the removal too, but later. After an outage, a node that is not yet listed again is
        // kept.
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
            // The settling time is over: the next read of the folder decides which members exist.
            self.folder_dirty |= self.connected;
        }
    }

    /// Adds the start time to announce. If the payload has none, it is not derived from the node's creation: a flapping
    /// session creates the node again without a restart of the process.
    fn with_start(&self, now: Millis, member: Member, started: Option<Millis>) -> Member {
        if started.is_some() || !self.started {
            return member;
        }
        let known = self.announced.get(&member.id).filter(|m| m.address == member.address).map(|m| m.started);
        let past = self.removed.get(&member.id);
        let past =
            past.filter(|(address, _, at)| *address == member.address && now - at < SAME_PROCESS_WINDOW);
        // A server that was never listed has just started and may be cold.
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

    /// Re-evaluates all ids that share this member's id or address.
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

    /// Updates the list and the pending changes if the holder of an id differs from the announced one.
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
                // The pending answer may be older than the fired watch, so the node is read once more after it.
                self.queue.push_back(name);
                break;
            }
            (node.dirty, node.reading) = (false, true);
            self.reading += 1;
            reads.push(ReadRequest::Data(name));
        }
    }
}

/// Adds or removes a node's claim to a key.
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
