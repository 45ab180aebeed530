//! Fleets in virtual time, reproducible by seed. Links lose, delay and duplicate messages and are cut in one or both
//! directions; clocks drift; limiters are paused, crash and restart; and the rules change meanwhile. A checker
//! records the rules that each limiter applies, and reports the longest time for which any two contradicted each
//! other.

use oatbank_fleet::decider::{Proposal, ProposalOutcome};
use oatbank_fleet::document::{Id, Revision};
use oatbank_fleet::election::{Register, RegisterRequest, RegisterResponse, VersionedValue};
use oatbank_fleet::member::ActiveRules;
use oatbank_fleet::message::{Message, Verdict};
use oatbank_fleet::node::{Event, Node, NodeOptions, Output};
use oatbank_fleet::timing::{LeaseTiming, OnLeaseExpiry};
use oatbank_fleet::{Millis, Peer};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Interval between two actions of a limiter, ms.
const ACTION_INTERVAL: Millis = 10;
/// Duration of the phase with changes and faults, ms.
const FAULT_PERIOD: Millis = 20_000;

struct Random(Pcg64Mcg);

impl Random {
    fn below(&mut self, n: u64) -> u64 {
        self.0.next_u64() % n.max(1)
    }

    fn chance(&mut self, share: f64) -> bool {
        (self.0.next_u64() >> 11) as f64 / ((1u64 << 53) as f64) < share
    }
}

/// A limiter's process and its clock.
struct Process {
    node: Option<Node>,
    offset: u64,
    /// Clock drift in parts per million; positive if the clock is fast.
    drift: i64,
    frozen_until: Millis,
    starts_at: Millis,
    /// Messages received while it is paused.
    waiting_messages: Vec<(Peer, Message)>,
    /// Responses of the coordinator received while it is paused.
    waiting_responses: Vec<(Register, u64, RegisterResponse)>,
    /// Number of the start. Responses to requests of an earlier process are dropped.
    process_id: u64,
    /// Whether it is cut off from the coordinator.
    coordinator_unreachable: bool,
}

/// The coordinator's registers and their history.
#[derive(Clone, Default)]
struct Coordinator {
    registers: BTreeMap<Register, (i32, Vec<u8>)>,
    down: bool,
    /// Copy of the registers at each whole second.
    past: Vec<BTreeMap<Register, (i32, Vec<u8>)>>,
}

impl Coordinator {
    fn value(&self, register: Register) -> VersionedValue {
        self.registers.get(&register).cloned()
    }

    fn carry_out(&mut self, register: Register, request: &RegisterRequest) -> RegisterResponse {
        let version = self.value(register).map(|v| v.0);
        match request {
            RegisterRequest::Read => RegisterResponse::Value(self.value(register)),
            RegisterRequest::CompareAndSwap(over, _) if *over != version => RegisterResponse::VersionMismatch,
            RegisterRequest::CompareAndSwap(_, bytes) => {
                let version = version.map_or(0, |v| v + 1);
                self.registers.insert(register, (version, bytes.clone()));
                RegisterResponse::Swapped(version)
            }
        }
    }
}

/// A request on its way to the coordinator, or a response on its way back.
enum CoordinatorMessage {
    Request(usize, u64, Register, u64, RegisterRequest),
    Response(usize, u64, Register, u64, RegisterResponse),
}

impl Process {
    fn clock(&self, now: Millis) -> Millis {
        let clock_error = now as i64 * self.drift / 1_000_000;
        self.offset + (now as i64 + clock_error) as u64
    }
}

/// Records which limiter applied which revision.
#[derive(Default)]
struct Checker {
    /// Time at which each revision was first applied.
    first_applied: BTreeMap<Id, Millis>,
    /// Latest period in which each revision was applied without interruption: start and last time.
    active_spans: BTreeMap<Id, (Millis, Millis)>,
    longest: Millis,
    worst: String,
}

/// A revision that no limiter applied for this long is no longer in use, ms.
const USE_GAP: Millis = 200;

