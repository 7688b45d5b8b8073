//! What control costs an entry host, and how it grows.
//!
//! Deployments of several sizes run without callers in one failure domain. The
//! control threads' processor time, the process's memory, the bytes on loopback
//! and the platform's requests are read before and after a span, and straight
//! lines are fitted through them by least squares.

use crate::{Deployment, TrialPlan};
use eyre::{Result, WrapErr, eyre};
use log::info;
use serde::Serialize;
use std::time::{Duration, Instant};

const CONTROL_THREADS: &str = "control-";
const SETTLE: Duration = Duration::from_millis(2_500);
const SPAN: Duration = Duration::from_secs(5);
/// Clock ticks per second in `/proc/*/stat`, fixed on Linux for user programs.
const TICKS_PER_S: f64 = 100.0;
const PAGE_KB: f64 = 4.0;
/// Most witnesses of a host; further hosts add no heartbeats.
const MOST_LINKS: u32 = 7;

/// A deployment's size.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct SlopeSize {
    /// Entry hosts.
    pub hosts: u32,
    /// Upstreams.
    pub upstreams: u32,
    /// Shards of the one divided service.
    pub shards: u32,
}

/// What one deployment cost.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct SlopePoint {
    /// Its size.
    pub size: SlopeSize,
    /// Processor time of one host's control thread, in percent of a core.
    pub control_percent: f64,
    /// Bytes per host and second with all headers, in KB.
    pub kb_per_s: f64,
    /// Memory of the whole process, in MB.
    pub process_mb: f64,
    /// Reads of the platform's table per second, over all hosts.
    pub reads_per_s: f64,
    /// Transactions on the platform's table per second, over all hosts.
    pub writes_per_s: f64,
}

/// A line `base + per_link * links + per_upstream * upstreams + per_kshard * shards / 1000`.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct SlopeFit {
    /// Of a host without links or upstreams.
    pub base: f64,
    /// Per witness.
    pub per_link: f64,
    /// Per upstream whose primary the host is.
    pub per_upstream: f64,
    /// Per thousand shards known.
    pub per_kshard: f64,
    /// Root mean square of the differences from the measured points.
    pub residual: f64,
}

impl SlopeFit {
    /// Returns the line's value.
    pub fn at(&self, links: f64, upstreams: f64, kshards: f64) -> f64 {
        self.base
            + self.per_link * links
            + self.per_upstream * upstreams
            + self.per_kshard * kshards
    }
}

/// All points and the lines through them.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct SlopeReport {
    /// The points.
    pub points: Vec<SlopePoint>,
    /// Processor time of a control thread, in percent of a core.
    pub control_percent: SlopeFit,
    /// Bytes per host and second, in KB.
    pub kb_per_s: SlopeFit,
    /// Memory per host, in MB, from the process's memory over its hosts.
    pub host_mb: SlopeFit,
}

/// Measures deployments of several sizes.
///
/// # Errors
///
/// Fails when a deployment does not start or the system's figures can't be read.
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
    let deployment = Deployment::start(&plan_of(size)).await?;
    async_std::task::sleep(SETTLE).await;
    let began = Instant::now();
    let control = control_ticks()?;
    let bytes = loopback_bytes()?;
    let (reads, writes) = deployment.platform.served();
    async_std::task::sleep(SPAN).await;
    let seconds = began.elapsed().as_secs_f64();
    let hosts = f64::from(size.hosts);
    let control_s = (control_ticks()? - control) / TICKS_PER_S;
    let kilobytes = (loopback_bytes()? - bytes) / 1_000.0;
    let (reads_after, writes_after) = deployment.platform.served();
    let point = SlopePoint {
        size,
        control_percent: 100.0 * control_s / seconds / hosts,
        kb_per_s: kilobytes / seconds / hosts,
        process_mb: process_mb()?,
        reads_per_s: (reads_after - reads) as f64 / seconds,
        writes_per_s: (writes_after - writes) as f64 / seconds,
    };
    deployment.shut_down();
    async_std::task::sleep(SETTLE / 5).await;
    Ok(point)
}

