//! Random numbers that differ between hosts.
//!
//! Generators that are seeded with the time alone would return the same numbers on
//! hosts that start together, which would then poll the store, or send to the same
//! upstream, all at once.

use crate::adapter::FrontSettings;
use parking_lot::Mutex;
use std::hash::{DefaultHasher, Hash, Hasher};

/// A host's random number generator.
#[derive(Debug)]
pub(crate) struct RandomSource {
    rng: Mutex<fastrand::Rng>,
}

impl RandomSource {
    /// Creates a generator whose seed depends on the host, its address and the time.
    pub(crate) fn new(settings: &FrontSettings, wall_ms: u64) -> Self {
        let mut hasher = DefaultHasher::new();
        (&settings.name, settings.internal, wall_ms).hash(&mut hasher);
        Self {
            rng: Mutex::new(fastrand::Rng::with_seed(hasher.finish())),
        }
    }

    /// Returns a number from 0 to 1, excluding 1.
    pub(crate) fn fraction(&self) -> f64 {
        self.rng.lock().f64()
    }

    /// Returns a number less than `limit`, which must not be 0.
    pub(crate) fn below(&self, limit: u32) -> u32 {
        self.rng.lock().u32(..limit)
    }

    /// Returns a number from the whole range of `u64`.
    pub(crate) fn next_u64(&self) -> u64 {
        self.rng.lock().u64(..)
    }
}
