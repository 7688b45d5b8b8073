//! Expected waits, for early refusal.

use crate::admission::{AdmissionQueue, WorkItem};
use sheet::Rank;
use std::time::Duration;

/// Refused callers are spread over this share of the expected wait.
const SPREAD: f64 = 1.0;
const LEAST_RETRY_MS: f64 = 50.0;

impl AdmissionQueue {
    /// Returns the expected wait of a new request of `rank`.
    ///
    /// More urgent queued work goes first, but a rank below its floor is served
    /// at the floor's rate at least, whichever is sooner.
    pub fn expected_wait(&self, rank: Rank) -> Duration {
        self.wait_behind(rank, self.queues[rank.index()].expected_ms())
    }

    /// Returns the expected wait of an item behind its customer's fair share.
    pub(crate) fn expected_wait_of(&self, item: &WorkItem) -> Duration {
        let queue = &self.queues[item.rank.index()];
        let own = queue.queued_by(&item.customer) as f64;
        let average_ms = queue.expected_ms() / (queue.len().max(1) as f64);
        // Fair sharing serves each other customer about once per own request.
        let turns = (own + 1.0) * (queue.customers().max(1) as f64);
        let ahead_ms = (turns * average_ms).min(queue.expected_ms());
        self.wait_behind(item.rank, ahead_ms)
    }

    fn wait_behind(&self, rank: Rank, same_rank_ms: f64) -> Duration {
        let slots = f64::from(self.concurrency.limit());
        let has_free_slot = self.running < self.concurrency.limit();
        let mut urgent_ms = 0.0;
        for other in Rank::ALL {
            if other < rank {
                urgent_ms += self.queues[other.index()].expected_ms();
            }
        }
        if has_free_slot && urgent_ms + same_rank_ms <= 0.0 {
            return Duration::ZERO;
        }
        let in_turn_ms = (urgent_ms + same_rank_ms + self.residual_ms()) / slots;
        let floor = self.plan.floors.share(rank);
        let by_floor_ms = if floor > 0.0 {
            (same_rank_ms + self.residual_ms()) / (slots * floor)
        } else {
            f64::INFINITY
        };
        Duration::from_secs_f64(in_turn_ms.min(by_floor_ms) / 1_000.0)
    }

    /// Returns the expected slot time left of running work, in milliseconds.
    fn residual_ms(&self) -> f64 {
        self.running_expected_ms / 2.0
    }

    /// Returns when to come back, spread at random so that not all do at once.
    pub(crate) fn retry_after(&mut self, wait: Duration) -> Duration {
        let wait_ms = wait.as_secs_f64() * 1_000.0;
        let base_ms = wait_ms.max(LEAST_RETRY_MS);
        let spread_ms = base_ms * SPREAD * self.rng.f64();
        Duration::from_secs_f64((base_ms + spread_ms) / 1_000.0)
    }
}
