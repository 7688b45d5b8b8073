//! The leader's lease.

use kernel::Moment;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The row that says who leads; times are the store's own.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRow {
    /// Counts the leaders; each has a greater one.
    pub term: u64,
    /// Name of the leading host.
    pub host: String,
    /// Which run of its process leads.
    pub run: u64,
    /// Where it takes load reports, as `ip:port`.
    pub address: String,
    /// Until when the lease holds, on the store's clock, in milliseconds.
    pub expires_ms: u64,
    /// Whether the leader gave up its lease with every grant answered.
    pub is_clean: bool,
    /// For how long after it gave up its lease its grants may be in force, in
    /// milliseconds; unknown while it leads.
    #[serde(default)]
    pub held_for_ms: Option<u64>,
    /// Hosts that the leader has heard from lately.
    pub hosts: u32,
    /// Names of the hosts that look after the lease most often.
    #[serde(default)]
    pub standbys: Vec<String>,
}

impl LeaseRow {
    /// Returns whether `claimant` wrote the row.
    pub fn belongs_to(&self, claimant: &LeaseClaimant<'_>) -> bool {
        self.is_of_host(claimant) && self.run == claimant.run
    }

    /// Returns whether `claimant` may take the lease at `store_now_ms`, which must be a
    /// reading of the store's clock and no estimate: one that runs ahead would make two
    /// leaders.
    ///
    /// An earlier run of the same host has ended, so its lease is void.
    pub fn is_available_to(&self, claimant: &LeaseClaimant<'_>, store_now_ms: u64) -> bool {
        let is_earlier_run = self.is_of_host(claimant) && self.run != claimant.run;
        self.expires_ms <= store_now_ms || is_earlier_run
    }

    fn is_of_host(&self, claimant: &LeaseClaimant<'_>) -> bool {
        self.host == claimant.host && self.address == claimant.address
    }
}

/// A run of a host's process that asks for the lease.
///
/// A run alone names nobody: hosts that start together can draw the same number.
#[derive(Clone, Copy, Debug)]
pub struct LeaseClaimant<'a> {
    /// Name of the host.
    pub host: &'a str,
    /// Where it takes load reports, as `ip:port`.
    pub address: &'a str,
    /// Which run of its process it is.
    pub run: u64,
}

/// What the last leader left behind, as far as its successor knows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PreviousTerm {
    /// Whether every grant of it was answered.
    pub is_clean: bool,
    /// For how long its grants may be in force, if it told.
    pub grants_valid_for: Option<Duration>,
}

impl From<&LeaseRow> for PreviousTerm {
    fn from(row: &LeaseRow) -> Self {
        Self {
            is_clean: row.is_clean,
            grants_valid_for: row.held_for_ms.map(Duration::from_millis),
        }
    }
}

/// A reading of the store's clock, and the leader's own deadline.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeaderLease {
    reading: Option<(Moment, u64)>,
    valid_until: Option<Moment>,
}

impl LeaderLease {
    /// Notes that a call sent at `sent_at` returned the store's time.
    pub fn record_store_time(&mut self, sent_at: Moment, store_now_ms: u64) {
        self.reading = Some((sent_at, store_now_ms));
    }

    /// Returns the expiry to write for a lease of `span` that is asked for at
    /// `sent_at`.
    ///
    /// The reading was taken after its call was sent, so at `sent_at + span` on
    /// this host's clock the store's clock has not passed the value returned.
    pub fn expiry_ms(&self, sent_at: Moment, span: Duration) -> Option<u64> {
        let (read_at, store_ms) = self.reading?;
        Some(store_ms + (sent_at - read_at).as_millis() as u64 + span.as_millis() as u64)
    }

    /// Notes that the store took the lease that was asked for at `sent_at`.
    pub fn record_acquired(&mut self, sent_at: Moment, span: Duration) {
        // One part in 50 less, as the two clocks need not run alike.
        self.valid_until = Some(sent_at + span * 49 / 50);
    }

    /// Gives the lease up.
    pub fn release(&mut self) {
        self.valid_until = None;
    }

    /// Returns whether this host leads.
    pub fn is_valid(&self, now: Moment) -> bool {
        self.valid_until.is_some_and(|until| now < until)
    }

    /// Returns until when this host leads.
    pub fn valid_until(&self) -> Option<Moment> {
        self.valid_until
    }
}
