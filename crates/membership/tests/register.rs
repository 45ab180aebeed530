//! Drives registrations against a randomized model of the service. After any losses, session expiries and restarts each name
//! has exactly one node, owned by its running process, and all processes have distinct numbers and the same count.
//!
//! `OATBANK_SCHEDULES=N` runs N schedules instead of the default 500.

use oatbank_membership::register::{Action, Event, Incarnation, Place, Registration, Settings, State};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;

const SETTLE: f64 = 4000.0;

struct Node {
    owner: i64,
    version: i32,
    bytes: Vec<u8>,
}

/// One process with its session and the pending actions of its connection.
struct Process {
    name: String,
    registration: Registration,
    session: Option<i64>,
    connected: bool,
    pending: Vec<Action>,
    watches: Vec<Action>,
    due: Option<f64>,
    /// Each reported position with its time.
    places: Vec<(f64, Place)>,
}

#[derive(Default)]
struct Model {
    now: f64,
    folder: bool,
    nodes: BTreeMap<String, Node>,
    processes: Vec<Process>,
    next_session: i64,
    next_incarnation: u64,
}

impl Model {
    fn with(names: &[&str]) -> Model {
        let mut model = Model::default();
        names.iter().for_each(|name| model.start(name));
        model
    }

    fn start(&mut self, name: &str) {
        self.next_incarnation += 1;
        let incarnation = Incarnation { started_ms: self.next_incarnation, instance: 0 };
        let registration = Registration::new(Settings { settle: SETTLE }, name, incarnation);
        self.processes.push(Process {
            name: name.to_owned(),
            registration,
            session: None,
            connected: false,
            pending: Vec::new(),
            watches: Vec::new(),
            due: None,
            places: Vec::new(),
        });
    }

    fn handle(&mut self, process_index: usize, event: Event) {
        let now = self.now;
        let process = &mut self.processes[process_index];
        let step = process.registration.handle(now, event);
        process.pending.extend(step.actions);
        process.due = step.due;
        process.places.extend(step.place.map(|place| (now, place)));
    }

    fn connect(&mut self, process_index: usize) {
        if self.processes[process_index].connected {
            return;
        }
        let session = self.processes[process_index].session.unwrap_or_else(|| {
            self.next_session += 1;
            self.next_session
        });
        (self.processes[process_index].session, self.processes[process_index].connected) =
            (Some(session), true);
        self.handle(process_index, Event::Connected { session });
    }

    /// Closes the connection; `done` decides whether the pending actions still take effect.
    fn disconnect(&mut self, process_index: usize, done: bool) {
        if !std::mem::take(&mut self.processes[process_index].connected) {
            return;
        }
        for action in std::mem::take(&mut self.processes[process_index].pending) {
            if done {
                self.execute(process_index, action);
            }
        }
        self.processes[process_index].watches.clear();
        self.handle(process_index, Event::Lost);
    }

    fn expire(&mut self, process_index: usize) {
        self.disconnect(process_index, false);
        if let Some(session) = self.processes[process_index].session.take() {
            let gone: Vec<String> =
                self.nodes.iter().filter(|(_, n)| n.owner == session).map(|(name, _)| name.clone()).collect();
            gone.iter().for_each(|name| self.remove_node(name));
        }
    }

    fn remove_node(&mut self, name: &str) {
        self.nodes.remove(name);
        self.fire_watches(name);
    }

    fn fire_watches(&mut self, name: &str) {
        for process_index in 0..self.processes.len() {
            let fired: Vec<Action> = {
                let process = &mut self.processes[process_index];
                let own = process.name == name;
                let (fired, kept) =
                    process.watches.drain(..).partition(|w| *w == Action::Names || *w == Action::Read && own);
                process.watches = kept;
                fired
            };
            fired.into_iter().for_each(|action| self.handle(process_index, Event::Fired(action)));
        }
    }

    fn create_node(&mut self, process_index: usize) {
        let process = &self.processes[process_index];
        let owner = process.session.expect("a session");
        let (name, bytes) = (process.name.clone(), process.registration.payload());
        self.nodes.insert(name.clone(), Node { owner, version: 0, bytes });
        self.fire_watches(&name);
    }

    /// Executes an action at the service and returns its answer.
    fn execute(&mut self, process_index: usize, action: Action) -> Event {
        let name = self.processes[process_index].name.clone();
        let version = self.nodes.get(&name).map(|n| n.version);
        match action {
            Action::Folder => self.folder = true,
            Action::Create if !self.folder => return Event::NoFolder,
            Action::Create if version.is_some() => return Event::Taken,
            Action::Create => self.create_node(process_index),
            Action::Replace { version: v } | Action::Remove { version: v } if version != Some(v) => {
                return Event::Failed(action);
            }
            Action::Replace { .. } => {
                self.remove_node(&name);
                self.create_node(process_index);
            }
            Action::Remove { .. } => self.remove_node(&name),
            Action::Read => {
                let Some(node) = self.nodes.get(&name) else { return Event::NoNode };
                let event =
                    Event::Node { owner: node.owner, version: node.version, bytes: node.bytes.clone() };
                self.processes[process_index].watches.push(action);
                return event;
            }
            Action::Names => {
                if !self.folder {
                    return Event::Failed(action);
                }
                self.processes[process_index].watches.push(action);
                return Event::Names(self.nodes.keys().cloned().collect());
            }
        }
        Event::Done(action)
    }

