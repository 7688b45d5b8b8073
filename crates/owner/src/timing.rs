//! The protocol's intervals.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::time::Duration;

/// Maximum time from a loss until the affected keys are served again.
const MAX_RECOVERY_MS: u64 = 1_000;
/// Part of the recovery time that is reserved for commits, pushes and grants.
const COMMIT_ALLOWANCE_MS: u64 = 100;

/// Intervals of heartbeats, leases and waits, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Timing {
    /// Interval between heartbeats.
    pub heartbeat_ms: u64,
    /// Time without a message after which a host counts as silent.
    pub silence_ms: u64,
    /// Time for which one confirmation of a primary's authority is valid.
    pub confirm_ms: u64,
    /// Duration of an upstream's lease.
    pub lease_ms: u64,
    /// Interval between renewals of a lease.
    pub renew_ms: u64,
    /// Added to every wait for a lease to lapse, for clock drift and granularity.
    pub margin_ms: u64,
    /// Interval between reads of the table by the one host of each domain that reads
    /// it most often.
    pub read_ms: u64,
    /// Time for which a host must be up before it takes over from a live primary.
    ///
    /// The time restarts when the host was paused or is no longer the primary of one
    /// of its upstreams.
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

/// An interval that is out of range or inconsistent with the others.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TimingError(String);

impl fmt::Display for TimingError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for TimingError {}

impl Timing {
    /// Checks that the intervals are in range and consistent with each other.
    ///
    /// # Errors
    ///
    /// Fails with every violated condition.
    pub fn validate(&self) -> Result<(), Vec<TimingError>> {
        let mut errors = Vec::new();
        let mut check = |is_valid: bool, message: &str| {
            if !is_valid {
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
        let recovery_ms = self.silence_ms + self.confirm_ms + self.lease_ms + 2 * self.margin_ms;
        check(
            recovery_ms + COMMIT_ALLOWANCE_MS <= MAX_RECOVERY_MS,
            "silence_ms + confirm_ms + lease_ms + 2 * margin_ms: expected at most 900, \
             so that a key is served again within a second",
        );
        if errors.is_empty() {
            return Ok(());
        }
        Err(errors)
    }

    /// Returns the interval between heartbeats.
    pub const fn heartbeat_interval(&self) -> Duration {
        Duration::from_millis(self.heartbeat_ms)
    }

    /// Returns the time without a message after which a host counts as silent.
    pub const fn silence_timeout(&self) -> Duration {
        Duration::from_millis(self.silence_ms)
    }

    /// Returns the time for which one confirmation of authority is valid.
    pub const fn confirmation_duration(&self) -> Duration {
        Duration::from_millis(self.confirm_ms)
    }

    /// Returns the duration of a lease.
    pub const fn lease_duration(&self) -> Duration {
        Duration::from_millis(self.lease_ms)
    }

    /// Returns the timeout of a lease request.
    ///
    /// Two requests that time out still leave time for a third before the lease
    /// lapses.
    pub const fn lease_request_timeout(&self) -> Duration {
        Duration::from_millis(self.lease_ms * 2 / 5)
    }

    /// Returns the interval between renewals of a lease.
    pub const fn renew_interval(&self) -> Duration {
        Duration::from_millis(self.renew_ms)
    }

    /// Returns the allowance for clock drift and granularity.
    pub const fn margin(&self) -> Duration {
        Duration::from_millis(self.margin_ms)
    }

    /// Returns the interval between reads of the table.
    pub const fn read_interval(&self) -> Duration {
        Duration::from_millis(self.read_ms)
    }

    /// Returns the time for which a host must be up before it takes over from a
    /// live primary.
    pub const fn settle_duration(&self) -> Duration {
        Duration::from_millis(self.settle_ms)
    }
}
