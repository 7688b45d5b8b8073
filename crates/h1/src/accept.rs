//! Acceptance of connections that survives failures.

use async_std::net::{TcpListener, TcpStream};
use log::warn;
use std::time::Duration;

/// Delay after a failed accept, which happens when file descriptors run out.
const RETRY_DELAY: Duration = Duration::from_millis(20);

/// Waits for the next connection, on which small messages are not delayed.
///
/// A failed accept is logged under the name of the `listening` part and tried again: a
/// listener that gave up would leave the process running and unreachable.
pub async fn accept(listener: &TcpListener, listening: &str) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _peer)) => match stream.set_nodelay(true) {
                Ok(()) => return stream,
                Err(error) => {
                    warn!(target: "accept", "part={listening} connection dropped: {error}");
                }
            },
            Err(error) => {
                warn!(target: "accept", "part={listening} accept failed: {error}");
                async_std::task::sleep(RETRY_DELAY).await;
            }
        }
    }
}
