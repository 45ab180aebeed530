//! Fleet membership: connects the state machine of `oatbank_fleet` to the sockets and the engine.

mod api;
mod apply;
pub mod command;
mod edit;
pub mod zone_command;
mod zones;

use crate::members::credentials;
use apply::Applied;
use oatbank_engine::config::{Base, CoordinatorFolder, Fleet as Settings, FleetPeer};
use oatbank_engine::engine::Engine;
use oatbank_engine::ports::clock::Clock;
use oatbank_engine::ports::membership::MembershipSink;
use oatbank_engine::supervise::keep_running;
use oatbank_engine::upstreams::http1::Http1;
use oatbank_fleet::decider::{Proposal, ProposalOutcome};
use oatbank_fleet::document::Revision;
use oatbank_fleet::election::RegisterResponse;
use oatbank_fleet::member::ActiveRules;
use oatbank_fleet::message::{FrameCodec, FrameError, Message, Verdict, MAX_FRAME_BYTES};
use oatbank_fleet::node::{Event, Node, NodeOptions, Output};
use oatbank_fleet::{Millis, Peer};
use oatbank_zookeeper::registers::Registers;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::hash::{BuildHasher, Hasher, RandomState};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::{oneshot, Notify};

/// Default timeout of a proposal, ms.
pub const DEFAULT_PROPOSAL_TIMEOUT_MS: Millis = 4000;

/// Frames and bytes sent and received on the socket.
#[derive(Clone, Copy, Debug, Default, serde::Serialize)]
struct Traffic {
    sent: u64,
    sent_bytes: u64,
    received: u64,
    received_bytes: u64,
}

/// Member of a fleet.
pub struct Fleet {
    node: RefCell<Node>,
    settings: Settings,
    codec: FrameCodec,
    socket: UdpSocket,
    /// Registers in which the decider is elected, if it is not fixed.
    tree: Option<Rc<Registers>>,
    clock: Rc<dyn Clock>,
    engine: Rc<Engine<Http1>>,
    applied: RefCell<Applied>,
    waiting: RefCell<HashMap<u64, oneshot::Sender<ProposalOutcome>>>,
    next_ticket: Cell<u64>,
    traffic: Cell<Traffic>,
    /// Dropped frames by reason: unknown peers, other fleets or versions, and damaged frames.
    drops: RefCell<BTreeMap<FrameError, u64>>,
    /// Number of leases that expired without renewal.
    lapses: Cell<u64>,
    /// Random id that distinguishes this process from others of its name.
    life: u64,
    zone_state: zones::ZoneState,
    /// Notified when the node's next timer may have become earlier.
    deadline_changed: Notify,
}

impl Fleet {
    /// Joins the fleet. From then on the engine applies the fleet's rules only, and rejects requests until they are
    /// known. `servers` receives the servers of the rules.
    ///
    /// # Errors
    /// If the socket cannot be bound; the message names the key.
    pub fn join(
        settings: &Settings,
        base: Base,
        engine: Rc<Engine<Http1>>,
        servers: MembershipSink,
        clock: Rc<dyn Clock>,
    ) -> Result<Rc<Self>, String> {
        let socket = std::net::UdpSocket::bind(settings.listen).and_then(|socket| {
            socket.set_nonblocking(true)?;
            UdpSocket::from_std(socket)
        });
        let socket = socket.map_err(|e| format!("fleet.listen {}: {e}", settings.listen))?;
        let now = clock.now() as Millis;
        let options = NodeOptions {
            timing: settings.timing,
            me: settings.me,
            peers: settings.peers.len() as u16,
            decider: settings.decider,
            incarnation: now,
            // Random: taken from the seed of the standard library's hash maps.
            seed: RandomState::new().build_hasher().finish(),
            first: base.rules().into(),
        };
        let place = f64::from(settings.me.0) / settings.peers.len().max(1) as f64;
        let fleet = Rc::new(Fleet {
            node: RefCell::new(Node::new(&options, now)),
            settings: settings.clone(),
            codec: FrameCodec::new(&settings.key),
            socket,
            tree: settings.tree.as_ref().map(|tree| open_registers(tree, settings.timing.lease)),
            clock,
            engine: engine.clone(),
            applied: RefCell::new(Applied::new(base, engine.clone(), servers, place)),
            waiting: RefCell::default(),
            next_ticket: Cell::new(1),
            traffic: Cell::default(),
            drops: RefCell::default(),
            lapses: Cell::new(0),
            life: options.seed,
            zone_state: zones::ZoneState::default(),
            deadline_changed: Notify::new(),
        });
        engine.hold_readiness(true);
        let guard = Rc::downgrade(&fleet);
        engine.set_guard(Rc::new(move || guard.upgrade().and_then(|fleet| fleet.refresh_rules())));
        let receiving = fleet.clone();
        keep_running("fleet", move || receiving.clone().receive_frames());
        let ticking = fleet.clone();
        keep_running("fleet's timers", move || ticking.clone().tick());
        if let Some(tree) = fleet.tree.clone() {
            keep_running("fleet's registers", move || tree.clone().run());
        }
        if settings.zones {
            engine.count_zones();
            let leading = fleet.clone();
            keep_running("fleet's zones", move || leading.clone().run_zones());
        }
        let decider = settings.decider.map_or("whom the coordinator elects", |peer| fleet.name(peer));
        let me = fleet.name(settings.me);
        let listen = fleet.socket.local_addr().unwrap_or(settings.listen);
        tracing::info!("fleet: {me} of {} limiters at {listen}, {decider} decides", settings.peers.len());
        Ok(fleet)
    }

