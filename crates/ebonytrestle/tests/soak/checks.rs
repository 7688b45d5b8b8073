//! Checks of the guarantees from what clients and upstreams observed.

use crate::clients::{self, RequestKind, RequestOutcome, RequestRecord, WatchTask};
use crate::fleet::Fleet;
use crate::stand_in::FakeUpstream;
use std::collections::HashMap;
use std::fmt;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// Keys whose holders are compared.
const PROBED_KEYS: [u16; 9] = [0, 1, 4_000, 16_000, 30_000, 40_000, 50_000, 65_000, 65_535];
/// Interval at which the holders are compared.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Time after a paused host resumes during which its late grants are not counted, as
/// the platform's contract specifies.
const RESUME_GRACE: Duration = Duration::from_millis(300);
/// Maximum time until all requests are served again after the last fault, as the
/// contract specifies.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(15);
/// Minimum share of the requests of a round that must be served within that time.
const MIN_SERVED_SHARE: f64 = 0.95;
/// Time after which a leaving upstream must get no more requests, as the contract
/// specifies.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(2);
/// Time without store faults before an upstream leaves that the contract requires for
/// `DRAIN_TIMEOUT` to apply.
const STABLE_STORE_TIME: Duration = Duration::from_secs(3);

/// Counts and violations of a run.
#[derive(Debug, Default)]
pub struct Findings {
    requests: usize,
    answered: usize,
    refused: usize,
    violations: Vec<String>,
    logs: Vec<PathBuf>,
}

impl Findings {
    pub fn is_clean(&self) -> bool {
        self.violations.is_empty()
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "requests={} answered={} refused={} broken={:?}",
            self.requests, self.answered, self.refused, self.violations,
        )?;
        if !self.violations.is_empty() {
            write!(f, " logs={:?}", self.logs)?;
        }
        Ok(())
    }
}

/// Starts a task that checks whether two upstreams hold the same key.
pub fn watch_owners(fleet: &Fleet) -> WatchTask<String> {
    let is_stopped = Arc::new(AtomicBool::new(false));
    let findings: Arc<parking_lot::Mutex<Vec<String>>> = Arc::default();
    let all_upstreams = Arc::clone(&fleet.upstreams);
    let resumed_at = Arc::clone(&fleet.resumed_at);
    let (stopped, found) = (Arc::clone(&is_stopped), Arc::clone(&findings));
    let task = async_std::task::spawn(async move {
        while !stopped.load(Ordering::SeqCst) {
            async_std::task::sleep(POLL_INTERVAL).await;
            if resumed_at
                .lock()
                .is_some_and(|at| at.elapsed() < RESUME_GRACE)
            {
                continue;
            }
            let upstreams: Vec<FakeUpstream> = {
                let upstreams = all_upstreams.lock();
                let sharded = upstreams
                    .iter()
                    .filter(|relayed| relayed.upstream.service == "keyed");
                sharded.map(|relayed| relayed.upstream.clone()).collect()
            };
            for key in PROBED_KEYS {
                let holding = upstreams
                    .iter()
                    .filter_map(|upstream| Some((upstream.id.as_str(), upstream.holds_key(key)?)));
                let holders: Vec<_> = holding.collect();
                if holders.len() > 1 {
                    found
                        .lock()
                        .push(format!("key {key} is held by {holders:?}"));
                }
            }
        }
    });
    WatchTask {
        is_stopped,
        findings,
        task,
    }
}

/// Sends rounds of requests until all requests of a round are served or the timeout
/// expires; returns the maximum share of served requests in a round.
pub async fn measure_recovery(fleet: &Fleet) -> f64 {
    let deadline = Instant::now() + RECOVERY_TIMEOUT;
    let mut max_share: f64 = 0.0;
    let mut round = 0;
    while Instant::now() < deadline && max_share < 1.0 {
        async_std::task::sleep(Duration::from_millis(500)).await;
        round += 1;
        let (mut served, mut sent) = (0, 0);
        for (host_index, host) in fleet.hosts.iter().enumerate() {
            for key in PROBED_KEYS {
                sent += 1;
                let Some(mut connection) = clients::connect(&clients::address_of(host)).await
                else {
                    continue;
                };
                let id = format!("recovery-{round}-{host_index}-{key}");
                let (outcome, _) =
                    clients::send_request(&mut connection, RequestKind::Chart(key), &id).await;
                served += u32::from(outcome == RequestOutcome::Answered(200, true));
            }
        }
        max_share = max_share.max(f64::from(served) / f64::from(sent));
    }
    max_share
}

