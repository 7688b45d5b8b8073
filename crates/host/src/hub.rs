//! The control thread: the control state machine and the tasks that drive it.

use crate::control::ControlRequest;
use crate::link::LinkTable;
use crate::publish::Publisher;
use crate::settings::HostSettings;
use crate::status::{HostStatus, PeerStatus, UpstreamStatus};
use async_channel::Receiver;
use gate::{Ingress, PrimarySchedulers};
use indexmap::IndexMap;
use kernel::{Clock, RequestId, TaskScope, TimerService, UpstreamId, Version};
use owner::{ControlCore, Event, RowKey, UpstreamState};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use store::{HostLister, HttpPlatform, JsonClient, ObjectStore, TableStore};

const TICK_INTERVAL: Duration = Duration::from_millis(8);
const LOAD_INTERVAL: Duration = Duration::from_millis(500);
const LIST_INTERVAL: Duration = Duration::from_millis(400);
/// Factor by which hosts that don't read on behalf of their domain poll the host
/// list less often.
const LIST_BACKGROUND_FACTOR: u32 = 16;

/// Interfaces to the platform's services.
#[derive(Clone, Debug)]
pub(crate) struct PlatformPorts {
    pub table: Arc<dyn TableStore>,
    pub objects: Arc<dyn ObjectStore>,
    pub lister: Arc<dyn HostLister>,
    /// The client that implements them; its relays change.
    pub platform: HttpPlatform,
}

/// State that the tasks of the control thread share.
pub(crate) struct ControlHub {
    pub core: RefCell<ControlCore>,
    pub clock: Arc<dyn Clock>,
    pub settings: HostSettings,
    pub ports: PlatformPorts,
    pub links: LinkTable,
    pub publisher: RefCell<Publisher>,
    pub schedulers: PrimarySchedulers,
    pub ingress: Ingress,
    pub scope: TaskScope,
    pub lease_clients: RefCell<IndexMap<String, JsonClient>>,
    /// Boot number that each upstream reported last; it changes with a restart.
    pub boot_numbers: RefCell<IndexMap<UpstreamId, u64>>,
    /// Version and body of the active sheet.
    pub sheet_body: RefCell<Option<(Version, Vec<u8>)>>,
    /// Newest version for which a load was started.
    pub loading_sheet: Cell<Option<Version>>,
    /// Time from the commit of the active sheet to its activation here, in
    /// milliseconds.
    pub sheet_spread_ms: Cell<Option<u64>>,
    pub is_leaving: Cell<bool>,
}

impl ControlHub {
    /// Handles an event: updates the state machine, performs its actions and publishes
    /// the changes.
    pub fn handle_event(self: &Rc<Self>, event: Event) {
        let now = self.clock.now();
        let actions = {
            let mut core = self.core.borrow_mut();
            core.handle(now, event);
            core.drain_actions()
        };
        for action in actions {
            self.perform(now, action);
        }
        self.publish(now);
    }

    /// Runs the control thread's tasks until the scope is closed.
    pub async fn run(self: Rc<Self>, timers: TimerService, requests: Receiver<ControlRequest>) {
        self.start_ticks(&timers);
        self.start_loads(&timers);
        self.start_list(&timers);
        self.start_sweeps(&timers);
        let hub = Rc::clone(&self);
        async_std::task::spawn_local(async move {
            while let Ok(request) = requests.recv().await {
                hub.handle_request(request);
            }
        });
        self.scope.closed().await;
    }

    fn start_ticks(self: &Rc<Self>, timers: &TimerService) {
        let hub = Rc::clone(self);
        let ticks = timers.subscribe(TICK_INTERVAL);
        async_std::task::spawn_local(async move {
            while ticks.next().await.is_some() && !hub.scope.is_closed() {
                hub.handle_event(Event::Tick);
            }
        });
    }

    fn start_loads(self: &Rc<Self>, timers: &TimerService) {
        let hub = Rc::clone(self);
        let ticks = timers.subscribe(LOAD_INTERVAL);
        async_std::task::spawn_local(async move {
            let mut drained_at = hub.clock.now();
            while ticks.next().await.is_some() && !hub.scope.is_closed() {
                let now = hub.clock.now();
                let loads = hub.schedulers.drain_loads(now - drained_at);
                drained_at = now;
                hub.refresh_relays(now);
                let mut core = hub.core.borrow_mut();
                core.record_loads(&loads);
                core.set_heartbeat_payload(
                    hub.schedulers.suspects(),
                    hub.schedulers.expected_waits_ms(),
                );
            }
        });
    }

