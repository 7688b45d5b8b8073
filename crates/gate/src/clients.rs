//! The caller's connection.
//!
//! The accept loop is the project's own: it reads each request whole, checks
//! its framing, notices callers that go away, and never lets an answer cut
//! short look whole. Between reading and writing, `tide` runs the handler.

use crate::answer::{Answer, AnswerBody, is_hop_header, is_internal_header};
use crate::ingress::{ClientReply, ClientRequest, Ingress};
use crate::peers::{AnswerParts, until_gone, write_answer};
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

/// Bytes of a refused request's body that are read to keep the connection.
const DISCARD_LIMIT: u64 = 64 << 10;

/// Serves callers.
#[derive(Clone, Debug)]
pub struct ClientServer {
    app: tide::Server<Ingress>,
    ingress: Ingress,
    scope: TaskScope,
    connections: Arc<AtomicU32>,
}

/// Carries a reply through `tide`, whose extensions must be `Sync`.
struct ReplyBox(Mutex<Option<ClientReply>>);

impl ClientServer {
    /// Builds a server whose tasks run in `scope`.
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

    /// Accepts connections until the listener fails or the scope is closed.
    pub async fn accept(self, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            let most = self.ingress.limits().max_connections;
            let is_full = self.connections.load(Ordering::Relaxed) >= most;
            if is_full || stream.set_nodelay(true).is_err() {
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

    /// Serves one connection; returns once it is closed or out of step.
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
            let is_whole = self
                .write(&mut connection, reply, has_body, keeps_alive)
                .await;
            if !is_whole {
                self.ingress.metrics().broken.inc();
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
            bytes: limits.max_head_bytes as usize,
            ..HeadLimits::default()
        };
        let limit = Duration::from_millis(limits.idle_ms.max(limits.head_ms));
        let error = match timeout(limit, connection.read_request(&head_limits)).await {
            Ok(Ok(head)) => return head,
            Ok(Err(error)) => error,
            Err(_elapsed) => return None,
        };
        self.ingress.metrics().malformed.inc();
        if let Some(status) = error.status() {
            let parts = plain_refusal(status, &error.to_string());
            write_answer(connection, parts).await;
        }
        None
    }

    /// Reads the whole body, so that half of one is never taken for a request.
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
            Err(cause) => return Err(skip_body(connection, head, cause).await),
        };
        if matches!(head.body, BodyLength::Fixed(length) if length > limit) {
            return Err(BodyFailure::RefuseAndClose(Cause::BodyTooLarge));
        }
        let expects_word = head
            .headers
            .get("expect")
            .is_some_and(|value| value.eq_ignore_ascii_case("100-continue"));
        if expects_word
            && connection
                .write(b"HTTP/1.1 100 Continue\r\n\r\n")
                .await
                .is_err()
        {
            return Err(BodyFailure::Close);
        }
        let span = Duration::from_millis(self.ingress.limits().body_ms);
        match timeout(span, connection.read_whole_body(head.body, limit)).await {
            Ok(Ok(body)) => Ok(body),
            Ok(Err(h1::Error::BodyTooLarge)) => {
                Err(BodyFailure::RefuseAndClose(Cause::BodyTooLarge))
            }
            Ok(Err(h1::Error::Malformed(_))) => {
                self.ingress.metrics().malformed.inc();
                Err(BodyFailure::RefuseAndClose(Cause::BadRequest))
            }
            // The caller may have closed its sending side only.
            Ok(Err(_)) | Err(_) => Err(BodyFailure::RefuseAndClose(Cause::BodyIncomplete)),
        }
    }

    /// Runs the handler; `None` when the caller has gone.
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
        let watched = connection.stream().clone();
        let responding = self.app.respond::<Request, Response>(request);
        let mut response = until_gone(&watched, responding).await?.ok()?;
        let http: &mut http_types::Response = response.as_mut();
        let reply = http.ext_mut().remove::<ReplyBox>()?;
        reply.0.into_inner()
    }

    /// Writes a reply; `false` when the connection is out of step.
    async fn write(
        &self,
        connection: &mut Connection<TcpStream>,
        reply: ClientReply,
        has_body: bool,
        keeps_alive: bool,
    ) -> bool {
        let (status, mut headers, body) = match reply.outcome {
            Ok(answer) => answer_lines(answer),
            Err(refusal) => refusal_lines(refusal),
        };
        headers.push("x-request-id", reply.request_id);
        if !keeps_alive {
            headers.push("connection", "close");
        }
        let parts = AnswerParts {
            status,
            headers,
            body,
            has_body,
            stall: Duration::from_millis(self.ingress.limits().stall_ms),
        };
        let is_whole = write_answer(connection, parts).await;
        drop(reply.in_flight);
        is_whole
    }
}

/// Why a body was not read.
enum BodyFailure {
    /// Refused; the connection is still in step.
    Refuse(Cause),
    /// Refused; the rest of the body may still come.
    RefuseAndClose(Cause),
    /// Nobody to tell.
    Close,
}

/// Reads a small body away, so that the connection can be used again.
async fn skip_body(
    connection: &mut Connection<TcpStream>,
    head: &RequestHead,
    cause: Cause,
) -> BodyFailure {
    const SKIP_LIMIT: Duration = Duration::from_millis(500);
    let reading = connection.read_whole_body(head.body, DISCARD_LIMIT);
    match timeout(SKIP_LIMIT, reading).await {
        Ok(Ok(_)) => BodyFailure::Refuse(cause),
        Ok(Err(_)) | Err(_) => BodyFailure::RefuseAndClose(cause),
    }
}

async fn handle(mut request: tide::Request<Ingress>) -> tide::Result {
    let http: &mut Request = request.as_mut();
    let Some(caller) = http.ext_mut().remove::<ClientRequest>() else {
        return Ok(Response::new(500));
    };
    let reply = request.state().handle(caller).await;
    let mut response = Response::new(200);
    response.insert_ext(ReplyBox(Mutex::new(Some(reply))));
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

fn answer_lines(answer: Answer) -> (u16, HeaderList, AnswerBody) {
    let mut headers = answer.headers;
    headers.remove_where(|name| is_hop_header(name) || is_internal_header(name));
    headers.push("x-verdict", Verdict::Ran.as_str());
    (answer.status, headers, answer.body)
}

fn refusal_lines(refusal: Refusal) -> (u16, HeaderList, AnswerBody) {
    let mut headers = HeaderList::new();
    headers.push("content-type", "application/json");
    headers.push("x-verdict", refusal.verdict().as_str());
    headers.push("x-cause", refusal.cause.as_str());
    let mut retry_ms = None;
    if refusal.cause.status() == 503 {
        let wait = refusal.retry_after.unwrap_or(Duration::from_millis(200));
        // The header counts in whole seconds; the body tells the rest.
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

fn plain_refusal(status: u16, message: &str) -> AnswerParts {
    let mut headers = HeaderList::new();
    headers.push("content-type", "text/plain");
    headers.push("x-verdict", Verdict::NotRun.as_str());
    headers.push("x-cause", Cause::BadRequest.as_str());
    headers.push("connection", "close");
    AnswerParts {
        status,
        headers,
        body: AnswerBody::Whole(format!("{message}\n").into_bytes()),
        has_body: true,
        stall: Duration::from_secs(2),
    }
}
