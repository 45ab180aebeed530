//! Random numbers. A simulation gives its thread a seed, so that a run can be repeated.

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cell::RefCell;
use std::hash::{BuildHasher, Hash, Hasher, RandomState};
use std::time::Instant;

thread_local! {
    static SEEDED: RefCell<Option<Pcg64Mcg>> = const { RefCell::new(None) };
}

/// A random number. It differs between the incarnations of all programs.
pub fn random_u64() -> u64 {
    if let Some(number) = SEEDED.with_borrow_mut(|seeded| seeded.as_mut().map(RngCore::next_u64)) {
        return number;
    }
    let mut hasher = RandomState::new().build_hasher();
    hasher.write_u32(std::process::id());
    // Besides what the system draws for the hasher. The time of day is read nowhere: it may jump.
    Instant::now().hash(&mut hasher);
    hasher.finish()
}

/// From now on, the numbers drawn on this thread follow from `seed` alone.
pub fn seed(seed: u64) {
    SEEDED.set(Some(Pcg64Mcg::seed_from_u64(seed)));
}
