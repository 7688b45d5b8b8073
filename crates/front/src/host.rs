//! Start, reload and stop of a front host.

use crate::adapter::{
    FrontBounds, FrontSettings, LoadedPlatform, SharedBounds, UserPlatform, is_strong,
};
use crate::body_memory::BodyMemory;
use crate::budgets::RetryBudgets;
use crate::clients::ClientServer;
use crate::cold_budget::ColdControl;
use crate::counted_store::CountedStore;
use crate::dispatch::{DispatchState, Dispatcher};
use crate::exchange::Exchanger;
use crate::follower::{TableFollower, poll_owners};
use crate::grant_client::GrantClient;
use crate::leader::{LeaderContext, LeaderLoop};
use crate::metrics::FrontMetrics;
use crate::pages::{PageSource, serve_pages};
use crate::peers::PeerRegistry;
use crate::pool::ConnectionPool;
use crate::random::RandomSource;
use crate::rank_shares::RankShares;
use crate::relay_client::RelayClient;
use crate::relay_server::{RelayServer, max_in_flight};
use crate::replica::{FollowedTable, StoreReplica};
use crate::reports::ReportChannel;
use crate::send_budget::SendBudget;
use crate::stop_limit::StopLimit;
use crate::view::SharedView;
use arc_swap::ArcSwap;
use async_std::net::{TcpListener, UdpSocket};
use fleet::FleetTiming;
use grant::GrantTiming;
use indexmap::IndexMap;
use kernel::{BootClock, Clock, TaskScope};
use log::info;
use parking_lot::Mutex;
use place::{MoveTracker, UpstreamSelector};
use relay::{RelayAdmission, RelayMode, program_version};
use retry::QuarantineList;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Weak};
use std::time::{Duration, Instant};
use store::RowStore;

/// Fraction of the host's memory that the bodies of all requests together may take. The
/// rest is for answers, connections, and what the allocator keeps of freed memory.
const REQUEST_FRACTION: u64 = 2;
/// Fraction of the host's memory that all answers together may take.
const TOTAL_ANSWER_FRACTION: u64 = 16;
/// Fraction of the host's memory that one answer may take. An upstream in trouble may
/// send a body without end.
const ANSWER_FRACTION: u64 = 32;
/// Time for which a stopping host still accepts new requests. The load balancer checks
/// every second and removes a host after two failed checks.
const BALANCER_NOTICE_DURATION: Duration = Duration::from_millis(2_800);
/// Fraction of the time until the process is killed within which a stop must end.
const STOP_FRACTION: f64 = 0.9;
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time for the last answers to leave the machine, and for the requests of connections
/// that were just accepted to arrive.
const LINGER_DURATION: Duration = Duration::from_millis(60);
/// Time that a stop keeps for its last connections after it has closed its listener.
const MAX_CLOSE_DURATION: Duration = Duration::from_millis(240);
const LISTENER_POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Interval at which expired upstreams and connections are removed.
const SWEEP_INTERVAL: Duration = Duration::from_millis(200);
/// Maximum number of upstreams that a host probes in one sweep: 20 connections per
/// second, a hundredth of a small host's processor.
const MAX_SWEEP_PROBES: usize = 4;
/// Time for which a request that may have crashed upstreams stays suspect.
const SUSPECT_DURATION: Duration = Duration::from_mins(2);
/// Maximum fraction of the drain bound for which a missing upstream stays in use.
const MISSING_GRACE_FRACTION: f64 = 0.5;

/// The reason why a host could not start.
#[derive(Debug)]
pub enum StartFailure {
    /// An address can't be bound.
    Listen {
        /// The address.
        address: SocketAddr,
        /// The error of the operating system.
        error: io::Error,
    },
    /// A metric could not be registered.
    Metrics(prometheus::Error),
}

impl fmt::Display for StartFailure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Listen { address, error } => write!(f, "can't listen on {address}: {error}"),
            Self::Metrics(error) => write!(f, "can't register metrics: {error}"),
        }
    }
}

