//! Registrations against a model of the tree: whatever is lost, expires or starts anew, each name has one node in the end,
//! of the process that lives, and all agree on who is who.

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

/// One process with its session and what is out on its connection.
struct Process {
    name: String,
    registration: Registration,
    session: Option<i64>,
    connected: bool,
    out: Vec<Action>,
    watches: Vec<Action>,
    due: Option<f64>,
    /// Each place that was told, with its time.
    places: Vec<(f64, Place)>,
}

#[derive(Default)]
struct World {
    now: f64,
    folder: bool,
    nodes: BTreeMap<String, Node>,
    processes: Vec<Process>,
    next_session: i64,
    next_life: u64,
}

impl World {
    fn with(names: &[&str]) -> World {
        let mut world = World::default();
        names.iter().for_each(|name| world.start(name));
        world
    }

    fn start(&mut self, name: &str) {
        self.next_life += 1;
        let life = Incarnation { started_ms: self.next_life, instance: 0 };
        let registration = Registration::new(Settings { settle: SETTLE }, name, life);
        self.processes.push(Process {
            name: name.to_owned(),
            registration,
            session: None,
            connected: false,
            out: Vec::new(),
            watches: Vec::new(),
            due: None,
            places: Vec::new(),
        });
    }

    fn tell(&mut self, who: usize, event: Event) {
        let now = self.now;
        let process = &mut self.processes[who];
        let step = process.registration.handle(now, event);
        process.out.extend(step.actions);
        process.due = step.due;
        process.places.extend(step.place.map(|place| (now, place)));
    }

    fn connect(&mut self, who: usize) {
        if self.processes[who].connected {
            return;
        }
        let session = self.processes[who].session.unwrap_or_else(|| {
            self.next_session += 1;
            self.next_session
        });
        (self.processes[who].session, self.processes[who].connected) = (Some(session), true);
        self.tell(who, Event::Connected { session });
    }

    /// The connection goes, and what was out with it: done or not.
    fn disconnect(&mut self, who: usize, done: bool) {
        if !std::mem::take(&mut self.processes[who].connected) {
            return;
        }
        for want in std::mem::take(&mut self.processes[who].out) {
            if done {
                self.carry_out(who, want);
            }
        }
        self.processes[who].watches.clear();
        self.tell(who, Event::Lost);
    }

    fn expire(&mut self, who: usize) {
        self.disconnect(who, false);
        if let Some(session) = self.processes[who].session.take() {
            let gone: Vec<String> =
                self.nodes.iter().filter(|(_, n)| n.owner == session).map(|(name, _)| name.clone()).collect();
            gone.iter().for_each(|name| self.remove(name));
        }
    }

    fn remove(&mut self, name: &str) {
        self.nodes.remove(name);
        self.changed(name);
    }

    fn changed(&mut self, name: &str) {
        for who in 0..self.processes.len() {
            let fired: Vec<Action> = {
                let process = &mut self.processes[who];
                let own = process.name == name;
                let (fired, kept) =
                    process.watches.drain(..).partition(|w| *w == Action::Names || *w == Action::Read && own);
                process.watches = kept;
                fired
            };
            fired.into_iter().for_each(|want| self.tell(who, Event::Fired(want)));
        }
    }

    fn make(&mut self, who: usize) {
        let process = &self.processes[who];
        let owner = process.session.expect("a session");
        let (name, bytes) = (process.name.clone(), process.registration.payload());
        self.nodes.insert(name.clone(), Node { owner, version: 0, bytes });
        self.changed(&name);
    }

    /// Does one thing at the service, and gives what is answered.
    fn carry_out(&mut self, who: usize, want: Action) -> Event {
        let name = self.processes[who].name.clone();
        let version = self.nodes.get(&name).map(|n| n.version);
        match want {
            Action::Folder => self.folder = true,
            Action::Create if !self.folder => return Event::NoFolder,
            Action::Create if version.is_some() => return Event::Taken,
            Action::Create => self.make(who),
            Action::Replace { version: v } | Action::Remove { version: v } if version != Some(v) => {
                return Event::Failed(want);
            }
            Action::Replace { .. } => {
                self.remove(&name);
                self.make(who);
            }
            Action::Remove { .. } => self.remove(&name),
            Action::Read => {
                let Some(node) = self.nodes.get(&name) else { return Event::NoNode };
                let event =
                    Event::Node { owner: node.owner, version: node.version, bytes: node.bytes.clone() };
                self.processes[who].watches.push(want);
                return event;
            }
            Action::Names => {
                if !self.folder {
                    return Event::Failed(want);
                }
                self.processes[who].watches.push(want);
                return Event::Names(self.nodes.keys().cloned().collect());
            }
        }
        Event::Done(want)
    }

