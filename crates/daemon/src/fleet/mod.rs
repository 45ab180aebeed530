//! This limiter as one of a fleet: carries what `oatbank_fleet` decides to the sockets and to the engine.

mod apply;
pub mod command;
mod edit;
mod told;
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

/// How long a change may take to be confirmed, ms, if its asker says nothing else.
pub const PATIENCE: Millis = 4000;

/// What has come and gone over the socket.
#[derive(Clone, Copy, Debug, Default, serde::Serialize)]
struct Traffic {
    sent: u64,
    sent_bytes: u64,
    received: u64,
    received_bytes: u64,
}

/// A limiter as one of its fleet.
pub struct Fleet {
    node: RefCell<Node>,
    settings: Settings,
    codec: FrameCodec,
    socket: UdpSocket,
    /// Where the decider is elected.
    tree: Option<Rc<Registers>>,
    clock: Rc<dyn Clock>,
    engine: Rc<Engine<Http1>>,
    applied: RefCell<Applied>,
    waiting: RefCell<HashMap<u64, oneshot::Sender<ProposalOutcome>>>,
    next_ticket: Cell<u64>,
    traffic: Cell<Traffic>,
    /// Frames of strangers, other fleets or other versions, and damaged ones.
    drops: RefCell<BTreeMap<FrameError, u64>>,
    /// How often a lease has ended without another.
    lapses: Cell<u64>,
    /// Tells this process from others of its name.
    life: u64,
    led: zones::Led,
    /// Told when the node may be due sooner than was known.
    sooner: Notify,
}