    /// Returns a limiter's name, or `?` for an unknown one.
    fn name(&self, peer: Peer) -> &str {
        self.peer(peer).map_or("?", |p| p.name.as_str())
    }

    /// Returns the name of the decider, as far as it is known.
    fn decider(&self) -> &str {
        let (decider, _) = self.node.borrow().decider();
        decider.map_or("nobody that is known of", |peer| self.name(peer))
    }

    fn peer(&self, peer: Peer) -> Option<&FleetPeer> {
        self.settings.peers.get(usize::from(peer.0))
    }

    fn now(&self) -> Millis {
        self.clock.now() as Millis
    }

    /// Proposes a change and waits for its outcome.
    pub async fn propose(self: &Rc<Self>, ask: Proposal) -> ProposalOutcome {
        let ticket = self.next_ticket.replace(self.next_ticket.get() + 1);
        let (outcome_tx, outcome_rx) = oneshot::channel();
        self.waiting.borrow_mut().insert(ticket, outcome_tx);
        self.feed(Event::Propose(Proposal { ticket, ..ask }));
        // Each proposal gets one outcome, unless the process is ending.
        outcome_rx.await.unwrap_or(ProposalOutcome::TimedOut(Vec::new()))
    }

    /// Handles changed rules in the configuration file: the decider proposes them; other limiters only log a warning and
    /// use them at the next start.
    pub fn reloaded(self: &Rc<Self>, rules: String) {
        if self.node.borrow().as_decider().is_none() {
            let decider = self.decider();
            tracing::warn!("fleet: ignoring the file's rules; changes are decided by {decider}");
            return;
        }
        let fleet = self.clone();
        tokio::task::spawn_local(async move {
            let author = "SIGHUP".to_owned();
            let ask = Proposal {
                author,
                text: rules.into(),
                timeout: DEFAULT_PROPOSAL_TIMEOUT_MS,
                ..Proposal::default()
            };
            let answer = fleet.propose(ask).await;
            tracing::info!("fleet: the file's rules: {}", fleet.outcome_reply(&answer).1);
        });
    }

    /// Applies the rules that are valid now. If there are none, returns how long clients should wait, ms. Runs before every
    /// request and attempt, so that a process that was suspended does not act on expired rules.
    fn refresh_rules(self: &Rc<Self>) -> Option<f64> {
        let now = self.now();
        if self.node.borrow().next_due(now) <= now {
            // The process was suspended or busy: overdue timers run before the rules are used.
            self.handle_event(Event::Tick);
        }
        let active_rules = self.node.borrow().active_rules(now);
        if !self.applied.borrow().is(active_rules) {
            self.apply_rules(active_rules);
        }
        (active_rules == ActiveRules::Reject).then_some(self.settings.timing.lease as f64)
    }

    fn apply_rules(&self, active_rules: ActiveRules) {
        let (held, other) = {
            let node = self.node.borrow();
            (node.held().cloned(), node.confirmed().cloned())
        };
        match (active_rules, &held) {
            (ActiveRules::Current(id), Some(held)) => {
                tracing::info!("fleet: applying {id} ({})", held.head.digest);
            }
            (ActiveRules::Strict(id, None), _) => tracing::warn!("fleet: isolated; continuing with {id}"),
            (ActiveRules::Strict(id, Some(other)), _) => {
                tracing::warn!("fleet: isolated; continuing with the stricter rules of {id} and {other}");
            }
            _ => tracing::warn!("fleet: isolated, or the rules are not known; rejecting requests"),
        }
        if !matches!(active_rules, ActiveRules::Current(_)) && self.applied.borrow().is_current() {
            self.lapses.set(self.lapses.get() + 1);
        }
        self.engine.hold_readiness(active_rules == ActiveRules::Reject);
        self.applied.borrow_mut().apply_rules(active_rules, held.as_deref(), other.as_deref());
    }

