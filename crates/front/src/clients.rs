//! Server for client connections.

use crate::answer::{encode_answer, encode_refusal};
use crate::dispatch::Dispatcher;
use crate::request::ClientRequest;
use async_std::future::timeout;
use async_std::net::{TcpListener, TcpStream};
use futures::future::{Either, select};
use h1::{Connection, HeadLimits, RequestHead};
use kernel::{Cause, Moment, Refusal, TaskScope};
use log::{info, warn};
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

/// Maximum time for a client to take its answer, and for a body to arrive when the
/// client sets no time.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(20);
/// Maximum total size of the bodies held at a time, in bytes; a quarter of a small
/// host's memory.
const MAX_TOTAL_BODY_BYTES: u64 = 40 << 20;
/// Delay after a failed accept, which happens when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Reads requests from clients and writes their answers.
#[derive(Clone, Debug)]
pub(crate) struct ClientServer {
    dispatcher: Dispatcher,
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
struct InFlightGuard<'a> {
    state: &'a ServerState,
    body_bytes: u64,
}

impl<'a> InFlightGuard<'a> {
    fn new(state: &'a ServerState) -> Self {
        state.in_flight.fetch_add(1, Ordering::SeqCst);
        Self {
            state,
            body_bytes: 0,
        }
    }
}

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        self.state.in_flight.fetch_sub(1, Ordering::SeqCst);
        self.state
            .body_bytes
            .fetch_sub(self.body_bytes, Ordering::SeqCst);
    }
}

/// Whether a connection stays open after a request.
#[derive(Clone, Copy, PartialEq, Eq)]
enum NextStep {
    Continue,
    Close,
}

impl ClientServer {
    pub(crate) fn new(dispatcher: Dispatcher) -> Self {
        Self {
            dispatcher,
            state: Arc::default(),
        }
    }

    /// Closes each connection after its current request.
    pub(crate) fn stop(&self) {
        self.state.is_stopping.store(true, Ordering::SeqCst);
    }

    /// Refuses all further requests.
    pub(crate) fn close(&self) {
        self.state.is_closing.store(true, Ordering::SeqCst);
    }

    /// Returns the number of requests in flight.
    pub(crate) fn in_flight(&self) -> u64 {
        self.state.in_flight.load(Ordering::SeqCst)
    }

    /// Accepts connections until the scope is closed.
    pub(crate) async fn accept(self, listener: TcpListener, scope: TaskScope) {
        loop {
            let stream = match listener.accept().await {
                Ok((stream, _peer)) => stream,
                Err(error) => {
                    warn!(target: "clients", "accept failed: {error}");
                    async_std::task::sleep(ACCEPT_RETRY_DELAY).await;
                    continue;
                }
            };
            if let Err(error) = stream.set_nodelay(true) {
                warn!(target: "clients", "connection dropped, can't set TCP_NODELAY: {error}");
                continue;
            }
            let server = self.clone();
            scope.spawn(async move { server.serve(stream).await });
        }
    }

    async fn serve(&self, stream: TcpStream) {
        let peek_stream = stream.clone();
        let mut connection = Connection::new(stream);
        while self.serve_one(&mut connection, &peek_stream).await == NextStep::Continue {}
    }

    async fn serve_one(
        &self,
        connection: &mut Connection<TcpStream>,
        peek_stream: &TcpStream,
    ) -> NextStep {
        let client_limits = self.dispatcher.state.view.load().limits();
        match timeout(client_limits.idle_time, connection.wait_for_bytes()).await {
            Ok(Ok(true)) => {}
            _ => return NextStep::Close,
        }
        let received_at = self.dispatcher.state.clock.now();
        let mut guard = InFlightGuard::new(&self.state);
        let head_limits = HeadLimits {
            max_bytes: client_limits.head_bytes,
            ..HeadLimits::default()
        };
        let head = match timeout(
            client_limits.head_time,
            connection.read_request(&head_limits),
        )
        .await
        {
            Ok(Ok(Some(head))) => head,
            Ok(Ok(None) | Err(h1::Error::Io(_) | h1::Error::Truncated)) => return NextStep::Close,
            Ok(Err(h1::Error::HeadTooLarge)) => {
                return self
                    .refuse(connection, Cause::HeadTooLarge.into(), None)
                    .await;
            }
            Ok(Err(_)) => {
                return self
                    .refuse(connection, Cause::BadRequest.into(), None)
                    .await;
            }
            Err(_elapsed) => {
                return self
                    .refuse(connection, Cause::RequestTimeout.into(), None)
                    .await;
            }
        };
        let body = self
            .read_body(connection, &head, client_limits.body_bytes, &mut guard)
            .await;
        let body = match body {
            Ok(body) => body,
            Err(None) => return NextStep::Close,
            Err(Some(cause)) => return self.refuse(connection, cause.into(), Some(&head)).await,
        };
        self.answer(connection, peek_stream, head, body, received_at)
            .await
    }