impl std::error::Error for StartFailure {}

/// Options of a host that are no settings of the platform.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FrontOptions {
    /// Whether requests are admitted by shares of ranks when a service is short.
    pub rank_shares: bool,
    /// Whether the host relays requests, at the port next to the internal one.
    pub relay: RelayMode,
}

/// A running front host.
#[derive(Clone, Debug)]
pub struct FrontHost {
    clients: ClientServer,
    settings: FrontSettings,
    bounds: SharedBounds,
    replica: Arc<StoreReplica>,
    dispatcher: Dispatcher,
    is_stopping: Arc<AtomicBool>,
    scope: TaskScope,
    /// The listener for clients, for as long as connections are accepted.
    listener: Weak<TcpListener>,
    relay: Option<RelayServer>,
}

#[derive(Debug)]
struct ReadyPage {
    replica: Arc<StoreReplica>,
    is_stopping: Arc<AtomicBool>,
}

impl PageSource for ReadyPage {
    fn page(&self, _path: &str) -> (u16, String) {
        let is_ready =
            self.replica.has_sheet_and_entries() && !self.is_stopping.load(Ordering::SeqCst);
        (if is_ready { 200 } else { 503 }, String::new())
    }
}

#[derive(Debug)]
struct MetricsPage {
    metrics: FrontMetrics,
}

impl PageSource for MetricsPage {
    fn page(&self, path: &str) -> (u16, String) {
        if path != "/metrics" {
            return (404, String::new());
        }
        (200, self.metrics.text())
    }
}

/// The host's bound sockets.
struct BoundSockets {
    clients: TcpListener,
    ready: TcpListener,
    metrics: TcpListener,
    reports: UdpSocket,
}

impl BoundSockets {
    async fn bind(settings: &FrontSettings) -> Result<Self, StartFailure> {
        let reports = UdpSocket::bind(settings.internal).await;
        Ok(Self {
            clients: listen(settings.clients).await?,
            ready: listen(settings.ready).await?,
            metrics: listen(settings.internal).await?,
            reports: reports.map_err(|error| StartFailure::Listen {
                address: settings.internal,
                error,
            })?,
        })
    }
}

/// State that the host's components share.
struct HostContext {
    settings: FrontSettings,
    platform: Arc<dyn UserPlatform>,
    store: Arc<dyn RowStore>,
    clock: Arc<dyn Clock>,
    metrics: FrontMetrics,
    scope: TaskScope,
    is_stopping: Arc<AtomicBool>,
    view: Arc<SharedView>,
    peers: Arc<PeerRegistry>,
    bounds: SharedBounds,
    random: Arc<RandomSource>,
    cold: Arc<ColdControl>,
}

impl HostContext {
    fn new(loaded: LoadedPlatform) -> Result<Self, StartFailure> {
        let clock: Arc<dyn Clock> = Arc::new(BootClock);
        let metrics = FrontMetrics::register().map_err(StartFailure::Metrics)?;
        let random = Arc::new(RandomSource::new(&loaded.settings, kernel::wall_clock_ms()));
        let bounds: SharedBounds = Arc::new(ArcSwap::from_pointee(loaded.settings.bounds));
        let store_calls = metrics.store_calls.clone();
        let view = Arc::new(SharedView::default());
        let peers = Arc::new(PeerRegistry::new(Arc::clone(&clock), Arc::clone(&random)));
        let cold = ColdControl::new(
            Arc::clone(&clock),
            Arc::clone(&view),
            Arc::clone(&bounds),
            Arc::clone(&peers),
            metrics.clone(),
        );
        Ok(Self {
            settings: loaded.settings,
            store: Arc::new(CountedStore::new(loaded.platform.store(), store_calls)),
            platform: loaded.platform,
            metrics,
            scope: TaskScope::new(),
            is_stopping: Arc::new(AtomicBool::new(false)),
            view,
            peers,
            bounds,
            random,
            clock,
            cold: Arc::new(cold),
        })
    }

