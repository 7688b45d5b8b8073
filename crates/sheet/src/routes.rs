//! Routes by host name and path prefix, as intended by the operators.

use indexmap::IndexMap;
use kernel::ServiceName;
use std::time::Duration;

/// Intended state of a deployment whose requests are routed by host and prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteSheet {
    /// Version; a greater one supersedes all smaller ones.
    pub version: u64,
    /// What a client may send, and how long it may take.
    pub limits: ClientLimits,
    /// Routes of each host name, in lower case.
    pub hosts: IndexMap<String, Vec<RouteRule>>,
    /// Services by name.
    pub services: IndexMap<ServiceName, ServiceTerms>,
}

/// What a client may send, and how long it may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientLimits {
    /// Largest request head, in bytes.
    pub head_bytes: usize,
    /// Largest request body, in bytes.
    pub body_bytes: u64,
    /// Longest time for a head to arrive.
    pub head_time: Duration,
    /// Longest time that a connection may stay without a request.
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

/// What may be repeated of a kind of work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkKind {
    /// May run more than once.
    Idempotent,
    /// May run once at most for each attempt of the client.
    NonIdempotent,
    /// May run more than once and has a large response.
    Download,
}

impl WorkKind {
    /// Returns whether the work may run more than once.
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
    /// Beginning of the paths that it covers; starts and ends with a slash.
    pub prefix: String,
    /// What may be repeated.
    pub kind: WorkKind,
    /// Urgency; 0 is the most urgent.
    pub rank: u32,
    /// Time within which a response has its full value.
    pub target_latency: Duration,
    /// Longest time that a request may be kept waiting.
    pub timeout: Duration,
    /// Most upstreams that one attempt of a client may be sent to.
    pub max_attempts: u32,
    /// Services that share its requests; never empty.
    pub parts: Vec<RoutePart>,
}

/// A service's share of a route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RoutePart {
    /// The service.
    pub service: ServiceName,
    /// Its share, relative to the other parts' weights.
    pub weight: u32,
}

/// What a sheet says of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceTerms {
    /// Whether its keys are divided among its upstreams.
    pub is_divided: bool,
    /// For how long keys are slow at an upstream that gets them without a
    /// handover.
    pub warm_time: Duration,
    /// Most connections that one upstream accepts from all hosts.
    pub max_connections: u32,
}
