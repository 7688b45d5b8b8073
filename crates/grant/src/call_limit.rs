//! Limit on the calls that a leader begins at a time.

use kernel::Moment;
use std::time::Duration;

/// Initial limit; it adapts to what the host can send in time.
const INITIAL_LIMIT: f64 = 64.0;
const MIN_LIMIT: f64 = 8.0;

/// Limit on the calls that begin within the longest delay of a call.
///
/// A leader that takes over has a call to make for every range at once. A host that
/// begins more of them than it can send in time would take upstreams for silent.
#[derive(Debug)]
pub(crate) struct CallLimit {
    limit: f64,
    /// When the limit was last reduced, if it ever was.
    reduced_at: Option<Moment>,
}

impl CallLimit {
    pub(crate) const fn new() -> Self {
        Self {
            limit: INITIAL_LIMIT,
            reduced_at: None,
        }
    }

    /// Returns how many calls may begin if `begun` have just begun.
    pub(crate) fn available(&self, begun: usize) -> usize {
        (self.limit as usize).saturating_sub(begun)
    }

    /// Raises the limit after a call that was sent in time, up to `max_limit`.
    ///
    /// Once the limit has been found, it rises by one in each send delay.
    pub(crate) fn record_sent(&mut self, max_limit: usize) {
        let increase = match self.reduced_at {
            Some(_) => 1.0 / self.limit,
            None => 1.0,
        };
        let max_limit = (max_limit as f64).max(INITIAL_LIMIT);
        self.limit = (self.limit + increase).min(max_limit);
    }

    /// Halves the limit after a call that was not sent within `send_delay`. The other
    /// calls of the same time are late for the same reason.
    pub(crate) fn record_unsent(&mut self, now: Moment, send_delay: Duration) {
        let is_known = |reduced_at: Moment| now < reduced_at + send_delay;
        if self.reduced_at.is_some_and(is_known) {
            return;
        }
        self.limit = (self.limit / 2.0).max(MIN_LIMIT);
        self.reduced_at = Some(now);
    }
}
