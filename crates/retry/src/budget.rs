//! A bound on retries as a share of first tries.

/// Allowance for shares that do not add up to a whole in binary.
const ROUNDING: f64 = 1e-9;

/// A token bucket that first tries fill and retries empty.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    share: f64,
    most: f64,
    tokens: f64,
}

impl RetryBudget {
    /// Starts full; `share` retries are earned by each first try, up to `most`.
    pub const fn new(share: f64, most: f64) -> Self {
        Self {
            share,
            most,
            tokens: most,
        }
    }

    /// Changes how many retries can be saved up.
    pub fn set_capacity(&mut self, most: f64) {
        self.most = most;
        self.tokens = self.tokens.min(most);
    }

    /// Notes a first try.
    pub fn record_first_attempt(&mut self) {
        self.tokens = (self.tokens + self.share).min(self.most);
    }

    /// Takes one retry out of the budget; `false` when it is spent.
    pub fn try_spend(&mut self) -> bool {
        if self.tokens < 1.0 - ROUNDING {
            return false;
        }
        self.tokens = (self.tokens - 1.0).max(0.0);
        true
    }
}
