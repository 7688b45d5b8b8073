//! Clients' connections.

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

/// Longest time for an answer to be taken by its client.
const WRITE_LIMIT: Duration = Duration::from_secs(20);
/// Most bytes of bodies that are held at a time; a quarter of a small host's memory.
const MOST_BODY_BYTES: u64 = 40 << 20;
/// Pause after a failed accept, when descriptors have run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

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

/// Counts a request in hand, and its body, while it lives.
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

/// Whether a connection goes on after a request.
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

    /// Lets connections end after the request in hand.
    pub(crate) fn stop(&self) {
        self.state.is_stopping.store(true, Ordering::SeqCst);
    }

    /// Refuses all further requests.
    pub(crate) fn close(&self) {
        self.state.is_closing.store(true, Ordering::SeqCst);
    }

    /// Returns the number of requests in hand.
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
                    async_std::task::sleep(ACCEPT_PAUSE).await;
                    continue;
                }
            };
            if let Err(error) = stream.set_nodelay(true) {
                warn!(target: "clients", "connection failed at once: {error}");
                continue;
            }
            let server = self.clone();
            scope.spawn(async move { server.serve(stream).await });
        }
    }

    async fn serve(&self, stream: TcpStream) {
        let watched = stream.clone();
        let mut connection = Connection::new(stream);
        while self.serve_one(&mut connection, &watched).await == NextStep::Continue {}
    }

    async fn serve_one(
        &self,
        connection: &mut Connection<TcpStream>,
        watched: &TcpStream,
    ) -> NextStep {
        let limits = self.dispatcher.parts.view.load().limits();
        match timeout(limits.idle_time, connection.wait_for_bytes()).await {
            Ok(Ok(true)) => {}
            _ => return NextStep::Close,
        }
        let received_at = self.dispatcher.parts.clock.now();
        let mut guard = InFlightGuard::new(&self.state);
        let head_limits = HeadLimits {
            bytes: limits.head_bytes,
            ..HeadLimits::default()
        };
        let head = match timeout(limits.head_time, connection.read_request(&head_limits)).await {
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
            .read_body(connection, &head, limits.body_bytes, &mut guard)
            .await;
        let body = match body {
            Ok(body) => body,
            Err(None) => return NextStep::Close,
            Err(Some(cause)) => return self.refuse(connection, cause.into(), Some(&head)).await,
        };
        self.answer(connection, watched, head, body, received_at)
            .await
    }

    async fn read_body(
        &self,
        connection: &mut Connection<TcpStream>,
        head: &RequestHead,
        limit: u64,
        guard: &mut InFlightGuard<'_>,
    ) -> Result<Vec<u8>, Option<Cause>> {
        let is_expecting = head.headers.get("expect").is_some();
        if is_expecting {
            let sent = connection.write(b"HTTP/1.1 100 Continue\r\n\r\n").await;
            sent.map_err(|_closed| None)?;
        }
        let taken = self.state.body_bytes.load(Ordering::SeqCst);
        let room = MOST_BODY_BYTES.saturating_sub(taken);
        let reading = connection.read_whole_body(head.body, limit.min(room));
        let body = match timeout(self.body_time(head), reading).await {
            Ok(Ok(body)) => body,
            Ok(Err(h1::Error::BodyTooLarge)) if limit <= room => {
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
    fn body_time(&self, head: &RequestHead) -> Duration {
        let names = &self.dispatcher.parts.exchanger.names;
        let given = head.headers.get_number(names.time_left);
        given.map_or(WRITE_LIMIT, Duration::from_millis)
    }

    async fn refuse(
        &self,
        connection: &mut Connection<TcpStream>,
        refusal: Refusal,
        head: Option<&RequestHead>,
    ) -> NextStep {
        let names = &self.dispatcher.parts.exchanger.names;
        let id = head.and_then(|head| head.headers.get(names.request_id));
        info!(
            target: "request",
            "request={} status={} verdict={} cause={}",
            id.unwrap_or("unknown"), refusal.cause.status(), refusal.verdict(), refusal.cause,
        );
        let bytes = encode_refusal(refusal, id.map(|id| (names.request_id, id)), false);
        if let Err(error) = connection.write(&bytes).await {
            warn!(target: "clients", "refusal not delivered: {error}");
        }
        NextStep::Close
    }

    async fn answer(
        &self,
        connection: &mut Connection<TcpStream>,
        watched: &TcpStream,
        head: RequestHead,
        body: Vec<u8>,
        received_at: Moment,
    ) -> NextStep {
        let names = &self.dispatcher.parts.exchanger.names;
        let id = head.headers.get(names.request_id).map(str::to_owned);
        let client_keeps = head.keeps_alive;
        let request = ClientRequest {
            head,
            body,
            received_at,
        };
        let outcome = if self.state.is_closing.load(Ordering::SeqCst) {
            Err(Refusal::new(Cause::HostStopping).after(Duration::from_millis(50)))
        } else {
            match self.dispatcher.resolve(request) {
                Ok(order) => {
                    let is_gone = AtomicBool::new(false);
                    let working = pin!(self.dispatcher.handle(&order, &is_gone));
                    let leaving = pin!(wait_for_close(watched));
                    match select(working, leaving).await {
                        Either::Left((outcome, _)) => outcome,
                        Either::Right(((), working)) => {
                            is_gone.store(true, Ordering::Relaxed);
                            // Work that must not run twice is left to end by itself.
                            if !order.is_idempotent() {
                                let _nobody_to_tell = working.await;
                            }
                            info!(target: "request", "request={} state=client_left", order.id);
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
        let keeps_alive = client_keeps && !self.state.is_stopping.load(Ordering::SeqCst);
        let bytes = match &outcome {
            Ok(answer) => encode_answer(answer, keeps_alive),
            Err(refusal) => {
                let id = id.as_deref().map(|id| (names.request_id, id));
                encode_refusal(*refusal, id, keeps_alive)
            }
        };
        drop(outcome);
        match timeout(WRITE_LIMIT, connection.write(&bytes)).await {
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
        // The next request is here already, so the client is too.
        Ok(_) => std::future::pending().await,
    }
}
