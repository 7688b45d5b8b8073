//! Measures how the cost of the control plane grows with the size of a deployment.
//!
//! Deployments of several sizes run without client load in one failure domain. The
//! CPU time of the control threads, the bytes on loopback and the requests to the
//! platform are measured over an interval, and the memory of the process at its end.
//! Linear models are fitted to the results by least squares.

use crate::{Deployment, TrialPlan};
use eyre::{Result, WrapErr, eyre};
use log::info;
use serde::Serialize;
use std::time::{Duration, Instant};

/// Prefix of the names of the hosts' control threads.
const CONTROL_THREAD_PREFIX: &str = "control-";
/// Time after the start of a deployment until the measurement begins.
const SETTLE_DURATION: Duration = Duration::from_millis(2_500);
/// Time over which a deployment is measured.
const MEASURE_DURATION: Duration = Duration::from_secs(5);
/// Clock ticks per second in `/proc/*/stat`, which Linux fixes at 100 for user space.
const TICKS_PER_S: f64 = 100.0;
const PAGE_KB: f64 = 4.0;
/// Maximum number of witnesses of a host; further hosts add no heartbeats.
const MAX_LINKS: u32 = 7;

/// Size of a measured deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct SlopeSize {
    /// Number of entry hosts.
    pub hosts: u32,
    /// Number of upstreams.
    pub upstreams: u32,
    /// Number of shards of the only sharded service.
    pub shards: u32,
}

/// Measured cost of one deployment.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct SlopePoint {
    /// Size of the deployment.
    pub size: SlopeSize,
    /// CPU time of one host's control thread, in percent of a core.
    pub control_percent: f64,
    /// Loopback traffic per host including all headers, in KB per second.
    pub kb_per_s: f64,
    /// Memory of the whole process, in MB.
    pub process_mb: f64,
    /// Reads from the platform's table and object store by all hosts, per second.
    pub reads_per_s: f64,
    /// Writes to the platform's table and object store by all hosts, per second.
    pub writes_per_s: f64,
}

/// Linear model `base + per_link * links + per_upstream * upstreams +
/// per_kshard * shards / 1000`.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct SlopeFit {
    /// Cost of a host without links and upstreams.
    pub base: f64,
    /// Cost per link to a witness.
    pub per_link: f64,
    /// Cost per upstream of which the host is the primary.
    pub per_upstream: f64,
    /// Cost per thousand known shards.
    pub per_kshard: f64,
    /// Root mean square of the differences from the measured values.
    pub residual: f64,
}

impl SlopeFit {
    /// Returns the value that the model predicts.
    pub fn at(&self, links: f64, upstreams: f64, kshards: f64) -> f64 {
        self.base
            + self.per_link * links
            + self.per_upstream * upstreams
            + self.per_kshard * kshards
    }
}

/// All measurements and the linear models fitted to them.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct SlopeReport {
    /// Measurements, one for each deployment.
    pub points: Vec<SlopePoint>,
    /// Model of the CPU time of a control thread, in percent of a core.
    pub control_percent: SlopeFit,
    /// Model of the traffic per host, in KB per second.
    pub kb_per_s: SlopeFit,
    /// Model of the memory per host, in MB: the process's memory divided by its hosts.
    pub host_mb: SlopeFit,
}

/// Measures deployments of several sizes and fits linear models to the results.
///
/// # Errors
///
/// Returns an error if a deployment cannot be started or the files in `/proc` cannot
/// be read.
pub async fn measure_slopes() -> Result<SlopeReport> {
    let sizes = [
        (3, 9, 240),
        (6, 9, 240),
        (6, 27, 240),
        (9, 27, 240),
        (12, 27, 240),
        (18, 27, 240),
        (18, 54, 240),
        (6, 9, 1_024),
        (6, 9, 4_096),
    ];
    let mut points = Vec::new();
    for (hosts, upstreams, shards) in sizes {
        let size = SlopeSize {
            hosts,
            upstreams,
            shards,
        };
        let point = measure(size).await?;
        info!(target: "trial", "{point:?}");
        points.push(point);
    }
    Ok(SlopeReport {
        control_percent: fit(&points, |point| point.control_percent)?,
        kb_per_s: fit(&points, |point| point.kb_per_s)?,
        host_mb: fit(&points, |point| {
            point.process_mb / f64::from(point.size.hosts)
        })?,
        points,
    })
}

async fn measure(size: SlopeSize) -> Result<SlopePoint> {
    let deployment = Deployment::start(&plan_for_size(size)).await?;
    async_std::task::sleep(SETTLE_DURATION).await;
    let started = Instant::now();
    let ticks_before = control_ticks()?;
    let bytes_before = loopback_bytes()?;
    let (reads_before, writes_before) = deployment.platform.served();
    async_std::task::sleep(MEASURE_DURATION).await;
    let seconds = started.elapsed().as_secs_f64();
    let hosts = f64::from(size.hosts);
    let control_s = (control_ticks()? - ticks_before) / TICKS_PER_S;
    let kilobytes = (loopback_bytes()? - bytes_before) / 1_000.0;
    let (reads_after, writes_after) = deployment.platform.served();
    let point = SlopePoint {
        size,
        control_percent: 100.0 * control_s / seconds / hosts,
        kb_per_s: kilobytes / seconds / hosts,
        process_mb: process_mb()?,
        reads_per_s: (reads_after - reads_before) as f64 / seconds,
        writes_per_s: (writes_after - writes_before) as f64 / seconds,
    };
    deployment.shut_down();
    async_std::task::sleep(SETTLE_DURATION / 5).await;
    Ok(point)
}

