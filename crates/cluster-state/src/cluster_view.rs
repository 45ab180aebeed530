//! One process's view of the cluster: servers and limiters, the agreed state, the core machines, and how recently a majority
//! confirmed them. Also answers the long polls of followers. The merge rules are in [`crate::state`]; this module adds the
//! clock and the waiting.

use crate::anti_entropy::SourceAgreement;
use crate::clock::MonotonicClock;
use crate::messages::{AgreedState, CoreMembership, FollowRequest, MemberRow, ServerRow, StateUpdate};
use crate::pause_detector::PauseDetector;
use crate::replication::CALL_GRACE;
use crate::state::{MergeResult, Millis, StateTable};
use bytes::Bytes;
use oatbank_node_runtime::random::random_u64;
use prost::Message;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// How long changes that do not affect the use of servers and limiters are batched before a follower is answered, ms.
const BATCH_DELAY: Millis = 200.0;
/// How long acknowledgements of a newer edition are batched while a command waits for them, ms.
const ACK_BATCH_DELAY: Millis = 20.0;
/// A process is out of touch with the majority if its last confirmation is older than this, ms.
pub const CONTACT_TIMEOUT: Millis = 1500.0;

/// The replication progress that a follower has reported.
#[derive(Clone, Copy, Debug, Default)]
pub struct FollowerProgress {
    /// The follower has merged all changes of this process's epoch up to this sequence number.
    pub seen: u64,
    /// The follower's edition.
    pub edition: u64,
    /// Time of the report, on this process's clock.
    pub at: Millis,
    /// Whether the follower requests every change, as core machines do.
    pub every_change: bool,
    /// Digest of the servers known to the follower.
    pub digest: u64,
    /// The follower's address, if it is a core machine.
    pub core_ip: Option<Ipv4Addr>,
}

/// Called when a change affects the use of servers or limiters, or a newer edition was adopted.
pub type ChangeListener = Rc<dyn Fn()>;

/// The newest agreed state that this process knows.
#[derive(Default)]
struct Agreed {
    edition: u64,
    state: Rc<AgreedState>,
}

/// This process's view of the cluster.
pub struct ClusterView {
    clock: MonotonicClock,
    table: RefCell<StateTable>,
    /// Invariant: the edition never decreases.
    agreed: RefCell<Agreed>,
    core: RefCell<CoreMembership>,
    /// Last time at which a majority was asked and knew nothing newer than this process.
    confirmed_at: Cell<Option<Millis>>,
    /// Offset of the cluster's time from this process's clock, ms.
    time_offset: Cell<Millis>,
    agreement: RefCell<SourceAgreement>,
    /// `None` if this process does not detect its own pauses.
    pause_detector: Cell<Option<PauseDetector>>,
    followers: RefCell<HashMap<String, FollowerProgress>>,
    /// Number of commands that wait for limiters to apply them.
    waiting_commands: Cell<usize>,
    changed: Notify,
    listeners: RefCell<Vec<ChangeListener>>,
}

impl ClusterView {
    /// Creates an empty view.
    pub fn new(clock: MonotonicClock, heartbeat_interval: Millis) -> Rc<Self> {
        Rc::new(ClusterView {
            clock,
            table: RefCell::new(StateTable::new(random_u64(), heartbeat_interval, clock.now())),
            agreed: RefCell::default(),
            core: RefCell::default(),
            confirmed_at: Cell::default(),
            time_offset: Cell::default(),
            agreement: RefCell::new(SourceAgreement::new(clock.now())),
            pause_detector: Cell::default(),
            followers: RefCell::default(),
            waiting_commands: Cell::default(),
            changed: Notify::new(),
            listeners: RefCell::default(),
        })
    }

    /// Returns the current time on this process's clock.
    pub fn now(&self) -> Millis {
        self.clock.now()
    }

    /// Returns the cluster's time, which is the highest clock among the processes that have followed each other. Processes
    /// agree on it within the latency between them, independent of their wall clocks.
    pub fn cluster_time(&self) -> Millis {
        self.now() + self.time_offset.get()
    }

    /// Returns this process's clock.
    pub fn clock(&self) -> MonotonicClock {
        self.clock
    }

