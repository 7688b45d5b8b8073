//! A JSON client over `async-h1` with pooled connections and a timeout.

use async_std::net::TcpStream;
use http_types::{Body, Method, Request, Url};
use parking_lot::Mutex;
use serde::de::DeserializeOwned;
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

const MAX_IDLE_CONNECTIONS: usize = 8;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Why a request got no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClientError {
    /// Nothing was sent, for example because no connection could be established.
    NotSent(String),
    /// The request may have been sent and received.
    NoAnswer(String),
}

impl fmt::Display for ClientError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(reason) => write!(f, "not sent: {reason}"),
            Self::NoAnswer(reason) => write!(f, "no answer: {reason}"),
        }
    }
}

impl std::error::Error for ClientError {}

/// An answer with its whole body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JsonReply {
    /// HTTP status code.
    pub status: u16,
    /// The body.
    pub body: Vec<u8>,
}

impl JsonReply {
    /// Returns whether the status code is 2xx.
    pub const fn is_success(&self) -> bool {
        self.status >= 200 && self.status < 300
    }

    /// Parses the body.
    ///
    /// # Errors
    ///
    /// Fails when the body is not valid JSON or does not match `T`.
    pub fn parse<T: DeserializeOwned>(&self) -> serde_json::Result<T> {
        serde_json::from_slice(&self.body)
    }
}

/// A client for one HTTP server.
#[derive(Clone, Debug)]
pub struct JsonClient {
    inner: Arc<ClientState>,
    prefix: &'static str,
}

#[derive(Debug)]
struct ClientState {
    address: String,
    timeout: Duration,
    /// Header that is sent with every request.
    header: Option<(&'static str, String)>,
    idle: Mutex<Vec<TcpStream>>,
}

impl JsonClient {
    /// Creates a client for `address` (`ip:port`) with a timeout per request.
    pub fn new(address: &str, timeout: Duration) -> Self {
        Self::build(address, timeout, None)
    }

    /// Creates a client that sends a bearer token with every request.
    pub fn with_bearer(address: &str, timeout: Duration, token: &str) -> Self {
        Self::with_header(address, timeout, "authorization", format!("Bearer {token}"))
    }

    /// Creates a client that sends a header with every request.
    pub fn with_header(
        address: &str,
        timeout: Duration,
        name: &'static str,
        value: String,
    ) -> Self {
        Self::build(address, timeout, Some((name, value)))
    }

    fn build(address: &str, timeout: Duration, header: Option<(&'static str, String)>) -> Self {
        Self {
            prefix: "/",
            inner: Arc::new(ClientState {
                address: address.to_owned(),
                timeout,
                header,
                idle: Mutex::new(Vec::new()),
            }),
        }
    }

    /// Prepends `prefix`, which must end with a slash, to the path of every request.
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
    /// Fails when no complete answer is received within the timeout.
    pub async fn send(
        &self,
        method: Method,
        path: &str,
        body: &[u8],
    ) -> Result<JsonReply, ClientError> {
        let exchange = self.exchange(method, path, body);
        match async_std::future::timeout(self.inner.timeout, exchange).await {
            Ok(result) => result,
            Err(_elapsed) => Err(ClientError::NoAnswer(format!(
                "no answer within {:?}",
                self.inner.timeout
            ))),
        }
    }

    async fn exchange(
        &self,
        method: Method,
        path: &str,
        body: &[u8],
    ) -> Result<JsonReply, ClientError> {
        // The server may have closed an idle connection meanwhile. A request that is
        // not safe to repeat is sent on one only if the connection looks open.
        let is_safe = method == Method::Get;
        let idle = self.take_idle().filter(|stream| is_safe || is_open(stream));
        if let Some(stream) = idle {
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
        let timeout = CONNECT_TIMEOUT.min(self.inner.timeout);
        let stream = match async_std::future::timeout(timeout, connecting).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => return Err(ClientError::NotSent(error.to_string())),
            Err(_elapsed) => return Err(ClientError::NotSent("connect timed out".to_owned())),
        };
        // Without this option, small messages would wait for acknowledgements.
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
        let no_answer = |error: http_types::Error| ClientError::NoAnswer(error.to_string());
        let path = path.strip_prefix('/').unwrap_or(path);
        let url = format!("http://{}{}{path}", self.inner.address, self.prefix);
        let url = Url::parse(&url).map_err(|error| ClientError::NotSent(error.to_string()))?;
        let mut request = Request::new(method, url);
        if let Some((name, value)) = &self.inner.header {
            request.insert_header(*name, value.as_str());
        }
        request.set_body(Body::from_bytes(body.to_vec()));
        let mut response = async_h1::connect(stream.clone(), request)
            .await
            .map_err(no_answer)?;
        // The final answer is still to come, and the next request on this connection would
        // take it for its own.
        if response.status().is_informational() {
            return Err(ClientError::NoAnswer("interim answer".to_owned()));
        }
        let length = response.len();
        let body = response.body_bytes().await.map_err(no_answer)?;
        if length.is_some_and(|length| length != body.len()) {
            return Err(ClientError::NoAnswer("answer cut short".to_owned()));
        }
        self.return_idle(stream);
        Ok(JsonReply {
            status: response.status().into(),
            body,
        })
    }

    fn take_idle(&self) -> Option<TcpStream> {
        self.inner.idle.lock().pop()
    }

    fn return_idle(&self, stream: &TcpStream) {
        let mut idle = self.inner.idle.lock();
        if idle.len() < MAX_IDLE_CONNECTIONS {
            idle.push(stream.clone());
        }
    }
}

/// Returns whether an idle connection shows no sign of having been closed.
fn is_open(stream: &TcpStream) -> bool {
    use futures::FutureExt;
    let mut byte = [0_u8; 1];
    // A pending read means that the peer has neither closed nor sent anything.
    stream.peek(&mut byte).now_or_never().is_none()
}
