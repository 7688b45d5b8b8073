//! Pool of idle connections to upstreams.

use async_std::net::TcpStream;
use h1::{Connection, DialError, dial, is_idle};
use indexmap::IndexMap;
use kernel::{Moment, UpstreamId};
use parking_lot::Mutex;
use std::net::SocketAddr;
use std::time::Duration;

/// Time for which a connection is kept if the upstream sends no `Keep-Alive` timeout.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(4);
/// Time subtracted from the upstream's `Keep-Alive` timeout, so that a request is not
/// sent while the upstream closes the connection.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(1_500);
/// Maximum idle time of a connection on which a request that must not run twice is
/// sent.
pub(crate) const MAX_FRESH_IDLE: Duration = Duration::from_secs(1);
/// Maximum time to establish a connection: a round trip within a region and the
/// retransmission of one lost packet.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(320);

/// Which connections serve for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConnectionChoice {
    /// Any idle connection.
    Idle,
    /// An idle connection that was in use a moment ago: for a request that must not run
    /// twice.
    RecentlyUsed,
    /// Only a new connection. On one that was in use before, a late copy of an earlier
    /// answer can't be told from the answer.
    New,
}

#[derive(Debug)]
struct IdleConnection {
    connection: Connection<TcpStream>,
    has_unnamed_rejection: bool,
    idle_since: Moment,
    expires_at: Moment,
}

/// A connection to an upstream that is ready for a request.
#[derive(Debug)]
pub(crate) struct ReadyConnection {
    pub connection: Connection<TcpStream>,
    /// Whether it has just been opened.
    pub is_new: bool,
    /// Whether it has carried a rejection that does not name its request. A further one
    /// may be a late copy of it, and is no proof.
    pub has_unnamed_rejection: bool,
}

impl ReadyConnection {
    /// Returns a connection that has just been opened.
    pub(crate) const fn new(stream: TcpStream) -> Self {
        Self {
            connection: Connection::new(stream),
            is_new: true,
            has_unnamed_rejection: false,
        }
    }
}

/// A pool of idle connections to upstreams.
#[derive(Debug, Default)]
pub(crate) struct ConnectionPool {
    idle: Mutex<IndexMap<UpstreamId, Vec<IdleConnection>>>,
}

impl ConnectionPool {
    /// Returns a pooled connection that `choice` allows and that shows no sign of having
    /// been closed, or opens a new one.
    ///
    /// # Errors
    ///
    /// Fails when no connection could be opened.
    pub(crate) async fn take(
        &self,
        now: Moment,
        id: &UpstreamId,
        address: SocketAddr,
        choice: ConnectionChoice,
        timeout: Duration,
    ) -> Result<ReadyConnection, DialError> {
        while choice != ConnectionChoice::New
            && let Some(idle) = self.pop(id, choice)
        {
            let must_be_fresh = choice == ConnectionChoice::RecentlyUsed;
            let is_stale =
                now >= idle.expires_at || (must_be_fresh && now - idle.idle_since > MAX_FRESH_IDLE);
            if !is_stale && is_idle(idle.connection.stream()) {
                return Ok(ReadyConnection {
                    connection: idle.connection,
                    is_new: false,
                    has_unnamed_rejection: idle.has_unnamed_rejection,
                });
            }
        }
        let stream = dial(address, timeout.min(CONNECT_TIMEOUT)).await?;
        Ok(ReadyConnection::new(stream))
    }

    /// Returns a pooled connection that `choice` allows and that shows no sign of having
    /// been closed; one that is too old only for this choice stays in the pool.
    pub(crate) fn take_idle(
        &self,
        now: Moment,
        id: &UpstreamId,
        choice: ConnectionChoice,
    ) -> Option<ReadyConnection> {
        if choice == ConnectionChoice::New {
            return None;
        }
        let mut pool = self.idle.lock();
        let connections = pool.get_mut(id)?;
        while let Some(index) = preferred_index(connections, choice) {
            let must_be_fresh = choice == ConnectionChoice::RecentlyUsed;
            if must_be_fresh && now - connections[index].idle_since > MAX_FRESH_IDLE {
                return None;
            }
            let idle = connections.remove(index);
            if now < idle.expires_at && is_idle(idle.connection.stream()) {
                return Some(ReadyConnection {
                    connection: idle.connection,
                    is_new: false,
                    has_unnamed_rejection: idle.has_unnamed_rejection,
                });
            }
        }
        None
    }

    fn pop(&self, id: &UpstreamId, choice: ConnectionChoice) -> Option<IdleConnection> {
        let mut idle = self.idle.lock();
        let connections = idle.get_mut(id)?;
        let index = preferred_index(connections, choice)?;
        Some(connections.remove(index))
    }

    /// Adds a connection whose last answer was read completely, unless there are
    /// `max_idle` already; `keep_alive` is the answer's `Keep-Alive` header.
    pub(crate) fn put(
        &self,
        now: Moment,
        id: &UpstreamId,
        ready: ReadyConnection,
        keep_alive: Option<&str>,
        max_idle: u32,
    ) {
        if ready.connection.has_buffered_bytes() {
            return;
        }
        let idle_life = idle_life(keep_alive);
        let mut idle = self.idle.lock();
        let connections = idle.entry(id.clone()).or_default();
        if connections.len() >= max_idle as usize {
            connections.remove(0);
        }
        connections.push(IdleConnection {
            connection: ready.connection,
            has_unnamed_rejection: ready.has_unnamed_rejection,
            idle_since: now,
            expires_at: now + idle_life,
        });
    }

    /// Drops all idle connections to an upstream.
    pub(crate) fn clear(&self, id: &UpstreamId) {
        self.idle.lock().shift_remove(id);
    }

    /// Drops expired connections, and those to upstreams for which `is_known` returns
    /// false.
    pub(crate) fn prune(&self, now: Moment, is_known: impl Fn(&UpstreamId) -> bool) {
        self.idle.lock().retain(|id, connections| {
            connections.retain(|idle| now < idle.expires_at);
            !connections.is_empty() && is_known(id)
        });
    }
}

/// Returns how long an idle connection may be used, by the last answer's `Keep-Alive`
/// header.
pub(crate) fn idle_life(keep_alive: Option<&str>) -> Duration {
    let announced = keep_alive.and_then(parse_keep_alive);
    let duration = announced.unwrap_or(DEFAULT_KEEP_ALIVE);
    duration.saturating_sub(KEEP_ALIVE_MARGIN)
}

/// Returns the index of the connection that was used last, of those on which an answer is
/// least likely to be in doubt.
///
/// A client may not repeat a request that must not run twice if a rejection of it is in
/// doubt, so that one goes over a new connection instead.
fn preferred_index(connections: &[IdleConnection], choice: ConnectionChoice) -> Option<usize> {
    let certain = connections
        .iter()
        .rposition(|idle| !idle.has_unnamed_rejection);
    match certain {
        Some(index) => Some(index),
        None if choice == ConnectionChoice::RecentlyUsed => None,
        None => connections.len().checked_sub(1),
    }
}

/// Parses the timeout of a `Keep-Alive` header.
fn parse_keep_alive(text: &str) -> Option<Duration> {
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
