//! What the leader knows of the other hosts, and all of the leader.

use crate::draw::DrawSource;
use crate::message::{HostReport, KnownState, LeaderReply, WireLoad};
use async_channel::{Receiver, Sender, bounded};
use async_std::future::timeout;
use grant::{KeyLoads, PreviousTerm};
use indexmap::IndexMap;
use kernel::{Clock, DomainName, Moment, ServiceName, UpstreamId};
use parking_lot::Mutex;
use place::{FleetLoads, ObservedLoad};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// For which a host counts after its last report.
const HOST_KEPT: Duration = Duration::from_secs(5);
/// For which an answer of the store, or a standby's word of one, counts; a standby
/// looks at the store and reports three times in it.
const STORE_SEEN: Duration = Duration::from_millis(900);
/// Hosts, on average, that look at the store besides the standbys while the leader does
/// not reach it.
const MORE_HELPERS: u32 = 3;
/// Most speeds of upstreams in one reply.
const MOST_NORMS: usize = 40;
/// Age at which the list of unusual upstreams is made anew; hosts report as often.
const NORMS_PERIOD: Duration = Duration::from_millis(700);
/// Time in which the load on keys fades by half; long enough to even out chance,
/// short enough to follow a key that becomes hot.
const LOAD_HALF_LIFE: Duration = Duration::from_secs(3);
/// Least time between two fadings of the load on keys.
const FADE_PERIOD: Duration = Duration::from_millis(175);

/// A host as the leader sees it.
#[derive(Clone, Debug)]
pub(crate) struct PeerHost {
    pub name: String,
    pub domain: DomainName,
    pub strength: u32,
}

/// A host that reported.
#[derive(Clone, Debug)]
struct KnownHost {
    heard_at: Moment,
    domain: DomainName,
    strength: u32,
    address: SocketAddr,
    sees_store: bool,
    known: KnownState,
}

/// What the leader knows of the other hosts, and all of the leader.
#[derive(Debug)]
pub(crate) struct PeerBook {
    clock: Arc<dyn Clock>,
    draw: Arc<DrawSource>,
    /// Wakes the sender of reports.
    wake: Sender<()>,
    woken: Receiver<()>,
    state: Mutex<PeerState>,
}

#[derive(Debug)]
struct PeerState {
    leader: Option<SocketAddr>,
    term: u64,
    heard_at: Option<Moment>,
    is_standby: bool,
    /// Whether this host looks at the store while the leader does not reach it.
    is_helper: bool,
    /// The last term whose end was told, what was left behind, and when it was told.
    ended: Option<(u64, PreviousTerm, Moment)>,
    /// Whether the end of a term was told since the last look at it.
    is_end_new: bool,
    /// When this host last reached the store.
    store_seen_at: Option<Moment>,
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
    norms: FleetLoads,
    /// Upstreams whose speed is unusual, since when, and where to go on.
    odd: Vec<(UpstreamId, ObservedLoad)>,
    odd_at: Moment,
    odd_from: usize,
    faded_at: Moment,
}

impl PeerBook {
    pub(crate) fn new(clock: Arc<dyn Clock>, draw: Arc<DrawSource>) -> Self {
        let faded_at = clock.now();
        let (wake, woken) = bounded(1);
        Self {
            clock,
            draw,
            wake,
            woken,
            state: Mutex::new(PeerState {
                leader: None,
                term: 0,
                heard_at: None,
                is_standby: false,
                is_helper: false,
                ended: None,
                is_end_new: false,
                store_seen_at: None,
                is_live: true,
                is_leader_live: false,
                leading: None,
                standbys: Vec::new(),
                hosts: IndexMap::new(),
                peers: Vec::new(),
                loads: IndexMap::new(),
                norms: FleetLoads::default(),
                odd: Vec::new(),
                odd_at: Moment::ZERO,
                odd_from: 0,
                faded_at,
            }),
        }
    }

