//! Limit on the requests that an upstream runs at a time.

/// Limit with additive increase and multiplicative decrease, bounded by the slot count.
///
/// Refusals by the upstream lower the limit, completed requests raise it.
#[derive(Clone, Copy, Debug)]
pub struct ConcurrencyLimit {
    slots: f64,
    limit: f64,
}

const DECREASE_FACTOR: f64 = 0.75;
const COLD_FRACTION: f64 = 0.5;

impl ConcurrencyLimit {
    /// Creates a limit equal to the slot count.
    pub fn new(slots: u32) -> Self {
        Self {
            slots: f64::from(slots),
            limit: f64::from(slots),
        }
    }

    /// Returns the current limit, at least 1.
    pub fn limit(&self) -> u32 {
        (self.limit as u32).max(1)
    }

    /// Records that the upstream refused a request.
    pub fn record_refusal(&mut self) {
        self.limit = (self.limit * DECREASE_FACTOR).max(1.0);
    }

    /// Records that the upstream completed a request.
    pub fn record_success(&mut self) {
        self.limit = (self.limit + 1.0 / self.limit).min(self.slots);
    }

    /// Lowers the limit, as for an upstream that has just started.
    pub fn reset_for_cold_start(&mut self) {
        self.limit = (self.slots * COLD_FRACTION).max(1.0);
    }

    /// Applies a new slot count; a change resets the limit to it.
    pub fn set_slots(&mut self, slots: u32) {
        let slots = f64::from(slots);
        if (slots - self.slots).abs() < f64::EPSILON {
            return;
        }
        self.slots = slots;
        self.limit = slots;
    }
}
