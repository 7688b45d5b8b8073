//! Keeps sheet, upstreams and owners as the store has them.

use crate::adapter::UserPlatform;
use crate::draw::DrawSource;
use crate::message::OwnerNews;
use crate::metrics::FrontMetrics;
use crate::peers::PeerBook;
use crate::view::{FrontView, ViewCell};
use async_channel::{Receiver, Sender, bounded};
use fleet::{EntryChange, FleetTiming, FleetView, KnownUpstream};
use futures::future::{Either, select};
use grant::{OwnerMap, WireOwners};
use indexmap::IndexMap;
use kernel::{Clock, Moment, ServiceName, UpstreamId};
use log::{info, warn};
use parking_lot::Mutex;
use route::PrefixTable;
use sheet::RouteSheet;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;
use store::{FeedReply, RowPage, RowStore, StoreError, TableRow};

/// For which the store holds a feed open without changes; its longest is 30 s.
const FEED_WAIT: Duration = Duration::from_secs(25);
/// The same for the feed of entries at the leader and its standbys: a connection that
/// has gone silent must not leave all hosts without news for long.
const LEADER_WAIT: Duration = Duration::from_secs(2);
/// Shortest pause after a failed call; doubles with each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(150);
/// Longest pause after failed calls; a store counts as steady 3 s after its return, and
/// is to have been noticed by then.
const LONGEST_PAUSE: Duration = Duration::from_secs(2);
/// For which changes are gathered before the next call of a busy feed; a third of the
/// time in which a sheet or a leaving upstream has to be heard of.
const GATHER: Duration = Duration::from_millis(700);
/// The same for the leader, which tells all others.
const LEADER_GATHER: Duration = Duration::from_millis(80);
/// Silence of the leader after which a host follows the entries itself, so that it
/// hears of a leaving upstream in time; one lost reply is enough.
const LEADER_SILENCE: Duration = Duration::from_millis(1_100);
/// For which a feed is held open while the leader is not heard.
const SILENT_WAIT: Duration = Duration::from_secs(2);
/// For which the leader may have a newer sheet before this host's feed is given up; a
/// feed that works brings it within the time for which changes are gathered.
const BEHIND_LIMIT: Duration = Duration::from_secs(1);
/// Earlier owners that are kept; hosts that lag further behind get all ranges.
const MOST_EARLIER: usize = 12;
/// Between two looks at the owners while no leader is heard; a new leader tells most
/// hosts itself.
const OWNER_POLL: Duration = Duration::from_millis(2_500);

/// A table that is watched.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WatchedTable {
    /// The operators' sheet.
    Sheet,
    /// The upstreams' entries.
    Entries,
}

/// What the store said last, and the view that follows from it.
#[derive(Debug)]
pub(crate) struct ViewKeeper {
    platform: Arc<dyn UserPlatform>,
    clock: Arc<dyn Clock>,
    draw: Arc<DrawSource>,
    cell: Arc<ViewCell>,
    metrics: FrontMetrics,
    /// Tells the follower of the sheet that its feed has fallen silent.
    nudge: Sender<()>,
    nudged: Receiver<()>,
    state: Mutex<KeeperState>,
}

#[derive(Debug)]
struct KeeperState {
    fleet: FleetView,
    owner_versions: IndexMap<ServiceName, u64>,
    /// Earlier owners, from which changes are told.
    earlier_owners: Vec<(ServiceName, u64, OwnerMap)>,
    /// The newest change of each entry, removed ones too, in order of their versions.
    entry_changes: Vec<EntryChange>,
    /// Version up to which the entries are known.
    entries_version: u64,
    has_entries: bool,
    /// Since when the leader has a newer sheet than this host.
    behind_since: Option<Moment>,
}

