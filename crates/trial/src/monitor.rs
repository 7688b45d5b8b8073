//! Monitors the status of all hosts while a trial runs.

use crate::Deployment;
use eyre::Result;
use indexmap::IndexMap;
use kernel::{HostId, Version};
use parking_lot::Mutex;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// Unit from which the polling intervals and the status timeout are derived.
const POLL_UNIT: Duration = Duration::from_millis(20);
const SPREAD_TIMEOUT: Duration = Duration::from_secs(30);

/// Sheet versions and invariant violations observed on all hosts.
#[derive(Clone, Debug, Default)]
pub(crate) struct HostMonitor {
    state: Arc<Mutex<HostMonitorState>>,
    is_stopped: Arc<AtomicBool>,
}

#[derive(Debug, Default)]
struct HostMonitorState {
    versions: IndexMap<HostId, Version>,
    reverted_versions: u64,
    violations: IndexMap<HostId, u64>,
    moves: IndexMap<HostId, u64>,
}

impl HostMonitor {
    /// Polls all hosts until [`HostMonitor::stop`] is called.
    pub async fn run(&self, deployment: Deployment) {
        while !self.is_stopped.load(Ordering::Relaxed) {
            for running in deployment.running_hosts() {
                let request = running.host.status();
                let response = async_std::future::timeout(POLL_UNIT * 10, request).await;
                let Ok(Some(status)) = response else {
                    continue;
                };
                let mut state = self.state.lock();
                let previous = state
                    .versions
                    .insert(status.host.clone(), status.sheet_version)
                    .unwrap_or_default();
                state.reverted_versions += u64::from(status.sheet_version < previous);
                state
                    .violations
                    .insert(status.host.clone(), status.violations);
                state.moves.insert(status.host, status.moves_begun);
            }
            async_std::task::sleep(POLL_UNIT * 5).await;
        }
    }

    pub fn stop(&self) {
        self.is_stopped.store(true, Ordering::Relaxed);
    }

    /// Returns how often a host's sheet version was lower than before.
    pub fn reverted_versions(&self) -> u64 {
        self.state.lock().reverted_versions
    }

    /// Returns the number of invariant violations that the hosts detected.
    pub fn violations(&self) -> u64 {
        self.state.lock().violations.values().sum()
    }
}

/// Submits a changed sheet and returns the time until it is active on all hosts, in
/// milliseconds.
pub(crate) async fn measure_config_spread(
    deployment: &Deployment,
    base: u64,
    token: &str,
) -> Result<u64> {
    let mut changed = deployment.plan.sheet.clone();
    let share = 1 + u32::try_from(base % 7)?;
    changed
        .customers
        .insert("spread-probe".into(), sheet::CustomerPlan { share });
    let body = serde_json::to_vec_pretty(&changed)?;
    let version = deployment.submit_body(base, token, &body).await?;
    let accepted_at = Instant::now();
    loop {
        let mut outdated = 0;
        for running in deployment.running_hosts() {
            let status = running.host.status().await;
            let active_version = status.map_or(Version(u64::MAX), |status| status.sheet_version);
            outdated += u32::from(active_version.0 < version);
        }
        if outdated == 0 || accepted_at.elapsed() > SPREAD_TIMEOUT {
            return Ok(accepted_at.elapsed().as_millis() as u64);
        }
        async_std::task::sleep(POLL_UNIT / 4).await;
    }
}