    fn build_replica(&self) -> Arc<StoreReplica> {
        let timing = fleet_timing(&self.settings.bounds);
        Arc::new(StoreReplica::new(
            Arc::clone(&self.platform),
            Arc::clone(&self.clock),
            Arc::clone(&self.view),
            self.metrics.clone(),
            timing,
            Arc::clone(&self.cold),
        ))
    }

    fn memory_bytes(&self) -> u64 {
        u64::from(self.settings.memory_mb) << 20
    }

    fn build_dispatcher(&self, options: FrontOptions) -> Result<Dispatcher, StartFailure> {
        let memory_bytes = self.memory_bytes();
        let rank_shares = if options.rank_shares {
            let (now, seed) = (self.clock.now(), self.random.next_u64());
            let rank_shares = RankShares::new(now, seed, &self.metrics);
            Some(rank_shares.map_err(StartFailure::Metrics)?)
        } else {
            None
        };
        Ok(Dispatcher {
            state: Arc::new(DispatchState {
                view: Arc::clone(&self.view),
                selector: Mutex::new(UpstreamSelector::new(self.random.next_u64())),
                moves: Mutex::new(MoveTracker::default()),
                exchanger: Exchanger {
                    pool: ConnectionPool::default(),
                    clock: Arc::clone(&self.clock),
                    names: *self.platform.headers(),
                    memory: BodyMemory::new(memory_bytes / TOTAL_ANSWER_FRACTION),
                    max_answer: memory_bytes / ANSWER_FRACTION,
                    metrics: self.metrics.clone(),
                },
                budgets: RetryBudgets::new(Arc::clone(&self.bounds)),
                quarantine: Mutex::new(QuarantineList::new(SUSPECT_DURATION)),
                key_counts: Mutex::new(IndexMap::new()),
                clock: Arc::clone(&self.clock),
                domain: self.settings.domain.clone(),
                bounds: Arc::clone(&self.bounds),
                metrics: self.metrics.clone(),
                rank_loads: Mutex::default(),
                cold: Arc::clone(&self.cold),
                relay: self.build_relay_client(options.relay),
                rank_shares,
                stop_limit: StopLimit::default(),
            }),
        })
    }

    fn build_relay_client(&self, mode: RelayMode) -> Option<RelayClient> {
        let settings = &self.settings;
        if mode == RelayMode::Off {
            return None;
        }
        Some(RelayClient {
            mode,
            host: settings.name.clone(),
            port: relay_address(settings).port(),
            program: program_version(env!("CARGO_PKG_VERSION")),
            peers: Arc::clone(&self.peers),
            admission: RelayAdmission::new(max_in_flight(self.memory_bytes())),
            links: ConnectionPool::default(),
            avoided: Mutex::default(),
            rates: Mutex::default(),
        })
    }

    /// Starts to relay requests of other hosts, if this host does.
    async fn spawn_relay(
        &self,
        dispatcher: &Dispatcher,
        memory: &BodyMemory,
    ) -> Result<Option<RelayServer>, StartFailure> {
        let Some(server) = RelayServer::new(&dispatcher.state, memory) else {
            return Ok(None);
        };
        let listener = Arc::new(listen(relay_address(&self.settings)).await?);
        let (accepting, connections) = (server.clone(), self.scope.clone());
        self.scope.spawn_restarting("relay", move || {
            accepting
                .clone()
                .accept(Arc::clone(&listener), connections.clone())
        });
        Ok(Some(server))
    }

    fn spawn_pages(&self, ready: TcpListener, metrics: TcpListener, replica: &Arc<StoreReplica>) {
        let ready_page = Arc::new(ReadyPage {
            replica: Arc::clone(replica),
            is_stopping: Arc::clone(&self.is_stopping),
        });
        let metrics_page = Arc::new(MetricsPage {
            metrics: self.metrics.clone(),
        });
        let scope = &self.scope;
        spawn_pages(scope, "ready", ready, ready_page);
        spawn_pages(scope, "metrics", metrics, metrics_page);
    }