    /// Executes and answers the oldest pending action; returns whether there was one.
    fn serve(&mut self, process_index: usize) -> bool {
        if !self.processes[process_index].connected || self.processes[process_index].pending.is_empty() {
            return false;
        }
        let action = self.processes[process_index].pending.remove(0);
        let answer = self.execute(process_index, action);
        // Watches that fired meanwhile may be reported before the answer, but the connection remains.
        self.handle(process_index, answer);
        true
    }

    /// Processes all pending actions and timers for 10 s of simulated time.
    fn settle(&mut self) {
        for _ in 0..200 {
            for process_index in 0..self.processes.len() {
                self.connect(process_index);
                while self.serve(process_index) {}
            }
            let due: Vec<usize> = (0..self.processes.len())
                .filter(|w| self.processes[*w].due.is_some_and(|at| at <= self.now))
                .collect();
            due.into_iter().for_each(|process_index| self.handle(process_index, Event::Due));
            self.now += 50.0;
        }
    }

    fn check(&self, seed: u64) {
        let count = self.processes.len();
        assert_eq!(self.nodes.len(), count, "seed {seed}: one node for each process");
        let mut numbers: Vec<usize> = Vec::new();
        for process in &self.processes {
            assert_eq!(process.registration.state(), State::Registered, "seed {seed}: {}", process.name);
            assert_eq!(
                Some(self.nodes[&process.name].owner),
                process.session,
                "seed {seed}: {}",
                process.name
            );
            let place = process.registration.place().expect("a place");
            assert_eq!(place.count, count, "seed {seed}: {}", process.name);
            numbers.push(place.number);
        }
        numbers.sort_unstable();
        assert_eq!(numbers, (0..count).collect::<Vec<_>>(), "seed {seed}");
    }
}

/// Performs one random step of the model.
fn random_step(model: &mut Model, rng: &mut Pcg64Mcg) {
    let process_index = (rng.next_u64() % model.processes.len() as u64) as usize;
    match rng.next_u64() % 16 {
        0 => model.disconnect(process_index, rng.next_u64() % 2 == 0),
        1 => model.expire(process_index),
        2 => {
            // The process crashes and restarts; the node of its old session remains, since this model never expires it.
            let name = model.processes[process_index].name.clone();
            model.disconnect(process_index, rng.next_u64() % 2 == 0);
            model.processes.remove(process_index);
            model.start(&name);
        }
        3 => model.remove_node(&model.processes[process_index].name.clone()),
        4 | 5 => model.now += (rng.next_u64() % 3000) as f64,
        6 => model.handle(process_index, Event::Due),
        7 | 8 => model.connect(process_index),
        _ => _ = model.serve(process_index),
    }
}

#[test]
fn each_name_converges_to_one_node_owned_by_its_running_process() {
    let runs: u64 = std::env::var("OATBANK_SCHEDULES").ok().and_then(|n| n.parse().ok()).unwrap_or(500);
    for seed in 0..runs {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut model = Model::with(&["n0", "n1", "n2"]);
        for _ in 0..150 {
            random_step(&mut model, &mut rng);
        }
        model.settle();
        model.check(seed);
    }
}

#[test]
fn the_count_rises_at_once_and_falls_only_after_the_settling_time() {
    let mut model = Model::with(&["n0", "n1"]);
    model.settle();
    model.check(0);
    model.start("n2");
    model.connect(2);
    while (0..3).any(|process_index| model.serve(process_index)) {}
    assert_eq!(
        model.processes[0].registration.place().map(|p| p.count),
        Some(3),
        "a higher count is reported at once"
    );
    let left_at = model.now;
    model.expire(2);
    model.processes.remove(2);
    while (0..2).any(|process_index| model.serve(process_index)) {}
    assert_eq!(
        model.processes[0].registration.place().map(|p| p.count),
        Some(3),
        "a lower count is not reported yet"
    );
    model.settle();
    model.check(0);
    let (at, place) = *model.processes[0].places.last().expect("a place");
    assert!(place.count == 2 && at - left_at >= SETTLE, "fell to {} after {}", place.count, at - left_at);
}

#[test]
fn of_two_processes_with_the_same_name_the_newer_owns_the_node_until_it_ends() {
    let mut model = Model::with(&["n0", "n0"]);
    model.settle();
    let state = |model: &Model, process_index: usize| model.processes[process_index].registration.state();
    assert!(matches!(state(&model, 0), State::Superseded(life) if life.started_ms == 2));
    assert_eq!((state(&model, 1), model.nodes.len()), (State::Registered, 1));
    model.expire(1);
    model.processes.remove(1);
    model.settle();
    assert_eq!((state(&model, 0), model.nodes.len()), (State::Registered, 1));
}

#[test]
fn a_leaving_limiter_removes_its_node_and_creates_no_other() {
    let mut model = Model::with(&["n0", "n1"]);
    model.settle();
    model.handle(0, Event::Leave);
    model.settle();
    assert_eq!(model.processes[0].registration.state(), State::Left);
    assert_eq!(model.nodes.keys().collect::<Vec<_>>(), ["n1"]);
    // A new session does not create a node either.
    model.expire(0);
    model.settle();
    assert_eq!(model.nodes.len(), 1);
}
