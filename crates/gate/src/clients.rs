//! The server for clients.
//!
//! Instead of the listener of `tide`, the accept loop here reads each request whole,
//! checks its framing, detects clients that disconnect, and never lets a truncated
//! answer look complete. Between reading and writing, `tide` runs the handler.

use crate::answer::{Answer, AnswerBody, is_hop_by_hop_header, is_internal_header};
use crate::ingress::{ClientReply, ClientRequest, Ingress};
use crate::peers::{AnswerMessage, abort_on_close, write_answer};
use async_std::future::timeout;
use async_std::net::{TcpListener, TcpStream};
use h1::{BodyLength, Connection, HeadLimits, HeaderList, RequestHead};
use http_types::{Method, Request, Url};
use kernel::{Cause, Refusal, TaskScope, Verdict};
use parking_lot::Mutex;
use std::str::FromStr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;
use tide::Response;

/// Maximum size of a refused request's body that is discarded so that the connection
/// can be kept, in bytes.
const MAX_DISCARDED_BYTES: u64 = 64 << 10;

/// Serves the connections of clients.
#[derive(Clone, Debug)]
pub struct ClientServer {
    app: tide::Server<Ingress>,
    ingress: Ingress,
    scope: TaskScope,
    connections: Arc<AtomicU32>,
}

/// Passes a reply through `tide`, whose response extensions must be `Sync`.
struct ReplyExtension(Mutex<Option<ClientReply>>);

impl ClientServer {
    /// Creates a server whose tasks run in `scope`.
    pub fn new(ingress: Ingress, scope: TaskScope) -> Self {
        let mut app = tide::with_state(ingress.clone());
        app.at("/").all(handle);
        app.at("/*").all(handle);
        Self {
            app,
            ingress,
            scope,
            connections: Arc::new(AtomicU32::new(0)),
        }
    }

    /// Accepts connections until the scope is closed.
    pub async fn accept(self, listener: TcpListener) {
        loop {
            let stream = h1::accept(&listener, "clients").await;
            let max_connections = self.ingress.limits().max_connections;
            if self.connections.load(Ordering::Relaxed) >= max_connections {
                continue;
            }
            let server = self.clone();
            self.scope.spawn(async move {
                server.connections.fetch_add(1, Ordering::Relaxed);
                server.ingress.metrics().connections.inc();
                server.serve(stream).await;
                server.ingress.metrics().connections.dec();
                server.connections.fetch_sub(1, Ordering::Relaxed);
            });
        }
    }

    /// Serves one connection; returns when it is closed or out of sync.
    async fn serve(&self, stream: TcpStream) {
        let mut connection = Connection::new(stream);
        loop {
            let Some(head) = self.read_head(&mut connection).await else {
                return;
            };
            let keeps_alive = head.keeps_alive;
            let has_body = head.method != "HEAD";
            let reply = match self.read_body(&mut connection, &head).await {
                Ok(body) => match self.respond(&connection, head, body).await {
                    Some(reply) => reply,
                    None => return,
                },
                Err(BodyFailure::Refuse(cause)) => refuse(&head, cause),
                Err(BodyFailure::RefuseAndClose(cause)) => {
                    let reply = refuse(&head, cause);
                    self.write(&mut connection, reply, has_body, false).await;
                    return;
                }
                Err(BodyFailure::Close) => return,
            };
            let keeps_alive = keeps_alive && !self.ingress.is_stopping();
            let is_complete = self
                .write(&mut connection, reply, has_body, keeps_alive)
                .await;
            if !is_complete {
                self.ingress.metrics().truncated.inc();
                return;
            }
            if !keeps_alive {
                return;
            }
        }
    }

