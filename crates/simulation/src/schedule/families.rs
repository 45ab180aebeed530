//! The five families of schedules, one for each [`Point`](super::Point).

use super::{Director, CATCH_UP_TIME_MS};
use crate::ms;
use crate::world::World;
use std::net::Ipv4Addr;
use std::rc::Rc;
use tokio::time::sleep;

impl Director {
    pub(super) async fn cutoff(&mut self) {
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

    /// Freezes just enough core machines that no majority runs; each wakes after its own time.
    pub(super) async fn freeze_majority(&mut self) {
        let core = self.world.core.borrow().clone();
        let many = self.tolerate() + 1;
        let what = format!("{many} core machines are frozen");
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

    pub(super) async fn numbers(&mut self) {
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

    pub(super) async fn losses(&mut self) {
        for _ in 0..2 + self.random.below(3) {
            let mut core = self.world.core.borrow().clone();
            let (many, away) = (1 + self.random.below(self.tolerate()), self.random.within(10.0..2500.0));
            let mut lost = Vec::new();
            for _ in 0..many {
                lost.push(core.remove(self.random.below(core.len())));
            }
            if self.random.chance(0.2) {
                self.full_and_off().await;
                self.waits(CATCH_UP_TIME_MS..CATCH_UP_TIME_MS + 1000.0).await;
            }
            if self.random.chance(0.3) {
                let all = self.world.core.borrow().clone();
                self.go(&all, &lost, away).await;
            } else {
                self.go(&lost, &lost, away).await;
            }
            // Lets the machines catch up before the next loss.
            self.waits(CATCH_UP_TIME_MS..CATCH_UP_TIME_MS + 3000.0).await;
            if self.random.chance(0.3) {
                self.anything().await;
                self.waits(CATCH_UP_TIME_MS..CATCH_UP_TIME_MS + 4000.0).await;
            }
        }
    }

    pub(super) async fn changes(&mut self) {
        match self.random.below(3) {
            0 => self.replace().await,
            1 => self.away_for_long().await,
            _ => {
                self.away_for_long().await;
                self.waits(CATCH_UP_TIME_MS..CATCH_UP_TIME_MS + 2000.0).await;
                self.replace().await;
            }
        }
        if self.random.chance(0.4) {
            self.waits(CATCH_UP_TIME_MS..CATCH_UP_TIME_MS + 2000.0).await;
            self.anything().await;
        }
    }

    /// Keeps as many core machines as tolerated (or one of them) away for a long time.
    pub(super) async fn away_for_long(&mut self) {
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
            // As soon as the machines have caught up, others that saw the changes fail.
            self.waits(CATCH_UP_TIME_MS..CATCH_UP_TIME_MS + 500.0).await;
            let others = core[..self.tolerate().min(core.len())].to_vec();
            let away = self.random.within(100.0..3000.0);
            self.go(&others, &[], away).await;
        }
    }

    /// Removes a machine for good and adds another one before or after that.
    pub(super) async fn replace(&mut self) {
        let world = self.world.clone();
        let machine = self.a_machine();
        let new = Ipv4Addr::new(10, 0, 1, 20 + self.random.below(100) as u8);
        let (first, crash, in_order) =
            (self.random.chance(0.5), self.random.chance(0.5), self.random.chance(0.6));
        let what = format!(
            "{} is replaced by {new}, new machine first: {first}, orderly shutdown: {in_order}",
            machine.ip
        );
        self.begins(what.clone());
        let seeds = |world: &World| -> Vec<Ipv4Addr> { world.controls().into_iter().take(3).collect() };
        let joins = |world: &Rc<World>| {
            let joined = world.add_core(new, &seeds(world), false);
            world.start_core(&joined);
        };
        if first {
            joins(&world);
            sleep(ms(CATCH_UP_TIME_MS)).await;
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
        sleep(ms(CATCH_UP_TIME_MS)).await;
        if crash {
            // Another machine fails while the removed one may still count as a voter.
            let core = world.core.borrow().clone();
            let one = self.random.of(&core).clone();
            let away = self.random.within(500.0..9000.0);
            self.go(&[one], &[], away).await;
        }
        self.ends(what);
    }

    pub(super) async fn answers(&mut self) {
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
