//! Report of a trial.

use crate::Deployment;
use crate::faults::FaultKind;
use crate::monitor::HostMonitor;
use crate::record::RequestRecord;
use hdrhistogram::Histogram;
use indexmap::IndexMap;
use kernel::{ServiceName, Verdict};
use serde::Serialize;
use sheet::Rank;
use std::time::{Duration, Instant};

/// Maximum latency beyond the request's slot time; the service counts as unavailable
/// during slower requests.
const MAX_UNNOTICED_DELAY: Duration = Duration::from_millis(200);
/// Causes of refusals that are due to load and do not count as unavailability.
const LOAD_CAUSES: [&str; 4] = [
    "queue-full",
    "deadline-unreachable",
    "host-busy",
    "upstream-refused",
];

/// Report of a trial; all counts are totals over its duration.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct TrialReport {
    /// Requests sent.
    pub requests: u64,
    /// Requests that ran and were answered.
    pub ran: u64,
    /// Requests refused as not run.
    pub not_run: u64,
    /// Requests for which the client does not know whether they ran.
    pub may_have_run: u64,
    /// Responses that looked complete but were not.
    pub incomplete_answers: u64,
    /// Responses that belong to another request.
    pub crossed_answers: u64,
    /// Runs of non-idempotent requests that had run before.
    pub double_runs: u64,
    /// Requests that ran although the client was told that they did not.
    pub false_not_runs: u64,
    /// Grants and runs that gave a shard a second owner, and violations that hosts
    /// detected.
    pub double_owners: u64,
    /// Requests cut by the planned stop of a host.
    pub cut_by_planned_stop: u64,
    /// Runs that started after the grace period of a leaving upstream.
    pub work_after_leave: u64,
    /// Number of times that a host went back to an older sheet version.
    pub reverted_versions: u64,
    /// Time for which clients were refused or delayed, by service.
    pub unavailable_ms: IndexMap<ServiceName, UnavailableReport>,
    /// Maximum load of an instance, relative to the mean, by service.
    pub imbalance: IndexMap<ServiceName, f64>,
    /// Number of shard moves.
    pub moves: u64,
    /// Time from the acceptance of a sheet until it is active on all hosts, in
    /// milliseconds.
    pub config_spread_ms: Option<u64>,
    /// Counts and latencies by rank, without the requests of floods.
    pub by_rank: IndexMap<String, RankReport>,
}

/// Time for which clients of a service were refused or delayed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct UnavailableReport {
    /// Total time, in milliseconds.
    pub total: u64,
    /// Longest contiguous period, in milliseconds.
    pub longest: u64,
}

/// Counts and latencies of one rank.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct RankReport {
    /// Requests sent.
    pub sent: u64,
    /// Requests that ran and were answered within their target latency.
    pub in_time: u64,
    /// Requests that ran and were answered.
    pub ran: u64,
    /// Median latency, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of the latency, in milliseconds.
    pub p99_ms: f64,
}

/// Latency through an entry host, compared with direct requests to an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct PathCost {
    /// Median through an entry host, in milliseconds.
    pub routed_p50_ms: f64,
    /// 99th percentile through an entry host, in milliseconds.
    pub routed_p99_ms: f64,
    /// Median directly at an upstream, in milliseconds.
    pub direct_p50_ms: f64,
    /// 99th percentile directly at an upstream, in milliseconds.
    pub direct_p99_ms: f64,
}

impl TrialReport {
    /// Returns name and count of each violation that occurred.
    pub fn violations(&self) -> Vec<(&'static str, u64)> {
        let counts = [
            ("incomplete_answers", self.incomplete_answers),
            ("crossed_answers", self.crossed_answers),
            ("double_runs", self.double_runs),
            ("false_not_runs", self.false_not_runs),
            ("double_owners", self.double_owners),
            ("cut_by_planned_stop", self.cut_by_planned_stop),
            ("work_after_leave", self.work_after_leave),
            ("reverted_versions", self.reverted_versions),
        ];
        counts.into_iter().filter(|(_, count)| *count > 0).collect()
    }
}

/// Data that a report is built from.
pub(crate) struct ReportInputs<'a> {
    pub deployment: &'a Deployment,
    pub records: &'a [RequestRecord],
    pub monitor: &'a HostMonitor,
    pub config_spread_ms: Option<u64>,
    pub faults: &'a [FaultKind],
    pub initial_moves: u64,
}