impl Checker {
    /// Records that a limiter applies the stricter of these revisions, or the only one. It contradicts every revision
    /// in use that is not among them, for as long as that revision has been in use together with these. A limiter
    /// that was idle meanwhile and then applies an old revision counts from the beginning.
    fn record(&mut self, now: Millis, who: usize, applied: &[Id]) {
        let Some(id) = applied.first() else { return };
        if applied.len() == 1 {
            let span = self.active_spans.entry(*id).or_insert((now, now));
            *span = (if now - span.1 > USE_GAP { now } else { span.0 }, now);
            self.first_applied.entry(*id).or_insert(now);
        }
        let begun = applied.iter().filter_map(|id| self.first_applied.get(id)).max().copied().unwrap_or(now);
        for (other, (from, last)) in &self.active_spans {
            if applied.contains(other) || now - last > USE_GAP {
                continue;
            }
            let time = last.saturating_sub(begun.max(*from));
            if time > self.longest {
                self.longest = time;
                self.worst = format!(
                    "limiter {who} applies {applied:?} at {now}, and others apply {other} since {from}"
                );
            }
        }
    }
}

/// Parameters of one simulated fleet.
#[derive(Clone)]
struct Schedule {
    peers: u16,
    timing: LeaseTiming,
    /// Timing of the decider; differs from `timing` only where a test disables its wait.
    decider_timing: LeaseTiming,
    /// Whether limiters obey their leases; otherwise they always apply what they hold.
    leases: bool,
    seed: u64,
    faults: bool,
    /// Whether the decider is elected through the coordinator.
    elected: bool,
    /// Whether writes require the coordinator; otherwise a limiter that cannot reach it is told that its writes
    /// succeeded.
    fenced: bool,
    /// Whether the decider and another limiter are cut off from the others and from the coordinator, from 6 s until
    /// the faults end.
    split: bool,
}

#[derive(Default)]
struct RunResult {
    longest: Millis,
    worst: String,
    decided: usize,
    vetoes: usize,
    messages: usize,
    /// For each change, the times from its proposal until the first and until the last limiter applied it, ms.
    effect: Vec<(Millis, Millis)>,
    /// Time from the end of the faults until all limiters applied the same revision, ms.
    agreed_after: Option<Millis>,
}

struct Fleet {
    schedule: Schedule,
    random: Random,
    processes: Vec<Process>,
    now: Millis,
    /// Undelivered messages, by time of delivery.
    messages: BTreeMap<(Millis, u64), (Peer, Peer, Message)>,
    serial: u64,
    blocked_links: BTreeSet<(u16, u16)>,
    loss: f64,
    delay: Millis,
    starts: u64,
    result: RunResult,
    unanswered: BTreeMap<u64, Millis>,
    effects: BTreeMap<Id, (Millis, Millis, Millis)>,
    agreed_revisions: BTreeSet<Id>,
    coordinator: Coordinator,
    coordinator_down_since: Millis,
    coordinator_messages: BTreeMap<(Millis, u64), CoordinatorMessage>,
}

impl Fleet {
    fn new(schedule: Schedule) -> Fleet {
        let mut random = Random(Pcg64Mcg::seed_from_u64(schedule.seed));
        let process = |random: &mut Random| Process {
            node: None,
            offset: random.below(1_000_000),
            drift: if schedule.faults { random.below(20_001) as i64 - 10_000 } else { 0 },
            frozen_until: 0,
            starts_at: 1 + random.below(300),
            waiting_messages: Vec::new(),
            waiting_responses: Vec::new(),
            process_id: 0,
            coordinator_unreachable: false,
        };
        let processes = (0..schedule.peers).map(|_| process(&mut random)).collect();
        Fleet {
            schedule,
            random,
            processes,
            now: 0,
            messages: BTreeMap::new(),
            serial: 0,
            blocked_links: BTreeSet::new(),
            loss: 0.0,
            delay: 5,
            starts: 0,
            result: RunResult::default(),
            unanswered: BTreeMap::new(),
            effects: BTreeMap::new(),
            agreed_revisions: BTreeSet::new(),
            coordinator: Coordinator::default(),
            coordinator_down_since: 0,
            coordinator_messages: BTreeMap::new(),
        }
    }

    fn start(&mut self, who: usize) {
        self.starts += 1;
        let me = Peer(who as u16);
        let timing = if who == 0 { self.schedule.decider_timing } else { self.schedule.timing };
        let options = NodeOptions {
            timing,
            me,
            peers: self.schedule.peers,
            decider: (!self.schedule.elected).then_some(Peer(0)),
            incarnation: self.starts,
            seed: self.random.0.next_u64(),
            first: "rules 0".into(),
        };
        let process = &mut self.processes[who];
        process.node = Some(Node::new(&options, process.clock(self.now)));
        process.waiting_messages.clear();
        process.waiting_responses.clear();
        process.process_id = self.starts;
        self.handle_event(who, Event::Tick);
    }

