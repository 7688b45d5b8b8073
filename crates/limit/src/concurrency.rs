//! How much of its slots an upstream really completes.

/// Additive increase and multiplicative decrease under the slot count.
///
/// Refusals by the upstream lower the limit, completed work raises it.
#[derive(Clone, Copy, Debug)]
pub struct ConcurrencyLimit {
    slots: f64,
    limit: f64,
}

const DECREASE: f64 = 0.75;
const COLD_SHARE: f64 = 0.5;

impl ConcurrencyLimit {
    /// Starts at all slots.
    pub fn new(slots: u32) -> Self {
        Self {
            slots: f64::from(slots),
            limit: f64::from(slots),
        }
    }

    /// Returns the present limit, at least 1.
    pub fn limit(&self) -> u32 {
        (self.limit as u32).max(1)
    }

    /// Notes that the upstream refused work.
    pub fn record_refusal(&mut self) {
        self.limit = (self.limit * DECREASE).max(1.0);
    }

    /// Notes that the upstream completed work.
    pub fn record_success(&mut self) {
        self.limit = (self.limit + 1.0 / self.limit).min(self.slots);
    }

    /// Starts low, as for an upstream that has just started.
    pub fn reset_cold(&mut self) {
        self.limit = (self.slots * COLD_SHARE).max(1.0);
    }

    /// Follows a change of the slot count.
    pub fn set_slots(&mut self, slots: u32) {
        let slots = f64::from(slots);
        if (slots - self.slots).abs() < f64::EPSILON {
            return;
        }
        self.slots = slots;
        self.limit = slots;
    }
}
