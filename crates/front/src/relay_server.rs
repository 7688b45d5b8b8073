//! Server that forwards requests of the other hosts of the failure domain.

use crate::answer::{UpstreamAnswer, encode_answer_head};
use crate::body_memory::{BodyError, BodyMemory, HeldBody};
use crate::client_connection::wait_for_close;
use crate::cold_budget::SendPermit;
use crate::dispatch::DispatchState;
use crate::exchange::ExchangeFailure;
use crate::relay_client::{RELAY_HEAD_BYTES, RELAY_HEADERS};
use crate::request::OutgoingRequest;
use async_std::future::timeout;
use async_std::net::{TcpListener, TcpStream};
use fleet::UpstreamEntry;
use futures::future::{Either, select};
use h1::{BodyLength, BodyReader, Connection, HeadLimits, RequestHead, encode_response_head};
use kernel::{Moment, RequestId, TaskScope};
use log::debug;
use place::RequestOutcome;
use relay::{RelayAdmission, RelayCall, RelayRefusal, RelayReply, is_relay_header};
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

/// Time after which an idle connection of another host is closed; the host itself drops it
/// earlier, so that it does not write while the connection closes.
const IDLE_TIMEOUT: Duration = Duration::from_secs(40);
/// Maximum time for a request to arrive, or for a response to be taken.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(5);
/// Interval of the signs of life while an upstream works on a request. Most answers arrive
/// earlier.
const SIGN_OF_LIFE_INTERVAL: Duration = Duration::from_millis(150);
/// Interim response that shows that this host is not frozen.
const SIGN_OF_LIFE: &[u8] = b"HTTP/1.1 102 Processing\r\n\r\n";
/// Minimum limit on the head of a request, in bytes. The sender may have a newer sheet with
/// a higher one, and a head that is not read to its end can't be refused.
const MIN_HEAD_BYTES: usize = 64 << 10;
/// Part of the memory for request bodies that they may take together, those of this
/// host's clients included, for a further body to be relayed.
const BODY_MEMORY_PARTS: u64 = 2;
/// Fraction of the host's memory that the relayed requests may take besides their bodies.
const MEMORY_FRACTION: u64 = 16;
/// Memory of one relayed request besides its bodies: the tasks, and the buffers of two
/// connections here and in the kernel, in bytes.
const REQUEST_COST_BYTES: u64 = 64 << 10;

/// Returns the maximum number of requests that a host with `memory_bytes` relays at a time.
pub(crate) const fn max_in_flight(memory_bytes: u64) -> u64 {
    memory_bytes / MEMORY_FRACTION / REQUEST_COST_BYTES
}

/// Forwards requests of other hosts to the upstreams that these selected.
#[derive(Clone, Debug)]
pub(crate) struct RelayServer {
    dispatch: Arc<DispatchState>,
    memory: BodyMemory,
    admission: RelayAdmission,
    program: u32,
}

/// A request that was read completely, and where it goes.
struct ReadCall {
    call: RelayCall,
    entry: UpstreamEntry,
    head: RequestHead,
    body: HeldBody,
    deadline: Moment,
}

/// Why a request is not forwarded.
enum ReadFailure {
    /// The connection has failed, or what it carries is no request of a host.
    Connection,
    /// The request has been read to its end, and is refused.
    Refused(RequestId, RelayRefusal),
}

impl RelayServer {
    /// Creates a server; `None` if this host does not relay. `memory` is that for the
    /// bodies of clients' requests.
    pub(crate) fn new(dispatch: &Arc<DispatchState>, memory: &BodyMemory) -> Option<Self> {
        let client = dispatch.relay.as_ref()?;
        Some(Self {
            dispatch: Arc::clone(dispatch),
            memory: memory.with_part(BODY_MEMORY_PARTS),
            admission: client.admission.clone(),
            program: client.program,
        })
    }

    /// Refuses all further requests.
    pub(crate) fn stop(&self) {
        self.admission.stop();
    }

    /// Returns the number of requests in flight.
    pub(crate) fn in_flight(&self) -> u64 {
        self.admission.in_flight()
    }

    /// Returns the number of requests begun so far.
    pub(crate) fn begun(&self) -> u64 {
        self.admission.begun()
    }

    /// Lets no further request be read; returns `false`, and lets them be read again, if
    /// one is in flight.
    pub(crate) fn try_end(&self) -> bool {
        self.admission.try_end()
    }

    /// Lets requests be read again after [`Self::try_end`].
    pub(crate) fn undo_end(&self) {
        self.admission.undo_end();
    }

    /// Accepts connections until the scope is closed.
    pub(crate) async fn accept(self, listener: Arc<TcpListener>, scope: TaskScope) {
        loop {
            let stream = h1::accept(&listener, "relay").await;
            scope.spawn(self.clone().serve(stream));
        }
    }

