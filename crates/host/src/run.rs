//! Start and stop of an entry host.

use crate::admin::{AdminState, serve_admin};
use crate::control::{ControlHandle, ControlRequest};
use crate::hub::{ControlHub, PlatformPorts, run_nonce};
use crate::link::LinkTable;
use crate::publish::Publisher;
use crate::relay::DirectRelay;
use crate::rpc::accept_links;
use crate::settings::{HostSettings, SettingsError};
use crate::status::HostStatus;
use crate::submit::SheetSubmitter;
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

/// Time for which a leaving host still accepts connections, until the load balancer
/// has noticed.
const ACCEPT_GRACE: Duration = Duration::from_millis(1_500);
/// Maximum time that a leaving host waits for others to take over its upstreams,
/// unless the table is down.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(10);
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time for the operating system to send the last answers.
const FLUSH_DELAY: Duration = Duration::from_millis(200);

/// Addresses that a host listens on, as `ip:port`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostAddresses {
    /// For clients.
    pub clients: String,
    /// For requests that other hosts forward.
    pub peers: String,
    /// For control messages.
    pub control: String,
    /// For the administration API.
    pub admin: String,
}

/// Why a host could not start.
#[derive(Debug)]
pub enum StartError {
    /// The settings are invalid.
    Settings(SettingsError),
    /// A listener could not be bound.
    Listen {
        /// Path of the setting.
        path: &'static str,
        /// The address.
        address: String,
        /// The I/O error.
        error: io::Error,
    },
    /// A plug-in in the settings is unknown.
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
    clients: TcpListener,
    peers: TcpListener,
    control: TcpListener,
    admin: TcpListener,
}

