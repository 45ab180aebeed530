//! Simulated machines that run the real store, registry and follower code on the simulated network and disks.

use crate::clients::OUTSIDE;
use crate::disk::{Mounted, StateFile};
use crate::history::{AppliedState, Content, Event, History};
use crate::network::{Seat, SimulatedNetwork, PLAIN};
use crate::process::Process;
use crate::{ms, Random};
use bytes::Bytes;
use oatbank_cluster_state::admin_query::Commands;
use oatbank_cluster_state::clock::MonotonicClock;
use oatbank_cluster_state::cluster_view::ClusterView;
use oatbank_cluster_state::messages::call;
use oatbank_cluster_state::state::{member_state, server_state};
use oatbank_config_store::messages::{
    kind, LocalState, LocalStateRequest, ProposalNumber, VoterConfiguration, VoterId,
};
use oatbank_config_store::voter::{Voter, VoterOptions};
use oatbank_node_runtime::error_kind::ErrorKind;
use oatbank_node_runtime::process::ReloadableSettings;
use oatbank_node_runtime::rpc::{Handler, RpcClient};
use oatbank_node_runtime::settings::port_offset::{PROXY, REGISTRY, STORE};
use oatbank_node_runtime::settings::Settings;
use oatbank_proxy::lease::{Lease, LeaseState};
use oatbank_proxy::session::{PeerClients, Session};
use oatbank_registry::control_api::ControlApi;
use oatbank_registry::node::RegistryNode;
use prost::Message;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::AbortHandle;
use tokio::time::{sleep, Instant};

/// Port of the control API on each core machine.
const CONTROL_PORT: u16 = 8688;
/// Interval at which a follower's applied state is sampled.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Longest interval between two recorded samples of an unchanged state, ms.
const RECORD_INTERVAL_MS: f64 = 250.0;

/// Machine holds the settings, disk, clock rate and running processes of one simulated machine.
pub struct Machine {
    /// IPv4 address of all processes of the machine.
    pub ip: Ipv4Addr,
    /// Settings shared by the processes of the machine.
    pub settings: Rc<ReloadableSettings>,
    /// Disk of the store process.
    pub disk: Rc<StateFile>,
    /// Clock rate relative to simulated time; 1.0 is exact.
    pub rate: Cell<f64>,
    /// Running processes by slot: 0 store, 1 registry, 2 follower.
    processes: RefCell<BTreeMap<u8, Rc<Process>>>,
    voter: RefCell<Option<Rc<Voter>>>,
    /// Task that maintains the set of voters, aborted on shutdown.
    maintenance: RefCell<Option<AbortHandle>>,
}

impl Machine {
    /// Shuts the machine down in order: its voter tries to leave for up to 1500 ms, then the processes end.
    pub async fn leave(&self, network: &Rc<SimulatedNetwork>) {
        let voter = self.voter.borrow().clone();
        if let Some(voter) = voter {
            // As in the store's main: maintenance stops before the voter asks to be removed.
            if let Some(maintenance) = self.maintenance.take() {
                maintenance.abort();
            }
            let done = Rc::new(Cell::new(false));
            let ends = done.clone();
            let leaving = Process::start(network, self.ip, |_| async move {
                let _ = tokio::time::timeout(ms(1500.0), voter.leave()).await;
                ends.set(true);
            });
            while !done.get() {
                sleep(ms(20.0)).await;
            }
            leaving.kill();
        }
        self.kill();
    }

    /// Returns whether any process has been started and not ended by a kill or loss of power.
    pub fn runs(&self) -> bool {
        !self.processes.borrow().is_empty()
    }

    /// Freezes all processes for `long` ms.
    pub fn freeze(&self, long: f64) {
        self.processes.borrow().values().for_each(|process| process.freeze(Instant::now() + ms(long)));
    }

    /// Kills all processes; the machine itself stays powered.
    pub fn kill(&self) {
        self.voter.take();
        self.processes.take().values().for_each(|process| process.kill());
    }

    /// Puts a process into a slot and kills the one that held it.
    fn run_program(&self, place: u8, process: Rc<Process>) {
        if let Some(before) = self.processes.borrow_mut().insert(place, process) {
            before.kill();
        }
    }
}

/// World holds the network, the machines and the history of one schedule.
pub struct World {
    /// Network between all machines and callers.
    pub network: Rc<SimulatedNetwork>,
    /// Record of everything that callers observe.
    pub history: Rc<History>,
    /// Core machines, which run a store and a registry.
    pub core: RefCell<Vec<Rc<Machine>>>,
    /// Follower machines.
    pub followers: RefCell<Vec<Rc<Machine>>>,
    /// Random numbers for callers and disks.
    pub random: RefCell<Random>,
    /// Set at the end of a schedule: callers start no new work.
    pub over: Cell<bool>,
    /// Number of follower processes started so far, used as their identifiers.
    processes: Cell<u64>,
    /// Number of core machines that may fail at once.
    pub tolerate: usize,
}