    /// Registers a listener for changes that affect the use of servers or limiters, and for newer editions.
    pub fn on_change(&self, listener: ChangeListener) {
        self.listeners.borrow_mut().push(listener);
    }

    /// Calls `read` with the table and the current time, and returns its result.
    pub fn with<T>(&self, read: impl FnOnce(&StateTable, Millis) -> T) -> T {
        read(&self.table.borrow(), self.now())
    }

    /// Calls `change` with the table and the current time, and wakes followers and listeners if it changed something. Returns
    /// the result of `change`.
    pub fn change<T>(&self, change: impl FnOnce(&mut StateTable, Millis) -> T) -> T {
        let sequences = |table: &StateTable| (table.sequence(), table.change_sequence());
        let before = sequences(&self.table.borrow());
        let result = change(&mut self.table.borrow_mut(), self.now());
        let after = sequences(&self.table.borrow());
        if after != before {
            self.notify(after.1 != before.1);
        }
        result
    }

    fn notify(&self, use_changed: bool) {
        self.changed.notify_waiters();
        if use_changed {
            let listeners = self.listeners.borrow().clone();
            listeners.iter().for_each(|listener| listener());
        }
    }

    /// Returns the newest edition known here, or 0 before the first.
    pub fn edition(&self) -> u64 {
        self.agreed.borrow().edition
    }

    /// Returns the agreed state of the newest edition known here.
    pub fn agreed_state(&self) -> Rc<AgreedState> {
        self.agreed.borrow().state.clone()
    }

    /// Adopts an edition if it is newer than the known one.
    pub fn adopt_agreed(&self, edition: u64, state: AgreedState) {
        if edition > self.edition() {
            *self.agreed.borrow_mut() = Agreed { edition, state: Rc::new(state) };
            self.notify(true);
        }
    }

    /// Returns the addresses of the voting core machines known here.
    pub fn core_addresses(&self) -> Vec<Ipv4Addr> {
        self.core.borrow().ips.iter().map(|ip| Ipv4Addr::from(*ip)).collect()
    }

    /// Returns the version of [`ClusterView::core_addresses`], or 0 if none are known.
    pub fn core_version(&self) -> u64 {
        self.core.borrow().version
    }

    /// Sets the core machines if `version` is newer than the known one. They are sent to followers with the next update.
    pub fn set_core_members(&self, version: u64, ips: impl Iterator<Item = Ipv4Addr>) {
        if version > self.core.borrow().version {
            *self.core.borrow_mut() = CoreMembership { version, ips: ips.map(u32::from).collect() };
        }
    }

    /// Records that a majority was asked at `at` and knew nothing newer than `edition`. Ignored if this process lacks the
    /// edition or has a later confirmation.
    pub fn confirm(&self, at: Millis, edition: u64) {
        if self.edition() >= edition && self.confirmed_at.get().is_none_or(|before| before < at) {
            self.confirmed_at.set(Some(at));
        }
    }

    /// Returns the time since the last confirmation by a majority, ms, or `None` if there was none.
    pub fn confirmed_ago(&self) -> Option<Millis> {
        self.confirmed_at.get().map(|at| (self.now() - at).max(0.0))
    }

    /// Returns the time of the last confirmation by a majority.
    pub fn confirmed_at(&self) -> Option<Millis> {
        self.confirmed_at.get()
    }

    /// Feeds the pause detector. Must be called every [`crate::pause_detector::TICK_INTERVAL`] from the first call on. Returns
    /// the length in ms of a pause that has just ended.
    pub fn tick(&self) -> Option<Millis> {
        let mut detector = self.pause_detector.get().unwrap_or_else(|| PauseDetector::new(self.now()));
        let paused = detector.tick(self.now());
        self.pause_detector.set(Some(detector));
        paused
    }

    /// Returns whether messages that arrive now are current, and did not wait in a socket during a pause of this process.
    pub fn has_caught_up(&self) -> bool {
        self.pause_detector.get().is_none_or(|detector| detector.has_caught_up(self.now()))
    }