    async fn serve(self, stream: TcpStream) {
        let mut connection = Connection::new(stream.clone());
        loop {
            match timeout(IDLE_TIMEOUT, connection.wait_for_bytes()).await {
                Ok(Ok(true)) => {}
                _ => return,
            }
            if !self.serve_request(&mut connection, &stream).await {
                return;
            }
        }
    }

    /// Serves one request; returns whether the connection may be used again.
    async fn serve_request(
        &self,
        connection: &mut Connection<TcpStream>,
        stream: &TcpStream,
    ) -> bool {
        let Some(_guard) = self.admission.begin() else {
            return false;
        };
        let received_at = self.dispatch.clock.now();
        let reading = self.read_call(connection, received_at);
        let read = match timeout(TRANSFER_TIMEOUT, reading).await {
            Ok(Ok(read)) => read,
            Ok(Err(ReadFailure::Refused(id, refusal))) => {
                let reply = RelayReply::Refused(refusal);
                return self.respond(connection, &id, &reply, None).await;
            }
            Ok(Err(ReadFailure::Connection)) | Err(_) => return false,
        };
        // The sender may have left while this process was suspended.
        if !h1::is_idle(stream) {
            return false;
        }
        let Some(fetched) = self.fetch(connection, stream, &read).await else {
            return false;
        };
        let (reply, answer) = match fetched {
            Ok((reply, answer)) => (reply, Some(answer)),
            Err(reply) => (reply, None),
        };
        self.respond(connection, &read.call.request, &reply, answer)
            .await
    }

    /// Reads a request to its end, also one that is refused: a connection that closes with
    /// unread bytes is reset, and the refusal would be lost on the way.
    async fn read_call(
        &self,
        connection: &mut Connection<TcpStream>,
        received_at: Moment,
    ) -> Result<ReadCall, ReadFailure> {
        let client_limits = self.dispatch.view.load().limits();
        let limits = HeadLimits {
            max_bytes: client_limits.head_bytes.max(MIN_HEAD_BYTES) + RELAY_HEAD_BYTES,
            max_headers: HeadLimits::default().max_headers + RELAY_HEADERS,
        };
        let Ok(Some(mut head)) = connection.read_request(&limits).await else {
            return Err(ReadFailure::Connection);
        };
        let Some((program, id)) = RelayCall::envelope(&head.headers) else {
            return Err(ReadFailure::Connection);
        };
        let mut body = self.memory.empty_body();
        let checked = self.check(program, &head, &mut body);
        let (call, entry) = match checked {
            Ok(checked) => checked,
            Err(refusal) => {
                skip_body(connection, head.body).await?;
                return Err(ReadFailure::Refused(id, refusal));
            }
        };
        match body.read_from(connection, head.body, u64::MAX).await {
            Ok(()) => {}
            // Only a body without a length can grow beyond the memory that was reserved.
            Err(BodyError::NoMemory | BodyError::TooLarge | BodyError::Connection(_)) => {
                return Err(ReadFailure::Connection);
            }
        }
        head.headers.remove_where(is_relay_header);
        Ok(ReadCall {
            deadline: received_at + call.time_left,
            call,
            entry,
            head,
            body,
        })
    }

    /// Checks whether a request may be forwarded, and reserves the memory for its body.
    fn check(
        &self,
        program: u32,
        head: &RequestHead,
        body: &mut HeldBody,
    ) -> Result<(RelayCall, UpstreamEntry), RelayRefusal> {
        if program != self.program {
            return Err(RelayRefusal::OtherProgram);
        }
        let Ok(call) = RelayCall::try_from(&head.headers) else {
            return Err(RelayRefusal::Invalid);
        };
        self.admission.check()?;
        let view = self.dispatch.view.load();
        let known = view.upstreams.get(&call.upstream);
        let known = known.filter(|known| known.entry.started_at_ms == call.run);
        let known = known.ok_or(RelayRefusal::WrongRun)?;
        let cold = &self.dispatch.cold;
        if cold.cold_limit(self.dispatch.clock.now(), known).is_some() {
            return Err(RelayRefusal::Cold);
        }
        let entry = known.entry.clone();
        // The rest is left for the answers to this host's own clients.
        if self.dispatch.exchanger.memory.is_half_full() {
            return Err(RelayRefusal::Full);
        }
        match head.body {
            BodyLength::Fixed(0) => {}
            BodyLength::Fixed(bytes) => {
                let reserved = body.reserve(bytes);
                reserved.map_err(|_no_memory| RelayRefusal::Full)?;
            }
            // Hosts send bodies with their length.
            BodyLength::Chunked | BodyLength::UntilClose => return Err(RelayRefusal::Invalid),
        }
        Ok((call, entry))
    }

