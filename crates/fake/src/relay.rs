//! The network between two failure domains, as a relay that can be cut.

use async_std::io::{ReadExt, WriteExt};
use async_std::net::{TcpListener, TcpStream};
use std::io;
use std::net::Shutdown;
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, AtomicU64, Ordering};
use std::time::Duration;

const POLL: Duration = Duration::from_millis(5);
const BUFFER_BYTES: usize = 32 << 10;

/// What a relay does with bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RelayMode {
    /// Passes them on.
    Pass,
    /// Holds them back without closing anything.
    Hold,
    /// Loses them; connections that lost any stay open and silent.
    Lose,
    /// Loses those of the answering side alone.
    LoseAnswers,
    /// Resets the connections that they come on.
    Reset,
}

/// Relays one address to another.
#[derive(Clone, Debug)]
pub struct CutRelay {
    state: Arc<RelayState>,
}

#[derive(Debug)]
struct RelayState {
    address: String,
    target: String,
    mode: AtomicU8,
    next_connection: AtomicU64,
    silent_below: AtomicU64,
    delay_ms: AtomicU64,
}

impl CutRelay {
    /// Starts a relay to `target` on a free port of loopback.
    ///
    /// # Errors
    ///
    /// Fails when no port can be had.
    pub async fn start(target: &str) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let state = Arc::new(RelayState {
            address: listener.local_addr()?.to_string(),
            target: target.to_owned(),
            mode: AtomicU8::new(0),
            next_connection: AtomicU64::new(0),
            silent_below: AtomicU64::new(0),
            delay_ms: AtomicU64::new(0),
        });
        async_std::task::spawn(accept(Arc::clone(&state), listener));
        Ok(Self { state })
    }

    /// Returns the address to connect to.
    pub fn address(&self) -> &str {
        &self.state.address
    }

    /// Returns the address relayed to.
    pub fn target(&self) -> &str {
        &self.state.target
    }

    /// Sets what happens to bytes from now on.
    pub fn set_mode(&self, mode: RelayMode) {
        self.state.mode.store(mode as u8, Ordering::SeqCst);
    }

    /// Sets the one-way delay, in milliseconds.
    pub fn set_delay_ms(&self, delay_ms: u64) {
        self.state.delay_ms.store(delay_ms, Ordering::SeqCst);
    }

    /// Loses track of the present connections: they stay open and silent.
    pub fn silence_connections(&self) {
        let next = self.state.next_connection.load(Ordering::SeqCst);
        self.state.silent_below.store(next, Ordering::SeqCst);
    }
}

impl RelayState {
    fn is_mode(&self, mode: RelayMode) -> bool {
        self.mode.load(Ordering::SeqCst) == mode as u8
    }

    async fn wait_open(&self, number: u64) {
        loop {
            let is_silent = number < self.silent_below.load(Ordering::SeqCst);
            if !self.is_mode(RelayMode::Hold) && !is_silent {
                return;
            }
            async_std::task::sleep(POLL).await;
        }
    }
}

async fn accept(state: Arc<RelayState>, listener: TcpListener) {
    while let Ok((near, _)) = listener.accept().await {
        if state.is_mode(RelayMode::Reset) {
            h1::reset(&near);
            continue;
        }
        let number = state.next_connection.fetch_add(1, Ordering::SeqCst);
        let state = Arc::clone(&state);
        async_std::task::spawn(async move {
            state.wait_open(number).await;
            let Ok(far) = TcpStream::connect(state.target.as_str()).await else {
                return;
            };
            let options = near.set_nodelay(true).and_then(|()| far.set_nodelay(true));
            if options.is_err() {
                return;
            }
            let there = copy(&state, number, near.clone(), far.clone(), false);
            let back = copy(&state, number, far, near, true);
            futures::future::join(there, back).await;
        });
    }
}

async fn copy(
    state: &RelayState,
    number: u64,
    mut from: TcpStream,
    mut to: TcpStream,
    is_answer: bool,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let bytes = from.read(&mut buffer).await.unwrap_or(0);
        if state.is_mode(RelayMode::Reset) {
            h1::reset(&from);
            h1::reset(&to);
            break;
        }
        let loses_answers = is_answer && state.is_mode(RelayMode::LoseAnswers);
        if bytes > 0 && (loses_answers || state.is_mode(RelayMode::Lose)) {
            lose_rest(&mut from, &mut buffer).await;
            // The other side is left without a word, too.
            return;
        }
        state.wait_open(number).await;
        let delay_ms = state.delay_ms.load(Ordering::SeqCst);
        if delay_ms > 0 {
            async_std::task::sleep(Duration::from_millis(delay_ms)).await;
        }
        if bytes == 0 || to.write_all(&buffer[..bytes]).await.is_err() {
            break;
        }
    }
    // Either side may have closed the connection before.
    let _closed_already = from.shutdown(Shutdown::Read);
    let _closed_already = to.shutdown(Shutdown::Write);
}

/// Reads and drops bytes until the connection is closed.
async fn lose_rest(from: &mut TcpStream, buffer: &mut [u8]) {
    while from.read(buffer).await.is_ok_and(|bytes| bytes > 0) {}
}
