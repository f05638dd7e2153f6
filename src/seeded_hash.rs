//! Hash maps and sets whose iteration order follows one seed: 0, unless the program sets another.
//!
//! The iteration order of the standard library's maps differs from run to run; where a decision depends on it, a
//! failing run can't be repeated. `clippy.toml` forbids them for that reason.

use std::hash::BuildHasher;
use std::sync::atomic::{AtomicU64, Ordering};

/// A hash map with the iteration order of the seed.
#[allow(clippy::disallowed_types, reason = "the seeded hasher is set here")]
pub type HashMap<K, V> = std::collections::HashMap<K, V, SeededState>;

/// A hash set with the iteration order of the seed.
#[allow(clippy::disallowed_types, reason = "the seeded hasher is set here")]
pub type HashSet<K> = std::collections::HashSet<K, SeededState>;

static SEED: AtomicU64 = AtomicU64::new(0);

/// Sets the seed of all maps and sets created from now on. Users choose the ids of their jobs: a program that
/// serves them must choose a seed that they can't know.
pub fn set_seed(seed: u64) {
    SEED.store(seed, Ordering::Relaxed);
}

/// Builds the hashers of one map, with the seed at the time the map was created.
#[derive(Clone)]
pub struct SeededState(foldhash::fast::FixedState);

impl Default for SeededState {
    fn default() -> Self {
        let seed = SEED.load(Ordering::Relaxed);
        Self(foldhash::fast::FixedState::with_seed(seed))
    }
}

impl BuildHasher for SeededState {
    type Hasher = <foldhash::fast::FixedState as BuildHasher>::Hasher;

    fn build_hasher(&self) -> Self::Hasher {
        self.0.build_hasher()
    }
}
