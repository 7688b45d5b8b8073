//! Messages on their way in a world.

use kernel::{Epoch, HostId, Moment, UpstreamId, Version};
use member::Heartbeat;
use owner::{CommitId, CommitOutcome, LeaseRequest, LeaseResult, TableTransaction, VersionedRow};

/// One end of a message.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Place {
    Host(HostId),
    Upstream(UpstreamId),
    Table,
}

/// What a message says.
#[derive(Clone, Debug)]
pub(crate) enum Content {
    Beat {
        sent: Moment,
        heartbeat: Heartbeat,
    },
    BeatAck {
        sent: Moment,
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
        started: Moment,
        call: u64,
    },
    ReadAnswer {
        started: Moment,
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
        sent: Moment,
        request: LeaseRequest,
        call: u64,
    },
    LeaseAnswer {
        sent: Moment,
        epoch: Epoch,
        result: LeaseResult,
        call: u64,
    },
    /// No answer came to a call in time.
    Timeout {
        call: u64,
        event: TimeoutOf,
    },
    SheetBody {
        version: Version,
    },
}

/// Which call has timed out.
#[derive(Clone, Debug)]
pub(crate) enum TimeoutOf {
    Read,
    Commit(CommitId),
    Lease {
        upstream: UpstreamId,
        epoch: Epoch,
        sent: Moment,
    },
}

/// A message on its way.
#[derive(Clone, Debug)]
pub(crate) struct Message {
    pub due: Moment,
    pub number: u64,
    pub from: Place,
    pub to: Place,
    pub content: Content,
}
