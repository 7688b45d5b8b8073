//! The control state machine.

use crate::assigned::AssignmentIndex;
use crate::balance::LoadTracker;
use crate::held::PrimaryState;
use crate::links::LinkPlan;
use crate::table::TableState;
use crate::{
    Action, DomainRow, Event, HostAddress, PlacementPolicy, PlatformList, RowCache, RowKey,
    ShardGrant, Timing, VersionedRow,
};
use indexmap::IndexMap;
use kernel::{DomainName, HostId, Moment, ServiceName, UpstreamId, Version};
use member::{Heartbeat, PeerTable, Suspect, UpstreamLoad};
use sheet::Sheet;
use std::sync::Arc;
use std::time::Duration;

const FORGET_PEER_AFTER: Duration = Duration::from_mins(2);

/// A sheet in force.
#[derive(Clone, Debug)]
pub(crate) struct LoadedSheet {
    pub version: Version,
    pub sheet: Arc<Sheet>,
}

/// The control state machine of one host.
#[derive(Clone, Debug)]
pub struct ControlCore {
    pub(crate) me: HostId,
    pub(crate) domain: DomainName,
    pub(crate) address: HostAddress,
    pub(crate) timing: Timing,
    pub(crate) policy: Arc<dyn PlacementPolicy>,
    pub(crate) started_at: Moment,
    pub(crate) settled_since: Moment,
    pub(crate) last_tick: Moment,
    pub(crate) is_leaving: bool,
    pub(crate) rows: RowCache,
    pub(crate) assigned: AssignmentIndex,
    pub(crate) peers: PeerTable,
    pub(crate) links: LinkPlan,
    pub(crate) list: Option<PlatformList>,
    pub(crate) list_since: Moment,
    pub(crate) list_read_at: Moment,
    pub(crate) sheet: Option<LoadedSheet>,
    pub(crate) held: IndexMap<UpstreamId, PrimaryState>,
    pub(crate) table: TableState,
    pub(crate) loads: LoadTracker,
    pub(crate) drains: IndexMap<UpstreamId, bool>,
    /// Operators' declarations that no row holds yet.
    pub(crate) declarations: IndexMap<DomainName, bool>,
    pub(crate) lost_since: IndexMap<DomainName, Moment>,
    pub(crate) suspects: Vec<Suspect>,
    pub(crate) waits: IndexMap<UpstreamId, u32>,
    pub(crate) moves_begun: u64,
    pub(crate) violations: u64,
    generation: u64,
    view_stamp: u64,
    actions: Vec<Action>,
}

/// Figures on the control state for status pages and metrics.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CoreStatus {
    /// Hosts heard recently.
    pub live_hosts: usize,
    /// Upstreams whose primary this host is.
    pub primary_upstreams: usize,
    /// Whether the own standing is confirmed.
    pub has_authority: bool,
    /// For how long the table has not answered.
    pub table_failing_for: Option<Duration>,
    /// Whether a transaction's outcome is open.
    pub has_open_commit: bool,
    /// Planned moves begun.
    pub moves_begun: u64,
    /// Invariants found broken; must be 0.
    pub violations: u64,
}

impl ControlCore {
    /// Builds the state of a host that has just started and knows nothing.
    pub fn new(
        now: Moment,
        me: HostId,
        domain: DomainName,
        address: HostAddress,
        timing: Timing,
        policy: Arc<dyn PlacementPolicy>,
    ) -> Self {
        Self {
            me,
            domain,
            address,
            timing,
            policy,
            started_at: now,
            settled_since: now,
            last_tick: now,
            is_leaving: false,
            rows: RowCache::default(),
            assigned: AssignmentIndex::default(),
            peers: PeerTable::new(timing.silence()),
            links: LinkPlan::default(),
            list: None,
            list_since: now,
            list_read_at: now,
            sheet: None,
            held: IndexMap::new(),
            table: TableState::default(),
            loads: LoadTracker::default(),
            drains: IndexMap::new(),
            declarations: IndexMap::new(),
            lost_since: IndexMap::new(),
            suspects: Vec::new(),
            waits: IndexMap::new(),
            moves_begun: 0,
            violations: 0,
            generation: 0,
            view_stamp: 0,
            actions: Vec::new(),
        }
    }

