//! One client's connection: requests may be pipelined, and are answered in their order.
//!
//! Idempotent requests that arrive behind unanswered idempotent ones are handled at once,
//! so that a slow one does not take the time of those behind it. Behind a request that
//! must not run twice nothing is read, and such a request runs only when all before it
//! are answered: a client sends again whatever is behind an answer that closes the
//! connection.

use crate::answer::{UpstreamAnswer, encode_answer_head, encode_refusal};
use crate::client_reader::{ReadOutcome, ReadRequest, read_request};
use crate::clients::{ClientServer, InFlightGuard};
use crate::stop_limit::STOPPING_RETRY_AFTER;
use async_std::future::timeout;
use async_std::net::TcpStream;
use futures::AsyncWriteExt;
use futures::future::BoxFuture;
use h1::{BodyLength, BodyReader, Connection};
use kernel::{Cause, Moment, Refusal};
use log::{info, warn};
use std::collections::VecDeque;
use std::fmt;
use std::future::poll_fn;
use std::net::Shutdown;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

/// Maximum number of requests of one connection that are handled at a time; further
/// ones stay unread, so that the client's sends are held back.
const MAX_PIPELINED: usize = 8;
/// Maximum time for a client to take its answer.
const WRITE_TIMEOUT: Duration = Duration::from_secs(20);
/// Maximum time for which the rest of a refused request is read and discarded. Closing a
/// connection with unread bytes resets it, and the refusal would be lost on the way.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(2);
/// Time after which a client should retry whose body found no memory; most requests that
/// hold some are answered within it.
const BUSY_RETRY_AFTER: Duration = Duration::from_millis(400);

/// A request's result, ready to be written.
struct FinishedRequest {
    id: Option<String>,
    outcome: Result<UpstreamAnswer, Refusal>,
    /// Whether the connection has to close behind this answer.
    closes: bool,
    _guard: InFlightGuard,
}

/// A request that is being handled, or waits for its turn to be answered.
enum PendingAnswer {
    Running(BoxFuture<'static, FinishedRequest>),
    Finished(Box<FinishedRequest>),
    /// Its answer is being written.
    Writing,
}

/// Unanswered requests in the order in which they were read.
#[derive(Default)]
struct AnswerQueue {
    pending: VecDeque<PendingAnswer>,
    /// The number of pending answers, for the reader.
    count: Arc<AtomicUsize>,
    /// Whether a request is among them that must not run twice.
    has_non_idempotent: bool,
}

impl AnswerQueue {
    fn push(&mut self, answer: PendingAnswer) {
        self.pending.push_back(answer);
        self.count.store(self.pending.len(), Ordering::Relaxed);
    }

    fn pop(&mut self) {
        self.pending.pop_front();
        self.count.store(self.pending.len(), Ordering::Relaxed);
        if self.pending.is_empty() {
            self.has_non_idempotent = false;
        }
    }

    fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Drives all requests, and is ready with the first one's result.
    fn poll_first(&mut self, context: &mut Context<'_>) -> Poll<Box<FinishedRequest>> {
        for answer in &mut self.pending {
            let PendingAnswer::Running(handling) = answer else {
                continue;
            };
            if let Poll::Ready(finished) = handling.as_mut().poll(context) {
                *answer = PendingAnswer::Finished(Box::new(finished));
            }
        }
        let Some(first) = self.pending.front_mut() else {
            return Poll::Pending;
        };
        // Counted as unanswered until it is written.
        match std::mem::replace(first, PendingAnswer::Writing) {
            PendingAnswer::Finished(finished) => Poll::Ready(finished),
            unfinished => {
                *first = unfinished;
                Poll::Pending
            }
        }
    }
}

/// What happened next on a connection.
enum ConnectionEvent {
    Read(ReadOutcome),
    Finished(Box<FinishedRequest>),
    /// The client closed the connection while nothing was being read.
    ClientLeft,
}

/// One client's connection.
pub(crate) struct ClientConnection {
    server: ClientServer,
    stream: TcpStream,
    /// The reading side, while nothing is being read.
    reader: Option<Connection<TcpStream>>,
    reading: Option<BoxFuture<'static, (Connection<TcpStream>, ReadOutcome)>>,
    /// Waits for the client to leave while nothing is being read.
    watch: Option<BoxFuture<'static, ()>>,
    answers: AnswerQueue,
    /// A request that has to wait until all before it are answered.
    held_request: Option<Box<ReadRequest>>,
    /// Whether no more requests are read.
    is_read_closed: bool,
    /// Whether the last request was refused before it was read to its end.
    has_unread_request: bool,
    is_client_gone: Arc<AtomicBool>,
    idle_since: Moment,
}

impl fmt::Debug for ClientConnection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ClientConnection")
            .field("unanswered", &self.answers.pending.len())
            .finish_non_exhaustive()
    }
}

