//! Which faults happen when: drawn from a seed, so that a schedule can be played again.

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

/// Numbers drawn from a seed.
#[derive(Clone, Debug)]
pub struct Random(Pcg64Mcg);

impl Random {
    /// The sequence of this seed with this number.
    pub fn new(seed: u64, sequence: u64) -> Random {
        Random(Pcg64Mcg::seed_from_u64(seed.wrapping_mul(0x9e37_79b9).wrapping_add(sequence)))
    }

    /// From 0 to 1.
    pub fn share(&mut self) -> f64 {
        f64::from(self.0.next_u32()) / f64::from(u32::MAX)
    }

    /// Below `end`.
    pub fn below(&mut self, end: usize) -> usize {
        self.0.next_u32() as usize % end.max(1)
    }

    /// Between two times.
    pub fn between(&mut self, least: u64, most: u64) -> Duration {
        Duration::from_millis(least + u64::from(self.0.next_u32()) % (most - least + 1))
    }
}

/// A fault, or planned work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// SIGKILL for a proxy; it starts again.
    KillProxy,
    /// SIGTERM for a proxy, as for an update; it starts again.
    EndProxy,
    /// SIGKILL for many proxies at once; they start again.
    KillProxies,
    /// SIGTERM for many proxies, one after the other before the last has ended; they start again.
    RollProxies,
    /// Many proxies stand still.
    FreezeProxies,
    /// A proxy stands still.
    FreezeProxy,
    /// SIGHUP for a proxy.
    ReloadProxy,
    /// SIGKILL for a core machine's programs; they start again.
    KillCore,
    /// A core machine's programs stand still.
    FreezeCore,
    /// A server's links are cut.
    CutServer,
    /// A server loses the answers of what it has run.
    LoseAnswers,
    /// A server is slow.
    SlowServer,
    /// The configuration changes.
    ChangeConfiguration,
}

/// Faults that may overlap with those of the other groups; those of one group happen one after the other, so that no
/// more of the core is lost at once than the cluster tolerates; any number of proxies may be.
pub const GROUPS: [&[Fault]; 5] = [
    &[Fault::KillProxy, Fault::EndProxy, Fault::EndProxy, Fault::FreezeProxy, Fault::ReloadProxy],
    &[Fault::KillCore, Fault::FreezeCore],
    &[Fault::CutServer, Fault::LoseAnswers, Fault::SlowServer],
    &[Fault::ChangeConfiguration],
    &[Fault::KillProxies, Fault::KillProxies, Fault::RollProxies, Fault::FreezeProxies],
];

/// One fault of a schedule.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Step {
    /// Pause before it.
    pub pause: Duration,
    /// What happens.
    pub fault: Fault,
    /// Which of the things that it may hit, modulo their number.
    pub target: usize,
    /// How long it lasts.
    pub lasts: Duration,
}

/// The faults of one group, one after the other, for so long.
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