pub(crate) fn build_report(inputs: &ReportInputs<'_>) -> TrialReport {
    let records = inputs.records;
    let count = |is_counted: &dyn Fn(&RequestRecord) -> bool| {
        records.iter().filter(|record| is_counted(record)).count() as u64
    };
    let run_log = &inputs.deployment.run_log;
    let summary = run_log.summary();
    TrialReport {
        requests: records.len() as u64,
        ran: count(&|record| record.verdict == Verdict::Ran),
        not_run: count(&|record| record.verdict == Verdict::NotRun),
        may_have_run: count(&|record| record.verdict == Verdict::MayHaveRun),
        incomplete_answers: count(&|record| record.is_incomplete),
        crossed_answers: count(&|record| record.is_crossed),
        double_runs: summary.double_runs,
        false_not_runs: count(&|record| {
            record.verdict == Verdict::NotRun && run_log.run_count(&record.tag) > 0
        }),
        double_owners: summary.double_owners + inputs.monitor.violations(),
        cut_by_planned_stop: count(&|record| record.is_cut_by_planned_stop),
        work_after_leave: summary.work_after_leave,
        reverted_versions: inputs.monitor.reverted_versions(),
        unavailable_ms: unavailable_by_service(inputs),
        imbalance: imbalance_by_service(inputs.deployment),
        moves: count_moves(inputs.deployment).saturating_sub(inputs.initial_moves),
        config_spread_ms: inputs.config_spread_ms,
        by_rank: reports_by_rank(records),
    }
}

/// Returns the sum of all shard epochs; each move of a shard increases it by one.
pub(crate) fn count_moves(deployment: &Deployment) -> u64 {
    let rows = deployment.platform.table().scan(&["assign/"]);
    let mut sum = 0;
    for row in rows {
        let Some(groups) = row.value["shards"].as_array() else {
            continue;
        };
        for group in groups {
            let shards = group["shards"].as_array();
            for shard in shards.into_iter().flatten() {
                sum += shard[1].as_u64().unwrap_or(0);
            }
        }
    }
    sum
}

fn unavailable_by_service(inputs: &ReportInputs<'_>) -> IndexMap<ServiceName, UnavailableReport> {
    let has_flood = inputs.faults.iter().any(|fault| fault.is_flood());
    let mut reports = IndexMap::new();
    for service in inputs.deployment.plan.sheet.services.keys() {
        let mut periods: Vec<(Instant, Instant)> = Vec::new();
        for record in inputs.records {
            if record.service != *service || record.is_flood {
                continue;
            }
            let is_refused =
                record.verdict != Verdict::Ran && !LOAD_CAUSES.contains(&record.cause.as_str());
            let is_late = !has_flood && record.latency > record.cost + MAX_UNNOTICED_DELAY;
            if is_refused || is_late {
                periods.push((record.scheduled_at, record.scheduled_at + record.latency));
            }
        }
        reports.insert(service.clone(), summarize_periods(periods));
    }
    reports
}

fn summarize_periods(mut periods: Vec<(Instant, Instant)>) -> UnavailableReport {
    periods.sort_unstable();
    let mut report = UnavailableReport::default();
    let mut current: Option<(Instant, Instant)> = None;
    let mut add_period = |period: Option<(Instant, Instant)>| {
        if let Some((from, to)) = period {
            let period_ms = to.duration_since(from).as_millis() as u64;
            report.total += period_ms;
            report.longest = report.longest.max(period_ms);
        }
    };
    for (from, to) in periods {
        match current {
            Some((start, end)) if from <= end => current = Some((start, end.max(to))),
            _ => {
                add_period(current);
                current = Some((from, to));
            }
        }
    }
    add_period(current);
    report
}

fn imbalance_by_service(deployment: &Deployment) -> IndexMap<ServiceName, f64> {
    let mut result = IndexMap::new();
    for service in deployment.plan.sheet.services.keys() {
        let times = deployment.run_log.slot_time_by_upstream(service);
        let instances = deployment
            .upstreams
            .values()
            .filter(|upstream| upstream.setup().service == *service)
            .count();
        let total: u64 = times.values().sum();
        let max_time = times.values().copied().max().unwrap_or(0);
        if total > 0 {
            let mean = total as f64 / instances.max(1) as f64;
            result.insert(service.clone(), max_time as f64 / mean);
        }
    }
    result
}

fn reports_by_rank(records: &[RequestRecord]) -> IndexMap<String, RankReport> {
    let mut ranks = IndexMap::new();
    for rank in Rank::ALL {
        let mut report = RankReport::default();
        let mut latencies = new_histogram();
        for record in records {
            if record.rank != rank || record.is_flood {
                continue;
            }
            report.sent += 1;
            report.in_time += u64::from(record.is_in_time());
            if record.verdict == Verdict::Ran {
                report.ran += 1;
                latencies.saturating_record(record.latency.as_micros() as u64);
            }
        }
        report.p50_ms = quantile_ms(&latencies, 0.5);
        report.p99_ms = quantile_ms(&latencies, 0.99);
        ranks.insert(rank.as_str().to_owned(), report);
    }
    ranks
}

/// Creates a histogram of times of up to ten minutes, in microseconds with three
/// significant digits.
pub(crate) fn new_histogram() -> Histogram<u64> {
    const MAX_US: u64 = 600_000_000;
    const SIGNIFICANT_DIGITS: u8 = 3;
    // The bounds are constants that the library accepts.
    Histogram::new_with_bounds(1, MAX_US, SIGNIFICANT_DIGITS).expect("valid histogram bounds")
}

pub(crate) fn quantile_ms(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    histogram.value_at_quantile(quantile) as f64 / 1_000.0
}