    fn feed(self: &Rc<Self>, event: Event) {
        self.handle_event(event);
        self.refresh_rules();
        self.deadline_changed.notify_one();
    }

    fn handle_event(self: &Rc<Self>, event: Event) {
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            let now = self.now();
            self.node.borrow_mut().handle(now, event);
            loop {
                let Some(output) = self.node.borrow_mut().output() else { break };
                self.carry_out(output, &mut events);
            }
        }
    }

    fn carry_out(self: &Rc<Self>, output: Output, events: &mut VecDeque<Event>) {
        match output {
            Output::Send(to, message) => self.send(to, &message),
            Output::Check(revision) => {
                let verdict = self.check(&revision);
                events.push_back(Event::Checked(revision.id(), verdict));
            }
            Output::Register(register, serial, ask) => {
                let (fleet, tree) = (self.clone(), self.tree.clone());
                tokio::task::spawn_local(async move {
                    let outcome = match &tree {
                        Some(tree) => tree.carry_out(register, ask).await,
                        None => RegisterResponse::Unknown,
                    };
                    fleet.feed(Event::Register(register, serial, outcome));
                });
            }
            // The active rules are checked after every event.
            Output::Activate(_) | Output::Deactivate => {}
            Output::ProposalFinished(ticket, answer) => {
                if let Some(outcome_tx) = self.waiting.borrow_mut().remove(&ticket) {
                    // The caller may have disconnected.
                    let _ = outcome_tx.send(answer);
                }
            }
        }
    }

    fn check(&self, revision: &Arc<Revision>) -> Verdict {
        match self.applied.borrow_mut().check(revision) {
            Ok(()) => Verdict::Confirmed,
            Err(reason) => {
                tracing::warn!("fleet: cannot apply {}: {reason}", revision.id());
                Verdict::Vetoed(reason)
            }
        }
    }

    fn send(&self, to: Peer, message: &Message) {
        let Some(peer) = self.peer(to) else { return };
        let frame = self.codec.frame(self.settings.me, to, message);
        // Lost frames are not retried here: the protocol requests everything that matters again.
        if self.socket.try_send_to(&frame, peer.address).is_ok() {
            let traffic = self.traffic.get();
            let (sent, sent_bytes) = (traffic.sent + 1, traffic.sent_bytes + frame.len() as u64);
            self.traffic.set(Traffic { sent, sent_bytes, ..traffic });
        }
    }

    async fn receive_frames(self: Rc<Self>) {
        let mut buffer = [0; MAX_FRAME_BYTES + 1];
        loop {
            let Ok((len, _)) = self.socket.recv_from(&mut buffer).await else {
                // Reports errors of earlier sends, such as a refused port. The delay keeps a persistent error from spinning.
                self.clock.until(self.clock.now() + 1.0).await;
                continue;
            };
            let traffic = self.traffic.get();
            let (received, received_bytes) = (traffic.received + 1, traffic.received_bytes + len as u64);
            self.traffic.set(Traffic { received, received_bytes, ..traffic });
            match self.codec.read(self.settings.me, &buffer[..len]) {
                Ok((from, _)) if self.peer(from).is_none() => self.drop_frame(FrameError::Malformed),
                Ok((from, Message::Attachment(bytes))) => self.receive_zone_report(from, &bytes),
                Ok((from, message)) => self.feed(Event::Message(from, message)),
                Err(why) => self.drop_frame(why),
            }
        }
    }

    fn drop_frame(&self, why: FrameError) {
        *self.drops.borrow_mut().entry(why).or_default() += 1;
    }

    async fn tick(self: Rc<Self>) {
        loop {
            let now = self.now();
            let due = self.node.borrow().next_due(now);
            if due <= now {
                self.feed(Event::Tick);
                // Yields even if the node is still due, so that other tasks can run.
                tokio::task::yield_now().await;
                if self.node.borrow().next_due(now) <= now {
                    self.clock.until(self.clock.now() + 1.0).await;
                }
                continue;
            }
            tokio::select! {
                () = self.clock.until(due as f64) => {}
                () = self.deadline_changed.notified() => {}
            }
            if self.now() >= due {
                self.feed(Event::Tick);
            }
        }
    }
}

/// Creates the registers. A request times out after half a lease, which leaves time for another one.
fn open_registers(tree: &CoordinatorFolder, lease: Millis) -> Rc<Registers> {
    let config = oatbank_zookeeper::Config {
        cluster: tree.cluster.clone(),
        path: tree.path.clone(),
        session_timeout: Duration::from_millis(4000),
        auth: credentials(tree.auth.as_deref()),
    };
    Registers::new(config, Duration::from_millis(lease / 2))
}
