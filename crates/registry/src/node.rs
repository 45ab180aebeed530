//! A registry without its sockets: what it follows, whom it asks, and what it says of those who are silent.

use crate::catalog_view::Names;
use crate::control_api::Outside;
use crate::quorum_client::Council;
use crate::voters;
use bytes::Bytes;
use oatbank_cluster_state::admin_query::{refused, Commands};
use oatbank_cluster_state::messages::{call, Table};
use oatbank_cluster_state::pause_detector::PULSE;
use oatbank_cluster_state::replication::{ask, Asking, Heard, Knowledge, Place, Steady};
use oatbank_config_store::client::RegisterClient;
use oatbank_node_runtime::log;
use oatbank_node_runtime::process::Told;
use oatbank_node_runtime::rpc::{Answering, Link};
use oatbank_node_runtime::settings::place::{REGISTRY, STORE};
use oatbank_node_runtime::settings::Settings;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

/// Between two looks for silence.
const LOOK: Duration = Duration::from_millis(PULSE as u64);
/// Who judges others has listened for so much longer than a silence takes, ms.
const LISTENED_MORE: f64 = 1000.0;
/// A peer is asked again so soon after a failure.
const AGAIN: Duration = Duration::from_millis(100);
/// The stores are asked for their voters within this.
const WHO_WITHIN: Duration = Duration::from_millis(800);
/// Between two looks at who votes.
const VOTERS_EVERY: Duration = Duration::from_millis(500);
/// What a peer's answer may be held.
const HOLD: u32 = 300;

/// A registry.
pub struct Station {
    told: Rc<Told>,
    known: Rc<Knowledge>,
    names: Rc<Names>,
    client: Rc<RegisterClient>,
    /// Core machines that are followed.
    peers: RefCell<BTreeSet<Ipv4Addr>>,
}

impl Station {
    /// Knows nothing yet.
    pub fn new(told: Rc<Told>, clock: Steady) -> Rc<Self> {
        let settings = told.settings();
        let known = Knowledge::new(clock, settings.beat_every);
        let names = Names::new(known.clone());
        let client = Rc::new(RegisterClient::new(u64::from(u32::from(settings.ip))));
        Rc::new(Station { told, known, names, client, peers: RefCell::default() })
    }

    /// What it knows.
    pub fn known(&self) -> &Rc<Knowledge> {
        &self.known
    }

    /// The catalogue as it has it.
    pub fn names(&self) -> &Rc<Names> {
        &self.names
    }

    /// Who votes in the store, and what each one holds.
    pub async fn voters(self: Rc<Self>) -> Table {
        if self.client.voters().is_empty() {
            return refused("no store names its voters yet".into());
        }
        let (configuration, responses) = self.client.poll_voters().await;
        voters::show(&configuration, &responses)
    }

    /// What answers other processes of the system.
    pub fn handler(&self, commands: Commands) -> Rc<dyn Fn(u8, Bytes) -> Answering> {
        let (telling, commands) = (self.known.clone(), Rc::new(commands));
        Rc::new(move |kind, body| {
            let (known, commands) = (telling.clone(), commands.clone());
            Box::pin(async move {
                match kind {
                    call::FOLLOW => known.answer_bytes(body).await,
                    call::QUERY => commands.answer_bytes(body).await,
                    _ => Vec::new(),
                }
            })
        })
    }

    /// Begins to follow the other core machines that it was told of, and to look for silence.
    pub fn listens(self: &Rc<Self>) {
        let settings = self.told.settings();
        self.follow_peers(&settings, settings.seeds.iter().map(|s| *s.ip()));
        tokio::task::spawn_local(self.clone().look());
    }

    /// Waits until a store names the voters, and keeps up with them from then on; what answers callers from outside.
    pub async fn opens(self: &Rc<Self>) -> Rc<Outside> {
        let settings = self.told.settings();
        self.find_voters(&settings).await;
        let council = Council::new(self.known.clone(), self.client.clone(), settings.ip);
        tokio::task::spawn_local(council.clone().keep_up());
        tokio::task::spawn_local(self.clone().follow_voters());
        let zones = settings.zones.iter().map(|(zone, _)| zone.clone()).collect();
        Outside::new(self.known.clone(), council, zones, settings.bounds.ttl_max_s)
    }

