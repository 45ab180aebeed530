//! Model check of the agreement protocol. Each message between three limiters may be lost or delayed, each limiter
//! may crash and restart or be paused at any moment, and the rules may be changed at any moment. The limiters are the
//! crate's own [`Node`]s.
//!
//! The exploration starts from a fleet that has agreed on its first rules. Time is a count of ticks. The limits on
//! ticks, faults and delays are in [`Bounds`], and are printed with the number of states explored.

use oatbank_fleet::decider::Proposal;
use oatbank_fleet::document::Id;
use oatbank_fleet::election::{Register, RegisterRequest, RegisterResponse};
use oatbank_fleet::member::ActiveRules;
use oatbank_fleet::message::{Message, Verdict};
use oatbank_fleet::node::{Event, Node, NodeOptions, Output};
use oatbank_fleet::timing::{LeaseTiming, OnLeaseExpiry};
use oatbank_fleet::{Millis, Peer};
use stateright::{Checker, Model, Property};
use std::collections::BTreeMap;

const LIMITERS: usize = 3;

/// Limits of the exploration.
#[derive(Clone, Copy, Debug)]
struct Bounds {
    /// Number of ticks after the first agreement.
    ticks: Millis,
    /// Number of messages that may be lost, number that may be delayed behind later ones, and the delay in ticks.
    losses: u8,
    delays: u8,
    delay: Millis,
    /// Number of limiters that may crash; they restart with the next tick.
    crashes: u8,
    /// Number of pauses of a limiter, and their length in ticks.
    stops: u8,
    stop: Millis,
    /// Number of requests to the coordinator that may be lost, before or after they are carried out.
    deaf: u8,
}

#[derive(Clone)]
struct Fleet {
    timing: LeaseTiming,
    /// Timing of the decider; differs from `timing` only where a test disables its wait.
    decider_timing: LeaseTiming,
    elected: bool,
    bounds: Bounds,
    start: State,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    nodes: Vec<Option<Node>>,
    /// Tick at which each paused limiter continues.
    paused_until: Vec<Millis>,
    now: Millis,
    end: Millis,
    /// Undelivered messages: time of delivery, sender, receiver and content.
    messages: Vec<(Millis, Peer, Peer, Message)>,
    /// Requests to the coordinator: the limiter, its incarnation, the register, the serial number and the content.
    requests: Vec<(usize, u64, Register, u64, RegisterRequest)>,
    registers: BTreeMap<Register, (i32, Vec<u8>)>,
    incarnations: Vec<u64>,
    elected: bool,
    /// Time at which each revision was first applied.
    first_applied: BTreeMap<Id, Millis>,
    /// Longest time for which two limiters contradicted each other, ticks.
    longest_divergence: Millis,
    changes: u8,
    losses: u8,
    delays: u8,
    crashes: u8,
    stops: u8,
    deaf: u8,
    starts: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    Tick,
    Deliver(usize),
    Lose(usize),
    Delay(usize),
    Crash(usize),
    Pause(usize),
    /// The coordinator answers the first request.
    Respond,
    /// The first request is lost before it is carried out.
    LoseRequest,
    /// The first request is carried out, and its response is lost.
    LoseResponse,
    Change,
}

fn node(timing: LeaseTiming, who: usize, elected: bool, incarnation: u64, now: Millis) -> Node {
    let options = NodeOptions {
        timing,
        me: Peer(who as u16),
        peers: LIMITERS as u16,
        decider: (!elected).then_some(Peer(0)),
        incarnation,
        seed: incarnation,
        first: "one".into(),
    };
    Node::new(&options, now)
}

