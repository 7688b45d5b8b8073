//! Start and stop of an entry host.

use crate::admin::{AdminState, serve_admin};
use crate::control::{ControlHandle, ControlRequest};
use crate::hub::{ControlHub, PlatformPorts, boot_nonce};
use crate::link::LinkTable;
use crate::publish::Publisher;
use crate::relay::DirectRelay;
use crate::rpc::accept_links;
use crate::settings::{HostSettings, SettingsError};
use crate::status::HostStatus;
use crate::submit::SheetDesk;
use async_channel::Receiver;
use async_std::net::TcpListener;
use gate::{
    ClientServer, GateMetrics, Ingress, IngressParts, Journal, PeerSecret, PeerServer,
    PrimarySchedulers, SnapshotCell,
};
use indexmap::IndexMap;
use kernel::{Clock, HostId, SystemClock, TaskScope, TimerService, UnknownPlugin, find_plugin};
use owner::{ControlCore, HostAddress, PlacementPlugin};
use prometheus::Registry;
use std::cell::{Cell, RefCell};
use std::fmt;
use std::io;
use std::rc::Rc;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};
use store::HttpPlatform;

/// For which a leaving host still accepts, until the balancer has noticed.
const ACCEPT_GRACE: Duration = Duration::from_millis(1_500);
/// For which a leaving host waits for others to take its upstreams over.
const HANDOVER_PATIENCE: Duration = Duration::from_secs(10);
const STOP_POLL: Duration = Duration::from_millis(20);
/// For answers that have been handed to the operating system to leave.
const LINGER: Duration = Duration::from_millis(200);

/// Addresses that a host listens on, as `ip:port`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostAddresses {
    /// For callers.
    pub callers: String,
    /// For requests that other hosts forward.
    pub peers: String,
    /// For control messages.
    pub control: String,
    /// For the administration API.
    pub admin: String,
}

/// A host that could not start.
#[derive(Debug)]
pub enum StartError {
    /// The settings can't be used.
    Settings(SettingsError),
    /// An address can't be listened on.
    Listen {
        /// The setting.
        path: &'static str,
        /// The address.
        address: String,
        /// Why.
        error: io::Error,
    },
    /// A plug-in is unknown.
    Plugin(UnknownPlugin),
    /// A metric could not be registered.
    Metrics(prometheus::Error),
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Settings(error) => error.fmt(f),
            Self::Listen {
                path,
                address,
                error,
            } => write!(f, "{path}: can't listen on {address}: {error}"),
            Self::Plugin(error) => error.fmt(f),
            Self::Metrics(error) => write!(f, "metrics: {error}"),
        }
    }
}

impl std::error::Error for StartError {}

/// A running entry host.
#[derive(Clone, Debug)]
pub struct EntryHost {
    id: HostId,
    addresses: HostAddresses,
    control: ControlHandle,
    ingress: Ingress,
    schedulers: PrimarySchedulers,
    accept_scope: TaskScope,
    scope: TaskScope,
}

struct BoundListeners {
    callers: TcpListener,
    peers: TcpListener,
    control: TcpListener,
    admin: TcpListener,
}

