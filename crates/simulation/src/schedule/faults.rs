//! Faults that a schedule injects: cuts, freezes, losses of power and of disks, and unreliable links.

use super::Director;
use crate::network::Weather;
use crate::world::Machine;
use crate::{ms, Random};
use std::net::Ipv4Addr;
use std::rc::Rc;
use tokio::time::sleep;

impl Director {
    pub(super) fn others(&mut self, machine: &Machine) -> Vec<Ipv4Addr> {
        let world = &self.world;
        let core: Vec<Ipv4Addr> = world.core.borrow().iter().map(|m| m.ip).collect();
        let followers: Vec<Ipv4Addr> = world.followers.borrow().iter().map(|m| m.ip).collect();
        let callers = (1..10).map(|n| Ipv4Addr::new(10, 0, 9, n));
        let callers: Vec<Ipv4Addr> = callers.chain((1..10).map(|n| Ipv4Addr::new(10, 0, 8, n))).collect();
        let some = |random: &mut Random, of: &[Ipv4Addr]| -> Vec<Ipv4Addr> {
            of.iter().copied().filter(|_| random.chance(0.5)).collect()
        };
        let mut others = match self.random.below(5) {
            // Cut off from the core machines, or also from all or some of the followers and callers.
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

    /// Cuts a machine off from others, in both directions or one, for `long` ms.
    pub(super) async fn cut(&mut self, machine: &Rc<Machine>, long: f64) {
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

    pub(super) async fn freeze(&mut self, machine: &Rc<Machine>, long: f64) {
        let what = format!("{} is frozen for {long:.0} ms", machine.ip);
        self.begins(what.clone());
        machine.freeze(long);
        if self.world.core.borrow().iter().any(|m| m.ip == machine.ip) {
            self.passes(long, &[machine.ip]).await;
        } else {
            sleep(ms(long)).await;
        }
        self.ends(what);
    }

    /// Kills machines or cuts their power together and restarts them after `away` ms; the disks of `wiped` are emptied
    /// or damaged meanwhile.
    pub(super) async fn go(&mut self, machines: &[Rc<Machine>], wiped: &[Rc<Machine>], away: f64) {
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

    /// Cuts the power of a machine in the middle of its next write, or after up to 1.5 s without one.
    pub(super) async fn doom(&mut self, machine: &Rc<Machine>) {
        let what = format!("{} loses power during a write", machine.ip);
        self.begins(what.clone());
        machine.disk.dooms.set(true);
        self.waits(300.0..1500.0).await;
        machine.disk.dooms.set(false);
        self.world.lose_power(machine);
        self.waits(50.0..3000.0).await;
        self.world.start_core(machine);
        self.ends(what);
    }

    pub(super) async fn bad_disk(&mut self, machine: &Rc<Machine>, long: f64) {
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

    /// Fills disks, then cuts their machines' power: a write that was refused must not have been confirmed.
    pub(super) async fn full_and_off(&mut self) {
        let world = self.world.clone();
        let core = world.core.borrow().clone();
        let all = self.random.chance(0.6);
        let some = if all { core.len() } else { 1 + self.random.below(core.len()) };
        let what = format!("{some} disks are full, then their machines lose power");
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

    pub(super) async fn weather(&mut self, long: f64) {
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
        // Frames delayed before the links recovered arrive within this time.
        sleep(ms(3000.0)).await;
        self.ends(what);
    }

    pub(super) async fn follower_trouble(&mut self) {
        let which = self.random.below(self.world.followers.borrow().len());
        let machine = self.world.followers.borrow()[which].clone();
        let long = self.random.within(200.0..9000.0);
        match self.random.below(4) {
            0 => self.freeze(&machine, long).await,
            1 | 2 => {
                let what = format!("follower {which} restarts");
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

    /// Injects one random fault of any kind.
    pub(super) async fn anything(&mut self) {
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
                let what = format!("{}'s {} restarts", machine.ip, if store { "store" } else { "registry" });
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
}
