//! Random draws that differ from host to host.
//!
//! Hosts that start together would draw alike from generators that are seeded by the
//! time, and then look at the store, or choose upstreams, all at once.

use crate::adapter::FrontSettings;
use parking_lot::Mutex;
use std::hash::{DefaultHasher, Hash, Hasher};

/// A host's source of random draws.
#[derive(Debug)]
pub(crate) struct DrawSource {
    rng: Mutex<fastrand::Rng>,
}

impl DrawSource {
    /// Builds a source that depends on the host, its address and the time.
    pub(crate) fn new(settings: &FrontSettings, wall_ms: u64) -> Self {
        let mut hasher = DefaultHasher::new();
        (&settings.name, settings.internal, wall_ms).hash(&mut hasher);
        Self {
            rng: Mutex::new(fastrand::Rng::with_seed(hasher.finish())),
        }
    }

    /// Returns a number from 0 to 1.
    pub(crate) fn fraction(&self) -> f64 {
        self.rng.lock().f64()
    }

    /// Returns a number below `limit`, which must not be 0.
    pub(crate) fn below(&self, limit: u32) -> u32 {
        self.rng.lock().u32(..limit)
    }

    /// Returns any number.
    pub(crate) fn number(&self) -> u64 {
        self.rng.lock().u64(..)
    }
}