    /// Returns whether the last confirmation by a majority is at most [`CONTACT_TIMEOUT`] old.
    pub fn in_touch(&self) -> bool {
        self.confirmed_ago().is_some_and(|ago| ago <= CONTACT_TIMEOUT)
    }

    /// Returns whether this process recently held the same servers as the core machine that it follows.
    pub fn agrees_with_source(&self) -> bool {
        !self.agreement.borrow().has_diverged(self.now())
    }

    /// Compares the servers known here with those of a source whose updates were all merged. Returns whether to take a
    /// snapshot.
    pub(crate) fn compare(&self, edition: u64, digest: u64) -> bool {
        let is_same = digest == self.table.borrow().digest();
        edition == self.edition() && self.agreement.borrow_mut().on_update(self.now(), is_same)
    }

    /// Returns the progress of the follower with this name, or the default if it has reported none.
    pub fn progress_of(&self, name: &str) -> FollowerProgress {
        self.followers.borrow().get(name).copied().unwrap_or_default()
    }

    /// Returns all followers with their progress, sorted by name.
    pub fn followers(&self) -> Vec<(String, FollowerProgress)> {
        let mut followers: Vec<_> =
            self.followers.borrow().iter().map(|(name, progress)| (name.clone(), *progress)).collect();
        followers.sort_by(|a, b| a.0.cmp(&b.0));
        followers
    }

    /// Waits until the followers satisfy `holds`, at most `within`. Returns whether they do.
    pub async fn wait_for(
        &self,
        within: Duration,
        holds: impl Fn(&HashMap<String, FollowerProgress>) -> bool,
    ) -> bool {
        let until = Instant::now() + within;
        loop {
            let changed = self.changed.notified();
            if holds(&self.followers.borrow()) {
                return true;
            }
            if tokio::time::timeout_at(until, changed).await.is_err() {
                return holds(&self.followers.borrow());
            }
        }
    }

    /// Waits at most `within` until all limiters with a session have reported an edition as applied. Returns the names of
    /// those that have not. While this waits, other core machines report the progress of their limiters promptly.
    pub async fn wait_until_applied(&self, within: Duration, edition: u64) -> Vec<String> {
        let _waiting = WaitingCommand::new(&self.waiting_commands);
        let all_have = |_: &_| self.with(|table, now| table.limiters_behind(now, edition).next().is_none());
        if self.wait_for(within, all_have).await {
            return Vec::new();
        }
        self.with(|table, now| table.limiters_behind(now, edition).map(str::to_owned).collect())
    }

    /// Returns whether a command waits here for limiters to apply it.
    pub fn has_waiting_commands(&self) -> bool {
        self.waiting_commands.get() > 0
    }

    fn has_update_for(&self, request: &FollowRequest, every_change: bool, observations: bool) -> bool {
        let table = self.table.borrow();
        self.edition() > request.edition
            || table.has_update_since(request.epoch, request.seen, every_change, observations)
    }

    /// Answers a follower's long poll, at once if there is an update, otherwise when one comes or the hold time ends.
    pub async fn answer_follow(&self, request: FollowRequest) -> StateUpdate {
        let received = self.now();
        self.record_request(&request, received);
        self.wait_for_update(&request, received).await;
        self.update_for(&request, received)
    }

    /// Merges the follower's row and observations, and records its progress.
    fn record_request(&self, request: &FollowRequest, received: Millis) {
        if let Some(member) = &request.member {
            let row = MemberRow { age_ms: 0, expired: false, ..member.clone() };
            self.change(|table, now| table.merge_member(now, &row));
        }
        if !request.observations.is_empty() {
            self.change(|table, now| {
                request.observations.iter().for_each(|row| _ = table.merge_observation(now, row));
            });
        }
        if request.epoch == self.table.borrow().epoch() {
            let progress = FollowerProgress {
                seen: request.seen,
                edition: request.edition,
                at: received,
                every_change: request.every_change,
                digest: request.digest,
                core_ip: (request.core_ip != 0).then(|| Ipv4Addr::from(request.core_ip)),
            };
            self.followers.borrow_mut().insert(request.name.clone(), progress);
            self.changed.notify_waiters();
        } else if request.every_change {
            // A core machine that has restarted has lost what its previous incarnation had merged.
            self.followers.borrow_mut().remove(&request.name);
        }
    }

