//! This limiter's session with a core machine, and replication from a few other limiters.

use crate::counter_owner::owner_of;
use crate::quota_counter::{CountFuture, QuotaPeers};
use oatbank_cluster_state::cluster_view::{ClusterView, CONTACT_TIMEOUT};
use oatbank_cluster_state::messages::{call, MemberRow, ObservationRow};
use oatbank_cluster_state::replication::{follow_once, FollowOptions, FollowResult, ReplicationPosition};
use oatbank_cluster_state::state::member_state;
use oatbank_node_runtime::log;
use oatbank_node_runtime::process::ReloadableSettings;
use oatbank_node_runtime::random::random_u64;
use oatbank_node_runtime::rpc::RpcClient;
use oatbank_node_runtime::settings::port_offset::{PROXY, REGISTRY};
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;

/// How long a core machine may hold a response (long polling), ms: well below the session timeout.
const HOLD_MS: u32 = 600;
/// Delay before the next core machine is called after one has failed.
const FAILOVER_DELAY: Duration = Duration::from_millis(60);
/// Number of calls that report a change of state, in case one is lost.
const STATE_CHANGE_CALLS: usize = 2;
/// Number of other limiters that are followed; the first is in this limiter's region if there is one.
const FOLLOWED_LIMITERS: u64 = 2;
/// How long a followed limiter may hold a response, ms.
const LIMITER_HOLD_MS: u32 = 1500;
/// Delay before a failed limiter is replaced, or before the core machines are called again after all have failed.
const RETRY_DELAY: Duration = Duration::from_millis(300);
/// Number of calls after which another limiter is drawn, so that limiters do not form groups that only follow each other.
const CALLS_PER_LIMITER: u32 = 20;

/// RPC clients of other processes, one per address.
#[derive(Default)]
pub struct PeerClients(RefCell<HashMap<SocketAddr, Rc<RpcClient>>>);

impl PeerClients {
    /// The client for this address; created on first use.
    pub fn get(&self, address: SocketAddr) -> Rc<RpcClient> {
        self.0.borrow_mut().entry(address).or_insert_with(|| RpcClient::new(address)).clone()
    }
}

impl QuotaPeers for PeerClients {
    fn count(&self, owner: SocketAddr, adds: Vec<u8>, within: Duration) -> CountFuture {
        let client = self.get(owner);
        Box::pin(async move { client.call(call::COUNT, adds, within).await })
    }
}

/// State of this limiter's session: what it reports about itself and servers, and to which core machine.
pub struct Session {
    view: Rc<ClusterView>,
    settings: Rc<ReloadableSettings>,
    peers: Rc<PeerClients>,
    incarnation: u64,
    heartbeat: Cell<u64>,
    state: Cell<u32>,
    state_changed: Notify,
    /// The core machine that holds the session.
    core_machine: Cell<Option<Ipv4Addr>>,
    /// Position up to which that machine's changes have been merged.
    position: Cell<ReplicationPosition>,
    /// Observations of servers that have not been sent.
    observations: RefCell<Vec<ObservationRow>>,
    strong_observation: Notify,
}

impl Session {
    /// Creates a limiter in the starting state, without a session.
    pub fn new(view: Rc<ClusterView>, settings: Rc<ReloadableSettings>, peers: Rc<PeerClients>) -> Rc<Self> {
        Rc::new(Session {
            view,
            settings,
            peers,
            incarnation: random_u64().max(1),
            heartbeat: Cell::new(0),
            state: Cell::new(member_state::STARTING),
            state_changed: Notify::new(),
            core_machine: Cell::new(None),
            position: Cell::default(),
            observations: RefCell::default(),
            strong_observation: Notify::new(),
        })
    }

    /// Whether this limiter is shutting down.
    pub fn is_leaving(&self) -> bool {
        self.state.get() == member_state::LEAVING
    }

    /// Sets this limiter's state, one of [`member_state`], and sends it at once if it changed. `LEAVING` is final.
    pub fn set_state(&self, state: u32) {
        if !self.is_leaving() && self.state.replace(state) != state {
            self.state_changed.notify_waiters();
        }
    }

