//! The program `oatbank-proxy`: forwards clients' requests to servers.

use bytes::Bytes;
use oatbank_cluster_state::admin_query::Commands;
use oatbank_cluster_state::clock::MonotonicClock;
use oatbank_cluster_state::cluster_view::ClusterView;
use oatbank_cluster_state::messages::call;
use oatbank_cluster_state::outcome_service::{add_outcome_command, OutcomeService};
use oatbank_cluster_state::state::member_state;
use oatbank_engine::front::{Front, FrontLimits};
use oatbank_node_runtime::log;
use oatbank_node_runtime::process::{
    self, listen, ProcessError, Program, ReloadableSettings, SignalEvent, Signals,
};
use oatbank_node_runtime::random::random_u64;
use oatbank_node_runtime::rpc::{self, Handler};
use oatbank_node_runtime::settings::port_offset::PROXY;
use oatbank_node_runtime::settings::Settings;
use oatbank_proxy::front_adapter::FrontAdapter;
use oatbank_proxy::invariants::InvariantMonitor;
use oatbank_proxy::quota_counter::QuotaCounter;
use oatbank_proxy::readiness;
use oatbank_proxy::request_handler::{budget, RequestHandler};
use oatbank_proxy::session::{PeerClients, Session};
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::AbortHandle;
use tokio::time::Instant;

/// Interval of readiness checks and evaluations of server health.
const OBSERVE_INTERVAL: Duration = Duration::from_millis(50);
/// Interval of checks of the invariants.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Interval of refreshes for changes that only the passage of time causes.
const REFRESH_INTERVAL: Duration = Duration::from_millis(500);
/// Share of the grace period after SIGTERM in which new clients are accepted: their directory entries may be stale.
const ACCEPT_SHARE: f64 = 0.5;
/// Part of the grace period that is reserved for sending the last bytes.
const LAST_BYTES: Duration = Duration::from_millis(500);
/// Interval of checks during a shutdown.
const SHUTDOWN_POLL: Duration = Duration::from_millis(20);
/// Time within which a request's headers must be complete, ms.
const HEAD_TIMEOUT_MS: f64 = 3500.0;
/// Time after which an idle client connection is closed, ms.
const CLIENT_IDLE_MS: f64 = 15_000.0;

fn main() -> ExitCode {
    let about = "the proxy: forwards clients' requests to servers";
    process::main(&Program { name: "oatbank-proxy", about }, serve)
}

/// Components of the running program.
struct Proxy {
    view: Rc<ClusterView>,
    handler: Rc<RequestHandler>,
    counter: Rc<QuotaCounter>,
    session: Rc<Session>,
    front: Rc<Front<FrontAdapter>>,
    invariants: Rc<InvariantMonitor>,
}

async fn serve(settings: Rc<ReloadableSettings>, mut signals: Signals) -> Result<(), ProcessError> {
    let node = settings.settings();
    let front_address = node
        .listen_address("front")
        .ok_or(ProcessError::MissingSetting("listenOn.front", "an address with a port"))?;
    let proxy = Proxy::new(&settings, &node);
    tokio::task::spawn_local(rpc::serve(listen(node.rpc_address(PROXY))?, proxy.rpc_handler(&node)));
    proxy.start_background_tasks();
    let accepting = tokio::task::spawn_local(proxy.front.clone().accept(Rc::new(listen(front_address)?)));
    if let Some(address) = node.listen_address("ready") {
        tokio::task::spawn_local(readiness::serve(listen(address)?, proxy.readiness()));
    }
    log::info!("proxy: {} listens at {}", node.node_name, front_address);

    while signals.next().await != SignalEvent::Shutdown {
        if settings.reload() {
            proxy.handler.refresh();
            log::info!("settings: reloaded");
        }
    }
    proxy.shut_down(&settings.settings(), &accepting.abort_handle()).await;
    Ok(())
}

impl Proxy {
    fn new(settings: &Rc<ReloadableSettings>, node: &Settings) -> Proxy {
        let view = ClusterView::new(MonotonicClock::start(), node.heartbeat_interval);
        let peers = Rc::new(PeerClients::default());
        let counter = QuotaCounter::new(view.clone(), peers.clone(), node.node_name.clone(), random_u64());
        let handler = RequestHandler::new(view.clone(), settings.clone(), counter.clone());
        let session = Session::new(view.clone(), settings.clone(), peers);
        let limits = FrontLimits {
            head_timeout: HEAD_TIMEOUT_MS,
            idle_timeout: CLIENT_IDLE_MS,
            ..FrontLimits::default()
        };
        let front = Front::new(FrontAdapter(handler.clone()), budget(node), limits);
        let invariants = InvariantMonitor::new(handler.clone(), front.clone());
        Proxy { view, handler, counter, session, front, invariants }
    }