    fn handle_event(&mut self, who: usize, event: Event) {
        let (now, process) = (self.now, &mut self.processes[who]);
        let clock = process.clock(now);
        let Some(node) = &mut process.node else { return };
        node.handle(clock, event);
        let mut outputs = Vec::new();
        while let Some(output) = node.output() {
            outputs.push(output);
        }
        for output in outputs {
            match output {
                Output::Send(to, message) => self.send(who, to, message),
                Output::Check(revision) => {
                    let verdict = check(who, &revision);
                    self.handle_event(who, Event::Checked(revision.id(), verdict));
                }
                Output::ProposalFinished(ticket, ProposalOutcome::Decided(id, _)) => {
                    self.result.decided += 1;
                    if let Some(asked) = self.unanswered.remove(&ticket) {
                        self.effects.insert(id, (asked, 0, 0));
                    }
                }
                Output::ProposalFinished(_, ProposalOutcome::Vetoed(..)) => self.result.vetoes += 1,
                Output::Register(register, serial, request) => {
                    self.send_register_request(who, register, serial, request);
                }
                Output::ProposalFinished(..) | Output::Activate(_) | Output::Deactivate => {}
            }
        }
    }

    fn send_register_request(
        &mut self,
        who: usize,
        register: Register,
        serial: u64,
        request: RegisterRequest,
    ) {
        let process_id = self.processes[who].process_id;
        let delay = 1 + self.random.below(self.delay.min(100));
        self.serial += 1;
        self.coordinator_messages.insert(
            (self.now + delay, self.serial),
            CoordinatorMessage::Request(who, process_id, register, serial, request),
        );
    }

    /// Delivers messages to and from the coordinator. Without a response, the limiter gives up after half a second.
    fn deliver_coordinator_messages(&mut self) {
        if self.now % 1000 == 0 {
            self.coordinator.past.push(self.coordinator.registers.clone());
        }
        while let Some(entry) = self.coordinator_messages.first_entry().filter(|e| e.key().0 <= self.now) {
            match entry.remove() {
                CoordinatorMessage::Request(who, process_id, register, serial, request) => {
                    let unreachable = self.coordinator.down || self.processes[who].coordinator_unreachable;
                    let (lost, response_lost) =
                        (unreachable || self.random.chance(self.loss), self.random.chance(self.loss));
                    let mut outcome = RegisterResponse::Unknown;
                    let mut lost = lost;
                    if !lost {
                        outcome = self.coordinator.carry_out(register, &request);
                    } else if let (RegisterRequest::CompareAndSwap(..), false) =
                        (&request, self.schedule.fenced)
                    {
                        (outcome, lost) = (RegisterResponse::Swapped(1000), false);
                    }
                    let delay =
                        if lost || response_lost { 500 } else { 1 + self.random.below(self.delay.min(100)) };
                    let outcome = if lost || response_lost { RegisterResponse::Unknown } else { outcome };
                    self.serial += 1;
                    let message = CoordinatorMessage::Response(who, process_id, register, serial, outcome);
                    self.coordinator_messages.insert((self.now + delay, self.serial), message);
                }
                CoordinatorMessage::Response(who, process_id, register, serial, outcome) => {
                    let process = &mut self.processes[who];
                    if process.process_id != process_id || process.node.is_none() {
                        continue;
                    }
                    if self.now < process.frozen_until {
                        process.waiting_responses.push((register, serial, outcome));
                    } else {
                        self.handle_event(who, Event::Register(register, serial, outcome));
                    }
                }
            }
        }
    }

    /// Injects a fault of the coordinator: one limiter loses contact, it is down for all, or it returns with empty or
    /// old data.
    fn inject_coordinator_fault(&mut self) {
        let target = self.random.below(u64::from(self.schedule.peers)) as usize;
        match self.random.below(7) {
            0 => self.processes[target].coordinator_unreachable = true,
            1 => self.processes.iter_mut().for_each(|p| p.coordinator_unreachable = false),
            2 => self.coordinator.down = true,
            // Data is lost or restored only after an outage, not while limiters are writing.
            3 | 4 if self.coordinator.down => self.coordinator.down = false,
            5 if self.coordinator.down && self.now > self.coordinator_down_since + 4000 => {
                self.coordinator.registers.clear();
                self.coordinator.down = false;
            }
            6 if self.coordinator.down && self.now > self.coordinator_down_since + 4000 => {
                let past = self.random.below(self.coordinator.past.len() as u64) as usize;
                self.coordinator.registers = self.coordinator.past.get(past).cloned().unwrap_or_default();
                self.coordinator.down = false;
            }
            _ => {}
        }
        if !self.coordinator.down {
            self.coordinator_down_since = self.now;
        }
    }