impl ViewKeeper {
    pub(crate) fn new(
        platform: Arc<dyn UserPlatform>,
        clock: Arc<dyn Clock>,
        draw: Arc<DrawSource>,
        cell: Arc<ViewCell>,
        metrics: FrontMetrics,
        timing: FleetTiming,
    ) -> Self {
        let (nudge, nudged) = bounded(1);
        Self {
            nudge,
            nudged,
            platform,
            clock,
            draw,
            cell,
            metrics,
            state: Mutex::new(KeeperState {
                fleet: FleetView::new(timing),
                owner_versions: IndexMap::new(),
                earlier_owners: Vec::new(),
                entry_changes: Vec::new(),
                entries_version: 0,
                has_entries: false,
                behind_since: None,
            }),
        }
    }

    /// Changes for how long upstreams without entries stay in use.
    pub(crate) fn set_timing(&self, timing: FleetTiming) {
        self.state.lock().fleet.set_timing(timing);
    }

    /// Returns whether a sheet and the upstreams are known.
    pub(crate) fn is_complete(&self) -> bool {
        self.cell.load().sheet.is_some() && self.state.lock().has_entries
    }

    /// Takes in all rows of a table.
    pub(crate) fn take_all(&self, table: WatchedTable, page: &RowPage) {
        match table {
            WatchedTable::Sheet => self.take_sheet(&page.rows),
            WatchedTable::Entries => self.take_all_entries(page),
        }
    }

    fn take_all_entries(&self, page: &RowPage) {
        let now = self.clock.now();
        let mut changes = self.decode_entries(&page.rows);
        let entries = changes.iter().filter_map(|change| change.entry.clone());
        let mut state = self.state.lock();
        state.fleet.replace(now, entries.collect());
        state.has_entries = true;
        state.entries_version = page.version;
        // Rows of this moment are all there are; what was removed before it has to
        // be told to hosts that lag behind, too.
        for earlier in std::mem::take(&mut state.entry_changes) {
            if changes.iter().any(|change| change.id == earlier.id) {
                continue;
            }
            let version = if earlier.entry.is_some() {
                page.version
            } else {
                earlier.version
            };
            changes.push(EntryChange {
                entry: None,
                version,
                ..earlier
            });
        }
        changes.sort_by_key(|change| change.version);
        state.entry_changes = changes;
        self.publish_fleet(&state);
    }

    /// Decodes rows of entries; what can't be read names no upstream.
    fn decode_entries(&self, rows: &[TableRow]) -> Vec<EntryChange> {
        let decode = |row: &TableRow| {
            let id = UpstreamId::from(row.key.as_str());
            let decoded = row
                .value
                .as_ref()
                .map(|bytes| self.platform.decode_entry(&id, bytes));
            let entry = match decoded {
                Some(Ok(entry)) => Some(entry),
                Some(Err(error)) => {
                    warn!(target: "fleet", "upstream={id} entry ignored: {error}");
                    None
                }
                None => None,
            };
            EntryChange {
                id,
                version: row.version,
                entry,
            }
        };
        rows.iter().map(decode).collect()
    }

    /// Returns the version of the sheet in force; 0 before the first.
    pub(crate) fn sheet_version(&self) -> u64 {
        let view = self.cell.load();
        view.sheet.as_ref().map_or(0, |sheet| sheet.version)
    }

    /// Takes in the version of the sheet that the leader has; one that this host
    /// lacks for long shows that its own feed has fallen silent.
    pub(crate) fn note_leader_sheet(&self, version: u64) {
        let now = self.clock.now();
        let known = self.sheet_version();
        let mut state = self.state.lock();
        if known == 0 || version <= known {
            state.behind_since = None;
            return;
        }
        let since = *state.behind_since.get_or_insert(now);
        if now - since >= BEHIND_LIMIT {
            state.behind_since = Some(now);
            // One nudge is enough for several.
            let _is_nudged = self.nudge.try_send(());
        }
    }

