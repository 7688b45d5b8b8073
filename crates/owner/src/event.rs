//! What goes into and comes out of the control state machine.

use crate::{HostAddress, PlatformList, ShardGrant, TableTransaction, VersionedRow};
use kernel::{DomainName, Epoch, HostId, Moment, ShardId, UpstreamId, Version};
use member::Heartbeat;
use serde::{Deserialize, Serialize};
use sheet::Sheet;
use std::sync::Arc;

/// Numbers the transactions that one host proposes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CommitId(pub u64);

/// What became of a proposed transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommitOutcome {
    /// It took effect; the rows have these versions.
    Committed(Vec<VersionedRow>),
    /// A version did not match; nothing took effect.
    Conflict,
    /// It was refused before it was tried.
    NotAttempted,
    /// No answer; it may have taken effect or may yet do so.
    Unknown,
}

/// Something that happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// A heartbeat came in.
    HeartbeatReceived(Heartbeat),
    /// An own heartbeat, sent at `sent`, was acknowledged.
    HeartbeatAcknowledged {
        /// When the heartbeat was sent.
        sent: Moment,
        /// The acknowledgement.
        heartbeat: Heartbeat,
    },
    /// Rows came from another host.
    RowsReceived {
        /// Who sent them.
        from: HostId,
        /// The rows.
        rows: Vec<VersionedRow>,
    },
    /// A push of rows was acknowledged.
    PushAcknowledged(Heartbeat),
    /// All rows were read from the table by a read that began at `started`.
    TableRead {
        /// When the read began.
        started: Moment,
        /// The rows.
        rows: Vec<VersionedRow>,
    },
    /// A read of the table failed.
    TableReadFailed,
    /// A transaction ended.
    CommitEnded {
        /// Which one.
        id: CommitId,
        /// How.
        outcome: CommitOutcome,
    },
    /// An upstream answered a lease order, or did not.
    LeaseAnswered {
        /// The upstream.
        upstream: UpstreamId,
        /// The epoch of the order.
        epoch: Epoch,
        /// When the order was sent.
        sent: Moment,
        /// The answer.
        result: LeaseResult,
    },
    /// The platform's list was read.
    ListRead(PlatformList),
    /// The body of a sheet version is at hand.
    SheetLoaded {
        /// The version of the config row.
        version: Version,
        /// The sheet.
        sheet: Arc<Sheet>,
    },
    /// This host is to leave.
    LeaveRequested,
    /// An operator declares a failure domain lost for good, or back.
    LossDeclared {
        /// The domain.
        domain: DomainName,
        /// Whether it is lost.
        is_lost: bool,
    },
    /// An operator drains an upstream or takes the drain back.
    DrainRequested {
        /// The upstream.
        upstream: UpstreamId,
        /// Whether it leaves.
        is_leaving: bool,
    },
}

/// An order to an upstream about its lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// The primary's epoch; an upstream refuses older ones from then on.
    pub epoch: Epoch,
    /// Grows within an epoch; an upstream ignores orders that come late.
    pub sequence: u64,
    /// The boot nonce that the order is for; absent in a first order.
    pub boot: Option<u64>,
    /// End of the lease on the upstream's clock, in microseconds.
    pub until_us: Option<u64>,
    /// Tag of the grants that the upstream is to hold.
    pub tag: u64,
    /// The grants, when the upstream is not known to hold them.
    pub grants: Option<Vec<ShardGrant>>,
}

/// An upstream's reply to a lease order that it accepted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseReply {
    /// Nonce of this run of the upstream.
    pub boot: u64,
    /// The upstream's monotonic clock, in microseconds.
    pub clock_us: u64,
    /// End of the lease held now, on the upstream's clock, in microseconds.
    pub lease_until_us: Option<u64>,
    /// Tag of the grants held now.
    pub held_tag: Option<u64>,
    /// Shards for which requests are running.
    pub busy: Vec<ShardId>,
    /// Requests running now.
    pub running: u32,
}

/// How a lease order ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseResult {
    /// The upstream accepted it.
    Accepted(LeaseReply),
    /// The upstream has accepted this newer epoch before.
    Superseded(Epoch),
    /// No usable answer.
    Failed,
}

/// Something that the driver is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a heartbeat to a host.
    SendHeartbeat {
        /// Where to.
        to: HostAddress,
        /// The heartbeat.
        heartbeat: Heartbeat,
    },
    /// Push rows to a host and report its acknowledgement.
    Push {
        /// Where to.
        to: HostAddress,
        /// The rows.
        rows: Vec<VersionedRow>,
    },
    /// Ask a host for the rows that it knows.
    Pull {
        /// Whom.
        from: HostId,
        /// Where; absent when only the connection of its heartbeat is known.
        address: HostAddress,
    },
    /// Read all rows from the table.
    ReadTable,
    /// Commit a transaction.
    Commit {
        /// Its number.
        id: CommitId,
        /// The transaction.
        transaction: TableTransaction,
    },
    /// Send a lease order to an upstream.
    SendLeaseRequest {
        /// The upstream.
        upstream: UpstreamId,
        /// Its address.
        address: String,
        /// The order.
        request: LeaseRequest,
    },
    /// Get the body of a sheet version.
    LoadSheet {
        /// The version of the config row.
        version: Version,
    },
}
