//! The lease that a primary renews at one upstream.
//!
//! The end of a lease is stated on the upstream's own clock: each reply carries a
//! reading of that clock, and the next request sets the end to the reading plus
//! the lease duration. A request that is delayed or read late from a socket buffer
//! therefore can't extend a lease beyond the end that its sender recorded.

use crate::{LeaseReply, Timing};
use kernel::{Epoch, Moment, ServiceName, ShardId};
use serde::{Deserialize, Serialize};
use std::time::Duration;
use xxhash_rust::xxh3::Xxh3;

/// Permission for an upstream to run work for a shard under an epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ShardGrant {
    /// The shard.
    pub shard: ShardId,
    /// The epoch of the shard's assignment.
    pub epoch: Epoch,
}

/// Returns a hash of a grant list, used to check which list an upstream holds.
pub fn grant_tag(service: &ServiceName, grants: &[ShardGrant]) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.update(service.as_str().as_bytes());
    for grant in grants {
        hasher.update(&grant.shard.0.to_le_bytes());
        hasher.update(&grant.epoch.0.to_le_bytes());
    }
    hasher.digest()
}

/// A reading of the upstream's clock, taken between two times on this host's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct ClockReading {
    upstream_us: u64,
    sent_at: Moment,
    received_at: Moment,
}

/// A primary's knowledge of the lease at one upstream.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseState {
    epoch: Epoch,
    created_at: Moment,
    boot: Option<u64>,
    reading: Option<ClockReading>,
    requested_end: Option<Moment>,
    usable_until: Option<Moment>,
    held_tag: Option<u64>,
    last_reply_at: Option<Moment>,
    next_request_at: Moment,
    sequence: u64,
}

impl LeaseState {
    /// Builds the initial state for a primary under `epoch`.
    pub fn new(now: Moment, epoch: Epoch) -> Self {
        Self {
            epoch,
            created_at: now,
            boot: None,
            reading: None,
            requested_end: None,
            usable_until: None,
            held_tag: None,
            last_reply_at: None,
            next_request_at: now,
            sequence: 0,
        }
    }

    /// Returns the next request's sequence number.
    pub fn next_sequence(&mut self) -> u64 {
        self.sequence += 1;
        self.sequence
    }

    /// Returns the primary's epoch.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Returns when this state was created, which is after the claim was committed.
    pub fn created_at(&self) -> Moment {
        self.created_at
    }

    /// Returns the upstream's boot nonce, if known.
    pub fn boot(&self) -> Option<u64> {
        self.boot
    }

    /// Returns whether the upstream has accepted this epoch, and therefore refuses
    /// every older one.
    pub fn has_fenced_older_epochs(&self) -> bool {
        self.last_reply_at.is_some()
    }

    /// Returns the tag of the grant list that the upstream holds.
    pub fn held_tag(&self) -> Option<u64> {
        self.held_tag
    }

    /// Returns when the last reply was received.
    pub fn last_reply_at(&self) -> Option<Moment> {
        self.last_reply_at
    }

    /// Returns until when work may be sent under the current lease.
    ///
    /// The bound is early, never late: it counts from when the clock reading was
    /// requested.
    pub fn usable_until(&self) -> Option<Moment> {
        self.usable_until
    }

    /// Returns the time by which every lease requested so far has lapsed.
    ///
    /// The bound is late, never early: it counts from when the clock reading was
    /// received.
    pub fn lapsed_by(&self, timing: &Timing) -> Moment {
        self.requested_end
            .map_or(self.created_at, |end| end + timing.margin())
    }

    /// Returns whether a request is due.
    pub fn is_due(&self, now: Moment) -> bool {
        now >= self.next_request_at
    }

    /// Schedules the next request one renewal interval after `now`.
    pub fn postpone_request(&mut self, now: Moment, timing: &Timing) {
        self.next_request_at = now + timing.renew_interval();
    }

    /// Schedules the next request for `at`.
    pub fn schedule_request(&mut self, at: Moment) {
        self.next_request_at = at;
    }

    /// Returns the lease end to request and records it.
    ///
    /// The end is on the upstream's clock, in microseconds. `None` means that no
    /// clock reading is known: the request then fences older epochs and obtains a
    /// reading.
    pub fn request_lease_end(&mut self, now: Moment, timing: &Timing) -> Option<u64> {
        self.next_request_at = now + timing.renew_interval();
        let reading = self.reading?;
        let duration = timing.lease_duration();
        self.requested_end = self.requested_end.max(Some(reading.received_at + duration));
        Some(reading.upstream_us + duration.as_micros() as u64)
    }

    /// Records the reply to the request sent at `sent_at`.
    pub fn record_reply(&mut self, now: Moment, sent_at: Moment, reply: &LeaseReply) {
        if self.boot.is_some_and(|boot| boot != reply.boot) {
            // Leases and grants of the previous upstream run ended with its process.
            self.requested_end = None;
            self.reading = None;
        }
        self.boot = Some(reply.boot);
        self.last_reply_at = Some(now);
        self.held_tag = reply.held_tag;
        let is_newer = self
            .reading
            .is_none_or(|reading| reply.clock_us >= reading.upstream_us);
        if is_newer {
            self.reading = Some(ClockReading {
                upstream_us: reply.clock_us,
                sent_at,
                received_at: now,
            });
        }
        self.usable_until = self.end_on_own_clock(reply);
        // A lease that a previous primary requested also delays `lapsed_by`.
        if let Some(left) = remaining(reply) {
            self.requested_end = self.requested_end.max(Some(now + left));
        }
    }

    /// Converts the lease end in `reply` to this host's clock, early rather than late.
    fn end_on_own_clock(&self, reply: &LeaseReply) -> Option<Moment> {
        let until_us = reply.lease_until_us?;
        let reading = self.reading?;
        let left = until_us.checked_sub(reading.upstream_us)?;
        Some(reading.sent_at + Duration::from_micros(left))
    }
}

fn remaining(reply: &LeaseReply) -> Option<Duration> {
    let left_us = reply.lease_until_us?.checked_sub(reply.clock_us)?;
    Some(Duration::from_micros(left_us))
}
