//! Momentary pace of an upstream's machine.
//!
//! Upstreams that share their machines are slowed down or sped up for periods of a few
//! hundred milliseconds. Some report with their load how long work takes there now. That
//! includes the machine's own speed, which persists and is kept apart here: a machine
//! that is always slow reports a high figure all the time.

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
    /// Time that work takes there as a multiple of its usual time, whatever the reason.
    pub factor: f64,
    /// When it was reported.
    pub reported_at: Moment,
}

impl MomentaryPace {
    /// Returns the factor by which work is expected to take longer over the next
    /// `duration_ms` than at the upstream's persistent `slowness`.
    pub(crate) fn expected_factor(self, now: Moment, duration_ms: f64, slowness: f64) -> f64 {
        let age = now - self.reported_at;
        if age >= MAX_AGE {
            return 1.0;
        }
        let half_lives = age.as_secs_f64() / HALF_LIFE.as_secs_f64();
        let momentary = self.factor / slowness;
        1.0 + (momentary - 1.0) * 0.5_f64.powf(half_lives) * mean_weight(duration_ms)
    }

    /// Returns the expected mean of the reported factor over the `duration_ms` before the
    /// report, at an upstream of a persistent `slowness`.
    ///
    /// Work that takes longer than a factor is in force was only partly done at it.
    pub(crate) fn past_factor(self, duration_ms: f64, slowness: f64) -> f64 {
        slowness + (self.factor - slowness) * mean_weight(duration_ms)
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