impl EntryHost {
    /// Starts a host; it serves until it is stopped.
    ///
    /// # Errors
    ///
    /// Fails when the settings can't be used or an address can't be bound.
    pub async fn start(settings: HostSettings) -> Result<Self, StartError> {
        settings.validate().map_err(StartError::Settings)?;
        let listeners = bind(&settings).await?;
        let addresses = listeners.addresses().map_err(|error| StartError::Listen {
            path: "listen",
            address: String::new(),
            error,
        })?;
        let id = HostId::of_run(&settings.name, boot_nonce().as_str());
        let scope = TaskScope::new();
        let accept_scope = TaskScope::new();
        let clock: Arc<dyn Clock> = Arc::new(SystemClock::new());
        let registry = Registry::new();
        let metrics = GateMetrics::register(&registry).map_err(StartError::Metrics)?;
        let ports = platform_ports(&settings);
        let journal_keep = Duration::from_millis(settings.limits.journal_keep_ms);
        let journal = Journal::start(
            Arc::clone(&ports.table),
            Arc::clone(&clock),
            journal_keep,
            &scope,
        );
        let schedulers = PrimarySchedulers::new(
            Arc::clone(&clock),
            settings.limits,
            journal,
            metrics.clone(),
            &settings.queue,
            fastrand::u64(..),
        );
        let snapshots = Arc::new(SnapshotCell::default());
        let ingress = Ingress::new(IngressParts {
            snapshots: Arc::clone(&snapshots),
            schedulers: schedulers.clone(),
            clock: Arc::clone(&clock),
            limits: settings.limits,
            metrics,
            host: id.clone(),
            secret: settings.peer_secret.clone(),
            translations: settings.translations.clone(),
            seed: fastrand::u64(..),
        });
        let (control, requests) = ControlHandle::new();
        let secret = PeerSecret::new(&settings.peer_secret);

        let callers = ClientServer::new(ingress.clone(), scope.clone());
        accept_scope.spawn(callers.accept(listeners.callers));
        let platform_limit = Duration::from_millis(settings.platform.timeout_ms);
        let relay = DirectRelay::new(&settings.platform.address, platform_limit);
        let peers = PeerServer::new(
            schedulers.clone(),
            secret.clone(),
            settings.limits,
            Arc::new(relay),
            scope.clone(),
        );
        scope.spawn(peers.accept(listeners.peers));
        let admin = AdminState {
            control: control.clone(),
            sheets: SheetDesk {
                ports: ports.clone(),
                control: control.clone(),
            },
            tokens: Arc::new(settings.tokens.clone()),
            registry,
        };
        serve_admin(admin, listeners.admin, &scope);

        let seed = ControlSeed {
            id: id.clone(),
            address: advertised(&settings, &addresses),
            settings,
            clock,
            ports,
            snapshots,
            schedulers: schedulers.clone(),
            ingress: ingress.clone(),
            scope: scope.clone(),
            secret,
        };
        spawn_control(seed, listeners.control, requests)?;
        Ok(Self {
            id,
            addresses,
            control,
            ingress,
            schedulers,
            accept_scope,
            scope,
        })
    }

    /// Returns the host's id.
    pub fn id(&self) -> &HostId {
        &self.id
    }

    /// Returns the addresses that it listens on.
    pub fn addresses(&self) -> &HostAddresses {
        &self.addresses
    }

    /// Returns its state; `None` once it has ended.
    pub async fn status(&self) -> Option<HostStatus> {
        self.control.ask(ControlRequest::Status).await
    }

    /// Stops the host without cutting a request.
    ///
    /// Its upstreams are handed over, requests and downloads in hand run to
    /// their end, and only then does it return.
    pub async fn stop(&self) {
        self.control.tell(ControlRequest::Leave);
        let started = Instant::now();
        // Others take the upstreams over while callers are still served.
        while !self.has_handed_over().await {
            // Nobody can take over while the table is down, and keys would be
            // served by nobody: only a second signal ends the wait then.
            let is_table_down = self.is_table_down().await;
            if started.elapsed() >= HANDOVER_PATIENCE && !is_table_down {
                break;
            }
            async_std::task::sleep(STOP_POLL).await;
        }
        self.ingress.stop();
        async_std::task::sleep(ACCEPT_GRACE.saturating_sub(started.elapsed())).await;
        self.accept_scope.close();
        while self.ingress.in_flight() > 0 || self.schedulers.occupancy() != (0, 0) {
            async_std::task::sleep(STOP_POLL).await;
        }
        async_std::task::sleep(LINGER).await;
        self.scope.close();
    }

    async fn has_handed_over(&self) -> bool {
        let held = self.control.ask(ControlRequest::Held).await;
        held.is_none_or(|held| held == 0)
    }

    async fn is_table_down(&self) -> bool {
        let status = self.status().await;
        status.is_some_and(|status| status.table_failing_ms.is_some())
    }

    /// Ends the host at once, as its loss would.
    pub fn kill(&self) {
        self.accept_scope.close();
        self.scope.close();
    }

    /// Stops the control thread for a time while traffic goes on.
    pub fn stall_control(&self, span: Duration) {
        self.control.tell(ControlRequest::Stall(span));
    }

    /// Waits until the host has ended.
    pub async fn ended(&self) {
        self.scope.closed().await;
    }
}

