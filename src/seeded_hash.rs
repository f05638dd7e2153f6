//! Hash maps and sets whose order comes from one seed: 0 unless the program sets another. The
//! order in which std's maps are walked differs from run to run, and where a decision follows it
//! a failing run can't be played again. `clippy.toml` forbids them for that reason.

use std::hash::BuildHasher;
use std::sync::atomic::{AtomicU64, Ordering};

#[allow(clippy::disallowed_types)]
pub type HashMap<K, V> = std::collections::HashMap<K, V, Seeded>;
#[allow(clippy::disallowed_types)]
pub type HashSet<K> = std::collections::HashSet<K, Seeded>;

static SEED: AtomicU64 = AtomicU64::new(0);

/// Sets the seed of all maps made from now on. Users choose the ids of their jobs: in a program
/// that serves them the seed must be one that they can't know.
pub fn seed(seed: u64) {
    SEED.store(seed, Ordering::Relaxed);
}

#[derive(Clone)]
pub struct Seeded(foldhash::fast::FixedState);

impl Default for Seeded {
    fn default() -> Self {
        Self(foldhash::fast::FixedState::with_seed(
            SEED.load(Ordering::Relaxed),
        ))
    }
}

impl BuildHasher for Seeded {
    type Hasher = <foldhash::fast::FixedState as BuildHasher>::Hasher;

    fn build_hasher(&self) -> Self::Hasher {
        self.0.build_hasher()
    }
}