impl State {
    fn handle_event(&mut self, who: usize, event: Event) {
        let now = self.now;
        let Some(node) = &mut self.nodes[who] else { return };
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            node.handle(now, event);
            while let Some(output) = node.output() {
                match output {
                    Output::Send(to, message) => self.messages.push((now, Peer(who as u16), to, message)),
                    Output::Check(revision) => events.push(Event::Checked(revision.id(), Verdict::Confirmed)),
                    Output::Register(register, serial, request) => {
                        self.requests.push((who, self.incarnations[who], register, serial, request));
                    }
                    Output::Activate(_) | Output::Deactivate | Output::ProposalFinished(..) => {}
                }
            }
        }
    }

    fn is_running(&self, who: usize) -> bool {
        self.nodes[who].is_some() && self.now >= self.paused_until[who]
    }

    /// Records the rules that each limiter applies. A contradiction between two limiters counts from when the later
    /// of their revisions was first applied.
    fn record_divergence(&mut self) {
        let active_rules = |s: &State, who: usize| match s.nodes[who].as_ref().map(|n| n.active_rules(s.now))
        {
            Some(ActiveRules::Current(id)) if s.is_running(who) => vec![id],
            Some(ActiveRules::Strict(id, other)) if s.is_running(who) => {
                [Some(id), other].into_iter().flatten().collect()
            }
            _ => Vec::new(),
        };
        let all: Vec<Vec<Id>> = (0..LIMITERS).map(|who| active_rules(self, who)).collect();
        for applied in all.iter().filter(|applied| applied.len() == 1) {
            self.first_applied.entry(applied[0]).or_insert(self.now);
        }
        for (one, other) in (0..LIMITERS).flat_map(|a| (0..LIMITERS).map(move |b| (a, b))) {
            let diverged = !all[one].is_empty()
                && !all[other].is_empty()
                && all[one].iter().all(|id| !all[other].contains(id));
            let since = all[one].iter().chain(&all[other]).filter_map(|id| self.first_applied.get(id)).max();
            if let (true, Some(since)) = (diverged, since) {
                self.longest_divergence = self.longest_divergence.max(self.now - since);
            }
        }
    }

    /// Makes the coordinator process the first request. It takes effect only if `carried_out`, and its response arrives
    /// only if `answered`.
    fn carry_out(&mut self, carried_out: bool, answered: bool) {
        let (who, incarnation, register, serial, request) = self.requests.remove(0);
        let version = self.registers.get(&register).map(|v| v.0);
        let response = match request {
            _ if !carried_out => RegisterResponse::Unknown,
            RegisterRequest::Read => RegisterResponse::Value(self.registers.get(&register).cloned()),
            RegisterRequest::CompareAndSwap(over, _) if over != version => RegisterResponse::VersionMismatch,
            RegisterRequest::CompareAndSwap(_, bytes) => {
                let version = version.map_or(0, |v| v + 1);
                self.registers.insert(register, (version, bytes));
                RegisterResponse::Swapped(version)
            }
        };
        if self.incarnations[who] == incarnation {
            self.handle_event(
                who,
                Event::Register(
                    register,
                    serial,
                    if answered { response } else { RegisterResponse::Unknown },
                ),
            );
        }
    }

    fn decider(&self) -> Option<usize> {
        let decides = |who: &usize| self.nodes[*who].as_ref().is_some_and(|n| n.as_decider().is_some());
        (0..LIMITERS).filter(|who| self.is_running(*who)).find(decides)
    }

    /// Returns the index of the next deliverable message to a running limiter.
    fn next_message(&self) -> Option<usize> {
        self.messages.iter().position(|(at, _, to, _)| *at <= self.now && self.is_running(usize::from(to.0)))
    }

    /// Simulates a tick in which nothing is lost.
    fn run_fault_free_tick(&mut self) {
        (0..LIMITERS).for_each(|who| self.handle_event(who, Event::Tick));
        loop {
            if let Some((_, from, to, message)) = self.messages.pop() {
                self.handle_event(usize::from(to.0), Event::Message(from, message));
            } else if !self.requests.is_empty() {
                self.carry_out(true, true);
            } else {
                break;
            }
        }
        self.now += 1;
    }

    fn with_divergence_recorded(mut self) -> Self {
        self.record_divergence();
        self
    }
}

impl Fleet {
    /// Creates a fleet that has agreed on its first rules.
    fn new(on_lapse: OnLeaseExpiry, elected: bool, bounds: Bounds) -> Fleet {
        let timing = LeaseTiming {
            lease: 4,
            heartbeat: 2,
            message_delay: 0,
            activation_delay: 1,
            drift_ppm: 0,
            max_divergence: 100,
            on_lapse,
        };
        let nodes = (0..LIMITERS).map(|who| Some(node(timing, who, elected, 1, 0))).collect();
        let mut start = State {
            nodes,
            paused_until: vec![0; LIMITERS],
            now: 0,
            end: 0,
            messages: Vec::new(),
            requests: Vec::new(),
            registers: BTreeMap::new(),
            incarnations: vec![1; LIMITERS],
            elected,
            first_applied: BTreeMap::new(),
            longest_divergence: 0,
            changes: 1,
            losses: bounds.losses,
            delays: bounds.delays,
            crashes: bounds.crashes,
            stops: bounds.stops,
            deaf: bounds.deaf,
            starts: 1,
        };
        let agreed = |s: &State| {
            s.nodes.iter().flatten().all(|n| matches!(n.active_rules(s.now), ActiveRules::Current(_)))
        };
        while !agreed(&start) {
            assert!(start.now < 100, "no agreement in 100 ticks without faults");
            start.run_fault_free_tick();
        }
        start.end = start.now + bounds.ticks;
        Fleet { timing, decider_timing: timing, elected, bounds, start: start.with_divergence_recorded() }
    }

