//! Local replica of the store's sheet, entries and owners.

mod orders;

pub(crate) use orders::WireOrders;

use crate::adapter::UserPlatform;
use crate::cold_budget::ColdControl;
use crate::message::{MAX_SHEET_BYTES, OwnerUpdate, WireSheet};
use crate::metrics::FrontMetrics;
use crate::view::{FrontView, SharedView};
use crate::wire_load::upstream_hash;
use async_channel::{Receiver, Sender, bounded};
use fleet::{EntryChange, FleetTiming, FleetView, KnownUpstream};
use grant::{OwnerMap, WireOwners};
use indexmap::IndexMap;
use kernel::{Clock, Moment, ServiceName, UpstreamId};
use log::{info, warn};
use parking_lot::Mutex;
use route::PrefixTable;
use sheet::RouteSheet;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use store::{RowPage, StoreError, TableRow};

/// Time for which another host may have a newer sheet before this host fetches the table
/// again. A working feed delivers it within the batch interval.
const MAX_SHEET_LAG: Duration = Duration::from_secs(1);
/// Number of previous owner maps that are kept; hosts that lag further behind receive
/// all ranges.
const MAX_PREVIOUS_OWNERS: usize = 12;

/// A table that is followed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FollowedTable {
    /// The operators' sheet.
    Sheet,
    /// The upstreams' entries.
    Entries,
}

/// The last known state of the store's tables, from which the view is published.
#[derive(Debug)]
pub(crate) struct StoreReplica {
    platform: Arc<dyn UserPlatform>,
    clock: Arc<dyn Clock>,
    view: Arc<SharedView>,
    metrics: FrontMetrics,
    /// Asks the follower of the sheet to fetch the table again, as its feed is silent.
    refetch_sender: Sender<()>,
    refetch_receiver: Receiver<()>,
    /// Whether the last call for the sheet failed.
    is_sheet_failing: AtomicBool,
    state: Mutex<ReplicaState>,
    cold: Arc<ColdControl>,
}

#[derive(Debug)]
struct ReplicaState {
    fleet: FleetView,
    owner_versions: IndexMap<ServiceName, u64>,
    /// Previous owner maps with their service and version, from which differences are
    /// computed.
    previous_owners: Vec<(ServiceName, u64, OwnerMap)>,
    /// The newest change of each entry, including removals, in order of version.
    entry_changes: Vec<EntryChange>,
    /// Version up to which the entries are known.
    entries_version: u64,
    has_entries: bool,
    /// Row of the sheet in force, for hosts that do not know it.
    sheet_row: Option<Vec<u8>>,
    /// Since when the leader, or a host that reports to it, has had a newer sheet.
    sheet_behind_since: Option<Moment>,
}

impl StoreReplica {
    pub(crate) fn new(
        platform: Arc<dyn UserPlatform>,
        clock: Arc<dyn Clock>,
        view: Arc<SharedView>,
        metrics: FrontMetrics,
        timing: FleetTiming,
        cold: Arc<ColdControl>,
    ) -> Self {
        let (refetch_sender, refetch_receiver) = bounded(1);
        Self {
            refetch_sender,
            refetch_receiver,
            platform,
            clock,
            view,
            metrics,
            is_sheet_failing: AtomicBool::new(false),
            cold,
            state: Mutex::new(ReplicaState {
                fleet: FleetView::new(timing),
                owner_versions: IndexMap::new(),
                previous_owners: Vec::new(),
                entry_changes: Vec::new(),
                entries_version: 0,
                has_entries: false,
                sheet_row: None,
                sheet_behind_since: None,
            }),
        }
    }

    /// Sets for how long upstreams without entries stay in use.
    pub(crate) fn set_timing(&self, timing: FleetTiming) {
        self.state.lock().fleet.set_timing(timing);
    }

    /// Returns whether a sheet and the upstreams' entries are known.
    pub(crate) fn has_sheet_and_entries(&self) -> bool {
        self.has_table(FollowedTable::Sheet) && self.has_table(FollowedTable::Entries)
    }