    fn send(&mut self, from: usize, to: Peer, message: Message) {
        self.result.messages += 1;
        let from = Peer(from as u16);
        if self.blocked_links.contains(&(from.0, to.0)) {
            return;
        }
        let copies = if self.schedule.faults && self.random.chance(0.05) { 2 } else { 1 };
        for _ in 0..copies {
            if self.random.chance(self.loss) {
                continue;
            }
            let delay = 1 + self.random.below(self.delay);
            self.serial += 1;
            self.messages.insert((self.now + delay, self.serial), (from, to, message.clone()));
        }
    }

    /// Injects a random fault of a link or a process.
    fn inject_fault(&mut self) {
        let peers = u64::from(self.schedule.peers);
        let target = self.random.below(peers) as u16;
        match self.random.below(10) {
            0 => _ = self.blocked_links.insert((target, self.random.below(peers) as u16)),
            1 => {
                // Cut one limiter off in one direction, or in both.
                let both = self.random.chance(0.5);
                for other in 0..self.schedule.peers {
                    self.blocked_links.insert((target, other));
                    if both {
                        self.blocked_links.insert((other, target));
                    }
                }
            }
            2 => {
                let half = self.random.below(peers) as u16;
                for a in 0..self.schedule.peers {
                    let receivers = (0..self.schedule.peers).filter(|b| (a < half) != (*b < half));
                    self.blocked_links.extend(receivers.map(|b| (a, b)));
                }
            }
            3 | 4 => self.blocked_links.clear(),
            5 => (self.loss, self.delay) = (self.random.below(30) as f64 / 100.0, 1 + self.random.below(400)),
            6 => (self.loss, self.delay) = (0.0, 5),
            7 => {
                let span = [1000, 5000, 300, 2500][self.random.below(4) as usize];
                self.processes[usize::from(target)].frozen_until = self.now + span;
            }
            8 => {
                let process = &mut self.processes[usize::from(target)];
                process.node = None;
                process.starts_at = self.now + 1 + self.random.below(3000);
            }
            _ => {}
        }
    }

    fn decides(&self, who: usize) -> bool {
        self.processes[who].node.as_ref().is_some_and(|n| n.as_decider().is_some())
    }

    fn partition(&mut self) {
        let peers = self.schedule.peers;
        let decider = (0..peers).find(|n| self.decides(usize::from(*n))).unwrap_or(0);
        let cut_off = [decider, (decider + 1) % peers];
        let pairs = (0..peers).flat_map(|a| (0..peers).map(move |b| (a, b)));
        self.blocked_links.extend(pairs.filter(|(a, b)| cut_off.contains(a) != cut_off.contains(b)));
        cut_off.iter().for_each(|n| self.processes[usize::from(*n)].coordinator_unreachable = true);
    }

    fn propose(&mut self, number: u64) {
        let text = match self.random.below(8) {
            0 if self.schedule.faults => {
                format!("bad for {}", self.random.below(u64::from(self.schedule.peers)))
            }
            // Long enough for many chunks.
            1 => format!("rules {number} {}", "x".repeat(30_000)),
            _ => format!("rules {number}"),
        };
        self.unanswered.insert(number, self.now);
        let proposal = Proposal {
            ticket: number,
            expect: None,
            author: "operator".into(),
            text: text.into(),
            excluded: BTreeSet::new(),
            dry_run: false,
            timeout: 4000,
        };
        let deciders: Vec<usize> = (0..self.processes.len()).filter(|n| self.decides(*n)).collect();
        if self.schedule.split {
            // Each side of the partition gets its own proposal.
            let proposal_of =
                |who: usize| Proposal { text: format!("rules {number} of {who}").into(), ..proposal.clone() };
            return deciders
                .into_iter()
                .for_each(|who| self.handle_event(who, Event::Propose(proposal_of(who))));
        }
        let who = deciders.get(self.random.below(deciders.len() as u64) as usize).copied().unwrap_or(0);
        self.handle_event(who, Event::Propose(proposal));
    }

