//! Desired configuration of routes by host name and path prefix.

use indexmap::IndexMap;
use kernel::ServiceName;
use std::time::Duration;

/// Desired configuration of a deployment that routes by host name and path prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteSheet {
    /// Version; a greater one supersedes all smaller ones.
    pub version: u64,
    /// Limits on clients' requests.
    pub limits: ClientLimits,
    /// Routes by host name; the names are in lower case.
    pub hosts: IndexMap<String, Vec<RouteRule>>,
    /// Services by name.
    pub services: IndexMap<ServiceName, RoutedService>,
}

/// Limits on the size and timing of clients' requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientLimits {
    /// Maximum size of a request head, in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: u64,
    /// Timeout for receiving a request head.
    pub head_time: Duration,
    /// Maximum time that a connection may stay without a request.
    pub idle_time: Duration,
}

impl Default for ClientLimits {
    fn default() -> Self {
        Self {
            head_bytes: 16 << 10,
            body_bytes: 1 << 20,
            head_time: Duration::from_secs(5),
            idle_time: Duration::from_secs(15),
        }
    }
}

/// Whether requests of a route may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// May run more than once.
    Idempotent,
    /// May run at most once for each attempt of the client.
    NonIdempotent,
    /// May run more than once and has a large response.
    Download,
}

impl RequestKind {
    /// Returns whether a request may run more than once.
    pub const fn is_idempotent(self) -> bool {
        !matches!(self, Self::NonIdempotent)
    }

    /// Returns the text used in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Idempotent => "idempotent",
            Self::NonIdempotent => "non-idempotent",
            Self::Download => "download",
        }
    }
}

/// One route.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteRule {
    /// Name, unique in the sheet.
    pub name: String,
    /// Prefix of the paths that the route matches; starts and ends with a slash.
    pub prefix: String,
    /// Whether its requests may run more than once.
    pub kind: RequestKind,
    /// Priority class; 0 is the most urgent.
    pub rank: u32,
    /// Latency up to which a response has its full value to the client.
    pub target_latency: Duration,
    /// Maximum time that a request may be kept waiting.
    pub timeout: Duration,
    /// Maximum number of upstreams that one attempt of a client may be sent to.
    pub max_attempts: u32,
    /// Services among which its requests are split; never empty.
    pub services: Vec<WeightedService>,
}

/// Share of a route's requests that go to one service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceName,
    /// Weight relative to the weights of the route's other services.
    pub weight: u32,
}

/// Configuration of a service that routes refer to.
#[derive(Clone, Debug, PartialEq)]
pub struct RoutedService {
    /// Whether each of its keys is owned by one of its upstreams.
    pub is_sharded: bool,
    /// Time for which requests for a key are slow at an upstream that got the key
    /// without a handover.
    pub warm_time: Duration,
    /// Maximum number of connections that one upstream accepts from all hosts.
    pub max_connections: u32,
    /// What a cold upstream tolerates, if that is limited.
    pub cold_start: Option<ColdStart>,
    /// Path at which an upstream tells how much longer it stays cold.
    pub health_path: Option<String>,
}

/// How upstreams of a service behave after a start during traffic.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdStart {
    /// Requests a second that a cold upstream tolerates.
    pub requests_per_second: f64,
    /// Time for which an upstream is cold.
    pub duration: Duration,
}
