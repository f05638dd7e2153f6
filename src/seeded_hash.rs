//! Hash maps and sets whose iteration order depends on a process-wide seed, which is 0 unless the program sets another.
//!
//! The iteration order of the standard library's maps differs from run to run. If a decision depends on it, a failing
//! run can't be reproduced; `clippy.toml` therefore disallows those types.

use std::hash::BuildHasher;
use std::sync::atomic::{AtomicU64, Ordering};

/// A hash map whose iteration order is determined by the seed.
#[allow(clippy::disallowed_types, reason = "the seeded hasher is set here")]
pub type HashMap<K, V> = std::collections::HashMap<K, V, SeededState>;

/// A hash set whose iteration order is determined by the seed.
#[allow(clippy::disallowed_types, reason = "the seeded hasher is set here")]
pub type HashSet<K> = std::collections::HashSet<K, SeededState>;

static SEED: AtomicU64 = AtomicU64::new(0);

/// Sets the seed of all maps and sets created from now on. Users choose the ids of their jobs, so a program that serves
/// users must choose a seed that they can't know; otherwise they could choose ids whose hashes collide.
pub fn set_seed(seed: u64) {
    SEED.store(seed, Ordering::Relaxed);
}

/// Builds the hashers of a map or set, with the seed that was set when it was created.
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
