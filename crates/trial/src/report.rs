//! What a trial reports.

use crate::Deployment;
use crate::faults::FaultName;
use crate::record::CallRecord;
use crate::watch::VersionWatch;
use hdrhistogram::Histogram;
use indexmap::IndexMap;
use kernel::{ServiceName, Verdict};
use serde::Serialize;
use sheet::Rank;
use std::time::{Duration, Instant};

/// An answer later than its slot time by more than this kept its caller waiting.
const NOTICED_AFTER: Duration = Duration::from_millis(200);
/// Causes of refusals that come from load, not from a loss.
const LOAD_CAUSES: [&str; 4] = [
    "queue-full",
    "deadline-unreachable",
    "host-busy",
    "upstream-refused",
];

/// Report of a trial.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct TrialReport {
    /// Requests sent.
    pub requests: u64,
    /// Requests answered.
    pub ran: u64,
    /// Requests refused as not run.
    pub not_run: u64,
    /// Requests of which it is not known whether they ran.
    pub may_have_run: u64,
    /// Answers that looked whole and were not.
    pub incomplete_answers: u64,
    /// Answers to another request.
    pub crossed_answers: u64,
    /// Non-idempotent requests that ran more than once.
    pub double_runs: u64,
    /// Requests refused as not run that did run.
    pub false_not_runs: u64,
    /// Grants and runs that made a second owner.
    pub double_owners: u64,
    /// Requests cut by a planned stop.
    pub cut_by_planned_stop: u64,
    /// Runs begun at an upstream that had been leaving for too long.
    pub work_after_leave: u64,
    /// Hosts seen going back to an older sheet.
    pub reverted_versions: u64,
    /// Time for which callers were refused or kept waiting, by service.
    pub unavailable_ms: IndexMap<ServiceName, UnavailableReport>,
    /// Greatest load of an instance over the mean, by service.
    pub imbalance: IndexMap<ServiceName, f64>,
    /// Shards moved.
    pub moves: u64,
    /// Time from a sheet's acceptance to its being in force on all hosts.
    pub config_spread_ms: Option<u64>,
    /// Service by rank, without the floods' own requests.
    pub by_rank: IndexMap<String, RankReport>,
}

/// Time for which callers were refused or kept waiting.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct UnavailableReport {
    /// All of it, in milliseconds.
    pub total: u64,
    /// The longest stretch, in milliseconds.
    pub longest: u64,
}

/// Service of one rank.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct RankReport {
    /// Requests sent.
    pub sent: u64,
    /// Requests answered within their target.
    pub in_time: u64,
    /// Requests answered.
    pub ran: u64,
    /// Median time to an answer, in milliseconds.
    pub p50_ms: f64,
    /// Time within which 99 in 100 answers came, in milliseconds.
    pub p99_ms: f64,
}

/// Cost of the way through an entry host, beside the direct one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct PathCost {
    /// Median through an entry host, in milliseconds.
    pub routed_p50_ms: f64,
    /// 99th percentile through an entry host, in milliseconds.
    pub routed_p99_ms: f64,
    /// Median straight to an upstream, in milliseconds.
    pub direct_p50_ms: f64,
    /// 99th percentile straight to an upstream, in milliseconds.
    pub direct_p99_ms: f64,
}

impl TrialReport {
    /// Returns the violations that must not occur, by name, where not zero.
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

/// What a report is made from.
pub(crate) struct ReportInputs<'a> {
    pub deployment: &'a Deployment,
    pub records: &'a [CallRecord],
    pub watch: &'a VersionWatch,
    pub config_spread_ms: Option<u64>,
    pub faults: &'a [FaultName],
    pub first_moves: u64,
}

