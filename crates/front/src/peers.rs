//! What a host knows of the leader, and what the leader knows of the other hosts.

use crate::message::{HostReport, KnownVersions, LeaderReply};
use crate::random::RandomSource;
use crate::relay_list::RelayLists;
use crate::wire_load::{LoadList, WireLoad};
use async_channel::{Receiver, Sender, bounded};
use async_std::future::timeout;
use grant::{KeyLoads, OwnerMap, PreviousTerm, TermFloor};
use indexmap::IndexMap;
use kernel::{Clock, DomainName, Moment, ServiceName, UpstreamId};
use parking_lot::Mutex;
use place::{FleetLoads, HolderPace, ObservedLoad};
use relay::RelayHost;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Time for which a host counts as live after its last report.
const HOST_TTL: Duration = Duration::from_secs(5);
/// Time for which an answer of the store to this host, or another host's report of one,
/// counts as evidence that it reaches the store. A standby polls the store and reports
/// three times within it.
const STORE_CONTACT_TTL: Duration = Duration::from_millis(900);
/// Mean number of hosts besides the standbys that poll the store while the leader does
/// not reach it.
const EXTRA_BACKUP_POLLERS: u32 = 3;
/// Maximum number of upstream loads in one reply, about 2 KB.
const MAX_REPLY_LOADS: usize = 256;
/// Age at which the list of loads is computed again; hosts report at the same interval.
const LOADS_REFRESH_INTERVAL: Duration = Duration::from_millis(700);
/// Half-life of the load on keys: long enough to even out random variation, short
/// enough to follow a key that becomes hot.
const LOAD_HALF_LIFE: Duration = Duration::from_secs(2);
/// Minimum time between two decays of the load on keys.
const MIN_DECAY_INTERVAL: Duration = Duration::from_millis(350);

/// A live host as the leader sees it.
#[derive(Clone, Debug)]
pub(crate) struct PeerHost {
    pub name: String,
    pub domain: DomainName,
    pub strength: u32,
}

/// The last report of a host.
#[derive(Clone, Debug)]
struct KnownHost {
    last_seen_at: Moment,
    domain: DomainName,
    strength: u32,
    address: SocketAddr,
    reaches_store: bool,
    known: KnownVersions,
    /// Where the host relays requests, if it does.
    relay: Option<RelayHost>,
}

/// What this host knows of the leader and, while it leads, of the other hosts.
#[derive(Debug)]
pub(crate) struct PeerRegistry {
    clock: Arc<dyn Clock>,
    random: Arc<RandomSource>,
    /// Wakes the sender of reports.
    wake_sender: Sender<()>,
    wake_receiver: Receiver<()>,
    state: Mutex<PeerState>,
    pub relay_lists: RelayLists,
}

/// What the lease showed when this host started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LeaseAtStart {
    /// It has not been read yet.
    Unknown,
    /// There has never been a lease: the whole deployment starts for the first time.
    Absent,
    /// A leader holds it, and tells this host what it has to know.
    Held,
    /// It has expired.
    Expired,
}

/// The last announced end of a term.
#[derive(Clone, Debug)]
struct AnnouncedEnd {
    term: u64,
    /// The state that the term left behind when the announcement arrived.
    previous: PreviousTerm,
    announced_at: Moment,
    /// The host that should take over; any may if none is named.
    successor: Option<String>,
}

#[derive(Debug)]
struct PeerState {
    leader: Option<SocketAddr>,
    term: u64,
    leader_seen_at: Option<Moment>,
    is_standby: bool,
    /// Whether this host polls the store while the leader does not reach it.
    is_backup_poller: bool,
    announced_end: Option<AnnouncedEnd>,
    /// Whether this host has yet to act on an announced end of a term.
    is_end_pending: bool,
    lease_at_start: LeaseAtStart,
    /// When the store last answered this host.
    store_reached_at: Option<Moment>,
    /// Whether this host receives changed entries from the store.
    is_feed_live: bool,
    /// Whether the leader receives changed entries from the store.
    is_leader_feed_live: bool,
    /// Since when it does not.
    leader_feed_lost_at: Option<Moment>,
    /// The term of this host while it leads.
    leading_term: Option<u64>,
    standbys: Vec<String>,
    hosts: IndexMap<String, KnownHost>,
    /// Addresses of all hosts, as the leader sent them to this standby.
    host_addresses: Vec<SocketAddr>,
    loads: IndexMap<ServiceName, KeyLoads>,
    /// Copies of `loads` since the last decay.
    load_snapshots: IndexMap<ServiceName, Arc<KeyLoads>>,
    fleet_loads: FleetLoads,
    /// Recent loads, when the list was computed, and where in it replies start.
    recent_loads: Vec<WireLoad>,
    loads_updated_at: Moment,
    loads_offset: usize,
    decayed_at: Moment,
    term_floor: TermFloor,
}

