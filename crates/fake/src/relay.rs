//! A TCP relay with injectable faults, which simulates the network between two
//! failure domains.

use async_std::io::{ReadExt, WriteExt};
use async_std::net::{TcpListener, TcpStream};
use std::io;
use std::net::Shutdown;
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, AtomicU64, Ordering};
use std::time::Duration;

/// Interval at which a blocked connection checks whether it may continue.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
const BUFFER_BYTES: usize = 32 << 10;

/// How a relay treats traffic.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RelayMode {
    /// Forwards all bytes.
    Pass,
    /// Holds bytes back; connections stay open.
    Hold,
    /// Discards bytes; a connection that lost any stays open and forwards nothing more
    /// in that direction.
    Discard,
    /// Like `Discard`, but only for bytes from the target to the client.
    DiscardResponses,
    /// Resets new connections, and open ones once they carry data.
    Reset,
}

/// Relays TCP connections from one address to another, with injectable faults.
#[derive(Clone, Debug)]
pub struct FaultyRelay {
    state: Arc<RelayState>,
}

#[derive(Debug)]
struct RelayState {
    address: String,
    target: String,
    mode: AtomicU8,
    next_connection: AtomicU64,
    silent_before: AtomicU64,
    delay_ms: AtomicU64,
}

impl FaultyRelay {
    /// Starts a relay to `target` on a free loopback port.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub async fn start(target: &str) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let state = Arc::new(RelayState {
            address: listener.local_addr()?.to_string(),
            target: target.to_owned(),
            mode: AtomicU8::new(0),
            next_connection: AtomicU64::new(0),
            silent_before: AtomicU64::new(0),
            delay_ms: AtomicU64::new(0),
        });
        async_std::task::spawn(accept(Arc::clone(&state), listener));
        Ok(Self { state })
    }

    /// Returns the address that the relay listens on, as `ip:port`.
    pub fn address(&self) -> &str {
        &self.state.address
    }

    /// Returns the address that connections are relayed to.
    pub fn target(&self) -> &str {
        &self.state.target
    }

    /// Sets how traffic is treated from now on.
    pub fn set_mode(&self, mode: RelayMode) {
        self.state.mode.store(mode as u8, Ordering::SeqCst);
    }

    /// Sets the delay that is added in each direction, in milliseconds.
    pub fn set_delay_ms(&self, delay_ms: u64) {
        self.state.delay_ms.store(delay_ms, Ordering::SeqCst);
    }

    /// Stops forwarding on all current connections and leaves them open.
    ///
    /// This is what happens when a stateful firewall loses its connection table.
    pub fn silence_connections(&self) {
        let next = self.state.next_connection.load(Ordering::SeqCst);
        self.state.silent_before.store(next, Ordering::SeqCst);
    }
}

impl RelayState {
    fn has_mode(&self, mode: RelayMode) -> bool {
        self.mode.load(Ordering::SeqCst) == mode as u8
    }

    /// Waits while the mode is `Hold` or the connection has been silenced.
    async fn wait_until_open(&self, connection_number: u64) {
        loop {
            let is_silent = connection_number < self.silent_before.load(Ordering::SeqCst);
            if !self.has_mode(RelayMode::Hold) && !is_silent {
                return;
            }
            async_std::task::sleep(POLL_INTERVAL).await;
        }
    }
}

async fn accept(state: Arc<RelayState>, listener: TcpListener) {
    while let Ok((client, _)) = listener.accept().await {
        if state.has_mode(RelayMode::Reset) {
            h1::reset(&client);
            continue;
        }
        let connection_number = state.next_connection.fetch_add(1, Ordering::SeqCst);
        let state = Arc::clone(&state);
        async_std::task::spawn(async move {
            state.wait_until_open(connection_number).await;
            let Ok(target) = TcpStream::connect(state.target.as_str()).await else {
                return;
            };
            let options = client
                .set_nodelay(true)
                .and_then(|()| target.set_nodelay(true));
            if options.is_err() {
                return;
            }
            let requests = copy(
                &state,
                connection_number,
                client.clone(),
                target.clone(),
                false,
            );
            let responses = copy(&state, connection_number, target, client, true);
            futures::future::join(requests, responses).await;
        });
    }
}

async fn copy(
    state: &RelayState,
    connection_number: u64,
    mut from: TcpStream,
    mut to: TcpStream,
    is_response: bool,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let bytes = from.read(&mut buffer).await.unwrap_or(0);
        if state.has_mode(RelayMode::Reset) {
            h1::reset(&from);
            h1::reset(&to);
            break;
        }
        let discards_responses = is_response && state.has_mode(RelayMode::DiscardResponses);
        if bytes > 0 && (discards_responses || state.has_mode(RelayMode::Discard)) {
            discard_rest(&mut from, &mut buffer).await;
            // Returning without a shutdown leaves the other side open and silent too.
            return;
        }
        state.wait_until_open(connection_number).await;
        let delay_ms = state.delay_ms.load(Ordering::SeqCst);
        if delay_ms > 0 {
            async_std::task::sleep(Duration::from_millis(delay_ms)).await;
        }
        if bytes == 0 || to.write_all(&buffer[..bytes]).await.is_err() {
            break;
        }
    }
    // Shutdown fails if the peer has already closed the connection.
    let _closed_already = from.shutdown(Shutdown::Read);
    let _closed_already = to.shutdown(Shutdown::Write);
}

/// Reads and discards bytes until the connection is closed.
async fn discard_rest(from: &mut TcpStream, buffer: &mut [u8]) {
    while from.read(buffer).await.is_ok_and(|bytes| bytes > 0) {}
}