    /// Random number above 0 that identifies this start of the process.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Queues observations for the next call. Sends them at once if one of them alone makes a server suspect.
    pub fn report(&self, rows: Vec<ObservationRow>) {
        let has_strong = rows.iter().any(ObservationRow::is_strong);
        self.observations.borrow_mut().extend(rows);
        if has_strong {
            self.strong_observation.notify_one();
        }
    }

    /// Removes the queued observations and returns the newest one for each server.
    fn take_observations(&self) -> Vec<ObservationRow> {
        let mut rows = self.observations.take();
        rows.reverse();
        rows.sort_by(|a, b| a.server.cmp(&b.server));
        rows.dedup_by(|a, b| a.server == b.server);
        rows
    }

    /// Puts observations that were not received back in the queue, before newer ones.
    fn requeue_observations(&self, mut rows: Vec<ObservationRow>) {
        rows.append(&mut self.observations.borrow_mut());
        *self.observations.borrow_mut() = rows;
    }

    fn next_heartbeat(&self) -> MemberRow {
        let settings = self.settings.settings();
        self.heartbeat.set(self.heartbeat.get() + 1);
        let front = settings.listen_address("front").map(|address| address.to_string());
        MemberRow {
            name: settings.node_name.clone(),
            incarnation: self.incarnation,
            heartbeat: self.heartbeat.get(),
            front: front.unwrap_or_default(),
            inner: settings.rpc_address(PROXY).to_string(),
            zone: settings.zone.clone(),
            region: settings.region.clone(),
            state: self.state.get(),
            expired: false,
            age_ms: 0,
            edition: self.view.edition(),
        }
    }

    /// Addresses of the core machines: the seeds and the known voters.
    fn core_machines(&self) -> Vec<Ipv4Addr> {
        let mut machines: Vec<Ipv4Addr> =
            self.settings.settings().seeds.iter().map(|seed| *seed.ip()).collect();
        for ip in self.view.core_addresses() {
            if !machines.contains(&ip) {
                machines.push(ip);
            }
        }
        machines
    }

    /// Calls a core machine: sends a heartbeat and the queued observations, and merges the changes that it returns.
    async fn call(&self, ip: Ipv4Addr, position: &mut ReplicationPosition, hold_ms: u32) -> FollowResult {
        let settings = self.settings.settings();
        let client = self.peers.get(settings.rpc_address_of(ip, REGISTRY));
        let (rows, member) = (self.take_observations(), Some(self.next_heartbeat()));
        let (name, observations) = (settings.node_name.clone(), rows.clone());
        let options = FollowOptions { name, hold_ms, member, observations, ..FollowOptions::default() };
        let result = follow_once(&self.view, &client, position, options).await;
        if result == FollowResult::NoResponse {
            self.requeue_observations(rows);
        }
        result
    }

    /// Keeps a session with a core machine, for the life of the process.
    pub async fn run(self: Rc<Self>) {
        let (states, observations) = (self.clone(), self.clone());
        tokio::task::spawn_local(async move { observations.send_strong_observations().await });
        tokio::task::spawn_local(async move { states.send_state_changes().await });
        let mut next: VecDeque<Ipv4Addr> = VecDeque::new();
        let mut positions: HashMap<Ipv4Addr, ReplicationPosition> = HashMap::new();
        loop {
            if next.is_empty() {
                next = self.core_machines().into();
                // The order depends on the limiter's name, which spreads limiters over the core machines.
                let name = self.settings.settings().node_name;
                next.make_contiguous().sort_by_key(|ip| preference(&name, *ip));
            }
            let Some(ip) = next.pop_front() else {
                tokio::time::sleep(RETRY_DELAY).await;
                continue;
            };
            self.stay_with(ip, positions.entry(ip).or_default(), &mut next).await;
            if self.core_machine.replace(None) == Some(ip) {
                log::info!("session: closed with {}", ip);
            }
            tokio::time::sleep(FAILOVER_DELAY).await;
        }
    }