pub(crate) fn build_report(inputs: &ReportInputs<'_>) -> TrialReport {
    let records = inputs.records;
    let count = |is_counted: &dyn Fn(&CallRecord) -> bool| {
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
        double_owners: summary.double_owners + inputs.watch.violations(),
        cut_by_planned_stop: count(&|record| record.is_cut_by_stop),
        work_after_leave: summary.work_after_leave,
        reverted_versions: inputs.watch.reverted(),
        unavailable_ms: unavailable(inputs),
        imbalance: imbalance(inputs.deployment),
        moves: count_moves(inputs.deployment).saturating_sub(inputs.first_moves),
        config_spread_ms: inputs.config_spread_ms,
        by_rank: by_rank(records),
    }
}

/// Returns the sum of all shards' epochs, which grows by one with each move.
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

fn unavailable(inputs: &ReportInputs<'_>) -> IndexMap<ServiceName, UnavailableReport> {
    let has_flood = inputs.faults.iter().any(|fault| fault.is_flood());
    let mut reports = IndexMap::new();
    for service in inputs.deployment.plan.sheet.services.keys() {
        let mut spans: Vec<(Instant, Instant)> = Vec::new();
        for record in inputs.records {
            if record.service != *service || record.is_flood {
                continue;
            }
            let is_refused =
                record.verdict != Verdict::Ran && !LOAD_CAUSES.contains(&record.cause.as_str());
            let is_late = !has_flood && record.took > record.cost + NOTICED_AFTER;
            if is_refused || is_late {
                spans.push((record.intended_at, record.intended_at + record.took));
            }
        }
        reports.insert(service.clone(), union_of(spans));
    }
    reports
}

fn union_of(mut spans: Vec<(Instant, Instant)>) -> UnavailableReport {
    spans.sort_unstable();
    let mut report = UnavailableReport::default();
    let mut open: Option<(Instant, Instant)> = None;
    let mut close = |span: Option<(Instant, Instant)>| {
        if let Some((from, to)) = span {
            let millis = to.duration_since(from).as_millis() as u64;
            report.total += millis;
            report.longest = report.longest.max(millis);
        }
    };
    for (from, to) in spans {
        match open {
            Some((start, end)) if from <= end => open = Some((start, end.max(to))),
            _ => {
                close(open);
                open = Some((from, to));
            }
        }
    }
    close(open);
    report
}

fn imbalance(deployment: &Deployment) -> IndexMap<ServiceName, f64> {
    let mut result = IndexMap::new();
    for service in deployment.plan.sheet.services.keys() {
        let times = deployment.run_log.slot_time_by_upstream(service);
        let instances = deployment
            .upstreams
            .values()
            .filter(|upstream| upstream.setup().service == *service)
            .count();
        let total: u64 = times.values().sum();
        let most = times.values().copied().max().unwrap_or(0);
        if total > 0 {
            let mean = total as f64 / instances.max(1) as f64;
            result.insert(service.clone(), most as f64 / mean);
        }
    }
    result
}

fn by_rank(records: &[CallRecord]) -> IndexMap<String, RankReport> {
    let mut ranks = IndexMap::new();
    for rank in Rank::ALL {
        let mut report = RankReport::default();
        let mut latency = new_histogram();
        for record in records {
            if record.rank != rank || record.is_flood {
                continue;
            }
            report.sent += 1;
            report.in_time += u64::from(record.is_in_time());
            if record.verdict == Verdict::Ran {
                report.ran += 1;
                latency.saturating_record(record.took.as_micros() as u64);
            }
        }
        report.p50_ms = quantile_ms(&latency, 0.5);
        report.p99_ms = quantile_ms(&latency, 0.99);
        ranks.insert(rank.as_str().to_owned(), report);
    }
    ranks
}

/// Builds a histogram of microseconds up to ten minutes, to three digits.
pub(crate) fn new_histogram() -> Histogram<u64> {
    const MOST_US: u64 = 600_000_000;
    const DIGITS: u8 = 3;
    // The bounds are constants within the library's limits.
    Histogram::new_with_bounds(1, MOST_US, DIGITS).expect("valid histogram bounds")
}

pub(crate) fn quantile_ms(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    histogram.value_at_quantile(quantile) as f64 / 1_000.0
}
