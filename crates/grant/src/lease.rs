//! The leader's lease.

use kernel::Moment;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The row of the leader's lease; times are those of the store's clock.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRow {
    /// Number of the leader's term; it grows with each leader.
    pub term: u64,
    /// Name of the leader's host.
    pub host: String,
    /// Run of the leader's process.
    pub run: u64,
    /// Address at which the leader accepts load reports, as `ip:port`.
    pub address: String,
    /// Expiry of the lease on the store's clock, in milliseconds.
    pub expires_ms: u64,
    /// Whether the leader released its lease after every grant had been answered.
    pub is_clean: bool,
    /// How long the leader's grants may be in force after it released its lease, in
    /// milliseconds; unknown while it holds the lease.
    #[serde(default)]
    pub held_for_ms: Option<u64>,
    /// Time on the store's clock until which keys may be held by upstreams that no row
    /// names, in milliseconds; `None` if there are no such grants.
    #[serde(default)]
    pub fenced_until_ms: Option<u64>,
    /// Number of hosts that the leader considers live.
    pub hosts: u32,
    /// Number of these hosts that are strong enough to lead without waiting for others.
    #[serde(default)]
    pub strong_hosts: u32,
    /// Names of the hosts that check the lease most often.
    #[serde(default)]
    pub standbys: Vec<String>,
}

impl LeaseRow {
    /// Returns whether `claimant` wrote the row.
    pub fn belongs_to(&self, claimant: &LeaseClaimant<'_>) -> bool {
        self.is_same_host(claimant) && self.run == claimant.run
    }

    /// Returns whether `claimant` may acquire the lease at `store_now_ms`. This must be
    /// a reading of the store's clock, not an estimate: an estimate that runs ahead
    /// would allow two leaders.
    ///
    /// A previous run of the same host has ended, so its lease is void.
    pub fn is_available_to(&self, claimant: &LeaseClaimant<'_>, store_now_ms: u64) -> bool {
        let is_previous_run = self.is_same_host(claimant) && self.run != claimant.run;
        self.expires_ms <= store_now_ms || is_previous_run
    }

    fn is_same_host(&self, claimant: &LeaseClaimant<'_>) -> bool {
        self.host == claimant.host && self.address == claimant.address
    }
}

/// A run of a host's process that requests the lease.
///
/// The run alone does not identify a claimant: hosts that start together can draw the
/// same number.
#[derive(Clone, Copy, Debug)]
pub struct LeaseClaimant<'a> {
    /// Name of the host.
    pub host: &'a str,
    /// Address at which the host accepts load reports, as `ip:port`.
    pub address: &'a str,
    /// Run of its process.
    pub run: u64,
}

/// State that the previous leader left behind, as far as its successor knows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PreviousTerm {
    /// Whether every grant of the previous leader was answered.
    pub is_clean: bool,
    /// How long its grants may be in force after it released its lease, if it recorded
    /// this.
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

/// The leader's lease, with a reading of the store's clock.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeaderLease {
    store_reading: Option<(Moment, u64)>,
    valid_until: Option<Moment>,
}

impl LeaderLease {
    /// Records that a call sent at `sent_at` returned the store's time.
    pub fn record_store_time(&mut self, sent_at: Moment, store_now_ms: u64) {
        self.store_reading = Some((sent_at, store_now_ms));
    }

    /// Returns the expiry to write for a lease of `duration` that is requested at
    /// `sent_at`; `None` before the store's time is known.
    ///
    /// The store read its clock after the call was sent, so at `sent_at + duration` on
    /// this host's clock the store's clock has not passed the returned value.
    pub fn expiry_ms(&self, sent_at: Moment, duration: Duration) -> Option<u64> {
        let (read_at, store_ms) = self.store_reading?;
        Some(store_ms + (sent_at - read_at).as_millis() as u64 + duration.as_millis() as u64)
    }

    /// Records that the store accepted the lease that was requested at `sent_at`.
    pub fn record_acquired(&mut self, sent_at: Moment, duration: Duration) {
        // Subtracts one part in 50, because the two clocks may run at different rates.
        self.valid_until = Some(sent_at + duration * 49 / 50);
    }

    /// Releases the lease.
    pub fn release(&mut self) {
        self.valid_until = None;
    }

    /// Returns whether this host is the leader.
    pub fn is_valid(&self, now: Moment) -> bool {
        self.valid_until.is_some_and(|until| now < until)
    }

    /// Returns the time until which this host is the leader.
    pub fn valid_until(&self) -> Option<Moment> {
        self.valid_until
    }
}