/// Zones of the simulated machines and servers.
pub const ZONES: [&str; 4] = ["akl-eastt", "akl-penrose", "chc-hornby", "chc-sockburn"];

fn settings(ip: Ipv4Addr, seeds: &[Ipv4Addr], first_start: bool, tolerate: usize) -> Settings {
    let text = include_str!("../../node-runtime/tests/node.toml");
    let mut settings = Settings::parse(text).expect("the example settings are valid");
    settings.node_name = format!("n-{ip}");
    settings.ip = ip;
    settings.seeds = seeds.iter().map(|ip| SocketAddrV4::new(*ip, CONTROL_PORT)).collect();
    settings.first_start = first_start;
    settings.bounds.revoked_fail = true;
    settings.tolerated.machines = tolerate as u64;
    settings.zone = ZONES[usize::from(ip.octets()[3]) % ZONES.len()].into();
    settings.region = settings.zone[..3].into();
    settings.listen_addresses = vec![("front".into(), SocketAddr::from((ip, 8686)))];
    settings
}

impl World {
    /// Creates a world with `core` core machines and `followers` followers, none of them started.
    pub fn new(seed: u64, core: usize, followers: usize) -> Rc<World> {
        let mut random = Random::new(seed);
        let network = SimulatedNetwork::new(random.number());
        let world = World {
            network,
            history: History::new(),
            core: RefCell::default(),
            followers: RefCell::default(),
            random: RefCell::new(random),
            over: Cell::new(false),
            processes: Cell::new(0),
            tolerate: (core - 1) / 2,
        };
        let seeds: Vec<Ipv4Addr> = (0..core.min(3)).map(|n| Ipv4Addr::new(10, 0, 1, 1 + n as u8)).collect();
        for n in 0..core {
            world.add_core(Ipv4Addr::new(10, 0, 1, 1 + n as u8), &seeds, true);
        }
        for n in 0..followers {
            let ip = Ipv4Addr::new(10, 0, 2, 1 + n as u8);
            let machine = world.machine(settings(ip, &seeds, true, world.tolerate));
            world.followers.borrow_mut().push(machine);
        }
        Rc::new(world)
    }

    fn machine(&self, settings: Settings) -> Rc<Machine> {
        Rc::new(Machine {
            ip: settings.ip,
            settings: Rc::new(ReloadableSettings::new(String::new(), settings)),
            disk: StateFile::new(self.random.borrow_mut().number()),
            rate: Cell::new(1.0),
            processes: RefCell::default(),
            voter: RefCell::default(),
            maintenance: RefCell::default(),
        })
    }

    /// Adds a core machine without starting it.
    pub fn add_core(&self, ip: Ipv4Addr, seeds: &[Ipv4Addr], first_start: bool) -> Rc<Machine> {
        let machine = self.machine(settings(ip, seeds, first_start, self.tolerate));
        self.core.borrow_mut().push(machine.clone());
        machine
    }

    /// Returns the addresses of the core machines.
    pub fn controls(&self) -> Vec<Ipv4Addr> {
        self.core.borrow().iter().map(|machine| machine.ip).collect()
    }

    /// Sets the seeds of all core machines and followers, in their settings and in running voters.
    pub fn set_seeds(&self, seeds: &[Ipv4Addr]) {
        for machine in self.core.borrow().iter().chain(self.followers.borrow().iter()) {
            let mut settings = machine.settings.settings();
            settings.seeds = seeds.iter().map(|ip| SocketAddrV4::new(*ip, CONTROL_PORT)).collect();
            let stores =
                settings.seeds.iter().map(|seed| settings.rpc_address_of(*seed.ip(), STORE)).collect();
            if let Some(voter) = &*machine.voter.borrow() {
                voter.set_seeds(stores);
            }
            machine.settings.replace(settings);
        }
    }

    /// Powers a core machine on and starts its store and registry.
    pub fn start_core(self: &Rc<Self>, machine: &Rc<Machine>) {
        self.network.off(machine.ip, false);
        self.start_store(machine);
        self.start_registry(machine);
    }

    /// Starts a core machine's store; a running one is killed.
    pub fn start_store(self: &Rc<Self>, machine: &Rc<Machine>) {
        let (of, at, settings) = (machine.clone(), machine.ip, machine.settings.settings());
        machine.voter.take();
        let store = Process::start(&self.network, at, |seat| async move { store(of, settings, seat).await });
        machine.disk.used_by(&store);
        machine.run_program(0, store);
        // The next start must not found a new cluster: `first_start` holds only once.
        let again = Settings { first_start: false, ..machine.settings.settings() };
        machine.settings.replace(again);
    }

