//! A proxy's front and request handler on loopback sockets, without a core: the test applies the configurations.

use oatbank_cluster_state::clock::MonotonicClock;
use oatbank_cluster_state::cluster_view::ClusterView;
use oatbank_cluster_state::messages::{AgreedState, MemberRow, ServerRow};
use oatbank_cluster_state::state::{member_state, server_state};
use oatbank_engine::front::connection_ends::EndReport;
use oatbank_engine::front::{Front, FrontLimits};
use oatbank_node_runtime::process::ReloadableSettings;
use oatbank_node_runtime::settings::Settings;
use oatbank_proxy::front_adapter::FrontAdapter;
use oatbank_proxy::quota_counter::{CountFuture, QuotaCounter, QuotaPeers};
use oatbank_proxy::request_handler::{budget, RequestHandler};
use oatbank_testkit::{LoopThread, PATIENCE};
use std::cell::Cell;
use std::io::BufReader;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::sync::mpsc;
use std::time::Duration;

/// Number of other limiters, which own the counters of most tenants.
const OTHER_LIMITERS: u64 = 50;

/// Owners of counters that never answer.
#[derive(Default)]
struct SilentOwners {
    has_been_called: Cell<bool>,
}

impl QuotaPeers for SilentOwners {
    fn count(&self, _: SocketAddr, _: Vec<u8>, _: Duration) -> CountFuture {
        self.has_been_called.set(true);
        Box::pin(std::future::pending())
    }
}

/// The parts of a proxy, on its own thread.
pub struct Proxy {
    view: Rc<ClusterView>,
    handler: Rc<RequestHandler>,
    front: Rc<Front<FrontAdapter>>,
    owners: Rc<SilentOwners>,
}

/// A running proxy.
pub struct RunningProxy {
    pub address: SocketAddr,
    proxy: LoopThread<Proxy>,
}

impl RunningProxy {
    /// Starts a proxy that knows one server for each of these services.
    pub fn start(servers: Vec<(&'static str, SocketAddr)>) -> RunningProxy {
        let (sender, receiver) = mpsc::channel();
        let proxy = LoopThread::start(move || async move {
            let proxy = Rc::new(Proxy::new(&servers));
            let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
            sender.send(listener.local_addr().expect("an address")).expect("the test");
            tokio::task::spawn_local(proxy.front.clone().close_stalled_connections());
            tokio::task::spawn_local(proxy.front.clone().accept(Rc::new(listener)));
            proxy
        });
        RunningProxy { address: receiver.recv().expect("a proxy"), proxy }
    }

    /// Puts an edition of the configuration in force.
    pub fn apply(&self, edition: u64, config: String) {
        self.proxy.with(move |proxy| proxy.apply(edition, config));
    }

    /// Opens a connection. The proxy is in contact with the core at that moment.
    pub fn connect(&self) -> (TcpStream, BufReader<TcpStream>) {
        self.proxy.with(|proxy| proxy.view.confirm(proxy.view.now(), proxy.view.edition()));
        let stream = TcpStream::connect(self.address).expect("a connection");
        stream.set_read_timeout(Some(PATIENCE)).expect("a timeout");
        let reader = BufReader::new(stream.try_clone().expect("a clone"));
        (stream, reader)
    }

    /// Number of open client connections.
    pub fn open(&self) -> usize {
        self.proxy.with(|proxy| proxy.front.open())
    }

    /// Whether an owner of counters has been called.
    pub fn has_called_owner(&self) -> bool {
        self.proxy.with(|proxy| proxy.owners.has_been_called.get())
    }

    /// Number of requests that wait for a server or its answer.
    pub fn at_servers(&self) -> usize {
        self.proxy.with(|proxy| proxy.handler.unanswered())
    }

    /// Ends of connections that left something unanswered, since the last call.
    pub fn end_reports(&self) -> Vec<EndReport> {
        self.proxy.with(|proxy| proxy.front.ends().take_reports())
    }
}

impl Proxy {
    fn new(servers: &[(&str, SocketAddr)]) -> Proxy {
        let node = Settings::parse(include_str!("../../../node-runtime/tests/node.toml")).expect("settings");
        let settings = Rc::new(ReloadableSettings::new(String::new(), node));
        let node = settings.settings();
        let view = ClusterView::new(MonotonicClock::start(), node.heartbeat_interval);
        view.change(|table, now| {
            for (service, address) in servers {
                table.merge_server(now, &server_row(&node, service, *address));
            }
            for number in 0..OTHER_LIMITERS {
                table.merge_member(now, &limiter_row(number));
            }
        });
        let owners = Rc::new(SilentOwners::default());
        let counter = QuotaCounter::new(view.clone(), owners.clone(), node.node_name.clone(), 1);
        let handler = RequestHandler::new(view.clone(), settings, counter);
        let front = Front::new(FrontAdapter(handler.clone()), budget(&node), FrontLimits::default());
        let refreshed = handler.clone();
        view.on_change(Rc::new(move || refreshed.refresh()));
        Proxy { view, handler, front, owners }
    }

    fn apply(&self, edition: u64, config: String) {
        self.view.adopt_agreed(edition, AgreedState { config, ..AgreedState::default() });
        self.view.confirm(self.view.now(), edition);
    }
}

fn server_row(node: &Settings, service: &str, address: SocketAddr) -> ServerRow {
    ServerRow {
        id: format!("i-{service}"),
        service: service.to_owned(),
        address: address.to_string(),
        zone: node.zone.clone(),
        slots: 8,
        state: server_state::READY,
        call_count: 1,
        ..ServerRow::default()
    }
}

fn limiter_row(number: u64) -> MemberRow {
    MemberRow {
        name: format!("edge-{number}"),
        incarnation: 1,
        heartbeat: 1,
        inner: SocketAddr::from(([127, 0, 0, 1], 1)).to_string(),
        state: member_state::READY,
        edition: 1,
        ..MemberRow::default()
    }
}