impl ClientConnection {
    pub(crate) fn new(server: ClientServer, stream: TcpStream) -> Self {
        Self {
            idle_since: server.dispatcher.state.clock.now(),
            server,
            reader: Some(Connection::new(stream.clone())),
            stream,
            reading: None,
            watch: None,
            answers: AnswerQueue::default(),
            held_request: None,
            is_read_closed: false,
            has_unread_request: false,
            is_client_gone: Arc::default(),
        }
    }

    /// Serves requests until the connection closes.
    pub(crate) async fn serve(mut self) {
        loop {
            self.prepare_read();
            match self.next_event().await {
                ConnectionEvent::Read(outcome) => {
                    if self.apply_read(outcome) == NextStep::Close {
                        break;
                    }
                }
                ConnectionEvent::Finished(finished) => {
                    if self.write_answer(*finished).await == NextStep::Close {
                        break;
                    }
                }
                ConnectionEvent::ClientLeft => break,
            }
        }
        if self.has_unread_request {
            self.discard_rest().await;
        }
        self.finish_running().await;
    }

    /// Reads and discards the rest of a refused request, until the client has taken the
    /// refusal and closes.
    async fn discard_rest(&mut self) {
        // A connection that has failed needs no end.
        let _failed = self.stream.shutdown(Shutdown::Write);
        let Some(mut connection) = self.reader.take() else {
            return;
        };
        let mut reader = BodyReader::new(BodyLength::UntilClose);
        let discarding =
            async { while let Ok(Some(_part)) = reader.next(&mut connection).await {} };
        // The client has had its time.
        let _elapsed = timeout(DISCARD_TIMEOUT, discarding).await;
    }

    /// Returns whether the next request may be read now.
    fn may_read(&self) -> bool {
        let is_draining = self.server.is_stopping() && !self.answers.is_empty();
        !self.is_read_closed
            && !is_draining
            && self.held_request.is_none()
            && !self.answers.has_non_idempotent
            && self.answers.pending.len() < MAX_PIPELINED
    }

    /// Starts to read the next request, or to watch for the client's leave instead.
    fn prepare_read(&mut self) {
        if self.reading.is_some() {
            return;
        }
        if self.may_read() {
            self.watch = None;
            if let Some(reader) = self.reader.take() {
                let unanswered = Arc::clone(&self.answers.count);
                let reading = read_request(self.server.clone(), reader, unanswered);
                self.reading = Some(Box::pin(reading));
            }
            return;
        }
        if self.watch.is_none() {
            self.watch = Some(Box::pin(wait_for_close(self.stream.clone())));
        }
    }

    async fn next_event(&mut self) -> ConnectionEvent {
        poll_fn(|context| {
            if let Poll::Ready(finished) = self.answers.poll_first(context) {
                return Poll::Ready(ConnectionEvent::Finished(finished));
            }
            if let Some(reading) = &mut self.reading
                && let Poll::Ready((reader, outcome)) = reading.as_mut().poll(context)
            {
                self.reading = None;
                self.reader = Some(reader);
                return Poll::Ready(ConnectionEvent::Read(outcome));
            }
            if let Some(watch) = &mut self.watch
                && watch.as_mut().poll(context).is_ready()
            {
                return Poll::Ready(ConnectionEvent::ClientLeft);
            }
            Poll::Pending
        })
        .await
    }

    fn apply_read(&mut self, outcome: ReadOutcome) -> NextStep {
        match outcome {
            ReadOutcome::Request(request) => {
                self.is_read_closed |= !request.request.head.keeps_alive;
                self.start_or_hold(*request);
                NextStep::Continue
            }
            ReadOutcome::Refused { cause, id, guard } => {
                self.is_read_closed = true;
                self.has_unread_request = true;
                let mut refusal = Refusal::new(cause);
                if cause == Cause::HostBusy {
                    refusal = refusal.with_retry_after(BUSY_RETRY_AFTER);
                }
                log_refusal(id.as_deref(), refusal);
                self.push_refusal(id, refusal, true, guard);
                NextStep::Continue
            }
            ReadOutcome::Idle if !self.answers.is_empty() => NextStep::Continue,
            ReadOutcome::Idle => {
                let state = &self.server.dispatcher.state;
                let idle_time = state.view.load().limits().idle_time;
                if state.clock.now() - self.idle_since < idle_time {
                    NextStep::Continue
                } else {
                    NextStep::Close
                }
            }
            ReadOutcome::Closed => NextStep::Close,
        }
    }