/// Compares the outcomes that clients observed with the requests that upstreams ran.
pub fn check_run(
    fleet: &Fleet,
    records: Vec<RequestRecord>,
    mut ownership_overlaps: Vec<String>,
    served_share: f64,
) -> Findings {
    let mut findings = Findings {
        requests: records.len(),
        logs: fleet.logs(),
        ..Findings::default()
    };
    if !ownership_overlaps.is_empty() {
        let count = ownership_overlaps.len();
        findings.violations.push(format!(
            "owner ({count}): {}",
            ownership_overlaps.swap_remove(0)
        ));
    }
    if served_share < MIN_SERVED_SHARE {
        findings
            .violations
            .push(format!("recovery: {served_share:.2} served"));
    }
    let mut runs: HashMap<String, u32> = HashMap::new();
    for relayed in fleet.upstreams.lock().iter() {
        let leaving_since = *relayed.leaving_since.lock();
        let store_faults = fleet.store_faults.lock().clone();
        for run in relayed.upstream.runs.lock().iter() {
            *runs.entry(run.id.clone()).or_default() += 1;
            let is_late =
                leaving_since.is_some_and(|leaving_since| run.at > leaving_since + DRAIN_TIMEOUT);
            let is_store_stable = leaving_since.is_some_and(|leaving_since| {
                let mut store_faults = store_faults.iter();
                store_faults.all(|(began_at, ended_at)| {
                    *ended_at + STABLE_STORE_TIME < leaving_since || *began_at > run.at
                })
            });
            if is_late && is_store_stable && !run.id.starts_with("recovery") {
                findings.violations.push(format!(
                    "drain: {} ran {} after it left",
                    relayed.upstream.id, run.id
                ));
            }
        }
    }
    for record in records {
        check_request(
            fleet,
            &record,
            runs.remove(&record.id).unwrap_or(0),
            &mut findings,
        );
    }
    let unexpected = runs.keys().find(|id| !id.starts_with("recovery"));
    if let Some(id) = unexpected {
        findings
            .violations
            .push(format!("unasked: {id} ran but was never sent"));
    }
    findings
}

fn check_request(fleet: &Fleet, record: &RequestRecord, runs: u32, findings: &mut Findings) {
    let is_order = record.kind == RequestKind::Order;
    let id = &record.id;
    if is_order && runs > 1 {
        findings
            .violations
            .push(format!("twice: {id} ran {runs} times"));
    }
    match record.outcome {
        RequestOutcome::Answered(status, is_complete) => {
            findings.answered += usize::from(status == 200);
            if !is_complete {
                findings
                    .violations
                    .push(format!("mixed: {id} got the response to another request"));
            }
            if status == 200 && runs == 0 {
                findings
                    .violations
                    .push(format!("mixed: {id} was answered but never ran"));
            }
            if matches!(status, 408 | 421 | 429 | 503) {
                findings.refused += 1;
                if is_order && runs > 0 {
                    findings
                        .violations
                        .push(format!("refused: {id} got {status} but ran"));
                }
            }
            if matches!(status, 400 | 401 | 403 | 404 | 413 | 431) {
                findings
                    .violations
                    .push(format!("denied: {id} got {status}"));
            }
        }
        RequestOutcome::ConnectionLost => {
            let host = &fleet.hosts[record.host_index];
            // A later request may be sent just as the host closes the idle connection.
            if record.is_first && !host.may_cut_connections.load(Ordering::SeqCst) {
                findings.violations.push(format!(
                    "lost: the connection of {id} was closed by {}",
                    host.name
                ));
            }
        }
        RequestOutcome::TimedOut => {
            let host = &fleet.hosts[record.host_index];
            if !host.may_cut_connections.load(Ordering::SeqCst) {
                findings
                    .violations
                    .push(format!("silent: {id} got no response from {}", host.name));
            }
        }
    }
}