    pub(crate) fn has_table(&self, table: FollowedTable) -> bool {
        match table {
            FollowedTable::Sheet => {
                let view = self.view.load();
                view.sheet.is_some() && view.orders.is_known()
            }
            FollowedTable::Entries => self.state.lock().has_entries,
        }
    }

    /// Applies the complete contents of a table.
    pub(crate) fn apply_table(&self, table: FollowedTable, page: &RowPage) {
        match table {
            FollowedTable::Sheet => {
                self.apply_all_order_rows(page);
                self.apply_sheet_rows(&page.rows);
            }
            FollowedTable::Entries => self.apply_all_entries(page),
        }
    }

    fn apply_all_entries(&self, page: &RowPage) {
        let now = self.clock.now();
        let mut changes = self.decode_entry_changes(&page.rows);
        let entries = changes
            .iter()
            .filter_map(|change| Some((change.version, change.entry.clone()?)));
        let mut state = self.state.lock();
        let is_cold_limited = |service: &ServiceName| self.cold.is_limited(service);
        state
            .fleet
            .replace_rows(now, entries.collect(), &is_cold_limited);
        state.has_entries = true;
        state.entries_version = page.version;
        // The page holds every entry that exists; removals that came before it are
        // kept, as hosts that lag behind must be told of them too.
        for previous in std::mem::take(&mut state.entry_changes) {
            if changes.iter().any(|change| change.id == previous.id) {
                continue;
            }
            let version = if previous.entry.is_some() {
                page.version
            } else {
                previous.version
            };
            changes.push(EntryChange {
                entry: None,
                version,
                ..previous
            });
        }
        changes.sort_by_key(|change| change.version);
        state.entry_changes = changes;
        self.publish_fleet(&state);
    }

    /// Decodes rows of entries; an invalid row counts as a removed entry.
    fn decode_entry_changes(&self, rows: &[TableRow]) -> Vec<EntryChange> {
        let decode = |row: &TableRow| {
            let id = UpstreamId::from(row.key.as_str());
            let decoded = row
                .value
                .as_ref()
                .map(|bytes| self.platform.decode_entry(&id, bytes));
            let entry = match decoded {
                Some(Ok(entry)) => Some(entry),
                Some(Err(error)) => {
                    warn!(target: "fleet", "upstream={id} invalid entry ignored: {error}");
                    None
                }
                None => None,
            };
            EntryChange {
                id,
                version: row.version,
                entry,
                grace: None,
            }
        };
        rows.iter().map(decode).collect()
    }

    /// Returns the version of the sheet in force, or 0 before the first sheet.
    pub(crate) fn sheet_version(&self) -> u64 {
        let view = self.view.load();
        view.sheet.as_ref().map_or(0, |sheet| sheet.version)
    }

    /// Records the version of another host's sheet. If this host lags behind for too
    /// long, its own feed has fallen silent and the sheet is fetched again.
    ///
    /// Hosts hear of the leader's version, and the leader of all others': its own feed
    /// may be the silent one.
    pub(crate) fn record_peer_sheet(&self, version: u64) {
        let now = self.clock.now();
        let known_version = self.sheet_version();
        let mut state = self.state.lock();
        if known_version == 0 || version <= known_version {
            return;
        }
        let since = *state.sheet_behind_since.get_or_insert(now);
        if now - since >= MAX_SHEET_LAG {
            state.sheet_behind_since = Some(now);
            // The channel holds one request, which is enough.
            let _is_sent = self.refetch_sender.try_send(());
        }
    }

    /// Fetches the sheet from the store if its version is newer than the known one.
    pub(crate) fn fetch_sheet(&self, version: u64) {
        if self.sheet_version() < version {
            // The channel holds one request, which is enough.
            let _is_sent = self.refetch_sender.try_send(());
        }
    }

    /// Returns the row of the sheet in force, for a message.
    pub(crate) fn sheet_row(&self) -> WireSheet {
        match &self.state.lock().sheet_row {
            None => WireSheet::Known,
            Some(row) if row.len() > MAX_SHEET_BYTES => WireSheet::InStore,
            Some(row) => WireSheet::Row(row.clone()),
        }
    }

