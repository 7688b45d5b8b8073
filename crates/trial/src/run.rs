//! Runs a trial from start to report.

use crate::Deployment;
use crate::caller::{CallerPool, CallerRequest};
use crate::faults::{FaultInjector, FaultName};
use crate::load::{LoadSender, LoadWave};
use crate::plan::TrialPlan;
use crate::record::CallRecord;
use crate::report::{
    PathCost, ReportInputs, TrialReport, build_report, count_moves, new_histogram, quantile_ms,
};
use crate::watch::{VersionWatch, measure_spread};
use eyre::Result;
use fake::{FakeUpstream, RunLog, UpstreamSetup};
use h1::HeaderList;
use indexmap::IndexMap;
use kernel::Verdict;
use log::{info, warn};
use std::time::{Duration, Instant};

const PATH_PAIRS: u32 = 300;
const PATH_LIMIT: Duration = Duration::from_secs(2);
const SETTLE_LIMIT: Duration = Duration::from_secs(15);
const PROGRESS_PERIOD: Duration = Duration::from_secs(2);
/// Parts of the run before the first and after the last fault.
const QUIET_SHARE: f64 = 0.12;

/// What to run.
#[derive(Clone, Debug)]
pub struct TrialOptions {
    /// Deployment and load.
    pub plan: TrialPlan,
    /// Length of the load.
    pub span: Duration,
    /// Requests per second.
    pub rate: f64,
    /// Seed of random choices.
    pub seed: u64,
    /// Faults, injected in turn.
    pub faults: Vec<FaultName>,
    /// Whether the cost of the path is measured first.
    pub measures_path: bool,
}

/// Runs a trial and returns its report and the cost of the path.
///
/// # Errors
///
/// Fails when the deployment does not become ready.
pub async fn run_trial(options: TrialOptions) -> Result<(TrialReport, Option<PathCost>)> {
    let deployment = Deployment::start(&options.plan).await?;
    let path = if options.measures_path {
        Some(measure_path(&deployment, options.seed).await?)
    } else {
        None
    };
    let first_moves = count_moves(&deployment);
    let sender = LoadSender::new(&options.plan, deployment.balancer.clone(), options.seed);
    let watch = VersionWatch::default();
    let watching = async_std::task::spawn({
        let (watch, deployment) = (watch.clone(), deployment.clone());
        async move { watch.run(deployment).await }
    });
    let progress = async_std::task::spawn(report_progress(sender.clone(), options.span));
    let loading = sender.send(LoadWave {
        rate: options.rate,
        span: options.span,
        only: None,
        customer: None,
        is_flood: false,
    });
    let injecting = inject_all(&deployment, &sender, &options);
    let spreading = spread_midway(&deployment, options.span);
    let ((), (), config_spread_ms) = futures::join!(loading, injecting, spreading);
    sender.settle(SETTLE_LIMIT).await;
    watch.stop();
    watching.await;
    progress.await;
    let records = sender.log().all();
    let report = build_report(&ReportInputs {
        deployment: &deployment,
        records: &records,
        watch: &watch,
        config_spread_ms,
        faults: &options.faults,
        first_moves,
    });
    for detail in deployment.run_log.summary().details {
        warn!(target: "trial", "{detail}");
    }
    log_details(&records);
    let deaths: u64 = deployment
        .upstreams
        .values()
        .map(FakeUpstream::exit_count)
        .sum();
    let (reads, writes) = deployment.platform.served();
    info!(
        target: "trial",
        "upstream_deaths={deaths} platform_reads={reads} platform_writes={writes}"
    );
    deployment.shut_down();
    Ok((report, path))
}

/// Logs refusals by cause and service by customer.
fn log_details(records: &[CallRecord]) {
    let mut causes: IndexMap<String, u64> = IndexMap::new();
    let mut customers: IndexMap<String, (u64, u64)> = IndexMap::new();
    for record in records {
        let key = format!("{}/{}/{}", record.customer, record.service, record.rank);
        let counts = customers.entry(key).or_default();
        counts.0 += 1;
        counts.1 += u64::from(record.is_in_time());
        if record.verdict == Verdict::Ran {
            continue;
        }
        let key = format!("{}/{}/{}", record.service, record.verdict, record.cause);
        *causes.entry(key).or_default() += 1;
    }
    for (customer, (sent, in_time)) in customers {
        info!(target: "trial", "customer {customer}: in_time={in_time} sent={sent}");
    }
    for (cause, count) in causes {
        info!(target: "trial", "refused {cause}: {count}");
    }
}

