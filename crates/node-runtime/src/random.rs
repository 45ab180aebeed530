//! Numbers drawn by chance. A rehearsal in virtual time gives its thread a seed, so that a run can be played again.

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cell::RefCell;
use std::hash::{BuildHasher, Hash, Hasher, RandomState};
use std::time::Instant;

thread_local! {
    static SEEDED: RefCell<Option<Pcg64Mcg>> = const { RefCell::new(None) };
}

/// A number drawn by chance. It differs between the lives of all programs.
pub fn chance() -> u64 {
    if let Some(drawn) = SEEDED.with_borrow_mut(|seeded| seeded.as_mut().map(RngCore::next_u64)) {
        return drawn;
    }
    let mut hasher = RandomState::new().build_hasher();
    hasher.write_u32(std::process::id());
    // Beside what the machine draws for the hasher; the time of day is read nowhere.
    Instant::now().hash(&mut hasher);
    hasher.finish()
}

/// From now on what this thread draws follows from `seed` alone.
pub fn seed(seed: u64) {
    SEEDED.set(Some(Pcg64Mcg::seed_from_u64(seed)));
}