    fn spawn_followers(&self, replica: &Arc<StoreReplica>) {
        let store = Arc::clone(&self.store);
        let tables = self.platform.tables().clone();
        let followed_tables = [
            (FollowedTable::Sheet, tables.sheet),
            (FollowedTable::Entries, tables.entries),
        ];
        for (table, name) in followed_tables {
            let follower = Arc::new(TableFollower {
                replica: Arc::clone(replica),
                store: Arc::clone(&store),
                peers: Arc::clone(&self.peers),
                clock: Arc::clone(&self.clock),
                random: Arc::clone(&self.random),
                bounds: Arc::clone(&self.bounds),
                is_strong: is_strong(self.settings.strength()),
                table,
                name,
            });
            self.scope
                .spawn_restarting("follower", move || Arc::clone(&follower).run());
        }
        let (replica, peers) = (Arc::clone(replica), Arc::clone(&self.peers));
        let random = Arc::clone(&self.random);
        self.scope.spawn_restarting("owners", move || {
            poll_owners(
                Arc::clone(&replica),
                Arc::clone(&store),
                Arc::clone(&peers),
                Arc::clone(&random),
                tables.owners.clone(),
            )
        });
    }

    fn spawn_leader(
        &self,
        replica: Arc<StoreReplica>,
        dispatcher: Dispatcher,
        report_channel: ReportChannel,
    ) {
        let grant_client = GrantClient {
            platform: Arc::clone(&self.platform),
            clock: Arc::clone(&self.clock),
            pool: Arc::new(ConnectionPool::default()),
            timing: GrantTiming::with_max_grant(self.settings.bounds.longest_hold),
        };
        let context = LeaderContext {
            store: Arc::clone(&self.store),
            platform: Arc::clone(&self.platform),
            replica,
            dispatcher,
            grant_client,
            peers: Arc::clone(&self.peers),
            report_channel,
            clock: Arc::clone(&self.clock),
            settings: self.settings.clone(),
            metrics: self.metrics.clone(),
            scope: self.scope.clone(),
            is_stopping: Arc::clone(&self.is_stopping),
            random: Arc::clone(&self.random),
            bounds: Arc::clone(&self.bounds),
        };
        self.scope
            .spawn_restarting("leader", move || LeaderLoop::new(context.clone()).run());
    }
}

impl FrontHost {
    /// Starts a host, which serves until it is stopped.
    ///
    /// # Errors
    ///
    /// Fails when an address can't be bound or a metric can't be registered.
    pub async fn start(loaded: LoadedPlatform) -> Result<Self, StartFailure> {
        Self::start_with(loaded, FrontOptions::default()).await
    }

    /// Starts a host with options, which serves until it is stopped.
    ///
    /// # Errors
    ///
    /// Fails when an address can't be bound or a metric can't be registered.
    pub async fn start_with(
        loaded: LoadedPlatform,
        options: FrontOptions,
    ) -> Result<Self, StartFailure> {
        let sockets = BoundSockets::bind(&loaded.settings).await?;
        let context = HostContext::new(loaded)?;
        let replica = context.build_replica();
        let dispatcher = context.build_dispatcher(options)?;
        let request_memory = BodyMemory::new(context.memory_bytes() / REQUEST_FRACTION);
        let relay = context.spawn_relay(&dispatcher, &request_memory).await?;
        let clients = ClientServer::new(dispatcher.clone(), request_memory);
        let scope = &context.scope;
        let (listener, server) = (Arc::new(sockets.clients), clients.clone());
        let open_listener = Arc::downgrade(&listener);
        let connections = scope.clone();
        scope.spawn_restarting("clients", move || {
            server
                .clone()
                .accept(Arc::clone(&listener), connections.clone())
        });
        context.spawn_pages(sockets.ready, sockets.metrics, &replica);
        context.spawn_followers(&replica);
        let report_channel = ReportChannel {
            socket: Arc::new(sockets.reports),
            peers: Arc::clone(&context.peers),
            replica: Arc::clone(&replica),
            dispatcher: dispatcher.clone(),
            host: context.settings.name.clone(),
            strength: context.settings.strength(),
            budget: Arc::new(SendBudget::new(context.settings.link_mbps)),
        };
        let channel = report_channel.clone();
        scope.spawn_restarting("reports", move || channel.clone().send_reports());
        let channel = report_channel.clone();
        scope.spawn_restarting("messages", move || channel.clone().receive());
        let (host_replica, host_dispatcher) = (Arc::clone(&replica), dispatcher.clone());
        let (swept_replica, swept_dispatcher) = (Arc::clone(&replica), dispatcher.clone());
        let probes = scope.clone();
        scope.spawn_restarting("sweep", move || {
            let replica = Arc::clone(&swept_replica);
            sweep(replica, swept_dispatcher.clone(), probes.clone())
        });
        context.spawn_leader(replica, dispatcher, report_channel);
        let settings = context.settings;
        info!(
            target: "host",
            "host={} state=started domain={} clients={} ready={} internal={}",
            settings.name, settings.domain, settings.clients, settings.ready, settings.internal,
        );
        Ok(Self {
            clients,
            settings,
            bounds: context.bounds,
            replica: host_replica,
            dispatcher: host_dispatcher,
            is_stopping: context.is_stopping,
            scope: context.scope,
            listener: open_listener,
            relay,
        })
    }

