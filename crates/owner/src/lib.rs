//! Ownership: who owns which shard, under which epoch, and who says so.
//!
//! [`ControlCore`] is a deterministic state machine. It takes [`Event`]s at a
//! moment and leaves [`Action`]s for its driver: heartbeats and pushes to other
//! hosts, conditional transactions on the platform's table, and lease orders to
//! the upstreams whose primary its host is. It does no I/O and reads no clock.
//!
//! Two kinds of rows hold what must be agreed (see [`RowKey`]):
//!
//! - a [`DomainRow`] per failure domain: its hosts and, per upstream, the
//!   primary host and the primary's epoch;
//! - an [`AssignRow`] per divided service and failure domain: which upstream
//!   owns each shard, under which epoch.
//!
//! Three rules keep at most one owner per shard:
//!
//! 1. Only an upstream's primary takes shards away from it, in a transaction
//!    that is conditional on still being the primary.
//! 2. It does so only once the upstream can't run work for the shard: the
//!    upstream has confirmed the revocation, or its lease has lapsed.
//! 3. A primary renews leases only while its standing is confirmed, by a recent
//!    read of the table or by a quorum of its witnesses; a new primary that
//!    can't reach the upstream waits until the old one's standing and leases
//!    have lapsed.
//!
//! ```
//! use owner::{shard_of_key, RowKey};
//!
//! let shard = shard_of_key("golfo-san-jorge", 64);
//! assert!(shard.0 < 64);
//! let key = RowKey::Domain("ar-south-a".into());
//! assert_eq!(RowKey::parse(&key.to_string()), Some(key));
//! ```

mod adopt;
mod assigned;
mod balance;
mod bootstrap;
mod claim;
mod commit;
mod core;
mod electorate;
mod event;
mod hash;
mod held;
mod learn;
mod lease;
mod links;
mod place;
mod propose;
mod reassign;
mod renew;
mod row;
mod standing;
mod table;
mod timing;
mod view;

pub use crate::core::{ControlCore, CoreStatus};
pub use balance::ShardLoad;
pub use event::{Action, CommitId, CommitOutcome, Event, LeaseReply, LeaseRequest, LeaseResult};
pub use hash::{hash_key, shard_of_key};
pub use lease::{LeaseState, ShardGrant, grant_tag};
pub use place::{PlacementCandidate, PlacementPlugin, PlacementPolicy, PlacementView};
pub use row::{
    AssignRow, ConfigRow, DomainRow, HostAddress, PlatformHost, PlatformList, PlatformUpstream,
    RowCache, RowContent, RowKey, RowWrite, ServiceRow, ShardEntry, TableTransaction,
    UpstreamEntry, UpstreamState, VersionedRow,
};
pub use timing::{Timing, TimingError};
pub use view::{PrimaryUpstream, ShardOwner, ShardPhase};
