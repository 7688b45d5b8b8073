//! Content of heartbeats and their acknowledgements.

use kernel::{DomainName, HostId, UpstreamId, Version};
use serde::{Deserialize, Serialize};

/// State that one host reports to another in a heartbeat or its acknowledgement.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender.
    pub from: HostId,
    /// The sender's failure domain.
    pub domain: DomainName,
    /// Whether the sender is leaving and takes nothing over.
    pub is_leaving: bool,
    /// Version of its own domain's row that the sender knows.
    pub row_version: Version,
    /// Combined hash of the versions of all rows that the sender knows.
    pub fingerprint: u64,
    /// Version of the sheet in force at the sender.
    pub sheet_version: Version,
    /// Loads of the upstreams for which the sender is the primary.
    ///
    /// Absent in most heartbeats, as loads change slowly.
    pub loads: Option<Vec<UpstreamLoad>>,
    /// Requests suspected of crashing upstreams.
    pub suspects: Vec<Suspect>,
}

/// Load of one upstream, measured by its primary.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct UpstreamLoad {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Slot time used, in milliseconds per second.
    pub slot_ms: u32,
    /// Expected wait of a new request, in milliseconds.
    pub wait_ms: u32,
}

/// A request that was running when an upstream was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspect {
    /// Hash of the request's service, kind, key and body.
    pub fingerprint: u64,
    /// Number of upstreams lost while running it.
    pub losses: u32,
    /// Time until the suspicion expires, in milliseconds.
    pub remaining_ms: u32,
}
