//! Checks a history against the guarantees given to callers. It relies only on what callers observed and knows nothing
//! of the implementation.

use crate::history::{AppliedState, Content, Event, OperatorCommand, What};
use std::collections::{BTreeMap, BTreeSet};

/// Time from acknowledgement until connected followers apply a configuration, ms.
const APPLY_LIMIT_MS: f64 = 3000.0;
/// Time from acknowledgement until no follower acts on an older configuration, connected or not, ms.
const REVOKE_LIMIT_MS: f64 = 5000.0;
/// Time from the first request until a command has a definite answer in a calm period, ms.
const ANSWER_LIMIT_MS: f64 = 6000.0;
/// Time from acknowledgement until an evacuated zone gets no requests, ms.
const EVACUATION_LIMIT_MS: f64 = 5000.0;
/// Time from acknowledgement until a draining server gets no requests, ms.
const DRAIN_LIMIT_MS: f64 = 3000.0;
/// Time after the last fault until all machines count as connected, ms.
const RECONNECT_LIMIT_MS: f64 = 5000.0;
/// Time from its first acknowledgement until every follower knows a server, ms.
const DISCOVERY_LIMIT_MS: f64 = 3000.0;
/// Longest delay of a duplicate of a call that was left unanswered, ms.
const DUPLICATE_LIMIT_MS: f64 = 10_000.0;
/// Time until followers drop a server that ended without leaving, ms.
const CRASH_DETECTION_LIMIT_MS: f64 = 12_000.0;

/// Broken describes one violated rule.
#[derive(Clone, Debug, PartialEq)]
pub struct Broken {
    /// Time since the start of the history, ms.
    pub at: f64,
    /// Name of the rule.
    pub rule: &'static str,
    /// Description of the violation.
    pub what: String,
}

#[derive(Default)]
struct CommandState {
    asked: Option<f64>,
    acked: Option<f64>,
    refused: Option<u16>,
    in_force: bool,
}

#[derive(Default)]
struct Server {
    first: Option<f64>,
    /// Time at which draining or leaving was first acknowledged, ms.
    drains: Option<f64>,
    /// The server has started to announce its departure; followers may omit it from then on.
    leaves: bool,
    ended: Option<f64>,
}

/// State of the evacuation commands of one zone.
#[derive(Clone, Copy, Default)]
struct Zone {
    /// State that was acknowledged last, and when, ms.
    empty: bool,
    since: f64,
    /// A command has been sent since that acknowledgement.
    asked: bool,
    /// Time of the last command without a definite answer, ms; index 1 for evacuating, 0 for ending it.
    unclear: [Option<f64>; 2],
}

impl Zone {
    /// Returns whether no delayed duplicate of the opposite command can still arrive.
    fn is_clear(&self) -> bool {
        !self.asked
            && self.unclear[usize::from(!self.empty)].is_none_or(|at| self.since - at > DUPLICATE_LIMIT_MS)
    }
}

/// Increasing version numbers, each with the time from which it is a lower bound.
#[derive(Default)]
struct VersionFloor(Vec<(f64, u64)>);

impl VersionFloor {
    fn raise(&mut self, at: f64, number: u64) {
        if self.0.last().is_none_or(|(_, last)| number > *last) {
            self.0.push((at, number));
        }
    }

    fn at(&self, at: f64) -> u64 {
        let after = self.0.partition_point(|(when, _)| *when <= at);
        after.checked_sub(1).map_or(0, |last| self.0[last].1)
    }
}

#[derive(Default)]
struct Checker {
    now: f64,
    operator_commands: Vec<(OperatorCommand, CommandState)>,
    /// Command that produced each version.
    chain: BTreeMap<u64, usize>,
    acked: VersionFloor,
    read: VersionFloor,
    processes: BTreeMap<(usize, u64), u64>,
    /// Whether each follower was active in its last sample.
    active: BTreeMap<usize, bool>,
    servers: BTreeMap<String, Server>,
    troubles: usize,
    troubled: f64,
    zones: BTreeMap<String, Zone>,
    broken: Vec<Broken>,
}

impl Checker {
    fn report_violation(&mut self, rule: &'static str, what: String) {
        if self.broken.len() < 20 {
            self.broken.push(Broken { at: self.now, rule, what });
        }
    }

    fn is_calm(&self) -> bool {
        self.troubles == 0 && self.now - self.troubled >= RECONNECT_LIMIT_MS
    }

    /// Marks a command as taken effect and checks that no other one has its number or its base.
    fn mark_in_force(&mut self, at: usize) {
        let (order, standing) = &mut self.operator_commands[at];
        standing.in_force = true;
        let (order, refused) = (order.clone(), standing.refused);
        if let Some(status) = refused {
            self.report_violation(
                "refused",
                format!("#{at} r{} was refused with {status} and is in force", order.number),
            );
        }
        if matches!(order.what, What::Empty(..)) {
            return;
        }
        let before = *self.chain.entry(order.number).or_insert(at);
        if before != at {
            let what = format!("#{before} and #{at} are both r{}", order.number);
            self.report_violation("one change a number", what);
        }
        let same = |(n, (o, s)): (usize, &(OperatorCommand, CommandState))| {
            (n != at && s.in_force && o.number > 0 && o.built_on == order.built_on).then_some(n)
        };
        if let Some(other) = self.operator_commands.iter().enumerate().find_map(same) {
            let what = format!("#{other} and #{at} both build on r{}", order.built_on);
            self.report_violation("one change a number", what);
        }
    }

