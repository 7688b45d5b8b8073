//! The control thread: one state machine and the tasks around it.

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

const TICK: Duration = Duration::from_millis(8);
const LOAD_PERIOD: Duration = Duration::from_millis(500);
const LIST_PERIOD: Duration = Duration::from_millis(400);
/// Hosts that do not read on behalf of their domain poll the list less often.
const LIST_BACKGROUND_FACTOR: u32 = 16;

/// The platform's services as the control thread uses them.
#[derive(Clone, Debug)]
pub(crate) struct PlatformPorts {
    pub table: Arc<dyn TableStore>,
    pub objects: Arc<dyn ObjectStore>,
    pub lister: Arc<dyn HostLister>,
    /// The client behind them, whose paths change.
    pub platform: HttpPlatform,
}

/// Everything that the control thread's tasks share.
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
    pub boots: RefCell<IndexMap<UpstreamId, u64>>,
    pub sheet_body: RefCell<Option<(Version, Vec<u8>)>>,
    pub loading_sheet: Cell<Option<Version>>,
    pub sheet_spread_ms: Cell<Option<u64>>,
    pub is_leaving: Cell<bool>,
}

impl ControlHub {
    /// Takes an event in, carries the actions out and publishes what changed.
    pub fn event(self: &Rc<Self>, event: Event) {
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

    /// Runs until the scope is closed.
    pub async fn run(self: Rc<Self>, timers: TimerService, requests: Receiver<ControlRequest>) {
        self.start_ticks(&timers);
        self.start_loads(&timers);
        self.start_list(&timers);
        self.start_sweeps(&timers);
        let hub = Rc::clone(&self);
        async_std::task::spawn_local(async move {
            while let Ok(request) = requests.recv().await {
                hub.answer(request);
            }
        });
        self.scope.closed().await;
    }

    fn start_ticks(self: &Rc<Self>, timers: &TimerService) {
        let hub = Rc::clone(self);
        let ticks = timers.subscribe(TICK);
        async_std::task::spawn_local(async move {
            while ticks.next().await.is_some() && !hub.scope.is_closed() {
                hub.event(Event::Tick);
            }
        });
    }

    fn start_loads(self: &Rc<Self>, timers: &TimerService) {
        let hub = Rc::clone(self);
        let ticks = timers.subscribe(LOAD_PERIOD);
        async_std::task::spawn_local(async move {
            let mut taken_at = hub.clock.now();
            while ticks.next().await.is_some() && !hub.scope.is_closed() {
                let now = hub.clock.now();
                let loads = hub.schedulers.drain_loads(now - taken_at);
                taken_at = now;
                hub.refresh_relays(now);
                let mut core = hub.core.borrow_mut();
                core.set_loads(&loads);
                core.set_heartbeat_payload(
                    hub.schedulers.suspects(),
                    hub.schedulers.expected_waits_ms(),
                );
            }
        });
    }

    fn start_list(self: &Rc<Self>, timers: &TimerService) {
        let hub = Rc::clone(self);
        let ticks = timers.subscribe(LIST_PERIOD);
        async_std::task::spawn_local(async move {
            let mut round = 0_u32;
            while ticks.next().await.is_some() && !hub.scope.is_closed() {
                let now = hub.clock.now();
                let is_reader = hub.core.borrow().is_table_reader(now);
                // What a reader writes down reaches nobody while the table is down.
                let is_alone = hub.core.borrow().status(now).table_failing_for.is_some();
                let is_due = is_reader || is_alone || round.is_multiple_of(LIST_BACKGROUND_FACTOR);
                round = round.wrapping_add(1);
                if !is_due {
                    continue;
                }
                let listed = hub.ports.lister.list(hub.settings.domain.as_str()).await;
                let Ok(value) = listed else {
                    continue;
                };
                if let Ok(list) = serde_json::from_value(value) {
                    hub.event(Event::ListRead(list));
                }
            }
        });
    }

    fn answer(self: &Rc<Self>, request: ControlRequest) {
        // A requester that has gone needs no answer.
        match request {
            ControlRequest::Status(reply) => {
                let _gone = reply.send(self.status());
            }
            ControlRequest::Sheet(reply) => {
                let _gone = reply.send(self.sheet_body.borrow().clone());
            }
            ControlRequest::Service(service, reply) => {
                let _gone = reply.send(self.service_row(&service));
            }
            ControlRequest::Learn(rows) => {
                let from = self.core.borrow().id().clone();
                self.event(Event::RowsReceived { from, rows });
            }
            ControlRequest::Body(version, body) => self.take_sheet(version, body),
            ControlRequest::Drain(upstream, is_leaving) => {
                self.event(Event::DrainRequested {
                    upstream,
                    is_leaving,
                });
            }
            ControlRequest::DeclareLost(domain, is_lost) => {
                self.event(Event::LossDeclared { domain, is_lost });
            }
            ControlRequest::Leave => {
                self.is_leaving.set(true);
                self.event(Event::LeaveRequested);
            }
            ControlRequest::Held(reply) => {
                let now = self.clock.now();
                let held = self.core.borrow().status(now).primary_upstreams;
                let _gone = reply.send(held);
            }
            ControlRequest::Stall(span) => std::thread::sleep(span),
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
        let figures = core.status(now);
        HostStatus {
            host: core.id().clone(),
            domain: self.settings.domain.clone(),
            sheet_version: core.sheet().map_or(Version(0), |(version, _)| version),
            sheet_spread_ms: self.sheet_spread_ms.get(),
            has_standing: figures.has_authority,
            table_failing_ms: figures
                .table_failing_for
                .map(|span| span.as_millis() as u64),
            violations: figures.violations,
            moves_begun: figures.moves_begun,
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

/// Returns a nonce that tells this run of the process from every other.
pub(crate) fn boot_nonce() -> RequestId {
    let mut rng = fastrand::Rng::new();
    RequestId::from(format!("{:08x}", rng.u32(..)))
}
