//! Records of the requests that a trial sent.

use kernel::{CustomerName, ServiceName, Verdict};
use parking_lot::Mutex;
use sheet::Rank;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// One attempt of a client to send a request, and its outcome.
#[derive(Clone, Debug)]
pub(crate) struct RequestRecord {
    pub service: ServiceName,
    pub rank: Rank,
    pub customer: CustomerName,
    pub tag: String,
    /// When the request was due; it may have been sent later.
    pub scheduled_at: Instant,
    pub latency: Duration,
    pub target_latency: Duration,
    pub cost: Duration,
    pub verdict: Verdict,
    pub cause: String,
    pub is_incomplete: bool,
    pub is_crossed: bool,
    pub is_cut_by_planned_stop: bool,
    /// Whether the request is part of a flood.
    pub is_flood: bool,
}

impl RequestRecord {
    /// Returns whether the request ran and was answered within its target latency.
    pub fn is_in_time(&self) -> bool {
        self.verdict == Verdict::Ran && self.latency <= self.target_latency
    }
}

/// Log of all requests of a trial; clones refer to the same log.
#[derive(Clone, Debug, Default)]
pub(crate) struct RequestLog {
    records: Arc<Mutex<Vec<RequestRecord>>>,
}

impl RequestLog {
    pub fn add(&self, record: RequestRecord) {
        self.records.lock().push(record);
    }

    pub fn len(&self) -> usize {
        self.records.lock().len()
    }

    pub fn records(&self) -> Vec<RequestRecord> {
        self.records.lock().clone()
    }
}
