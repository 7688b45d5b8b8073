//! What really happened, as the stand-ins saw it.

use indexmap::IndexMap;
use kernel::{Epoch, ServiceName, ShardId, UpstreamId};
use parking_lot::Mutex;
use serde::Serialize;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Longest time from being listed as leaving to taking no new work.
const LEAVE_GRACE: Duration = Duration::from_secs(2);

/// Numbers the runs of a log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RunId(usize);

/// One run of a request at an upstream.
#[derive(Clone, Debug)]
pub struct RunRecord {
    /// Request id as the upstream was sent it.
    pub request: String,
    /// Idempotency key, when the request is not idempotent.
    pub idempotency_key: Option<String>,
    /// The service.
    pub service: ServiceName,
    /// The upstream.
    pub upstream: UpstreamId,
    /// The shard and its epoch, for divided services.
    pub shard: Option<(ShardId, Epoch)>,
    /// When it began.
    pub started: Instant,
    /// When it ended; absent while it runs or when the upstream died.
    pub ended: Option<Instant>,
    /// Slot time used, in milliseconds.
    pub slot_ms: u64,
}

/// Shared log of what happened.
#[derive(Clone, Debug, Default)]
pub struct RunLog {
    state: Arc<Mutex<RunLogState>>,
}

#[derive(Debug, Default)]
struct RunLogState {
    runs: Vec<RunRecord>,
    runs_by_request: IndexMap<String, u32>,
    runs_by_key: IndexMap<String, u32>,
    newest_epochs: IndexMap<(ServiceName, ShardId), Epoch>,
    owners: IndexMap<(ServiceName, ShardId), IndexMap<UpstreamId, Instant>>,
    leaving_since: IndexMap<UpstreamId, Instant>,
    summary: RunSummary,
}

/// Violations counted by a log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct RunSummary {
    /// Runs begun.
    pub runs: u64,
    /// Non-idempotent requests that ran more than once.
    pub double_runs: u64,
    /// Grants and runs that made a second owner.
    pub double_owners: u64,
    /// Runs begun at an upstream that had been leaving for too long.
    pub work_after_leave: u64,
    /// Descriptions of the first few violations.
    pub details: Vec<String>,
}

impl RunLogState {
    fn violation(&mut self, text: String) {
        const MOST_DETAILS: usize = 20;
        if self.summary.details.len() < MOST_DETAILS {
            self.summary.details.push(text);
        }
    }
}

impl RunLog {
    /// Records that a run begins.
    pub fn begin(&self, record: RunRecord) -> RunId {
        let mut state = self.state.lock();
        state.summary.runs += 1;
        *state
            .runs_by_request
            .entry(record.request.clone())
            .or_insert(0) += 1;
        check_repeat(&mut state, &record);
        check_epoch(&mut state, &record);
        check_leaving(&mut state, &record);
        state.runs.push(record);
        RunId(state.runs.len() - 1)
    }

    /// Records that a run ended.
    pub fn end(&self, run: RunId) {
        let mut state = self.state.lock();
        if let Some(record) = state.runs.get_mut(run.0) {
            record.ended = Some(Instant::now());
        }
    }

    /// Records that an upstream believes to own shards until `until`.
    pub fn record_ownership(
        &self,
        service: &ServiceName,
        upstream: &UpstreamId,
        shards: impl Iterator<Item = ShardId>,
        until: Instant,
    ) {
        let now = Instant::now();
        let mut state = self.state.lock();
        let mut found = Vec::new();
        for shard in shards {
            let owners = state.owners.entry((service.clone(), shard)).or_default();
            for (other, other_until) in owners.iter() {
                if other != upstream && *other_until > now && until > now {
                    found.push(format!(
                        "shard {shard} of {service} owned by {other} and {upstream}"
                    ));
                }
            }
            owners.insert(upstream.clone(), until);
        }
        for text in found {
            state.summary.double_owners += 1;
            state.violation(text);
        }
    }

    /// Records that an upstream no longer owns anything.
    pub fn forget_ownership(&self, upstream: &UpstreamId) {
        let mut state = self.state.lock();
        for owners in state.owners.values_mut() {
            owners.swap_remove(upstream);
        }
    }

    /// Records that an upstream owns just `kept` of a service from now on.
    pub fn retain_ownership(
        &self,
        service: &ServiceName,
        upstream: &UpstreamId,
        is_kept: impl Fn(ShardId) -> bool,
    ) {
        let mut state = self.state.lock();
        for ((owned, shard), owners) in &mut state.owners {
            if owned == service && !is_kept(*shard) {
                owners.swap_remove(upstream);
            }
        }
    }

    /// Records that an upstream has been listed as leaving, or is back.
    pub fn set_leaving(&self, upstream: &UpstreamId, is_leaving: bool) {
        let mut state = self.state.lock();
        if is_leaving {
            let now = Instant::now();
            state.leaving_since.entry(upstream.clone()).or_insert(now);
        } else {
            state.leaving_since.swap_remove(upstream);
        }
    }

    /// Returns how often a request ran.
    pub fn runs_of(&self, request: &str) -> u32 {
        let state = self.state.lock();
        state.runs_by_request.get(request).copied().unwrap_or(0)
    }

    /// Returns how often work with an idempotency key ran.
    pub fn runs_of_key(&self, key: &str) -> u32 {
        self.state.lock().runs_by_key.get(key).copied().unwrap_or(0)
    }

    /// Returns the slot time of all runs by upstream of a service, in ms.
    pub fn slot_time(&self, service: &ServiceName) -> IndexMap<UpstreamId, u64> {
        let state = self.state.lock();
        let mut times = IndexMap::new();
        for run in &state.runs {
            if run.service == *service {
                *times.entry(run.upstream.clone()).or_insert(0) += run.slot_ms;
            }
        }
        times
    }

    /// Returns all runs so far.
    pub fn runs(&self) -> Vec<RunRecord> {
        self.state.lock().runs.clone()
    }

    /// Returns the violations counted so far.
    pub fn summary(&self) -> RunSummary {
        self.state.lock().summary.clone()
    }
}

fn check_repeat(state: &mut RunLogState, record: &RunRecord) {
    let Some(key) = &record.idempotency_key else {
        return;
    };
    let count = state.runs_by_key.entry(key.clone()).or_insert(0);
    *count += 1;
    if *count < 2 {
        return;
    }
    let text = format!("{key} ran {count} times, last at {}", record.upstream);
    state.summary.double_runs += 1;
    state.violation(text);
}

fn check_epoch(state: &mut RunLogState, record: &RunRecord) {
    let Some((shard, epoch)) = record.shard else {
        return;
    };
    let newest = state
        .newest_epochs
        .entry((record.service.clone(), shard))
        .or_default();
    if epoch >= *newest {
        *newest = epoch;
        return;
    }
    let text = format!(
        "shard {shard} of {} ran at {} under epoch {epoch} after {newest}",
        record.service, record.upstream
    );
    state.summary.double_owners += 1;
    state.violation(text);
}

fn check_leaving(state: &mut RunLogState, record: &RunRecord) {
    let Some(since) = state.leaving_since.get(&record.upstream) else {
        return;
    };
    if record.started.duration_since(*since) <= LEAVE_GRACE {
        return;
    }
    let text = format!("{} ran work after leaving", record.upstream);
    state.summary.work_after_leave += 1;
    state.violation(text);
}
