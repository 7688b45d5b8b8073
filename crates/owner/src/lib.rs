//! Assignment of shards to upstreams, and the leases that enforce it.
//!
//! [`ControlCore`] is a deterministic state machine. It handles [`Event`]s and
//! queues [`Action`]s for its driver: heartbeats and row pushes to other hosts,
//! conditional transactions on the platform's table, and lease requests to the
//! upstreams for which its host is the primary. It does no I/O and reads no clock.
//!
//! Two kinds of rows hold the state that hosts must agree on (see [`RowKey`]):
//!
//! - a [`DomainRow`] per failure domain: its hosts and, per upstream, the
//!   primary host and the primary's epoch;
//! - an [`AssignRow`] per sharded service and failure domain: which upstream
//!   owns each shard, under which epoch.
//!
//! Three rules keep at most one owner per shard:
//!
//! 1. Only an upstream's primary takes shards away from it, in a transaction
//!    that is conditional on still being the primary.
//! 2. It does so only once the upstream can't run work for the shard: the
//!    upstream has confirmed the revocation, or its lease has lapsed.
//! 3. A primary renews leases only while its authority is confirmed, by a recent
//!    read of the table or by a quorum of its witnesses. A new primary that can't
//!    reach the upstream waits until the previous primary's authority and leases
//!    have lapsed.
//!
//! A failure domain that an operator has declared lost is an exception to rule 1: hosts
//! of another domain take its shards over after the leases there have lapsed.
//!
//! ```
//! use owner::{shard_of_key, RowKey};
//!
//! let shard = shard_of_key("golfo-san-jorge", 64);
//! assert!(shard.0 < 64);
//! let key = RowKey::Domain("ar-south-a".into());
//! assert_eq!(RowKey::parse(&key.to_string()), Some(key));
//! ```

mod apply;
mod assignment_index;
mod authority;
mod balance;
mod bootstrap;
mod claim;
mod commit;
mod core;
mod event;
mod hash;
mod host_changes;
mod lease;
mod links;
mod lost_domain;
mod placement;
mod primary;
mod propose;
mod reassign;
mod renew;
mod row;
mod table;
mod timing;
mod view;

pub use crate::core::{ControlCore, CoreStatus};
pub use balance::ShardLoad;
pub use event::{Action, CommitId, CommitOutcome, Event, LeaseReply, LeaseRequest, LeaseResult};
pub use hash::{hash_key, shard_of_key};
pub use lease::{LeaseState, ShardGrant, grant_tag};
pub use placement::{PlacementCandidate, PlacementPlugin, PlacementPolicy, PlacementView};
pub use row::{
    AssignRow, ConfigRow, DomainRow, HostAddress, PlatformHost, PlatformList, PlatformUpstream,
    RowCache, RowContent, RowKey, RowWrite, ServiceRow, ShardEntry, TableTransaction,
    UpstreamEntry, UpstreamState, VersionedRow,
};
pub use timing::{Timing, TimingError};
pub use view::{PrimaryUpstream, ShardOwner, ShardPhase};
