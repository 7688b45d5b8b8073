//! Log of all requests that ran at the simulated upstreams, which detects
//! violations of exclusive ownership.

use indexmap::IndexMap;
use kernel::{Epoch, ServiceName, ShardId, UpstreamId};
use parking_lot::Mutex;
use serde::Serialize;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Time for which requests may still start at an upstream after it was listed as
/// leaving.
const LEAVE_GRACE: Duration = Duration::from_secs(2);

/// Identifies a run within its [`RunLog`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RunId(usize);

/// One execution of a request at an upstream.
#[derive(Clone, Debug)]
pub struct RunRecord {
    /// The client's tag of the request, or else the id that the upstream received.
    pub request: String,
    /// Idempotency key, if the request is not idempotent.
    pub idempotency_key: Option<String>,
    /// Service that the request belongs to.
    pub service: ServiceName,
    /// Upstream that ran the request.
    pub upstream: UpstreamId,
    /// Shard and its epoch, for sharded services.
    pub shard: Option<(ShardId, Epoch)>,
    /// Start of the run.
    pub started: Instant,
    /// End of the run; `None` while it runs, or if the upstream process ended first.
    pub ended: Option<Instant>,
    /// Time for which the request occupied a slot, in milliseconds.
    pub slot_ms: u64,
}

/// Shared log of runs and ownership; clones refer to the same log.
#[derive(Clone, Debug, Default)]
pub struct RunLog {
    state: Arc<Mutex<RunLogState>>,
}

#[derive(Debug, Default)]
struct RunLogState {
    runs: Vec<RunRecord>,
    runs_by_request: IndexMap<String, u32>,
    runs_by_key: IndexMap<String, u32>,
    latest_epochs: IndexMap<(ServiceName, ShardId), Epoch>,
    owners: IndexMap<(ServiceName, ShardId), IndexMap<UpstreamId, Instant>>,
    leaving_since: IndexMap<UpstreamId, Instant>,
    summary: RunSummary,
}

/// Number of runs, and violations found by a [`RunLog`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct RunSummary {
    /// Started runs.
    pub runs: u64,
    /// Runs of non-idempotent requests that had run before.
    pub double_runs: u64,
    /// Grants and runs that gave a shard a second owner.
    pub double_owners: u64,
    /// Runs that started after the grace period of a leaving upstream.
    pub work_after_leave: u64,
    /// Descriptions of the first violations.
    pub details: Vec<String>,
}

impl RunLogState {
    fn record_violation(&mut self, detail: String) {
        const MAX_DETAILS: usize = 20;
        if self.summary.details.len() < MAX_DETAILS {
            self.summary.details.push(detail);
        }
    }
}

impl RunLog {
    /// Records the start of a run and checks it for violations.
    pub fn begin(&self, record: RunRecord) -> RunId {
        let mut state = self.state.lock();
        state.summary.runs += 1;
        *state
            .runs_by_request
            .entry(record.request.clone())
            .or_insert(0) += 1;
        check_double_run(&mut state, &record);
        check_shard_epoch(&mut state, &record);
        check_work_after_leave(&mut state, &record);
        state.runs.push(record);
        RunId(state.runs.len() - 1)
    }

    /// Records the end of a run.
    pub fn end(&self, run: RunId) {
        let mut state = self.state.lock();
        if let Some(record) = state.runs.get_mut(run.0) {
            record.ended = Some(Instant::now());
        }
    }

    /// Records that an upstream considers itself the owner of `shards` until `until`.
    pub fn record_ownership(
        &self,
        service: &ServiceName,
        upstream: &UpstreamId,
        shards: impl Iterator<Item = ShardId>,
        until: Instant,
    ) {
        let now = Instant::now();
        let mut state = self.state.lock();
        let mut overlaps = Vec::new();
        for shard in shards {
            let owners = state.owners.entry((service.clone(), shard)).or_default();
            for (other, other_until) in owners.iter() {
                if other != upstream && *other_until > now && until > now {
                    overlaps.push(format!(
                        "shard {shard} of {service} owned by {other} and {upstream}"
                    ));
                }
            }
            owners.insert(upstream.clone(), until);
        }
        for detail in overlaps {
            state.summary.double_owners += 1;
            state.record_violation(detail);
        }
    }