    /// Returns the route tags that a version should have, or `None` if a version it builds on is not known.
    fn routes(&self, number: u64) -> Option<BTreeSet<u64>> {
        if number == 0 {
            return Some(BTreeSet::new());
        }
        let (order, _) = &self.operator_commands[*self.chain.get(&number)?];
        let mut routes = match order.what {
            What::Change => self.routes(order.built_on)?,
            _ => BTreeSet::new(),
        };
        routes.insert(order.tag);
        Some(routes)
    }

    /// Checks a configuration that a caller observed in force against the commands.
    fn check_observed(&mut self, content: &Content) {
        if content.number == 0 || self.chain.contains_key(&content.number) && self.matches_commands(content) {
            return;
        }
        let is = |(order, _): &(OperatorCommand, CommandState)| {
            order.number == content.number && content.tags.binary_search(&order.tag).is_ok()
        };
        let Some(at) = self.operator_commands.iter().position(is) else {
            self.report_violation(
                "in force",
                format!("no command created r{} with {:?}", content.number, content.tags),
            );
            return;
        };
        self.mark_in_force(at);
        if !self.matches_commands(content) {
            let what =
                format!("r{} has {:?}, not {:?}", content.number, content.tags, self.routes(content.number));
            self.report_violation("in force", what);
        }
    }

    fn matches_commands(&self, content: &Content) -> bool {
        // A change may build on a version that no caller has observed; its routes are then unknown.
        let routes = self.routes(content.number);
        routes.is_none_or(|routes| routes.iter().copied().eq(content.tags.iter().copied()))
    }

    fn check_answer(&mut self, at: usize, status: Option<u16>) {
        let (order, standing) = &mut self.operator_commands[at];
        let (number, what) = (order.number, order.what.clone());
        match status {
            Some(200) => {
                let first = standing.acked.is_none();
                standing.acked.get_or_insert(self.now);
                self.mark_in_force(at);
                if let What::Empty(zone, begin) = what {
                    let zone = self.zones.entry(zone).or_default();
                    (zone.empty, zone.since, zone.asked) = (begin, self.now, false);
                } else if first {
                    self.acked.raise(self.now, number);
                }
            }
            Some(status @ (400 | 412)) if number > 0 => {
                standing.refused = Some(status);
                let (taken, base) = (standing.in_force, order.built_on);
                if taken {
                    self.report_violation(
                        "refused",
                        format!("#{at} r{number} is in force and was refused with {status}"),
                    );
                }
                let rival =
                    |(n, (o, _)): (usize, &(OperatorCommand, CommandState))| n != at && o.number > base;
                if !self.operator_commands.iter().enumerate().any(rival) {
                    self.report_violation(
                        "refused",
                        format!("#{at} r{number} was refused with {status} without a concurrent command"),
                    );
                }
            }
            Some(500..) | None => {
                let asked = standing.asked.unwrap_or(self.now);
                if self.is_calm()
                    && asked - self.troubled >= RECONNECT_LIMIT_MS
                    && self.now - asked > ANSWER_LIMIT_MS
                {
                    self.report_violation(
                        "answers",
                        format!("#{at} r{number} has no definite answer in a calm period"),
                    );
                }
                if let What::Empty(zone, begin) = what {
                    self.zones.entry(zone).or_default().unclear[usize::from(begin)] = Some(self.now);
                }
            }
            Some(status) => self.report_violation("answers", format!("#{at} r{number} got {status}")),
        }
    }