fn plan_for_size(size: SlopeSize) -> TrialPlan {
    let mut plan = TrialPlan::small();
    plan.hosts = size.hosts;
    plan.domains.truncate(1);
    plan.instances.truncate(1);
    for instance in &mut plan.instances {
        instance.count = size.upstreams;
    }
    let service = plan.instances[0].service.clone();
    plan.sheet.services.retain(|name, _| *name == service);
    plan.load.retain(|load| load.service == service);
    for service in plan.sheet.services.values_mut() {
        if let Some(keys) = &mut service.keys {
            keys.shards = size.shards;
        }
    }
    plan
}

/// Returns the user and system time of all control threads, in clock ticks.
fn control_ticks() -> Result<f64> {
    let mut ticks = 0.0;
    for entry in std::fs::read_dir("/proc/self/task")? {
        let path = entry?.path();
        // A thread may have ended since the directory was read.
        let Ok(name) = std::fs::read_to_string(path.join("comm")) else {
            continue;
        };
        if !name.starts_with(CONTROL_THREAD_PREFIX) {
            continue;
        }
        let Ok(stat) = std::fs::read_to_string(path.join("stat")) else {
            continue;
        };
        // The thread name may contain spaces, so fields are counted from its end.
        let fields = stat.rsplit_once(") ").map_or("", |(_, rest)| rest);
        let numbers = fields.split(' ').skip(11).take(2);
        ticks += numbers
            .filter_map(|text| text.parse::<f64>().ok())
            .sum::<f64>();
    }
    Ok(ticks)
}

fn loopback_bytes() -> Result<f64> {
    let table = std::fs::read_to_string("/proc/net/dev").wrap_err("cannot read /proc/net/dev")?;
    let line = table
        .lines()
        .find_map(|line| line.trim().strip_prefix("lo:"));
    let line = line.ok_or_else(|| eyre!("no loopback interface in /proc/net/dev"))?;
    let received = line.split_whitespace().next().unwrap_or_default();
    received
        .parse()
        .wrap_err("cannot parse the received bytes of the loopback interface")
}

fn process_mb() -> Result<f64> {
    let text =
        std::fs::read_to_string("/proc/self/statm").wrap_err("cannot read /proc/self/statm")?;
    let pages = text.split(' ').nth(1).unwrap_or_default();
    let pages: f64 = pages
        .parse()
        .wrap_err("cannot parse the resident pages in /proc/self/statm")?;
    Ok(pages * PAGE_KB / 1_024.0)
}

/// Number of coefficients of the linear model.
const COEFFICIENT_COUNT: usize = 4;

/// Fits a linear model to the measured values by least squares (normal equations).
fn fit(points: &[SlopePoint], value: impl Fn(&SlopePoint) -> f64) -> Result<SlopeFit> {
    let predictors_of = |point: &SlopePoint| -> [f64; COEFFICIENT_COUNT] {
        let hosts = f64::from(point.size.hosts);
        [
            1.0,
            f64::from(MAX_LINKS.min(point.size.hosts - 1)),
            f64::from(point.size.upstreams) / hosts,
            f64::from(point.size.shards) / 1_000.0,
        ]
    };
    let mut matrix = [[0.0; COEFFICIENT_COUNT + 1]; COEFFICIENT_COUNT];
    for point in points {
        let row = predictors_of(point);
        for i in 0..COEFFICIENT_COUNT {
            for j in 0..COEFFICIENT_COUNT {
                matrix[i][j] += row[i] * row[j];
            }
            matrix[i][COEFFICIENT_COUNT] += row[i] * value(point);
        }
    }
    let solution = solve(matrix).ok_or_else(|| {
        eyre!("the measured sizes do not determine all coefficients of the model")
    })?;
    let model = SlopeFit {
        base: solution[0],
        per_link: solution[1],
        per_upstream: solution[2],
        per_kshard: solution[3],
        residual: 0.0,
    };
    let squares = points.iter().map(|point| {
        let row = predictors_of(point);
        (value(point) - model.at(row[1], row[2], row[3])).powi(2)
    });
    let mean = squares.sum::<f64>() / points.len().max(1) as f64;
    Ok(SlopeFit {
        residual: mean.sqrt(),
        ..model
    })
}

/// Solves a linear system by Gauss-Jordan elimination with partial pivoting; `None`
/// if the matrix is singular.
fn solve(
    mut matrix: [[f64; COEFFICIENT_COUNT + 1]; COEFFICIENT_COUNT],
) -> Option<[f64; COEFFICIENT_COUNT]> {
    // A smaller pivot means that the matrix is singular.
    const MIN_PIVOT: f64 = 1e-9;
    for column in 0..COEFFICIENT_COUNT {
        let pivot = (column..COEFFICIENT_COUNT).max_by(|a, b| {
            matrix[*a][column]
                .abs()
                .total_cmp(&matrix[*b][column].abs())
        })?;
        matrix.swap(column, pivot);
        if matrix[column][column].abs() < MIN_PIVOT {
            return None;
        }
        for row in 0..COEFFICIENT_COUNT {
            if row == column {
                continue;
            }
            let factor = matrix[row][column] / matrix[column][column];
            let pivot_row = matrix[column];
            for (cell, pivot_cell) in matrix[row].iter_mut().zip(pivot_row) {
                *cell -= factor * pivot_cell;
            }
        }
    }
    let mut solution = [0.0; COEFFICIENT_COUNT];
    for (index, value) in solution.iter_mut().enumerate() {
        *value = matrix[index][COEFFICIENT_COUNT] / matrix[index][index];
    }
    Some(solution)
}
