//! The status that an entry host reports.

use kernel::{DomainName, Epoch, HostId, ServiceName, UpstreamId, Version};
use serde::{Deserialize, Serialize};

/// Status of an entry host.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HostStatus {
    /// The host's id.
    pub host: HostId,
    /// Its failure domain.
    pub domain: DomainName,
    /// Version of the active sheet; 0 if there is none.
    pub sheet_version: Version,
    /// Time from the sheet's commit to its activation here, in milliseconds.
    pub sheet_spread_ms: Option<u64>,
    /// Whether the host has confirmed authority to renew leases.
    pub has_standing: bool,
    /// Time for which the table has not answered, in milliseconds; `None` while it
    /// answers.
    pub table_failing_ms: Option<u64>,
    /// Number of violated invariants; must be 0.
    pub violations: u64,
    /// Number of planned moves that were begun.
    pub moves_begun: u64,
    /// Requests in flight that this host received from clients.
    pub in_flight: u64,
    /// Whether the host is leaving.
    pub is_leaving: bool,
    /// Live hosts.
    pub peers: Vec<PeerStatus>,
    /// Upstreams in the newest known rows.
    pub upstreams: Vec<UpstreamStatus>,
}

/// Another host, according to its last heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerStatus {
    /// The host's id.
    pub host: HostId,
    /// Its failure domain.
    pub domain: DomainName,
    /// Version of the active sheet there.
    pub sheet_version: Version,
    /// Time since its last heartbeat or acknowledgement, in milliseconds.
    pub silent_ms: u64,
}

/// An upstream, according to the newest known rows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamStatus {
    /// The upstream's id.
    pub upstream: UpstreamId,
    /// Its service.
    pub service: ServiceName,
    /// Its failure domain.
    pub domain: DomainName,
    /// Host that is its primary.
    pub primary: HostId,
    /// The primary's epoch.
    pub epoch: Epoch,
    /// Whether it accepts no new requests.
    pub is_leaving: bool,
    /// Number of shards that it owns.
    pub shards: usize,
    /// Whether its lease is valid; known only at its primary.
    pub is_usable: Option<bool>,
}