    /// Waits until the feed of a table is known to have fallen silent.
    async fn wait_for_nudge(&self, table: WatchedTable) {
        if table != WatchedTable::Sheet || self.nudged.recv().await.is_err() {
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
        let last = state.entry_changes.last();
        last.map_or(0, |change| change.version)
    }

    /// Returns the changes of entries that are newer than `version`.
    pub(crate) fn newer_entries(&self, version: u64) -> Vec<EntryChange> {
        let state = self.state.lock();
        let changes = &state.entry_changes;
        let from = changes.partition_point(|change| change.version <= version);
        changes[from..].to_vec()
    }

    /// Takes in rows of a table that changed.
    fn take_changes(&self, table: WatchedTable, page: &RowPage) {
        match table {
            WatchedTable::Sheet => self.take_sheet(&page.rows),
            WatchedTable::Entries => {
                self.take_entries(0, &self.decode_entries(&page.rows));
                let mut state = self.state.lock();
                state.entries_version = state.entries_version.max(page.version);
            }
        }
    }

    fn take_sheet(&self, rows: &[TableRow]) {
        let key = &self.platform.tables().sheet_key;
        for row in rows {
            if row.key != *key {
                continue;
            }
            let Some(bytes) = &row.value else {
                warn!(target: "sheet", "the sheet was removed; the last one stays in force");
                continue;
            };
            match self.platform.decode_sheet(bytes) {
                Ok(sheet) => self.publish_sheet(sheet),
                Err(error) => warn!(target: "sheet", "sheet ignored: {error}"),
            }
        }
    }

    fn publish_sheet(&self, sheet: RouteSheet) {
        let state = self.state.lock();
        let view = self.cell.load();
        let known = view.routes.version();
        if sheet.version <= known && view.sheet.is_some() {
            return;
        }
        info!(
            target: "sheet",
            "version={} earlier={known} hosts={} services={}",
            sheet.version, sheet.hosts.len(), sheet.services.len(),
        );
        self.metrics.sheet_version.set(sheet.version.cast_signed());
        let routes = Arc::new(PrefixTable::compile(&sheet, &view.routes));
        self.publish(&state, |view| {
            view.routes = routes;
            view.sheet = Some(Arc::new(sheet));
        });
    }

    /// Takes in changes of entries, in order of their versions; those that are known
    /// already are passed over. All are if those up to `base` are not known, as some
    /// between would be missed.
    pub(crate) fn take_entries(&self, base: u64, changes: &[EntryChange]) {
        let now = self.clock.now();
        let mut state = self.state.lock();
        let known = state.entries_version;
        let has_news = changes.iter().any(|change| change.version > known);
        if !state.has_entries || known < base || !has_news {
            return;
        }
        for change in changes {
            let EntryChange { id, version, entry } = change;
            if *version <= known {
                continue;
            }
            state.entries_version = state.entries_version.max(*version);
            state.entry_changes.retain(|earlier| earlier.id != *id);
            state.entry_changes.push(change.clone());
            let Some(entry) = entry else {
                info!(target: "fleet", "upstream={id} state=missing row={version}");
                state.fleet.record_missing(now, id.as_str());
                continue;
            };
            if !state.fleet.apply(now, entry.clone()) {
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

    /// Takes in a row of owners, unless a newer one is known.
    pub(crate) fn take_owners(&self, row: &TableRow) {
        let service = ServiceName::from(row.key.as_str());
        let Some(map) = row
            .value
            .as_ref()
            .and_then(|bytes| decode_owners(&service, bytes))
        else {
            return;
        };
        self.take_map(service, row.version, map);
    }

    /// Takes in the owners of a service's keys, unless a newer version is known.
    fn take_map(&self, service: ServiceName, version: u64, mut map: OwnerMap) {
        // Only the leader's ledger needs earlier holders; here they would be told as
        // changes.
        map.clear_previous_holders();
        let mut state = self.state.lock();
        let known = state.owner_versions.entry(service.clone()).or_insert(0);
        if version <= *known {
            return;
        }
        let earlier = std::mem::replace(known, version);
        let view = self.cell.load();
        let mut owners = IndexMap::clone(&view.owners);
        if let Some(replaced) = owners.insert(service.clone(), map) {
            if state.earlier_owners.len() >= MOST_EARLIER {
                state.earlier_owners.remove(0);
            }
            state.earlier_owners.push((service, earlier, replaced));
        }
        self.publish(&state, |view| view.owners = Arc::new(owners));
    }

    /// Returns the versions of the owners that are known.
    pub(crate) fn owner_versions(&self) -> Vec<(ServiceName, u64)> {
        let state = self.state.lock();
        let known = state.owner_versions.iter();
        known
            .map(|(service, version)| (service.clone(), *version))
            .collect()
    }

    /// Returns what changed of the owners since the versions given.
    pub(crate) fn newer_owners(&self, known: &[(ServiceName, u64)]) -> Vec<OwnerNews> {
        // The lock comes first, so that each map is the one of its version.
        let state = self.state.lock();
        let view = self.cell.load();
        let mut newer = Vec::new();
        for (service, version) in &state.owner_versions {
            let theirs = known.iter().find(|(name, _)| name == service);
            let theirs = theirs.map_or(0, |(_, theirs)| *theirs);
            let Some(map) = view.owners.get(service).filter(|_| theirs < *version) else {
                continue;
            };
            let base = state
                .earlier_owners
                .iter()
                .find(|(name, earlier, _)| name == service && *earlier == theirs);
            newer.push(OwnerNews {
                service: service.clone(),
                base: base.map_or(0, |(_, earlier, _)| *earlier),
                version: *version,
                ranges: match base {
                    Some((_, _, earlier)) => WireOwners::from(&map.changes_since(earlier)),
                    None => WireOwners::from(map),
                },
            });
        }
        newer
    }

    /// Takes in what the leader says of the owners.
    pub(crate) fn take_news(&self, news: OwnerNews) {
        let ranges = OwnerMap::from(news.ranges);
        let whole = if news.base == 0 {
            ranges
        } else {
            let state = self.state.lock();
            let known = state.owner_versions.get(&news.service).copied();
            let view = self.cell.load();
            match view.owners.get(&news.service) {
                Some(map) if known == Some(news.base) => map.with_changes(&ranges),
                // The next report says what is known, and the leader starts there.
                _ => return,
            }
        };
        if !whole.is_complete() {
            warn!(target: "owners", "service={} news ignored: ranges have gaps", news.service);
            return;
        }
        self.take_map(news.service, news.version, whole);
    }

    /// Notes that the store failed to answer.
    pub(crate) fn record_outage(&self, error: &StoreError) {
        self.metrics.store_failures.inc();
        // A rate limit says nothing about entries.
        if *error != StoreError::RateLimited {
            self.state.lock().fleet.record_outage(self.clock.now());
        }
    }

    /// Drops upstreams that have been missing for too long; returns the known ones
    /// when any was dropped.
    pub(crate) fn expire(&self, now: Moment) -> bool {
        let mut state = self.state.lock();
        let gone = state.fleet.expire(now);
        for id in &gone {
            info!(target: "fleet", "upstream={id} state=gone");
        }
        if !gone.is_empty() {
            self.publish_fleet(&state);
        }
        !gone.is_empty()
    }

    /// Publishes a view that differs from the present one by a change.
    ///
    /// The caller holds the lock of `state`: of two views that are built at a time,
    /// one would undo the other.
    fn publish(&self, _state: &KeeperState, change: impl FnOnce(&mut FrontView)) {
        let mut view = FrontView::clone(&self.cell.load());
        change(&mut view);
        self.cell.store(Arc::new(view));
    }

    fn publish_fleet(&self, state: &KeeperState) {
        let mut upstreams: IndexMap<UpstreamId, KnownUpstream> = IndexMap::new();
        let mut by_service: IndexMap<ServiceName, Vec<UpstreamId>> = IndexMap::new();
        for known in state.fleet.iter() {
            let id = known.entry.id.clone();
            by_service
                .entry(known.entry.service.clone())
                .or_default()
                .push(id.clone());
            upstreams.insert(id, known.clone());
        }
        self.publish(state, |view| {
            view.upstreams = Arc::new(upstreams);
            view.by_service = Arc::new(by_service);
        });
    }
}

/// Decodes a row of owners; a row that can't be read or has gaps is ignored.
pub(crate) fn decode_owners(service: &ServiceName, bytes: &[u8]) -> Option<OwnerMap> {
    match OwnerMap::from_row(bytes) {
        Ok(map) => Some(map),
        Err(error) => {
            warn!(target: "owners", "service={service} ignored: {error}");
            None
        }
    }
}

/// Follows a table for good.
///
/// Entries are followed by the leader and its standbys; others get them from the
/// leader, unless it is not heard.
pub(crate) async fn follow(
    keeper: Arc<ViewKeeper>,
    store: Arc<dyn RowStore>,
    book: Arc<PeerBook>,
    table: WatchedTable,
    name: String,
) {
    let mut pause = FIRST_PAUSE;
    let mut after = None;
    let mut is_lost = false;
    loop {
        let mut wait = FEED_WAIT;
        if table == WatchedTable::Entries && after.is_some() {
            after = Some(keeper.entries_version());
            if book.is_leading() || book.is_standby() {
                wait = LEADER_WAIT;
            } else if book.is_told_entries(LEADER_SILENCE) {
                async_std::task::sleep(LEADER_GATHER).await;
                continue;
            } else {
                wait = SILENT_WAIT;
            }
        }
        let gather = if book.is_leading() {
            LEADER_GATHER
        } else {
            GATHER
        };
        let outcome = match after {
            None => store.list(&name).await.map(|page| {
                keeper.take_all(table, &page);
                Some(page.version)
            }),
            Some(version) => {
                let feed = store.feed(&name, version, wait);
                let nudge = pin!(keeper.wait_for_nudge(table));
                match select(feed, nudge).await {
                    Either::Left((Ok(FeedReply::Changes(page)), _)) => {
                        keeper.take_changes(table, &page);
                        Ok(Some(page.version.max(version)))
                    }
                    Either::Left((Ok(FeedReply::HistoryGone), _)) => {
                        warn!(target: "store", "table={name} state=history_gone after={version}");
                        Ok(None)
                    }
                    Either::Left((Err(error), _)) => Err(error),
                    Either::Right(((), _)) => {
                        warn!(target: "store", "table={name} state=behind after={version}");
                        Ok(None)
                    }
                }
            }
        };
        match outcome {
            Ok(next) => {
                if is_lost {
                    info!(target: "store", "table={name} state=regained");
                }
                is_lost = false;
                if table == WatchedTable::Entries {
                    book.set_live(true);
                }
                after = next;
                pause = FIRST_PAUSE;
                async_std::task::sleep(gather).await;
            }
            Err(error) => {
                keeper.record_outage(&error);
                if !is_lost {
                    warn!(target: "store", "table={name} state=lost error=\"{error}\"");
                }
                is_lost = true;
                if table == WatchedTable::Entries {
                    book.set_live(false);
                }
                async_std::task::sleep(pause.mul_f64(0.75 + 0.5 * keeper.draw.fraction())).await;
                pause = (pause * 2).min(LONGEST_PAUSE);
            }
        }
    }
}

/// Reads the owners from the store whenever no leader is heard, for good.
pub(crate) async fn follow_owners(
    keeper: Arc<ViewKeeper>,
    store: Arc<dyn RowStore>,
    book: Arc<PeerBook>,
    name: String,
) {
    loop {
        if !book.hears_leader(OWNER_POLL) {
            match store.list(&name).await {
                Ok(page) => {
                    for row in &page.rows {
                        keeper.take_owners(row);
                    }
                }
                Err(error) => keeper.record_outage(&error),
            }
        }
        async_std::task::sleep(OWNER_POLL.mul_f64(0.8 + 0.4 * keeper.draw.fraction())).await;
    }
}
