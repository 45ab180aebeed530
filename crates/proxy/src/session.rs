//! This limiter's session with a core machine, and the few other limiters that it follows.

use crate::counter_owner::owner_of;
use crate::quota_counter::{CountFuture, QuotaPeers};
use oatbank_cluster_state::cluster_view::{ClusterView, IN_TOUCH};
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

/// How long the core machine may hold a response, ms: well within a session.
const HOLD_MS: u32 = 600;
/// Wait before another core machine is called after one has failed.
const FAILOVER_DELAY: Duration = Duration::from_millis(60);
/// A change of state is told this often, in case a response was lost.
const STATE_CHANGE_CALLS: usize = 2;
/// How many other limiters are followed; the first of them in the own region if there is one.
const FOLLOWED_LIMITERS: u64 = 2;
/// How long they may hold a response, ms.
const LIMITER_HOLD_MS: u32 = 1500;
/// Wait before one that has failed is replaced, or all core machines are called again.
const RETRY_DELAY: Duration = Duration::from_millis(300);
/// Each is followed for so many calls; then another is drawn, so that no two groups keep to themselves.
const CALLS_PER_LIMITER: u32 = 20;

/// Clients of other processes, one for each address.
#[derive(Default)]
pub struct PeerClients(RefCell<HashMap<SocketAddr, Rc<RpcClient>>>);

impl PeerClients {
    /// The client for this address.
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

/// What this limiter says of itself, and to whom.
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
    /// How far its changes have been merged.
    position: Cell<ReplicationPosition>,
    /// What is still to be told of servers.
    observations: RefCell<Vec<ObservationRow>>,
    strong_observation: Notify,
}

impl Session {
    /// No session yet.
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

    /// Whether it is about to end.
    pub fn is_leaving(&self) -> bool {
        self.state.get() == member_state::LEAVING
    }

    /// Sets its state, one of [`member_state`], and tells it at once. A limiter that leaves does not come back.
    pub fn set_state(&self, state: u32) {
        if !self.is_leaving() && self.state.replace(state) != state {
            self.state_changed.notify_waiters();
        }
    }

    /// Random; it differs between starts.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Tells this of servers: with the next call, and at once if it makes a server suspect by itself.
    pub fn report(&self, rows: Vec<ObservationRow>) {
        let has_strong = rows.iter().any(ObservationRow::is_strong);
        self.observations.borrow_mut().extend(rows);
        if has_strong {
            self.strong_observation.notify_one();
        }
    }

    /// What is to be told of servers now: the newest of each server.
    fn take_observations(&self) -> Vec<ObservationRow> {
        let mut rows = self.observations.take();
        rows.reverse();
        rows.sort_by(|a, b| a.server.cmp(&b.server));
        rows.dedup_by(|a, b| a.server == b.server);
        rows
    }

    /// These were not received: they are told again, unless newer ones are.
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

    /// The core machines: the seeds, and those that vote as far as is known.
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

    /// One call to a core machine: a heartbeat that asks for what is new.
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

    /// Holds a session, for the life of the process.
    pub async fn run(self: Rc<Self>) {
        let (states, observations) = (self.clone(), self.clone());
        tokio::task::spawn_local(async move { observations.send_strong_observations().await });
        tokio::task::spawn_local(async move { states.send_state_changes().await });
        let mut next: VecDeque<Ipv4Addr> = VecDeque::new();
        let mut positions: HashMap<Ipv4Addr, ReplicationPosition> = HashMap::new();
        loop {
            if next.is_empty() {
                next = self.core_machines().into();
                // Limiters begin with different ones, by their names.
                let name = self.settings.settings().node_name;
                next.make_contiguous().sort_by_key(|ip| preference(&name, *ip));
            }
            let Some(ip) = next.pop_front() else {
                tokio::time::sleep(RETRY_DELAY).await;
                continue;
            };
            self.stay_with(ip, positions.entry(ip).or_default(), &mut next).await;
            if self.core_machine.replace(None) == Some(ip) {
                log::info!("session: {} is left", ip);
            }
            tokio::time::sleep(FAILOVER_DELAY).await;
        }
    }

    /// Holds the session with one core machine while it answers and is in touch with a majority. If `next` is empty, no other
    /// is: this one is as good as any.
    async fn stay_with(
        &self,
        ip: Ipv4Addr,
        position: &mut ReplicationPosition,
        next: &mut VecDeque<Ipv4Addr>,
    ) {
        let mut is_first = true;
        loop {
            // The first response is not held: it says whether this machine is worth staying with.
            let result = self.call(ip, position, if is_first { 0 } else { HOLD_MS }).await;
            let FollowResult::Updated { confirmed_ago, .. } = result else { return };
            let is_behind = confirmed_ago.is_none_or(|ago| f64::from(ago) > IN_TOUCH);
            if is_first && !is_behind {
                log::info!("session: with {}, edition {}", ip, self.view.edition());
            }
            self.core_machine.set(Some(ip));
            self.position.set(*position);
            if is_behind && !next.is_empty() || !self.core_machines().contains(&ip) {
                return;
            }
            if is_behind {
                // None is in touch: called again, but not at once.
                next.clear();
                tokio::time::sleep(RETRY_DELAY).await;
                return;
            }
            is_first = false;
        }
    }

    /// Tells changes of state besides the call that may be held just now.
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

    /// Tells what makes a server suspect besides the call that may be held just now.
    async fn send_strong_observations(&self) {
        loop {
            self.strong_observation.notified().await;
            if let Some(ip) = self.core_machine.get() {
                let _ = self.call(ip, &mut self.position.get(), 0).await;
            }
        }
    }

    /// Follows a few other limiters, for the life of the process.
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

    /// Draws another limiter with a session. Updates come in from afar by one: traffic between regions is expensive.
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

/// The order in which a limiter prefers core machines.
fn preference(name: &str, ip: Ipv4Addr) -> u64 {
    name.bytes().fold(u64::from(u32::from(ip)), |x, byte| {
        (x ^ u64::from(byte)).wrapping_mul(0x9e37_79b9_7f4a_7c15).rotate_left(31)
    })
}
