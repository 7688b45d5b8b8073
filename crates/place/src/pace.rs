//! Momentary pace of an upstream's machine.
//!
//! Upstreams that share their machines are slowed down or sped up for periods of a few
//! hundred milliseconds. Some report the current factor with their load. It is kept
//! apart from the upstream's own speed, which persists.

use kernel::Moment;
use std::time::Duration;

/// Age at which a reported factor counts half. Factors change every 400 ms, so that one
/// is in force for 200 ms more on average.
const HALF_LIFE: Duration = Duration::from_millis(140);
/// Age from which a reported factor counts for nothing.
const MAX_AGE: Duration = Duration::from_millis(600);

/// Factor by which work takes longer at an upstream, as last reported.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct MomentaryPace {
    /// Time that work takes as a multiple of what it usually takes there.
    pub factor: f64,
    /// When it was reported.
    pub reported_at: Moment,
}

impl MomentaryPace {
    /// Returns the expected mean factor over the next `duration_ms`.
    pub(crate) fn expected_factor(self, now: Moment, duration_ms: f64) -> f64 {
        let age = now - self.reported_at;
        if age >= MAX_AGE {
            return 1.0;
        }
        let half_lives = age.as_secs_f64() / HALF_LIFE.as_secs_f64();
        1.0 + (self.factor - 1.0) * 0.5_f64.powf(half_lives) * mean_weight(duration_ms)
    }

    /// Returns the expected mean factor over the `duration_ms` before the report.
    ///
    /// Work that takes longer than a factor is in force was only partly done at it.
    pub(crate) fn past_factor(self, duration_ms: f64) -> f64 {
        1.0 + (self.factor - 1.0) * mean_weight(duration_ms)
    }
}

/// Returns the mean weight of a factor over `duration_ms` from when it was reported.
fn mean_weight(duration_ms: f64) -> f64 {
    let decay = duration_ms / (HALF_LIFE.as_secs_f64() * 1_000.0) * std::f64::consts::LN_2;
    if decay < 1e-6 {
        return 1.0;
    }
    -(-decay).exp_m1() / decay
}
