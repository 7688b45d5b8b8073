//! What an entry host tells of its state.

use kernel::{DomainName, Epoch, HostId, ServiceName, UpstreamId, Version};
use serde::{Deserialize, Serialize};

/// State of one entry host.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HostStatus {
    /// The host.
    pub host: HostId,
    /// Its failure domain.
    pub domain: DomainName,
    /// Version of the sheet in force; 0 when there is none.
    pub sheet_version: Version,
    /// Time from the sheet's commit to its being in force here, in milliseconds.
    pub sheet_spread_ms: Option<u64>,
    /// Whether the right to renew leases is confirmed.
    pub has_standing: bool,
    /// For how long the table has not answered, in milliseconds.
    pub table_failing_ms: Option<u64>,
    /// Invariants found broken; must be 0.
    pub violations: u64,
    /// Planned moves begun.
    pub moves_begun: u64,
    /// Requests in hand as ingress.
    pub in_flight: u64,
    /// Whether it is on its way out.
    pub is_leaving: bool,
    /// Hosts heard.
    pub peers: Vec<PeerStatus>,
    /// Known upstreams.
    pub upstreams: Vec<UpstreamStatus>,
}

/// Another host as this one hears it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerStatus {
    /// The host.
    pub host: HostId,
    /// Its failure domain.
    pub domain: DomainName,
    /// Version of the sheet in force there.
    pub sheet_version: Version,
    /// Time since it was heard, in milliseconds.
    pub silent_ms: u64,
}

/// An upstream as the newest known rows tell it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamStatus {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Its service.
    pub service: ServiceName,
    /// Its failure domain.
    pub domain: DomainName,
    /// Its primary.
    pub primary: HostId,
    /// The primary's epoch.
    pub epoch: Epoch,
    /// Whether it takes no new work.
    pub is_leaving: bool,
    /// Shards that it owns.
    pub shards: usize,
    /// Whether its lease is usable; known at its primary only.
    pub is_usable: Option<bool>,
}
