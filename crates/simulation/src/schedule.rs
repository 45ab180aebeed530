//! What goes wrong when. Each of the five points has a family of schedules; one schedule follows from its seed.

use crate::checker::{check, Broken};
use crate::clients::{server, Ends, Manner, Office};
use crate::history::Event;
use crate::network::Weather;
use crate::world::{Machine, World};
use crate::{ms, Random};
use std::net::Ipv4Addr;
use std::rc::Rc;
use tokio::time::sleep;

/// After its start, or its return, a core machine counts again after this, ms.
const CATCH_UP: f64 = 4000.0;
/// The others go on without some of the core after this, and then take an order within that, ms.
const SETTLES: f64 = 5200.0;
const ACK: f64 = 6000.0;
/// After the last trouble each core machine takes an order within this, and all vote within that, ms.
const TAKES: f64 = 10_000.0;
const VOTES: f64 = 30_000.0;

/// The five points.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Point {
    /// A machine is cut off, or stands still.
    Cutoff,
    /// Rivals under one number, and repeats.
    Numbers,
    /// One loss after the other.
    Losses,
    /// Hundreds of changes, and members that come and go.
    Changes,
    /// Answers lost, doubled, late.
    Answers,
}

/// Each with its name.
pub const POINTS: [(Point, &str); 5] = [
    (Point::Cutoff, "cutoff"),
    (Point::Numbers, "numbers"),
    (Point::Losses, "losses"),
    (Point::Changes, "changes"),
    (Point::Answers, "answers"),
];

/// What came of a schedule.
#[derive(Debug)]
pub struct Played {
    /// Its seed.
    pub seed: u64,
    /// What was broken.
    pub broken: Vec<Broken>,
    /// What callers saw.
    pub history: Vec<(f64, Event)>,
}

/// Plays the schedule of this seed.
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

