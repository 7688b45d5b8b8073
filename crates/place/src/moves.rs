//! How long requests wait for keys that change hands.
//!
//! Answers two loads: keys that are moved, which are served again within a few
//! hundred milliseconds, so that waiting pays; and keys of a lost upstream, which
//! wait for its lease to lapse, so that waiting is in vain and every request but the
//! first ones is better told at once.

use indexmap::IndexMap;
use kernel::{Moment, ServiceName};
use std::time::Duration;

/// Longest wait for keys that change hands; a move takes as long as the requests
/// that run, a few hundred milliseconds.
const MOVE_PATIENCE: Duration = Duration::from_millis(600);
/// Time without a request after which a range's wait counts from the next one.
const FORGOTTEN: Duration = Duration::from_secs(2);

/// Since when a range has had no holder to send to, and when that was last seen.
#[derive(Clone, Copy, Debug)]
struct MoveSpan {
    since: Moment,
    seen_at: Moment,
}

/// The ranges of keys that requests found without a holder.
#[derive(Clone, Debug, Default)]
pub struct MoveTracker {
    spans: IndexMap<(ServiceName, u16), MoveSpan>,
}

impl MoveTracker {
    /// Returns how much longer requests may wait for the range that begins at
    /// `first` and has no holder now; zero when it has been without for long.
    pub fn remaining_wait(&mut self, now: Moment, service: &ServiceName, first: u16) -> Duration {
        let fresh = MoveSpan {
            since: now,
            seen_at: now,
        };
        let span = self.spans.entry((service.clone(), first)).or_insert(fresh);
        if now - span.seen_at > FORGOTTEN {
            *span = fresh;
        }
        span.seen_at = now;
        MOVE_PATIENCE.saturating_sub(now - span.since)
    }

    /// Notes that the range that begins at `first` has a holder.
    pub fn record_held(&mut self, service: &ServiceName, first: u16) {
        if self.spans.is_empty() {
            return;
        }
        self.spans.swap_remove(&(service.clone(), first));
    }

    /// Forgets ranges that no request has asked for lately.
    pub fn prune(&mut self, now: Moment) {
        self.spans.retain(|_, span| now - span.seen_at <= FORGOTTEN);
    }
}