    /// Does the oldest thing that is out and answers it; whether there was one.
    fn serve(&mut self, who: usize) -> bool {
        if !self.processes[who].connected || self.processes[who].out.is_empty() {
            return false;
        }
        let want = self.processes[who].out.remove(0);
        let answer = self.carry_out(who, want);
        // What fired meanwhile may have been told before the answer; the connection may not have gone.
        self.tell(who, answer);
        true
    }

    /// Lets everything come to rest, and time pass until nothing is due.
    fn settle(&mut self) {
        for _ in 0..200 {
            for who in 0..self.processes.len() {
                self.connect(who);
                while self.serve(who) {}
            }
            let due: Vec<usize> = (0..self.processes.len())
                .filter(|w| self.processes[*w].due.is_some_and(|at| at <= self.now))
                .collect();
            due.into_iter().for_each(|who| self.tell(who, Event::Due));
            self.now += 50.0;
        }
    }

    fn check(&self, seed: u64) {
        let count = self.processes.len();
        assert_eq!(self.nodes.len(), count, "seed {seed}: one node each");
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

/// One random step of the world.
fn disturb(world: &mut World, rng: &mut Pcg64Mcg) {
    let who = (rng.next_u64() % world.processes.len() as u64) as usize;
    match rng.next_u64() % 16 {
        0 => world.disconnect(who, rng.next_u64() % 2 == 0),
        1 => world.expire(who),
        2 => {
            // The process dies; its node stays until its session ends, or for good if that is lost sight of.
            let name = world.processes[who].name.clone();
            world.disconnect(who, rng.next_u64() % 2 == 0);
            world.processes.remove(who);
            world.start(&name);
        }
        3 => world.remove(&world.processes[who].name.clone()),
        4 | 5 => world.now += (rng.next_u64() % 3000) as f64,
        6 => world.tell(who, Event::Due),
        7 | 8 => world.connect(who),
        _ => _ = world.serve(who),
    }
}

#[test]
fn in_the_end_each_name_has_the_node_of_its_living_process() {
    let runs: u64 = std::env::var("OATBANK_SCHEDULES").ok().and_then(|n| n.parse().ok()).unwrap_or(500);
    for seed in 0..runs {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut world = World::with(&["n0", "n1", "n2"]);
        for _ in 0..150 {
            disturb(&mut world, &mut rng);
        }
        world.settle();
        world.check(seed);
    }
}

#[test]
fn the_count_rises_at_once_and_falls_only_after_a_session_time_out() {
    let mut world = World::with(&["n0", "n1"]);
    world.settle();
    world.check(0);
    world.start("n2");
    world.connect(2);
    while (0..3).any(|who| world.serve(who)) {}
    assert_eq!(world.processes[0].registration.place().map(|p| p.count), Some(3), "at once");
    let fell_at = world.now;
    world.expire(2);
    world.processes.remove(2);
    while (0..2).any(|who| world.serve(who)) {}
    assert_eq!(world.processes[0].registration.place().map(|p| p.count), Some(3), "not yet");
    world.settle();
    world.check(0);
    let (at, place) = *world.processes[0].places.last().expect("a place");
    assert!(place.count == 2 && at - fell_at >= SETTLE, "fell to {} after {}", place.count, at - fell_at);
}

#[test]
fn of_two_processes_with_one_name_the_newer_holds_it_until_it_goes() {
    let mut world = World::with(&["n0", "n0"]);
    world.settle();
    let state = |world: &World, who: usize| world.processes[who].registration.state();
    assert!(matches!(state(&world, 0), State::Superseded(life) if life.started_ms == 2));
    assert_eq!((state(&world, 1), world.nodes.len()), (State::Registered, 1));
    world.expire(1);
    world.processes.remove(1);
    world.settle();
    assert_eq!((state(&world, 0), world.nodes.len()), (State::Registered, 1));
}

#[test]
fn one_that_leaves_removes_its_node_and_makes_no_other() {
    let mut world = World::with(&["n0", "n1"]);
    world.settle();
    world.tell(0, Event::Leave);
    world.settle();
    assert_eq!(world.processes[0].registration.state(), State::Left);
    assert_eq!(world.nodes.keys().collect::<Vec<_>>(), ["n1"]);
    // Not even on a new session.
    world.expire(0);
    world.settle();
    assert_eq!(world.nodes.len(), 1);
}