    /// Returns the number of connections that the host has accepted from clients.
    pub fn accepted_connections(&self) -> u64 {
        self.clients.accepted()
    }

    /// Applies changed settings, and returns the names of those that take effect only
    /// after a restart.
    ///
    /// The maximum duration of a grant takes effect when the host next acquires the
    /// lease.
    pub fn reload(&self, updated: &FrontSettings) -> Vec<&'static str> {
        self.bounds.store(Arc::new(updated.bounds));
        self.dispatcher.state.budgets.reset();
        self.replica.set_timing(fleet_timing(&updated.bounds));
        let current = &self.settings;
        let changes = [
            ("name", updated.name != current.name),
            ("domain", updated.domain != current.domain),
            ("clients", updated.clients != current.clients),
            ("ready", updated.ready != current.ready),
            ("internal", updated.internal != current.internal),
            ("processor", updated.millicores != current.millicores),
            ("memory", updated.memory_mb != current.memory_mb),
            ("link", updated.link_mbps != current.link_mbps),
        ];
        let after_restart = changes.into_iter().filter(|(_, is_changed)| *is_changed);
        after_restart.map(|(name, _)| name).collect()
    }

    /// Stops the host without interrupting requests.
    ///
    /// The host reports at once that it is not ready, keeps serving until the load
    /// balancer has noticed, and returns when the requests in flight have been
    /// answered.
    pub async fn stop(&self) {
        info!(target: "host", "host={} state=stopping", self.settings.name);
        self.is_stopping.store(true, Ordering::SeqCst);
        self.clients.stop();
        if let Some(relay) = &self.relay {
            relay.stop();
        }
        let max_duration = self.bounds.load().stop.mul_f64(STOP_FRACTION);
        let close_duration = MAX_CLOSE_DURATION.min(max_duration / 4);
        let answer_duration = max_duration.saturating_sub(close_duration);
        let state = &self.dispatcher.state;
        state.stop_limit.begin(state.clock.now() + answer_duration);
        let notice_duration = BALANCER_NOTICE_DURATION.min(max_duration / 2);
        let started_at = Instant::now();
        let stop_at = started_at + max_duration;
        async_std::task::sleep(notice_duration).await;
        self.clients.close();
        self.wait_until_answered(started_at + answer_duration).await;
        self.clients.stop_accepting();
        while self.listener.strong_count() > 0 && Instant::now() < stop_at {
            async_std::task::sleep(LISTENER_POLL_INTERVAL).await;
        }
        loop {
            self.wait_until_answered(stop_at).await;
            // The requests of the last connections may still be on their way, and the last
            // answers have to leave the machine.
            let begun = self.begun();
            async_std::task::sleep(LINGER_DURATION).await;
            let is_quiet = self.begun() == begun;
            if (is_quiet && self.try_end()) || Instant::now() >= stop_at {
                break;
            }
        }
        self.scope.close();
        info!(
            target: "host",
            "host={} state=stopped in_flight={}",
            self.settings.name, self.in_flight(),
        );
    }

    /// Returns the number of requests of clients and of other hosts in flight.
    fn in_flight(&self) -> u64 {
        let relayed = self.relay.as_ref().map_or(0, RelayServer::in_flight);
        self.clients.in_flight() + relayed
    }

    /// Returns the number of requests of clients and of other hosts begun so far.
    fn begun(&self) -> u64 {
        let relayed = self.relay.as_ref().map_or(0, RelayServer::begun);
        self.clients.begun() + relayed
    }

    /// Lets no further request be read, of clients or of other hosts; returns `false`, and
    /// lets them be read again, if one is in flight.
    fn try_end(&self) -> bool {
        let Some(relay) = &self.relay else {
            return self.clients.try_end();
        };
        if !relay.try_end() {
            return false;
        }
        if self.clients.try_end() {
            return true;
        }
        relay.undo_end();
        false
    }

    /// Waits until no request is in flight, or until `stop_at`.
    async fn wait_until_answered(&self, stop_at: Instant) {
        while self.in_flight() > 0 && Instant::now() < stop_at {
            async_std::task::sleep(STOP_POLL_INTERVAL).await;
        }
    }
}

