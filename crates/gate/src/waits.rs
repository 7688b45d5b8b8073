//! Expected waits at upstreams, as answers and heartbeats tell them.

use indexmap::IndexMap;
use kernel::{Moment, UpstreamId};
use parking_lot::RwLock;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

/// A wait that was last heard of longer ago counts half per span.
const HALF_LIFE: Duration = Duration::from_millis(200);

#[derive(Debug, Default)]
struct WaitRecord {
    wait_us: AtomicU32,
    heard_at_us: AtomicU64,
    outstanding: AtomicU32,
}

/// Expected waits by upstream.
#[derive(Debug, Default)]
pub(crate) struct WaitTracker {
    records: RwLock<IndexMap<UpstreamId, Arc<WaitRecord>>>,
}

/// Counts a request as outstanding while it lives.
#[derive(Debug)]
pub(crate) struct OutstandingGuard(Arc<WaitRecord>);

impl Drop for OutstandingGuard {
    fn drop(&mut self) {
        self.0.outstanding.fetch_sub(1, Ordering::Relaxed);
    }
}

impl WaitTracker {
    /// Notes an upstream's expected wait.
    pub fn note(&self, now: Moment, upstream: &UpstreamId, wait: Duration) {
        let record = self.record(upstream);
        record.wait_us.store(
            wait.as_micros().min(u128::from(u32::MAX)) as u32,
            Ordering::Relaxed,
        );
        record.heard_at_us.store(now.as_micros(), Ordering::Relaxed);
    }

    /// Counts a request sent to an upstream.
    pub fn begin(&self, upstream: &UpstreamId) -> OutstandingGuard {
        let record = self.record(upstream);
        record.outstanding.fetch_add(1, Ordering::Relaxed);
        OutstandingGuard(record)
    }

    /// Returns a score by which upstreams are compared; lower is better.
    ///
    /// The score is the last heard wait, fading with age, plus the time that
    /// the own outstanding requests need.
    pub fn score_us(&self, now: Moment, upstream: &UpstreamId, slots: u32, cost: Duration) -> u64 {
        let record = self.record(upstream);
        let heard_at = Moment::from_micros(record.heard_at_us.load(Ordering::Relaxed));
        let halvings = ((now - heard_at).as_micros() / HALF_LIFE.as_micros()).min(31) as u32;
        let wait_us = record.wait_us.load(Ordering::Relaxed) >> halvings;
        let outstanding = u64::from(record.outstanding.load(Ordering::Relaxed));
        let own_us = outstanding * cost.as_micros() as u64 / u64::from(slots.max(1));
        u64::from(wait_us) + own_us
    }

    fn record(&self, upstream: &UpstreamId) -> Arc<WaitRecord> {
        if let Some(record) = self.records.read().get(upstream) {
            return Arc::clone(record);
        }
        let mut records = self.records.write();
        Arc::clone(records.entry(upstream.clone()).or_default())
    }
}