    /// Exchanges a request with its upstream; `None` if the sender leaves meanwhile.
    async fn fetch(
        &self,
        connection: &mut Connection<TcpStream>,
        stream: &TcpStream,
        read: &ReadCall,
    ) -> Option<Result<(RelayReply, UpstreamAnswer), RelayReply>> {
        let ReadCall {
            call,
            entry,
            head,
            body,
            deadline,
        } = read;
        let request = OutgoingRequest {
            id: &call.request,
            method: &head.method,
            target: &head.target,
            headers: &head.headers,
            body,
            deadline: *deadline,
            is_idempotent: call.is_repeatable,
            is_relayed: true,
        };
        let max_idle = self.dispatch.max_requests(&entry.service);
        let client = self.dispatch.relay.as_ref()?;
        let max_idle = client.max_idle(&entry.id, max_idle);
        let mut permit = SendPermit::for_other_host(&self.dispatch.cold, entry);
        let fetched = {
            let fetching =
                pin!(
                    self.dispatch
                        .exchanger
                        .fetch(entry, &request, false, max_idle, &mut permit)
                );
            let leaving = pin!(wait_for_close(stream.clone()));
            let mut working = select(fetching, leaving);
            loop {
                match timeout(SIGN_OF_LIFE_INTERVAL, &mut working).await {
                    Ok(Either::Left((fetched, _))) => break fetched,
                    Ok(Either::Right(_)) => {
                        debug!(target: "relay", "request={} state=sender_left", call.request);
                        return None;
                    }
                    Err(_elapsed) => connection.write(SIGN_OF_LIFE).await.ok()?,
                }
            }
        };
        let answer = match fetched {
            Ok(answer) => answer,
            Err(failure) => return Some(Err(relay_failure(failure, &permit))),
        };
        let keep_alive = answer.headers.get("keep-alive").map(str::to_owned);
        Some(Ok((RelayReply::Answered { keep_alive }, answer)))
    }

    /// Writes a response; returns whether the connection may be used again.
    async fn respond(
        &self,
        connection: &mut Connection<TcpStream>,
        id: &RequestId,
        reply: &RelayReply,
        answer: Option<UpstreamAnswer>,
    ) -> bool {
        let verdict = reply.verdict().as_str();
        debug!(target: "relay", "request={id} reply={reply:?} verdict={verdict}");
        let relayed = &self.dispatch.metrics.relayed_for_others;
        relayed.with_label_values(&[verdict]).inc();
        let keeps_alive = !self.admission.is_stopping();
        let mut headers = reply.headers(id);
        let (mut bytes, body) = if let Some(mut answer) = answer {
            answer.headers.remove_where(is_relay_header);
            for (name, value) in headers.iter() {
                answer.headers.push(name, value);
            }
            (encode_answer_head(&answer, keeps_alive), answer.body)
        } else {
            headers.push("content-length", "0");
            if !keeps_alive {
                headers.push("connection", "close");
            }
            let head = encode_response_head(failure_status(reply), &headers);
            (head, self.memory.empty_body())
        };
        let blocks = body.blocks_behind(&mut bytes);
        let writing = async {
            connection.write(&bytes).await?;
            for block in blocks {
                connection.write(block).await?;
            }
            h1::Result::Ok(())
        };
        matches!(timeout(TRANSFER_TIMEOUT, writing).await, Ok(Ok(()))) && keeps_alive
    }
}

/// Returns the reply for an exchange that brought no answer.
fn relay_failure(failure: ExchangeFailure, permit: &SendPermit<'_>) -> RelayReply {
    let ExchangeFailure { cause, outcome } = failure;
    match outcome {
        // The upstream became cold after the request was admitted.
        RequestOutcome::Withheld => RelayReply::Refused(RelayRefusal::Cold),
        RequestOutcome::Unreachable if permit.is_refusal_relevant() => {
            RelayReply::Refused(RelayRefusal::ConnectionRefused)
        }
        _ => RelayReply::Failed { cause, outcome },
    }
}

/// Returns the status of a response without an answer; the sender goes by its headers.
fn failure_status(reply: &RelayReply) -> u16 {
    match reply {
        RelayReply::Failed { cause, .. } => cause.status(),
        RelayReply::Answered { .. } | RelayReply::Refused(_) => 503,
    }
}

/// Reads a body to its end and keeps none of it.
async fn skip_body(
    connection: &mut Connection<TcpStream>,
    length: BodyLength,
) -> Result<(), ReadFailure> {
    let mut reader = BodyReader::new(length);
    loop {
        match reader.next(connection).await {
            Ok(Some(_part)) => {}
            Ok(None) => return Ok(()),
            Err(_failed) => return Err(ReadFailure::Connection),
        }
    }
}
