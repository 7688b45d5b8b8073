//! The protocol's intervals.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::time::Duration;

/// Longest time from a loss to service that the intervals may add up to.
const RECOVERY_LIMIT_MS: u64 = 1_000;
/// Time left within the limit for commits, pushes and grants.
const COMMIT_ALLOWANCE_MS: u64 = 100;

/// Intervals of heartbeats, leases and waits, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Timing {
    /// Between heartbeats.
    pub heartbeat_ms: u64,
    /// Without a message until a host counts as silent.
    pub silence_ms: u64,
    /// For which one confirmation of a primary's standing holds.
    pub confirm_ms: u64,
    /// Term of an upstream's lease.
    pub lease_ms: u64,
    /// Between renewals of a lease.
    pub renew_ms: u64,
    /// Added to every wait for a lapse, for clock drift and granularity.
    pub margin_ms: u64,
    /// Between reads of the table's rows by one host of each domain.
    pub read_ms: u64,
    /// For which a host must be heard before it takes over from a live primary.
    pub settle_ms: u64,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            heartbeat_ms: 90,
            silence_ms: 240,
            confirm_ms: 230,
            lease_ms: 320,
            renew_ms: 90,
            margin_ms: 20,
            read_ms: 2_000,
            settle_ms: 3_000,
        }
    }
}

/// Intervals that contradict each other.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TimingError(String);

impl fmt::Display for TimingError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for TimingError {}

impl Timing {
    /// Checks that the intervals fit together.
    ///
    /// # Errors
    ///
    /// Fails with every contradiction found.
    pub fn validate(&self) -> Result<(), Vec<TimingError>> {
        let mut errors = Vec::new();
        let mut check = |holds: bool, message: &str| {
            if !holds {
                errors.push(TimingError(message.to_owned()));
            }
        };
        check(
            self.heartbeat_ms >= 10,
            "heartbeat_ms: expected at least 10",
        );
        check(self.renew_ms >= 10, "renew_ms: expected at least 10");
        check(self.read_ms >= 100, "read_ms: expected at least 100");
        check(self.margin_ms >= 1, "margin_ms: expected at least 1");
        check(
            self.silence_ms >= 2 * self.heartbeat_ms,
            "silence_ms: expected at least twice heartbeat_ms",
        );
        check(
            self.confirm_ms >= 2 * self.heartbeat_ms,
            "confirm_ms: expected at least twice heartbeat_ms",
        );
        check(
            self.lease_ms >= 2 * self.renew_ms,
            "lease_ms: expected at least twice renew_ms",
        );
        let longest = self.silence_ms + self.confirm_ms + self.lease_ms + 2 * self.margin_ms;
        check(
            longest + COMMIT_ALLOWANCE_MS <= RECOVERY_LIMIT_MS,
            "silence_ms + confirm_ms + lease_ms + 2 * margin_ms: expected at most 900, \
             so that a key is served again within a second",
        );
        if errors.is_empty() {
            return Ok(());
        }
        Err(errors)
    }

    /// Returns the time between heartbeats.
    pub const fn heartbeat(&self) -> Duration {
        Duration::from_millis(self.heartbeat_ms)
    }

    /// Returns the time without a message until a host counts as silent.
    pub const fn silence(&self) -> Duration {
        Duration::from_millis(self.silence_ms)
    }

    /// Returns the time for which one confirmation holds.
    pub const fn confirm(&self) -> Duration {
        Duration::from_millis(self.confirm_ms)
    }

    /// Returns the term of a lease.
    pub const fn lease(&self) -> Duration {
        Duration::from_millis(self.lease_ms)
    }

    /// Returns for how long an upstream's answer to a lease order is awaited.
    ///
    /// Two orders that get no answer still leave time for a third before the
    /// lease lapses.
    pub const fn lease_request_timeout(&self) -> Duration {
        Duration::from_millis(self.lease_ms * 2 / 5)
    }

    /// Returns the time between renewals.
    pub const fn renew(&self) -> Duration {
        Duration::from_millis(self.renew_ms)
    }

    /// Returns the allowance for clock drift.
    pub const fn margin(&self) -> Duration {
        Duration::from_millis(self.margin_ms)
    }

    /// Returns the time between reads of the table.
    pub const fn read(&self) -> Duration {
        Duration::from_millis(self.read_ms)
    }

    /// Returns the time for which a host must be heard before it takes over
    /// from a live primary.
    pub const fn settle(&self) -> Duration {
        Duration::from_millis(self.settle_ms)
    }
}
