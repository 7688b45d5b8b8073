//! Server for client connections.

use crate::client_connection::ClientConnection;
use crate::dispatch::Dispatcher;
use async_std::net::TcpListener;
use kernel::TaskScope;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

/// Maximum total size of the bodies held at a time, in bytes; a quarter of a small
/// host's memory.
const MAX_TOTAL_BODY_BYTES: u64 = 40 << 20;

/// Reads requests from clients and writes their answers.
#[derive(Clone, Debug)]
pub(crate) struct ClientServer {
    pub dispatcher: Dispatcher,
    state: Arc<ServerState>,
}

#[derive(Debug, Default)]
struct ServerState {
    is_stopping: AtomicBool,
    is_closing: AtomicBool,
    in_flight: AtomicU64,
    body_bytes: AtomicU64,
}

/// Counts a request in flight, and the size of its body, until dropped.
#[derive(Debug)]
pub(crate) struct InFlightGuard {
    state: Arc<ServerState>,
    body_bytes: u64,
}

impl InFlightGuard {
    /// Adds the size of the request's body.
    pub(crate) fn add_body(&mut self, bytes: u64) {
        self.body_bytes += bytes;
        self.state.body_bytes.fetch_add(bytes, Ordering::SeqCst);
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.state.in_flight.fetch_sub(1, Ordering::SeqCst);
        self.state
            .body_bytes
            .fetch_sub(self.body_bytes, Ordering::SeqCst);
    }
}

impl ClientServer {
    pub(crate) fn new(dispatcher: Dispatcher) -> Self {
        Self {
            dispatcher,
            state: Arc::default(),
        }
    }

    /// Closes each connection once the requests read from it are answered.
    pub(crate) fn stop(&self) {
        self.state.is_stopping.store(true, Ordering::SeqCst);
    }

    /// Refuses all further requests.
    pub(crate) fn close(&self) {
        self.state.is_closing.store(true, Ordering::SeqCst);
    }

    /// Returns whether connections close once their requests are answered.
    pub(crate) fn is_stopping(&self) -> bool {
        self.state.is_stopping.load(Ordering::SeqCst)
    }

    /// Returns whether all further requests are refused.
    pub(crate) fn is_closing(&self) -> bool {
        self.state.is_closing.load(Ordering::SeqCst)
    }

    /// Returns the number of requests in flight.
    pub(crate) fn in_flight(&self) -> u64 {
        self.state.in_flight.load(Ordering::SeqCst)
    }

    /// Counts a request in flight.
    pub(crate) fn begin_request(&self) -> InFlightGuard {
        self.state.in_flight.fetch_add(1, Ordering::SeqCst);
        InFlightGuard {
            state: Arc::clone(&self.state),
            body_bytes: 0,
        }
    }

    /// Returns how many more bytes of request bodies may be held.
    pub(crate) fn available_body_bytes(&self) -> u64 {
        let used = self.state.body_bytes.load(Ordering::SeqCst);
        MAX_TOTAL_BODY_BYTES.saturating_sub(used)
    }

    /// Accepts connections until the scope is closed.
    pub(crate) async fn accept(self, listener: Arc<TcpListener>, scope: TaskScope) {
        loop {
            let stream = h1::accept(&listener, "clients").await;
            let connection = ClientConnection::new(self.clone(), stream);
            scope.spawn(connection.serve());
        }
    }
}
