//! TCP connections on which the kernel detects dead peers.

use async_std::net::TcpStream;
use futures::FutureExt;
use rustix::net::sockopt;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

/// Maximum time for which sent bytes may stay unacknowledged, in milliseconds: two
/// retransmissions at the kernel's minimum timeout of 200 ms.
const USER_TIMEOUT_MS: u32 = 700;
/// Idle time before and between the kernel's keepalive probes; the minimum setting.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered keepalive probes after which the connection fails.
const KEEPALIVE_PROBES: u32 = 2;

/// Why a connection could not be established; nothing was sent.
#[derive(Debug)]
pub enum DialError {
    /// The peer or the network refused the connection.
    Refused(io::Error),
    /// The connection was not established within the timeout.
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

/// Connects to `address` within `timeout` and enables keepalive.
///
/// # Errors
///
/// Fails when no connection could be established.
pub async fn dial(address: SocketAddr, timeout: Duration) -> Result<TcpStream, DialError> {
    let connecting = TcpStream::connect(address);
    let stream = match async_std::future::timeout(timeout, connecting).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) => return Err(DialError::Refused(error)),
        Err(_elapsed) => return Err(DialError::TimedOut),
    };
    enable_keepalive(&stream).map_err(DialError::Refused)?;
    Ok(stream)
}

/// Makes the kernel detect a peer that is dead or has lost the connection, and
/// disables the delay of small messages.
///
/// # Errors
///
/// Fails when the connection has already failed.
pub fn enable_keepalive(stream: &TcpStream) -> io::Result<()> {
    sockopt::set_tcp_nodelay(stream, true)?;
    sockopt::set_socket_keepalive(stream, true)?;
    sockopt::set_tcp_keepidle(stream, KEEPALIVE_INTERVAL)?;
    sockopt::set_tcp_keepintvl(stream, KEEPALIVE_INTERVAL)?;
    sockopt::set_tcp_keepcnt(stream, KEEPALIVE_PROBES)?;
    sockopt::set_tcp_user_timeout(stream, USER_TIMEOUT_MS)?;
    Ok(())
}

/// Returns whether the peer has neither closed the connection nor sent anything.
pub fn is_idle(stream: &TcpStream) -> bool {
    let mut byte = [0_u8; 1];
    // A pending read means that the peer has neither closed nor sent anything.
    stream.peek(&mut byte).now_or_never().is_none()
}

/// Makes the connection close with a reset, so that undelivered bytes are dropped.
pub fn reset(stream: &TcpStream) {
    // A connection that has already failed needs no reset.
    let _linger_result = sockopt::set_socket_linger(stream, Some(Duration::ZERO));
}
