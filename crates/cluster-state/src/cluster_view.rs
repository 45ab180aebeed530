//! What one process knows of the cluster, and how it answers those who follow it: servers and limiters, the agreed state,
//! the core machines, and how fresh all of that is. The rules of merging are [`crate::state`]'s; here are the waiting and
//! the clock.

use crate::anti_entropy::SourceAgreement;
use crate::clock::MonotonicClock;
use crate::messages::{AgreedState, CoreMembership, FollowRequest, MemberRow, ServerRow, StateUpdate};
use crate::pause_detector::PauseDetector;
use crate::replication::CALL_PATIENCE;
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

/// Changes that affect no use are gathered for this long before a follower is told, ms.
const GATHER: Millis = 200.0;
/// That limiters have applied a newer edition is gathered for this long, ms, where a command waits for it.
const GATHER_ACKS: Millis = 20.0;
/// A process that last asked a majority longer ago than this, ms, is not in touch with it.
pub const CONTACT_TIMEOUT: Millis = 1500.0;

/// How far a follower says it has come.
#[derive(Clone, Copy, Debug, Default)]
pub struct FollowerProgress {
    /// It has merged all changes of this process's epoch up to this sequence number.
    pub seen: u64,
    /// It has this edition.
    pub edition: u64,
    /// When it said so.
    pub at: Millis,
    /// It wants every change: it is a core machine.
    pub every_change: bool,
    /// The digest of the servers that it knew.
    pub digest: u64,
    /// Its address, if it is a core machine.
    pub core_ip: Option<Ipv4Addr>,
}

/// Called when servers or limiters have changed in what they are used for, or an edition was taken.
pub type ChangeListener = Rc<dyn Fn()>;

/// The newest agreed state that this process knows.
#[derive(Default)]
struct Agreed {
    edition: u64,
    state: Rc<AgreedState>,
}

/// What this process knows of the cluster.
pub struct ClusterView {
    clock: MonotonicClock,
    table: RefCell<StateTable>,
    /// Invariant: the edition never goes back.
    agreed: RefCell<Agreed>,
    core: RefCell<CoreMembership>,
    /// At this moment a majority was asked, and knew nothing newer than what is known here.
    confirmed_at: Cell<Option<Millis>>,
    /// How far the cluster's time is ahead of this process's clock.
    time_offset: Cell<Millis>,
    agreement: RefCell<SourceAgreement>,
    /// `None`: this process does not watch for its own pauses.
    pause_detector: Cell<Option<PauseDetector>>,
    followers: RefCell<HashMap<String, FollowerProgress>>,
    /// How many commands wait for limiters to apply them.
    waiting_commands: Cell<usize>,
    changed: Notify,
    listeners: RefCell<Vec<ChangeListener>>,
}

impl ClusterView {
    /// Knows nothing yet.
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

    /// Now, on this process's clock.
    pub fn now(&self) -> Millis {
        self.clock.now()
    }

    /// The cluster's time: what the process has counted that has run for longest, or has followed one that had. All processes
    /// agree on it within the latency between them, whatever their times of day are.
    pub fn cluster_time(&self) -> Millis {
        self.now() + self.time_offset.get()
    }

    /// This process's clock.
    pub fn clock(&self) -> MonotonicClock {
        self.clock
    }

    /// Calls `listener` from now on when something has changed.
    pub fn on_change(&self, listener: ChangeListener) {
        self.listeners.borrow_mut().push(listener);
    }

    /// Reads servers and limiters.
    pub fn with<T>(&self, read: impl FnOnce(&StateTable, Millis) -> T) -> T {
        read(&self.table.borrow(), self.now())
    }

    /// Changes servers and limiters, and wakes followers.
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

    /// The newest edition known here; 0 before the first.
    pub fn edition(&self) -> u64 {
        self.agreed.borrow().edition
    }

    /// The agreed state of that edition.
    pub fn agreed_state(&self) -> Rc<AgreedState> {
        self.agreed.borrow().state.clone()
    }

    /// Takes an edition, unless it is known already.
    pub fn adopt_agreed(&self, edition: u64, state: AgreedState) {
        if edition > self.edition() {
            *self.agreed.borrow_mut() = Agreed { edition, state: Rc::new(state) };
            self.notify(true);
        }
    }

    /// The core machines that vote, as far as known here.
    pub fn core_addresses(&self) -> Vec<Ipv4Addr> {
        self.core.borrow().ips.iter().map(|ip| Ipv4Addr::from(*ip)).collect()
    }

    /// The version of [`ClusterView::core_addresses`]; 0 if none are known.
    pub fn core_version(&self) -> u64 {
        self.core.borrow().version
    }

    /// Takes the core machines of this version, unless they are older than those known. Followers hear of them.
    pub fn set_core_members(&self, version: u64, ips: impl Iterator<Item = Ipv4Addr>) {
        if version > self.core.borrow().version {
            *self.core.borrow_mut() = CoreMembership { version, ips: ips.map(u32::from).collect() };
        }
    }

    /// At the moment `at` a majority was asked and knew of nothing newer than `edition`.
    pub fn confirm(&self, at: Millis, edition: u64) {
        if self.edition() >= edition && self.confirmed_at.get().is_none_or(|before| before < at) {
            self.confirmed_at.set(Some(at));
        }
    }

    /// How long ago a majority was known to know of nothing newer.
    pub fn confirmed_ago(&self) -> Option<Millis> {
        self.confirmed_at.get().map(|at| (self.now() - at).max(0.0))
    }

    /// The moment at which a majority was known to know of nothing newer.
    pub fn confirmed_at(&self) -> Option<Millis> {
        self.confirmed_at.get()
    }

