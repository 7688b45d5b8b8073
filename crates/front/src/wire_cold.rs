//! Cold upstreams, wanted tokens and issued tokens in messages between hosts.

use crate::wire_load::upstream_hash;
use cold::{TokenGrant, TokenWant, UpstreamRun};
use fleet::UpstreamEntry;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// A run of an upstream: the hash of its id, and the low bits of its start time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct WireRun(u32, u32);

/// Tokens that a host wants: the run, the rank of the requests and their number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct WireWant(WireRun, u32, u32);

/// Tokens for a run and their number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct WireTokens(WireRun, u32);

/// A cold run, and for how many milliseconds it stays cold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct WireCold(WireRun, u32);

/// Returns the run of an entry as messages refer to it.
pub(crate) fn upstream_run(entry: &UpstreamEntry) -> UpstreamRun {
    UpstreamRun {
        upstream: upstream_hash(&entry.id),
        run: entry.started_at_ms as u32,
    }
}

impl From<UpstreamRun> for WireRun {
    fn from(run: UpstreamRun) -> Self {
        Self(run.upstream, run.run)
    }
}

impl From<WireRun> for UpstreamRun {
    fn from(WireRun(upstream, run): WireRun) -> Self {
        Self { upstream, run }
    }
}

impl From<TokenWant> for WireWant {
    fn from(want: TokenWant) -> Self {
        Self(want.run.into(), want.rank, want.count)
    }
}

impl From<WireWant> for TokenWant {
    fn from(WireWant(run, rank, count): WireWant) -> Self {
        Self {
            run: run.into(),
            rank,
            count,
        }
    }
}

impl From<TokenGrant> for WireTokens {
    fn from(grant: TokenGrant) -> Self {
        Self(grant.run.into(), grant.count)
    }
}

impl From<WireTokens> for TokenGrant {
    fn from(WireTokens(run, count): WireTokens) -> Self {
        Self {
            run: run.into(),
            count,
        }
    }
}

impl From<(UpstreamRun, Duration)> for WireCold {
    fn from((run, remaining): (UpstreamRun, Duration)) -> Self {
        // Rounded up, so that a message never shortens a cold time.
        let remaining_ms = u32::try_from(remaining.as_millis() + 1).unwrap_or(u32::MAX);
        Self(run.into(), remaining_ms)
    }
}

impl From<WireCold> for (UpstreamRun, Duration) {
    fn from(WireCold(run, remaining_ms): WireCold) -> Self {
        (run.into(), Duration::from_millis(u64::from(remaining_ms)))
    }
}
