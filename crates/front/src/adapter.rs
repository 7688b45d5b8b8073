//! Interface that an adapter to a platform implements.

use arc_swap::ArcSwap;
use fleet::UpstreamEntry;
use grant::GrantCall;
use kernel::{DomainName, NamedPlugin, UpstreamId, inventory};
use sheet::RouteSheet;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use store::RowStore;

/// Settings of one host, independent of the platform's format.
#[derive(Clone, Debug, PartialEq)]
pub struct FrontSettings {
    /// Name of the host, stable across restarts.
    pub name: String,
    /// Failure domain of the host.
    pub domain: DomainName,
    /// Address where clients connect.
    pub clients: SocketAddr,
    /// Address where the load balancer checks whether the host is ready.
    pub ready: SocketAddr,
    /// Address for reports from other hosts (UDP) and for metrics (TCP).
    pub internal: SocketAddr,
    /// Processor share of the host, in thousandths of a core.
    pub millicores: u32,
    /// Memory that the process may use, in megabytes.
    pub memory_mb: u32,
    /// Bandwidth of the host's network link, in Mbit/s.
    pub link_mbps: u32,
    /// Timeouts and limits that the deployment sets.
    pub bounds: FrontBounds,
}

/// Processor share, in thousandths of a core, that a leader needs for each Mbit/s of
/// its link. A leader with 130 thousandths and 50 Mbit/s is short of neither with 140
/// hosts.
const MILLICORES_PER_MBPS: f64 = 2.6;

/// Strength from which a host leads without waiting for a stronger one, in thousandths of
/// a core. Control of 300 upstreams takes about a tenth of it.
const MIN_LEADER_STRENGTH: u32 = 130;

/// Returns whether a host of this strength leads without waiting for a stronger one.
pub(crate) const fn is_strong(strength: u32) -> bool {
    strength >= MIN_LEADER_STRENGTH
}

impl FrontSettings {
    /// Returns the host's capacity to lead: its processor share in thousandths of a
    /// core, or less if its link is narrow.
    pub(crate) fn strength(&self) -> u32 {
        let link_limit = f64::from(self.link_mbps) * MILLICORES_PER_MBPS;
        self.millicores.min(link_limit as u32)
    }
}

/// Timeouts and limits that a deployment sets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FrontBounds {
    /// Time within which a leaving upstream must stop receiving new requests.
    pub drain: Duration,
    /// Time from a stop signal until the process is killed.
    pub stop: Duration,
    /// Maximum duration of a grant that an upstream accepts.
    pub longest_hold: Duration,
    /// Retries that all hosts together may send, as a fraction of first attempts.
    pub retry_ratio: f64,
    /// Additional retries that all hosts together may send in each window.
    pub retry_extra: f64,
    /// Time within which an evacuated failure domain must stop receiving requests;
    /// orders to evacuate have no effect without it.
    pub evacuate: Option<Duration>,
    /// Factor by which requests to a cold upstream may exceed the rate that it
    /// tolerates; without it, and without the next one, there is no limit.
    pub cold_over: Option<f64>,
    /// Number of requests to a cold upstream beyond that in any one second.
    pub cold_slack: Option<f64>,
}

/// The bounds in force, which a reload replaces.
pub(crate) type SharedBounds = Arc<ArcSwap<FrontBounds>>;

impl Default for FrontBounds {
    fn default() -> Self {
        Self {
            drain: Duration::from_secs(2),
            stop: Duration::from_secs(6),
            longest_hold: Duration::from_secs(10),
            retry_ratio: 0.2,
            retry_extra: 100.0,
            evacuate: None,
            cold_over: None,
            cold_slack: None,
        }
    }
}

