//! Pauses between tries.

use std::time::Duration;

/// Returns a pause drawn evenly from zero to `base` doubled per earlier try,
/// at most `most` (full jitter; Brooker, 2015).
pub fn full_jitter(
    rng: &mut fastrand::Rng,
    base: Duration,
    most: Duration,
    tries: u32,
) -> Duration {
    let ceiling = base.saturating_mul(1 << tries.min(16)).min(most);
    ceiling.mul_f64(rng.f64())
}