fn spawn_pages(
    scope: &TaskScope,
    name: &'static str,
    listener: TcpListener,
    source: Arc<dyn PageSource>,
) {
    let listener = Arc::new(listener);
    let connections = scope.clone();
    scope.spawn_restarting(name, move || {
        serve_pages(
            Arc::clone(&listener),
            Arc::clone(&source),
            connections.clone(),
        )
    });
}

/// Returns for how long upstreams without entries stay in use.
fn fleet_timing(bounds: &FrontBounds) -> FleetTiming {
    let defaults = FleetTiming::default();
    FleetTiming {
        missing_grace: defaults
            .missing_grace
            .min(bounds.drain.mul_f64(MISSING_GRACE_FRACTION)),
        ..defaults
    }
}

/// Returns the address at which a host relays requests.
fn relay_address(settings: &FrontSettings) -> SocketAddr {
    let port = settings.internal.port().saturating_add(1);
    SocketAddr::new(settings.internal.ip(), port)
}

async fn listen(address: SocketAddr) -> Result<TcpListener, StartFailure> {
    TcpListener::bind(address)
        .await
        .map_err(|error| StartFailure::Listen { address, error })
}

/// Removes expired state and probes unreachable upstreams to which requests would be
/// sent, for as long as the process runs.
async fn sweep(replica: Arc<StoreReplica>, dispatcher: Dispatcher, scope: TaskScope) {
    loop {
        async_std::task::sleep(SWEEP_INTERVAL).await;
        let state = &dispatcher.state;
        let now = state.clock.now();
        let has_expired = replica.remove_expired(now);
        let view = state.view.load();
        state
            .exchanger
            .pool
            .prune(now, |id| view.upstreams.contains_key(id));
        if let Some(relay) = &state.relay {
            relay.prune(now, |id| view.upstreams.contains_key(id));
        }
        state.moves.lock().prune(now);
        state.cold.sweep(now);
        for _ in 0..MAX_SWEEP_PROBES {
            let Some(check) = state.cold.next_health_check(now) else {
                break;
            };
            scope.spawn(dispatcher.clone().check_health(check));
        }
        let probes = state.selector.lock().drain_probes(now, MAX_SWEEP_PROBES);
        for id in probes {
            if let Some(known) = view.upstreams.get(&id) {
                scope.spawn(dispatcher.clone().probe(known.entry.clone()));
            }
        }
        if has_expired {
            state
                .selector
                .lock()
                .retain(|id| view.upstreams.contains_key(id));
        }
    }
}