    /// Waits until a store names the voters.
    async fn find_voters(&self, settings: &Settings) {
        let mut told = false;
        while self.client.voters().is_empty() {
            self.client.discover_voters(&stores(settings), WHO_WITHIN).await;
            if !self.client.voters().is_empty() {
                return;
            }
            if !told {
                log::warn!("registry: no store names its voters yet");
                told = true;
            }
            tokio::time::sleep(AGAIN).await;
        }
    }

    /// Follows all core machines that are seeds or vote, as they come. The voters known here change with what is agreed;
    /// where none of them answers any more, the seeds of the moment are asked.
    async fn follow_voters(self: Rc<Self>) {
        let (known, client) = (&self.known, &self.client);
        loop {
            let settings = self.told.settings();
            if !known.in_touch() {
                client.discover_voters(&stores(&settings), WHO_WITHIN).await;
            }
            let voters = client.voters().into_iter().filter_map(|voter| match voter.ip() {
                IpAddr::V4(ip) => Some(ip),
                IpAddr::V6(_) => None,
            });
            let voters: Vec<Ipv4Addr> = voters.collect();
            self.follow_peers(&settings, settings.seeds.iter().map(|s| *s.ip()).chain(voters.clone()));
            let configuration = client.configuration();
            if !configuration.is_changing() {
                known.set_core(1 + configuration.proposed_in.round, voters.into_iter());
            }
            tokio::time::sleep(VOTERS_EVERY).await;
        }
    }

    /// Follows the other core machines that are not followed yet.
    fn follow_peers(&self, settings: &Settings, ips: impl Iterator<Item = Ipv4Addr>) {
        for ip in ips.filter(|ip| *ip != settings.ip) {
            if self.peers.borrow_mut().insert(ip) {
                let link = Link::new(settings.inner_of(ip, REGISTRY));
                tokio::task::spawn_local(follow(
                    self.known.clone(),
                    link,
                    settings.node.clone(),
                    settings.ip,
                ));
            }
        }
    }

    /// Looks for silence. Who stood still, has just begun, or was not in touch with a majority has heard nothing, and
    /// says nothing of others until it has listened for longer than a silence takes.
    async fn look(self: Rc<Self>) {
        let known = &self.known;
        let mut listens_since = known.now();
        loop {
            let stood = known.pulse();
            if let Some(ms) = stood {
                log::warn!("registry: stood still for {} ms", ms as u64);
            }
            let now = known.now();
            if stood.is_some() || !known.in_touch() {
                listens_since = now;
            }
            let listened = known.with(|book, _| book.silence()) + LISTENED_MORE;
            let may_judge = now - listens_since > listened && known.with(|book, now| book.is_warm(now));
            let judges_as_of = known.fresh_at().filter(|_| may_judge);
            known.change(|book, now| book.look(now, judges_as_of));
            self.names.look();
            tokio::time::sleep(LOOK).await;
        }
    }
}

/// The stores to ask who votes.
fn stores(settings: &Settings) -> Vec<SocketAddr> {
    let own = std::iter::once(settings.ip);
    own.chain(settings.seeds.iter().map(|s| *s.ip())).map(|ip| settings.inner_of(ip, STORE)).collect()
}

async fn follow(known: Rc<Knowledge>, link: Rc<Link>, name: String, ip: Ipv4Addr) {
    let mut place = Place::default();
    loop {
        let (name, core_ip) = (name.clone(), Some(ip));
        let asking = Asking { name, each: true, core_ip, hold: HOLD, ..Asking::default() };
        if ask(&known, &link, &mut place, asking).await == Heard::Nothing {
            tokio::time::sleep(AGAIN).await;
        }
    }
}