    fn step(&mut self, checker: &mut Checker) {
        self.deliver_coordinator_messages();
        while let Some(entry) = self.messages.first_entry().filter(|e| e.key().0 <= self.now) {
            let (from, to, message) = entry.remove();
            let process = &mut self.processes[usize::from(to.0)];
            if self.now < process.frozen_until {
                process.waiting_messages.push((from, message));
            } else {
                self.handle_event(usize::from(to.0), Event::Message(from, message));
            }
        }
        for who in 0..self.processes.len() {
            let process = &mut self.processes[who];
            if process.node.is_none() && self.now >= process.starts_at {
                self.start(who);
            }
            let process = &mut self.processes[who];
            if self.now < process.frozen_until {
                continue;
            }
            let clock = process.clock(self.now);
            // A process that resumes may act before its timers run.
            if self.now % ACTION_INTERVAL == 0 {
                self.act(who, clock, checker);
            }
            for (from, message) in std::mem::take(&mut self.processes[who].waiting_messages) {
                self.handle_event(who, Event::Message(from, message));
            }
            for (register, serial, outcome) in std::mem::take(&mut self.processes[who].waiting_responses) {
                self.handle_event(who, Event::Register(register, serial, outcome));
            }
            let due = self.processes[who].node.as_ref().is_some_and(|n| n.next_due(clock) <= clock);
            if due {
                self.handle_event(who, Event::Tick);
            }
        }
    }

    fn act(&mut self, who: usize, clock: Millis, checker: &mut Checker) {
        let Some(node) = &self.processes[who].node else { return };
        let active_rules = match node.held() {
            Some(held) if !self.schedule.leases => ActiveRules::Current(held.id()),
            _ => node.active_rules(clock),
        };
        match active_rules {
            ActiveRules::Current(id) => {
                checker.record(self.now, who, &[id]);
                if self.agreed_revisions.contains(&id) {
                    return;
                }
                let now = self.now;
                if let Some((_, first, last)) = self.effects.get_mut(&id) {
                    (*first, *last) = (if *first == 0 { now } else { *first }, now);
                }
            }
            ActiveRules::Strict(held, Some(other)) => checker.record(self.now, who, &[held, other]),
            // Recorded as a pair, which starts no period of use: the test has to find out whether others still apply
            // the revision.
            ActiveRules::Strict(held, None) => checker.record(self.now, who, &[held, held]),
            ActiveRules::Reject => {}
        }
    }

    /// Returns the revision that all limiters apply. A limiter that cannot apply it may reject requests instead.
    fn agreed(&self) -> Option<Id> {
        let rules_of = |p: &Process| p.node.as_ref().map(|n| n.active_rules(p.clock(self.now)));
        let current = |p: &Process| {
            rules_of(p).and_then(
                |active_rules| if let ActiveRules::Current(id) = active_rules { Some(id) } else { None },
            )
        };
        let id = self.processes.iter().find_map(current)?;
        let vetoes = |p: &Process| p.node.as_ref().is_some_and(|n| n.veto().is_some_and(|(of, _)| of == id));
        let agrees = |p: &Process| match rules_of(p) {
            Some(ActiveRules::Reject) => vetoes(p),
            active_rules => active_rules == Some(ActiveRules::Current(id)),
        };
        self.processes.iter().all(agrees).then_some(id)
    }

    fn run(mut self) -> RunResult {
        let mut checker = Checker::default();
        let (mut next_fault, mut next_change, mut number) = (1500, 2000, 1);
        while self.now < FAULT_PERIOD + 4 * self.schedule.timing.max_divergence {
            self.now += 1;
            if self.now < FAULT_PERIOD {
                if self.now >= next_fault && self.schedule.faults {
                    self.inject_fault();
                    if self.schedule.elected {
                        self.inject_coordinator_fault();
                    }
                    next_fault = self.now + 50 + self.random.below(1200);
                }
                if self.schedule.split && self.now == 6000 {
                    self.partition();
                }
                if self.now >= next_change {
                    self.propose(number);
                    number += 1;
                    next_change = self.now + 300 + self.random.below(2500);
                }
            } else if self.now == FAULT_PERIOD {
                self.blocked_links.clear();
                (self.loss, self.delay) = (0.0, 5);
                let now = self.now;
                self.coordinator.down = false;
                for process in &mut self.processes {
                    process.coordinator_unreachable = false;
                    process.frozen_until = process.frozen_until.min(now);
                    process.starts_at = process.starts_at.min(now);
                }
            }
            self.step(&mut checker);
            if let Some(id) = self.agreed() {
                self.agreed_revisions.insert(id);
                if self.now >= FAULT_PERIOD && self.result.agreed_after.is_none() {
                    self.result.agreed_after = Some(self.now - FAULT_PERIOD);
                }
            }
        }
        let spans = self.effects.values().filter(|e| e.1 > 0);
        self.result.effect = spans.map(|(asked, first, last)| (first - asked, last - asked)).collect();
        (self.result.longest, self.result.worst) = (checker.longest, checker.worst);
        self.result
    }
}