    fn check_sample(&mut self, who: usize, process: u64, active: &AppliedState) {
        let number = active.content.number;
        self.active.insert(who, active.acts);
        if active.acts {
            self.check_observed(&active.content);
            let last = self.processes.entry((who, process)).or_default();
            let before = std::mem::replace(last, number.max(*last));
            if number < before {
                self.report_violation(
                    "goes back",
                    format!("follower {who} applies r{number} after r{before}"),
                );
            }
            let floor = self.acked.at(self.now - REVOKE_LIMIT_MS);
            if number < floor {
                self.report_violation(
                    "old in force",
                    format!(
                        "follower {who} applies r{number}; r{floor} was acknowledged at least {REVOKE_LIMIT_MS:.0} ms ago"
                    ),
                );
            }
        }
        if !self.is_calm() {
            return;
        }
        let floor = self.acked.at(self.now - APPLY_LIMIT_MS);
        if floor > 0 && !active.acts {
            self.report_violation("ready", format!("follower {who} is inactive in a calm period"));
        }
        if active.acts && number < floor {
            self.report_violation(
                "applies",
                format!("follower {who} applies r{number}; r{floor} was acknowledged at least {APPLY_LIMIT_MS:.0} ms ago"),
            );
        }
        let mut wrong = Vec::new();
        for (name, zone) in &self.zones {
            let due = zone.is_clear() && self.now - zone.since > EVACUATION_LIMIT_MS;
            if due && active.acts && active.empty.contains(name) != zone.empty {
                wrong.push(format!(
                    "follower {who}: expected evacuation state of zone {name}: {}",
                    zone.empty
                ));
            }
        }
        if !active.servers.windows(2).all(|pair| pair[0] < pair[1]) {
            wrong.push(format!("follower {who} has a duplicate server: {:?}", active.servers));
        }
        for (id, server) in &self.servers {
            let there = active.servers.binary_search(id).is_ok();
            let old = |since: Option<f64>, bound| since.is_some_and(|since| self.now - since > bound);
            if there && old(server.drains, DRAIN_LIMIT_MS) {
                wrong.push(format!("follower {who} still lists {id}, which is draining"));
            }
            // A silent server is detected only by listening to it, which starts anew after the last fault.
            if there && old(server.ended.map(|at| at.max(self.troubled)), CRASH_DETECTION_LIMIT_MS) {
                wrong.push(format!("follower {who} still lists {id}, which has ended"));
            }
            if !there && server.ended.is_none() && !server.leaves && old(server.first, DISCOVERY_LIMIT_MS) {
                wrong.push(format!("follower {who} does not list {id}"));
            }
        }
        wrong.into_iter().for_each(|what| self.report_violation("servers", what));
    }

    /// In a calm period, lookups return exactly the active followers.
    fn check_lookup(&mut self, machine: std::net::Ipv4Addr, status: u16, fronts: &[String]) {
        if !matches!(status, 200 | 500..) {
            self.report_violation("answers", format!("a lookup at {machine} got {status}"));
        }
        if !self.is_calm() || self.active.values().all(|acts| !acts) {
            return;
        }
        let all = self.active.iter().filter(|(_, acts)| **acts);
        let all: BTreeSet<String> = all.map(|(who, _)| front(*who)).collect();
        let settings: BTreeSet<String> = fronts.iter().cloned().collect();
        if status != 200 || settings != all || fronts.len() != settings.len() {
            self.report_violation(
                "directory",
                format!("{machine} returns {fronts:?} ({status}); {all:?} are active"),
            );
        }
    }

    fn record(&mut self, at: f64, event: &Event) {
        self.now = at;
        match event {
            Event::Ordered(order) => self.operator_commands.push((order.clone(), CommandState::default())),
            Event::Asked(order, _) => {
                self.operator_commands[*order].1.asked.get_or_insert(at);
                if let What::Empty(zone, _) = &self.operator_commands[*order].0.what {
                    self.zones.entry(zone.clone()).or_default().asked = true;
                }
            }
            Event::OperatorAnswer(order, _, status) => self.check_answer(*order, *status),
            Event::Read(began, machine, status, content) => {
                let floor = self.acked.at(*began).max(self.read.at(*began));
                match status {
                    200 => {
                        self.check_observed(content);
                        if content.number < floor {
                            let what =
                                format!("{machine} returns r{}; r{floor} was known before", content.number);
                            self.report_violation("reads", what);
                        }
                        self.read.raise(at, content.number);
                    }
                    404 if floor > 0 => {
                        self.report_violation(
                            "reads",
                            format!("{machine} returns no version; r{floor} was known before"),
                        );
                    }
                    404 | 500.. => {}
                    _ => self.report_violation("answers", format!("a read got {status}")),
                }
            }
            Event::Sent(machine, status, fronts) => self.check_lookup(*machine, *status, fronts),
            Event::Acts(who, process, active) => self.check_sample(*who, *process, active),
            Event::Begins(id) => _ = self.servers.insert(id.clone(), Server::default()),
            Event::Leaves(id) => {
                if let Some(server) = self.servers.get_mut(id) {
                    server.leaves = true;
                }
            }
            Event::ReadAnswer(id, state) => {
                if let Some(server) = self.servers.get_mut(id) {
                    server.first.get_or_insert(at);
                    if *state > 0 {
                        server.drains.get_or_insert(at);
                    }
                }
            }
            Event::Ended(id) => {
                if let Some(server) = self.servers.get_mut(id) {
                    server.ended.get_or_insert(at);
                }
            }
            Event::Trouble(begins, _) => {
                self.troubles = if *begins { self.troubles + 1 } else { self.troubles.saturating_sub(1) };
                self.troubled = at;
            }
            Event::Recovered(_, true) => {}
            Event::Recovered(what, false) => self.report_violation("recovers", what.clone()),
        }
    }
}

/// Returns the address at which a follower accepts client requests.
pub fn front(who: usize) -> String {
    format!("10.0.2.{}:8686", who + 1)
}

/// Returns the violations found in a history, at most the first 20.
pub fn check(history: &[(f64, Event)]) -> Vec<Broken> {
    let mut checker = Checker::default();
    for (at, event) in history {
        checker.record(*at, event);
    }
    checker.broken
}