    /// Sets addresses of hosts to ask before any row is known.
    pub fn set_seeds(&mut self, seeds: Vec<HostAddress>) {
        self.links.set_seeds(seeds);
    }

    /// Returns this host's id.
    pub fn id(&self) -> &HostId {
        &self.me
    }

    /// Returns the intervals in force.
    pub fn timing(&self) -> &Timing {
        &self.timing
    }

    /// Sets other intervals from now on.
    pub fn set_timing(&mut self, timing: Timing) {
        self.timing = timing;
    }

    /// Returns the known rows.
    pub fn rows(&self) -> &RowCache {
        &self.rows
    }

    /// Returns the known peers.
    pub fn peers(&self) -> &PeerTable {
        &self.peers
    }

    /// Returns the sheet in force and its version.
    pub fn sheet(&self) -> Option<(Version, &Arc<Sheet>)> {
        let loaded = self.sheet.as_ref()?;
        Some((loaded.version, &loaded.sheet))
    }

    /// Returns a number that grows whenever routing may have changed.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Takes the actions left since the last call.
    pub fn drain_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Returns figures on the present state.
    pub fn status(&self, now: Moment) -> CoreStatus {
        CoreStatus {
            live_hosts: self.peers.live_peers(now).count(),
            primary_upstreams: self.held.len(),
            has_authority: self.has_authority(now),
            table_failing_for: self.table.failing_since.map(|since| now - since),
            has_open_commit: self.table.open.is_some(),
            moves_begun: self.moves_begun,
            violations: self.violations,
        }
    }

    /// Sets what rides on heartbeats besides the control state.
    ///
    /// `waits` are the expected waits at held upstreams, in milliseconds.
    pub fn set_heartbeat_payload(
        &mut self,
        suspects: Vec<Suspect>,
        waits: IndexMap<UpstreamId, u32>,
    ) {
        self.suspects = suspects;
        self.waits = waits;
    }

    /// Takes in an event.
    pub fn handle(&mut self, now: Moment, event: Event) {
        // Heartbeats and lease replies are frequent; what follows from them is
        // proposed at the next tick.
        let is_frequent = matches!(
            event,
            Event::HeartbeatReceived(_)
                | Event::HeartbeatAcknowledged { .. }
                | Event::PushAcknowledged(_)
                | Event::LeaseAnswered { .. }
        );
        match event {
            Event::Tick => self.tick(now),
            Event::HeartbeatReceived(heartbeat) | Event::PushAcknowledged(heartbeat) => {
                self.note_beat(now, &heartbeat);
            }
            Event::HeartbeatAcknowledged { sent, heartbeat } => {
                self.note_acknowledgement(now, sent, &heartbeat);
            }
            Event::RowsReceived { from, rows } => self.learn_rows(now, &rows, Some(&from)),
            Event::TableRead { started, rows } => self.note_table_read(now, started, &rows),
            Event::TableReadFailed => {
                self.table.is_reading = false;
                self.table.record_failure(now);
            }
            Event::CommitEnded { id, outcome } => self.end_commit(now, id, outcome),
            Event::LeaseAnswered {
                upstream,
                epoch,
                sent,
                result,
            } => self.note_lease(now, &upstream, epoch, sent, &result),
            Event::ListRead(list) => self.note_list(now, list),
            Event::SheetLoaded { version, sheet } => self.note_sheet(version, sheet),
            Event::LeaveRequested => self.is_leaving = true,
            Event::LossDeclared { domain, is_lost } => self.declare(domain, is_lost),
            Event::DrainRequested {
                upstream,
                is_leaving,
            } => {
                self.drains.insert(upstream, is_leaving);
            }
        }
        if !is_frequent {
            self.propose(now);
        }
        self.touch_if_view_changed();
    }

