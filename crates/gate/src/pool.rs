//! Kept connections to one address.

use async_std::net::TcpStream;
use futures::FutureExt;
use h1::Connection;
use kernel::Moment;
use parking_lot::Mutex;
use std::io;
use std::time::Duration;

const MOST_IDLE: usize = 64;
const IDLE_LIMIT: Duration = Duration::from_secs(20);

/// A connection and when it last proved to work.
#[derive(Debug)]
pub(crate) struct PooledConnection {
    pub connection: Connection<TcpStream>,
    pub proved_at: Moment,
    pub is_fresh: bool,
}

/// Kept connections to one address.
#[derive(Debug)]
pub(crate) struct ConnectionPool {
    address: String,
    connect_limit: Duration,
    idle: Mutex<Vec<PooledConnection>>,
}

impl ConnectionPool {
    pub fn new(address: &str, connect_limit: Duration) -> Self {
        Self {
            address: address.to_owned(),
            connect_limit,
            idle: Mutex::new(Vec::new()),
        }
    }

    /// Takes a kept connection that shows no sign of trouble, or makes one.
    pub async fn take(&self, now: Moment) -> io::Result<PooledConnection> {
        loop {
            let Some(pooled) = self.idle.lock().pop() else {
                break;
            };
            if now - pooled.proved_at <= IDLE_LIMIT && is_quiet(&pooled.connection) {
                return Ok(pooled);
            }
        }
        self.connect(now).await
    }

    /// Makes a new connection.
    pub async fn connect(&self, now: Moment) -> io::Result<PooledConnection> {
        let connecting = TcpStream::connect(self.address.as_str());
        let connected = async_std::future::timeout(self.connect_limit, connecting).await;
        let stream = connected.map_err(|_elapsed| io::Error::from(io::ErrorKind::TimedOut))??;
        stream.set_nodelay(true)?;
        Ok(PooledConnection {
            connection: Connection::new(stream),
            proved_at: now,
            is_fresh: true,
        })
    }

    /// Keeps a connection whose last exchange was complete.
    pub fn keep(&self, now: Moment, mut pooled: PooledConnection) {
        pooled.proved_at = now;
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
}

/// Returns whether the peer has neither closed nor sent anything unasked.
fn is_quiet(connection: &Connection<TcpStream>) -> bool {
    if connection.has_leftover() {
        return false;
    }
    let mut byte = [0_u8; 1];
    connection.stream().peek(&mut byte).now_or_never().is_none()
}
