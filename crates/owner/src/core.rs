//! Event handling and shared state of the control state machine.

use crate::assignment_index::AssignmentIndex;
use crate::balance::LoadTracker;
use crate::links::LinkPlan;
use crate::primary::PrimaryState;
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

const PEER_RETENTION: Duration = Duration::from_mins(2);

/// The sheet in force and its version.
#[derive(Clone, Debug)]
pub(crate) struct LoadedSheet {
    pub version: Version,
    pub sheet: Arc<Sheet>,
}

/// The control state machine of one host.
#[derive(Clone, Debug)]
pub struct ControlCore {
    pub(crate) host_id: HostId,
    pub(crate) domain: DomainName,
    pub(crate) address: HostAddress,
    pub(crate) timing: Timing,
    pub(crate) policy: Arc<dyn PlacementPolicy>,
    pub(crate) started_at: Moment,
    pub(crate) settled_since: Moment,
    pub(crate) last_tick: Moment,
    pub(crate) is_leaving: bool,
    pub(crate) rows: RowCache,
    pub(crate) assignments: AssignmentIndex,
    pub(crate) peers: PeerTable,
    pub(crate) links: LinkPlan,
    pub(crate) platform_list: Option<PlatformList>,
    pub(crate) list_first_read_at: Moment,
    pub(crate) list_read_at: Moment,
    pub(crate) sheet: Option<LoadedSheet>,
    pub(crate) primary_upstreams: IndexMap<UpstreamId, PrimaryState>,
    pub(crate) table: TableState,
    pub(crate) loads: LoadTracker,
    pub(crate) pending_drains: IndexMap<UpstreamId, bool>,
    /// Operators' declarations that are not yet written to a row.
    pub(crate) pending_declarations: IndexMap<DomainName, bool>,
    pub(crate) lost_since: IndexMap<DomainName, Moment>,
    pub(crate) suspects: Vec<Suspect>,
    pub(crate) expected_wait_ms: IndexMap<UpstreamId, u32>,
    pub(crate) moves_begun: u64,
    pub(crate) violations: u64,
    generation: u64,
    view_hash: u64,
    actions: Vec<Action>,
}

/// Summary of the control state for status pages and metrics.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CoreStatus {
    /// Number of other hosts heard from recently.
    pub live_hosts: usize,
    /// Number of upstreams for which this host is the primary.
    pub primary_upstreams: usize,
    /// Whether this host may currently renew leases.
    pub has_authority: bool,
    /// Time since the table began to fail; absent while it answers.
    pub table_failing_for: Option<Duration>,
    /// Whether a transaction is open, that is, proposed and not yet settled.
    pub has_open_commit: bool,
    /// Number of planned shard moves begun.
    pub moves_begun: u64,
    /// Number of invariant violations found; expected to be 0.
    pub violations: u64,
}

impl ControlCore {
    /// Builds the state of a host that has just started and knows no rows.
    pub fn new(
        now: Moment,
        host_id: HostId,
        domain: DomainName,
        address: HostAddress,
        timing: Timing,
        policy: Arc<dyn PlacementPolicy>,
    ) -> Self {
        Self {
            host_id,
            domain,
            address,
            timing,
            policy,
            started_at: now,
            settled_since: now,
            last_tick: now,
            is_leaving: false,
            rows: RowCache::default(),
            assignments: AssignmentIndex::default(),
            peers: PeerTable::new(timing.silence_timeout()),
            links: LinkPlan::default(),
            platform_list: None,
            list_first_read_at: now,
            list_read_at: now,
            sheet: None,
            primary_upstreams: IndexMap::new(),
            table: TableState::default(),
            loads: LoadTracker::default(),
            pending_drains: IndexMap::new(),
            pending_declarations: IndexMap::new(),
            lost_since: IndexMap::new(),
            suspects: Vec::new(),
            expected_wait_ms: IndexMap::new(),
            moves_begun: 0,
            violations: 0,
            generation: 0,
            view_hash: 0,
            actions: Vec::new(),
        }
    }

    /// Sets the addresses of hosts to contact before any row is known.
    pub fn set_seeds(&mut self, seeds: Vec<HostAddress>) {
        self.links.set_seeds(seeds);
    }

    /// Returns this host's id.
    pub fn id(&self) -> &HostId {
        &self.host_id
    }

    /// Returns the protocol intervals in force.
    pub fn timing(&self) -> &Timing {
        &self.timing
    }

    /// Replaces the protocol intervals.
    ///
    /// The peer table keeps the silence timeout that it was built with.
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

    /// Returns a counter that increases whenever routing may have changed.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Returns the actions queued since the last call and empties the queue.
    pub fn drain_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Returns a summary of the current state.
    pub fn status(&self, now: Moment) -> CoreStatus {
        CoreStatus {
            live_hosts: self.peers.live_peers(now).count(),
            primary_upstreams: self.primary_upstreams.len(),
            has_authority: self.has_authority(now),
            table_failing_for: self.table.failing_since.map(|since| now - since),
            has_open_commit: self.table.open_commit.is_some(),
            moves_begun: self.moves_begun,
            violations: self.violations,
        }
    }

    /// Sets the data that heartbeats carry besides the control state.
    ///
    /// `expected_wait_ms` holds the expected wait at each primary upstream, in
    /// milliseconds.
    pub fn set_heartbeat_payload(
        &mut self,
        suspects: Vec<Suspect>,
        expected_wait_ms: IndexMap<UpstreamId, u32>,
    ) {
        self.suspects = suspects;
        self.expected_wait_ms = expected_wait_ms;
    }