    /// Lets traffic look again when a held upstream's grants have changed.
    fn touch_if_view_changed(&mut self) {
        let stamps = self.held.iter().map(|(id, held)| held.view_stamp(id));
        let stamp = stamps.fold(0, u64::wrapping_add);
        if stamp != self.view_stamp {
            self.view_stamp = stamp;
            self.touch();
        }
    }

    /// Returns the heartbeat to send now.
    pub fn heartbeat(&self, now: Moment) -> Heartbeat {
        Heartbeat {
            from: self.me.clone(),
            domain: self.domain.clone(),
            is_leaving: self.is_leaving,
            row_version: self.own_row_version(),
            fingerprint: self.rows.fingerprint(),
            sheet_version: self.sheet.as_ref().map_or(Version(0), |s| s.version),
            loads: self.links.carries_loads(now).then(|| self.own_loads(now)),
            suspects: self.suspects.clone(),
        }
    }

    /// Returns all known rows, for a host that asks.
    pub fn all_rows(&self) -> Vec<VersionedRow> {
        self.rows.iter().cloned().collect()
    }

    pub(crate) fn act(&mut self, action: Action) {
        self.actions.push(action);
    }

    pub(crate) fn touch(&mut self) {
        self.generation += 1;
    }

    pub(crate) fn own_row(&self) -> Option<&Arc<DomainRow>> {
        self.rows.domain(&self.domain)
    }

    pub(crate) fn own_row_version(&self) -> Version {
        self.rows.version(&RowKey::Domain(self.domain.clone()))
    }

    /// Returns the grants that rows assign to an upstream, by shard.
    pub(crate) fn assigned_grants(
        &self,
        service: &ServiceName,
        upstream: &UpstreamId,
    ) -> Arc<[ShardGrant]> {
        self.assigned.of(service, upstream)
    }

    fn tick(&mut self, now: Moment) {
        if now - self.last_tick > self.timing.silence() {
            // This process was paused: others may have taken over meanwhile.
            self.settled_since = now;
        }
        self.last_tick = now;
        self.peers.remove_older(now, FORGET_PEER_AFTER);
        self.send_beats(now);
        self.note_lapses(now);
        self.order_leases(now);
        self.read_table_if_due(now);
        self.balance(now);
    }

    fn note_beat(&mut self, now: Moment, heartbeat: &Heartbeat) {
        let was_heard = self.peers.is_available(now, &heartbeat.from);
        self.peers.record_heartbeat(now, heartbeat);
        self.note_peer_change(now, was_heard, heartbeat);
    }

    fn note_acknowledgement(&mut self, now: Moment, sent: Moment, heartbeat: &Heartbeat) {
        let was_heard = self.peers.is_available(now, &heartbeat.from);
        let own_version = if heartbeat.domain == self.domain {
            self.own_row_version()
        } else {
            Version(0)
        };
        self.peers
            .record_acknowledgement(now, sent, heartbeat, own_version);
        self.note_peer_change(now, was_heard, heartbeat);
    }

    fn note_peer_change(&mut self, now: Moment, was_heard: bool, heartbeat: &Heartbeat) {
        if was_heard != self.peers.is_available(now, &heartbeat.from) {
            self.touch();
        }
        self.note_claim_quorums(now);
        let has_newer_sheet = heartbeat.sheet_version > self.rows.version(&RowKey::Config);
        if heartbeat.fingerprint != self.rows.fingerprint() || has_newer_sheet {
            self.pull_from(now, &heartbeat.from);
        }
    }

    /// Returns loads of held upstreams that can be used now.
    pub(crate) fn own_loads(&self, now: Moment) -> Vec<UpstreamLoad> {
        let mut loads = Vec::new();
        for (id, held) in &self.held {
            if !held.is_usable(now) || self.is_upstream_leaving(id) {
                continue;
            }
            loads.push(UpstreamLoad {
                upstream: id.clone(),
                slot_ms: self.loads.total(id),
                wait_ms: self.waits.get(id).copied().unwrap_or(0),
            });
        }
        loads
    }
}