fn check(who: usize, revision: &Arc<Revision>) -> Verdict {
    match *revision.text == format!("bad for {who}") {
        true => Verdict::Vetoed("plans.team.rate: not allowed".into()),
        false => Verdict::Confirmed,
    }
}

fn schedule(peers: u16, seed: u64, on_lapse: OnLeaseExpiry) -> Schedule {
    let timing = LeaseTiming { on_lapse, ..LeaseTiming::default() };
    let (elected, fenced) = (false, true);
    Schedule {
        peers,
        timing,
        decider_timing: timing,
        leases: true,
        seed,
        faults: true,
        elected,
        fenced,
        split: false,
    }
}

const EXPIRY_MODES: [OnLeaseExpiry; 3] =
    [OnLeaseExpiry::Refuse, OnLeaseExpiry::Strict(3000), OnLeaseExpiry::Strict(Millis::MAX)];

/// Runs one schedule per seed. Returns the longest contradiction, its description with the seed, the longest time to
/// agree, and the number of decided changes.
fn run_schedules(
    seeds: std::ops::Range<u64>,
    change: impl Fn(&mut Schedule),
) -> (Millis, String, Millis, usize) {
    let mut out = (0, String::new(), 0, 0);
    for seed in seeds {
        let peers = [3, 5, 4, 7, 2, 10, 3, 5][seed as usize % 8];
        let mut schedule = schedule(peers, seed, EXPIRY_MODES[seed as usize % 3]);
        change(&mut schedule);
        let within = schedule.timing.max_divergence;
        let result = Fleet::new(schedule).run();
        if result.longest > out.0 {
            (out.0, out.1) = (result.longest, format!("seed {seed}, {peers} limiters: {}", result.worst));
        }
        // A limiter that holds another revision and cannot apply the decided one delays the decision until its strict
        // period is over.
        let waits = match EXPIRY_MODES[seed as usize % 3] {
            OnLeaseExpiry::Strict(span) if span < Millis::MAX => span,
            _ => 0,
        };
        let agreed = result.agreed_after.unwrap_or(4 * within).saturating_sub(waits);
        if agreed > 2 * within {
            println!("seed {seed}, {peers} limiters: agreed after {agreed} ms");
        }
        out.2 = out.2.max(agreed);
        out.3 += result.decided;
    }
    out
}

/// Number of schedules in the tests; override with the environment variable `SCHEDULES`.
fn schedule_count() -> u64 {
    std::env::var("SCHEDULES").ok().and_then(|n| n.parse().ok()).unwrap_or(2000)
}

#[test]
fn divergence_is_bounded_and_limiters_agree_once_the_faults_are_over() {
    let (longest, worst, agreed, decided) = run_schedules(1..schedule_count() + 1, |_| ());
    let timing = LeaseTiming::default();
    println!("longest contradiction {longest} ms ({worst}); agreed after {agreed} ms at the latest; {decided} decided");
    assert!(longest <= timing.divergence_bound() + ACTION_INTERVAL, "{longest} ms: {worst}");
    assert!(agreed <= 2 * timing.max_divergence, "agreed after {agreed} ms");
    assert!(decided as u64 >= schedule_count(), "only {decided} changes were decided");
}

#[test]
fn ignoring_leases_exceeds_the_divergence_bound() {
    let (longest, worst, ..) = run_schedules(1..40, |schedule| schedule.leases = false);
    assert!(longest > LeaseTiming::default().max_divergence, "{longest} ms: {worst}");
}

