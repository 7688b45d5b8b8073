//! Table of the state known about other hosts.

use crate::{Heartbeat, quorum_size};
use indexmap::IndexMap;
use kernel::{HostId, Moment, Version};
use std::time::Duration;

/// State known about one other host.
#[derive(Clone, Debug)]
pub struct PeerState {
    /// When a heartbeat or acknowledgement was last received from it.
    pub last_seen_at: Moment,
    /// When it last became live, after it was silent or unknown.
    pub live_since: Moment,
    /// Its latest heartbeat or acknowledgement, with the latest known loads.
    pub heartbeat: Heartbeat,
    /// Send time of this host's latest heartbeat that the peer confirmed.
    confirmed_at: Option<Moment>,
}

/// State of all peers that a message was received from.
#[derive(Clone, Debug)]
pub struct PeerTable {
    max_silence: Duration,
    peers: IndexMap<HostId, PeerState>,
}

impl PeerTable {
    /// Builds an empty table in which a peer is silent after `max_silence` without a
    /// message.
    pub fn new(max_silence: Duration) -> Self {
        Self {
            max_silence,
            peers: IndexMap::new(),
        }
    }

    /// Records a heartbeat received from a peer.
    pub fn record_heartbeat(&mut self, now: Moment, heartbeat: &Heartbeat) {
        let max_silence = self.max_silence;
        let peer = self
            .peers
            .entry(heartbeat.from.clone())
            .or_insert_with(|| PeerState {
                last_seen_at: now,
                live_since: now,
                heartbeat: heartbeat.clone(),
                confirmed_at: None,
            });
        if now - peer.last_seen_at > max_silence {
            peer.live_since = now;
        }
        peer.last_seen_at = now;
        // Messages of one peer can arrive out of order; versions only increase.
        let row_version = peer.heartbeat.row_version.max(heartbeat.row_version);
        let loads = heartbeat.loads.clone().or(peer.heartbeat.loads.take());
        peer.heartbeat = heartbeat.clone();
        peer.heartbeat.row_version = row_version;
        peer.heartbeat.loads = loads;
    }

    /// Records the acknowledgement of a heartbeat that this host sent at `sent_at`.
    ///
    /// The peer confirms this host's authority only if it knows no newer version of
    /// the domain row than `own_version`, as a newer one may contain a takeover.
    pub fn record_acknowledgement(
        &mut self,
        now: Moment,
        sent_at: Moment,
        heartbeat: &Heartbeat,
        own_version: Version,
    ) {
        self.record_heartbeat(now, heartbeat);
        if heartbeat.row_version > own_version {
            return;
        }
        if let Some(peer) = self.peers.get_mut(&heartbeat.from) {
            peer.confirmed_at = peer.confirmed_at.max(Some(sent_at));
        }
    }

    /// Returns when a quorum of `witnesses` last confirmed this host's authority.
    ///
    /// The value is the send time of the oldest heartbeat in the most recent
    /// quorum; `None` if no quorum has confirmed. A host without witnesses is never
    /// confirmed this way and needs the table.
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
    /// If `own_id` is among the witnesses, it counts as knowing `own_version`.
    pub fn is_known_by_quorum(
        &self,
        witnesses: &[&HostId],
        version: Version,
        own_id: &HostId,
        own_version: Version,
    ) -> bool {
        let mut count = 0;
        for witness in witnesses {
            let known = if *witness == own_id {
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

    /// Returns the latest version of its domain's row that `host` has reported.
    pub fn known_version(&self, host: &HostId) -> Version {
        self.peers
            .get(host)
            .map_or(Version(0), |peer| peer.heartbeat.row_version)
    }

    /// Returns whether a message from `host` was received recently.
    pub fn is_live(&self, now: Moment, host: &HostId) -> bool {
        self.peers
            .get(host)
            .is_some_and(|peer| now - peer.last_seen_at <= self.max_silence)
    }

    /// Returns whether `host` is live and not leaving.
    pub fn is_available(&self, now: Moment, host: &HostId) -> bool {
        self.is_live(now, host) && !self.is_leaving(host)
    }

    /// Returns whether `host` has announced that it is leaving.
    pub fn is_leaving(&self, host: &HostId) -> bool {
        self.peers
            .get(host)
            .is_some_and(|peer| peer.heartbeat.is_leaving)
    }

    /// Returns the known state of `host`.
    pub fn get(&self, host: &HostId) -> Option<&PeerState> {
        self.peers.get(host)
    }

    /// Iterates over the peers that are live at `now`.
    pub fn live_peers(&self, now: Moment) -> impl Iterator<Item = (&HostId, &PeerState)> {
        let max_silence = self.max_silence;
        self.peers
            .iter()
            .filter(move |(_, peer)| now - peer.last_seen_at <= max_silence)
    }

    /// Removes the peers that were last seen longer than `max_age` ago.
    pub fn remove_older(&mut self, now: Moment, max_age: Duration) {
        self.peers
            .retain(|_, peer| now - peer.last_seen_at <= max_age);
    }
}