    /// Starts to handle a request, unless it must not run twice and others before it
    /// are unanswered.
    fn start_or_hold(&mut self, request: ReadRequest) {
        let ReadRequest { request, guard } = request;
        let names = &self.server.dispatcher.state.exchanger.names;
        let id = request
            .head
            .headers
            .get(names.request_id)
            .map(str::to_owned);
        let closes = !request.head.keeps_alive;
        if self.server.is_closing() {
            let refusal = Refusal::new(Cause::HostStopping);
            self.push_refusal(
                id,
                refusal.with_retry_after(STOPPING_RETRY_AFTER),
                closes,
                guard,
            );
            return;
        }
        if !self.answers.is_empty() && !self.server.dispatcher.is_idempotent(&request) {
            self.held_request = Some(Box::new(ReadRequest { request, guard }));
            return;
        }
        let request = match self.server.dispatcher.resolve(request) {
            Ok(request) => request,
            Err(refusal) => {
                log_refusal(id.as_deref(), refusal);
                self.push_refusal(id, refusal, closes, guard);
                return;
            }
        };
        self.answers.has_non_idempotent |= !request.is_idempotent();
        let dispatcher = self.server.dispatcher.clone();
        let is_client_gone = Arc::clone(&self.is_client_gone);
        self.answers
            .push(PendingAnswer::Running(Box::pin(async move {
                FinishedRequest {
                    outcome: dispatcher.handle(&request, &is_client_gone).await,
                    id,
                    closes,
                    _guard: guard,
                }
            })));
    }

    fn push_refusal(
        &mut self,
        id: Option<String>,
        refusal: Refusal,
        closes: bool,
        guard: InFlightGuard,
    ) {
        self.answers
            .push(PendingAnswer::Finished(Box::new(FinishedRequest {
                id,
                outcome: Err(refusal),
                closes,
                _guard: guard,
            })));
    }

    async fn write_answer(&mut self, finished: FinishedRequest) -> NextStep {
        let is_last = self.answers.pending.len() == 1 && self.held_request.is_none();
        let closes = finished.closes || (is_last && self.server.is_stopping());
        let mut bytes = match &finished.outcome {
            Ok(answer) => encode_answer_head(answer, !closes),
            Err(refusal) => {
                let names = &self.server.dispatcher.state.exchanger.names;
                let id = finished.id.as_deref().map(|id| (names.request_id, id));
                encode_refusal(*refusal, id, !closes)
            }
        };
        let mut stream = self.stream.clone();
        let blocks = match &finished.outcome {
            Ok(answer) => answer.body.blocks_behind(&mut bytes),
            Err(_) => &[],
        };
        let writing = async {
            stream.write_all(&bytes).await?;
            for block in blocks {
                stream.write_all(block).await?;
            }
            stream.flush().await
        };
        match timeout(WRITE_TIMEOUT, writing).await {
            Ok(Ok(())) => {}
            Ok(Err(error)) => {
                warn!(
                    target: "clients",
                    "request={} answer not sent: {error}",
                    finished.id.as_deref().unwrap_or("unknown"),
                );
                return NextStep::Close;
            }
            Err(_elapsed) => return NextStep::Close,
        }
        self.answers.pop();
        self.idle_since = self.server.dispatcher.state.clock.now();
        if closes {
            return NextStep::Close;
        }
        if self.answers.is_empty()
            && let Some(request) = self.held_request.take()
        {
            self.start_or_hold(*request);
        }
        NextStep::Continue
    }

    /// Ends the connection: requests that may run again are canceled, one that must not
    /// run twice is left to finish.
    async fn finish_running(mut self) {
        self.is_client_gone.store(true, Ordering::Relaxed);
        if self.answers.is_empty() {
            return;
        }
        info!(
            target: "request",
            "state=client_left unanswered={}", self.answers.pending.len(),
        );
        if !self.answers.has_non_idempotent {
            return;
        }
        if let Some(PendingAnswer::Running(handling)) = self.answers.pending.pop_front() {
            handling.await;
        }
    }
}

/// Whether a connection stays open.
#[derive(Clone, Copy, PartialEq, Eq)]
enum NextStep {
    Continue,
    Close,
}

fn log_refusal(id: Option<&str>, refusal: Refusal) {
    info!(
        target: "request",
        "request={} status={} verdict={} cause={}",
        id.unwrap_or("unknown"), refusal.cause.status(), refusal.verdict(), refusal.cause,
    );
}

/// Waits until the client has closed its connection.
pub(crate) async fn wait_for_close(stream: TcpStream) {
    let mut byte = [0_u8; 1];
    match stream.peek(&mut byte).await {
        Ok(0) | Err(_) => {}
        // The next request has arrived already, so the client is still connected.
        Ok(_) => std::future::pending().await,
    }
}