/// Names of the headers that clients and upstreams use, in lower case.
#[derive(Clone, Copy, Debug)]
pub struct HeaderNames {
    /// Id of a client's attempt, echoed by the upstream.
    pub request_id: &'static str,
    /// Time left until the client's deadline, in milliseconds.
    pub time_left: &'static str,
    /// Marks an answer as produced by an upstream itself.
    pub stamp: &'static str,
    /// Id of the only upstream that may run the request.
    pub target_upstream: &'static str,
    /// Id of the upstream that answered.
    pub upstream: &'static str,
    /// Load of the answering upstream: running requests, waiting requests, slots.
    pub load: &'static str,
    /// Present if the upstream did not run the request.
    pub not_run: &'static str,
    /// Key of a request to a sharded service.
    pub key: &'static str,
    /// Token that lets the next holder of keys take over their warm state.
    pub handover: &'static str,
    /// How much longer the answering upstream stays cold, in milliseconds.
    pub cold: &'static str,
}

/// Names of the store's tables.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreTables {
    /// Table of the sheet, written by the operators.
    pub sheet: String,
    /// Key of the sheet's row.
    pub sheet_key: String,
    /// Table of the upstreams' entries, which they write themselves.
    pub entries: String,
    /// Table of the owners of keys, written by the leader.
    pub owners: String,
    /// Table of the leader's lease.
    pub leader_lease: String,
}

/// A field that could not be decoded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DecodeError {
    /// Path of the field.
    pub field: String,
    /// What is wrong with the field.
    pub problem: String,
}

impl DecodeError {
    /// Builds an error for a field.
    pub fn new(field: &str, problem: impl fmt::Display) -> Self {
        Self {
            field: field.to_owned(),
            problem: problem.to_string(),
        }
    }
}

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.field, self.problem)
    }
}

impl std::error::Error for DecodeError {}

/// An HTTP request from a host itself to an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamCall {
    /// HTTP method.
    pub method: &'static str,
    /// Path.
    pub target: &'static str,
    /// JSON body.
    pub body: Vec<u8>,
}

/// An adapter to a platform: its store, names and formats.
pub trait UserPlatform: Send + Sync + fmt::Debug {
    /// Returns the platform's store.
    fn store(&self) -> Arc<dyn RowStore>;

    /// Returns the names of the store's tables.
    fn tables(&self) -> &StoreTables;

    /// Returns the names of the headers.
    fn headers(&self) -> &HeaderNames;

    /// Decodes the sheet.
    ///
    /// # Errors
    ///
    /// Fails when the bytes are not a valid sheet; no part of it may be used then.
    fn decode_sheet(&self, bytes: &[u8]) -> Result<RouteSheet, DecodeError>;

    /// Decodes an upstream's entry.
    ///
    /// # Errors
    ///
    /// Fails when the bytes are not a valid entry; the row is then treated as if it did
    /// not exist.
    fn decode_entry(&self, id: &UpstreamId, bytes: &[u8]) -> Result<UpstreamEntry, DecodeError>;

    /// Decodes the key of a row in the sheet's table that orders the evacuation of a
    /// failure domain; returns `None` if the row is no such order.
    fn decode_order_key(&self, key: &str) -> Option<Result<DomainName, DecodeError>>;

    /// Checks the value of an order to evacuate a failure domain.
    ///
    /// # Errors
    ///
    /// Fails when the bytes are not a valid order; the row is then ignored.
    fn check_order(&self, bytes: &[u8]) -> Result<(), DecodeError>;

    /// Encodes a call that grants or releases keys; returns `None` for a probe, which
    /// sends no message.
    fn encode_call(&self, call: &GrantCall) -> Option<UpstreamCall>;
}

/// A platform and the settings of a host on it.
#[derive(Clone, Debug)]
pub struct LoadedPlatform {
    /// The host's settings.
    pub settings: FrontSettings,
    /// The platform's adapter.
    pub platform: Arc<dyn UserPlatform>,
}

/// An adapter to a platform, selected by name on the command line.
#[derive(Debug)]
pub struct PlatformPlugin {
    /// Name used on the command line.
    pub name: &'static str,
    /// Environment variable that holds the path of the settings file.
    pub settings_variable: &'static str,
    /// Decodes the contents of a settings file.
    pub load: fn(&str) -> Result<LoadedPlatform, DecodeError>,
}

impl NamedPlugin for PlatformPlugin {
    fn name(&self) -> &'static str {
        self.name
    }
}

inventory::collect!(PlatformPlugin);
