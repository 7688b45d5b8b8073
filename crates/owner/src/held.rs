//! An upstream whose primary this host is.

use crate::{LeaseReply, LeaseState, ShardGrant, Timing, UpstreamEntry, grant_tag};
use indexmap::{IndexMap, IndexSet};
use kernel::{DomainName, HostId, Moment, ServiceName, ShardId, UpstreamId, Version};
use std::time::Duration;
use xxhash_rust::xxh3::Xxh3;

/// A planned move that waits longer than this for running work is called off.
const MOVE_PATIENCE: Duration = Duration::from_millis(700);

/// Where a shard is to go.
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

/// What must hold before a claim that could not reach the upstream counts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ClaimWait {
    /// Version of the domain row that holds the claim.
    pub version: Version,
    /// Earlier primaries that may still be renewing.
    pub earlier: Vec<HostId>,
    /// When the commit was learnt of.
    pub learnt_at: Moment,
    /// Since when a quorum of each earlier primary's witnesses knows the claim.
    pub quorum_since: Option<Moment>,
}

impl ClaimWait {
    /// Returns when leases renewed by an earlier primary have lapsed.
    pub fn over_at(&self, timing: &Timing) -> Option<Moment> {
        let known_since = self.quorum_since?.max(self.learnt_at);
        Some(known_since + timing.confirm() + timing.lease() + 2 * timing.margin())
    }
}

/// An upstream whose primary this host is.
#[derive(Clone, Debug)]
pub(crate) struct PrimaryState {
    pub service: ServiceName,
    pub address: String,
    pub book: LeaseState,
    pub claim: ClaimWait,
    /// Whether the table has been read since the claim was learnt of.
    ///
    /// The primary before may have moved shards by a row that has not arrived
    /// yet, so nothing is granted or moved before that.
    pub has_fresh_rows: bool,
    pub moves: IndexMap<ShardId, ShardMove>,
    /// Shards in a transaction whose outcome is open.
    pub committing: IndexSet<ShardId>,
    pub busy: IndexSet<ShardId>,
    /// Grants that the upstream is known to hold.
    pub confirmed: IndexSet<ShardGrant>,
    /// Grows with each change of `confirmed`.
    pub confirmations: u64,
    pub running: u32,
    pub order_in_flight: bool,
    pub is_lost: bool,
}

impl PrimaryState {
    pub fn new(now: Moment, entry: &UpstreamEntry, version: Version) -> Self {
        Self {
            service: entry.service.clone(),
            address: entry.address.clone(),
            book: LeaseState::new(now, entry.epoch),
            claim: ClaimWait {
                version,
                earlier: entry.unfenced.clone(),
                learnt_at: now,
                quorum_since: None,
            },
            has_fresh_rows: false,
            moves: IndexMap::new(),
            committing: IndexSet::new(),
            busy: IndexSet::new(),
            confirmed: IndexSet::new(),
            confirmations: 0,
            running: 0,
            order_in_flight: false,
            is_lost: false,
        }
    }

    /// Returns whether the upstream is to hold no grant for `shard`.
    pub fn is_withheld(&self, shard: ShardId) -> bool {
        self.moves.contains_key(&shard) || self.committing.contains(&shard)
    }

    /// Returns the grants that the upstream is to hold of those `assigned`.
    pub fn wanted_grants(&self, assigned: &[ShardGrant]) -> Vec<ShardGrant> {
        let kept = assigned.iter().copied();
        kept.filter(|grant| !self.is_withheld(grant.shard))
            .collect()
    }

    /// Returns whether the upstream holds just the wanted grants.
    pub fn holds_wanted(&self, assigned: &[ShardGrant]) -> bool {
        let wanted = self.wanted_grants(assigned);
        self.book.held_tag() == Some(grant_tag(&self.service, &wanted))
    }

    /// Returns whether work may be sent at `now`.
    pub fn is_usable(&self, now: Moment) -> bool {
        self.book.usable_until().is_some_and(|end| now < end)
    }

    /// Returns whether shards may be taken away without the upstream's word.
    pub fn is_lapsed(&self, now: Moment, timing: &Timing, unchecked_wait: Duration) -> bool {
        if !self.has_fresh_rows {
            return false;
        }
        let lapsed_by = if let Some(replied_at) = self.book.last_reply_at() {
            // An upstream that answers gets its lease back, whatever has lapsed
            // while its primary changed.
            let silent_by = replied_at + timing.lease();
            Some(self.book.lapsed_by(timing).max(silent_by))
        } else if self.claim.earlier.is_empty() {
            Some(self.claim.learnt_at + timing.lease())
        } else {
            self.claim.over_at(timing)
        };
        lapsed_by.is_some_and(|end| now > end + unchecked_wait)
    }

    /// Takes in a reply: which shards run, and which moves may be committed.
    pub fn note_reply(&mut self, now: Moment, reply: &LeaseReply, assigned: &[ShardGrant]) {
        self.busy = reply.busy.iter().copied().collect();
        self.running = reply.running;
        if !self.has_fresh_rows {
            return;
        }
        let mut confirmed: IndexSet<ShardGrant> = self.confirmed.clone();
        if reply.held_tag.is_none() {
            confirmed.clear();
        }
        if self.holds_wanted(assigned) {
            confirmed = self.wanted_grants(assigned).into_iter().collect();
            for (shard, shard_move) in &mut self.moves {
                if self.busy.contains(shard) {
                    continue;
                }
                shard_move.released_at = shard_move.released_at.or(Some(now));
            }
        }
        if confirmed != self.confirmed {
            self.confirmed = confirmed;
            self.confirmations += 1;
        }
    }

    /// Returns a hash that changes with whatever traffic sees of the upstream
    /// besides the assignment rows.
    pub fn view_stamp(&self, id: &UpstreamId) -> u64 {
        let mut hasher = Xxh3::new();
        hasher.update(id.as_str().as_bytes());
        hasher.update(&self.book.epoch().0.to_le_bytes());
        hasher.update(&self.confirmations.to_le_bytes());
        for shard in self.moves.keys() {
            hasher.update(&shard.0.to_le_bytes());
        }
        hasher.update(b"committing");
        for shard in &self.committing {
            hasher.update(&shard.0.to_le_bytes());
        }
        hasher.digest()
    }

    /// Calls off moves that have waited too long for running work.
    pub fn call_off_stuck_moves(&mut self, now: Moment) {
        let committing = &self.committing;
        self.moves.retain(|shard, shard_move| {
            committing.contains(shard) || now - shard_move.since <= MOVE_PATIENCE
        });
    }
}