impl Fleet {
    /// Joins the fleet: from now on the engine acts by its rules only, and by none until they are known. `servers` is
    /// where those of the rules are told.
    ///
    /// # Errors
    /// When the socket cannot be had; names the key.
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
            // The standard library's seed of hash maps, which is random.
            seed: RandomState::new().build_hasher().finish(),
            first: base.rules().into(),
        };
        let place = f64::from(settings.me.0) / settings.peers.len().max(1) as f64;
        let fleet = Rc::new(Fleet {
            node: RefCell::new(Node::new(&options, now)),
            settings: settings.clone(),
            codec: FrameCodec::new(&settings.key),
            socket,
            tree: settings.tree.as_ref().map(|tree| registers(tree, settings.timing.lease)),
            clock,
            engine: engine.clone(),
            applied: RefCell::new(Applied::new(base, engine.clone(), servers, place)),
            waiting: RefCell::default(),
            next_ticket: Cell::new(1),
            traffic: Cell::default(),
            drops: RefCell::default(),
            lapses: Cell::new(0),
            life: options.seed,
            led: zones::Led::default(),
            sooner: Notify::new(),
        });
        engine.hold_readiness(true);
        let guard = Rc::downgrade(&fleet);
        engine.set_guard(Rc::new(move || guard.upgrade().and_then(|fleet| fleet.up_to_date())));
        let hearing = fleet.clone();
        keep_running("fleet", move || hearing.clone().hear());
        let ticking = fleet.clone();
        keep_running("fleet's timers", move || ticking.clone().tick());
        if let Some(tree) = fleet.tree.clone() {
            keep_running("fleet's registers", move || tree.clone().run());
        }
        if settings.zones {
            engine.count_zones();
            let leading = fleet.clone();
            keep_running("fleet's zones", move || leading.clone().lead_zones());
        }
        let decider = settings.decider.map_or("whom the coordinator elects", |peer| fleet.name(peer));
        let me = fleet.name(settings.me);
        let listen = fleet.socket.local_addr().unwrap_or(settings.listen);
        tracing::info!("fleet: {me} of {} limiters at {listen}, {decider} decides", settings.peers.len());
        Ok(fleet)
    }

    /// A limiter's name.
    fn name(&self, peer: Peer) -> &str {
        self.peer(peer).map_or("?", |p| p.name.as_str())
    }

    /// The name of the one that decides, as far as is known.
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

    /// Asks for a change, and waits for what becomes of it.
    pub async fn propose(self: &Rc<Self>, ask: Proposal) -> ProposalOutcome {
        let ticket = self.next_ticket.replace(self.next_ticket.get() + 1);
        let (tell, told) = oneshot::channel();
        self.waiting.borrow_mut().insert(ticket, tell);
        self.feed(Event::Propose(Proposal { ticket, ..ask }));
        // Each proposal has one answer; without, the process is ending.
        told.await.unwrap_or(ProposalOutcome::TimedOut(Vec::new()))
    }

    /// The file's own rules have changed: where this limiter decides they are proposed, elsewhere they are a hint for
    /// the next start.
    pub fn reloaded(self: &Rc<Self>, rules: String) {
        if self.node.borrow().as_decider().is_none() {
            let decider = self.decider();
            tracing::warn!("fleet: the file's rules are not taken here; {decider} decides on changes");
            return;
        }
        let fleet = self.clone();
        tokio::task::spawn_local(async move {
            let author = "SIGHUP".to_owned();
            let ask = Proposal { author, text: rules.into(), timeout: PATIENCE, ..Proposal::default() };
            let answer = fleet.propose(ask).await;
            tracing::info!("fleet: the file's rules: {}", fleet.worded(&answer).1);
        });
    }

    /// Brings the rules up to those of the moment; where there are none, how long (ms) to stay away. No request and no
    /// attempt goes on without it, so that a process that stood still acts by nothing that is over.
    fn up_to_date(self: &Rc<Self>) -> Option<f64> {
        let now = self.now();
        if self.node.borrow().next_due(now) <= now {
            // This process stood still, or was busy: what is due comes before what it acts by.
            self.turn(Event::Tick);
        }
        let active_rules = self.node.borrow().active_rules(now);
        if !self.applied.borrow().is(active_rules) {
            self.act(active_rules);
        }
        (active_rules == ActiveRules::Reject).then_some(self.settings.timing.lease as f64)
    }

    fn act(&self, active_rules: ActiveRules) {
        let (held, other) = {
            let node = self.node.borrow();
            (node.held().cloned(), node.confirmed().cloned())
        };
        match (active_rules, &held) {
            (ActiveRules::Current(id), Some(held)) => {
                tracing::info!("fleet: acts by {id} ({})", held.head.digest);
            }
            (ActiveRules::Strict(id, None), _) => tracing::warn!("fleet: cut off; goes on by {id}"),
            (ActiveRules::Strict(id, Some(other)), _) => {
                tracing::warn!("fleet: cut off; goes on by the stricter of {id} and {other}");
            }
            _ => tracing::warn!("fleet: cut off, or its rules are not known; refuses"),
        }
        if !matches!(active_rules, ActiveRules::Current(_)) && self.applied.borrow().is_current() {
            self.lapses.set(self.lapses.get() + 1);
        }
        self.engine.hold_readiness(active_rules == ActiveRules::Reject);
        self.applied.borrow_mut().act(active_rules, held.as_deref(), other.as_deref());
    }

    fn feed(self: &Rc<Self>, event: Event) {
        self.turn(event);
        self.up_to_date();
        self.sooner.notify_one();
    }

    fn turn(self: &Rc<Self>, event: Event) {
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
            // What it may act by is looked at after every event.
            Output::Activate(_) | Output::Deactivate => {}
            Output::ProposalFinished(ticket, answer) => {
                if let Some(tell) = self.waiting.borrow_mut().remove(&ticket) {
                    // Who asked may have left.
                    let _ = tell.send(answer);
                }
            }
        }
    }

    fn check(&self, revision: &Arc<Revision>) -> Verdict {
        match self.applied.borrow_mut().check(revision) {
            Ok(()) => Verdict::Confirmed,
            Err(reason) => {
                tracing::warn!("fleet: cannot take {}: {reason}", revision.id());
                Verdict::Vetoed(reason)
            }
        }
    }

    fn send(&self, to: Peer, message: &Message) {
        let Some(peer) = self.peer(to) else { return };
        let frame = self.codec.frame(self.settings.me, to, message);
        // Lost is lost: all that matters is asked for again.
        if self.socket.try_send_to(&frame, peer.address).is_ok() {
            let traffic = self.traffic.get();
            let (sent, sent_bytes) = (traffic.sent + 1, traffic.sent_bytes + frame.len() as u64);
            self.traffic.set(Traffic { sent, sent_bytes, ..traffic });
        }
    }

    async fn hear(self: Rc<Self>) {
        let mut buffer = [0; MAX_FRAME_BYTES + 1];
        loop {
            let Ok((len, _)) = self.socket.recv_from(&mut buffer).await else {
                // A link that refused what was sent to it before says so here. An error that stays is not to spin.
                self.clock.until(self.clock.now() + 1.0).await;
                continue;
            };
            let traffic = self.traffic.get();
            let (received, received_bytes) = (traffic.received + 1, traffic.received_bytes + len as u64);
            self.traffic.set(Traffic { received, received_bytes, ..traffic });
            match self.codec.read(self.settings.me, &buffer[..len]) {
                Ok((from, _)) if self.peer(from).is_none() => self.drop_frame(FrameError::Malformed),
                Ok((from, Message::Attachment(bytes))) => self.beside(from, &bytes),
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
                // Also where the node says that it is due still: others are to have their turn.
                tokio::task::yield_now().await;
                if self.node.borrow().next_due(now) <= now {
                    self.clock.until(self.clock.now() + 1.0).await;
                }
                continue;
            }
            tokio::select! {
                () = self.clock.until(due as f64) => {}
                () = self.sooner.notified() => {}
            }
            if self.now() >= due {
                self.feed(Event::Tick);
            }
        }
    }
}

/// An ask without an answer in half a lease is lost: there is time for another then.
fn registers(tree: &CoordinatorFolder, lease: Millis) -> Rc<Registers> {
    let config = oatbank_zookeeper::Config {
        cluster: tree.cluster.clone(),
        path: tree.path.clone(),
        session_timeout: Duration::from_millis(4000),
        auth: credentials(tree.auth.as_deref()),
    };
    Registers::new(config, Duration::from_millis(lease / 2))
}
