//! Random numbers. A simulation seeds its thread, so that its runs are reproducible.

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cell::RefCell;
use std::hash::{BuildHasher, Hash, Hasher, RandomState};
use std::time::Instant;

thread_local! {
    static SEEDED: RefCell<Option<Pcg64Mcg>> = const { RefCell::new(None) };
}

/// Returns a random number. Unless the thread is seeded, it differs between processes and between restarts.
pub fn random_u64() -> u64 {
    if let Some(number) = SEEDED.with_borrow_mut(|seeded| seeded.as_mut().map(RngCore::next_u64)) {
        return number;
    }
    let mut hasher = RandomState::new().build_hasher();
    hasher.write_u32(std::process::id());
    // Added to the hasher's own random keys. The wall clock is not used, as it may jump.
    Instant::now().hash(&mut hasher);
    hasher.finish()
}

/// Seeds this thread: all later numbers drawn on it depend on `seed` alone.
pub fn seed(seed: u64) {
    SEEDED.set(Some(Pcg64Mcg::seed_from_u64(seed)));
}