    fn timing_of(&self, who: usize) -> LeaseTiming {
        if who == 0 {
            self.decider_timing
        } else {
            self.timing
        }
    }
}

impl Model for Fleet {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        vec![self.start.clone()]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Step>) {
        match state.next_message() {
            Some(i) => {
                actions.push(Step::Deliver(i));
                actions.extend((state.losses > 0).then_some(Step::Lose(i)));
                actions.extend((state.delays > 0).then_some(Step::Delay(i)));
            }
            None if !state.requests.is_empty() => {
                actions.push(Step::Respond);
                if state.deaf > 0 {
                    actions.extend([Step::LoseRequest, Step::LoseResponse]);
                }
            }
            None if state.now < state.end => actions.push(Step::Tick),
            None => {}
        }
        for who in 0..LIMITERS {
            if state.crashes > 0 && state.nodes[who].is_some() {
                actions.push(Step::Crash(who));
            }
            if state.stops > 0 && state.is_running(who) {
                actions.push(Step::Pause(who));
            }
        }
        if state.changes > 0 && state.decider().is_some() {
            actions.push(Step::Change);
        }
    }

    fn next_state(&self, state: &State, step: Step) -> Option<State> {
        let mut next = state.clone();
        match step {
            Step::Tick => {
                next.now += 1;
                let now = next.now;
                // Observed before the limiters run, so that acting on an expired lease is noticed.
                next.record_divergence();
                for who in 0..LIMITERS {
                    if next.nodes[who].is_none() {
                        next.starts += 1;
                        next.incarnations[who] = next.starts;
                        next.nodes[who] =
                            Some(node(self.timing_of(who), who, self.elected, next.starts, now));
                    }
                    if next.is_running(who) {
                        next.handle_event(who, Event::Tick);
                    }
                }
            }
            Step::Deliver(i) => {
                let (_, from, to, message) = next.messages.remove(i);
                next.handle_event(usize::from(to.0), Event::Message(from, message));
            }
            Step::Lose(i) => {
                next.messages.remove(i);
                next.losses -= 1;
            }
            Step::Delay(i) => {
                next.messages[i].0 = next.now + self.bounds.delay;
                next.delays -= 1;
            }
            Step::Crash(who) => {
                next.nodes[who] = None;
                next.crashes -= 1;
            }
            Step::Pause(who) => {
                next.paused_until[who] = next.now + self.bounds.stop;
                next.stops -= 1;
            }
            Step::Respond => next.carry_out(true, true),
            Step::LoseRequest => {
                next.carry_out(false, true);
                next.deaf -= 1;
            }
            Step::LoseResponse => {
                next.carry_out(true, false);
                next.deaf -= 1;
            }
            Step::Change => {
                next.changes -= 1;
                let text = "two".into();
                let timeout = 100;
                if let Some(decider) = next.decider() {
                    next.handle_event(
                        decider,
                        Event::Propose(Proposal { text, timeout, ..Proposal::default() }),
                    );
                }
            }
        }
        Some(next.with_divergence_recorded())
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("no divergence exceeds the bound", |model: &Fleet, state: &State| {
                state.longest_divergence <= model.timing.divergence_bound()
            }),
            Property::sometimes("a failed decider is replaced", |model: &Fleet, state: &State| {
                let lost = model.bounds.crashes + model.bounds.stops > 0;
                let first = model.start.nodes.iter().flatten().map(|n| n.decider().1).max();
                let succeeds =
                    |n: &Node| n.as_decider().is_some_and(|d| !d.recovering()) && Some(n.decider().1) > first;
                !model.elected || !lost || state.nodes.iter().flatten().any(succeeds)
            }),
            Property::sometimes("a change takes effect", |_, state: &State| {
                let applied =
                    |n: &Option<Node>| n.as_ref().and_then(|n| n.held().map(|r| r.text.to_string()));
                state.nodes.iter().all(|n| applied(n).as_deref() == Some("two"))
            }),
        ]
    }
}

