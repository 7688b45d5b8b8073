//! Slot time used by rank, with older use counting less.

use kernel::Moment;
use sheet::Rank;
use std::time::Duration;

/// Time over which past use decays to 1/e.
const MEMORY: Duration = Duration::from_secs(2);

/// Decayed slot time by rank, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct SlotUsage {
    used_ms: [f64; 3],
    as_of: Moment,
}

impl SlotUsage {
    /// Starts with no use.
    pub const fn new() -> Self {
        Self {
            used_ms: [0.0; 3],
            as_of: Moment::ZERO,
        }
    }

    /// Adds use; a negative amount corrects an earlier charge.
    pub fn charge(&mut self, now: Moment, rank: Rank, millis: f64) {
        self.decay(now);
        let used = &mut self.used_ms[rank.index()];
        *used = (*used + millis).max(0.0);
    }

    /// Returns a rank's share of all use, or `None` while less than half of
    /// `slots` has been in use, when nobody goes short.
    pub fn share(&self, rank: Rank, slots: u32) -> Option<f64> {
        let total: f64 = self.used_ms.iter().sum();
        let full = f64::from(slots) * MEMORY.as_secs_f64() * 1_000.0;
        (total > full / 2.0).then(|| self.used_ms[rank.index()] / total)
    }

    fn decay(&mut self, now: Moment) {
        let age = now - self.as_of;
        if age.is_zero() {
            return;
        }
        let factor = (-age.as_secs_f64() / MEMORY.as_secs_f64()).exp();
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