impl PeerRegistry {
    pub(crate) fn new(clock: Arc<dyn Clock>, random: Arc<RandomSource>) -> Self {
        let decayed_at = clock.now();
        let (wake_sender, wake_receiver) = bounded(1);
        Self {
            clock,
            random,
            wake_sender,
            wake_receiver,
            state: Mutex::new(PeerState {
                leader: None,
                term: 0,
                leader_seen_at: None,
                is_standby: false,
                is_backup_poller: false,
                announced_end: None,
                is_end_pending: false,
                lease_at_start: LeaseAtStart::Unknown,
                store_reached_at: None,
                is_feed_live: true,
                is_leader_feed_live: false,
                leader_feed_lost_at: None,
                leading_term: None,
                standbys: Vec::new(),
                hosts: IndexMap::new(),
                host_addresses: Vec::new(),
                loads: IndexMap::new(),
                load_snapshots: IndexMap::new(),
                fleet_loads: FleetLoads::default(),
                recent_loads: Vec::new(),
                loads_updated_at: Moment::ZERO,
                loads_offset: 0,
                decayed_at,
                term_floor: TermFloor::default(),
            }),
            relay_lists: RelayLists::default(),
        }
    }

    /// Sets the address to which reports are sent.
    pub(crate) fn set_leader(&self, leader: Option<SocketAddr>) {
        let mut state = self.state.lock();
        if leader.is_some() && state.leader != leader {
            // The channel holds one wake-up, which is enough for several changes.
            let _is_sent = self.wake_sender.try_send(());
        }
        state.leader = leader;
    }

    /// Has a report sent before it is due.
    pub(crate) fn wake_reports(&self) {
        // The channel holds one wake-up, which is enough.
        let _is_sent = self.wake_sender.try_send(());
    }

    /// Waits until a report is due: for `interval`, or until woken early, such as when
    /// the leader changes.
    pub(crate) async fn wait_for_report(&self, interval: Duration) {
        // A report is due in either case.
        let _elapsed = timeout(interval, self.wake_receiver.recv()).await;
    }

    /// Returns whether this host leads, or has heard from the leader within
    /// `max_silence`.
    pub(crate) fn is_leader_live(&self, max_silence: Duration) -> bool {
        let now = self.clock.now();
        let state = self.state.lock();
        state.leading_term.is_some()
            || state
                .leader_seen_at
                .is_some_and(|at| now - at < max_silence)
    }

    /// Returns whether the leader tells this host of changes in the store.
    ///
    /// A leader that has lost the store may go on leading for a while, but no longer
    /// learns of upstreams that leave; within `loss_grace` another host takes over.
    pub(crate) fn receives_changes(&self, max_silence: Duration, loss_grace: Duration) -> bool {
        let now = self.clock.now();
        let state = self.state.lock();
        let seen_at = state.leader_seen_at;
        let is_live = seen_at.is_some_and(|at| now - at < max_silence);
        let lost_at = state.leader_feed_lost_at;
        is_live && lost_at.is_none_or(|at| now - at < loss_grace)
    }

    /// Returns the state that the leader of `term` left behind, if it announced its
    /// end.
    pub(crate) fn announced_end(&self, term: u64) -> Option<PreviousTerm> {
        let now = self.clock.now();
        let state = self.state.lock();
        let end = state.announced_end.as_ref()?;
        let grants_valid_for = end
            .previous
            .grants_valid_for
            .map(|duration| duration.saturating_sub(now - end.announced_at));
        (end.term == term).then_some(PreviousTerm {
            grants_valid_for,
            ..end.previous
        })
    }

    /// Returns whether the leader of `term` has announced its end and left the lease to
    /// this host, or to any.
    ///
    /// Another host than the named one waits until the lease expires. A weak host that
    /// came first would soon leave the lease to a stronger one, and the keys that change
    /// their holder would wait each time.
    pub(crate) fn may_succeed(&self, term: u64, own_name: &str) -> bool {
        let state = self.state.lock();
        let end = state.announced_end.as_ref().filter(|end| end.term == term);
        end.is_some_and(|end| end.successor.as_ref().is_none_or(|name| name == own_name))
    }

