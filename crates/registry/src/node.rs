//! The registry of one core machine, without its sockets: follows the other core machines, discovers the voters of the
//! store, and times out servers and sessions.

use crate::catalog_view::CatalogView;
use crate::control_api::ControlApi;
use crate::quorum_client::QuorumClient;
use crate::voters;
use bytes::Bytes;
use oatbank_cluster_state::admin_query::{error_table, Commands};
use oatbank_cluster_state::clock::MonotonicClock;
use oatbank_cluster_state::cluster_view::ClusterView;
use oatbank_cluster_state::messages::{call, Table};
use oatbank_cluster_state::pause_detector::TICK_INTERVAL;
use oatbank_cluster_state::replication::{follow_once, FollowOptions, FollowResult, ReplicationPosition};
use oatbank_config_store::client::RegisterClient;
use oatbank_node_runtime::log;
use oatbank_node_runtime::process::ReloadableSettings;
use oatbank_node_runtime::rpc::{Handler, RpcClient};
use oatbank_node_runtime::settings::port_offset::{REGISTRY, STORE};
use oatbank_node_runtime::settings::Settings;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

/// Interval between checks for timeouts.
const EXPIRE_INTERVAL: Duration = Duration::from_millis(TICK_INTERVAL as u64);
/// A process may time out others once it has listened without interruption for a server's timeout plus this, ms.
const LISTEN_SLACK: f64 = 1000.0;
/// Delay before a failed call is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Timeout for asking the stores for the voters.
const DISCOVERY_TIMEOUT: Duration = Duration::from_millis(800);
/// Interval between checks for changes of the voters.
const VOTERS_INTERVAL: Duration = Duration::from_millis(500);
/// How long a peer may hold the response to a long poll, ms.
const HOLD_MS: u32 = 300;

/// The registry of one core machine.
pub struct RegistryNode {
    settings: Rc<ReloadableSettings>,
    view: Rc<ClusterView>,
    catalog: Rc<CatalogView>,
    register: Rc<RegisterClient>,
    /// Core machines that this one follows.
    peers: RefCell<BTreeSet<Ipv4Addr>>,
}

impl RegistryNode {
    /// Creates a registry that follows no peers and knows no voters.
    pub fn new(settings: Rc<ReloadableSettings>, clock: MonotonicClock) -> Rc<Self> {
        let now = settings.settings();
        let view = ClusterView::new(clock, now.heartbeat_interval);
        let catalog = CatalogView::new(view.clone());
        let register = Rc::new(RegisterClient::new(u64::from(u32::from(now.ip))));
        Rc::new(RegistryNode { settings, view, catalog, register, peers: RefCell::default() })
    }

    /// Returns this machine's view of the cluster.
    pub fn view(&self) -> &Rc<ClusterView> {
        &self.view
    }

    /// Returns this machine's service catalog.
    pub fn catalog(&self) -> &Rc<CatalogView> {
        &self.catalog
    }

    /// Polls the store's voters and returns their table for `oatbankctl voters`.
    pub async fn voters_table(self: Rc<Self>) -> Table {
        if self.register.voters().is_empty() {
            return error_table("no store has named its voters yet".into());
        }
        let (configuration, responses) = self.register.poll_voters().await;
        voters::show(&configuration, &responses)
    }

    /// Returns the handler of calls from other processes of the system.
    pub fn handler(&self, commands: Commands) -> Handler {
        let (view, commands) = (self.view.clone(), Rc::new(commands));
        Rc::new(move |kind, body: Bytes| {
            let (view, commands) = (view.clone(), commands.clone());
            Box::pin(async move {
                match kind {
                    call::FOLLOW => view.answer_bytes(body).await,
                    call::QUERY => commands.answer_bytes(body).await,
                    _ => Vec::new(),
                }
            })
        })
    }

    /// Starts to follow the core machines in the settings, and to time out servers and sessions.
    pub fn start_following(self: &Rc<Self>) {
        let settings = self.settings.settings();
        self.follow_peers(&settings, settings.seeds.iter().map(|seed| *seed.ip()));
        tokio::task::spawn_local(self.clone().expire_forever());
    }

