//! Runs a trial and builds its report.

use crate::Deployment;
use crate::client::{ClientPool, ClientRequest};
use crate::faults::{FaultInjector, FaultKind};
use crate::load::{LoadSender, LoadSpec};
use crate::monitor::{HostMonitor, measure_config_spread};
use crate::plan::TrialPlan;
use crate::record::RequestRecord;
use crate::report::{
    PathCost, ReportInputs, TrialReport, build_report, count_moves, new_histogram, quantile_ms,
};
use eyre::Result;
use fake::{FakeUpstream, RunLog, UpstreamSetup};
use h1::HeaderList;
use indexmap::IndexMap;
use kernel::Verdict;
use log::{info, warn};
use std::time::{Duration, Instant};

const PATH_SAMPLES: u32 = 300;
const PATH_TIMEOUT: Duration = Duration::from_secs(2);
const DRAIN_TIMEOUT: Duration = Duration::from_secs(15);
const PROGRESS_INTERVAL: Duration = Duration::from_secs(2);
/// Share of the run before the first fault, and again after the last one.
const FAULT_FREE_SHARE: f64 = 0.12;

/// Options of a trial.
#[derive(Clone, Debug)]
pub struct TrialOptions {
    /// Deployment and load of the trial.
    pub plan: TrialPlan,
    /// Time for which load is sent.
    pub duration: Duration,
    /// Request rate, per second.
    pub rate: f64,
    /// Seed of the random number generators.
    pub seed: u64,
    /// Faults, injected one after another.
    pub faults: Vec<FaultKind>,
    /// Whether the latency that an entry host adds is measured before the load starts.
    pub measures_path_cost: bool,
}

/// Runs a trial and returns its report and, if it was measured, the path cost.
///
/// # Errors
///
/// Returns an error if the deployment cannot be started or the path cost cannot be
/// measured.
pub async fn run_trial(options: TrialOptions) -> Result<(TrialReport, Option<PathCost>)> {
    let deployment = Deployment::start(&options.plan).await?;
    let path_cost = if options.measures_path_cost {
        Some(measure_path_cost(&deployment, options.seed).await?)
    } else {
        None
    };
    let initial_moves = count_moves(&deployment);
    let sender = LoadSender::new(&options.plan, deployment.balancer.clone(), options.seed);
    let monitor = HostMonitor::default();
    let monitoring = async_std::task::spawn({
        let (monitor, deployment) = (monitor.clone(), deployment.clone());
        async move { monitor.run(deployment).await }
    });
    let progress = async_std::task::spawn(report_progress(sender.clone(), options.duration));
    let load = sender.send(LoadSpec {
        rate: options.rate,
        duration: options.duration,
        only: None,
        customer: None,
        is_flood: false,
    });
    let faults = inject_faults(&deployment, &sender, &options);
    let spread = measure_spread_midway(&deployment, options.duration);
    let ((), (), config_spread_ms) = futures::join!(load, faults, spread);
    sender.drain(DRAIN_TIMEOUT).await;
    monitor.stop();
    monitoring.await;
    progress.await;
    let records = sender.log().records();
    let report = build_report(&ReportInputs {
        deployment: &deployment,
        records: &records,
        monitor: &monitor,
        config_spread_ms,
        faults: &options.faults,
        initial_moves,
    });
    for detail in deployment.run_log.summary().details {
        warn!(target: "trial", "{detail}");
    }
    log_outcomes(&records);
    let upstream_exits: u64 = deployment
        .upstreams
        .values()
        .map(FakeUpstream::exit_count)
        .sum();
    let (reads, writes) = deployment.platform.served();
    info!(
        target: "trial",
        "upstream_deaths={upstream_exits} platform_reads={reads} platform_writes={writes}"
    );
    deployment.shut_down();
    Ok((report, path_cost))
}