    /// Keeps the session with one core machine. Returns when the machine does not answer, is no longer a core machine or is not
    /// connected to a majority; in the last case after [`RETRY_DELAY`] if `next` holds no other machine.
    async fn stay_with(
        &self,
        ip: Ipv4Addr,
        position: &mut ReplicationPosition,
        next: &mut VecDeque<Ipv4Addr>,
    ) {
        let mut is_first = true;
        loop {
            // The first response is not held: it shows whether the machine is connected to a majority.
            let result = self.call(ip, position, if is_first { 0 } else { HOLD_MS }).await;
            let FollowResult::Updated { confirmed_ago, .. } = result else { return };
            let is_behind = confirmed_ago.is_none_or(|ago| f64::from(ago) > CONTACT_TIMEOUT);
            if is_first && !is_behind {
                log::info!("session: established with {}, edition {}", ip, self.view.edition());
            }
            self.core_machine.set(Some(ip));
            self.position.set(*position);
            if is_behind && !next.is_empty() || !self.core_machines().contains(&ip) {
                return;
            }
            if is_behind {
                // No machine is connected to a majority: all are called again after a delay.
                next.clear();
                tokio::time::sleep(RETRY_DELAY).await;
                return;
            }
            is_first = false;
        }
    }

    /// Sends changes of state in separate calls, as the session's call may be held.
    async fn send_state_changes(&self) {
        loop {
            self.state_changed.notified().await;
            for _ in 0..STATE_CHANGE_CALLS {
                if let Some(ip) = self.core_machine.get() {
                    let epoch = self.view.with(|table, _| table.epoch());
                    let _ = self.call(ip, &mut ReplicationPosition { epoch, seen: 0 }, 0).await;
                }
            }
        }
    }

    /// Sends observations that make a server suspect in separate calls, as the session's call may be held.
    async fn send_strong_observations(&self) {
        loop {
            self.strong_observation.notified().await;
            if let Some(ip) = self.core_machine.get() {
                let _ = self.call(ip, &mut self.position.get(), 0).await;
            }
        }
    }

    /// Starts tasks that follow [`FOLLOWED_LIMITERS`] other limiters, for the life of the process.
    pub fn follow_limiters(self: &Rc<Self>) {
        for index in 0..FOLLOWED_LIMITERS {
            let session = self.clone();
            tokio::task::spawn_local(async move { session.follow_drawn_limiters(index).await });
        }
    }

    async fn follow_drawn_limiters(&self, index: u64) {
        let mut followed = SocketAddr::from(([0, 0, 0, 0], 0));
        let mut position = ReplicationPosition::default();
        let mut round = random_u64();
        loop {
            round = round.wrapping_add(1);
            let Some(limiter) = self.draw_limiter(round, index) else {
                tokio::time::sleep(RETRY_DELAY).await;
                continue;
            };
            if followed != limiter {
                (followed, position) = (limiter, ReplicationPosition::default());
            }
            let name = self.settings.settings().node_name;
            let client = self.peers.get(limiter);
            for _ in 0..CALLS_PER_LIMITER {
                let (name, hold_ms) = (name.clone(), LIMITER_HOLD_MS);
                let options = FollowOptions { name, hold_ms, ..FollowOptions::default() };
                let result = follow_once(&self.view, &client, &mut position, options).await;
                if result == FollowResult::NoResponse {
                    tokio::time::sleep(RETRY_DELAY).await;
                    break;
                }
            }
        }
    }

    /// Draws the address of another limiter with a session. The task with index 0 follows limiters of its own region
    /// if there are any: traffic between regions is expensive.
    fn draw_limiter(&self, round: u64, index: u64) -> Option<SocketAddr> {
        let settings = self.settings.settings();
        let (name, region) = (settings.node_name, settings.region);
        self.view.with(|table, now| {
            let others = || table.members(now).map(|(row, _)| row).filter(|row| row.name != name);
            let is_near = index == 0 && others().any(|row| row.region == region);
            let drawable = others().filter(|row| !row.expired && (!is_near || row.region == region));
            let drawable: Vec<(&str, SocketAddr)> =
                drawable.filter_map(|row| Some((row.name.as_str(), row.inner.parse().ok()?))).collect();
            let number = round.wrapping_mul(2 * index + 1);
            let drawn = owner_of(number, drawable.iter().map(|(name, _)| *name))?;
            drawable.iter().find(|(name, _)| *name == drawn).map(|(_, address)| *address)
        })
    }
}

/// Sort key of a core machine in the order in which the named limiter tries them.
fn preference(name: &str, ip: Ipv4Addr) -> u64 {
    name.bytes().fold(u64::from(u32::from(ip)), |x, byte| {
        (x ^ u64::from(byte)).wrapping_mul(0x9e37_79b9_7f4a_7c15).rotate_left(31)
    })
}
