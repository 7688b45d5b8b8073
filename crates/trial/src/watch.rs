//! Watches versions on all hosts while a trial runs.

use crate::Deployment;
use eyre::Result;
use indexmap::IndexMap;
use kernel::{HostId, Version};
use parking_lot::Mutex;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

const POLL: Duration = Duration::from_millis(20);
const SPREAD_LIMIT: Duration = Duration::from_secs(30);

/// What was seen of versions.
#[derive(Clone, Debug, Default)]
pub(crate) struct VersionWatch {
    state: Arc<Mutex<WatchState>>,
    is_over: Arc<AtomicBool>,
}

#[derive(Debug, Default)]
struct WatchState {
    seen: IndexMap<HostId, Version>,
    reverted: u64,
    violations: IndexMap<HostId, u64>,
    moves: IndexMap<HostId, u64>,
}

impl VersionWatch {
    /// Polls all hosts until told to stop.
    pub async fn run(&self, deployment: Deployment) {
        while !self.is_over.load(Ordering::Relaxed) {
            for running in deployment.running() {
                let asked = running.host.status();
                let answered = async_std::future::timeout(POLL * 10, asked).await;
                let Ok(Some(status)) = answered else {
                    continue;
                };
                let mut state = self.state.lock();
                let before = state
                    .seen
                    .insert(status.host.clone(), status.sheet_version)
                    .unwrap_or_default();
                state.reverted += u64::from(status.sheet_version < before);
                state
                    .violations
                    .insert(status.host.clone(), status.violations);
                state.moves.insert(status.host, status.moves_begun);
            }
            async_std::task::sleep(POLL * 5).await;
        }
    }

    pub fn stop(&self) {
        self.is_over.store(true, Ordering::Relaxed);
    }

    pub fn reverted(&self) -> u64 {
        self.state.lock().reverted
    }

    /// Returns invariants found broken inside the hosts.
    pub fn violations(&self) -> u64 {
        self.state.lock().violations.values().sum()
    }
}

/// Submits a changed sheet and measures until it is in force on all hosts.
pub(crate) async fn measure_spread(deployment: &Deployment, base: u64, token: &str) -> Result<u64> {
    let mut changed = deployment.plan.sheet.clone();
    let share = 1 + u32::try_from(base % 7)?;
    changed
        .customers
        .insert("spread-probe".into(), sheet::CustomerPlan { share });
    let body = serde_json::to_vec_pretty(&changed)?;
    let version = deployment.submit_body(base, token, &body).await?;
    let accepted_at = Instant::now();
    loop {
        let mut behind = 0;
        for running in deployment.running() {
            let status = running.host.status().await;
            let in_force = status.map_or(Version(u64::MAX), |status| status.sheet_version);
            behind += u32::from(in_force.0 < version);
        }
        if behind == 0 || accepted_at.elapsed() > SPREAD_LIMIT {
            return Ok(accepted_at.elapsed().as_millis() as u64);
        }
        async_std::task::sleep(POLL / 4).await;
    }
}