    /// Starts a core machine's registry; a running one is killed.
    pub fn start_registry(self: &Rc<Self>, machine: &Rc<Machine>) {
        let of = machine.clone();
        machine.run_program(
            1,
            Process::start(&self.network, machine.ip, |seat| async move { registry(of, seat).await }),
        );
    }

    /// Powers a follower on and starts its process; a running one is killed.
    pub fn start_follower(self: &Rc<Self>, which: usize) {
        let machine = self.followers.borrow()[which].clone();
        self.network.off(machine.ip, false);
        let (world, of, process) = (self.clone(), machine.clone(), self.processes.get() + 1);
        self.processes.set(process);
        let process = Process::start(&self.network, machine.ip, |seat| async move {
            follower(world, of, seat, which, process).await;
        });
        machine.run_program(2, process);
    }

    /// Cuts the power of a machine: its processes end without closing their connections.
    pub fn lose_power(&self, machine: &Machine) {
        self.network.off(machine.ip, true);
        machine.voter.take();
        machine.processes.take().values().for_each(|process| process.lose_power());
    }

    /// Cuts, or heals, the direction from `from` to each of `to`, except to itself.
    pub fn cut(&self, from: Ipv4Addr, to: &[Ipv4Addr], heal: bool) {
        for to in to.iter().filter(|to| **to != from) {
            if heal {
                self.network.heal(from, *to);
            } else {
                self.network.cut(from, *to);
            }
        }
    }

    /// Asks the stores of all running core machines for their voters, as an operator's tool does.
    ///
    /// Returns the sorted addresses of the voters, or `None` if a store does not answer, is not a voter itself,
    /// is changing its configuration or disagrees with another one.
    pub async fn voters(&self, link_to: impl Fn(SocketAddr) -> Rc<RpcClient>) -> Option<Vec<String>> {
        let mut agreed: Option<Vec<String>> = None;
        let core: Vec<_> = self.core.borrow().iter().filter(|m| m.runs()).cloned().collect();
        for machine in core {
            let at = SocketAddr::from((machine.ip, machine.settings.settings().rpc_address(STORE).port()));
            let who = LocalStateRequest { known: ProposalNumber::default() }.encode_to_vec();
            let answer = link_to(at).call(kind::LOCAL_STATE, who, ms(800.0)).await.ok()?;
            let here = LocalState::decode(answer).ok()?;
            let founders = VoterConfiguration::founders(&here.founders);
            let record = here.record.as_ref();
            let configuration = record.and_then(|record| record.configuration.clone()).unwrap_or(founders);
            let own = VoterId { address: at.to_string(), disk_id: here.disk_id };
            let me = configuration.voters.contains(&own);
            let mut names = configuration.addresses();
            names.sort();
            if configuration.is_changing() || !me || agreed.as_ref().is_some_and(|agreed| *agreed != names) {
                return None;
            }
            agreed = Some(names);
        }
        agreed
    }
}

async fn store(machine: Rc<Machine>, settings: Settings, seat: Rc<Seat>) {
    let terms = VoterOptions {
        address: settings.rpc_address(STORE),
        seeds: settings.seeds.iter().map(|seed| settings.rpc_address_of(*seed.ip(), STORE)).collect(),
        first_start: settings.first_start,
        folder: PathBuf::new(),
        tolerated_failures: settings.tolerated.machines as usize,
    };
    let voter = loop {
        match Voter::start_at(&Mounted(machine.disk.clone()), terms.clone()) {
            Ok(voter) => break voter,
            Err(_) => sleep(ms(250.0)).await,
        }
    };
    *machine.voter.borrow_mut() = Some(voter.clone());
    tokio::task::spawn_local(voter.clone().run());
    let maintenance = tokio::task::spawn_local(voter.clone().maintain_voters());
    *machine.maintenance.borrow_mut() = Some(maintenance.abort_handle());
    seat.serve(terms.address, voter.handler());
}

async fn registry(machine: Rc<Machine>, seat: Rc<Seat>) {
    let settings = machine.settings.settings();
    let registry = RegistryNode::new(machine.settings.clone(), MonotonicClock::at_rate(machine.rate.get()));
    let commands = Commands::of(registry.view(), "oatbank-registry", &settings.node_name);
    seat.serve(settings.rpc_address(REGISTRY), registry.handler(commands));
    registry.start_following();
    let api = registry.open_control_api().await;
    seat.serve(SocketAddr::from((machine.ip, CONTROL_PORT)), api_handler(api));
}

