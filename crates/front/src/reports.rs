//! Reports of all hosts to the leader, and its replies, as datagrams.
//!
//! Hosts report their load; the leader replies with what a host does not know yet,
//! above all the owners of keys, so that only one host reads them from the store.
//! A message that is lost is followed by the next one within a second, so datagrams
//! fit better than calls that wait for their answer.

use crate::dispatch::Dispatcher;
use crate::watch::ViewKeeper;
use async_std::net::UdpSocket;
use grant::{KeyLoads, OwnerMap};
use indexmap::IndexMap;
use kernel::{Clock, DomainName, Moment, ServiceName, UpstreamId};
use log::{debug, warn};
use parking_lot::Mutex;
use place::{LoadNorms, SeenLoad};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use store::TableRow;

/// Between two reports of one host.
const REPORT_PERIOD: Duration = Duration::from_millis(700);
/// The same for a standby, which notices the leader's loss by missing replies.
const STANDBY_PERIOD: Duration = Duration::from_millis(350);
/// For which a host counts after its last report.
const HOST_KEPT: Duration = Duration::from_secs(5);
/// Largest datagram, in bytes; the protocol's limit is 64 KB. Owners that don't fit
/// are read from the store.
const DATAGRAM_BYTES: usize = 60 << 10;
/// Most entries in one reply; the next one has the rest.
const MOST_ENTRIES: usize = 120;
/// Most speeds of upstreams in one reply.
const MOST_NORMS: usize = 40;
/// Most keys in a report, those with most requests first.
const MOST_KEYS: usize = 200;
/// Time in which the load on keys fades by half; long enough to even out chance,
/// short enough to follow a key that becomes hot.
const LOAD_HALF_LIFE: Duration = Duration::from_secs(3);

/// A message between a host and the leader.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum PeerMessage {
    /// A host's load since its last report.
    Report(HostReport),
    /// The leader's reply.
    Reply(LeaderReply),
}

/// What a host reports.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct HostReport {
    pub host: String,
    pub domain: DomainName,
    pub millicores: u32,
    /// Requests by service and key.
    pub loads: Vec<(ServiceName, Vec<(u16, f32)>)>,
    pub suspects: Vec<Suspect>,
    /// What the host has seen of upstreams since its last report.
    pub seen: Vec<WireLoad>,
    /// What the host knows.
    pub known: KnownState,
}

/// What a host knows of the store's rows.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct KnownState {
    /// Versions of the owners, by service.
    pub owners: Vec<(ServiceName, u64)>,
    /// Version up to which the upstreams' entries are known.
    pub entries: u64,
}

/// What was seen of an upstream: its id, requests, and tenths of milliseconds in a
/// slot.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct WireLoad(UpstreamId, u32, u32);

impl From<(UpstreamId, SeenLoad)> for WireLoad {
    fn from((id, load): (UpstreamId, SeenLoad)) -> Self {
        Self(id, load.requests, (load.service_ms * 10.0) as u32)
    }
}

impl From<WireLoad> for (UpstreamId, SeenLoad) {
    fn from(wire: WireLoad) -> Self {
        let WireLoad(id, requests, service) = wire;
        let load = SeenLoad {
            requests,
            service_ms: f64::from(service) / 10.0,
        };
        (id, load)
    }
}

/// Owners of a service's keys that are newer than what a host knows.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct OwnerNews {
    pub service: ServiceName,
    /// Version that the ranges change; 0 when they are all there are.
    pub base: u64,
    pub version: u64,
    pub ranges: OwnerMap,
}

/// A row of an upstream's entry, as the store has it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct WireEntry(String, u64, Option<String>);

impl From<TableRow> for WireEntry {
    fn from(row: TableRow) -> Self {
        // Entries are texts; one that isn't can't be decoded by anybody.
        let value = row
            .value
            .map(|bytes| String::from_utf8_lossy(&bytes).into_owned());
        Self(row.key, row.version, value)
    }
}

