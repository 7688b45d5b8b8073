//! Connections whose dead peers are noticed.

use async_std::net::TcpStream;
use futures::FutureExt;
use rustix::net::sockopt;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

/// Longest time for which sent bytes may stay unacknowledged: two retransmissions
/// at the kernel's shortest time-out of 200 ms.
const UNACKNOWLEDGED_MS: u32 = 700;
/// Silence after which the kernel probes the peer; its shortest setting.
const PROBE_AFTER: Duration = Duration::from_secs(1);
/// Probes without an answer after which the connection has failed.
const PROBES: u32 = 2;

/// A connection that could not be made; nothing was sent.
#[derive(Debug)]
pub enum DialError {
    /// The peer or the network refused it.
    Refused(io::Error),
    /// It was not established within the limit.
    TimedOut,
}

impl fmt::Display for DialError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Refused(error) => write!(f, "connection refused: {error}"),
            Self::TimedOut => f.write_str("connection not established in time"),
        }
    }
}

impl std::error::Error for DialError {}

/// Connects to `address` within `limit`.
///
/// # Errors
///
/// Fails when no connection could be made.
pub async fn dial(address: SocketAddr, limit: Duration) -> Result<TcpStream, DialError> {
    let connecting = TcpStream::connect(address);
    let stream = match async_std::future::timeout(limit, connecting).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) => return Err(DialError::Refused(error)),
        Err(_elapsed) => return Err(DialError::TimedOut),
    };
    enable_keepalive(&stream).map_err(DialError::Refused)?;
    Ok(stream)
}

/// Lets the kernel notice a peer that is gone or that lost track of the
/// connection, and sends small messages at once.
///
/// # Errors
///
/// Fails when the connection has failed already.
pub fn enable_keepalive(stream: &TcpStream) -> io::Result<()> {
    sockopt::set_tcp_nodelay(stream, true)?;
    sockopt::set_socket_keepalive(stream, true)?;
    sockopt::set_tcp_keepidle(stream, PROBE_AFTER)?;
    sockopt::set_tcp_keepintvl(stream, PROBE_AFTER)?;
    sockopt::set_tcp_keepcnt(stream, PROBES)?;
    sockopt::set_tcp_user_timeout(stream, UNACKNOWLEDGED_MS)?;
    Ok(())
}

/// Returns whether a kept connection has neither been closed nor brought anything.
pub fn is_idle(stream: &TcpStream) -> bool {
    let mut byte = [0_u8; 1];
    // A pending read means that the peer has neither closed nor sent anything.
    stream.peek(&mut byte).now_or_never().is_none()
}

/// Makes the connection end with a reset, so that bytes under way are dropped.
pub fn reset(stream: &TcpStream) {
    // A connection that has failed already needs no reset.
    let _failed_already = sockopt::set_socket_linger(stream, Some(Duration::ZERO));
}
