//! Clients that keep connections open and record the outcome of each request.

use crate::fleet::{Fleet, HostProcess, is_ready};
use async_std::future::timeout;
use async_std::net::TcpStream;
use async_std::task::{self, JoinHandle};
use h1::{Connection, HeadLimits};
use parking_lot::Mutex;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// Maximum time that a client waits for a response; twice the deadline that it sends.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(3);
/// Number of clients of each host.
const CLIENTS_PER_HOST: u64 = 3;

/// Kind of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// Idempotent request for a key.
    Chart(u16),
    /// Idempotent request without a key.
    Read,
    /// Non-idempotent request without a key.
    Order,
}

/// Outcome of a request as its client observed it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// Status code, and whether a response with status 200 is complete and carries the
    /// request's id; true for other status codes.
    Answered(u16, bool),
    /// The connection was closed before the response was complete.
    ConnectionLost,
    /// No complete response arrived in time.
    TimedOut,
}

/// A request and its outcome.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    pub id: String,
    pub kind: RequestKind,
    pub host_index: usize,
    /// Whether the request was the first on its connection.
    pub is_first: bool,
    pub outcome: RequestOutcome,
}

/// All clients of a run.
pub struct ClientGroup {
    is_stopped: Arc<AtomicBool>,
    tasks: Vec<JoinHandle<Vec<RequestRecord>>>,
}

impl ClientGroup {
    /// Stops all clients after their current request and returns their records.
    pub async fn stop(self) -> Vec<RequestRecord> {
        self.is_stopped.store(true, Ordering::SeqCst);
        futures::future::join_all(self.tasks).await.concat()
    }
}

/// Starts the clients of all hosts.
pub fn start(fleet: &Fleet) -> ClientGroup {
    let is_stopped = Arc::new(AtomicBool::new(false));
    let mut tasks = Vec::new();
    for (host_index, host) in fleet.hosts.iter().enumerate() {
        for number in 0..CLIENTS_PER_HOST {
            let ip = host.ip.clone();
            let name = format!("{host_index}-{number}");
            let is_stopped = Arc::clone(&is_stopped);
            let rng = fastrand::Rng::with_seed(host_index as u64 * CLIENTS_PER_HOST + number);
            tasks.push(task::spawn(run(ip, host_index, name, rng, is_stopped)));
        }
    }
    ClientGroup { is_stopped, tasks }
}

/// Returns the address at which a host accepts client requests.
pub fn address_of(host: &HostProcess) -> String {
    format!("{}:8381", host.ip)
}

async fn run(
    ip: String,
    host_index: usize,
    name: String,
    mut rng: fastrand::Rng,
    is_stopped: Arc<AtomicBool>,
) -> Vec<RequestRecord> {
    let address = format!("{ip}:8381");
    let mut records = Vec::new();
    let mut idle_connection: Option<Connection<TcpStream>> = None;
    while !is_stopped.load(Ordering::SeqCst) {
        task::sleep(Duration::from_millis(rng.u64(10..50))).await;
        let kind = match rng.u32(..10) {
            0..5 => RequestKind::Chart(rng.u16(..)),
            5..8 => RequestKind::Read,
            _ => RequestKind::Order,
        };
        let is_first = idle_connection.is_none();
        let Some(mut connection) = (match idle_connection.take() {
            Some(connection) => Some(connection),
            // A load balancer opens no new connections to a host that is not ready.
            None if is_ready(&ip).await => connect(&address).await,
            None => None,
        }) else {
            continue;
        };
        let id = format!("{name}-{}", records.len());
        let (outcome, is_reusable) = send_request(&mut connection, kind, &id).await;
        if is_reusable {
            idle_connection = Some(connection);
        }
        records.push(RequestRecord {
            id,
            kind,
            host_index,
            is_first,
            outcome,
        });
    }
    records
}

/// Connects to a host; `None` if it does not accept connections.
pub async fn connect(address: &str) -> Option<Connection<TcpStream>> {
    let connecting = timeout(Duration::from_secs(1), TcpStream::connect(address));
    Some(Connection::new(connecting.await.ok()?.ok()?))
}

/// Sends a request; returns the outcome and whether the connection is reusable.
pub async fn send_request(
    connection: &mut Connection<TcpStream>,
    kind: RequestKind,
    id: &str,
) -> (RequestOutcome, bool) {
    let (line, key) = match kind {
        RequestKind::Chart(key) => ("GET /chart/x", format!("Shard-Key: {key}\r\n")),
        RequestKind::Read => ("GET /read/x", String::new()),
        RequestKind::Order => ("POST /order/x", String::new()),
    };
    let request = format!(
        "{line} HTTP/1.1\r\nHost: a.example\r\nRequest-Id: {id}\r\nDeadline-Ms: 1500\r\n{key}\
         Content-Length: 0\r\n\r\n"
    );
    let exchange = async {
        connection.write(request.as_bytes()).await?;
        let head = connection
            .read_response(&HeadLimits::default(), "GET")
            .await?;
        let body = connection.read_whole_body(head.body, 1 << 20).await?;
        h1::Result::Ok((head, body))
    };
    match timeout(RESPONSE_TIMEOUT, exchange).await {
        Ok(Ok((head, body))) => {
            let has_own_id = head.headers.get("request-id") == Some(id);
            let is_complete = head.status != 200 || (has_own_id && body == b"whole");
            (
                RequestOutcome::Answered(head.status, is_complete),
                head.keeps_alive,
            )
        }
        Ok(Err(_closed)) => (RequestOutcome::ConnectionLost, false),
        Err(_elapsed) => (RequestOutcome::TimedOut, false),
    }
}

/// A background task that collects findings until it is stopped.
pub struct WatchTask<T> {
    pub is_stopped: Arc<AtomicBool>,
    pub findings: Arc<Mutex<Vec<T>>>,
    pub task: JoinHandle<()>,
}

impl<T> WatchTask<T> {
    /// Stops the task and returns its findings.
    pub async fn stop(self) -> Vec<T> {
        self.is_stopped.store(true, Ordering::SeqCst);
        self.task.await;
        std::mem::take(&mut self.findings.lock())
    }
}