/// Logs the numbers of sent and of in-time requests by customer, service and rank, and
/// those of requests that did not run, or may not have, by cause.
fn log_outcomes(records: &[RequestRecord]) {
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

async fn report_progress(sender: LoadSender, duration: Duration) {
    let started = Instant::now();
    while started.elapsed() < duration {
        async_std::task::sleep(PROGRESS_INTERVAL.min(duration)).await;
        let seconds = started.elapsed().as_secs();
        info!(target: "trial", "seconds={seconds} answered={}", sender.log().len());
    }
}

async fn inject_faults(deployment: &Deployment, sender: &LoadSender, options: &TrialOptions) {
    if options.faults.is_empty() {
        return;
    }
    let fault_free = options.duration.mul_f64(FAULT_FREE_SHARE);
    async_std::task::sleep(fault_free).await;
    let time_per_fault =
        options.duration.saturating_sub(2 * fault_free) / options.faults.len() as u32;
    let mut injector = FaultInjector {
        deployment: deployment.clone(),
        sender: sender.clone(),
        rng: fastrand::Rng::with_seed(options.seed),
    };
    for fault in &options.faults {
        let started = Instant::now();
        // The second half of each fault's time is left for recovery.
        if let Err(error) = injector.inject(*fault, time_per_fault / 2).await {
            warn!(target: "trial", "fault={} failed: {error}", fault.as_str());
        }
        async_std::task::sleep(time_per_fault.saturating_sub(started.elapsed())).await;
    }
}

async fn measure_spread_midway(deployment: &Deployment, duration: Duration) -> Option<u64> {
    async_std::task::sleep(duration / 2).await;
    match measure_config_spread(deployment, 1, "midway").await {
        Ok(millis) => Some(millis),
        Err(error) => {
            warn!(target: "trial", "sheet submission during the trial failed: {error}");
            None
        }
    }
}

/// Measures the latency through an entry host and directly at an upstream, with
/// alternating requests.
async fn measure_path_cost(deployment: &Deployment, seed: u64) -> Result<PathCost> {
    let Some(load) = deployment.plan.load.first() else {
        return Ok(PathCost::default());
    };
    let direct_upstream = FakeUpstream::start(
        UpstreamSetup {
            id: "direct".into(),
            service: load.service.clone(),
            domain: deployment.plan.domains[0].clone(),
            slots: 64,
            connections: 64,
            queue: 64,
            checks_grants: false,
            cold_ms: 0,
            cold_duration_ms: 0,
        },
        RunLog::default(),
    )
    .await?;
    let service = &deployment.plan.sheet.services[&load.service];
    let kind = service.kinds.iter().find(|kind| kind.name == load.kind);
    let path = kind.map_or("/", |kind| &kind.path);
    let mut rng = fastrand::Rng::with_seed(seed);
    let (routed_pool, direct_pool) = (ClientPool::default(), ClientPool::default());
    let (mut routed, mut direct) = (new_histogram(), new_histogram());
    for number in 0..PATH_SAMPLES {
        let target = path_with_key(path, number);
        let chosen = deployment.balancer.choose(&mut rng);
        let Some(host) = chosen else {
            break;
        };
        let routed_request = path_cost_request(format!("/{}{target}", load.service), number);
        let started = Instant::now();
        let outcome = routed_pool.send(&host.address, &routed_request).await;
        if outcome.verdict == Verdict::Ran {
            routed.saturating_record(started.elapsed().as_micros() as u64);
        }
        let direct_request = path_cost_request(target, number);
        let started = Instant::now();
        direct_pool
            .send(direct_upstream.address(), &direct_request)
            .await;
        direct.saturating_record(started.elapsed().as_micros() as u64);
    }
    direct_upstream.kill();
    Ok(PathCost {
        routed_p50_ms: quantile_ms(&routed, 0.5),
        routed_p99_ms: quantile_ms(&routed, 0.99),
        direct_p50_ms: quantile_ms(&direct, 0.5),
        direct_p99_ms: quantile_ms(&direct, 0.99),
    })
}

fn path_with_key(path: &str, number: u32) -> String {
    let segments = path.split('/').map(|segment| {
        if segment.starts_with('{') || segment == "*" {
            format!("key-{number}")
        } else {
            segment.to_owned()
        }
    });
    segments.collect::<Vec<_>>().join("/")
}

fn path_cost_request(target: String, number: u32) -> ClientRequest {
    let mut headers = HeaderList::new();
    headers.push("x-cost-ms", "0");
    headers.push("x-answer-bytes", "64");
    ClientRequest {
        method: "GET".to_owned(),
        target,
        headers,
        body: Vec::new(),
        tag: format!("path{number}"),
        previous_tags: Vec::new(),
        answer_bytes: 64,
        timeout: PATH_TIMEOUT,
    }
}