    /// Records that an upstream no longer owns any shard.
    pub fn remove_ownership(&self, upstream: &UpstreamId) {
        let mut state = self.state.lock();
        for owners in state.owners.values_mut() {
            owners.swap_remove(upstream);
        }
    }

    /// Removes an upstream's ownership of the service's shards for which `is_kept`
    /// returns false.
    pub fn retain_ownership(
        &self,
        service: &ServiceName,
        upstream: &UpstreamId,
        is_kept: impl Fn(ShardId) -> bool,
    ) {
        let mut state = self.state.lock();
        for ((owned_service, shard), owners) in &mut state.owners {
            if owned_service == service && !is_kept(*shard) {
                owners.swap_remove(upstream);
            }
        }
    }

    /// Records that an upstream is listed as leaving, or no longer is.
    pub fn set_leaving(&self, upstream: &UpstreamId, is_leaving: bool) {
        let mut state = self.state.lock();
        if is_leaving {
            let now = Instant::now();
            state.leaving_since.entry(upstream.clone()).or_insert(now);
        } else {
            state.leaving_since.swap_remove(upstream);
        }
    }

    /// Returns how many times a request ran.
    pub fn run_count(&self, request: &str) -> u32 {
        let state = self.state.lock();
        state.runs_by_request.get(request).copied().unwrap_or(0)
    }

    /// Returns how many times requests with an idempotency key ran.
    pub fn run_count_by_key(&self, key: &str) -> u32 {
        self.state.lock().runs_by_key.get(key).copied().unwrap_or(0)
    }

    /// Returns the total slot time of each upstream of a service, in milliseconds.
    pub fn slot_time_by_upstream(&self, service: &ServiceName) -> IndexMap<UpstreamId, u64> {
        let state = self.state.lock();
        let mut times = IndexMap::new();
        for run in &state.runs {
            if run.service == *service {
                *times.entry(run.upstream.clone()).or_insert(0) += run.slot_ms;
            }
        }
        times
    }

    /// Returns all recorded runs.
    pub fn runs(&self) -> Vec<RunRecord> {
        self.state.lock().runs.clone()
    }

    /// Returns the number of runs and the violations found so far.
    pub fn summary(&self) -> RunSummary {
        self.state.lock().summary.clone()
    }
}

fn check_double_run(state: &mut RunLogState, record: &RunRecord) {
    let Some(key) = &record.idempotency_key else {
        return;
    };
    let count = state.runs_by_key.entry(key.clone()).or_insert(0);
    *count += 1;
    if *count < 2 {
        return;
    }
    let detail = format!("{key} ran {count} times, last at {}", record.upstream);
    state.summary.double_runs += 1;
    state.record_violation(detail);
}

fn check_shard_epoch(state: &mut RunLogState, record: &RunRecord) {
    let Some((shard, epoch)) = record.shard else {
        return;
    };
    let latest = state
        .latest_epochs
        .entry((record.service.clone(), shard))
        .or_default();
    if epoch >= *latest {
        *latest = epoch;
        return;
    }
    let detail = format!(
        "shard {shard} of {} ran at {} under epoch {epoch} after {latest}",
        record.service, record.upstream
    );
    state.summary.double_owners += 1;
    state.record_violation(detail);
}

fn check_work_after_leave(state: &mut RunLogState, record: &RunRecord) {
    let Some(since) = state.leaving_since.get(&record.upstream) else {
        return;
    };
    if record.started.duration_since(*since) <= LEAVE_GRACE {
        return;
    }
    let detail = format!("{} ran work after leaving", record.upstream);
    state.summary.work_after_leave += 1;
    state.record_violation(detail);
}