/// Who leads through a schedule.
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

    /// How many machines may be lost.
    fn tolerate(&self) -> usize {
        self.world.tolerate
    }

    async fn direct(mut self) {
        let world = self.world.clone();
        self.begins("the start");
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
        self.ends("the start");
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
        self.office.recovers(&world, 9, TAKES, VOTES).await;
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

    /// So much time passes while these are away. If it is long, the others go on meanwhile.
    async fn passes(&mut self, long: f64, away: &[Ipv4Addr]) {
        let began = self.world.history.now();
        if long > SETTLES + ACK {
            sleep(ms(SETTLES)).await;
            let others: Vec<Ipv4Addr> =
                self.world.controls().into_iter().filter(|ip| !away.contains(ip)).collect();
            let to = *self.random.of(&others);
            self.office.goes_on(&self.world, to, ACK).await;
        }
        sleep(ms(long - (self.world.history.now() - began))).await;
    }

    // ---- Troubles -----------------------------------------------------------------------------

    fn others(&mut self, machine: &Machine) -> Vec<Ipv4Addr> {
        let world = &self.world;
        let core: Vec<Ipv4Addr> = world.core.borrow().iter().map(|m| m.ip).collect();
        let followers: Vec<Ipv4Addr> = world.followers.borrow().iter().map(|m| m.ip).collect();
        let callers = (1..10).map(|n| Ipv4Addr::new(10, 0, 9, n));
        let callers: Vec<Ipv4Addr> = callers.chain((1..10).map(|n| Ipv4Addr::new(10, 0, 8, n))).collect();
        let some = |random: &mut Random, of: &[Ipv4Addr]| -> Vec<Ipv4Addr> {
            of.iter().copied().filter(|_| random.chance(0.5)).collect()
        };
        let mut others = match self.random.below(5) {
            // From the other core machines, and from all else, or a part of it.
            0 | 1 => core.clone(),
            2 => [core, followers].concat(),
            3 => {
                [core.clone(), some(&mut self.random, &followers), some(&mut self.random, &callers)].concat()
            }
            _ => [some(&mut self.random, &core), followers, some(&mut self.random, &callers)].concat(),
        };
        others.retain(|ip| *ip != machine.ip);
        others
    }

    /// A machine is cut off, both ways or one.
    async fn cut(&mut self, machine: &Rc<Machine>, long: f64) {
        let (world, others) = (self.world.clone(), self.others(machine));
        let (out, back) = *self.random.of(&[(true, true), (true, true), (true, false), (false, true)]);
        let what = format!("{} is cut off (out {out}, in {back}) from {others:?}", machine.ip);
        self.begins(what.clone());
        for heal in [false, true] {
            for other in &others {
                if out {
                    world.cut(machine.ip, &[*other], heal);
                }
                if back {
                    world.cut(*other, &[machine.ip], heal);
                }
            }
            if !heal {
                self.passes(long, &[machine.ip]).await;
            }
        }
        self.ends(what);
    }

    async fn freeze(&mut self, machine: &Rc<Machine>, long: f64) {
        let what = format!("{} stands still for {long:.0} ms", machine.ip);
        self.begins(what.clone());
        machine.freeze(long);
        if self.world.core.borrow().iter().any(|m| m.ip == machine.ip) {
            self.passes(long, &[machine.ip]).await;
        } else {
            sleep(ms(long)).await;
        }
        self.ends(what);
    }

    /// Machines go at once, by a kill or by a loss of power, and come back; of these, some with empty disks.
    async fn go(&mut self, machines: &[Rc<Machine>], wiped: &[Rc<Machine>], away: f64) {
        let world = self.world.clone();
        let power = self.random.chance(0.5);
        let ips = |of: &[Rc<Machine>]| of.iter().map(|m| m.ip.to_string()).collect::<Vec<_>>().join(", ");
        let how = if power { "lose power" } else { "are killed" };
        let what = format!("{} {how}, wiped: {}", ips(machines), ips(wiped));
        self.begins(what.clone());
        for machine in machines {
            if power {
                world.lose_power(machine);
            } else {
                machine.kill();
            }
        }
        sleep(ms(2.0)).await;
        for machine in wiped {
            if self.random.chance(0.8) {
                machine.disk.wipe();
            } else {
                machine.disk.damage();
            }
        }
        let gone: Vec<Ipv4Addr> = machines.iter().map(|m| m.ip).collect();
        self.passes(away, &gone).await;
        for machine in machines {
            world.start_core(machine);
            let gap = self.random.within(0.0..200.0);
            sleep(ms(gap)).await;
        }
        self.ends(what);
    }

    /// The power goes in the middle of a machine's next write.
    async fn doom(&mut self, machine: &Rc<Machine>) {
        let what = format!("{} loses power at a write", machine.ip);
        self.begins(what.clone());
        machine.disk.dooms.set(true);
        self.waits(300.0..1500.0).await;
        machine.disk.dooms.set(false);
        self.world.lose_power(machine);
        self.waits(50.0..3000.0).await;
        self.world.start_core(machine);
        self.ends(what);
    }

    async fn bad_disk(&mut self, machine: &Rc<Machine>, long: f64) {
        let full = self.random.chance(0.5);
        let what = format!("{}'s disk is {}", machine.ip, if full { "full" } else { "slow" });
        self.begins(what.clone());
        if full {
            machine.disk.full.set(true);
        } else {
            machine.disk.slow.set(self.random.within(20.0..1200.0));
        }
        sleep(ms(long)).await;
        machine.disk.full.set(false);
        machine.disk.slow.set(0.0);
        self.ends(what);
    }

    /// Full disks, and then no power: what was refused must not have been confirmed.
    async fn full_and_off(&mut self) {
        let world = self.world.clone();
        let core = world.core.borrow().clone();
        let all = self.random.chance(0.6);
        let some = if all { core.len() } else { 1 + self.random.below(core.len()) };
        let what = format!("{some} disks are full, and then the power goes");
        self.begins(what.clone());
        core[..some].iter().for_each(|machine| machine.disk.full.set(true));
        self.waits(500.0..3000.0).await;
        for machine in &core[..some] {
            world.lose_power(machine);
            machine.disk.full.set(false);
        }
        self.waits(10.0..2000.0).await;
        for machine in &core[..some] {
            world.start_core(machine);
        }
        self.ends(what);
    }

    async fn weather(&mut self, long: f64) {
        let mut draw = |most: f64| if self.random.chance(0.6) { self.random.within(0.0..most) } else { 0.0 };
        let weather = Weather {
            lose: draw(0.15),
            double: draw(0.2),
            late: draw(0.15),
            reset: draw(0.03),
            hang: draw(0.3),
            slow: draw(300.0),
        };
        let what = format!("{weather:?}");
        self.begins(what.clone());
        self.world.network.weather(weather);
        sleep(ms(long)).await;
        self.world.network.weather(Weather::default());
        // What is late comes yet.
        sleep(ms(3000.0)).await;
        self.ends(what);
    }

    async fn follower_trouble(&mut self) {
        let which = self.random.below(self.world.followers.borrow().len());
        let machine = self.world.followers.borrow()[which].clone();
        let long = self.random.within(200.0..9000.0);
        match self.random.below(4) {
            0 => self.freeze(&machine, long).await,
            1 | 2 => {
                let what = format!("follower {which} starts anew");
                self.begins(what.clone());
                machine.kill();
                self.waits(10.0..2000.0).await;
                self.world.start_follower(which);
                self.ends(what);
            }
            _ => {
                let what = format!("follower {which} is cut off");
                self.begins(what.clone());
                let core = self.world.controls();
                let (one, all) = (self.random.chance(0.5), core.len());
                let some = if one { core[..1 + self.random.below(all)].to_vec() } else { core };
                for heal in [false, true] {
                    for ip in &some {
                        self.world.cut(machine.ip, &[*ip], heal);
                        self.world.cut(*ip, &[machine.ip], heal);
                    }
                    if !heal {
                        sleep(ms(long)).await;
                    }
                }
                self.ends(what);
            }
        }
    }

    /// Something else that may come on any day.
    async fn anything(&mut self) {
        let machine = self.a_machine();
        match self.random.below(10) {
            0 => {
                let long = self.random.within(200.0..20_000.0);
                self.cut(&machine, long).await;
            }
            1 => {
                let long = self.random.within(300.0..12_000.0);
                self.freeze(&machine, long).await;
            }
            2 => {
                let away = self.random.within(10.0..4000.0);
                self.go(&[machine], &[], away).await;
            }
            3 => self.doom(&machine).await,
            4 => {
                let long = self.random.within(500.0..6000.0);
                self.bad_disk(&machine, long).await;
            }
            5 => {
                let long = self.random.within(1000.0..6000.0);
                self.weather(long).await;
            }
            6 => {
                let what = format!("{}'s connections are reset", machine.ip);
                self.begins(what.clone());
                self.world.network.reset(machine.ip);
                self.ends(what);
            }
            8 => self.full_and_off().await,
            7 => {
                let store = self.random.chance(0.5);
                let what =
                    format!("{}'s {} starts anew", machine.ip, if store { "store" } else { "registry" });
                self.begins(what.clone());
                if store {
                    self.world.start_store(&machine);
                } else {
                    self.world.start_registry(&machine);
                }
                self.ends(what);
            }
            _ => self.follower_trouble().await,
        }
    }

    // ---- Families -----------------------------------------------------------------------------

    async fn cutoff(&mut self) {
        for _ in 0..2 + self.random.below(2) {
            let machine = self.a_machine();
            match self.random.below(6) {
                0..=2 => {
                    let long = self.random.within(16_000.0..24_000.0);
                    let long = if self.random.chance(0.3) { self.random.within(200.0..5000.0) } else { long };
                    self.cut(&machine, long).await;
                }
                3 => {
                    let long = self.random.within(1500.0..15_000.0);
                    self.freeze(&machine, long).await;
                }
                4 => self.freeze_majority().await,
                _ => self.anything().await,
            }
            self.waits(0.0..7000.0).await;
        }
    }

    /// All but a minority stand still, one after the other awake again.
    async fn freeze_majority(&mut self) {
        let core = self.world.core.borrow().clone();
        let many = self.tolerate() + 1;
        let what = format!("{many} core machines stand still");
        self.begins(what.clone());
        let mut longest = 0.0_f64;
        for machine in core.iter().take(many) {
            let long = self.random.within(1000.0..12_000.0);
            machine.freeze(long);
            longest = longest.max(long);
        }
        sleep(ms(longest)).await;
        self.ends(what);
    }

    async fn numbers(&mut self) {
        for _ in 0..3 {
            match self.random.below(4) {
                0 => {
                    let core = self.world.core.borrow().clone();
                    let away = self.random.within(10.0..1500.0);
                    self.go(&core, &[], away).await;
                }
                1 => {
                    let long = self.random.within(2000.0..8000.0);
                    self.weather(long).await;
                }
                _ => self.anything().await,
            }
            self.waits(500.0..5000.0).await;
        }
    }

    async fn losses(&mut self) {
        for _ in 0..2 + self.random.below(3) {
            let mut core = self.world.core.borrow().clone();
            let (many, away) = (1 + self.random.below(self.tolerate()), self.random.within(10.0..2500.0));
            let mut lost = Vec::new();
            for _ in 0..many {
                lost.push(core.remove(self.random.below(core.len())));
            }
            if self.random.chance(0.2) {
                self.full_and_off().await;
                self.waits(CATCH_UP..CATCH_UP + 1000.0).await;
            }
            if self.random.chance(0.3) {
                let all = self.world.core.borrow().clone();
                self.go(&all, &lost, away).await;
            } else {
                self.go(&lost, &lost, away).await;
            }
            // From then on they count again.
            self.waits(CATCH_UP..CATCH_UP + 3000.0).await;
            if self.random.chance(0.3) {
                self.anything().await;
                self.waits(CATCH_UP..CATCH_UP + 4000.0).await;
            }
        }
    }

    async fn changes(&mut self) {
        match self.random.below(3) {
            0 => self.replace().await,
            1 => self.away_for_long().await,
            _ => {
                self.away_for_long().await;
                self.waits(CATCH_UP..CATCH_UP + 2000.0).await;
                self.replace().await;
            }
        }
        if self.random.chance(0.4) {
            self.waits(CATCH_UP..CATCH_UP + 2000.0).await;
            self.anything().await;
        }
    }

    /// Some are away for hundreds of changes.
    async fn away_for_long(&mut self) {
        let mut core = self.world.core.borrow().clone();
        let mut lost = Vec::new();
        for _ in 0..self.tolerate() {
            lost.push(core.remove(self.random.below(core.len())));
        }
        let long = self.random.within(6000.0..20_000.0);
        match self.random.below(3) {
            0 => self.go(&lost, &[], long).await,
            1 => {
                let one = lost[0].clone();
                self.cut(&one, long).await;
            }
            _ => {
                let one = lost[0].clone();
                self.freeze(&one, long).await;
            }
        }
        if self.random.chance(0.5) {
            // Those that were awake go as soon as the others count again.
            self.waits(CATCH_UP..CATCH_UP + 500.0).await;
            let others = core[..self.tolerate().min(core.len())].to_vec();
            let away = self.random.within(100.0..3000.0);
            self.go(&others, &[], away).await;
        }
    }

    /// A machine is removed for good, and another one takes its place, sooner or later.
    async fn replace(&mut self) {
        let world = self.world.clone();
        let machine = self.a_machine();
        let new = Ipv4Addr::new(10, 0, 1, 20 + self.random.below(100) as u8);
        let (first, crash, in_order) =
            (self.random.chance(0.5), self.random.chance(0.5), self.random.chance(0.6));
        let what =
            format!("{} is replaced by {new}, the new one first: {first}, in order: {in_order}", machine.ip);
        self.begins(what.clone());
        let seeds = |world: &World| -> Vec<Ipv4Addr> { world.controls().into_iter().take(3).collect() };
        let joins = |world: &Rc<World>| {
            let joined = world.add_core(new, &seeds(world), false);
            world.start_core(&joined);
        };
        if first {
            joins(&world);
            sleep(ms(CATCH_UP)).await;
        }
        world.core.borrow_mut().retain(|m| m.ip != machine.ip);
        if in_order {
            machine.leave(&world.network).await;
        } else {
            machine.kill();
        }
        world.network.off(machine.ip, true);
        if !first {
            self.waits(100.0..3000.0).await;
            joins(&world);
        }
        if self.random.chance(0.5) {
            world.set_seeds(&seeds(&world));
        }
        sleep(ms(CATCH_UP)).await;
        if crash {
            // One more goes while the old one may still count as a voter.
            let core = world.core.borrow().clone();
            let one = self.random.of(&core).clone();
            let away = self.random.within(500.0..9000.0);
            self.go(&[one], &[], away).await;
        }
        self.ends(what);
    }

    async fn answers(&mut self) {
        for _ in 0..3 {
            let long = self.random.within(3000.0..10_000.0);
            self.weather(long).await;
            if self.random.chance(0.5) {
                self.anything().await;
            }
            self.waits(0.0..6000.0).await;
        }
    }
}
