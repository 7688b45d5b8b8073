//! What is known of the other hosts.

use crate::{Beat, quorum_size};
use indexmap::IndexMap;
use kernel::{HostId, Moment, Version};
use std::time::Duration;

/// What is known of one other host.
#[derive(Clone, Debug)]
pub struct PeerState {
    /// When anything was last received from it.
    pub heard_at: Moment,
    /// When it was first heard in its present spell of being heard.
    pub heard_since: Moment,
    /// Its latest heartbeat or acknowledgement; with the latest loads.
    pub beat: Beat,
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
    pub fn hear(&mut self, now: Moment, beat: &Beat) {
        let silence = self.silence;
        let peer = self
            .peers
            .entry(beat.from.clone())
            .or_insert_with(|| PeerState {
                heard_at: now,
                heard_since: now,
                beat: beat.clone(),
                confirmed_at: None,
            });
        if now - peer.heard_at > silence {
            peer.heard_since = now;
        }
        peer.heard_at = now;
        // Messages of one peer can overtake each other; versions only grow.
        let row_version = peer.beat.row_version.max(beat.row_version);
        let loads = beat.loads.clone().or(peer.beat.loads.take());
        peer.beat = beat.clone();
        peer.beat.row_version = row_version;
        peer.beat.loads = loads;
    }

    /// Records the acknowledgement of an own heartbeat sent at `sent`.
    ///
    /// The peer confirms the own standing only if it knows no newer version of
    /// the domain row than `own_version`: a newer one may hold a takeover.
    pub fn acknowledge(&mut self, now: Moment, sent: Moment, beat: &Beat, own_version: Version) {
        self.hear(now, beat);
        if beat.row_version > own_version {
            return;
        }
        if let Some(peer) = self.peers.get_mut(&beat.from) {
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
            .map_or(Version(0), |peer| peer.beat.row_version)
    }

    /// Returns whether `host` was heard recently.
    pub fn is_heard(&self, now: Moment, host: &HostId) -> bool {
        self.peers
            .get(host)
            .is_some_and(|peer| now - peer.heard_at <= self.silence)
    }

    /// Returns whether `host` is heard and takes work over.
    pub fn is_available(&self, now: Moment, host: &HostId) -> bool {
        self.is_heard(now, host) && !self.is_leaving(host)
    }

    /// Returns whether `host` has announced that it is leaving.
    pub fn is_leaving(&self, host: &HostId) -> bool {
        self.peers
            .get(host)
            .is_some_and(|peer| peer.beat.is_leaving)
    }

    /// Returns what is known of `host`.
    pub fn get(&self, host: &HostId) -> Option<&PeerState> {
        self.peers.get(host)
    }

    /// Iterates over the peers heard recently.
    pub fn heard(&self, now: Moment) -> impl Iterator<Item = (&HostId, &PeerState)> {
        let silence = self.silence;
        self.peers
            .iter()
            .filter(move |(_, peer)| now - peer.heard_at <= silence)
    }

    /// Forgets peers not heard for `span`.
    pub fn forget_older(&mut self, now: Moment, span: Duration) {
        self.peers.retain(|_, peer| now - peer.heard_at <= span);
    }
}
