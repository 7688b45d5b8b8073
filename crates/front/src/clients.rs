//! Server for client connections.

use crate::body_memory::BodyMemory;
use crate::client_connection::ClientConnection;
use crate::dispatch::Dispatcher;
use async_std::net::TcpListener;
use futures::FutureExt;
use futures::future::{Either, select};
use kernel::TaskScope;
use std::pin::pin;
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
    /// Closed when no more connections are accepted.
    accepting: TaskScope,
    /// Whether no further request is read.
    has_ended: AtomicBool,
    /// Number of connections accepted so far.
    accepted: AtomicU64,
    /// Number of requests begun so far.
    begun: AtomicU64,
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

    /// Returns the number of connections accepted so far.
    pub(crate) fn accepted(&self) -> u64 {
        self.state.accepted.load(Ordering::SeqCst)
    }

    /// Returns the number of requests begun so far.
    pub(crate) fn begun(&self) -> u64 {
        self.state.begun.load(Ordering::SeqCst)
    }

    /// Counts a request in flight; returns `None` if no further request may be read.
    pub(crate) fn begin_request(&self) -> Option<InFlightGuard> {
        self.state.begun.fetch_add(1, Ordering::SeqCst);
        self.state.in_flight.fetch_add(1, Ordering::SeqCst);
        let guard = InFlightGuard {
            state: Arc::clone(&self.state),
        };
        // Counted before the check: `try_end` sees the request, or this sees the end.
        (!self.state.has_ended.load(Ordering::SeqCst)).then_some(guard)
    }

    /// Lets no further request be read; returns `false`, and lets them be read again, if
    /// one is in flight.
    pub(crate) fn try_end(&self) -> bool {
        self.state.has_ended.store(true, Ordering::SeqCst);
        if self.in_flight() == 0 {
            return true;
        }
        self.state.has_ended.store(false, Ordering::SeqCst);
        false
    }

    /// Accepts no further connections, except for those that wait already.
    pub(crate) fn stop_accepting(&self) {
        self.state.accepting.close();
    }

    /// Accepts connections until [`Self::stop_accepting`] is called or the scope is closed.
    pub(crate) async fn accept(self, listener: Arc<TcpListener>, scope: TaskScope) {
        let accepting = self.state.accepting.clone();
        loop {
            let accepted = pin!(h1::accept(&listener, "clients"));
            let stopped = pin!(accepting.closed());
            let stream = match select(accepted, stopped).await {
                Either::Left((stream, _)) => stream,
                // Closing the listener resets the connections that wait to be accepted.
                Either::Right(_) => match h1::accept(&listener, "clients").now_or_never() {
                    Some(stream) => stream,
                    None => return,
                },
            };
            self.state.accepted.fetch_add(1, Ordering::SeqCst);
            let connection = ClientConnection::new(self.clone(), stream);
            scope.spawn(connection.serve());
        }
    }
}
