//! Inputs and outputs of the control state machine.

use crate::{HostAddress, PlatformList, ShardGrant, TableTransaction, VersionedRow};
use kernel::{DomainName, Epoch, HostId, Moment, ShardId, UpstreamId, Version};
use member::Heartbeat;
use serde::{Deserialize, Serialize};
use sheet::Sheet;
use std::sync::Arc;

/// Sequence number of a transaction among those that one host proposes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CommitId(pub u64);

/// Outcome of a proposed transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommitOutcome {
    /// It took effect; the written rows have these versions.
    Committed(Vec<VersionedRow>),
    /// A version did not match; nothing took effect.
    Conflict,
    /// It was rejected before it was attempted; nothing took effect.
    NotAttempted,
    /// No answer was received; it may have taken effect or may still do so.
    Unknown,
}

/// Input of the state machine.
#[derive(Clone, Debug)]
pub enum Event {
    /// The periodic timer fired.
    Tick,
    /// A heartbeat was received from another host.
    HeartbeatReceived(Heartbeat),
    /// A heartbeat that this host sent was acknowledged.
    HeartbeatAcknowledged {
        /// When the heartbeat was sent.
        sent_at: Moment,
        /// The acknowledgement.
        heartbeat: Heartbeat,
    },
    /// Rows were received from another host.
    RowsReceived {
        /// The sender.
        from: HostId,
        /// The rows.
        rows: Vec<VersionedRow>,
    },
    /// Rows that this host pushed were acknowledged.
    PushAcknowledged(Heartbeat),
    /// All rows of the table were read.
    TableRead {
        /// When the read was requested.
        started_at: Moment,
        /// The rows.
        rows: Vec<VersionedRow>,
    },
    /// A read of the table failed.
    TableReadFailed,
    /// A transaction ended.
    CommitEnded {
        /// The transaction's number.
        id: CommitId,
        /// The outcome.
        outcome: CommitOutcome,
    },
    /// A lease request to an upstream ended, with or without an answer.
    LeaseAnswered {
        /// The upstream.
        upstream: UpstreamId,
        /// The epoch of the request.
        epoch: Epoch,
        /// When the request was sent.
        sent_at: Moment,
        /// The result.
        result: LeaseResult,
    },
    /// The platform's list of hosts and upstreams was read.
    ListRead(PlatformList),
    /// The body of a sheet version was loaded.
    SheetLoaded {
        /// The version of the config row.
        version: Version,
        /// The sheet.
        sheet: Arc<Sheet>,
    },
    /// This host was asked to leave.
    LeaveRequested,
    /// An operator declared a failure domain permanently lost, or back in service.
    LossDeclared {
        /// The domain.
        domain: DomainName,
        /// Whether the domain is lost.
        is_lost: bool,
    },
    /// An operator requested the drain of an upstream, or canceled it.
    DrainRequested {
        /// The upstream.
        upstream: UpstreamId,
        /// Whether the upstream is to leave.
        is_leaving: bool,
    },
}

/// A request to an upstream that renews its lease and sets its grants.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// The primary's epoch; once accepted, the upstream refuses older epochs.
    pub epoch: Epoch,
    /// Increases within an epoch; the upstream ignores requests that arrive out of
    /// order.
    pub sequence: u64,
    /// Boot nonce of the upstream run that the request is for; absent if it is unknown
    /// or if the request only fences older epochs.
    pub boot: Option<u64>,
    /// End of the lease on the upstream's clock, in microseconds.
    pub until_us: Option<u64>,
    /// Tag of the grants that the upstream is to hold.
    pub tag: u64,
    /// The grants; absent when the upstream is known to hold them already.
    pub grants: Option<Vec<ShardGrant>>,
}

/// An upstream's reply to a lease request that it accepted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseReply {
    /// Boot nonce of this upstream run.
    pub boot: u64,
    /// Reading of the upstream's monotonic clock, in microseconds.
    pub clock_us: u64,
    /// End of the current lease on the upstream's clock, in microseconds.
    pub lease_until_us: Option<u64>,
    /// Tag of the grants that the upstream currently holds.
    pub held_tag: Option<u64>,
    /// Shards for which requests are running.
    pub busy: Vec<ShardId>,
    /// Number of requests that are running.
    pub running: u32,
}

/// Result of a lease request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseResult {
    /// The upstream accepted the request.
    Accepted(LeaseReply),
    /// The upstream refused the request, as it has accepted this newer epoch.
    Superseded(Epoch),
    /// No usable answer was received.
    Failed,
}

/// Output of the state machine, to be performed by the driver.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a heartbeat to a host.
    SendHeartbeat {
        /// Address of the host.
        to: HostAddress,
        /// The heartbeat.
        heartbeat: Heartbeat,
    },
    /// Push rows to a host and report its acknowledgement.
    Push {
        /// Address of the host.
        to: HostAddress,
        /// The rows.
        rows: Vec<VersionedRow>,
    },
    /// Ask a host for all rows that it knows.
    Pull {
        /// The host whose heartbeat showed different row versions.
        from: HostId,
        /// Address to ask: the host's own, or a bootstrap address while that is
        /// unknown.
        address: HostAddress,
    },
    /// Read all rows from the table.
    ReadTable,
    /// Commit a transaction.
    Commit {
        /// The transaction's number.
        id: CommitId,
        /// The transaction.
        transaction: TableTransaction,
    },
    /// Send a lease request to an upstream.
    SendLeaseRequest {
        /// The upstream.
        upstream: UpstreamId,
        /// Its address.
        address: String,
        /// The request.
        request: LeaseRequest,
    },
    /// Load the body of a sheet version.
    LoadSheet {
        /// The version of the config row.
        version: Version,
    },
}