    /// Waits until there is an update to send, at most for the hold time that the follower allows.
    async fn wait_for_update(&self, request: &FollowRequest, received: Millis) {
        let hold = f64::from(request.hold_ms);
        let batch_delay = BATCH_DELAY.min(hold);
        loop {
            let changed = self.changed.notified();
            let waited = self.now() - received;
            let has_acks = request.wants_prompt_acks && self.table.borrow().last_applied() > request.seen;
            let is_due = waited >= hold
                || self.has_update_for(request, false, false)
                || waited >= ACK_BATCH_DELAY && has_acks
                || waited >= batch_delay
                    && self.has_update_for(request, request.every_change, !request.without_observations);
            if is_due {
                return;
            }
            let until = if waited < ACK_BATCH_DELAY && has_acks {
                ACK_BATCH_DELAY
            } else if waited < batch_delay {
                batch_delay
            } else {
                hold
            };
            let left = Duration::from_secs_f64((until - waited).max(0.5) / 1000.0);
            // The loop checks the conditions again after a wake-up and after a timeout alike.
            let _ = tokio::time::timeout(left, changed).await;
        }
    }

    fn update_for(&self, request: &FollowRequest, received: Millis) -> StateUpdate {
        let now = self.now();
        let mut update =
            self.table.borrow().update_since(now, request.epoch, request.seen, request.every_change);
        if request.without_observations {
            update.observations.clear();
        }
        update.limiters = self.table.borrow().active_limiter_count(now);
        update.edition = self.edition();
        if update.edition > request.edition {
            update.agreed = Some((*self.agreed_state()).clone());
        }
        update.confirmed_ago = self.confirmed_ago().map(|ago| ago.ceil() as u32);
        update.held_ms = (now - received) as u32;
        update.time = self.cluster_time();
        update.core = Some(self.core.borrow().clone()).filter(|core| core.version > request.core);
        update
    }

    /// Answers an encoded [`FollowRequest`]. After a pause of this process nothing is merged and the answer is empty, so that
    /// the follower asks another process.
    pub async fn answer_bytes(&self, body: Bytes) -> Vec<u8> {
        if !self.has_caught_up() {
            return Vec::new();
        }
        match FollowRequest::decode(body) {
            Ok(request) => self.answer_follow(request).await.encode_to_vec(),
            // An incompatible version: the empty answer counts as no response.
            Err(_) => Vec::new(),
        }
    }

    /// Merges another process's update to a request sent at `requested`.
    pub fn apply_update(&self, requested: Millis, mut update: StateUpdate) {
        // A response that waited here during a pause of this process is older than its ages say.
        let allowed = f64::from(update.held_ms) + CALL_GRACE.as_secs_f64() * 1000.0;
        let late = self.now() - requested - allowed;
        if late > 0.0 {
            update.add_age(late.ceil() as u32);
        }
        self.time_offset.set(self.time_offset.get().max(update.time - self.now()));
        if let Some(agreed) = &update.agreed {
            self.adopt_agreed(update.edition, agreed.clone());
        }
        if let Some(core) = &update.core {
            self.set_core_members(core.version, core.ips.iter().map(|ip| Ipv4Addr::from(*ip)));
        }
        if let Some(ago) = update.confirmed_ago {
            // The response was sent at least `held_ms` after the request, and `ago` is the age of the confirmation then.
            self.confirm(requested + f64::from(update.held_ms) - f64::from(ago), update.edition);
        }
        self.change(|table, now| table.merge_update(now, &update));
    }

    /// Merges a server's heartbeat and wakes followers.
    pub fn merge_server(&self, row: &ServerRow) -> MergeResult {
        self.change(|table, now| table.merge_server(now, row))
    }
}

/// Guard that counts a waiting command, and stops counting it when dropped.
struct WaitingCommand<'a>(&'a Cell<usize>);

impl<'a> WaitingCommand<'a> {
    fn new(count: &'a Cell<usize>) -> Self {
        count.set(count.get() + 1);
        WaitingCommand(count)
    }
}

impl Drop for WaitingCommand<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

#[cfg(test)]
mod tests;
