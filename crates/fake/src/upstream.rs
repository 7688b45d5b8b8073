//! One simulated upstream instance.

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

const THAW_POLL: Duration = Duration::from_millis(3);

/// What an upstream is.
#[derive(Clone, Debug)]
pub struct UpstreamSetup {
    /// Its id.
    pub id: UpstreamId,
    /// The service that it runs.
    pub service: ServiceName,
    /// Its failure domain.
    pub domain: DomainName,
    /// Requests that it runs at a time.
    pub slots: u32,
    /// Connections that it accepts.
    pub connections: u32,
    /// Requests that it queues beyond its slots before it sheds.
    pub queue: u32,
    /// Whether it checks grants before it runs work.
    pub checks_grants: bool,
    /// Extra time per request just after a start, in milliseconds.
    pub cold_ms: u32,
    /// For how long after a start requests take extra time, in milliseconds.
    pub cold_span_ms: u32,
}

/// A simulated upstream instance.
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
    life: Mutex<Option<Arc<UpstreamLife>>>,
    boots: AtomicU64,
    deaths: AtomicU64,
}

/// One run of the instance's process.
#[derive(Debug)]
pub(crate) struct UpstreamLife {
    pub boot: u64,
    pub started: Instant,
    pub is_dead: AtomicBool,
    pub scope: TaskScope,
    pub lease: Mutex<HeldLease>,
    pub running: Mutex<IndexMap<u64, RunningWork>>,
    pub next_work: AtomicU64,
    pub waiting: AtomicU32,
    pub slot_tokens: (Sender<()>, Receiver<()>),
    pub connections: Mutex<IndexMap<u64, TcpStream>>,
    pub next_connection: AtomicU64,
    /// Connections with a smaller number answer nothing any more.
    pub silent_below: AtomicU64,
    pub last_answer: Mutex<Option<(String, Vec<u8>)>>,
}

#[derive(Clone, Debug)]
pub(crate) struct RunningWork {
    pub request: String,
    pub shard: Option<ShardId>,
    pub is_cancelled: Arc<AtomicBool>,
}

impl UpstreamLife {
    fn new(boot: u64, slots: u32) -> Self {
        let slot_tokens = bounded(slots as usize);
        for _ in 0..slots {
            let _fits = slot_tokens.0.try_send(());
        }
        Self {
            boot,
            started: Instant::now(),
            is_dead: AtomicBool::new(false),
            scope: TaskScope::new(),
            lease: Mutex::new(HeldLease::default()),
            running: Mutex::new(IndexMap::new()),
            next_work: AtomicU64::new(1),
            waiting: AtomicU32::new(0),
            slot_tokens,
            connections: Mutex::new(IndexMap::new()),
            next_connection: AtomicU64::new(1),
            silent_below: AtomicU64::new(0),
            last_answer: Mutex::new(None),
        }
    }

    /// Reads the instance's own monotonic clock, in microseconds.
    pub fn clock_us(&self) -> u64 {
        self.started.elapsed().as_micros() as u64 + 1_000_000
    }

    pub fn is_dead(&self) -> bool {
        self.is_dead.load(Ordering::SeqCst)
    }

    /// Closes all connections, as the end of the process does.
    pub fn close_connections(&self) {
        for (_, stream) in self.connections.lock().drain(..) {
            // The peer may have closed the connection before.
            let _closed_already = stream.shutdown(Shutdown::Both);
        }
    }

    fn reading_to_instant(&self, clock_us: u64) -> Instant {
        self.started + Duration::from_micros(clock_us.saturating_sub(1_000_000))
    }
}