    /// Waits until the table has to be fetched again because its feed is silent.
    pub(crate) async fn wait_for_refetch(&self, table: FollowedTable) {
        if table != FollowedTable::Sheet || self.refetch_receiver.recv().await.is_err() {
            std::future::pending::<()>().await;
        }
    }

    /// Returns the version up to which the entries are known.
    pub(crate) fn entries_version(&self) -> u64 {
        self.state.lock().entries_version
    }

    /// Returns the version of the newest entry.
    pub(crate) fn last_entry_version(&self) -> u64 {
        let state = self.state.lock();
        let newest = state.entry_changes.last();
        newest.map_or(0, |change| change.version)
    }

    /// Returns the changes of entries that are newer than `version`.
    pub(crate) fn entry_changes_since(&self, version: u64) -> Vec<EntryChange> {
        let state = self.state.lock();
        let changes = &state.entry_changes;
        let from = changes.partition_point(|change| change.version <= version);
        let now = self.clock.now();
        let mut newer = changes[from..].to_vec();
        for change in &mut newer {
            if change.entry.is_none() {
                change.grace = Some(state.fleet.missing_grace(now, change.id.as_str()));
            }
            if let Some(entry) = &mut change.entry
                && self.cold.is_limited(&entry.service)
                && let Some(known) = state.fleet.get(change.id.as_str())
            {
                entry.cold_duration = known.cold_until - now;
            }
        }
        newer
    }

    /// Applies changed rows of a table.
    pub(crate) fn apply_changes(&self, table: FollowedTable, page: &RowPage) {
        match table {
            FollowedTable::Sheet => {
                self.apply_changed_order_rows(page);
                self.apply_sheet_rows(&page.rows);
            }
            FollowedTable::Entries => {
                self.apply_entry_changes(0, &self.decode_entry_changes(&page.rows));
                let mut state = self.state.lock();
                state.entries_version = state.entries_version.max(page.version);
            }
        }
    }

    fn apply_sheet_rows(&self, rows: &[TableRow]) {
        let key = &self.platform.tables().sheet_key;
        for row in rows {
            if row.key != *key {
                continue;
            }
            let Some(bytes) = &row.value else {
                warn!(target: "sheet", "the sheet was removed; the last one stays in force");
                continue;
            };
            self.apply_sheet_row(bytes);
        }
    }

    /// Puts the sheet in a row of the store into force, unless a newer one is.
    pub(crate) fn apply_sheet_row(&self, row: &[u8]) {
        match self.platform.decode_sheet(row) {
            Ok(sheet) => self.publish_sheet(sheet, row),
            Err(error) => warn!(target: "sheet", "invalid sheet ignored: {error}"),
        }
    }

    fn publish_sheet(&self, sheet: RouteSheet, row: &[u8]) {
        let mut state = self.state.lock();
        let view = self.view.load();
        let previous_version = view.routes.version();
        if sheet.version <= previous_version && view.sheet.is_some() {
            return;
        }
        info!(
            target: "sheet",
            "version={} earlier={previous_version} hosts={} services={}",
            sheet.version, sheet.hosts.len(), sheet.services.len(),
        );
        self.metrics.sheet_version.set(sheet.version.cast_signed());
        state.sheet_behind_since = None;
        state.sheet_row = Some(row.to_vec());
        let routes = Arc::new(PrefixTable::compile(&sheet, &view.routes));
        self.publish(&state, |view| {
            view.routes = routes;
            view.sheet = Some(Arc::new(sheet));
        });
    }

