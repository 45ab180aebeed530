//! Fault schedules: one family for each [`Point`]; a schedule follows from its seed alone.

mod families;
mod faults;

use crate::checker::{check, Broken};
use crate::clients::{server, Ends, Manner, Office};
use crate::history::Event;
use crate::world::{Machine, World};
use crate::{ms, Random};
use std::net::Ipv4Addr;
use std::rc::Rc;
use tokio::time::sleep;

/// Time after its start or return until a core machine counts as available, ms.
const CATCH_UP_TIME_MS: f64 = 4000.0;
/// Time until the remaining core machines work without the failed ones, ms.
const SETTLE_TIME_MS: f64 = 5200.0;
/// Time in which the remaining machines then answer a command, ms.
const ANSWER_LIMIT_MS: f64 = 6000.0;
/// Time after the last fault in which each core machine takes a command, ms.
const RECOVERY_LIMIT_MS: f64 = 10_000.0;
/// Time after that in which all core machines vote, ms.
const VOTING_LIMIT_MS: f64 = 30_000.0;

/// Point selects a family of schedules.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Point {
    /// Machines are cut off or frozen.
    Cutoff,
    /// Concurrent commands under one version number, and repeated commands.
    Numbers,
    /// Successive losses of machines.
    Losses,
    /// Hundreds of changes while machines leave and join.
    Changes,
    /// Answers are lost, duplicated or delayed.
    Answers,
}

/// Names of the families.
pub const POINTS: [(Point, &str); 5] = [
    (Point::Cutoff, "cutoff"),
    (Point::Numbers, "numbers"),
    (Point::Losses, "losses"),
    (Point::Changes, "changes"),
    (Point::Answers, "answers"),
];

/// Played holds the outcome of a schedule.
#[derive(Debug)]
pub struct Played {
    /// Seed of the schedule.
    pub seed: u64,
    /// Violated rules.
    pub broken: Vec<Broken>,
    /// Events that callers observed.
    pub history: Vec<(f64, Event)>,
}

/// Runs the schedule of this seed in virtual time and checks its history.
pub fn play(point: Point, seed: u64) -> Played {
    oatbank_node_runtime::random::seed(seed ^ 0x5eed_0001);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    let runtime = runtime.expect("a runtime without I/O");
    let history = tokio::task::LocalSet::new().block_on(&runtime, async move {
        let mut random = Random::new(seed);
        let core = if random.chance(0.6) { 3 } else { 5 };
        let world = World::new(random.number(), core, 2 + random.below(2));
        Director { point, world: world.clone(), office: Rc::default(), random }.direct().await;
        world.history.take()
    });
    Played { seed, broken: check(&history), history }
}

/// Director runs the faults and the callers of one schedule.
struct Director {
    point: Point,
    world: Rc<World>,
    office: Rc<Office>,
    random: Random,
}

impl Director {
    fn begins(&self, what: impl Into<String>) {
        self.world.history.record(Event::Trouble(true, what.into()));
    }

    fn ends(&self, what: impl Into<String>) {
        self.world.history.record(Event::Trouble(false, what.into()));
    }

    async fn waits(&mut self, range: std::ops::Range<f64>) {
        let long = self.random.within(range);
        sleep(ms(long)).await;
    }

    fn a_machine(&mut self) -> Rc<Machine> {
        let core = self.world.core.borrow();
        self.random.of(&core).clone()
    }

    /// Returns the number of core machines that may fail at once.
    fn tolerate(&self) -> usize {
        self.world.tolerate
    }

    async fn direct(mut self) {
        let world = self.world.clone();
        self.begins("cluster start");
        let rates = self.random.chance(0.3);
        for machine in world.core.borrow().iter().chain(world.followers.borrow().iter()) {
            if rates {
                machine.rate.set(self.random.within(0.9..1.1));
            }
        }
        let core = world.core.borrow().clone();
        for machine in &core {
            world.start_core(machine);
            self.waits(0.0..100.0).await;
        }
        for which in 0..world.followers.borrow().len() {
            world.start_follower(which);
        }
        for nth in 0..3 + self.random.below(2) as u8 {
            let ends = *self.random.of(&[Ends::Never, Ends::Never, Ends::InOrder, Ends::Crash]);
            let after = self.random.within(6000.0..40_000.0);
            server(&world, 1 + nth, if nth == 0 { Ends::Never } else { ends }, after);
        }
        let manner = self.manner();
        let operators = if self.random.chance(0.5) { 2 } else { 1 };
        for nth in 0..operators {
            self.office.operator(&world, 1 + nth, manner);
        }
        self.office.reader(&world, 5, 400.0);
        sleep(ms(1500.0)).await;
        self.ends("cluster start");
        self.waits(500.0..7000.0).await;
        match self.point {
            Point::Cutoff => self.cutoff().await,
            Point::Numbers => self.numbers().await,
            Point::Losses => self.losses().await,
            Point::Changes => self.changes().await,
            Point::Answers => self.answers().await,
        }
        let calm = self.random.chance(0.5);
        if calm {
            self.waits(0.0..8000.0).await;
        }
        world.over.set(true);
        self.office.recovers(&world, 9, RECOVERY_LIMIT_MS, VOTING_LIMIT_MS).await;
    }

    fn manner(&mut self) -> Manner {
        let every = self.random.within(300.0..1500.0);
        let zones = self.random.chance(0.3);
        let usual = Manner { every, rivals: 1, copies: 1, repeats: 0.1, zones };
        match self.point {
            Point::Numbers => {
                let rivals = *self.random.of(&[2, 2, 3, 4, 8]);
                let copies = if rivals < 4 { 1 + self.random.below(2) } else { 1 };
                Manner { rivals, copies, repeats: 0.3, ..usual }
            }
            Point::Changes => {
                Manner { every: self.random.within(20.0..120.0), repeats: 0.02, zones: false, ..usual }
            }
            _ => Manner { rivals: 1 + self.random.below(2), ..usual },
        }
    }

    /// Lets `long` ms pass while the machines `away` are down. If that is long enough for the others to settle, one of
    /// them must answer a command meanwhile.
    async fn passes(&mut self, long: f64, away: &[Ipv4Addr]) {
        let began = self.world.history.now();
        if long > SETTLE_TIME_MS + ANSWER_LIMIT_MS {
            sleep(ms(SETTLE_TIME_MS)).await;
            let others: Vec<Ipv4Addr> =
                self.world.controls().into_iter().filter(|ip| !away.contains(ip)).collect();
            let to = *self.random.of(&others);
            self.office.goes_on(&self.world, to, ANSWER_LIMIT_MS).await;
        }
        sleep(ms(long - (self.world.history.now() - began))).await;
    }
}