impl From<WireEntry> for TableRow {
    fn from(WireEntry(key, version, value): WireEntry) -> Self {
        Self {
            key,
            value: value.map(String::into_bytes),
            version,
        }
    }
}

/// What the leader tells every host.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct LeaderReply {
    /// The leader's term; a smaller one is out of date.
    pub term: u64,
    /// Whether the sender still leads; it says so when it gives up.
    pub is_leading: bool,
    /// Whether the sender hears of changed entries from the store.
    pub is_live: bool,
    pub hosts: u32,
    pub suspects: Vec<Suspect>,
    /// Owners that the host did not know.
    pub owners: Vec<OwnerNews>,
    /// Entries that the host did not know, in order of their versions.
    pub entries: Vec<WireEntry>,
    /// What all hosts have seen of the upstreams.
    pub norms: Vec<WireLoad>,
    pub standbys: Vec<String>,
    /// All hosts' addresses, for a standby that may have to lead.
    pub peers: Vec<SocketAddr>,
}

/// A request that upstreams ended with.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Suspect {
    pub fingerprint: u64,
    pub losses: u32,
    pub remaining_ms: u64,
}

/// A host as the leader sees it.
#[derive(Clone, Debug)]
pub(crate) struct PeerHost {
    pub name: String,
    pub domain: DomainName,
    pub millicores: u32,
}

/// A host that reported.
#[derive(Clone, Debug)]
struct KnownHost {
    heard_at: Moment,
    domain: DomainName,
    millicores: u32,
    address: SocketAddr,
    known: KnownState,
}

/// What the leader knows of the other hosts, and all of the leader.
#[derive(Debug)]
pub(crate) struct PeerBook {
    clock: Arc<dyn Clock>,
    state: Mutex<PeerState>,
}

#[derive(Debug)]
struct PeerState {
    leader: Option<SocketAddr>,
    term: u64,
    heard_at: Option<Moment>,
    is_standby: bool,
    /// Whether this host hears of changed entries from the store.
    is_live: bool,
    /// Whether the leader does.
    is_leader_live: bool,
    /// Term of this host while it leads.
    leading: Option<u64>,
    standbys: Vec<String>,
    hosts: IndexMap<String, KnownHost>,
    /// Addresses of all hosts, as the leader told this standby.
    peers: Vec<SocketAddr>,
    loads: IndexMap<ServiceName, KeyLoads>,
    norms: LoadNorms,
    /// Upstreams whose speed is unusual, since when, and where to go on.
    odd: Vec<(UpstreamId, SeenLoad)>,
    odd_at: Moment,
    odd_from: usize,
    faded_at: Moment,
}

impl PeerBook {
    pub(crate) fn new(clock: Arc<dyn Clock>) -> Self {
        let faded_at = clock.now();
        Self {
            clock,
            state: Mutex::new(PeerState {
                leader: None,
                term: 0,
                heard_at: None,
                is_standby: false,
                is_live: true,
                is_leader_live: false,
                leading: None,
                standbys: Vec::new(),
                hosts: IndexMap::new(),
                peers: Vec::new(),
                loads: IndexMap::new(),
                norms: LoadNorms::default(),
                odd: Vec::new(),
                odd_at: Moment::ZERO,
                odd_from: 0,
                faded_at,
            }),
        }
    }

    /// Notes where the leader takes reports.
    pub(crate) fn set_leader(&self, leader: Option<SocketAddr>) {
        self.state.lock().leader = leader;
    }

    /// Returns whether this host leads, or has heard the leader within `span`.
    pub(crate) fn hears_leader(&self, span: Duration) -> bool {
        let now = self.clock.now();
        let state = self.state.lock();
        state.leading.is_some() || state.heard_at.is_some_and(|at| now - at < span)
    }

    /// Returns whether the leader tells this host of changed entries.
    ///
    /// A leader that has lost the store may lead on for a while, but knows no more of
    /// upstreams that leave.
    pub(crate) fn is_told_entries(&self, span: Duration) -> bool {
        self.hears_leader(span) && self.state.lock().is_leader_live
    }