impl FakeUpstream {
    /// Starts an instance on a free port of loopback.
    ///
    /// # Errors
    ///
    /// Fails when no port can be had.
    pub async fn start(setup: UpstreamSetup, run_log: RunLog) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?.to_string();
        let state = Arc::new(UpstreamState {
            setup,
            run_log,
            faults: Mutex::new(UpstreamFaults::default()),
            address,
            life: Mutex::new(None),
            boots: AtomicU64::new(0),
            deaths: AtomicU64::new(0),
        });
        let upstream = Self { state };
        upstream.begin_life(listener);
        Ok(upstream)
    }

    /// Returns what it is.
    pub fn setup(&self) -> &UpstreamSetup {
        &self.state.setup
    }

    /// Returns `ip:port`.
    pub fn address(&self) -> &str {
        &self.state.address
    }

    /// Returns how often it has died.
    pub fn deaths(&self) -> u64 {
        self.state.deaths.load(Ordering::SeqCst)
    }

    /// Returns the present faults.
    pub fn faults(&self) -> UpstreamFaults {
        *self.state.faults.lock()
    }

    /// Sets the faults.
    pub fn set_faults(&self, faults: UpstreamFaults) {
        *self.state.faults.lock() = faults;
    }

    /// Freezes or thaws it.
    pub fn set_frozen(&self, is_frozen: bool) {
        self.state.faults.lock().is_frozen = is_frozen;
    }

    /// Makes the present connections answer nothing any more, while new ones work.
    pub fn silence_connections(&self) {
        if let Some(life) = self.state.present_life() {
            let next = life.next_connection.load(Ordering::SeqCst);
            life.silent_below.store(next, Ordering::SeqCst);
        }
    }

    /// Ends the process at once: running work is lost.
    pub fn kill(&self) {
        self.state.kill();
    }

    /// Starts the process again on the same address.
    ///
    /// # Errors
    ///
    /// Fails when the address can't be bound.
    pub async fn restart(&self) -> io::Result<()> {
        const TRIES: u32 = 25;
        self.kill();
        self.state.faults.lock().is_frozen = false;
        let mut tries = 0;
        // The old listener closes when its task next runs.
        let listener = loop {
            match TcpListener::bind(self.address()).await {
                Ok(listener) => break listener,
                Err(error) if tries >= TRIES => return Err(error),
                Err(_) => async_std::task::sleep(THAW_POLL).await,
            }
            tries += 1;
        };
        self.begin_life(listener);
        Ok(())
    }

    /// Returns the number of open connections.
    pub fn connections(&self) -> usize {
        let life = self.state.present_life();
        life.map_or(0, |life| life.connections.lock().len())
    }

    /// Returns the number of requests running.
    pub fn running(&self) -> usize {
        let life = self.state.present_life();
        life.map_or(0, |life| life.running.lock().len())
    }

    fn begin_life(&self, listener: TcpListener) {
        let boot = self.state.boots.fetch_add(1, Ordering::SeqCst) + 1;
        let life = Arc::new(UpstreamLife::new(boot, self.state.setup.slots));
        *self.state.life.lock() = Some(Arc::clone(&life));
        async_std::task::spawn(serve_listener(Arc::clone(&self.state), life, listener));
    }
}

impl UpstreamState {
    pub fn present_life(&self) -> Option<Arc<UpstreamLife>> {
        self.life.lock().clone()
    }

    pub fn kill(&self) {
        let Some(life) = self.life.lock().take() else {
            return;
        };
        self.deaths.fetch_add(1, Ordering::SeqCst);
        life.is_dead.store(true, Ordering::SeqCst);
        life.scope.close();
        self.run_log.forget_ownership(&self.setup.id);
    }

    /// Waits while the instance is frozen.
    pub async fn wait_thawed(&self) {
        while self.faults.lock().is_frozen {
            async_std::task::sleep(THAW_POLL).await;
        }
    }

    /// Takes a lease order in and answers it.
    pub fn request_lease(
        &self,
        life: &UpstreamLife,
        order: &LeaseRequest,
    ) -> Result<LeaseReply, LeaseRefusal> {
        let mut lease = life.lease.lock();
        lease.accept(life.boot, order)?;
        self.record_ownership(life, &lease);
        let running = life.running.lock();
        let mut busy: Vec<ShardId> = running.values().filter_map(|work| work.shard).collect();
        busy.sort_unstable();
        busy.dedup();
        Ok(LeaseReply {
            boot: life.boot,
            clock_us: life.clock_us(),
            lease_until_us: lease.until_us(),
            held_tag: lease.tag(),
            busy,
            running: running.len() as u32,
        })
    }

    fn record_ownership(&self, life: &UpstreamLife, lease: &HeldLease) {
        let (service, id) = (&self.setup.service, &self.setup.id);
        // Work that still runs keeps its shard even when the grant is gone.
        let running = life.running.lock();
        let is_running = |shard| running.values().any(|work| work.shard == Some(shard));
        self.run_log
            .retain_ownership(service, id, |shard| lease.holds(shard) || is_running(shard));
        let Some(until_us) = lease.until_us() else {
            return;
        };
        let until = life.reading_to_instant(until_us);
        self.run_log
            .record_ownership(service, id, lease.shards(), until);
    }

    /// Checks whether work may run now.
    pub fn check_work(
        &self,
        life: &UpstreamLife,
        epoch: Epoch,
        shard: Option<(ShardId, Epoch)>,
    ) -> Result<(), LeaseRefusal> {
        if !self.setup.checks_grants {
            return Ok(());
        }
        life.lease.lock().check(life.clock_us(), epoch, shard)
    }
}