    /// Handles one event and queues the resulting actions.
    pub fn handle(&mut self, now: Moment, event: Event) {
        // Heartbeats and lease replies are frequent, so transactions that follow
        // from them are proposed at the next tick.
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
                self.record_heartbeat(now, &heartbeat);
            }
            Event::HeartbeatAcknowledged { sent_at, heartbeat } => {
                self.record_acknowledgement(now, sent_at, &heartbeat);
            }
            Event::RowsReceived { from, rows } => self.apply_rows(now, &rows, Some(&from)),
            Event::TableRead { started_at, rows } => self.apply_table_read(now, started_at, &rows),
            Event::TableReadFailed => {
                self.table.is_reading = false;
                self.table.record_failure(now);
            }
            Event::CommitEnded { id, outcome } => self.end_commit(now, id, outcome),
            Event::LeaseAnswered {
                upstream,
                epoch,
                sent_at,
                result,
            } => self.record_lease_result(now, &upstream, epoch, sent_at, &result),
            Event::ListRead(list) => self.set_platform_list(now, list),
            Event::SheetLoaded { version, sheet } => self.set_sheet_if_newer(version, sheet),
            Event::LeaveRequested => self.is_leaving = true,
            Event::LossDeclared { domain, is_lost } => self.record_declaration(domain, is_lost),
            Event::DrainRequested {
                upstream,
                is_leaving,
            } => {
                self.pending_drains.insert(upstream, is_leaving);
            }
        }
        if !is_frequent {
            self.propose(now);
        }
        self.bump_generation_if_view_changed();
    }

    /// Increases the generation when the grants of a primary upstream have changed.
    fn bump_generation_if_view_changed(&mut self) {
        let hashes = self
            .primary_upstreams
            .iter()
            .map(|(id, state)| state.view_hash(id));
        let hash = hashes.fold(0, u64::wrapping_add);
        if hash != self.view_hash {
            self.view_hash = hash;
            self.bump_generation();
        }
    }

    /// Builds the heartbeat to send at `now`.
    pub fn heartbeat(&self, now: Moment) -> Heartbeat {
        Heartbeat {
            from: self.host_id.clone(),
            domain: self.domain.clone(),
            is_leaving: self.is_leaving,
            row_version: self.own_domain_version(),
            fingerprint: self.rows.fingerprint(),
            sheet_version: self.sheet.as_ref().map_or(Version(0), |s| s.version),
            loads: self.links.carries_loads(now).then(|| self.own_loads(now)),
            suspects: self.suspects.clone(),
        }
    }

    /// Returns all known rows, to answer a pull by another host.
    pub fn all_rows(&self) -> Vec<VersionedRow> {
        self.rows.iter().cloned().collect()
    }

    pub(crate) fn push_action(&mut self, action: Action) {
        self.actions.push(action);
    }

    pub(crate) fn bump_generation(&mut self) {
        self.generation += 1;
    }

    pub(crate) fn own_domain_row(&self) -> Option<&Arc<DomainRow>> {
        self.rows.domain(&self.domain)
    }

    pub(crate) fn own_domain_version(&self) -> Version {
        self.rows.version(&RowKey::Domain(self.domain.clone()))
    }

    /// Returns the grants that rows assign to an upstream, sorted by shard.
    pub(crate) fn assigned_grants(
        &self,
        service: &ServiceName,
        upstream: &UpstreamId,
    ) -> Arc<[ShardGrant]> {
        self.assignments.grants_of(service, upstream)
    }

    fn tick(&mut self, now: Moment) {
        if now - self.last_tick > self.timing.silence_timeout() {
            // This process was paused, so other hosts may have taken over meanwhile.
            self.settled_since = now;
        }
        self.last_tick = now;
        self.peers.remove_older(now, PEER_RETENTION);
        self.send_heartbeats(now);
        self.update_usability(now);
        self.send_lease_requests(now);
        self.read_table_if_due(now);
        self.rebalance(now);
    }

    fn record_heartbeat(&mut self, now: Moment, heartbeat: &Heartbeat) {
        let was_available = self.peers.is_available(now, &heartbeat.from);
        self.peers.record_heartbeat(now, heartbeat);
        self.handle_peer_update(now, was_available, heartbeat);
    }

    fn record_acknowledgement(&mut self, now: Moment, sent_at: Moment, heartbeat: &Heartbeat) {
        let was_available = self.peers.is_available(now, &heartbeat.from);
        let own_version = if heartbeat.domain == self.domain {
            self.own_domain_version()
        } else {
            Version(0)
        };
        self.peers
            .record_acknowledgement(now, sent_at, heartbeat, own_version);
        self.handle_peer_update(now, was_available, heartbeat);
    }

    fn handle_peer_update(&mut self, now: Moment, was_available: bool, heartbeat: &Heartbeat) {
        if was_available != self.peers.is_available(now, &heartbeat.from) {
            self.bump_generation();
        }
        self.record_claim_quorums(now);
        let has_newer_sheet = heartbeat.sheet_version > self.rows.version(&RowKey::Config);
        if heartbeat.fingerprint != self.rows.fingerprint() || has_newer_sheet {
            self.pull_from(now, &heartbeat.from);
        }
    }

    /// Returns the loads of the primary upstreams that accept work at `now`.
    pub(crate) fn own_loads(&self, now: Moment) -> Vec<UpstreamLoad> {
        let mut loads = Vec::new();
        for (id, state) in &self.primary_upstreams {
            if !state.is_usable(now) || self.is_upstream_leaving(id) {
                continue;
            }
            loads.push(UpstreamLoad {
                upstream: id.clone(),
                slot_ms: self.loads.total(id),
                wait_ms: self.expected_wait_ms.get(id).copied().unwrap_or(0),
            });
        }
        loads
    }
}