    /// This process runs: to be called every [`crate::pause_detector::TICK_INTERVAL`] from the first call on. The length of
    /// the pause that has just ended, if there was one.
    pub fn tick(&self) -> Option<Millis> {
        let mut detector = self.pause_detector.get().unwrap_or_else(|| PauseDetector::new(self.now()));
        let paused = detector.tick(self.now());
        self.pause_detector.set(Some(detector));
        paused
    }

    /// Whether what arrives now was sent now, and did not wait in a socket during a pause of this process.
    pub fn has_caught_up(&self) -> bool {
        self.pause_detector.get().is_none_or(|detector| detector.has_caught_up(self.now()))
    }

    /// Whether a majority was asked a short while ago.
    pub fn in_touch(&self) -> bool {
        self.confirmed_ago().is_some_and(|ago| ago <= CONTACT_TIMEOUT)
    }

    /// Whether the core machine that this process follows was found to know the same servers a short while ago.
    pub fn agrees_with_source(&self) -> bool {
        !self.agreement.borrow().has_diverged(self.now())
    }

    /// Compares what is known here with a source whose updates were all merged; whether to take a snapshot.
    pub(crate) fn compare(&self, edition: u64, digest: u64) -> bool {
        let is_same = digest == self.table.borrow().digest();
        edition == self.edition() && self.agreement.borrow_mut().on_update(self.now(), is_same)
    }

    /// How far the follower of this name has come.
    pub fn progress_of(&self, name: &str) -> FollowerProgress {
        self.followers.borrow().get(name).copied().unwrap_or_default()
    }

    /// All followers by name, with how far each has come.
    pub fn followers(&self) -> Vec<(String, FollowerProgress)> {
        let mut followers: Vec<_> =
            self.followers.borrow().iter().map(|(name, progress)| (name.clone(), *progress)).collect();
        followers.sort_by(|a, b| a.0.cmp(&b.0));
        followers
    }

    /// Waits until `holds` is true of the followers, at most `within`; whether it is.
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

    /// Waits until all limiters with a session are known to have applied an edition, at most `within`. Returns the names of
    /// those that are still behind. While this waits, other core machines report sooner which of their limiters have.
    pub async fn wait_until_applied(&self, within: Duration, edition: u64) -> Vec<String> {
        let _waiting = WaitingCommand::new(&self.waiting_commands);
        let all_have = |_: &_| self.with(|table, now| table.limiters_behind(now, edition).next().is_none());
        if self.wait_for(within, all_have).await {
            return Vec::new();
        }
        self.with(|table, now| table.limiters_behind(now, edition).map(str::to_owned).collect())
    }

    /// Whether a command waits here for limiters to apply it.
    pub fn has_waiting_commands(&self) -> bool {
        self.waiting_commands.get() > 0
    }

    fn has_update_for(&self, request: &FollowRequest, every_change: bool, observations: bool) -> bool {
        let table = self.table.borrow();
        self.edition() > request.edition
            || table.has_update_since(request.epoch, request.seen, every_change, observations)
    }

    /// Answers a follower, at once or when there is an update (a long poll).
    pub async fn answer_follow(&self, request: FollowRequest) -> StateUpdate {
        let received = self.now();
        self.take_in(&request, received);
        self.wait_for_update(&request, received).await;
        self.update_for(&request, received)
    }

    /// Takes in what a follower says of itself and of servers.
    fn take_in(&self, request: &FollowRequest, received: Millis) {
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
            // Another incarnation of it: what the one before had merged is gone.
            self.followers.borrow_mut().remove(&request.name);
        }
    }

    /// Waits until there is an update worth sending, at most as long as the follower allows.
    async fn wait_for_update(&self, request: &FollowRequest, received: Millis) {
        let hold = f64::from(request.hold_ms);
        let gather = GATHER.min(hold);
        loop {
            let changed = self.changed.notified();
            let waited = self.now() - received;
            let has_acks = request.wants_prompt_acks && self.table.borrow().last_applied() > request.seen;
            let is_due = waited >= hold
                || self.has_update_for(request, false, false)
                || waited >= GATHER_ACKS && has_acks
                || waited >= gather
                    && self.has_update_for(request, request.every_change, !request.without_observations);
            if is_due {
                return;
            }
            let until = if waited < GATHER_ACKS && has_acks {
                GATHER_ACKS
            } else if waited < gather {
                gather
            } else {
                hold
            };
            let left = Duration::from_secs_f64((until - waited).max(0.5) / 1000.0);
            // Woken or not, it checks again.
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

    /// Answers an encoded [`FollowRequest`]. A process that was paused merges nothing and answers nothing: the follower
    /// asks another.
    pub async fn answer_bytes(&self, body: Bytes) -> Vec<u8> {
        if !self.has_caught_up() {
            return Vec::new();
        }
        match FollowRequest::decode(body) {
            Ok(request) => self.answer_follow(request).await.encode_to_vec(),
            // Of another version: it hears nothing, and says so in its log.
            Err(_) => Vec::new(),
        }
    }

    /// Merges another process's update, which was asked for at `requested`.
    pub fn apply_update(&self, requested: Millis, mut update: StateUpdate) {
        // What waited here during a pause of this process is that much older than it says.
        let allowed = f64::from(update.held_ms) + CALL_PATIENCE.as_secs_f64() * 1000.0;
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
            // It was sent no sooner than it was held, and was no older then than it says.
            self.confirm(requested + f64::from(update.held_ms) - f64::from(ago), update.edition);
        }
        self.change(|table, now| table.merge_update(now, &update));
    }

    /// Merges a server's heartbeat.
    pub fn merge_server(&self, row: &ServerRow) -> MergeResult {
        self.change(|table, now| table.merge_server(now, row))
    }
}

/// Counts a command for as long as it waits, whichever way that ends.
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
