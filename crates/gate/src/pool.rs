//! Kept connections to one address.

use async_std::future::timeout;
use async_std::net::TcpStream;
use h1::{Connection, HeadLimits, HeaderList, encode_request_head};
use kernel::{Clock, Moment};
use parking_lot::Mutex;
use std::io;
use std::sync::Arc;
use std::time::Duration;

const MOST_IDLE: usize = 64;
const IDLE_LIMIT: Duration = Duration::from_secs(20);
/// A kept connection idle for longer is proved before a charge goes out on it.
const PROVE_IDLE_AFTER: Duration = Duration::from_millis(300);
const PROVE_LIMIT: Duration = Duration::from_millis(150);
const PROVE_BODY_LIMIT: u64 = 4 << 10;

/// A connection and when it last proved to work.
#[derive(Debug)]
pub(crate) struct PooledConnection {
    pub connection: Connection<TcpStream>,
    proved_at: Moment,
    is_fresh: bool,
}

/// Kept connections to one address.
#[derive(Debug)]
pub(crate) struct ConnectionPool {
    address: String,
    connect_limit: Duration,
    /// Path that the far end answers at once, for proofs.
    probe_path: &'static str,
    clock: Arc<dyn Clock>,
    idle: Mutex<Vec<PooledConnection>>,
}

impl ConnectionPool {
    pub fn new(
        address: &str,
        connect_limit: Duration,
        probe_path: &'static str,
        clock: Arc<dyn Clock>,
    ) -> Self {
        Self {
            address: address.to_owned(),
            connect_limit,
            probe_path,
            clock,
            idle: Mutex::new(Vec::new()),
        }
    }

    /// Takes a connection for a request.
    ///
    /// Work that must not run twice gets one that has lately proved to work:
    /// on a connection gone silent it could not be told whether it ran.
    pub async fn take(&self, is_idempotent: bool) -> io::Result<PooledConnection> {
        let Some(mut pooled) = self.take_idle() else {
            return self.connect().await;
        };
        let is_stale = self.clock.now() - pooled.proved_at > PROVE_IDLE_AFTER;
        if is_idempotent || pooled.is_fresh || !is_stale {
            return Ok(pooled);
        }
        if self.prove(&mut pooled).await {
            return Ok(pooled);
        }
        // Connections lost track of are rarely alone.
        self.clear();
        self.connect().await
    }

    /// Makes a new connection.
    pub async fn connect(&self) -> io::Result<PooledConnection> {
        let connecting = TcpStream::connect(self.address.as_str());
        let connected = timeout(self.connect_limit, connecting).await;
        let stream = connected.map_err(|_elapsed| io::Error::from(io::ErrorKind::TimedOut))??;
        stream.set_nodelay(true)?;
        Ok(PooledConnection {
            connection: Connection::new(stream),
            proved_at: self.clock.now(),
            is_fresh: true,
        })
    }

    /// Returns whether a new connection works.
    pub async fn works_anew(&self) -> bool {
        let Ok(mut pooled) = self.connect().await else {
            return false;
        };
        let works = self.prove(&mut pooled).await;
        if works {
            self.keep(pooled);
        }
        works
    }

    /// Keeps a connection whose last exchange was complete.
    pub fn keep(&self, mut pooled: PooledConnection) {
        pooled.proved_at = self.clock.now();
        pooled.is_fresh = false;
        let mut idle = self.idle.lock();
        if idle.len() < MOST_IDLE {
            idle.push(pooled);
        }
    }

    /// Drops all kept connections.
    pub fn clear(&self) {
        self.idle.lock().clear();
    }

    fn take_idle(&self) -> Option<PooledConnection> {
        loop {
            let pooled = self.idle.lock().pop()?;
            let is_recent = self.clock.now() - pooled.proved_at <= IDLE_LIMIT;
            if is_recent && is_idle(&pooled.connection) {
                return Some(pooled);
            }
        }
    }

    async fn prove(&self, pooled: &mut PooledConnection) -> bool {
        let probing = probe(&mut pooled.connection, self.probe_path);
        timeout(PROVE_LIMIT, probing).await == Ok(true)
    }
}

/// Returns whether the peer has neither closed nor sent anything unasked.
fn is_idle(connection: &Connection<TcpStream>) -> bool {
    !connection.has_buffered_bytes() && h1::is_idle(connection.stream())
}

/// Asks for `path` and returns whether the whole answer came.
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
        .read_whole_body(head.body, PROVE_BODY_LIMIT)
        .await;
    head.status == 200 && body.is_ok() && !connection.has_buffered_bytes()
}