#[test]
fn skipping_the_decider_wait_exceeds_the_divergence_bound() {
    let (longest, worst, ..) = run_schedules(1..40, |schedule| {
        schedule.decider_timing.lease = 1;
        schedule.decider_timing.on_lapse = OnLeaseExpiry::Refuse;
    });
    assert!(longest > LeaseTiming::default().max_divergence, "{longest} ms: {worst}");
}

#[test]
fn divergence_is_bounded_with_an_elected_decider() {
    let (longest, worst, agreed, decided) =
        run_schedules(1..schedule_count() + 1, |schedule| schedule.elected = true);
    let timing = LeaseTiming::default();
    println!("longest contradiction {longest} ms ({worst}); agreed after {agreed} ms at the latest; {decided} decided");
    assert!(longest <= timing.divergence_bound() + ACTION_INTERVAL, "{longest} ms: {worst}");
    // A limiter that cannot apply the revision in force may win a term first, and then resigns.
    assert!(agreed <= 3 * timing.max_divergence, "agreed after {agreed} ms");
    assert!(decided as u64 >= schedule_count(), "only {decided} changes were decided");
}

/// Runs a fleet whose decider and one more limiter are cut off from the others and from the coordinator.
fn run_partition(peers: u16, fenced: bool, on_lapse: OnLeaseExpiry) -> RunResult {
    let schedule =
        Schedule { elected: true, faults: false, fenced, split: true, ..schedule(peers, 1, on_lapse) };
    Fleet::new(schedule).run()
}

#[test]
fn only_the_side_of_a_partition_with_the_coordinator_continues() {
    let timing = LeaseTiming::default();
    for peers in [4, 5] {
        let result = run_partition(peers, true, OnLeaseExpiry::Refuse);
        assert!(result.longest <= timing.divergence_bound() + ACTION_INTERVAL, "{peers}: {}", result.worst);
        assert!(
            result.agreed_after.is_some_and(|at| at <= 2 * timing.max_divergence),
            "{peers}: {:?}",
            result.agreed_after
        );
        // Five or six proposals reach the coordinator's side in its ten seconds with a decider, and the former decider
        // decided some before the partition.
        assert!(result.decided >= 7, "{peers}: {} decided", result.decided);
    }
    // If the limiters that are cut off apply strict rules without a time limit, nothing is decided without them.
    let result = run_partition(5, true, OnLeaseExpiry::Strict(Millis::MAX));
    assert!(result.longest <= ACTION_INTERVAL, "{}", result.worst);
}

#[test]
fn falsely_acknowledged_writes_exceed_the_divergence_bound() {
    let result = run_partition(5, false, OnLeaseExpiry::Refuse);
    assert!(
        result.longest > LeaseTiming::default().max_divergence,
        "{} ms: {}",
        result.longest,
        result.worst
    );
}

#[test]
fn a_hundred_limiters_agree_within_the_bound() {
    for seed in 1..5 {
        let elected = seed % 2 == 0;
        let result =
            Fleet::new(Schedule { elected, ..schedule(100, seed, EXPIRY_MODES[seed as usize % 3]) }).run();
        assert!(
            result.longest <= LeaseTiming::default().divergence_bound() + ACTION_INTERVAL,
            "seed {seed}: {}",
            result.worst
        );
        assert!(
            result.agreed_after.is_some_and(|at| at <= 2 * LeaseTiming::default().max_divergence),
            "seed {seed}"
        );
    }
}

#[test]
#[ignore = "a measurement: cargo test --profile tested -p oatbank-fleet --test agreement -- --ignored --nocapture"]
fn measure_activation_time_and_messages_by_fleet_size() {
    for peers in [3, 10, 30, 100, 300] {
        let mut schedule = schedule(peers, 1, OnLeaseExpiry::Refuse);
        schedule.faults = false;
        let result = Fleet::new(schedule).run();
        let mean = |f: fn(&(Millis, Millis)) -> Millis| {
            result.effect.iter().map(f).sum::<Millis>() as f64 / result.effect.len().max(1) as f64
        };
        let seconds = (FAULT_PERIOD + 4 * LeaseTiming::default().max_divergence) as f64 / 1000.0;
        println!(
            "{peers:>3} limiters: first acts {:.0} ms and last {:.0} ms after it was asked for, over {} changes; longest \
             contradiction {} ms; {:.1} messages a second and limiter",
            mean(|e| e.0),
            mean(|e| e.1),
            result.effect.len(),
            result.longest,
            result.messages as f64 / seconds / f64::from(peers)
        );
    }
}