    /// Applies changes of entries, which are in order of version, and skips those
    /// already known. Ignores all of them if this host does not know the entries up to
    /// `base`, as the changes in between would be missed.
    pub(crate) fn apply_entry_changes(&self, base: u64, changes: &[EntryChange]) {
        let now = self.clock.now();
        let mut state = self.state.lock();
        let known_version = state.entries_version;
        let has_new_changes = changes.iter().any(|change| change.version > known_version);
        if known_version < base || !has_new_changes {
            return;
        }
        for change in changes {
            let EntryChange {
                id,
                version,
                entry,
                grace,
            } = change;
            if *version <= known_version {
                continue;
            }
            state.entries_version = state.entries_version.max(*version);
            state.entry_changes.retain(|previous| previous.id != *id);
            state.entry_changes.push(change.clone());
            let Some(entry) = entry else {
                info!(target: "fleet", "upstream={id} state=missing row={version}");
                state.fleet.record_missing(now, id.as_str(), *grace);
                continue;
            };
            let is_limited = self.cold.is_limited(&entry.service);
            if is_limited {
                self.cold.record_entry(now, entry);
            }
            if !state
                .fleet
                .apply_row(now, *version, entry.clone(), is_limited)
            {
                continue;
            }
            info!(
                target: "fleet",
                "upstream={id} service={} address={} state={:?} run={} row={version}",
                entry.service, entry.address, entry.state, entry.started_at_ms,
            );
        }
        self.publish_fleet(&state);
    }

    /// Records that the newest entry at the leader has this version: a host that knows
    /// the entries up to it knows all.
    pub(crate) fn record_complete_entries(&self, version: u64) {
        let mut state = self.state.lock();
        if version > 0 && state.entries_version >= version {
            state.has_entries = true;
        }
    }

    /// Applies a row of owners, unless a newer one is known.
    pub(crate) fn apply_owner_row(&self, row: &TableRow) {
        let service = ServiceName::from(row.key.as_str());
        let Some(map) = row
            .value
            .as_ref()
            .and_then(|bytes| decode_owner_row(&service, bytes))
        else {
            return;
        };
        self.apply_owner_map(service, row.version, map);
    }

    /// Applies the owners of a service's keys, unless a newer version is known.
    fn apply_owner_map(&self, service: ServiceName, version: u64, mut map: OwnerMap) {
        // Only the leader's ledger needs previous holders; here they would appear as
        // changes between versions.
        map.clear_previous_holders();
        let mut state = self.state.lock();
        let view = self.view.load();
        let known_epoch = view
            .owners
            .get(&service)
            .map_or(0, OwnerMap::greatest_epoch);
        let known_version = state.owner_versions.entry(service.clone()).or_insert(0);
        // A store that was restored issues its versions again, but epochs only increase.
        match map.greatest_epoch().cmp(&known_epoch) {
            std::cmp::Ordering::Less => return,
            std::cmp::Ordering::Equal if version <= *known_version => return,
            _ => {}
        }
        let previous_version = std::mem::replace(known_version, version);
        if version <= previous_version {
            info!(
                target: "owners",
                "service={service} state=restored row={version} earlier={previous_version}",
            );
            // Differences are computed between versions of one history.
            state.previous_owners.retain(|(name, ..)| *name != service);
        }
        let mut owners = IndexMap::clone(&view.owners);
        if let Some(previous_map) = owners.insert(service.clone(), map) {
            if state.previous_owners.len() >= MAX_PREVIOUS_OWNERS {
                state.previous_owners.remove(0);
            }
            state
                .previous_owners
                .push((service, previous_version, previous_map));
        }
        self.publish(&state, |view| view.owners = Arc::new(owners));
    }

    /// Returns the known versions of the owners, by service.
    pub(crate) fn owner_versions(&self) -> Vec<(ServiceName, u64)> {
        let state = self.state.lock();
        let known = state.owner_versions.iter();
        known
            .map(|(service, version)| (service.clone(), *version))
            .collect()
    }

    /// Returns what has changed in the owners since the `known` versions.
    pub(crate) fn owner_updates_since(&self, known: &[(ServiceName, u64)]) -> Vec<OwnerUpdate> {
        // The lock is taken before the view is loaded, so that each map matches its
        // version.
        let state = self.state.lock();
        let view = self.view.load();
        let mut newer = Vec::new();
        for (service, version) in &state.owner_versions {
            let known_version = known.iter().find(|(name, _)| name == service);
            let known_version = known_version.map_or(0, |(_, known_version)| *known_version);
            let Some(map) = view
                .owners
                .get(service)
                .filter(|_| known_version != *version)
            else {
                continue;
            };
            let base = state
                .previous_owners
                .iter()
                .find(|(name, base_version, _)| name == service && *base_version == known_version);
            newer.push(OwnerUpdate {
                service: service.clone(),
                base: base.map_or(0, |(_, base_version, _)| *base_version),
                version: *version,
                ranges: match base {
                    Some((_, _, base_map)) => WireOwners::from(&map.changes_since(base_map)),
                    None => WireOwners::from(map),
                },
            });
        }
        newer
    }

