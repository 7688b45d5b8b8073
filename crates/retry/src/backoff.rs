//! Delays before retries.

use std::time::Duration;

/// Returns a delay drawn uniformly from zero to `base` doubled per previous retry, at
/// most `max` (full jitter; Brooker, 2015).
pub fn full_jitter(
    rng: &mut fastrand::Rng,
    base: Duration,
    max: Duration,
    retries: u32,
) -> Duration {
    let ceiling = base.saturating_mul(1 << retries.min(16)).min(max);
    ceiling.mul_f64(rng.f64())
}
