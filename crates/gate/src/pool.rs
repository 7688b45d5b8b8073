//! A pool of idle connections to one address.

use async_std::future::timeout;
use async_std::net::TcpStream;
use h1::{Connection, HeadLimits, HeaderList, encode_request_head};
use kernel::{Clock, Moment};
use parking_lot::Mutex;
use std::io;
use std::sync::Arc;
use std::time::Duration;

const MAX_IDLE: usize = 64;
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// A connection that has been idle for longer is verified before a non-idempotent
/// request is sent on it.
const VERIFY_AFTER_IDLE: Duration = Duration::from_millis(300);
const PROBE_TIMEOUT: Duration = Duration::from_millis(150);
const MAX_PROBE_BODY_BYTES: u64 = 4 << 10;

/// A connection and when it was last known to work.
#[derive(Debug)]
pub(crate) struct PooledConnection {
    pub connection: Connection<TcpStream>,
    verified_at: Moment,
    is_new: bool,
}

/// Idle connections to one address.
#[derive(Debug)]
pub(crate) struct ConnectionPool {
    address: String,
    connect_timeout: Duration,
    /// Path that the server answers at once, for probes.
    probe_path: &'static str,
    clock: Arc<dyn Clock>,
    idle: Mutex<Vec<PooledConnection>>,
}

impl ConnectionPool {
    pub fn new(
        address: &str,
        connect_timeout: Duration,
        probe_path: &'static str,
        clock: Arc<dyn Clock>,
    ) -> Self {
        Self {
            address: address.to_owned(),
            connect_timeout,
            probe_path,
            clock,
            idle: Mutex::new(Vec::new()),
        }
    }

    /// Takes an idle connection for a request, or makes a new one.
    ///
    /// A non-idempotent request gets a connection that has been verified lately:
    /// on a silent connection it could not be known whether it ran.
    ///
    /// # Errors
    ///
    /// Fails when no connection can be made.
    pub async fn take(&self, is_idempotent: bool) -> io::Result<PooledConnection> {
        let Some(mut pooled) = self.take_idle() else {
            return self.connect().await;
        };
        let is_stale = self.clock.now() - pooled.verified_at > VERIFY_AFTER_IDLE;
        if is_idempotent || pooled.is_new || !is_stale {
            return Ok(pooled);
        }
        if self.verify(&mut pooled).await {
            return Ok(pooled);
        }
        // When one connection is dead, the others usually are too.
        self.clear();
        self.connect().await
    }

    /// Makes a new connection.
    ///
    /// # Errors
    ///
    /// Fails when it is not established within the timeout.
    pub async fn connect(&self) -> io::Result<PooledConnection> {
        let connecting = TcpStream::connect(self.address.as_str());
        let connected = timeout(self.connect_timeout, connecting).await;
        let stream = connected.map_err(|_elapsed| io::Error::from(io::ErrorKind::TimedOut))??;
        stream.set_nodelay(true)?;
        Ok(PooledConnection {
            connection: Connection::new(stream),
            verified_at: self.clock.now(),
            is_new: true,
        })
    }

    /// Makes a new connection and returns whether a probe on it is answered.
    pub async fn probe_new_connection(&self) -> bool {
        let Ok(mut pooled) = self.connect().await else {
            return false;
        };
        let is_alive = self.verify(&mut pooled).await;
        if is_alive {
            self.keep(pooled);
        }
        is_alive
    }

    /// Returns a connection to the pool after a complete exchange.
    pub fn keep(&self, mut pooled: PooledConnection) {
        pooled.verified_at = self.clock.now();
        pooled.is_new = false;
        let mut idle = self.idle.lock();
        if idle.len() < MAX_IDLE {
            idle.push(pooled);
        }
    }

    /// Drops all idle connections.
    pub fn clear(&self) {
        self.idle.lock().clear();
    }

    fn take_idle(&self) -> Option<PooledConnection> {
        loop {
            let pooled = self.idle.lock().pop()?;
            let is_within_timeout = self.clock.now() - pooled.verified_at <= IDLE_TIMEOUT;
            if is_within_timeout && is_idle(&pooled.connection) {
                return Some(pooled);
            }
        }
    }

    async fn verify(&self, pooled: &mut PooledConnection) -> bool {
        let probing = probe(&mut pooled.connection, self.probe_path);
        timeout(PROBE_TIMEOUT, probing).await == Ok(true)
    }
}

/// Returns whether the server has neither closed the connection nor sent unexpected
/// bytes.
fn is_idle(connection: &Connection<TcpStream>) -> bool {
    !connection.has_buffered_bytes() && h1::is_idle(connection.stream())
}

/// Requests `path` and returns whether a complete answer with status 200 came.
async fn probe(connection: &mut Connection<TcpStream>, path: &str) -> bool {
    let mut headers = HeaderList::new();
    headers.push("host", "probe");
    let bytes = encode_request_head("GET", path, &headers);
    if connection.write(&bytes).await.is_err() {
        return false;
    }
    let limits = HeadLimits::default();
    let Ok(head) = connection.read_response(&limits, "GET").await else {
        return false;
    };
    let body = connection
        .read_whole_body(head.body, MAX_PROBE_BODY_BYTES)
        .await;
    head.status == 200 && body.is_ok() && !connection.has_buffered_bytes()
}