/// Serves the control API over plain frames, without HTTP.
fn api_handler(api: Rc<ControlApi>) -> Handler {
    Rc::new(move |kind, body: Bytes| {
        let api = api.clone();
        Box::pin(async move {
            if kind != OUTSIDE && kind != PLAIN {
                return Vec::new();
            }
            let line = body.iter().position(|b| *b == b'\n').unwrap_or(body.len());
            let head = String::from_utf8_lossy(&body[..line]).into_owned();
            let (method, path) = head.split_once(' ').unwrap_or_default();
            let (status, text) = match oatbank_config_model::parse_call(method, path) {
                Some(call) => {
                    let answer = api.carry_out(call, &body[(line + 1).min(body.len())..]).await;
                    (answer.status, answer.body)
                }
                None => (ErrorKind::NotFound.status(), String::new()),
            };
            [&status.to_be_bytes()[..], text.as_bytes()].concat()
        })
    })
}

async fn follower(world: Rc<World>, machine: Rc<Machine>, seat: Rc<Seat>, which: usize, process: u64) {
    let settings = machine.settings.settings();
    let known = ClusterView::new(MonotonicClock::at_rate(machine.rate.get()), settings.heartbeat_interval);
    let telling = known.clone();
    let handler: Handler = Rc::new(move |kind, body: Bytes| {
        let known = telling.clone();
        Box::pin(async move {
            match kind {
                call::FOLLOW => known.answer_bytes(body).await,
                _ => Vec::new(),
            }
        })
    });
    seat.serve(settings.rpc_address(PROXY), handler);
    let session = Session::new(known.clone(), machine.settings.clone(), Rc::new(PeerClients::default()));
    tokio::task::spawn_local(session.clone().run());
    session.follow_limiters();
    let acts = LeaseState::new(Lease::new(&settings.bounds));
    let mut last: Option<(f64, AppliedState)> = None;
    let mut read = (0, Rc::new(Content::default()));
    loop {
        let agreed_state = known.agreed_state();
        if known.edition() != read.0 {
            read = (known.edition(), Rc::new(Content::read(&agreed_state.config)));
        }
        let knows = || known.with(|table, now| table.servers(now).next().is_some());
        let has = !agreed_state.config.is_empty();
        let active = has && acts.is_active(known.now(), known.confirmed_ago(), knows);
        session.set_state(if active { member_state::READY } else { member_state::STARTING });
        let servers = known.with(|table, now| -> Vec<String> {
            let ready =
                table.servers(now).filter(|(row, _)| row.state == server_state::READY && !row.timed_out);
            ready.map(|(row, _)| row.id.clone()).collect()
        });
        let active = AppliedState {
            acts: active,
            content: read.1.clone(),
            empty: agreed_state.evacuated_zones.clone(),
            servers: Rc::new(servers),
        };
        let now = world.history.now();
        if last.as_ref().is_none_or(|(at, before)| now - at >= RECORD_INTERVAL_MS || *before != active) {
            world.history.record(Event::Acts(which, process, active.clone()));
            last = Some((now, active));
        }
        sleep(CHECK_INTERVAL).await;
    }
}

/// RPC clients of one caller, by address.
#[derive(Default)]
pub struct Calls(RefCell<VecDeque<(SocketAddr, Rc<RpcClient>)>>);

impl Calls {
    /// Returns the client for this address and creates it on first use.
    pub fn to(&self, at: SocketAddr) -> Rc<RpcClient> {
        let mut links = self.0.borrow_mut();
        if let Some((_, link)) = links.iter().find(|(to, _)| *to == at) {
            return link.clone();
        }
        let link = RpcClient::new(at);
        links.push_back((at, link.clone()));
        link
    }

    /// Calls the control API of a core machine; returns status and body, or `None` if none came within `within` ms.
    pub async fn call(
        &self,
        to: Ipv4Addr,
        plain: bool,
        head: &str,
        body: &str,
        within: f64,
    ) -> Option<(u16, String)> {
        let kind = if plain { PLAIN } else { OUTSIDE };
        let asked = format!("{head}\n{body}").into_bytes();
        // The RPC timeout of 10 s is longer than `within`: the caller gives up without closing the connection.
        let link = self.to(SocketAddr::from((to, CONTROL_PORT)));
        let answer =
            tokio::time::timeout(ms(within), link.call(kind, asked, ms(10_000.0))).await.ok()?.ok()?;
        let status = answer.first_chunk::<2>().map(|head| u16::from_be_bytes(*head))?;
        Some((status, String::from_utf8_lossy(&answer[2..]).into_owned()))
    }
}
