//! What a platform's adapter has to give.

use arc_swap::ArcSwap;
use fleet::UpstreamEntry;
use grant::GrantCall;
use kernel::{DomainName, Named, UpstreamId, inventory};
use sheet::RouteSheet;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use store::RowStore;

/// Settings of one host, in the product's own terms.
#[derive(Clone, Debug, PartialEq)]
pub struct FrontSettings {
    /// Name of the host, kept over restarts.
    pub name: String,
    /// Its failure domain.
    pub domain: DomainName,
    /// Where clients connect.
    pub clients: SocketAddr,
    /// Where the balancer asks whether the host is ready.
    pub ready: SocketAddr,
    /// Where other hosts send load reports (UDP) and metrics are served (TCP).
    pub internal: SocketAddr,
    /// Its processor, in thousandths of a core.
    pub millicores: u32,
    /// Bandwidth of its link, in Mbit/s.
    pub link_mbps: u32,
    /// Waits and limits that the deployment sets.
    pub bounds: FrontBounds,
}

/// Processor, in thousandths of a core, that a leader needs beside each Mbit/s of its
/// link: one of 130 thousandths and 50 Mbit/s is short of neither with 140 hosts.
const MILLICORES_PER_MBPS: f64 = 2.6;

impl FrontSettings {
    /// Returns how well the host can lead: its processor in thousandths of a core, or
    /// less where its link is narrow.
    pub(crate) fn strength(&self) -> u32 {
        let by_link = f64::from(self.link_mbps) * MILLICORES_PER_MBPS;
        self.millicores.min(by_link as u32)
    }
}

/// Waits and limits that a deployment sets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FrontBounds {
    /// Within which a leaving upstream must get no more work.
    pub drain: Duration,
    /// After a stop signal, the time until the process is killed.
    pub stop: Duration,
    /// Longest time for which an upstream takes a grant.
    pub longest_hold: Duration,
    /// Retries that all hosts together may send, as a share of first tries.
    pub retry_ratio: f64,
    /// Retries that all hosts together may send besides, in each window.
    pub retry_extra: f64,
}

/// The bounds in force, which a reload changes.
pub(crate) type BoundsCell = Arc<ArcSwap<FrontBounds>>;

impl Default for FrontBounds {
    fn default() -> Self {
        Self {
            drain: Duration::from_secs(2),
            stop: Duration::from_secs(6),
            longest_hold: Duration::from_secs(10),
            retry_ratio: 0.2,
            retry_extra: 100.0,
        }
    }
}

/// Names of the headers that clients and upstreams use, in lower case.
#[derive(Clone, Copy, Debug)]
pub struct HeaderNames {
    /// Id of a client's attempt; echoed by the upstream.
    pub request_id: &'static str,
    /// Time that is left for the answer, in milliseconds.
    pub time_left: &'static str,
    /// Mark that an upstream puts on each answer of its own.
    pub stamp: &'static str,
    /// The upstream that alone may run the request.
    pub wanted_upstream: &'static str,
    /// The upstream that answers.
    pub upstream: &'static str,
    /// Load of the answering upstream: running, waiting, slots.
    pub load: &'static str,
    /// Says that the upstream did not run the request.
    pub not_run: &'static str,
    /// The key of a request to a divided service.
    pub key: &'static str,
    /// Token with which the next holder of keys takes over warm.
    pub handover: &'static str,
}

/// Names of the store's tables.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreTables {
    /// Holds the sheet, written by the operators.
    pub sheet: String,
    /// Key of the sheet's row.
    pub sheet_key: String,
    /// Holds the upstreams' entries, written by them.
    pub entries: String,
    /// Holds the owners of keys, written by the leader.
    pub owners: String,
    /// Holds the leader's lease.
    pub lead: String,
}

/// A message that could not be decoded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DecodeError {
    /// The field, as a path.
    pub field: String,
    /// What is wrong with it.
    pub problem: String,
}

impl DecodeError {
    /// Builds an error.
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

/// A request of the system itself to an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamCall {
    /// Method and path.
    pub method: &'static str,
    /// Path.
    pub target: &'static str,
    /// JSON body.
    pub body: Vec<u8>,
}

/// The users' platform.
pub trait UserPlatform: Send + Sync + fmt::Debug {
    /// Returns the platform's store.
    fn store(&self) -> Arc<dyn RowStore>;

    /// Returns the names of the store's tables.
    fn tables(&self) -> &StoreTables;

    /// Returns the names of headers.
    fn headers(&self) -> &HeaderNames;

    /// Decodes the sheet.
    ///
    /// # Errors
    ///
    /// Fails when the bytes are no sheet; nothing of them is to be used then.
    fn decode_sheet(&self, bytes: &[u8]) -> Result<RouteSheet, DecodeError>;

    /// Decodes an upstream's entry.
    ///
    /// # Errors
    ///
    /// Fails when the bytes are no entry; they name no upstream then.
    fn decode_entry(&self, id: &UpstreamId, bytes: &[u8]) -> Result<UpstreamEntry, DecodeError>;

    /// Encodes a call that grants or releases keys; `None` for a probe.
    fn encode_call(&self, call: &GrantCall) -> Option<UpstreamCall>;
}

/// A platform with the settings of a host on it.
#[derive(Clone, Debug)]
pub struct LoadedPlatform {
    /// The host's settings.
    pub settings: FrontSettings,
    /// The platform.
    pub platform: Arc<dyn UserPlatform>,
}

/// A platform's adapter that the command line chooses by name.
#[derive(Debug)]
pub struct PlatformPlugin {
    /// Name used on the command line.
    pub name: &'static str,
    /// Environment variable that holds the path of the settings file.
    pub settings_variable: &'static str,
    /// Decodes a settings file.
    pub load: fn(&str) -> Result<LoadedPlatform, DecodeError>,
}

impl Named for PlatformPlugin {
    fn name(&self) -> &'static str {
        self.name
    }
}

inventory::collect!(PlatformPlugin);
