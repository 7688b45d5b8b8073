//! Kept connections to upstreams.

use async_std::net::TcpStream;
use h1::{Connection, DialError, dial, is_idle};
use indexmap::IndexMap;
use kernel::{Moment, UpstreamId};
use parking_lot::Mutex;
use std::net::SocketAddr;
use std::time::Duration;

/// Most kept connections to one upstream; more than its slots are seldom busy.
const MOST_IDLE: usize = 8;
/// For which a connection is kept when the upstream does not say.
const DEFAULT_KEEP: Duration = Duration::from_secs(4);
/// Taken off what the upstream says, so that its close and our request don't cross.
const KEEP_MARGIN: Duration = Duration::from_millis(1_500);
/// Idle time up to which work that must not run twice goes on a kept connection.
const FRESH_IDLE: Duration = Duration::from_secs(1);
/// Longest time for a connection to be established: a round trip within a region
/// and one lost packet sent again.
pub(crate) const CONNECT_LIMIT: Duration = Duration::from_millis(320);

#[derive(Debug)]
struct IdleConnection {
    connection: Connection<TcpStream>,
    idle_since: Moment,
    keep_until: Moment,
}

/// Kept connections to upstreams.
#[derive(Debug, Default)]
pub(crate) struct ConnectionPool {
    idle: Mutex<IndexMap<UpstreamId, Vec<IdleConnection>>>,
}

impl ConnectionPool {
    /// Takes a kept connection that shows no sign of having been closed, or makes a
    /// new one.
    ///
    /// # Errors
    ///
    /// Fails when no connection could be made.
    pub(crate) async fn take(
        &self,
        now: Moment,
        id: &UpstreamId,
        address: SocketAddr,
        must_be_fresh: bool,
        limit: Duration,
    ) -> Result<Connection<TcpStream>, DialError> {
        while let Some(kept) = self.pop(id) {
            let is_stale =
                now >= kept.keep_until || (must_be_fresh && now - kept.idle_since > FRESH_IDLE);
            if !is_stale && is_idle(kept.connection.stream()) {
                return Ok(kept.connection);
            }
        }
        let stream = dial(address, limit.min(CONNECT_LIMIT)).await?;
        Ok(Connection::new(stream))
    }

    fn pop(&self, id: &UpstreamId) -> Option<IdleConnection> {
        self.idle.lock().get_mut(id)?.pop()
    }

    /// Keeps a connection whose last answer was read to its end; `keep_alive` is
    /// the answer's `Keep-Alive` header.
    pub(crate) fn keep(
        &self,
        now: Moment,
        id: &UpstreamId,
        connection: Connection<TcpStream>,
        keep_alive: Option<&str>,
    ) {
        if connection.has_buffered_bytes() {
            return;
        }
        let keep = keep_alive.and_then(keep_time).unwrap_or(DEFAULT_KEEP);
        let mut idle = self.idle.lock();
        let kept = idle.entry(id.clone()).or_default();
        if kept.len() >= MOST_IDLE {
            kept.remove(0);
        }
        kept.push(IdleConnection {
            connection,
            idle_since: now,
            keep_until: now + keep.saturating_sub(KEEP_MARGIN),
        });
    }

    /// Drops all kept connections to an upstream.
    pub(crate) fn clear(&self, id: &UpstreamId) {
        self.idle.lock().shift_remove(id);
    }

    /// Drops connections that are past their time, and those to upstreams of which
    /// `is_known` does not hold.
    pub(crate) fn prune(&self, now: Moment, is_known: impl Fn(&UpstreamId) -> bool) {
        self.idle.lock().retain(|id, kept| {
            kept.retain(|kept| now < kept.keep_until);
            !kept.is_empty() && is_known(id)
        });
    }
}

/// Parses the time of a `Keep-Alive` header.
fn keep_time(text: &str) -> Option<Duration> {
    for part in text.split(',') {
        let Some((name, value)) = part.split_once('=') else {
            continue;
        };
        if name.trim().eq_ignore_ascii_case("timeout") {
            return value.trim().parse().ok().map(Duration::from_secs);
        }
    }
    text.trim().parse().ok().map(Duration::from_secs)
}