    /// Notes where the leader takes reports.
    pub(crate) fn set_leader(&self, leader: Option<SocketAddr>) {
        let mut state = self.state.lock();
        if leader.is_some() && state.leader != leader {
            // One wake-up is enough for several changes.
            let _is_waking = self.wake.try_send(());
        }
        state.leader = leader;
    }

    /// Waits until a report is due: for `period`, or until the leader is another.
    pub(crate) async fn wait_for_report(&self, period: Duration) {
        // Either way it is time to report.
        let _elapsed = timeout(period, self.woken.recv()).await;
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

    /// Returns what the leader of `term` left behind, if it told that it gave up.
    pub(crate) fn ended(&self, term: u64) -> Option<PreviousTerm> {
        let now = self.clock.now();
        let (ended, last, told_at) = self.state.lock().ended?;
        let grants_valid_for = last
            .grants_valid_for
            .map(|held| held.saturating_sub(now - told_at));
        (ended == term).then_some(PreviousTerm {
            grants_valid_for,
            ..last
        })
    }

    /// Returns whether a leader has told this standby of its end since the last call.
    pub(crate) fn take_end(&self) -> bool {
        std::mem::take(&mut self.state.lock().is_end_new)
    }

    /// Notes that the store has answered this host.
    pub(crate) fn note_store_seen(&self) {
        let mut state = self.state.lock();
        state.store_seen_at = Some(self.clock.now());
        if state.is_helper && !state.is_leader_live {
            // A leader without the store waits for this word. One wake-up is enough.
            let _is_waking = self.wake.try_send(());
        }
    }

    /// Returns whether the store has answered this host lately.
    pub(crate) fn sees_store(&self) -> bool {
        let now = self.clock.now();
        let seen_at = self.state.lock().store_seen_at;
        seen_at.is_some_and(|at| now - at < STORE_SEEN)
    }

    /// Returns the strongest host that has reported lately that it reaches the store, a
    /// standby if one has.
    pub(crate) fn successor(&self) -> Option<String> {
        let now = self.clock.now();
        let state = self.state.lock();
        let able = state.hosts.iter().filter(|(_, host)| {
            host.sees_store
                && now - host.heard_at < STORE_SEEN
                && Some(host.address) != state.leader
        });
        let best = able.max_by_key(|(name, host)| (state.standbys.contains(name), host.strength));
        best.map(|(name, _)| name.clone())
    }

    /// Returns a standby that has reported lately and is stronger than `strength`.
    pub(crate) fn stronger_standby(&self, strength: u32) -> Option<String> {
        let now = self.clock.now();
        let state = self.state.lock();
        let mut standbys = state
            .standbys
            .iter()
            .filter_map(|name| state.hosts.get_key_value(name));
        let found =
            standbys.find(|(_, host)| host.strength > strength && now - host.heard_at < STORE_SEEN);
        found.map(|(name, _)| name.clone())
    }

    /// Returns whether this host looks at the store while the leader does not reach it.
    pub(crate) fn is_helper(&self) -> bool {
        let state = self.state.lock();
        state.is_standby || state.is_helper
    }

    /// Returns whether the leader hears of changed entries from the store.
    pub(crate) fn is_leader_live(&self) -> bool {
        self.state.lock().is_leader_live
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
            strength: host.strength,
        });
        hosts.collect()
    }

    /// Takes in what the leader says; returns whether it is up to date.
    pub(crate) fn take_reply(&self, reply: &LeaderReply, from: SocketAddr, own: &str) -> bool {
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
        if let Some(last) = reply.ended {
            if state.ended.is_none_or(|(term, ..)| term < reply.term) {
                state.ended = Some((reply.term, last.into(), now));
                // The others wait for the successor to tell them; all would look at once.
                state.is_end_new = match &reply.successor {
                    Some(successor) => successor == own,
                    None => state.is_standby,
                };
                if state.is_end_new {
                    state.heard_at = None;
                }
            }
            return true;
        }
        state.leader = Some(from);
        if state.is_leader_live != reply.is_live {
            // Some more than the standbys, which the store may have turned away as well.
            let is_drawn = self.draw.below(reply.hosts.max(1)) < MORE_HELPERS;
            state.is_helper = state.is_standby || is_drawn;
        }
        state.is_leader_live = reply.is_live;
        state.heard_at = Some(now);
        true
    }

    /// Returns the load on a service's keys.
    pub(crate) fn loads(&self, service: &ServiceName) -> KeyLoads {
        let now = self.clock.now();
        let mut state = self.state.lock();
        let elapsed = now - state.faded_at;
        if elapsed > FADE_PERIOD {
            for loads in state.loads.values_mut() {
                loads.decay(elapsed, LOAD_HALF_LIFE);
            }
            state.faded_at = now;
        }
        state.loads.get(service).cloned().unwrap_or_default()
    }

    /// Returns whether this host leads.
    pub(crate) fn is_leading(&self) -> bool {
        self.leading().is_some()
    }

    /// Returns this host's term while it leads.
    pub(crate) fn leading(&self) -> Option<u64> {
        self.state.lock().leading
    }

    /// Returns where the leader takes reports.
    pub(crate) fn leader(&self) -> Option<SocketAddr> {
        self.state.lock().leader
    }

    /// Returns the names of this leader's standbys.
    pub(crate) fn standbys(&self) -> Vec<String> {
        self.state.lock().standbys.clone()
    }

    /// Returns the addresses of the hosts that reported.
    pub(crate) fn addresses(&self) -> Vec<SocketAddr> {
        let state = self.state.lock();
        state.hosts.values().map(|host| host.address).collect()
    }

    /// Returns all hosts and what each knows, and notes that they are now told what
    /// this host knows, `told`.
    pub(crate) fn take_targets(&self, told: &KnownState) -> Vec<(SocketAddr, KnownState)> {
        let mut targets: Vec<(SocketAddr, KnownState)> = Vec::new();
        let mut state = self.state.lock();
        for host in state.hosts.values_mut() {
            targets.push((host.address, host.known.clone()));
            // Neither is told again until the host reports that it lacks it.
            host.known.owners.clone_from(&told.owners);
            host.known.entries = host.known.entries.max(told.entries);
        }
        for peer in std::mem::take(&mut state.peers) {
            if targets.iter().any(|(address, _)| *address == peer) {
                continue;
            }
            let known = KnownState {
                owners: Vec::new(),
                entries: told.entries,
            };
            targets.push((peer, known));
        }
        targets
    }

    /// Returns the next upstreams whose speed differs clearly from the usual one; the
    /// others come with later replies, as small hosts have narrow links.
    pub(crate) fn next_norms(&self) -> Vec<WireLoad> {
        let now = self.clock.now();
        let mut state = self.state.lock();
        if now - state.odd_at >= NORMS_PERIOD {
            state.odd = state.norms.outliers(now, NORMS_PERIOD * 4);
            state.odd_at = now;
            let count = state.odd.len().max(1);
            state.odd_from = (state.odd_from + MOST_NORMS) % count;
        }
        let from = state.odd_from.min(state.odd.len());
        let rest = state.odd[from..].iter().chain(&state.odd[..from]);
        rest.take(MOST_NORMS).cloned().map(WireLoad::from).collect()
    }

    /// Returns an upstream's time in a slot as all hosts see it, in milliseconds.
    pub(crate) fn service_ms(&self, id: &str) -> Option<f64> {
        self.state.lock().norms.service_ms(id)
    }

    /// Takes in a host's report, which came from `address`.
    pub(crate) fn take(&self, report: &HostReport, address: SocketAddr) {
        let now = self.clock.now();
        let mut state = self.state.lock();
        for seen in &report.seen {
            let (id, load) = seen.clone().into();
            state.norms.record(now, &id, load);
        }
        let host = KnownHost {
            heard_at: now,
            domain: report.domain.clone(),
            strength: report.strength,
            address,
            sees_store: report.sees_store,
            known: report.known.clone(),
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
