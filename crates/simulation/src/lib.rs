//! A read-through: the control side rehearsed without a stage. The real code of the store, the registry and of what
//! follows them runs in one process, in virtual time, by schedules that follow from a seed alone.
//!
//! | module | holds |
//! | --- | --- |
//! | [`process`] | a process: its tasks, polled while it runs, held while it is frozen, dropped when it ends |
//! | [`network`] | the network: frames on connections, with delays, losses, copies, cuts and resets |
//! | [`disk`] | a voter's disk: what a loss of power leaves, refusals, wipes |
//! | [`world`] | machines, and the programs that they run |
//! | [`clients`] | operators, servers and clients, who see answers only |
//! | [`history`] | what callers saw, in order |
//! | [`checker`] | the rules, by what callers saw |
//! | [`mutants`] | guards taken out on a copy, each to be caught |
//! | [`schedule`] | what goes wrong when, a family for each of the five points |

pub mod checker;
pub mod clients;
pub mod disk;
pub mod history;
pub mod mutants;
pub mod network;
pub mod process;
pub mod schedule;
pub mod world;

/// Draws of one schedule.
#[derive(Clone, Debug)]
pub struct Random(rand_pcg::Pcg64Mcg);

impl Random {
    /// All draws follow from the seed.
    pub fn new(seed: u64) -> Self {
        Random(rand_core::SeedableRng::seed_from_u64(seed))
    }

    /// The next number.
    pub fn number(&mut self) -> u64 {
        rand_core::RngCore::next_u64(&mut self.0)
    }

    /// One of so many, from 0 on.
    pub fn below(&mut self, many: usize) -> usize {
        (self.number() % many.max(1) as u64) as usize
    }

    /// In this range, the end left out.
    pub fn within(&mut self, range: std::ops::Range<f64>) -> f64 {
        range.start + (range.end - range.start) * (self.number() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Happens with this probability.
    pub fn chance(&mut self, probability: f64) -> bool {
        probability > 0.0 && self.within(0.0..1.0) < probability
    }

    /// One of these.
    pub fn of<'a, T>(&mut self, these: &'a [T]) -> &'a T {
        &these[self.below(these.len())]
    }
}

/// So many milliseconds.
pub fn ms(many: f64) -> std::time::Duration {
    std::time::Duration::from_secs_f64(many.max(0.0) / 1000.0)
}