    /// Notes whether this host hears of changed entries from the store.
    pub(crate) fn set_live(&self, is_live: bool) {
        self.state.lock().is_live = is_live;
    }

    /// Returns whether this host hears of changed entries from the store.
    pub(crate) fn is_live(&self) -> bool {
        self.state.lock().is_live
    }

    /// Returns whether this host is a standby.
    pub(crate) fn is_standby(&self) -> bool {
        self.state.lock().is_standby
    }

    /// Notes whether this host leads, and which hosts are its standbys.
    pub(crate) fn set_leading(&self, leading: Option<u64>, standbys: &[String]) {
        let mut state = self.state.lock();
        state.leading = leading;
        state.standbys = standbys.to_vec();
    }

    /// Returns the hosts that reported lately.
    pub(crate) fn hosts(&self) -> Vec<PeerHost> {
        let now = self.clock.now();
        let mut state = self.state.lock();
        state
            .hosts
            .retain(|_, host| now - host.heard_at < HOST_KEPT);
        let hosts = state.hosts.iter();
        let hosts = hosts.map(|(name, host)| PeerHost {
            name: name.clone(),
            domain: host.domain.clone(),
            millicores: host.millicores,
        });
        hosts.collect()
    }

    /// Takes in what the leader says; returns whether it is up to date.
    fn take_reply(&self, reply: &LeaderReply, from: SocketAddr, own: &str) -> bool {
        let now = self.clock.now();
        let mut state = self.state.lock();
        if reply.term < state.term || state.leading.is_some_and(|term| term >= reply.term) {
            return false;
        }
        state.term = reply.term;
        state.is_standby = reply.standbys.iter().any(|name| name == own);
        if !reply.peers.is_empty() {
            state.peers.clone_from(&reply.peers);
        }
        if !reply.is_leading {
            // The next look at the store finds who leads now.
            state.heard_at = None;
            return true;
        }
        state.leader = Some(from);
        state.is_leader_live = reply.is_live;
        state.heard_at = Some(now);
        true
    }

    /// Returns the load on a service's keys.
    pub(crate) fn loads(&self, service: &ServiceName) -> KeyLoads {
        let now = self.clock.now();
        let mut state = self.state.lock();
        let elapsed = now - state.faded_at;
        if elapsed > REPORT_PERIOD / 4 {
            for loads in state.loads.values_mut() {
                loads.fade(elapsed, LOAD_HALF_LIFE);
            }
            state.faded_at = now;
        }
        state.loads.get(service).cloned().unwrap_or_default()
    }

    /// Returns whether this host leads.
    pub(crate) fn is_leading(&self) -> bool {
        self.state.lock().leading.is_some()
    }

    /// Returns an upstream's time in a slot as all hosts see it, in milliseconds.
    pub(crate) fn service_ms(&self, id: &str) -> Option<f64> {
        self.state.lock().norms.service_ms(id)
    }

    fn take(&self, report: &HostReport, address: SocketAddr) {
        let now = self.clock.now();
        let mut state = self.state.lock();
        for seen in &report.seen {
            let (id, load) = seen.clone().into();
            state.norms.take(now, &id, load);
        }
        let host = KnownHost {
            heard_at: now,
            domain: report.domain.clone(),
            millicores: report.millicores,
            address,
            known: report.known.clone(),
        };
        state.hosts.insert(report.host.clone(), host);
        for (service, keys) in &report.loads {
            let loads = state.loads.entry(service.clone()).or_default();
            for (key, requests) in keys {
                if requests.is_finite() && *requests > 0.0 {
                    loads.note(*key, *requests);
                }
            }
        }
    }
}

/// Sends this host's reports and takes in those of others.
#[derive(Clone, Debug)]
pub(crate) struct ReportLink {
    pub socket: Arc<UdpSocket>,
    pub book: Arc<PeerBook>,
    pub keeper: Arc<ViewKeeper>,
    pub dispatcher: Dispatcher,
    pub host: String,
    pub millicores: u32,
}