fn plan_of(size: SlopeSize) -> TrialPlan {
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

/// Returns user and system time of all control threads, in clock ticks.
fn control_ticks() -> Result<f64> {
    let mut ticks = 0.0;
    for entry in std::fs::read_dir("/proc/self/task")? {
        let path = entry?.path();
        // A thread may end between the listing and the reading.
        let Ok(name) = std::fs::read_to_string(path.join("comm")) else {
            continue;
        };
        if !name.starts_with(CONTROL_THREADS) {
            continue;
        }
        let Ok(stat) = std::fs::read_to_string(path.join("stat")) else {
            continue;
        };
        // Fields are counted after the name, which may hold spaces.
        let fields = stat.rsplit_once(") ").map_or("", |(_, rest)| rest);
        let numbers = fields.split(' ').skip(11).take(2);
        ticks += numbers
            .filter_map(|text| text.parse::<f64>().ok())
            .sum::<f64>();
    }
    Ok(ticks)
}

fn loopback_bytes() -> Result<f64> {
    let table = std::fs::read_to_string("/proc/net/dev").wrap_err("/proc/net/dev")?;
    let line = table
        .lines()
        .find_map(|line| line.trim().strip_prefix("lo:"));
    let line = line.ok_or_else(|| eyre!("no loopback interface"))?;
    let received = line.split_whitespace().next().unwrap_or_default();
    received.parse().wrap_err("bytes of the loopback interface")
}

fn process_mb() -> Result<f64> {
    let text = std::fs::read_to_string("/proc/self/statm").wrap_err("/proc/self/statm")?;
    let pages = text.split(' ').nth(1).unwrap_or_default();
    let pages: f64 = pages.parse().wrap_err("resident pages")?;
    Ok(pages * PAGE_KB / 1_024.0)
}

const COLUMNS: usize = 4;

/// Fits a line through points by least squares (normal equations).
fn fit(points: &[SlopePoint], value: impl Fn(&SlopePoint) -> f64) -> Result<SlopeFit> {
    let row_of = |point: &SlopePoint| -> [f64; COLUMNS] {
        let hosts = f64::from(point.size.hosts);
        [
            1.0,
            f64::from(MOST_LINKS.min(point.size.hosts - 1)),
            f64::from(point.size.upstreams) / hosts,
            f64::from(point.size.shards) / 1_000.0,
        ]
    };
    let mut matrix = [[0.0; COLUMNS + 1]; COLUMNS];
    for point in points {
        let row = row_of(point);
        for i in 0..COLUMNS {
            for j in 0..COLUMNS {
                matrix[i][j] += row[i] * row[j];
            }
            matrix[i][COLUMNS] += row[i] * value(point);
        }
    }
    let solution = solve(matrix).ok_or_else(|| eyre!("the points lie too close together"))?;
    let line = SlopeFit {
        base: solution[0],
        per_link: solution[1],
        per_upstream: solution[2],
        per_kshard: solution[3],
        residual: 0.0,
    };
    let squares = points.iter().map(|point| {
        let row = row_of(point);
        (value(point) - line.at(row[1], row[2], row[3])).powi(2)
    });
    let mean = squares.sum::<f64>() / points.len().max(1) as f64;
    Ok(SlopeFit {
        residual: mean.sqrt(),
        ..line
    })
}

/// Solves a linear system by Gaussian elimination with pivoting.
fn solve(mut matrix: [[f64; COLUMNS + 1]; COLUMNS]) -> Option<[f64; COLUMNS]> {
    const SINGULAR: f64 = 1e-9;
    for column in 0..COLUMNS {
        let pivot = (column..COLUMNS).max_by(|a, b| {
            matrix[*a][column]
                .abs()
                .total_cmp(&matrix[*b][column].abs())
        })?;
        matrix.swap(column, pivot);
        if matrix[column][column].abs() < SINGULAR {
            return None;
        }
        for row in 0..COLUMNS {
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
    let mut solution = [0.0; COLUMNS];
    for (index, value) in solution.iter_mut().enumerate() {
        *value = matrix[index][COLUMNS] / matrix[index][index];
    }
    Some(solution)
}