    fn start_list(self: &Rc<Self>, timers: &TimerService) {
        let hub = Rc::clone(self);
        let ticks = timers.subscribe(LIST_INTERVAL);
        async_std::task::spawn_local(async move {
            let mut tick_count = 0_u32;
            while ticks.next().await.is_some() && !hub.scope.is_closed() {
                let now = hub.clock.now();
                let is_reader = hub.core.borrow().is_table_reader(now);
                // While the table is down, the list that the reader writes to it does
                // not reach this host.
                let is_table_down = hub.core.borrow().status(now).table_failing_for.is_some();
                let is_due =
                    is_reader || is_table_down || tick_count.is_multiple_of(LIST_BACKGROUND_FACTOR);
                tick_count = tick_count.wrapping_add(1);
                if !is_due {
                    continue;
                }
                let listed = hub.ports.lister.list(hub.settings.domain.as_str()).await;
                let Ok(value) = listed else {
                    continue;
                };
                if let Ok(list) = serde_json::from_value(value) {
                    hub.handle_event(Event::ListRead(list));
                }
            }
        });
    }

    fn handle_request(self: &Rc<Self>, request: ControlRequest) {
        // The requester may have stopped waiting.
        match request {
            ControlRequest::Status(reply) => {
                let _send_result = reply.send(self.status());
            }
            ControlRequest::Sheet(reply) => {
                let _send_result = reply.send(self.sheet_body.borrow().clone());
            }
            ControlRequest::Service(service, reply) => {
                let _send_result = reply.send(self.service_row(&service));
            }
            ControlRequest::ApplyRows(rows) => {
                let from = self.core.borrow().id().clone();
                self.handle_event(Event::RowsReceived { from, rows });
            }
            ControlRequest::ActivateSheet(version, body) => self.activate_sheet(version, body),
            ControlRequest::Drain(upstream, is_leaving) => {
                self.handle_event(Event::DrainRequested {
                    upstream,
                    is_leaving,
                });
            }
            ControlRequest::DeclareLost(domain, is_lost) => {
                self.handle_event(Event::LossDeclared { domain, is_lost });
            }
            ControlRequest::Leave => {
                self.is_leaving.set(true);
                self.handle_event(Event::LeaveRequested);
            }
            ControlRequest::PrimaryCount(reply) => {
                let now = self.clock.now();
                let count = self.core.borrow().status(now).primary_upstreams;
                let _send_result = reply.send(count);
            }
            ControlRequest::BlockThread(duration) => std::thread::sleep(duration),
        }
    }

    fn service_row(&self, service: &str) -> Option<owner::ServiceRow> {
        let key = RowKey::Service(service.into());
        let core = self.core.borrow();
        let row = core.rows().iter().find(|row| row.key == key)?;
        match row.content {
            owner::RowContent::Service(service) => Some(service),
            _ => None,
        }
    }

    fn status(&self) -> HostStatus {
        let now = self.clock.now();
        let core = self.core.borrow();
        let core_status = core.status(now);
        HostStatus {
            host: core.id().clone(),
            domain: self.settings.domain.clone(),
            sheet_version: core.sheet().map_or(Version(0), |(version, _)| version),
            sheet_spread_ms: self.sheet_spread_ms.get(),
            has_standing: core_status.has_authority,
            table_failing_ms: core_status
                .table_failing_for
                .map(|duration| duration.as_millis() as u64),
            violations: core_status.violations,
            moves_begun: core_status.moves_begun,
            in_flight: self.ingress.in_flight(),
            is_leaving: self.is_leaving.get(),
            peers: self.peer_statuses(&core),
            upstreams: upstream_statuses(&core, now),
        }
    }

    fn peer_statuses(&self, core: &ControlCore) -> Vec<PeerStatus> {
        let now = self.clock.now();
        let mut peers = Vec::new();
        for (host, peer) in core.peers().live_peers(now) {
            peers.push(PeerStatus {
                host: host.clone(),
                domain: peer.heartbeat.domain.clone(),
                sheet_version: peer.heartbeat.sheet_version,
                silent_ms: (now - peer.last_seen_at).as_millis() as u64,
            });
        }
        peers
    }
}

fn upstream_statuses(core: &ControlCore, now: kernel::Moment) -> Vec<UpstreamStatus> {
    let leases: IndexMap<_, _> = core
        .lease_deadlines()
        .map(|(id, _, end)| (id.clone(), end.is_some_and(|end| now < end)))
        .collect();
    let mut upstreams = Vec::new();
    for (domain, row) in core.rows().domains() {
        for (id, entry) in &row.upstreams {
            let assigned = core.rows().assign(&entry.service, domain);
            let shards = assigned.map_or(0, |row| {
                let owned = row.shards.values().filter(|shard| shard.upstream == *id);
                owned.count()
            });
            upstreams.push(UpstreamStatus {
                upstream: id.clone(),
                service: entry.service.clone(),
                domain: domain.clone(),
                primary: entry.primary.clone(),
                epoch: entry.epoch,
                is_leaving: entry.state != UpstreamState::Live,
                shards,
                is_usable: leases.get(id).copied(),
            });
        }
    }
    upstreams
}

/// Returns a nonce that distinguishes this run of the process from all others.
pub(crate) fn run_nonce() -> RequestId {
    let mut rng = fastrand::Rng::new();
    RequestId::from(format!("{:08x}", rng.u32(..)))
}
