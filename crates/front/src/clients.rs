//! Server for client connections.

use crate::body_memory::BodyMemory;
use crate::client_connection::ClientConnection;
use crate::dispatch::Dispatcher;
use async_std::net::TcpListener;
use kernel::TaskScope;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

/// Reads requests from clients and writes their answers.
#[derive(Clone, Debug)]
pub(crate) struct ClientServer {
    pub dispatcher: Dispatcher,
    /// Memory for the bodies of requests.
    pub memory: BodyMemory,
    state: Arc<ServerState>,
}

#[derive(Debug, Default)]
struct ServerState {
    is_stopping: AtomicBool,
    is_closing: AtomicBool,
    in_flight: AtomicU64,
}

/// Counts a request in flight until dropped.
#[derive(Debug)]
pub(crate) struct InFlightGuard {
    state: Arc<ServerState>,
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.state.in_flight.fetch_sub(1, Ordering::SeqCst);
    }
}

impl ClientServer {
    pub(crate) fn new(dispatcher: Dispatcher, memory: BodyMemory) -> Self {
        Self {
            dispatcher,
            memory,
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
        }
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
