//! What is known of the other hosts.

use crate::{Heartbeat, quorum_size};
use indexmap::IndexMap;
use kernel::{HostId, Moment, Version};
use std::time::Duration;

/// What is known of one other host.
#[derive(Clone, Debug)]
pub struct PeerState {
    /// When anything was last received from it.
    pub last_seen_at: Moment,
    /// When it was first heard in its present spell of being heard.
    pub live_since: Moment,
    /// Its latest heartbeat or acknowledgement; with the latest loads.
    pub heartbeat: Heartbeat,
    /// Send time of the latest own heartbeat that it confirmed.
    confirmed_at: Option<Moment>,
}

/// The peers heard so far.
#[derive(Clone, Debug)]
pub struct PeerTable {
    silence: Duration,
    peers: IndexMap<HostId, PeerState>,
}

impl PeerTable {
    /// Builds an empty table; a peer not heard for `silence` counts as silent.
    pub fn new(silence: Duration) -> Self {
        Self {
            silence,
            peers: IndexMap::new(),
        }
    }

    /// Records a heartbeat received from a peer.
    pub fn record_heartbeat(&mut self, now: Moment, heartbeat: &Heartbeat) {
        let silence = self.silence;
        let peer = self
            .peers
            .entry(heartbeat.from.clone())
            .or_insert_with(|| PeerState {
                last_seen_at: now,
                live_since: now,
                heartbeat: heartbeat.clone(),
                confirmed_at: None,
            });
        if now - peer.last_seen_at > silence {
            peer.live_since = now;
        }
        peer.last_seen_at = now;
        // Messages of one peer can overtake each other; versions only grow.
        let row_version = peer.heartbeat.row_version.max(heartbeat.row_version);
        let loads = heartbeat.loads.clone().or(peer.heartbeat.loads.take());
        peer.heartbeat = heartbeat.clone();
        peer.heartbeat.row_version = row_version;
        peer.heartbeat.loads = loads;
    }

    /// Records the acknowledgement of an own heartbeat sent at `sent`.
    ///
    /// The peer confirms the own standing only if it knows no newer version of
    /// the domain row than `own_version`: a newer one may hold a takeover.
    pub fn record_acknowledgement(
        &mut self,
        now: Moment,
        sent: Moment,
        heartbeat: &Heartbeat,
        own_version: Version,
    ) {
        self.record_heartbeat(now, heartbeat);
        if heartbeat.row_version > own_version {
            return;
        }
        if let Some(peer) = self.peers.get_mut(&heartbeat.from) {
            peer.confirmed_at = peer.confirmed_at.max(Some(sent));
        }
    }

    /// Returns when a quorum of `witnesses` last confirmed the own standing.
    ///
    /// The value is the send time of the oldest heartbeat in the most recent
    /// quorum; `None` when no quorum has confirmed. A host without witnesses
    /// is confirmed by nobody and needs the table.
    pub fn confirmed_at(&self, witnesses: &[&HostId]) -> Option<Moment> {
        if witnesses.is_empty() {
            return None;
        }
        let mut times: Vec<Moment> = witnesses
            .iter()
            .filter_map(|witness| self.peers.get(*witness)?.confirmed_at)
            .collect();
        times.sort_unstable_by(|a, b| b.cmp(a));
        times.get(quorum_size(witnesses.len()) - 1).copied()
    }

    /// Returns whether a quorum of `witnesses` knows `version` of the domain row.
    ///
    /// `own` counts as knowing `own_version` when it is among the witnesses.
    pub fn is_known_by_quorum(
        &self,
        witnesses: &[&HostId],
        version: Version,
        own: &HostId,
        own_version: Version,
    ) -> bool {
        let mut count = 0;
        for witness in witnesses {
            let known = if *witness == own {
                own_version
            } else {
                self.known_version(witness)
            };
            if known >= version {
                count += 1;
            }
        }
        count >= quorum_size(witnesses.len())
    }

    /// Returns the version of its domain row that `host` is known to know.
    pub fn known_version(&self, host: &HostId) -> Version {
        self.peers
            .get(host)
            .map_or(Version(0), |peer| peer.heartbeat.row_version)
    }

    /// Returns whether `host` was heard recently.
    pub fn is_live(&self, now: Moment, host: &HostId) -> bool {
        self.peers
            .get(host)
            .is_some_and(|peer| now - peer.last_seen_at <= self.silence)
    }

    /// Returns whether `host` is heard and takes work over.
    pub fn is_available(&self, now: Moment, host: &HostId) -> bool {
        self.is_live(now, host) && !self.is_leaving(host)
    }

    /// Returns whether `host` has announced that it is leaving.
    pub fn is_leaving(&self, host: &HostId) -> bool {
        self.peers
            .get(host)
            .is_some_and(|peer| peer.heartbeat.is_leaving)
    }

    /// Returns what is known of `host`.
    pub fn get(&self, host: &HostId) -> Option<&PeerState> {
        self.peers.get(host)
    }

    /// Iterates over the peers heard recently.
    pub fn live_peers(&self, now: Moment) -> impl Iterator<Item = (&HostId, &PeerState)> {
        let silence = self.silence;
        self.peers
            .iter()
            .filter(move |(_, peer)| now - peer.last_seen_at <= silence)
    }

    /// Forgets peers not heard for `span`.
    pub fn remove_older(&mut self, now: Moment, span: Duration) {
        self.peers.retain(|_, peer| now - peer.last_seen_at <= span);
    }
}
