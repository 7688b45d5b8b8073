//! Limit on the bytes that control messages take of a host's network link.

use kernel::Moment;
use parking_lot::Mutex;
use std::time::Duration;

/// Fraction of the link that messages to other hosts may take; the rest carries requests
/// and their answers.
const LINK_FRACTION: f64 = 0.25;
/// Time whose bytes may be sent at once.
const BURST: Duration = Duration::from_millis(500);

/// A token bucket for the leader's messages.
///
/// When many hosts start at once, each lacks all entries and owners. On a narrow link
/// they would delay the leader's calls to the store for longer than its lease is valid.
#[derive(Debug)]
pub(crate) struct SendBudget {
    bytes_per_second: f64,
    state: Mutex<BudgetState>,
}

#[derive(Debug)]
struct BudgetState {
    available_bytes: f64,
    updated_at: Moment,
}

impl SendBudget {
    /// Creates a full budget for a link of `link_mbps` megabits a second.
    pub(crate) fn new(link_mbps: u32) -> Self {
        let bytes_per_second = f64::from(link_mbps) * 1e6 / 8.0 * LINK_FRACTION;
        Self {
            bytes_per_second,
            state: Mutex::new(BudgetState {
                available_bytes: bytes_per_second * BURST.as_secs_f64(),
                updated_at: Moment::ZERO,
            }),
        }
    }

    /// Returns whether more than the shortest message may be sent now.
    pub(crate) fn has_room(&self, now: Moment) -> bool {
        let mut state = self.state.lock();
        let refill = (now - state.updated_at).as_secs_f64() * self.bytes_per_second;
        let capacity = self.bytes_per_second * BURST.as_secs_f64();
        state.available_bytes = (state.available_bytes + refill).min(capacity);
        state.updated_at = now;
        state.available_bytes > 0.0
    }

    /// Records that `bytes` were sent.
    pub(crate) fn spend(&self, bytes: usize) {
        self.state.lock().available_bytes -= bytes as f64;
    }
}