fn explore(fleet: Fleet) -> impl Checker<Fleet> {
    let (bounds, on_lapse, elected) = (fleet.bounds, fleet.timing.on_lapse, fleet.elected);
    let begun = std::time::Instant::now();
    let checker = fleet.checker().threads(2).spawn_bfs().join();
    let kind = if elected { "elected" } else { "named" };
    println!(
        "{kind}, {on_lapse:?}, {bounds:?}: {} states, {:.1?}",
        checker.unique_state_count(),
        begun.elapsed()
    );
    checker
}

const NONE: Bounds =
    Bounds { ticks: 14, losses: 0, delays: 0, delay: 0, crashes: 0, stops: 0, stop: 0, deaf: 0 };

#[test]
fn lost_and_late_messages_keep_the_divergence_bound() {
    let bounds = Bounds { losses: 2, delays: 1, delay: 3, ..NONE };
    explore(Fleet::new(OnLeaseExpiry::Refuse, false, bounds)).assert_properties();
}

#[test]
fn a_paused_limiter_keeps_the_divergence_bound() {
    for on_lapse in [OnLeaseExpiry::Refuse, OnLeaseExpiry::Strict(Millis::MAX)] {
        let bounds = Bounds { losses: 1, stops: 1, stop: 6, ..NONE };
        explore(Fleet::new(on_lapse, false, bounds)).assert_properties();
    }
}

#[test]
fn a_crash_of_any_limiter_keeps_the_divergence_bound() {
    for on_lapse in [OnLeaseExpiry::Refuse, OnLeaseExpiry::Strict(Millis::MAX)] {
        let bounds = Bounds { ticks: 12, losses: 1, crashes: 1, ..NONE };
        explore(Fleet::new(on_lapse, false, bounds)).assert_properties();
    }
}

#[test]
fn an_elected_decider_that_crashes_or_is_paused_is_replaced() {
    for on_lapse in [OnLeaseExpiry::Refuse, OnLeaseExpiry::Strict(Millis::MAX)] {
        let crash = Bounds { ticks: 14, crashes: 1, ..NONE };
        let stop = Bounds { ticks: 14, stops: 1, stop: 7, ..NONE };
        let deaf = Bounds { ticks: 9, deaf: 1, losses: 1, ..NONE };
        for bounds in [crash, stop, deaf] {
            explore(Fleet::new(on_lapse, true, bounds)).assert_properties();
        }
    }
}

#[test]
#[ignore = "a minute: cargo test --profile tested -p oatbank-fleet --test model -- --ignored --nocapture"]
fn an_elected_decider_with_combined_faults_is_replaced() {
    for on_lapse in [OnLeaseExpiry::Refuse, OnLeaseExpiry::Strict(Millis::MAX)] {
        let crash = Bounds { ticks: 16, crashes: 1, deaf: 1, ..NONE };
        let stop = Bounds { ticks: 16, stops: 1, stop: 7, losses: 1, ..NONE };
        let deaf = Bounds { ticks: 12, deaf: 2, losses: 1, ..NONE };
        for bounds in [crash, stop, deaf] {
            explore(Fleet::new(on_lapse, true, bounds)).assert_properties();
        }
    }
}

#[test]
fn skipping_the_decider_wait_exceeds_the_divergence_bound() {
    let bounds = Bounds { losses: 3, ..NONE };
    let mut fleet = Fleet::new(OnLeaseExpiry::Strict(Millis::MAX), false, bounds);
    // This decider considers every other limiter's lease expired at once.
    let timing = LeaseTiming { lease: 0, on_lapse: OnLeaseExpiry::Refuse, ..fleet.timing };
    fleet.decider_timing = timing;
    fleet.start.nodes[0] = Some(node(timing, 0, false, 1, 0));
    let bounds = fleet.bounds;
    let restarted = restarted(fleet, bounds);
    let checker = explore(restarted);
    assert!(
        checker.discovery("no divergence exceeds the bound").is_some(),
        "no contradiction found without the decider's wait"
    );
}

/// Restarts the fleet with the decider's own timing from the beginning.
fn restarted(mut fleet: Fleet, bounds: Bounds) -> Fleet {
    let mut start = fleet.start.clone();
    start.now = 0;
    start.messages.clear();
    start.first_applied.clear();
    start.longest_divergence = 0;
    for who in 0..LIMITERS {
        start.nodes[who] = Some(node(fleet.timing_of(who), who, fleet.elected, 1, 0));
    }
    for _ in 0..12 {
        start.run_fault_free_tick();
    }
    start.end = start.now + bounds.ticks;
    fleet.start = start.with_divergence_recorded();
    fleet
}