    /// Applies an update of the owners that the leader sent.
    pub(crate) fn apply_owner_update(&self, update: OwnerUpdate) {
        let ranges = OwnerMap::from(update.ranges);
        let map = if update.base == 0 {
            ranges
        } else {
            let state = self.state.lock();
            let known_version = state.owner_versions.get(&update.service).copied();
            let view = self.view.load();
            match view.owners.get(&update.service) {
                Some(map) if known_version == Some(update.base) => map.with_changes(&ranges),
                // The next report states the known version, and the leader sends the
                // difference from there.
                _ => return,
            }
        };
        if !map.is_complete() {
            warn!(target: "owners", "service={} update ignored: ranges have gaps", update.service);
            return;
        }
        self.apply_owner_map(update.service, update.version, map);
    }

    /// Records whether the last call for the sheet failed.
    pub(crate) fn set_store_failing(&self, is_failing: bool) {
        self.is_sheet_failing.store(is_failing, Ordering::Relaxed);
    }

    /// Returns whether the last call for the sheet failed.
    pub(crate) fn is_store_failing(&self) -> bool {
        self.is_sheet_failing.load(Ordering::Relaxed)
    }

    /// Records that the store failed to answer.
    pub(crate) fn record_outage(&self, error: &StoreError) {
        self.metrics.store_failures.inc();
        // A rate limit says nothing about missing entries.
        if *error != StoreError::RateLimited {
            self.state.lock().fleet.record_outage(self.clock.now());
        }
    }

    /// Removes upstreams that have been missing for too long; returns whether any was
    /// removed.
    pub(crate) fn remove_expired(&self, now: Moment) -> bool {
        let mut state = self.state.lock();
        let expired = state.fleet.remove_expired(now);
        for id in &expired {
            info!(target: "fleet", "upstream={id} state=gone");
        }
        if !expired.is_empty() {
            self.publish_fleet(&state);
        }
        !expired.is_empty()
    }

    /// Publishes a copy of the current view with `change` applied.
    ///
    /// The lock of `state` must be held: of two views built concurrently, one would
    /// overwrite the other's change.
    fn publish(&self, _state: &ReplicaState, change: impl FnOnce(&mut FrontView)) {
        let mut view = FrontView::clone(&self.view.load());
        change(&mut view);
        self.view.store(Arc::new(view));
    }

    fn publish_fleet(&self, state: &ReplicaState) {
        let mut upstreams: IndexMap<UpstreamId, KnownUpstream> = IndexMap::new();
        let mut upstream_hashes: IndexMap<u32, UpstreamId> = IndexMap::new();
        let mut by_service: IndexMap<ServiceName, Vec<UpstreamId>> = IndexMap::new();
        for known in state.fleet.iter() {
            let id = known.entry.id.clone();
            by_service
                .entry(known.entry.service.clone())
                .or_default()
                .push(id.clone());
            upstream_hashes.insert(upstream_hash(&id), id.clone());
            upstreams.insert(id, known.clone());
        }
        self.publish(state, |view| {
            view.upstreams = Arc::new(upstreams);
            view.upstream_hashes = Arc::new(upstream_hashes);
            view.by_service = Arc::new(by_service);
        });
    }
}

/// Decodes a row of owners; returns `None` if it is invalid or its ranges have gaps.
pub(crate) fn decode_owner_row(service: &ServiceName, bytes: &[u8]) -> Option<OwnerMap> {
    match OwnerMap::from_row(bytes) {
        Ok(map) => Some(map),
        Err(error) => {
            warn!(target: "owners", "service={service} invalid owners ignored: {error}");
            None
        }
    }
}
