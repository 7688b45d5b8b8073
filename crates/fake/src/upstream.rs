//! Simulated upstream instance that can be killed, restarted and frozen.

use crate::upstream_lease::{HeldLease, LeaseRefusal};
use crate::upstream_server::serve_listener;
use crate::{RunLog, UpstreamFaults};
use async_channel::{Receiver, Sender, bounded};
use async_std::net::{TcpListener, TcpStream};
use indexmap::IndexMap;
use kernel::{DomainName, Epoch, ServiceName, ShardId, TaskScope, UpstreamId};
use owner::{LeaseReply, LeaseRequest};
use parking_lot::Mutex;
use std::io;
use std::net::Shutdown;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// Interval for polling the end of a freeze and for retrying to bind the address.
const THAW_POLL_INTERVAL: Duration = Duration::from_millis(3);

/// Configuration of a [`FakeUpstream`].
#[derive(Clone, Debug)]
pub struct UpstreamSetup {
    /// Id of the upstream.
    pub id: UpstreamId,
    /// Service that it serves.
    pub service: ServiceName,
    /// Failure domain that it belongs to.
    pub domain: DomainName,
    /// Maximum number of requests that run at a time.
    pub slots: u32,
    /// Maximum number of open connections.
    pub connections: u32,
    /// Maximum number of requests that wait for a slot; further ones are shed.
    pub queue: u32,
    /// Whether lease and grants are checked before a request runs.
    pub checks_grants: bool,
    /// Extra time per request just after a restart, in milliseconds.
    pub cold_ms: u32,
    /// Time after a restart during which `cold_ms` applies, in milliseconds.
    pub cold_duration_ms: u32,
}

/// Simulated upstream that serves HTTP on loopback; clones refer to the same one.
#[derive(Clone, Debug)]
pub struct FakeUpstream {
    pub(crate) state: Arc<UpstreamState>,
}

#[derive(Debug)]
pub(crate) struct UpstreamState {
    pub setup: UpstreamSetup,
    pub run_log: RunLog,
    pub faults: Mutex<UpstreamFaults>,
    address: String,
    process: Mutex<Option<Arc<UpstreamProcess>>>,
    last_boot: AtomicU64,
    exit_count: AtomicU64,
}

/// One run of the upstream's process, from a start to its end.
#[derive(Debug)]
pub(crate) struct UpstreamProcess {
    pub boot: u64,
    pub started: Instant,
    pub has_exited: AtomicBool,
    pub scope: TaskScope,
    pub lease: Mutex<HeldLease>,
    pub running: Mutex<IndexMap<u64, RunningRequest>>,
    pub next_run_number: AtomicU64,
    pub waiting: AtomicU32,
    pub slot_tokens: (Sender<()>, Receiver<()>),
    pub connections: Mutex<IndexMap<u64, TcpStream>>,
    pub next_connection: AtomicU64,
    /// Connections with a smaller number are no longer answered.
    pub silent_before: AtomicU64,
    pub previous_response: Mutex<Option<(String, Vec<u8>)>>,
}

/// A client request that occupies a slot.
#[derive(Clone, Debug)]
pub(crate) struct RunningRequest {
    pub id: String,
    pub shard: Option<ShardId>,
    pub is_cancelled: Arc<AtomicBool>,
}

impl UpstreamProcess {
    fn new(boot: u64, slots: u32) -> Self {
        let slot_tokens = bounded(slots as usize);
        for _ in 0..slots {
            let _never_full = slot_tokens.0.try_send(());
        }
        Self {
            boot,
            started: Instant::now(),
            has_exited: AtomicBool::new(false),
            scope: TaskScope::new(),
            lease: Mutex::new(HeldLease::default()),
            running: Mutex::new(IndexMap::new()),
            next_run_number: AtomicU64::new(1),
            waiting: AtomicU32::new(0),
            slot_tokens,
            connections: Mutex::new(IndexMap::new()),
            next_connection: AtomicU64::new(1),
            silent_before: AtomicU64::new(0),
            previous_response: Mutex::new(None),
        }
    }

    /// Returns the time of the upstream's own monotonic clock, in microseconds.
    pub fn clock_us(&self) -> u64 {
        self.started.elapsed().as_micros() as u64 + 1_000_000
    }

    pub fn has_exited(&self) -> bool {
        self.has_exited.load(Ordering::SeqCst)
    }

    /// Closes all connections, as the end of a process does.
    pub fn close_connections(&self) {
        for (_, stream) in self.connections.lock().drain(..) {
            // Shutdown fails if the peer has already closed the connection.
            let _closed_already = stream.shutdown(Shutdown::Both);
        }
    }

    fn clock_to_instant(&self, clock_us: u64) -> Instant {
        self.started + Duration::from_micros(clock_us.saturating_sub(1_000_000))
    }
}

