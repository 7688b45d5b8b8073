//! Expected waits at upstreams, as reported by answers and heartbeats.

use indexmap::IndexMap;
use kernel::{Moment, UpstreamId};
use parking_lot::RwLock;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

/// A reported wait loses half of its weight in this time.
const HALF_LIFE: Duration = Duration::from_millis(200);

#[derive(Debug, Default)]
struct WaitEntry {
    wait_us: AtomicU32,
    reported_at_us: AtomicU64,
    outstanding: AtomicU32,
}

/// Expected waits by upstream.
#[derive(Debug, Default)]
pub(crate) struct WaitTracker {
    entries: RwLock<IndexMap<UpstreamId, Arc<WaitEntry>>>,
}

/// Counts a request as outstanding until it is dropped.
#[derive(Debug)]
pub(crate) struct OutstandingGuard(Arc<WaitEntry>);

impl Drop for OutstandingGuard {
    fn drop(&mut self) {
        self.0.outstanding.fetch_sub(1, Ordering::Relaxed);
    }
}

impl WaitTracker {
    /// Records an upstream's expected wait.
    pub fn record_wait(&self, now: Moment, upstream: &UpstreamId, wait: Duration) {
        let entry = self.entry(upstream);
        entry.wait_us.store(
            wait.as_micros().min(u128::from(u32::MAX)) as u32,
            Ordering::Relaxed,
        );
        entry
            .reported_at_us
            .store(now.as_micros(), Ordering::Relaxed);
    }

    /// Counts a request that is sent to an upstream.
    pub fn track_request(&self, upstream: &UpstreamId) -> OutstandingGuard {
        let entry = self.entry(upstream);
        entry.outstanding.fetch_add(1, Ordering::Relaxed);
        OutstandingGuard(entry)
    }

    /// Returns the score by which upstreams are compared, in microseconds; lower is
    /// better.
    ///
    /// The score is the last reported wait, decayed by its age, plus the time that
    /// this host's outstanding requests need there.
    pub fn score_us(&self, now: Moment, upstream: &UpstreamId, slots: u32, cost: Duration) -> u64 {
        let entry = self.entry(upstream);
        let reported_at = Moment::from_micros(entry.reported_at_us.load(Ordering::Relaxed));
        let halvings = ((now - reported_at).as_micros() / HALF_LIFE.as_micros()).min(31) as u32;
        let wait_us = entry.wait_us.load(Ordering::Relaxed) >> halvings;
        let outstanding = u64::from(entry.outstanding.load(Ordering::Relaxed));
        let outstanding_us = outstanding * cost.as_micros() as u64 / u64::from(slots.max(1));
        u64::from(wait_us) + outstanding_us
    }

    fn entry(&self, upstream: &UpstreamId) -> Arc<WaitEntry> {
        if let Some(entry) = self.entries.read().get(upstream) {
            return Arc::clone(entry);
        }
        let mut entries = self.entries.write();
        Arc::clone(entries.entry(upstream.clone()).or_default())
    }
}
