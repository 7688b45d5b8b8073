//! How long requests wait for keys that change their holder.
//!
//! Distinguishes two cases: keys that are being moved are served again within a few
//! hundred milliseconds, so waiting pays; keys of a lost upstream wait for its lease to
//! lapse, so waiting is in vain and every request but the first ones is refused at
//! once.

use indexmap::IndexMap;
use kernel::{Moment, ServiceName};
use std::time::Duration;

/// Time that a move takes beside the running requests: two writes of the row, a release
/// and a grant.
const MOVE_OVERHEAD: Duration = Duration::from_millis(300);
/// Time for which requests that are running when the move begins go on, in mean service
/// times; few take longer.
const RUNNING_SERVICE_TIMES: f64 = 1.5;
/// Time without a request after which the wait of a range starts anew with the next
/// one.
const MAX_IDLE: Duration = Duration::from_secs(2);

/// Time since which a range has had no holder, and time of the last request for it.
#[derive(Clone, Copy, Debug)]
struct UnheldRange {
    unheld_since: Moment,
    last_request_at: Moment,
}

/// Ranges of keys for which requests found no holder.
#[derive(Clone, Debug, Default)]
pub struct MoveTracker {
    unheld: IndexMap<(ServiceName, u16), UnheldRange>,
}

impl MoveTracker {
    /// Returns how much longer requests may wait for the range that begins at `first`
    /// and has no holder now; zero after it has had none for longer than a move takes.
    ///
    /// `service_time` is the mean service time of the service.
    pub fn remaining_wait(
        &mut self,
        now: Moment,
        service: &ServiceName,
        first: u16,
        service_time: Duration,
    ) -> Duration {
        let fresh = UnheldRange {
            unheld_since: now,
            last_request_at: now,
        };
        let range = self.unheld.entry((service.clone(), first)).or_insert(fresh);
        if now - range.last_request_at > MAX_IDLE {
            *range = fresh;
        }
        range.last_request_at = now;
        let max_wait = MOVE_OVERHEAD + service_time.mul_f64(RUNNING_SERVICE_TIMES);
        max_wait.saturating_sub(now - range.unheld_since)
    }

    /// Returns for how long the range that begins at `first` has had no holder.
    ///
    /// A client that is refused should return after as long again: what has lasted for
    /// seconds, such as a lease that has to lapse, seldom ends in the next moment, and a
    /// client that returns too early is refused twice.
    pub fn unheld_for(&self, now: Moment, service: &ServiceName, first: u16) -> Duration {
        let range = self.unheld.get(&(service.clone(), first));
        range.map_or(Duration::ZERO, |range| now - range.unheld_since)
    }

    /// Records that the range that begins at `first` has a holder.
    pub fn record_held(&mut self, service: &ServiceName, first: u16) {
        if self.unheld.is_empty() {
            return;
        }
        self.unheld.swap_remove(&(service.clone(), first));
    }

    /// Removes ranges without recent requests.
    pub fn prune(&mut self, now: Moment) {
        self.unheld
            .retain(|_, range| now - range.last_request_at <= MAX_IDLE);
    }
}
