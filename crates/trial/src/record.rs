//! What became of each request of a trial.

use kernel::{CustomerName, ServiceName, Verdict};
use parking_lot::Mutex;
use sheet::Rank;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// One request that a caller sent.
#[derive(Clone, Debug)]
pub(crate) struct CallRecord {
    pub service: ServiceName,
    pub rank: Rank,
    pub customer: CustomerName,
    pub tag: String,
    /// When it was meant to be sent, whether or not the caller kept up.
    pub intended_at: Instant,
    pub took: Duration,
    pub target: Duration,
    pub cost: Duration,
    pub verdict: Verdict,
    pub cause: String,
    pub is_incomplete: bool,
    pub is_crossed: bool,
    pub is_cut_by_stop: bool,
    /// Whether it belongs to a flood.
    pub is_flood: bool,
}

impl CallRecord {
    /// Returns whether it was answered within its target.
    pub fn is_in_time(&self) -> bool {
        self.verdict == Verdict::Ran && self.took <= self.target
    }
}

/// Records of a trial.
#[derive(Clone, Debug, Default)]
pub(crate) struct CallLog {
    records: Arc<Mutex<Vec<CallRecord>>>,
}

impl CallLog {
    pub fn add(&self, record: CallRecord) {
        self.records.lock().push(record);
    }

    pub fn len(&self) -> usize {
        self.records.lock().len()
    }

    pub fn all(&self) -> Vec<CallRecord> {
        self.records.lock().clone()
    }
}
