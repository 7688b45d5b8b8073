//! Start and stop of an entry host.

use crate::adapter::{BoundsCell, FrontBounds, FrontSettings, LoadedPlatform, UserPlatform};
use crate::budgets::RetryBudgets;
use crate::clients::ClientServer;
use crate::control::GrantCaller;
use crate::counted::CountedStore;
use crate::dispatch::{DispatchParts, Dispatcher};
use crate::draw::DrawSource;
use crate::exchange::Exchanger;
use crate::leader::{LeaderLoop, LeaderParts};
use crate::metrics::FrontMetrics;
use crate::peers::PeerBook;
use crate::pool::ConnectionPool;
use crate::ready::{PageSource, serve_pages};
use crate::reports::ReportLink;
use crate::view::ViewCell;
use crate::watch::{ViewKeeper, WatchedTable, follow, follow_owners};
use arc_swap::ArcSwap;
use async_std::net::{TcpListener, UdpSocket};
use fleet::FleetTiming;
use grant::GrantTiming;
use indexmap::IndexMap;
use kernel::{BootClock, Clock, TaskScope};
use log::info;
use parking_lot::Mutex;
use place::{MoveTracker, UpstreamSelector};
use retry::QuarantineList;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use store::RowStore;

/// For which a stopping host still takes new work; the balancer asks every second
/// and takes a host out after two misses.
const TURN_AWAY: Duration = Duration::from_millis(2_800);
/// Part of the time until the kill within which a stop ends.
const STOP_PART: f64 = 0.9;
const STOP_POLL: Duration = Duration::from_millis(20);
/// For the last answers to leave the machine.
const LINGER: Duration = Duration::from_millis(60);
/// How often lapsed upstreams and connections are dropped.
const SWEEP_PERIOD: Duration = Duration::from_millis(200);
/// Upstreams that a host tries to reach in one sweep; 20 connections a second at
/// most, a hundredth of a small host's processor.
const MOST_PROBES: usize = 4;
/// For which a request that ended upstreams is suspected.
const SUSPECT_HOLD: Duration = Duration::from_mins(2);
/// Largest part of the drain bound for which a missing upstream stays in use.
const MISSING_PART: f64 = 0.5;

/// A host that could not start.
#[derive(Debug)]
pub enum StartFailure {
    /// An address can't be listened on.
    Listen {
        /// The address.
        address: SocketAddr,
        /// Why.
        error: io::Error,
    },
    /// A metric could not be registered.
    Metrics(prometheus::Error),
}

impl fmt::Display for StartFailure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Listen { address, error } => write!(f, "can't listen on {address}: {error}"),
            Self::Metrics(error) => write!(f, "metrics: {error}"),
        }
    }
}

impl std::error::Error for StartFailure {}

/// A running entry host.
#[derive(Clone, Debug)]
pub struct FrontHost {
    clients: ClientServer,
    settings: FrontSettings,
    bounds: BoundsCell,
    keeper: Arc<ViewKeeper>,
    dispatcher: Dispatcher,
    is_stopping: Arc<AtomicBool>,
    scope: TaskScope,
}

#[derive(Debug)]
struct ReadyPage {
    keeper: Arc<ViewKeeper>,
    is_stopping: Arc<AtomicBool>,
}