impl ReportLink {
    /// Sends a report every period, to the leader of that time.
    pub(crate) async fn send_reports(self) {
        loop {
            let period = if self.book.is_standby() {
                STANDBY_PERIOD
            } else {
                REPORT_PERIOD
            };
            async_std::task::sleep(period).await;
            let report = self.report();
            let leader = self.book.state.lock().leader;
            let Some(leader) = leader else {
                continue;
            };
            if self.socket.local_addr().ok() == Some(leader) {
                self.book.take(&report, leader);
                let norms = self.norms();
                self.learn(&norms);
                continue;
            }
            self.send(&PeerMessage::Report(report), leader).await;
        }
    }

    /// Tells every host that this one leads, or no longer does, and the owners that
    /// each does not know.
    pub(crate) async fn announce(&self, term: u64, is_leading: bool) {
        let mut targets: Vec<(SocketAddr, KnownState)> = Vec::new();
        {
            let mut state = self.book.state.lock();
            let own = self.socket.local_addr().ok();
            for host in state.hosts.values_mut() {
                targets.push((host.address, host.known.clone()));
                // Owners are not told again until the host reports that it lacks
                // them; entries are, as a leaving upstream must be heard of soon.
                host.known.owners = self.keeper.owner_versions();
            }
            for peer in std::mem::take(&mut state.peers) {
                if !targets.iter().any(|(address, _)| *address == peer) {
                    let known = KnownState {
                        owners: Vec::new(),
                        entries: self.keeper.entries_version(),
                    };
                    targets.push((peer, known));
                }
            }
            targets.retain(|(address, _)| Some(*address) != own);
        };
        for (address, known) in targets {
            let reply = self.reply(term, is_leading, &known, false, Vec::new());
            self.send(&PeerMessage::Reply(reply), address).await;
        }
    }

    fn reply(
        &self,
        term: u64,
        is_leading: bool,
        known: &KnownState,
        is_for_standby: bool,
        norms: Vec<WireLoad>,
    ) -> LeaderReply {
        let hosts = self.book.hosts().len() as u32;
        let state = self.book.state.lock();
        let peers = state.hosts.values().map(|host| host.address);
        LeaderReply {
            term,
            is_leading,
            is_live: state.is_live,
            hosts,
            suspects: self.suspects(),
            owners: self.keeper.newer_owners(&known.owners),
            entries: self
                .keeper
                .newer_entries(known.entries, MOST_ENTRIES)
                .into_iter()
                .map(WireEntry::from)
                .collect(),
            norms,
            standbys: state.standbys.clone(),
            peers: if is_for_standby {
                peers.collect()
            } else {
                Vec::new()
            },
        }
    }

    /// Returns the next upstreams whose speed differs clearly from the usual one; the
    /// others come with later replies, as small hosts have narrow links.
    fn norms(&self) -> Vec<WireLoad> {
        let now = self.book.clock.now();
        let mut state = self.book.state.lock();
        if now - state.odd_at >= REPORT_PERIOD {
            state.odd = state.norms.unusual(now, REPORT_PERIOD * 4);
            state.odd_at = now;
            let count = state.odd.len().max(1);
            state.odd_from = (state.odd_from + MOST_NORMS) % count;
        }
        let from = state.odd_from.min(state.odd.len());
        let rest = state.odd[from..].iter().chain(&state.odd[..from]);
        rest.take(MOST_NORMS).cloned().map(WireLoad::from).collect()
    }

    fn learn(&self, norms: &[WireLoad]) {
        let parts = &self.dispatcher.parts;
        let now = parts.clock.now();
        let mut place = parts.place.lock();
        for norm in norms {
            let (id, load) = norm.clone().into();
            place.learn(now, &id, load);
        }
    }