    /// Returns whether this host should act on an announced end of a term, and clears
    /// the flag.
    pub(crate) fn take_pending_end(&self) -> bool {
        std::mem::take(&mut self.state.lock().is_end_pending)
    }

    /// Records what the lease shows; only the first call counts.
    pub(crate) fn record_lease_at_start(&self, lease: LeaseAtStart) {
        let mut state = self.state.lock();
        if state.lease_at_start == LeaseAtStart::Unknown {
            state.lease_at_start = lease;
        }
    }

    /// Returns what the lease showed when this host started.
    pub(crate) fn lease_at_start(&self) -> LeaseAtStart {
        self.state.lock().lease_at_start
    }

    /// Records that the store has answered this host.
    pub(crate) fn record_store_contact(&self) {
        let mut state = self.state.lock();
        state.store_reached_at = Some(self.clock.now());
        if state.is_backup_poller && !state.is_leader_feed_live {
            // A leader without the store waits for this report. One wake-up is enough.
            let _is_sent = self.wake_sender.try_send(());
        }
    }

    /// Returns whether the store has answered this host recently.
    pub(crate) fn reaches_store(&self) -> bool {
        let now = self.clock.now();
        let reached_at = self.state.lock().store_reached_at;
        reached_at.is_some_and(|at| now - at < STORE_CONTACT_TTL)
    }

    /// Returns the strongest host that has recently reported that it reaches the store;
    /// standbys are preferred.
    pub(crate) fn successor(&self) -> Option<String> {
        let now = self.clock.now();
        let state = self.state.lock();
        let candidates = state.hosts.iter().filter(|(_, host)| {
            host.reaches_store
                && now - host.last_seen_at < STORE_CONTACT_TTL
                && Some(host.address) != state.leader
        });
        let best =
            candidates.max_by_key(|(name, host)| (state.standbys.contains(name), host.strength));
        best.map(|(name, _)| name.clone())
    }

    /// Returns a standby that has reported recently and is stronger than `strength`.
    pub(crate) fn stronger_standby(&self, strength: u32) -> Option<String> {
        let now = self.clock.now();
        let state = self.state.lock();
        let mut standbys = state
            .standbys
            .iter()
            .filter_map(|name| state.hosts.get_key_value(name));
        let found = standbys.find(|(_, host)| {
            host.strength > strength && now - host.last_seen_at < STORE_CONTACT_TTL
        });
        found.map(|(name, _)| name.clone())
    }

    /// Returns whether this host polls the store while the leader does not reach it.
    pub(crate) fn is_backup_poller(&self) -> bool {
        let state = self.state.lock();
        state.is_standby || state.is_backup_poller
    }

    /// Returns whether the leader receives changed entries from the store.
    pub(crate) fn is_leader_feed_live(&self) -> bool {
        self.state.lock().is_leader_feed_live
    }

    /// Sets whether this host receives changed entries from the store.
    pub(crate) fn set_feed_live(&self, is_feed_live: bool) {
        self.state.lock().is_feed_live = is_feed_live;
    }

    /// Returns whether this host receives changed entries from the store.
    pub(crate) fn is_feed_live(&self) -> bool {
        self.state.lock().is_feed_live
    }

    /// Returns whether this host is a standby.
    pub(crate) fn is_standby(&self) -> bool {
        self.state.lock().is_standby
    }

    /// Sets the term in which this host leads, if it does, and the names of its
    /// standbys.
    pub(crate) fn set_leading(&self, leading_term: Option<u64>, standbys: &[String]) {
        let mut state = self.state.lock();
        state.term_floor.record_term(leading_term.unwrap_or(0));
        state.leading_term = leading_term;
        state.standbys = standbys.to_vec();
    }

    /// Returns the greatest term of which a leader has told this host.
    pub(crate) fn told_term(&self) -> u64 {
        self.state.lock().term
    }

    /// Returns the terms that this host knows of.
    pub(crate) fn term_floor(&self) -> TermFloor {
        self.state.lock().term_floor
    }

    /// Records terms that this host learns of other than by a message.
    pub(crate) fn update_term_floor(&self, update: impl FnOnce(&mut TermFloor)) {
        update(&mut self.state.lock().term_floor);
    }

