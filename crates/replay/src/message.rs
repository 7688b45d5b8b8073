//! Messages in transit in a world.

use kernel::{Epoch, HostId, Moment, UpstreamId, Version};
use member::Heartbeat;
use owner::{CommitId, CommitOutcome, LeaseRequest, LeaseResult, TableTransaction, VersionedRow};

/// Sender or receiver of a message.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Endpoint {
    Host(HostId),
    Upstream(UpstreamId),
    Table,
}

/// Payload of a message.
#[derive(Clone, Debug)]
pub(crate) enum Payload {
    Heartbeat {
        sent_at: Moment,
        heartbeat: Heartbeat,
    },
    HeartbeatAck {
        sent_at: Moment,
        heartbeat: Heartbeat,
    },
    Push {
        rows: Vec<VersionedRow>,
    },
    PushAck {
        heartbeat: Heartbeat,
    },
    Pull,
    Rows {
        rows: Vec<VersionedRow>,
    },
    Read {
        started_at: Moment,
        call: u64,
    },
    ReadAnswer {
        started_at: Moment,
        rows: Vec<VersionedRow>,
        call: u64,
    },
    Commit {
        id: CommitId,
        transaction: TableTransaction,
        call: u64,
    },
    CommitAnswer {
        id: CommitId,
        outcome: CommitOutcome,
        call: u64,
    },
    Lease {
        sent_at: Moment,
        request: LeaseRequest,
        call: u64,
    },
    LeaseAnswer {
        sent_at: Moment,
        epoch: Epoch,
        result: LeaseResult,
        call: u64,
    },
    /// A call's timer has expired; ignored if the call was answered.
    Timeout {
        call: u64,
        kind: CallKind,
    },
    SheetBody {
        version: Version,
    },
}

/// Kind of call that a timeout belongs to.
#[derive(Clone, Debug)]
pub(crate) enum CallKind {
    Read,
    Commit(CommitId),
    Lease {
        upstream: UpstreamId,
        epoch: Epoch,
        sent_at: Moment,
    },
}

/// A message in transit.
#[derive(Clone, Debug)]
pub(crate) struct Message {
    pub due_at: Moment,
    pub number: u64,
    pub from: Endpoint,
    pub to: Endpoint,
    pub payload: Payload,
}
