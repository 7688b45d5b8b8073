//! Slot time used by rank, in which older use counts less.

use kernel::Moment;
use sheet::Rank;
use std::time::Duration;

/// Time over which past use decays to 1/e.
const DECAY_TIME: Duration = Duration::from_secs(2);

/// Decayed slot time by rank, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct SlotUsage {
    used_ms: [f64; 3],
    as_of: Moment,
}

impl SlotUsage {
    /// Creates a record without use.
    pub const fn new() -> Self {
        Self {
            used_ms: [0.0; 3],
            as_of: Moment::ZERO,
        }
    }

    /// Adds use in milliseconds; a negative amount corrects a previous charge.
    pub fn charge(&mut self, now: Moment, rank: Rank, amount_ms: f64) {
        self.decay(now);
        let used = &mut self.used_ms[rank.index()];
        *used = (*used + amount_ms).max(0.0);
    }

    /// Returns a rank's share of all use, or `None` while less than half of `slots` has
    /// been in use, because no rank lacks slots then.
    pub fn share(&self, rank: Rank, slots: u32) -> Option<f64> {
        let total_ms: f64 = self.used_ms.iter().sum();
        let full_use_ms = f64::from(slots) * DECAY_TIME.as_secs_f64() * 1_000.0;
        (total_ms > full_use_ms / 2.0).then(|| self.used_ms[rank.index()] / total_ms)
    }

    fn decay(&mut self, now: Moment) {
        let age = now - self.as_of;
        if age.is_zero() {
            return;
        }
        let factor = (-age.as_secs_f64() / DECAY_TIME.as_secs_f64()).exp();
        for used in &mut self.used_ms {
            *used *= factor;
        }
        self.as_of = now;
    }
}

impl Default for SlotUsage {
    fn default() -> Self {
        Self::new()
    }
}