    /// Records the term of the newest epoch in a map of owners.
    pub(crate) fn record_owners(&self, map: &OwnerMap) {
        self.update_term_floor(|floor| floor.record_epoch(map.greatest_epoch()));
    }

    /// Returns the hosts that have reported recently.
    pub(crate) fn hosts(&self) -> Vec<PeerHost> {
        let now = self.clock.now();
        let mut state = self.state.lock();
        state
            .hosts
            .retain(|_, host| now - host.last_seen_at < HOST_TTL);
        let hosts = state.hosts.iter();
        let hosts = hosts.map(|(name, host)| PeerHost {
            name: name.clone(),
            domain: host.domain.clone(),
            strength: host.strength,
        });
        hosts.collect()
    }

    /// Returns the hosts of a failure domain that have reported recently and relay.
    pub(crate) fn relay_hosts(&self, domain: &DomainName) -> Vec<RelayHost> {
        let now = self.clock.now();
        let state = self.state.lock();
        let live = state
            .hosts
            .values()
            .filter(|host| now - host.last_seen_at < HOST_TTL && host.domain == *domain);
        live.filter_map(|host| host.relay.clone()).collect()
    }

    /// Applies a message of the leader; returns whether it was current.
    pub(crate) fn apply_reply(
        &self,
        reply: &LeaderReply,
        from: SocketAddr,
        own_name: &str,
    ) -> bool {
        let now = self.clock.now();
        let mut state = self.state.lock();
        state.term_floor.record_term(reply.term);
        state.term_floor.record_term(reply.greatest_term);
        if reply.term < state.term || state.leading_term.is_some_and(|term| term >= reply.term) {
            return false;
        }
        state.term = reply.term;
        state.is_standby = reply.standbys.iter().any(|name| name == own_name);
        if !reply.host_addresses.is_empty() {
            state.host_addresses.clone_from(&reply.host_addresses);
        }
        if let Some(previous) = reply.end_state {
            if state
                .announced_end
                .as_ref()
                .is_none_or(|end| end.term < reply.term)
            {
                state.announced_end = Some(AnnouncedEnd {
                    term: reply.term,
                    previous: previous.into(),
                    announced_at: now,
                    successor: reply.successor.clone(),
                });
                // Hosts that need not act wait for the new leader's announcement;
                // otherwise all would poll at once.
                state.is_end_pending = match &reply.successor {
                    Some(successor) => successor == own_name,
                    None => state.is_standby,
                };
                if state.is_end_pending {
                    state.leader_seen_at = None;
                }
            }
            return true;
        }
        state.leader = Some(from);
        if state.is_leader_feed_live != reply.is_feed_live {
            // The standbys alone may not be enough: the store may refuse them as well.
            let is_selected = self.random.below(reply.host_count.max(1)) < EXTRA_BACKUP_POLLERS;
            state.is_backup_poller = state.is_standby || is_selected;
        }
        state.is_leader_feed_live = reply.is_feed_live;
        state.leader_feed_lost_at = match state.leader_feed_lost_at {
            _ if reply.is_feed_live => None,
            None => Some(now),
            earlier => earlier,
        };
        state.leader_seen_at = Some(now);
        true
    }

    /// Returns the load on a service's keys.
    pub(crate) fn loads(&self, service: &ServiceName) -> Arc<KeyLoads> {
        let now = self.clock.now();
        let mut state = self.state.lock();
        let elapsed = now - state.decayed_at;
        if elapsed > MIN_DECAY_INTERVAL {
            for loads in state.loads.values_mut() {
                loads.decay(elapsed, LOAD_HALF_LIFE);
            }
            state.decayed_at = now;
            state.load_snapshots.clear();
        }
        if let Some(snapshot) = state.load_snapshots.get(service) {
            return Arc::clone(snapshot);
        }
        let snapshot = Arc::new(state.loads.get(service).cloned().unwrap_or_default());
        let stored = Arc::clone(&snapshot);
        state.load_snapshots.insert(service.clone(), stored);
        snapshot
    }

    /// Returns whether this host leads.
    pub(crate) fn is_leading(&self) -> bool {
        self.leading_term().is_some()
    }

    /// Returns this host's term while it leads.
    pub(crate) fn leading_term(&self) -> Option<u64> {
        self.state.lock().leading_term
    }

    /// Returns the address to which reports are sent.
    pub(crate) fn leader(&self) -> Option<SocketAddr> {
        self.state.lock().leader
    }