    async fn read_body(
        &self,
        connection: &mut Connection<TcpStream>,
        head: &RequestHead,
        max_bytes: u64,
        guard: &mut InFlightGuard<'_>,
    ) -> Result<Vec<u8>, Option<Cause>> {
        let expects_continue = head.headers.get("expect").is_some();
        if expects_continue {
            let sent = connection.write(b"HTTP/1.1 100 Continue\r\n\r\n").await;
            sent.map_err(|_closed| None)?;
        }
        let used = self.state.body_bytes.load(Ordering::SeqCst);
        let available = MAX_TOTAL_BODY_BYTES.saturating_sub(used);
        let reading = connection.read_whole_body(head.body, max_bytes.min(available));
        let body = match timeout(self.body_timeout(head), reading).await {
            Ok(Ok(body)) => body,
            Ok(Err(h1::Error::BodyTooLarge)) if max_bytes <= available => {
                return Err(Some(Cause::BodyTooLarge));
            }
            Ok(Err(h1::Error::BodyTooLarge)) => return Err(Some(Cause::HostBusy)),
            Ok(Err(h1::Error::Malformed(_))) => return Err(Some(Cause::BadRequest)),
            Ok(Err(_)) => return Err(None),
            Err(_elapsed) => return Err(Some(Cause::RequestTimeout)),
        };
        guard.body_bytes = body.len() as u64;
        self.state
            .body_bytes
            .fetch_add(guard.body_bytes, Ordering::SeqCst);
        Ok(body)
    }

    /// Returns how long a body may take to arrive.
    fn body_timeout(&self, head: &RequestHead) -> Duration {
        let names = &self.dispatcher.state.exchanger.names;
        let left_ms = head.headers.get_number(names.time_left);
        left_ms.map_or(TRANSFER_TIMEOUT, Duration::from_millis)
    }

    async fn refuse(
        &self,
        connection: &mut Connection<TcpStream>,
        refusal: Refusal,
        head: Option<&RequestHead>,
    ) -> NextStep {
        let names = &self.dispatcher.state.exchanger.names;
        let id = head.and_then(|head| head.headers.get(names.request_id));
        info!(
            target: "request",
            "request={} status={} verdict={} cause={}",
            id.unwrap_or("unknown"), refusal.cause.status(), refusal.verdict(), refusal.cause,
        );
        let bytes = encode_refusal(refusal, id.map(|id| (names.request_id, id)), false);
        if let Err(error) = connection.write(&bytes).await {
            warn!(target: "clients", "refusal not sent: {error}");
        }
        NextStep::Close
    }

    async fn answer(
        &self,
        connection: &mut Connection<TcpStream>,
        peek_stream: &TcpStream,
        head: RequestHead,
        body: Vec<u8>,
        received_at: Moment,
    ) -> NextStep {
        let names = &self.dispatcher.state.exchanger.names;
        let id = head.headers.get(names.request_id).map(str::to_owned);
        let client_keeps_alive = head.keeps_alive;
        let request = ClientRequest {
            head,
            body,
            received_at,
        };
        let outcome = if self.state.is_closing.load(Ordering::SeqCst) {
            Err(Refusal::new(Cause::HostStopping).with_retry_after(Duration::from_millis(50)))
        } else {
            match self.dispatcher.resolve(request) {
                Ok(request) => {
                    let is_client_gone = AtomicBool::new(false);
                    let handling = pin!(self.dispatcher.handle(&request, &is_client_gone));
                    let closing = pin!(wait_for_close(peek_stream));
                    match select(handling, closing).await {
                        Either::Left((outcome, _)) => outcome,
                        Either::Right(((), handling)) => {
                            is_client_gone.store(true, Ordering::Relaxed);
                            // A request that must not run twice is left to finish.
                            if !request.is_idempotent() {
                                let _outcome = handling.await;
                            }
                            info!(target: "request", "request={} state=client_left", request.id);
                            return NextStep::Close;
                        }
                    }
                }
                Err(refusal) => {
                    info!(
                        target: "request",
                        "request={} status={} verdict={} cause={}",
                        id.as_deref().unwrap_or("unknown"),
                        refusal.cause.status(), refusal.verdict(), refusal.cause,
                    );
                    Err(refusal)
                }
            }
        };
        let keeps_alive = client_keeps_alive && !self.state.is_stopping.load(Ordering::SeqCst);
        let bytes = match &outcome {
            Ok(answer) => encode_answer(answer, keeps_alive),
            Err(refusal) => {
                let id = id.as_deref().map(|id| (names.request_id, id));
                encode_refusal(*refusal, id, keeps_alive)
            }
        };
        drop(outcome);
        match timeout(TRANSFER_TIMEOUT, connection.write(&bytes)).await {
            Ok(Ok(())) if keeps_alive => NextStep::Continue,
            _ => NextStep::Close,
        }
    }
}

/// Waits until the client has closed its connection.
async fn wait_for_close(stream: &TcpStream) {
    let mut byte = [0_u8; 1];
    match stream.peek(&mut byte).await {
        Ok(0) | Err(_) => {}
        // The next request has arrived already, so the client is still connected.
        Ok(_) => std::future::pending().await,
    }
}
