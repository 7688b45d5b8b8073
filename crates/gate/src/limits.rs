//! Limits on connections, messages and waiting times.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::time::Duration;

/// Limits on the requests that one entry host handles.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct GateLimits {
    /// Maximum number of requests in flight.
    pub max_in_flight: u32,
    /// Maximum size of all request bodies in flight, in bytes.
    pub max_body_bytes: u64,
    /// Maximum number of client connections.
    pub max_connections: u32,
    /// Maximum size of a request head, in bytes.
    pub max_head_bytes: u32,
    /// Time for a whole request head to arrive, in milliseconds.
    pub head_ms: u64,
    /// Time for a whole request body to arrive, in milliseconds.
    pub body_ms: u64,
    /// Time between two requests on a client connection, in milliseconds.
    pub idle_ms: u64,
    /// Time without progress in writing to a client, in milliseconds.
    pub stall_ms: u64,
    /// Time that a request waits for a new owner or primary, in milliseconds.
    pub hold_ms: u64,
    /// Time without an answer's head after which the connection is probed, in
    /// milliseconds.
    pub probe_ms: u64,
    /// Retries per first attempt that the retry budget allows, in percent.
    pub retry_percent: u32,
    /// Time for which requests that crash upstreams are refused, in milliseconds.
    pub quarantine_ms: u64,
    /// Time for which journal entries are kept, in milliseconds.
    pub journal_keep_ms: u64,
}

impl Default for GateLimits {
    fn default() -> Self {
        Self {
            max_in_flight: 20_000,
            max_body_bytes: 256 << 20,
            max_connections: 20_000,
            max_head_bytes: 16 << 10,
            head_ms: 10_000,
            body_ms: 30_000,
            idle_ms: 60_000,
            stall_ms: 10_000,
            hold_ms: 1_500,
            probe_ms: 400,
            retry_percent: 10,
            quarantine_ms: 60_000,
            journal_keep_ms: 86_400_000,
        }
    }
}

/// A limit that is out of range.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LimitError {
    /// Name of the field.
    pub field: &'static str,
    /// The expected range.
    pub expected: &'static str,
}

impl fmt::Display for LimitError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: expected {}", self.field, self.expected)
    }
}

impl std::error::Error for LimitError {}

impl GateLimits {
    /// Checks that every limit is in range.
    ///
    /// # Errors
    ///
    /// Fails with every limit that is out of range.
    pub fn validate(&self) -> Result<(), Vec<LimitError>> {
        let mut errors = Vec::new();
        let mut check = |is_valid: bool, field: &'static str, expected: &'static str| {
            if !is_valid {
                errors.push(LimitError { field, expected });
            }
        };
        check(self.max_in_flight >= 1, "max_in_flight", "at least 1");
        check(self.max_connections >= 1, "max_connections", "at least 1");
        check(
            self.max_body_bytes >= 1 << 20,
            "max_body_bytes",
            "at least 1048576",
        );
        check(
            (1 << 10..=1 << 20).contains(&self.max_head_bytes),
            "max_head_bytes",
            "1024 to 1048576",
        );
        check(self.head_ms >= 100, "head_ms", "at least 100");
        check(self.body_ms >= 100, "body_ms", "at least 100");
        check(self.idle_ms >= 100, "idle_ms", "at least 100");
        check(self.stall_ms >= 100, "stall_ms", "at least 100");
        check(self.hold_ms <= 10_000, "hold_ms", "at most 10000");
        check(self.probe_ms >= 50, "probe_ms", "at least 50");
        check(self.retry_percent <= 50, "retry_percent", "at most 50");
        check(
            self.journal_keep_ms >= 60_000,
            "journal_keep_ms",
            "at least 60000",
        );
        if errors.is_empty() {
            return Ok(());
        }
        Err(errors)
    }

    /// Returns the time that a request waits for a new owner or primary.
    pub const fn max_owner_wait(&self) -> Duration {
        Duration::from_millis(self.hold_ms)
    }
}