    async fn read_head(&self, connection: &mut Connection<TcpStream>) -> Option<RequestHead> {
        let limits = self.ingress.limits();
        let head_limits = HeadLimits {
            max_bytes: limits.max_head_bytes as usize,
            ..HeadLimits::default()
        };
        let head_timeout = Duration::from_millis(limits.idle_ms.max(limits.head_ms));
        let error = match timeout(head_timeout, connection.read_request(&head_limits)).await {
            Ok(Ok(head)) => return head,
            Ok(Err(error)) => error,
            Err(_elapsed) => return None,
        };
        self.ingress.metrics().malformed.inc();
        if let Some(status) = error.status() {
            let message = plain_text_refusal(status, &error.to_string());
            write_answer(connection, message).await;
        }
        None
    }

    /// Reads the whole body, so that a truncated request is never run.
    async fn read_body(
        &self,
        connection: &mut Connection<TcpStream>,
        head: &RequestHead,
    ) -> Result<Vec<u8>, BodyFailure> {
        if head.body == BodyLength::Fixed(0) {
            return Ok(Vec::new());
        }
        let limit = match self.ingress.body_limit(head) {
            Ok(limit) => limit,
            Err(cause) => return Err(discard_body(connection, head, cause).await),
        };
        if matches!(head.body, BodyLength::Fixed(length) if length > limit) {
            return Err(BodyFailure::RefuseAndClose(Cause::BodyTooLarge));
        }
        let expects_continue = head
            .headers
            .get("expect")
            .is_some_and(|value| value.eq_ignore_ascii_case("100-continue"));
        if expects_continue
            && connection
                .write(b"HTTP/1.1 100 Continue\r\n\r\n")
                .await
                .is_err()
        {
            return Err(BodyFailure::Close);
        }
        let body_timeout = Duration::from_millis(self.ingress.limits().body_ms);
        match timeout(body_timeout, connection.read_whole_body(head.body, limit)).await {
            Ok(Ok(body)) => Ok(body),
            Ok(Err(h1::Error::BodyTooLarge)) => {
                Err(BodyFailure::RefuseAndClose(Cause::BodyTooLarge))
            }
            Ok(Err(h1::Error::Malformed(_))) => {
                self.ingress.metrics().malformed.inc();
                Err(BodyFailure::RefuseAndClose(Cause::BadRequest))
            }
            // The client may have closed only its sending side and still read.
            Ok(Err(_)) | Err(_) => Err(BodyFailure::RefuseAndClose(Cause::BodyIncomplete)),
        }
    }

    /// Runs the handler; returns `None` if the client has disconnected.
    async fn respond(
        &self,
        connection: &Connection<TcpStream>,
        head: RequestHead,
        body: Vec<u8>,
    ) -> Option<ClientReply> {
        let url = Url::parse(&format!("http://caller{}", head.target));
        let (Ok(url), Ok(method)) = (url, Method::from_str(&head.method)) else {
            return Some(refuse(&head, Cause::BadRequest));
        };
        let mut request = Request::new(method, url);
        let received_at = self.ingress.now();
        request.ext_mut().insert(ClientRequest {
            head,
            body,
            received_at,
        });
        let stream = connection.stream().clone();
        let responding = self.app.respond::<Request, Response>(request);
        let mut response = abort_on_close(&stream, responding).await?.ok()?;
        let http: &mut http_types::Response = response.as_mut();
        let reply = http.ext_mut().remove::<ReplyExtension>()?;
        reply.0.into_inner()
    }

    /// Writes a reply; returns `false` if the connection must not be used again.
    async fn write(
        &self,
        connection: &mut Connection<TcpStream>,
        reply: ClientReply,
        has_body: bool,
        keeps_alive: bool,
    ) -> bool {
        let (status, mut headers, body) = match reply.outcome {
            Ok(answer) => answer_parts(answer),
            Err(refusal) => refusal_parts(refusal),
        };
        headers.push("x-request-id", reply.request_id);
        if !keeps_alive {
            headers.push("connection", "close");
        }
        let message = AnswerMessage {
            status,
            headers,
            body,
            has_body,
            stall_timeout: Duration::from_millis(self.ingress.limits().stall_ms),
        };
        let is_complete = write_answer(connection, message).await;
        drop(reply.in_flight);
        is_complete
    }
}

