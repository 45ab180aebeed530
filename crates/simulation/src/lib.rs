//! Deterministic simulation of the control plane. The real code of the store, the registry and the followers runs in one
//! process and in virtual time, under fault schedules that follow from a seed alone.
//!
//! | module | holds |
//! | --- | --- |
//! | [`process`] | a process: its tasks are polled while it runs, held while it is frozen, dropped when it ends |
//! | [`network`] | the network: frames on connections, with delays, losses, duplicates, cuts and resets |
//! | [`disk`] | a voter's disk: the contents after a loss of power, failed writes, wipes |
//! | [`world`] | the machines and their processes |
//! | [`clients`] | operators, servers and readers, which see only answers |
//! | [`history`] | the callers' observations in order |
//! | [`checker`] | the rules that a history must keep |
//! | [`mutants`] | removed guards, each of which the checks must detect |
//! | [`schedule`] | the fault schedules, in five families |

pub mod checker;
pub mod clients;
pub mod disk;
pub mod history;
pub mod mutants;
pub mod network;
pub mod process;
pub mod schedule;
pub mod world;

/// Random number generator of one schedule.
#[derive(Clone, Debug)]
pub struct Random(rand_pcg::Pcg64Mcg);

impl Random {
    /// Creates a generator whose numbers follow from the seed.
    pub fn new(seed: u64) -> Self {
        Random(rand_core::SeedableRng::seed_from_u64(seed))
    }

    /// Returns the next number.
    pub fn number(&mut self) -> u64 {
        rand_core::RngCore::next_u64(&mut self.0)
    }

    /// Returns a number below `many`, or 0 if `many` is 0.
    pub fn below(&mut self, many: usize) -> usize {
        (self.number() % many.max(1) as u64) as usize
    }

    /// Returns a number in the half-open range.
    pub fn within(&mut self, range: std::ops::Range<f64>) -> f64 {
        range.start + (range.end - range.start) * (self.number() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Returns true with this probability; draws no number if it is 0.
    pub fn chance(&mut self, probability: f64) -> bool {
        probability > 0.0 && self.within(0.0..1.0) < probability
    }

    /// Returns a random element.
    pub fn of<'a, T>(&mut self, these: &'a [T]) -> &'a T {
        &these[self.below(these.len())]
    }
}

/// Returns a duration of `many` ms; a negative number gives zero.
pub fn ms(many: f64) -> std::time::Duration {
    std::time::Duration::from_secs_f64(many.max(0.0) / 1000.0)
}