impl EntryHost {
    /// Starts a host; it serves until it is stopped.
    ///
    /// # Errors
    ///
    /// Fails when the settings are invalid or an address can't be bound.
    pub async fn start(settings: HostSettings) -> Result<Self, StartError> {
        settings.validate().map_err(StartError::Settings)?;
        let listeners = bind(&settings).await?;
        let addresses = listeners.addresses().map_err(|error| StartError::Listen {
            path: "listen",
            address: String::new(),
            error,
        })?;
        let id = HostId::of_run(&settings.name, run_nonce().as_str());
        let scope = TaskScope::new();
        let accept_scope = TaskScope::new();
        let clock: Arc<dyn Clock> = Arc::new(SystemClock::new());
        let registry = Registry::new();
        let metrics = GateMetrics::register(&registry).map_err(StartError::Metrics)?;
        let ports = platform_ports(&settings);
        let journal_retention = Duration::from_millis(settings.limits.journal_keep_ms);
        let journal = Journal::start(
            Arc::clone(&ports.table),
            Arc::clone(&clock),
            journal_retention,
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

        let client_server = ClientServer::new(ingress.clone(), scope.clone());
        accept_scope.spawn(client_server.accept(listeners.clients));
        let platform_timeout = Duration::from_millis(settings.platform.timeout_ms);
        let relay = DirectRelay::new(&settings.platform.address, platform_timeout);
        let peer_server = PeerServer::new(
            schedulers.clone(),
            secret.clone(),
            settings.limits,
            Arc::new(relay),
            scope.clone(),
        );
        scope.spawn(peer_server.accept(listeners.peers));
        let admin = AdminState {
            control: control.clone(),
            sheets: SheetSubmitter {
                ports: ports.clone(),
                control: control.clone(),
            },
            tokens: Arc::new(settings.tokens.clone()),
            registry,
        };
        serve_admin(admin, listeners.admin, &scope);

        let control_parts = ControlParts {
            id: id.clone(),
            address: advertised_address(&settings, &addresses),
            settings,
            clock,
            ports,
            snapshots,
            schedulers: schedulers.clone(),
            ingress: ingress.clone(),
            scope: scope.clone(),
            secret,
        };
        spawn_control(control_parts, listeners.control, requests)?;
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

    /// Returns the addresses that the host listens on.
    pub fn addresses(&self) -> &HostAddresses {
        &self.addresses
    }

    /// Returns the host's status, or `None` if it has ended.
    pub async fn status(&self) -> Option<HostStatus> {
        self.control.query(ControlRequest::Status).await
    }

    /// Stops the host without aborting a request.
    ///
    /// Hands over its upstreams, waits for the requests and downloads in flight to
    /// end, and then returns.
    pub async fn stop(&self) {
        self.control.send(ControlRequest::Leave);
        let started = Instant::now();
        // Clients are served until others have taken over the upstreams.
        while !self.has_handed_over().await {
            // While the table is down, no other host can take over, and stopping would
            // leave keys without an owner. Only a second signal ends the wait then.
            let is_table_down = self.is_table_down().await;
            if started.elapsed() >= HANDOVER_TIMEOUT && !is_table_down {
                break;
            }
            async_std::task::sleep(STOP_POLL_INTERVAL).await;
        }
        self.ingress.stop();
        async_std::task::sleep(ACCEPT_GRACE.saturating_sub(started.elapsed())).await;
        self.accept_scope.close();
        while self.ingress.in_flight() > 0 || self.schedulers.occupancy() != (0, 0) {
            async_std::task::sleep(STOP_POLL_INTERVAL).await;
        }
        async_std::task::sleep(FLUSH_DELAY).await;
        self.scope.close();
    }

    async fn has_handed_over(&self) -> bool {
        let count = self.control.query(ControlRequest::PrimaryCount).await;
        count.is_none_or(|count| count == 0)
    }

    async fn is_table_down(&self) -> bool {
        let status = self.status().await;
        status.is_some_and(|status| status.table_failing_ms.is_some())
    }

    /// Ends the host at once, as if it had crashed.
    pub fn kill(&self) {
        self.accept_scope.close();
        self.scope.close();
    }

    /// Blocks the control thread for `duration` while requests are still handled.
    pub fn block_control_thread(&self, duration: Duration) {
        self.control.send(ControlRequest::BlockThread(duration));
    }

    /// Waits until the host has ended.
    pub async fn ended(&self) {
        self.scope.closed().await;
    }
}

impl BoundListeners {
    fn addresses(&self) -> io::Result<HostAddresses> {
        Ok(HostAddresses {
            clients: self.clients.local_addr()?.to_string(),
            peers: self.peers.local_addr()?.to_string(),
            control: self.control.local_addr()?.to_string(),
            admin: self.admin.local_addr()?.to_string(),
        })
    }
}

async fn bind(settings: &HostSettings) -> Result<BoundListeners, StartError> {
    let listen = &settings.listen;
    Ok(BoundListeners {
        clients: bind_one("listen.callers", &listen.callers).await?,
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
    let timeout = Duration::from_millis(platform.timeout_ms);
    let client = HttpPlatform::new(&platform.address, &platform.relays, timeout);
    PlatformPorts {
        table: Arc::new(client.clone()),
        objects: Arc::new(client.clone()),
        lister: Arc::new(client.clone()),
        platform: client,
    }
}

fn advertised_address(settings: &HostSettings, addresses: &HostAddresses) -> HostAddress {
    settings.advertise.clone().unwrap_or_else(|| HostAddress {
        peer: addresses.peers.clone(),
        control: addresses.control.clone(),
    })
}

/// The parts that the control thread builds its hub from.
struct ControlParts {
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
    parts: ControlParts,
    listener: TcpListener,
    requests: Receiver<ControlRequest>,
) -> Result<(), StartError> {
    let plugin =
        find_plugin::<PlacementPlugin>(&parts.settings.placement).map_err(StartError::Plugin)?;
    let timers = TimerService::start(Arc::clone(&parts.clock));
    let builder = thread::Builder::new().name(format!("control-{}", parts.settings.name));
    let spawned = builder.spawn(move || {
        async_std::task::block_on(async move {
            let secret = parts.secret.clone();
            let hub = Rc::new(build_hub(parts, plugin));
            async_std::task::spawn_local(accept_links(Rc::clone(&hub), secret, listener));
            hub.run(timers, requests).await;
        });
    });
    match spawned {
        Ok(_join_handle) => Ok(()),
        Err(error) => Err(StartError::Listen {
            path: "control thread",
            address: String::new(),
            error,
        }),
    }
}

fn build_hub(parts: ControlParts, plugin: &PlacementPlugin) -> ControlHub {
    let settings = parts.settings;
    let mut core = ControlCore::new(
        parts.clock.now(),
        parts.id,
        settings.domain.clone(),
        parts.address,
        settings.timing,
        (plugin.build)(),
    );
    let seeds = settings.seeds.iter().map(|seed| HostAddress {
        peer: seed.peer.clone(),
        control: seed.control.clone(),
    });
    core.set_seeds(seeds.collect());
    ControlHub {
        core: RefCell::new(core),
        clock: parts.clock,
        settings,
        ports: parts.ports,
        links: LinkTable::default(),
        publisher: RefCell::new(Publisher::new(parts.snapshots)),
        schedulers: parts.schedulers,
        ingress: parts.ingress,
        scope: parts.scope,
        lease_clients: RefCell::new(IndexMap::new()),
        boot_numbers: RefCell::new(IndexMap::new()),
        sheet_body: RefCell::new(None),
        loading_sheet: Cell::new(None),
        sheet_spread_ms: Cell::new(None),
        is_leaving: Cell::new(false),
    }
}