impl PageSource for ReadyPage {
    fn page(&self, _path: &str) -> (u16, String) {
        let is_ready = self.keeper.is_complete() && !self.is_stopping.load(Ordering::SeqCst);
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

/// The host's sockets.
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

/// What the host's parts share.
struct HostParts {
    settings: FrontSettings,
    platform: Arc<dyn UserPlatform>,
    store: Arc<dyn RowStore>,
    clock: Arc<dyn Clock>,
    metrics: FrontMetrics,
    scope: TaskScope,
    is_stopping: Arc<AtomicBool>,
    view: Arc<ViewCell>,
    book: Arc<PeerBook>,
    bounds: BoundsCell,
    draw: Arc<DrawSource>,
}

impl HostParts {
    fn new(loaded: LoadedPlatform) -> Result<Self, StartFailure> {
        let clock: Arc<dyn Clock> = Arc::new(BootClock);
        let metrics = FrontMetrics::register().map_err(StartFailure::Metrics)?;
        let draw = Arc::new(DrawSource::new(&loaded.settings, kernel::wall_clock_ms()));
        let bounds = ArcSwap::from_pointee(loaded.settings.bounds);
        let calls = metrics.store_calls.clone();
        Ok(Self {
            settings: loaded.settings,
            store: Arc::new(CountedStore::new(loaded.platform.store(), calls)),
            platform: loaded.platform,
            metrics,
            scope: TaskScope::new(),
            is_stopping: Arc::new(AtomicBool::new(false)),
            view: Arc::new(ViewCell::default()),
            book: Arc::new(PeerBook::new(Arc::clone(&clock), Arc::clone(&draw))),
            bounds: Arc::new(bounds),
            draw,
            clock,
        })
    }

    fn keeper(&self) -> Arc<ViewKeeper> {
        let timing = fleet_timing(&self.settings.bounds);
        Arc::new(ViewKeeper::new(
            Arc::clone(&self.platform),
            Arc::clone(&self.clock),
            Arc::clone(&self.draw),
            Arc::clone(&self.view),
            self.metrics.clone(),
            timing,
        ))
    }

    fn dispatcher(&self) -> Dispatcher {
        Dispatcher {
            parts: Arc::new(DispatchParts {
                view: Arc::clone(&self.view),
                place: Mutex::new(UpstreamSelector::new(self.draw.number())),
                moves: Mutex::new(MoveTracker::default()),
                exchanger: Exchanger {
                    pool: ConnectionPool::default(),
                    clock: Arc::clone(&self.clock),
                    names: *self.platform.headers(),
                },
                budgets: RetryBudgets::new(Arc::clone(&self.bounds)),
                quarantine: Mutex::new(QuarantineList::new(SUSPECT_HOLD)),
                key_loads: Mutex::new(IndexMap::new()),
                clock: Arc::clone(&self.clock),
                domain: self.settings.domain.clone(),
                bounds: Arc::clone(&self.bounds),
                metrics: self.metrics.clone(),
            }),
        }
    }

    fn spawn_pages(&self, ready: TcpListener, metrics: TcpListener, keeper: &Arc<ViewKeeper>) {
        let ready_page = Arc::new(ReadyPage {
            keeper: Arc::clone(keeper),
            is_stopping: Arc::clone(&self.is_stopping),
        });
        let metrics_page = Arc::new(MetricsPage {
            metrics: self.metrics.clone(),
        });
        let scope = &self.scope;
        scope.spawn(serve_pages(ready, ready_page, scope.clone()));
        scope.spawn(serve_pages(metrics, metrics_page, scope.clone()));
    }

    fn spawn_watchers(&self, keeper: &Arc<ViewKeeper>) {
        let store = Arc::clone(&self.store);
        let tables = self.platform.tables().clone();
        let watched = [
            (WatchedTable::Sheet, tables.sheet),
            (WatchedTable::Entries, tables.entries),
        ];
        for (table, name) in watched {
            self.scope.spawn(follow(
                Arc::clone(keeper),
                Arc::clone(&store),
                Arc::clone(&self.book),
                table,
                name,
            ));
        }
        self.scope.spawn(follow_owners(
            Arc::clone(keeper),
            store,
            Arc::clone(&self.book),
            tables.owners,
        ));
    }

    fn spawn_leader(&self, keeper: Arc<ViewKeeper>, dispatcher: Dispatcher, link: ReportLink) {
        let caller = GrantCaller {
            platform: Arc::clone(&self.platform),
            clock: Arc::clone(&self.clock),
            pool: Arc::new(ConnectionPool::default()),
            timing: GrantTiming::with_max_grant(self.settings.bounds.longest_hold),
        };
        let leader = LeaderLoop::new(LeaderParts {
            store: Arc::clone(&self.store),
            platform: Arc::clone(&self.platform),
            keeper,
            dispatcher,
            caller,
            book: Arc::clone(&self.book),
            link,
            clock: Arc::clone(&self.clock),
            settings: self.settings.clone(),
            metrics: self.metrics.clone(),
            scope: self.scope.clone(),
            is_stopping: Arc::clone(&self.is_stopping),
            draw: Arc::clone(&self.draw),
            bounds: Arc::clone(&self.bounds),
        });
        self.scope.spawn(leader.run());
    }
}

impl FrontHost {
    /// Starts a host; it serves until it is stopped.
    ///
    /// # Errors
    ///
    /// Fails when an address can't be listened on.
    pub async fn start(loaded: LoadedPlatform) -> Result<Self, StartFailure> {
        let sockets = BoundSockets::bind(&loaded.settings).await?;
        let parts = HostParts::new(loaded)?;
        let keeper = parts.keeper();
        let dispatcher = parts.dispatcher();
        let clients = ClientServer::new(dispatcher.clone());
        let scope = &parts.scope;
        scope.spawn(clients.clone().accept(sockets.clients, scope.clone()));
        parts.spawn_pages(sockets.ready, sockets.metrics, &keeper);
        parts.spawn_watchers(&keeper);
        let link = ReportLink {
            socket: Arc::new(sockets.reports),
            book: Arc::clone(&parts.book),
            keeper: Arc::clone(&keeper),
            dispatcher: dispatcher.clone(),
            host: parts.settings.name.clone(),
            strength: parts.settings.strength(),
        };
        scope.spawn(link.clone().send_reports());
        scope.spawn(link.clone().receive());
        let (kept_keeper, kept_dispatcher) = (Arc::clone(&keeper), dispatcher.clone());
        scope.spawn(sweep(
            Arc::clone(&keeper),
            dispatcher.clone(),
            scope.clone(),
        ));
        parts.spawn_leader(keeper, dispatcher, link);
        let settings = parts.settings;
        info!(
            target: "host",
            "host={} state=started domain={} clients={} ready={} internal={}",
            settings.name, settings.domain, settings.clients, settings.ready, settings.internal,
        );
        Ok(Self {
            clients,
            settings,
            bounds: parts.bounds,
            keeper: kept_keeper,
            dispatcher: kept_dispatcher,
            is_stopping: parts.is_stopping,
            scope: parts.scope,
        })
    }

    /// Puts changed settings in force and returns the names of those that are in force
    /// only after a restart.
    ///
    /// The longest hold of a grant counts from the next time that the host takes the
    /// lease.
    pub fn reload(&self, fresh: &FrontSettings) -> Vec<&'static str> {
        self.bounds.store(Arc::new(fresh.bounds));
        self.dispatcher.parts.budgets.reset();
        self.keeper.set_timing(fleet_timing(&fresh.bounds));
        let present = &self.settings;
        let changes = [
            ("name", fresh.name != present.name),
            ("domain", fresh.domain != present.domain),
            ("clients", fresh.clients != present.clients),
            ("ready", fresh.ready != present.ready),
            ("internal", fresh.internal != present.internal),
            ("processor", fresh.millicores != present.millicores),
            ("link", fresh.link_mbps != present.link_mbps),
        ];
        let later = changes.into_iter().filter(|(_, is_other)| *is_other);
        later.map(|(name, _)| name).collect()
    }

    /// Stops the host without cutting a request.
    ///
    /// It says at once that it is not ready, goes on serving until the balancer has
    /// noticed, and returns when the requests in hand have been answered.
    pub async fn stop(&self) {
        info!(target: "host", "host={} state=stopping", self.settings.name);
        self.is_stopping.store(true, Ordering::SeqCst);
        self.clients.stop();
        let limit = self.bounds.load().stop.mul_f64(STOP_PART);
        let turn_away = TURN_AWAY.min(limit / 2);
        async_std::task::sleep(turn_away).await;
        self.clients.close();
        let mut waited = turn_away;
        while self.clients.in_flight() > 0 && waited < limit {
            async_std::task::sleep(STOP_POLL).await;
            waited += STOP_POLL;
        }
        async_std::task::sleep(LINGER).await;
        self.scope.close();
        info!(
            target: "host",
            "host={} state=stopped in_flight={}",
            self.settings.name, self.clients.in_flight(),
        );
    }
}

/// Returns for how long upstreams without entries stay in use.
fn fleet_timing(bounds: &FrontBounds) -> FleetTiming {
    let preset = FleetTiming::default();
    FleetTiming {
        missing_grace: preset.missing_grace.min(bounds.drain.mul_f64(MISSING_PART)),
        ..preset
    }
}

async fn listen(address: SocketAddr) -> Result<TcpListener, StartFailure> {
    TcpListener::bind(address)
        .await
        .map_err(|error| StartFailure::Listen { address, error })
}

/// Drops what has lapsed and tries to reach upstreams that are wanted, for good.
async fn sweep(keeper: Arc<ViewKeeper>, dispatcher: Dispatcher, scope: TaskScope) {
    loop {
        async_std::task::sleep(SWEEP_PERIOD).await;
        let parts = &dispatcher.parts;
        let now = parts.clock.now();
        let has_dropped = keeper.expire(now);
        let view = parts.view.load();
        parts
            .exchanger
            .pool
            .prune(now, |id| view.upstreams.contains_key(id));
        parts.moves.lock().prune(now);
        let probes = parts.place.lock().drain_probes(now, MOST_PROBES);
        for id in probes {
            if let Some(known) = view.upstreams.get(&id) {
                scope.spawn(dispatcher.clone().probe(known.entry.clone()));
            }
        }
        if has_dropped {
            parts
                .place
                .lock()
                .retain(|id| view.upstreams.contains_key(id));
        }
    }
}