    /// The handler of RPCs from other processes of the system.
    fn rpc_handler(&self, node: &Settings) -> Handler {
        let outcomes =
            OutcomeService::new(self.view.clone(), node.node_name.clone(), Some(self.handler.outcomes()));
        let commands = Rc::new(self.admin_commands(node, &outcomes));
        let (view, counter) = (self.view.clone(), self.counter.clone());
        Rc::new(move |kind, body: Bytes| {
            let (view, counter) = (view.clone(), counter.clone());
            let (commands, outcomes) = (commands.clone(), outcomes.clone());
            Box::pin(async move {
                match kind {
                    call::FOLLOW => view.answer_bytes(body).await,
                    call::COUNT => counter.answer(body),
                    call::QUERY => commands.answer_bytes(body).await,
                    call::OUTCOME => outcomes.answer_bytes(body),
                    _ => Vec::new(),
                }
            })
        })
    }

    /// The commands of `oatbankctl` that this program answers.
    fn admin_commands(&self, node: &Settings, outcomes: &Rc<OutcomeService>) -> Commands {
        let mut commands = Commands::of(&self.view, "oatbank-proxy", &node.node_name);
        add_outcome_command(&mut commands, outcomes);
        let handler = self.handler.clone();
        commands.add("guard", "guard", 0, move |_| handler.attempts_table());
        let handler = self.handler.clone();
        commands.add("quotas", "quotas", 0, move |_| handler.quotas_table());
        let handler = self.handler.clone();
        commands.add("verdicts", "verdicts", 0, move |_| handler.verdicts_table());
        let invariants = self.invariants.clone();
        commands.add("invariants", "invariants", 0, move |_| invariants.table());
        let invariants = self.invariants.clone();
        commands.add("connections", "connections", 0, move |_| invariants.connections_table());
        let handler = self.handler.clone();
        let read_catalog = Rc::new(move |show: &mut dyn FnMut(&_, Option<&_>)| handler.show_catalog(show));
        oatbank_service_catalog::commands::add(&mut commands, read_catalog);
        commands
    }

    fn start_background_tasks(&self) {
        tokio::task::spawn_local(self.session.clone().run());
        self.session.follow_limiters();
        tokio::task::spawn_local(self.counter.clone().run());
        tokio::task::spawn_local(self.front.clone().close_stalled_connections());
        // Changes of the view are applied at once, changes by time alone with a delay.
        let handler = self.handler.clone();
        self.view.on_change(Rc::new(move || handler.refresh()));
        tokio::task::spawn_local(refresh_forever(self.handler.clone()));
        tokio::task::spawn_local(observe_forever(self.handler.clone(), self.session.clone()));
        tokio::task::spawn_local(check_forever(self.invariants.clone()));
    }

    fn readiness(&self) -> Rc<dyn Fn() -> bool> {
        let (handler, session) = (self.handler.clone(), self.session.clone());
        Rc::new(move || handler.is_ready() && !session.is_leaving())
    }

    /// Shuts down gracefully: announces the departure, accepts clients for a part of the grace period, and then waits for
    /// connections and at-most-once requests to finish.
    async fn shut_down(&self, node: &Settings, accepting: &AbortHandle) {
        let begun = Instant::now();
        let grace = Duration::from_secs_f64(node.bounds.grace_s);
        log::info!(
            "proxy: {} is shutting down, {} connections, {} requests unanswered",
            node.node_name,
            self.front.open(),
            self.handler.unanswered()
        );
        self.session.set_state(member_state::LEAVING);
        self.front.stop();
        tokio::time::sleep(grace.mul_f64(ACCEPT_SHARE)).await;
        accepting.abort();
        self.front.close_idle();
        let deadline = begun + grace.saturating_sub(LAST_BYTES);
        // At-most-once requests at servers are awaited even if their clients have left.
        while (self.front.open() > 0 || self.handler.at_most_once_in_flight() > 0)
            && Instant::now() < deadline
        {
            tokio::time::sleep(SHUTDOWN_POLL).await;
            self.front.close_idle();
        }
        log::info!("proxy: {} has shut down, {} connections left", node.node_name, self.front.open());
    }
}

async fn refresh_forever(handler: Rc<RequestHandler>) {
    loop {
        tokio::time::sleep(REFRESH_INTERVAL).await;
        handler.refresh();
    }
}

async fn check_forever(invariants: Rc<InvariantMonitor>) {
    loop {
        let begun = Instant::now();
        tokio::time::sleep(CHECK_INTERVAL).await;
        invariants.log_stall(CHECK_INTERVAL, begun.elapsed());
        invariants.log_new();
        invariants.log_ends();
    }
}

async fn observe_forever(handler: Rc<RequestHandler>, session: Rc<Session>) {
    loop {
        let state = if handler.is_ready() { member_state::READY } else { member_state::STARTING };
        session.set_state(state);
        session.report(handler.observe(session.incarnation()));
        tokio::time::sleep(OBSERVE_INTERVAL).await;
    }
}