    /// Returns the names of this leader's standbys.
    pub(crate) fn standbys(&self) -> Vec<String> {
        self.state.lock().standbys.clone()
    }

    /// Returns the addresses of the hosts that have reported.
    pub(crate) fn addresses(&self) -> Vec<SocketAddr> {
        let state = self.state.lock();
        state.hosts.values().map(|host| host.address).collect()
    }

    /// Returns the address and known versions of each host, and records that each has
    /// now been sent the `announced` versions.
    pub(crate) fn begin_announcement(
        &self,
        announced: &KnownVersions,
    ) -> Vec<(SocketAddr, KnownVersions)> {
        let mut targets: Vec<(SocketAddr, KnownVersions)> = Vec::new();
        let mut state = self.state.lock();
        for host in state.hosts.values_mut() {
            targets.push((host.address, host.known.clone()));
            // Nothing is sent twice, unless a report shows that the host lacks it.
            host.known.owners.clone_from(&announced.owners);
            host.known.entries = host.known.entries.max(announced.entries);
            host.known.sheet = host.known.sheet.max(announced.sheet);
            host.known.orders = host.known.orders.max(announced.orders);
        }
        for host_address in std::mem::take(&mut state.host_addresses) {
            if targets.iter().any(|(address, _)| *address == host_address) {
                continue;
            }
            let known = KnownVersions {
                owners: Vec::new(),
                entries: announced.entries,
                sheet: announced.sheet,
                // The new leader may know of an order that the last one did not announce.
                orders: 0,
            };
            targets.push((host_address, known));
        }
        targets
    }

    /// Returns the next recent loads. The others follow in later replies, as small hosts
    /// have narrow links.
    pub(crate) fn next_fleet_loads(&self) -> LoadList {
        let now = self.clock.now();
        let mut state = self.state.lock();
        if now - state.loads_updated_at >= LOADS_REFRESH_INTERVAL {
            let recent = state.fleet_loads.update(now, LOADS_REFRESH_INTERVAL * 4);
            let loads = recent.iter().map(|(id, load)| WireLoad::from((id, *load)));
            state.recent_loads = loads.collect();
            state.loads_updated_at = now;
            let count = state.recent_loads.len().max(1);
            state.loads_offset = (state.loads_offset + MAX_REPLY_LOADS) % count;
        }
        let from = state.loads_offset.min(state.recent_loads.len());
        let (before, after) = state.recent_loads.split_at(from);
        let loads = after.iter().chain(before);
        LoadList {
            loads: loads.take(MAX_REPLY_LOADS).copied().collect(),
            age: now - state.loads_updated_at,
        }
    }

    /// Returns an upstream's service time relative to that of all upstreams, as all
    /// hosts measured it.
    pub(crate) fn slowness(&self, id: &str) -> Option<f64> {
        self.state.lock().fleet_loads.slowness(id)
    }

    /// Passes the loads of upstreams that all hosts observed to `read`.
    pub(crate) fn read_fleet_loads<T>(&self, read: impl FnOnce(&FleetLoads) -> T) -> T {
        read(&self.state.lock().fleet_loads)
    }

    /// Returns what a holder of keys can do, if its momentary noise is known.
    pub(crate) fn holder_pace(&self, id: &str) -> Option<HolderPace> {
        self.state.lock().fleet_loads.holder_pace(id)
    }

    /// Applies a host's report, which came from `address`, with the loads that it
    /// observed.
    pub(crate) fn apply_report(
        &self,
        report: &HostReport,
        observed_loads: &[(UpstreamId, ObservedLoad)],
        address: SocketAddr,
    ) {
        let now = self.clock.now();
        let mut state = self.state.lock();
        state.term_floor.record_term(report.greatest_term);
        for (id, load) in observed_loads {
            state.fleet_loads.record(now, id, *load);
        }
        let host = KnownHost {
            last_seen_at: now,
            domain: report.domain.clone(),
            strength: report.strength,
            address,
            reaches_store: report.reaches_store,
            known: report.known.clone(),
            relay: report
                .relay
                .as_ref()
                .and_then(|offer| offer.host(&report.host, address)),
        };
        state.hosts.insert(report.host.clone(), host);
        for (service, keys) in &report.loads {
            let loads = state.loads.entry(service.clone()).or_default();
            for (key, requests) in keys {
                if requests.is_finite() && *requests > 0.0 {
                    loads.record(*key, *requests);
                }
            }
        }
    }
}