impl BoundListeners {
    fn addresses(&self) -> io::Result<HostAddresses> {
        Ok(HostAddresses {
            callers: self.callers.local_addr()?.to_string(),
            peers: self.peers.local_addr()?.to_string(),
            control: self.control.local_addr()?.to_string(),
            admin: self.admin.local_addr()?.to_string(),
        })
    }
}

async fn bind(settings: &HostSettings) -> Result<BoundListeners, StartError> {
    let listen = &settings.listen;
    Ok(BoundListeners {
        callers: bind_one("listen.callers", &listen.callers).await?,
        peers: bind_one("listen.peers", &listen.peers).await?,
        control: bind_one("listen.control", &listen.control).await?,
        admin: bind_one("listen.admin", &listen.admin).await?,
    })
}

async fn bind_one(path: &'static str, address: &str) -> Result<TcpListener, StartError> {
    TcpListener::bind(address)
        .await
        .map_err(|error| StartError::Listen {
            path,
            address: address.to_owned(),
            error,
        })
}

fn platform_ports(settings: &HostSettings) -> PlatformPorts {
    let platform = &settings.platform;
    let limit = Duration::from_millis(platform.timeout_ms);
    let client = HttpPlatform::new(&platform.address, &platform.relays, limit);
    PlatformPorts {
        table: Arc::new(client.clone()),
        objects: Arc::new(client.clone()),
        lister: Arc::new(client.clone()),
        platform: client,
    }
}

fn advertised(settings: &HostSettings, addresses: &HostAddresses) -> HostAddress {
    settings.advertise.clone().unwrap_or_else(|| HostAddress {
        peer: addresses.peers.clone(),
        control: addresses.control.clone(),
    })
}

/// What the control thread is built from, once it runs.
struct ControlSeed {
    id: HostId,
    address: HostAddress,
    settings: HostSettings,
    clock: Arc<dyn Clock>,
    ports: PlatformPorts,
    snapshots: Arc<SnapshotCell>,
    schedulers: PrimarySchedulers,
    ingress: Ingress,
    scope: TaskScope,
    secret: PeerSecret,
}

fn spawn_control(
    seed: ControlSeed,
    listener: TcpListener,
    requests: Receiver<ControlRequest>,
) -> Result<(), StartError> {
    let plugin =
        find_plugin::<PlacementPlugin>(&seed.settings.placement).map_err(StartError::Plugin)?;
    let timers = TimerService::start(Arc::clone(&seed.clock));
    let builder = thread::Builder::new().name(format!("control-{}", seed.settings.name));
    let spawned = builder.spawn(move || {
        async_std::task::block_on(async move {
            let secret = seed.secret.clone();
            let hub = Rc::new(build_hub(seed, plugin));
            async_std::task::spawn_local(accept_links(Rc::clone(&hub), secret, listener));
            hub.run(timers, requests).await;
        });
    });
    match spawned {
        Ok(_detached) => Ok(()),
        Err(error) => Err(StartError::Listen {
            path: "control thread",
            address: String::new(),
            error,
        }),
    }
}

fn build_hub(seed: ControlSeed, plugin: &PlacementPlugin) -> ControlHub {
    let settings = seed.settings;
    let mut core = ControlCore::new(
        seed.clock.now(),
        seed.id,
        settings.domain.clone(),
        seed.address,
        settings.timing,
        (plugin.make)(),
    );
    let seeds = settings.seeds.iter().map(|seed| HostAddress {
        peer: seed.peer.clone(),
        control: seed.control.clone(),
    });
    core.set_seeds(seeds.collect());
    ControlHub {
        core: RefCell::new(core),
        clock: seed.clock,
        settings,
        ports: seed.ports,
        links: LinkTable::default(),
        publisher: RefCell::new(Publisher::new(seed.snapshots)),
        schedulers: seed.schedulers,
        ingress: seed.ingress,
        scope: seed.scope,
        lease_clients: RefCell::new(IndexMap::new()),
        boots: RefCell::new(IndexMap::new()),
        sheet_body: RefCell::new(None),
        loading_sheet: Cell::new(None),
        sheet_spread_ms: Cell::new(None),
        is_leaving: Cell::new(false),
    }
}
