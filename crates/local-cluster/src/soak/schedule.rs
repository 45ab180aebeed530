//! Random fault schedules, reproducible from a seed.

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

/// Seeded random number generator.
#[derive(Clone, Debug)]
pub struct Random(Pcg64Mcg);

impl Random {
    /// Creates the generator for one of the independent sequences of a seed.
    pub fn new(seed: u64, sequence: u64) -> Random {
        Random(Pcg64Mcg::seed_from_u64(seed.wrapping_mul(0x9e37_79b9).wrapping_add(sequence)))
    }

    /// Draws a number from 0 to 1, both included.
    pub fn share(&mut self) -> f64 {
        f64::from(self.0.next_u32()) / f64::from(u32::MAX)
    }

    /// Draws an index below `end`; 0 if `end` is 0.
    pub fn below(&mut self, end: usize) -> usize {
        self.0.next_u32() as usize % end.max(1)
    }

    /// Draws a duration from `least` to `most` milliseconds, both included.
    pub fn between(&mut self, least: u64, most: u64) -> Duration {
        Duration::from_millis(least + u64::from(self.0.next_u32()) % (most - least + 1))
    }
}

/// A fault to inject, or a planned operation such as a restart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Kills a proxy with SIGKILL and restarts it.
    KillProxy,
    /// Ends a proxy with SIGTERM, as in an upgrade, and restarts it.
    EndProxy,
    /// Kills several proxies at once with SIGKILL and restarts them.
    KillProxies,
    /// Ends several proxies with SIGTERM in overlapping succession and restarts them.
    RollProxies,
    /// Stops several proxies with SIGSTOP, then continues them.
    FreezeProxies,
    /// Stops a proxy with SIGSTOP, then continues it.
    FreezeProxy,
    /// Makes a proxy reload with SIGHUP.
    ReloadProxy,
    /// Kills the programs of a core machine with SIGKILL and restarts them.
    KillCore,
    /// Stops the programs of a core machine with SIGSTOP, then continues them.
    FreezeCore,
    /// Makes a server unreachable: it neither runs nor answers requests.
    CutServer,
    /// Makes a server run requests and reset the connection instead of answering.
    LoseAnswers,
    /// Makes a server slow.
    SlowServer,
    /// Makes a server run requests and answer with a failure of its own, whose status it would also use for a request that
    /// it has not run.
    FailRequests,
    /// Changes the configuration.
    ChangeConfiguration,
}

/// Groups of faults. Faults of different groups may overlap; those of one group run in sequence, so that the core never
/// loses more machines at once than the cluster tolerates. Any number of proxies may be lost at once.
pub const GROUPS: [&[Fault]; 6] = [
    &[Fault::KillProxy, Fault::EndProxy, Fault::EndProxy, Fault::FreezeProxy, Fault::ReloadProxy],
    &[Fault::KillCore, Fault::FreezeCore],
    &[Fault::CutServer, Fault::LoseAnswers, Fault::SlowServer],
    &[Fault::ChangeConfiguration],
    &[Fault::KillProxies, Fault::KillProxies, Fault::RollProxies, Fault::FreezeProxies],
    &[Fault::FailRequests],
];

/// One step of a schedule.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Step {
    /// Pause before the fault.
    pub pause: Duration,
    /// Fault to inject.
    pub fault: Fault,
    /// Selects the target, modulo the number of possible targets.
    pub target: usize,
    /// Duration of the fault.
    pub lasts: Duration,
}

/// Draws the steps of one fault group until their total duration reaches `span`.
pub fn draw(seed: u64, group: usize, span: Duration) -> Vec<Step> {
    let mut random = Random::new(seed, group as u64);
    let (mut steps, mut at) = (Vec::new(), Duration::ZERO);
    while at < span {
        let fault = GROUPS[group][random.below(GROUPS[group].len())];
        let step = Step {
            pause: random.between(100, 900),
            fault,
            target: random.below(1000),
            lasts: random.between(150, 1200),
        };
        at += step.pause + step.lasts;
        steps.push(step);
    }
    steps
}