    fn report(&self) -> HostReport {
        let parts = &self.dispatcher.parts;
        let mut loads = Vec::new();
        for (service, counts) in parts.key_loads.lock().iter_mut() {
            let mut keys = counts.drain();
            keys.sort_by(|(_, a), (_, b)| b.total_cmp(a));
            keys.truncate(MOST_KEYS);
            loads.push((service.clone(), keys));
        }
        HostReport {
            host: self.host.clone(),
            domain: parts.domain.clone(),
            millicores: self.millicores,
            loads,
            suspects: self.suspects(),
            seen: parts
                .place
                .lock()
                .drain_seen()
                .into_iter()
                .map(WireLoad::from)
                .collect(),
            known: KnownState {
                owners: self.keeper.owner_versions(),
                entries: self.keeper.entries_version(),
            },
        }
    }

    fn suspects(&self) -> Vec<Suspect> {
        let parts = &self.dispatcher.parts;
        let book = parts.quarantine.lock();
        let known = book.iter(parts.clock.now());
        let suspects = known.map(|(fingerprint, losses, remaining)| Suspect {
            fingerprint,
            losses,
            remaining_ms: remaining.as_millis() as u64,
        });
        suspects.take(32).collect()
    }

    fn take_suspects(&self, suspects: &[Suspect]) {
        let parts = &self.dispatcher.parts;
        let now = parts.clock.now();
        let mut book = parts.quarantine.lock();
        for suspect in suspects {
            let remaining = Duration::from_millis(suspect.remaining_ms);
            book.merge(now, suspect.fingerprint, suspect.losses, remaining);
        }
    }

    async fn send(&self, message: &PeerMessage, peer: SocketAddr) {
        let bytes = match serde_json::to_vec(message) {
            Ok(bytes) => bytes,
            Err(error) => {
                warn!(target: "peers", "message not encoded: {error}");
                return;
            }
        };
        if bytes.len() > DATAGRAM_BYTES {
            debug!(target: "peers", "peer={peer} message of {} bytes not sent", bytes.len());
            return;
        }
        if let Err(error) = self.socket.send_to(&bytes, peer).await {
            debug!(target: "peers", "peer={peer} message not sent: {error}");
        }
    }

    /// Takes in messages from other hosts.
    pub(crate) async fn receive(self) {
        let mut buffer = vec![0_u8; DATAGRAM_BYTES];
        loop {
            let (length, peer) = match self.socket.recv_from(&mut buffer).await {
                Ok(received) => received,
                Err(error) => {
                    debug!(target: "peers", "receive failed: {error}");
                    async_std::task::sleep(REPORT_PERIOD / 10).await;
                    continue;
                }
            };
            match serde_json::from_slice(&buffer[..length]) {
                Ok(PeerMessage::Report(report)) => {
                    self.book.take(&report, peer);
                    self.take_suspects(&report.suspects);
                    let (leading, is_for_standby) = {
                        let state = self.book.state.lock();
                        (state.leading, state.standbys.contains(&report.host))
                    };
                    // A host that does not lead stays silent, so that others look
                    // for the leader in the store.
                    if let Some(term) = leading {
                        let norms = self.norms();
                        let reply = self.reply(term, true, &report.known, is_for_standby, norms);
                        self.send(&PeerMessage::Reply(reply), peer).await;
                    }
                }
                Ok(PeerMessage::Reply(reply)) => {
                    if !self.book.take_reply(&reply, peer, &self.host) {
                        continue;
                    }
                    self.take_suspects(&reply.suspects);
                    self.dispatcher.parts.budgets.set_hosts(reply.hosts);
                    self.learn(&reply.norms);
                    let rows: Vec<TableRow> =
                        reply.entries.into_iter().map(TableRow::from).collect();
                    self.keeper.take_entries(&rows);
                    for news in reply.owners {
                        self.keeper.take_news(news);
                    }
                }
                Err(error) => debug!(target: "peers", "peer={peer} message ignored: {error}"),
            }
        }
    }
}