/// Why the body of a request was not read.
enum BodyFailure {
    /// The request is refused; the connection is still in sync.
    Refuse(Cause),
    /// The request is refused; the rest of the body may still arrive.
    RefuseAndClose(Cause),
    /// The client has disconnected.
    Close,
}

/// Reads and discards a small body, so that the connection can be used again.
async fn discard_body(
    connection: &mut Connection<TcpStream>,
    head: &RequestHead,
    cause: Cause,
) -> BodyFailure {
    const DISCARD_TIMEOUT: Duration = Duration::from_millis(500);
    let reading = connection.read_whole_body(head.body, MAX_DISCARDED_BYTES);
    match timeout(DISCARD_TIMEOUT, reading).await {
        Ok(Ok(_)) => BodyFailure::Refuse(cause),
        Ok(Err(_)) | Err(_) => BodyFailure::RefuseAndClose(cause),
    }
}

async fn handle(mut request: tide::Request<Ingress>) -> tide::Result {
    let http: &mut Request = request.as_mut();
    let Some(client_request) = http.ext_mut().remove::<ClientRequest>() else {
        return Ok(Response::new(500));
    };
    let reply = request.state().handle(client_request).await;
    let mut response = Response::new(200);
    response.insert_ext(ReplyExtension(Mutex::new(Some(reply))));
    Ok(response)
}

fn refuse(head: &RequestHead, cause: Cause) -> ClientReply {
    ClientReply {
        request_id: head
            .headers
            .get("x-request-id")
            .unwrap_or("none")
            .to_owned(),
        outcome: Err(cause.into()),
        in_flight: None,
    }
}

fn answer_parts(answer: Answer) -> (u16, HeaderList, AnswerBody) {
    let mut headers = answer.headers;
    headers.remove_where(|name| is_hop_by_hop_header(name) || is_internal_header(name));
    headers.push("x-verdict", Verdict::Ran.as_str());
    (answer.status, headers, answer.body)
}

fn refusal_parts(refusal: Refusal) -> (u16, HeaderList, AnswerBody) {
    let mut headers = HeaderList::new();
    headers.push("content-type", "application/json");
    headers.push("x-verdict", refusal.verdict().as_str());
    headers.push("x-cause", refusal.cause.as_str());
    let mut retry_ms = None;
    if refusal.cause.status() == 503 {
        let wait = refusal.retry_after.unwrap_or(Duration::from_millis(200));
        // The header has whole seconds; the body has the exact milliseconds.
        headers.push("retry-after", wait.as_secs_f64().ceil().to_string());
        retry_ms = Some(wait.as_millis());
    }
    let body = match retry_ms {
        Some(millis) => format!(
            "{{\"verdict\":\"{}\",\"cause\":\"{}\",\"retry_after_ms\":{millis}}}\n",
            refusal.verdict(),
            refusal.cause
        ),
        None => format!(
            "{{\"verdict\":\"{}\",\"cause\":\"{}\"}}\n",
            refusal.verdict(),
            refusal.cause
        ),
    };
    (
        refusal.cause.status(),
        headers,
        AnswerBody::Whole(body.into_bytes()),
    )
}

fn plain_text_refusal(status: u16, message: &str) -> AnswerMessage {
    let mut headers = HeaderList::new();
    headers.push("content-type", "text/plain");
    headers.push("x-verdict", Verdict::NotRun.as_str());
    headers.push("x-cause", Cause::BadRequest.as_str());
    headers.push("connection", "close");
    AnswerMessage {
        status,
        headers,
        body: AnswerBody::Whole(format!("{message}\n").into_bytes()),
        has_body: true,
        stall_timeout: Duration::from_secs(2),
    }
}
