//! The lease that a primary keeps renewed at one upstream.
//!
//! The end of a lease is named on the upstream's own clock: each reply carries
//! the upstream's reading, and the next order says "valid until your reading
//! plus the term". An order that is delayed or read late from a socket buffer
//! therefore can't extend a lease past what its sender accounted for.

use crate::{LeaseReply, Timing};
use kernel::{Epoch, Moment, ServiceName, ShardId};
use serde::{Deserialize, Serialize};
use std::time::Duration;
use xxhash_rust::xxh3::Xxh3;

/// A shard that an upstream may run work for, and under which epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ShardGrant {
    /// The shard.
    pub shard: ShardId,
    /// The epoch of its assignment.
    pub epoch: Epoch,
}

/// Returns a hash of a grant list, by which a held list is recognised.
pub fn grant_tag(service: &ServiceName, grants: &[ShardGrant]) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.update(service.as_str().as_bytes());
    for grant in grants {
        hasher.update(&grant.shard.0.to_le_bytes());
        hasher.update(&grant.epoch.0.to_le_bytes());
    }
    hasher.digest()
}

/// A reading of the upstream's clock and when it was taken, on the own clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct ClockReading {
    upstream_us: u64,
    sent_at: Moment,
    received_at: Moment,
}

/// What a primary knows of the lease at one upstream.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseState {
    epoch: Epoch,
    created_at: Moment,
    boot: Option<u64>,
    reading: Option<ClockReading>,
    ordered_end: Option<Moment>,
    held_end: Option<Moment>,
    held_tag: Option<u64>,
    last_reply_at: Option<Moment>,
    next_order_at: Moment,
    sequence: u64,
}

impl LeaseState {
    /// Starts a book for a primary under `epoch`.
    pub fn new(now: Moment, epoch: Epoch) -> Self {
        Self {
            epoch,
            created_at: now,
            boot: None,
            reading: None,
            ordered_end: None,
            held_end: None,
            held_tag: None,
            last_reply_at: None,
            next_order_at: now,
            sequence: 0,
        }
    }

    /// Returns the next order's sequence number.
    pub fn next_sequence(&mut self) -> u64 {
        self.sequence += 1;
        self.sequence
    }

    /// Returns the primary's epoch.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Returns when the book was started, which follows the claim's commit.
    pub fn created_at(&self) -> Moment {
        self.created_at
    }

    /// Returns the upstream's boot nonce, once known.
    pub fn boot(&self) -> Option<u64> {
        self.boot
    }

    /// Returns whether the upstream has accepted this epoch, and so refuses
    /// every older one.
    pub fn is_fenced(&self) -> bool {
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

    /// Returns until when work may be sent under the held lease.
    ///
    /// This errs early: it counts from when the reading was asked for.
    pub fn usable_until(&self) -> Option<Moment> {
        self.held_end
    }

    /// Returns the moment by which every lease ordered so far has lapsed.
    ///
    /// This errs late: it counts from when the reading was received.
    pub fn lapsed_by(&self, timing: &Timing) -> Moment {
        self.ordered_end
            .map_or(self.created_at, |end| end + timing.margin())
    }

    /// Returns whether an order is due.
    pub fn is_due(&self, now: Moment) -> bool {
        now >= self.next_order_at
    }

    /// Puts the next order off by the time between renewals.
    pub fn postpone(&mut self, now: Moment, timing: &Timing) {
        self.next_order_at = now + timing.renew();
    }

    /// Brings the next order forward.
    pub fn hasten(&mut self, now: Moment) {
        self.next_order_at = now;
    }

    /// Returns the end to order, on the upstream's clock, and accounts for it.
    ///
    /// `None` asks for a clock reading and fences older epochs.
    pub fn order(&mut self, now: Moment, timing: &Timing) -> Option<u64> {
        self.next_order_at = now + timing.renew();
        let reading = self.reading?;
        let term = timing.lease();
        self.ordered_end = self.ordered_end.max(Some(reading.received_at + term));
        Some(reading.upstream_us + term.as_micros() as u64)
    }

    /// Takes in the reply to the order sent at `sent`.
    pub fn accept(&mut self, now: Moment, sent: Moment, reply: &LeaseReply) {
        if self.boot.is_some_and(|boot| boot != reply.boot) {
            // Leases and grants of an earlier run ended with its process.
            self.ordered_end = None;
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
                sent_at: sent,
                received_at: now,
            });
        }
        self.held_end = self.end_on_own_clock(reply);
        // A lease that an earlier primary ordered counts like an own one.
        if let Some(left) = remaining(reply) {
            self.ordered_end = self.ordered_end.max(Some(now + left));
        }
    }

    /// Converts the end that the upstream holds to the own clock, erring early.
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