async fn report_progress(sender: LoadSender, span: Duration) {
    let started = Instant::now();
    while started.elapsed() < span {
        async_std::task::sleep(PROGRESS_PERIOD.min(span)).await;
        let seconds = started.elapsed().as_secs();
        info!(target: "trial", "seconds={seconds} answered={}", sender.log().len());
    }
}

async fn inject_all(deployment: &Deployment, sender: &LoadSender, options: &TrialOptions) {
    if options.faults.is_empty() {
        return;
    }
    let quiet = options.span.mul_f64(QUIET_SHARE);
    async_std::task::sleep(quiet).await;
    let each = options.span.saturating_sub(2 * quiet) / options.faults.len() as u32;
    let mut injector = FaultInjector {
        deployment: deployment.clone(),
        sender: sender.clone(),
        rng: fastrand::Rng::with_seed(options.seed),
    };
    for fault in &options.faults {
        let began = Instant::now();
        // Half of each fault's time is left for recovery.
        if let Err(error) = injector.inject(*fault, each / 2).await {
            warn!(target: "trial", "fault={} failed: {error}", fault.as_str());
        }
        async_std::task::sleep(each.saturating_sub(began.elapsed())).await;
    }
}

async fn spread_midway(deployment: &Deployment, span: Duration) -> Option<u64> {
    async_std::task::sleep(span / 2).await;
    match measure_spread(deployment, 1, "midway").await {
        Ok(millis) => Some(millis),
        Err(error) => {
            warn!(target: "trial", "sheet not submitted midway: {error}");
            None
        }
    }
}

/// Measures the way through an entry host beside the direct one, in turn.
async fn measure_path(deployment: &Deployment, seed: u64) -> Result<PathCost> {
    let Some(load) = deployment.plan.load.first() else {
        return Ok(PathCost::default());
    };
    let twin = FakeUpstream::start(
        UpstreamSetup {
            id: "direct".into(),
            service: load.service.clone(),
            domain: deployment.plan.domains[0].clone(),
            slots: 64,
            connections: 64,
            queue: 64,
            checks_grants: false,
            cold_ms: 0,
            cold_span_ms: 0,
        },
        RunLog::default(),
    )
    .await?;
    let service = &deployment.plan.sheet.services[&load.service];
    let kind = service.kinds.iter().find(|kind| kind.name == load.kind);
    let path = kind.map_or("/", |kind| &kind.path);
    let mut rng = fastrand::Rng::with_seed(seed);
    let (routed_pool, direct_pool) = (CallerPool::default(), CallerPool::default());
    let (mut routed, mut direct) = (new_histogram(), new_histogram());
    for number in 0..PATH_PAIRS {
        let target = path_with_key(path, number);
        let chosen = deployment.balancer.choose(&mut rng);
        let Some(host) = chosen else {
            break;
        };
        let through = path_request(format!("/{}{target}", load.service), number);
        let began = Instant::now();
        let outcome = routed_pool.send(&host.address, &through).await;
        if outcome.verdict == Verdict::Ran {
            routed.saturating_record(began.elapsed().as_micros() as u64);
        }
        let straight = path_request(target, number);
        let began = Instant::now();
        direct_pool.send(twin.address(), &straight).await;
        direct.saturating_record(began.elapsed().as_micros() as u64);
    }
    twin.kill();
    Ok(PathCost {
        routed_p50_ms: quantile_ms(&routed, 0.5),
        routed_p99_ms: quantile_ms(&routed, 0.99),
        direct_p50_ms: quantile_ms(&direct, 0.5),
        direct_p99_ms: quantile_ms(&direct, 0.99),
    })
}

fn path_with_key(path: &str, number: u32) -> String {
    let parts = path.split('/').map(|part| {
        if part.starts_with('{') || part == "*" {
            format!("key-{number}")
        } else {
            part.to_owned()
        }
    });
    parts.collect::<Vec<_>>().join("/")
}

fn path_request(target: String, number: u32) -> CallerRequest {
    let mut headers = HeaderList::new();
    headers.push("x-cost-ms", "0");
    headers.push("x-answer-bytes", "64");
    CallerRequest {
        method: "GET".to_owned(),
        target,
        headers,
        body: Vec::new(),
        tag: format!("path{number}"),
        earlier_tags: Vec::new(),
        answer_bytes: 64,
        limit: PATH_LIMIT,
    }
}
