//! Expected waits, which early refusal is based on.

use crate::admission::{AdmissionQueue, SlotRequest};
use sheet::Rank;
use std::time::Duration;

/// Fraction of the expected wait over which the retries of refused clients are spread.
const RETRY_SPREAD: f64 = 1.0;
const MIN_RETRY_MS: f64 = 50.0;

impl AdmissionQueue {
    /// Returns the expected wait of a new request of `rank`.
    ///
    /// Queued requests of more urgent ranks go first, but a rank below its floor is
    /// served at least at the rate of its floor; the shorter of the two waits applies.
    pub fn expected_wait(&self, rank: Rank) -> Duration {
        self.wait_behind(rank, self.queues[rank.index()].expected_ms())
    }

    /// Returns the expected wait of a request, given its customer's fair share.
    pub(crate) fn expected_wait_of(&self, request: &SlotRequest) -> Duration {
        let queue = &self.queues[request.rank.index()];
        let own_queued = queue.queued_by(&request.customer) as f64;
        let average_ms = queue.expected_ms() / (queue.len().max(1) as f64);
        // Fair queueing serves each other customer about once per request of this
        // customer.
        let requests_ahead = (own_queued + 1.0) * (queue.customers().max(1) as f64);
        let ahead_ms = (requests_ahead * average_ms).min(queue.expected_ms());
        self.wait_behind(request.rank, ahead_ms)
    }

    fn wait_behind(&self, rank: Rank, same_rank_ms: f64) -> Duration {
        let slots = f64::from(self.concurrency.limit());
        let has_free_slot = self.running < self.concurrency.limit();
        let mut more_urgent_ms = 0.0;
        for other in Rank::ALL {
            if other < rank {
                more_urgent_ms += self.queues[other.index()].expected_ms();
            }
        }
        if has_free_slot && more_urgent_ms + same_rank_ms <= 0.0 {
            return Duration::ZERO;
        }
        let by_rank_ms = (more_urgent_ms + same_rank_ms + self.remaining_running_ms()) / slots;
        let floor = self.plan.floors.share(rank);
        let by_floor_ms = if floor > 0.0 {
            (same_rank_ms + self.remaining_running_ms()) / (slots * floor)
        } else {
            f64::INFINITY
        };
        Duration::from_secs_f64(by_rank_ms.min(by_floor_ms) / 1_000.0)
    }

    /// Returns the expected remaining slot time of running requests, in milliseconds.
    fn remaining_running_ms(&self) -> f64 {
        self.running_expected_ms / 2.0
    }

    /// Returns the delay after which to retry, spread at random so that clients do not
    /// all retry at once.
    pub(crate) fn retry_after(&mut self, wait: Duration) -> Duration {
        let wait_ms = wait.as_secs_f64() * 1_000.0;
        let base_ms = wait_ms.max(MIN_RETRY_MS);
        let spread_ms = base_ms * RETRY_SPREAD * self.rng.f64();
        Duration::from_secs_f64((base_ms + spread_ms) / 1_000.0)
    }
}
