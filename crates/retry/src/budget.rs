//! Limit on retries as a fraction of first attempts.

/// Tolerance for fractions whose sums are not exact in binary.
const TOKEN_TOLERANCE: f64 = 1e-9;

/// A token bucket that first attempts fill and retries empty.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    ratio: f64,
    capacity: f64,
    tokens: f64,
}

impl RetryBudget {
    /// Creates a full budget; each first attempt earns `ratio` retries, up to
    /// `capacity`.
    pub const fn new(ratio: f64, capacity: f64) -> Self {
        Self {
            ratio,
            capacity,
            tokens: capacity,
        }
    }

    /// Sets how many retries can be saved up.
    pub fn set_capacity(&mut self, capacity: f64) {
        self.capacity = capacity;
        self.tokens = self.tokens.min(capacity);
    }

    /// Raises how many retries can be saved up, and saves as many more; retries that were
    /// spent stay spent. A lower capacity changes nothing.
    pub fn raise_capacity(&mut self, capacity: f64) {
        let added = (capacity - self.capacity).max(0.0);
        self.capacity += added;
        self.tokens += added;
    }

    /// Records a first attempt.
    pub fn record_first_attempt(&mut self) {
        self.tokens = (self.tokens + self.ratio).min(self.capacity);
    }

    /// Spends one retry; returns `false` when the budget is empty.
    pub fn try_spend(&mut self) -> bool {
        if self.tokens < 1.0 - TOKEN_TOLERANCE {
            return false;
        }
        self.tokens = (self.tokens - 1.0).max(0.0);
        true
    }
}