    /// Waits until a store has named the voters, starts the tasks that follow them and refresh the agreed state, and returns
    /// the API for external callers.
    pub async fn open_control_api(self: &Rc<Self>) -> Rc<ControlApi> {
        let settings = self.settings.settings();
        self.find_voters(&settings).await;
        let quorum = QuorumClient::new(self.view.clone(), self.register.clone(), settings.ip);
        tokio::task::spawn_local(quorum.clone().refresh_forever());
        tokio::task::spawn_local(self.clone().follow_voters(quorum.clone()));
        let zones = settings.zones.iter().map(|(zone, _)| zone.clone()).collect();
        ControlApi::new(self.view.clone(), quorum, zones, settings.bounds.ttl_max_s)
    }

    async fn find_voters(&self, settings: &Settings) {
        let mut is_logged = false;
        while self.register.voters().is_empty() {
            self.register.discover_voters(&store_addresses(settings), DISCOVERY_TIMEOUT).await;
            if !self.register.voters().is_empty() {
                return;
            }
            if !is_logged {
                log::warn!("registry: no store has named its voters yet");
                is_logged = true;
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }

    /// Follows each core machine that is a seed or a voter. The known voters change with the agreed configuration. While no
    /// majority answers, the seeds in the current settings are asked for the voters.
    async fn follow_voters(self: Rc<Self>, quorum: Rc<QuorumClient>) {
        loop {
            let settings = self.settings.settings();
            quorum.rediscover_voters(&store_addresses(&settings)).await;
            let voters: Vec<Ipv4Addr> = self.register.voters().into_iter().filter_map(ipv4).collect();
            let seeds = settings.seeds.iter().map(|seed| *seed.ip());
            self.follow_peers(&settings, seeds.chain(voters.clone()));
            let configuration = self.register.configuration();
            if !configuration.is_changing() {
                let version = 1 + configuration.proposed_in.round;
                self.view.set_core_members(version, voters.into_iter());
            }
            tokio::time::sleep(VOTERS_INTERVAL).await;
        }
    }

    /// Starts to follow these core machines, except this one and those already followed.
    fn follow_peers(&self, settings: &Settings, ips: impl Iterator<Item = Ipv4Addr>) {
        for ip in ips.filter(|ip| *ip != settings.ip) {
            if self.peers.borrow_mut().insert(ip) {
                let peer = RpcClient::new(settings.rpc_address_of(ip, REGISTRY));
                let name = settings.node_name.clone();
                tokio::task::spawn_local(follow_forever(self.view.clone(), peer, name, settings.ip));
            }
        }
    }

    /// Times out servers and sessions. A process that was paused, has just started, or was out of touch with a majority may
    /// have missed heartbeats, so it times out nothing until it has listened for longer than a timeout.
    async fn expire_forever(self: Rc<Self>) {
        let view = &self.view;
        let mut listening_since = view.now();
        loop {
            let paused = view.tick();
            if let Some(ms) = paused {
                log::warn!("registry: was paused for {} ms", ms as u64);
            }
            let now = view.now();
            if paused.is_some() || !view.in_touch() {
                listening_since = now;
            }
            let needed = view.with(|table, _| table.server_timeout()) + LISTEN_SLACK;
            let may_expire = now - listening_since > needed && view.with(|table, now| table.is_warm(now));
            let in_touch_at = view.confirmed_at().filter(|_| may_expire);
            view.change(|table, now| table.expire(now, in_touch_at));
            self.catalog.refresh();
            tokio::time::sleep(EXPIRE_INTERVAL).await;
        }
    }
}

fn ipv4(address: SocketAddr) -> Option<Ipv4Addr> {
    match address.ip() {
        IpAddr::V4(ip) => Some(ip),
        IpAddr::V6(_) => None,
    }
}

/// Returns the addresses of the stores on this machine and on the seeds.
fn store_addresses(settings: &Settings) -> Vec<SocketAddr> {
    let seeds = settings.seeds.iter().map(|seed| *seed.ip());
    std::iter::once(settings.ip).chain(seeds).map(|ip| settings.rpc_address_of(ip, STORE)).collect()
}

async fn follow_forever(view: Rc<ClusterView>, peer: Rc<RpcClient>, name: String, ip: Ipv4Addr) {
    let mut position = ReplicationPosition::default();
    loop {
        let options = FollowOptions {
            name: name.clone(),
            every_change: true,
            core_ip: Some(ip),
            hold_ms: HOLD_MS,
            ..FollowOptions::default()
        };
        if follow_once(&view, &peer, &mut position, options).await == FollowResult::NoResponse {
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }
}