impl FakeUpstream {
    /// Starts an upstream on a free loopback port.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub async fn start(setup: UpstreamSetup, run_log: RunLog) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?.to_string();
        let state = Arc::new(UpstreamState {
            setup,
            run_log,
            faults: Mutex::new(UpstreamFaults::default()),
            address,
            process: Mutex::new(None),
            last_boot: AtomicU64::new(0),
            exit_count: AtomicU64::new(0),
        });
        let upstream = Self { state };
        upstream.start_process(listener);
        Ok(upstream)
    }

    /// Returns the configuration.
    pub fn setup(&self) -> &UpstreamSetup {
        &self.state.setup
    }

    /// Returns the listen address as `ip:port`.
    pub fn address(&self) -> &str {
        &self.state.address
    }

    /// Returns how many times the process has ended.
    pub fn exit_count(&self) -> u64 {
        self.state.exit_count.load(Ordering::SeqCst)
    }

    /// Returns the current faults.
    pub fn faults(&self) -> UpstreamFaults {
        *self.state.faults.lock()
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: UpstreamFaults) {
        *self.state.faults.lock() = faults;
    }

    /// Freezes the upstream or lets it continue.
    pub fn set_frozen(&self, is_frozen: bool) {
        self.state.faults.lock().is_frozen = is_frozen;
    }

    /// Stops responses on all current connections; new connections work.
    pub fn silence_connections(&self) {
        if let Some(process) = self.state.current_process() {
            let next = process.next_connection.load(Ordering::SeqCst);
            process.silent_before.store(next, Ordering::SeqCst);
        }
    }

    /// Ends the process at once; running requests are lost.
    pub fn kill(&self) {
        self.state.kill();
    }

    /// Ends the process if it runs and starts a new one on the same address.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound after several attempts.
    pub async fn restart(&self) -> io::Result<()> {
        const MAX_RETRIES: u32 = 25;
        self.kill();
        self.state.faults.lock().is_frozen = false;
        let mut retries = 0;
        // The address stays in use until the task of the old listener has closed it.
        let listener = loop {
            match TcpListener::bind(self.address()).await {
                Ok(listener) => break listener,
                Err(error) if retries >= MAX_RETRIES => return Err(error),
                Err(_) => async_std::task::sleep(THAW_POLL_INTERVAL).await,
            }
            retries += 1;
        };
        self.start_process(listener);
        Ok(())
    }

    /// Returns the number of open connections; zero if the process has ended.
    pub fn connections(&self) -> usize {
        let process = self.state.current_process();
        process.map_or(0, |process| process.connections.lock().len())
    }

    /// Returns the number of running requests; zero if the process has ended.
    pub fn running(&self) -> usize {
        let process = self.state.current_process();
        process.map_or(0, |process| process.running.lock().len())
    }

    fn start_process(&self, listener: TcpListener) {
        let boot = self.state.last_boot.fetch_add(1, Ordering::SeqCst) + 1;
        let process = Arc::new(UpstreamProcess::new(boot, self.state.setup.slots));
        *self.state.process.lock() = Some(Arc::clone(&process));
        async_std::task::spawn(serve_listener(Arc::clone(&self.state), process, listener));
    }
}

impl UpstreamState {
    pub fn current_process(&self) -> Option<Arc<UpstreamProcess>> {
        self.process.lock().clone()
    }

    pub fn kill(&self) {
        let Some(process) = self.process.lock().take() else {
            return;
        };
        self.exit_count.fetch_add(1, Ordering::SeqCst);
        process.has_exited.store(true, Ordering::SeqCst);
        process.scope.close();
        self.run_log.remove_ownership(&self.setup.id);
    }

    /// Waits while the upstream is frozen.
    pub async fn wait_thawed(&self) {
        while self.faults.lock().is_frozen {
            async_std::task::sleep(THAW_POLL_INTERVAL).await;
        }
    }

    /// Applies a lease request and returns the reply to it.
    pub fn apply_lease_request(
        &self,
        process: &UpstreamProcess,
        request: &LeaseRequest,
    ) -> Result<LeaseReply, LeaseRefusal> {
        let mut lease = process.lease.lock();
        lease.accept(process.boot, request)?;
        self.record_ownership(process, &lease);
        let running = process.running.lock();
        let mut busy: Vec<ShardId> = running
            .values()
            .filter_map(|request| request.shard)
            .collect();
        busy.sort_unstable();
        busy.dedup();
        Ok(LeaseReply {
            boot: process.boot,
            clock_us: process.clock_us(),
            lease_until_us: lease.until_us(),
            held_tag: lease.tag(),
            busy,
            running: running.len() as u32,
        })
    }

    fn record_ownership(&self, process: &UpstreamProcess, lease: &HeldLease) {
        let (service, id) = (&self.setup.service, &self.setup.id);
        // A request that still runs keeps its shard owned even after the grant ended.
        let running = process.running.lock();
        let is_running = |shard| running.values().any(|request| request.shard == Some(shard));
        self.run_log
            .retain_ownership(service, id, |shard| lease.holds(shard) || is_running(shard));
        let Some(until_us) = lease.until_us() else {
            return;
        };
        let until = process.clock_to_instant(until_us);
        self.run_log
            .record_ownership(service, id, lease.shards(), until);
    }

    /// Checks whether a client request may run now.
    pub fn check_request(
        &self,
        process: &UpstreamProcess,
        epoch: Epoch,
        shard: Option<(ShardId, Epoch)>,
    ) -> Result<(), LeaseRefusal> {
        if !self.setup.checks_grants {
            return Ok(());
        }
        process.lease.lock().check(process.clock_us(), epoch, shard)
    }
}
