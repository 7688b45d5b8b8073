//! State of an upstream for which this host is the primary.

use crate::{LeaseReply, LeaseState, ShardGrant, Timing, UpstreamEntry, grant_tag};
use indexmap::{IndexMap, IndexSet};
use kernel::{DomainName, HostId, Moment, ServiceName, ShardId, UpstreamId, Version};
use std::time::Duration;
use xxhash_rust::xxh3::Xxh3;

/// A planned move that waits longer than this for running work is canceled.
const MAX_MOVE_WAIT: Duration = Duration::from_millis(700);

/// A planned move of a shard to another upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ShardMove {
    /// The new owner.
    pub target: UpstreamId,
    /// The new owner's failure domain.
    pub domain: DomainName,
    /// When the move began.
    pub since: Moment,
    /// When the upstream confirmed that it runs nothing for the shard.
    pub released_at: Option<Moment>,
}

/// Conditions for a claim to take effect while the upstream can't be reached.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ClaimWait {
    /// Version of the domain row that holds the claim.
    pub version: Version,
    /// Previous primaries that may still be renewing leases.
    pub previous_primaries: Vec<HostId>,
    /// When this host first saw the committed claim.
    pub learned_at: Moment,
    /// Since when a quorum of each previous primary's witnesses knows the claim.
    pub quorum_since: Option<Moment>,
}

impl ClaimWait {
    /// Returns when all leases renewed by previous primaries have lapsed.
    pub fn lapsed_at(&self, timing: &Timing) -> Option<Moment> {
        let known_since = self.quorum_since?.max(self.learned_at);
        Some(
            known_since
                + timing.confirmation_duration()
                + timing.lease_duration()
                + 2 * timing.margin(),
        )
    }
}

/// State of an upstream for which this host is the primary.
#[derive(Clone, Debug)]
pub(crate) struct PrimaryState {
    pub service: ServiceName,
    pub address: String,
    pub lease: LeaseState,
    pub claim: ClaimWait,
    /// Whether the table has been read since the claim was first seen.
    ///
    /// The previous primary may have moved shards in a row that this host has not
    /// received, so nothing is granted or moved before that read.
    pub has_fresh_rows: bool,
    pub moves: IndexMap<ShardId, ShardMove>,
    /// Shards that the open transaction takes away from the upstream.
    pub committing: IndexSet<ShardId>,
    pub busy_shards: IndexSet<ShardId>,
    /// Grants that the upstream is known to hold.
    pub confirmed_grants: IndexSet<ShardGrant>,
    /// Increases with each change of `confirmed_grants`.
    pub confirmed_version: u64,
    pub running: u32,
    pub request_in_flight: bool,
    pub is_unusable: bool,
}

impl PrimaryState {
    pub fn new(now: Moment, entry: &UpstreamEntry, version: Version) -> Self {
        Self {
            service: entry.service.clone(),
            address: entry.address.clone(),
            lease: LeaseState::new(now, entry.epoch),
            claim: ClaimWait {
                version,
                previous_primaries: entry.unfenced.clone(),
                learned_at: now,
                quorum_since: None,
            },
            has_fresh_rows: false,
            moves: IndexMap::new(),
            committing: IndexSet::new(),
            busy_shards: IndexSet::new(),
            confirmed_grants: IndexSet::new(),
            confirmed_version: 0,
            running: 0,
            request_in_flight: false,
            is_unusable: false,
        }
    }

    /// Returns whether the grant for `shard` is withheld from the upstream.
    pub fn is_withheld(&self, shard: ShardId) -> bool {
        self.moves.contains_key(&shard) || self.committing.contains(&shard)
    }

    /// Returns the grants in `assigned` that the upstream is to hold.
    pub fn wanted_grants(&self, assigned: &[ShardGrant]) -> Vec<ShardGrant> {
        let kept = assigned.iter().copied();
        kept.filter(|grant| !self.is_withheld(grant.shard))
            .collect()
    }

    /// Returns whether the upstream holds exactly the wanted grants.
    pub fn holds_wanted_grants(&self, assigned: &[ShardGrant]) -> bool {
        let wanted = self.wanted_grants(assigned);
        self.lease.held_tag() == Some(grant_tag(&self.service, &wanted))
    }

    /// Returns whether work may be sent at `now`.
    pub fn is_usable(&self, now: Moment) -> bool {
        self.lease.usable_until().is_some_and(|end| now < end)
    }

    /// Returns whether shards may be taken away without the upstream's confirmation.
    ///
    /// `unchecked_wait` is added to the lease's end for upstreams that check no grants.
    pub fn is_lapsed(&self, now: Moment, timing: &Timing, unchecked_wait: Duration) -> bool {
        if !self.has_fresh_rows {
            return false;
        }
        let lapsed_by = if let Some(replied_at) = self.lease.last_reply_at() {
            // An upstream that answers gets its lease renewed, even if the previous
            // lease lapsed while its primary changed.
            let silent_by = replied_at + timing.lease_duration();
            Some(self.lease.lapsed_by(timing).max(silent_by))
        } else if self.claim.previous_primaries.is_empty() {
            Some(self.claim.learned_at + timing.lease_duration())
        } else {
            self.claim.lapsed_at(timing)
        };
        lapsed_by.is_some_and(|end| now > end + unchecked_wait)
    }

    /// Records a reply: the busy shards, the confirmed grants and the released moves.
    pub fn record_reply(&mut self, now: Moment, reply: &LeaseReply, assigned: &[ShardGrant]) {
        self.busy_shards = reply.busy.iter().copied().collect();
        self.running = reply.running;
        if !self.has_fresh_rows {
            return;
        }
        let mut confirmed: IndexSet<ShardGrant> = self.confirmed_grants.clone();
        if reply.held_tag.is_none() {
            confirmed.clear();
        }
        if self.holds_wanted_grants(assigned) {
            confirmed = self.wanted_grants(assigned).into_iter().collect();
            for (shard, shard_move) in &mut self.moves {
                if self.busy_shards.contains(shard) {
                    continue;
                }
                shard_move.released_at = shard_move.released_at.or(Some(now));
            }
        }
        if confirmed != self.confirmed_grants {
            self.confirmed_grants = confirmed;
            self.confirmed_version += 1;
        }
    }

    /// Returns a hash of the state that request routing depends on, apart from the
    /// assignment rows.
    pub fn view_hash(&self, id: &UpstreamId) -> u64 {
        let mut hasher = Xxh3::new();
        hasher.update(id.as_str().as_bytes());
        hasher.update(&self.lease.epoch().0.to_le_bytes());
        hasher.update(&self.confirmed_version.to_le_bytes());
        for shard in self.moves.keys() {
            hasher.update(&shard.0.to_le_bytes());
        }
        hasher.update(b"committing");
        for shard in &self.committing {
            hasher.update(&shard.0.to_le_bytes());
        }
        hasher.digest()
    }

    /// Cancels moves that have waited too long for running work.
    pub fn cancel_stuck_moves(&mut self, now: Moment) {
        let committing = &self.committing;
        self.moves.retain(|shard, shard_move| {
            committing.contains(shard) || now - shard_move.since <= MAX_MOVE_WAIT
        });
    }
}
