//! A JSON client over `async-h1` with kept connections and a time limit.

use async_std::net::TcpStream;
use http_types::{Body, Method, Request, Url};
use parking_lot::Mutex;
use serde::de::DeserializeOwned;
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

const MAX_IDLE_CONNECTIONS: usize = 8;
const CONNECT_LIMIT: Duration = Duration::from_millis(400);

/// A request that got no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClientError {
    /// No connection could be made, so nothing was sent.
    NotSent(String),
    /// The request may have arrived.
    NoAnswer(String),
}

impl fmt::Display for ClientError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(why) => write!(f, "not sent: {why}"),
            Self::NoAnswer(why) => write!(f, "no answer: {why}"),
        }
    }
}

impl std::error::Error for ClientError {}

/// An answer with its body read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JsonReply {
    /// Status code.
    pub status: u16,
    /// The body.
    pub body: Vec<u8>,
}

impl JsonReply {
    /// Returns whether the status code is one of success.
    pub const fn is_success(&self) -> bool {
        self.status >= 200 && self.status < 300
    }

    /// Parses the body.
    ///
    /// # Errors
    ///
    /// Fails when the body is not JSON of the wanted shape.
    pub fn parse<T: DeserializeOwned>(&self) -> serde_json::Result<T> {
        serde_json::from_slice(&self.body)
    }
}

/// A client of one HTTP server.
#[derive(Clone, Debug)]
pub struct JsonClient {
    inner: Arc<ClientState>,
    prefix: &'static str,
}

#[derive(Debug)]
struct ClientState {
    address: String,
    limit: Duration,
    /// A header line sent with every request.
    line: Option<(&'static str, String)>,
    idle: Mutex<Vec<TcpStream>>,
}

impl JsonClient {
    /// Builds a client of `address` (`ip:port`) with a time limit per request.
    pub fn new(address: &str, limit: Duration) -> Self {
        Self::build(address, limit, None)
    }

    /// Builds a client that sends a bearer token.
    pub fn with_bearer(address: &str, limit: Duration, token: &str) -> Self {
        Self::with_header(address, limit, "authorization", format!("Bearer {token}"))
    }

    /// Builds a client that sends a header line with every request.
    pub fn with_header(address: &str, limit: Duration, name: &'static str, value: String) -> Self {
        Self::build(address, limit, Some((name, value)))
    }

    fn build(address: &str, limit: Duration, line: Option<(&'static str, String)>) -> Self {
        Self {
            prefix: "/",
            inner: Arc::new(ClientState {
                address: address.to_owned(),
                limit,
                line,
                idle: Mutex::new(Vec::new()),
            }),
        }
    }

    /// Puts `prefix`, which ends with a slash, before the path of every request.
    pub fn with_path_prefix(mut self, prefix: &'static str) -> Self {
        self.prefix = prefix;
        self
    }

    /// Returns the server's address.
    pub fn address(&self) -> &str {
        &self.inner.address
    }

    /// Sends a request and reads the whole answer.
    ///
    /// # Errors
    ///
    /// Fails when no answer came within the limit.
    pub async fn send(
        &self,
        method: Method,
        path: &str,
        body: &[u8],
    ) -> Result<JsonReply, ClientError> {
        let exchange = self.exchange(method, path, body);
        match async_std::future::timeout(self.inner.limit, exchange).await {
            Ok(result) => result,
            Err(_elapsed) => Err(ClientError::NoAnswer(format!(
                "no answer within {:?}",
                self.inner.limit
            ))),
        }
    }

    async fn exchange(
        &self,
        method: Method,
        path: &str,
        body: &[u8],
    ) -> Result<JsonReply, ClientError> {
        // A kept connection may have been closed by the server meanwhile. Only
        // a request that is safe to repeat is sent on one.
        let is_safe = method == Method::Get;
        let kept = self.take_idle().filter(|stream| is_safe || is_open(stream));
        if let Some(stream) = kept {
            let reply = self.exchange_on(&stream, method, path, body).await;
            if reply.is_ok() || !is_safe {
                return reply;
            }
        }
        let stream = self.connect().await?;
        self.exchange_on(&stream, method, path, body).await
    }

    async fn connect(&self) -> Result<TcpStream, ClientError> {
        let connecting = TcpStream::connect(self.inner.address.as_str());
        let limit = CONNECT_LIMIT.min(self.inner.limit);
        let stream = match async_std::future::timeout(limit, connecting).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => return Err(ClientError::NotSent(error.to_string())),
            Err(_elapsed) => return Err(ClientError::NotSent("connect timed out".to_owned())),
        };
        // Without this option small messages wait for acknowledgements.
        if let Err(error) = stream.set_nodelay(true) {
            return Err(ClientError::NotSent(error.to_string()));
        }
        Ok(stream)
    }

    async fn exchange_on(
        &self,
        stream: &TcpStream,
        method: Method,
        path: &str,
        body: &[u8],
    ) -> Result<JsonReply, ClientError> {
        let lost = |error: http_types::Error| ClientError::NoAnswer(error.to_string());
        let path = path.strip_prefix('/').unwrap_or(path);
        let url = format!("http://{}{}{path}", self.inner.address, self.prefix);
        let url = Url::parse(&url).map_err(|error| ClientError::NotSent(error.to_string()))?;
        let mut request = Request::new(method, url);
        if let Some((name, value)) = &self.inner.line {
            request.insert_header(*name, value.as_str());
        }
        request.set_body(Body::from_bytes(body.to_vec()));
        let mut response = async_h1::connect(stream.clone(), request)
            .await
            .map_err(lost)?;
        let length = response.len();
        let body = response.body_bytes().await.map_err(lost)?;
        if length.is_some_and(|length| length != body.len()) {
            return Err(ClientError::NoAnswer("answer cut short".to_owned()));
        }
        self.keep(stream);
        Ok(JsonReply {
            status: response.status().into(),
            body,
        })
    }

    fn take_idle(&self) -> Option<TcpStream> {
        self.inner.idle.lock().pop()
    }

    fn keep(&self, stream: &TcpStream) {
        let mut idle = self.inner.idle.lock();
        if idle.len() < MAX_IDLE_CONNECTIONS {
            idle.push(stream.clone());
        }
    }
}

/// Returns whether a kept connection shows no sign of having been closed.
fn is_open(stream: &TcpStream) -> bool {
    use futures::FutureExt;
    let mut byte = [0_u8; 1];
    // A pending read means that the peer has neither closed nor sent anything.
    stream.peek(&mut byte).now_or_never().is_none()
}
