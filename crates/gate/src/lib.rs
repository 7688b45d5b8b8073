//! Traffic: from the caller's connection to the upstream's slot and back.
//!
//! A request passes three parts. The [`CallerServer`] reads it whole from the
//! caller. The [`Ingress`] resolves it to a kind, a key and an owner, and tries
//! it until it has an answer or must refuse. The [`PrimaryDesks`] of the owner's
//! primary host queue it for a slot and exchange it with the upstream. Between
//! two hosts it travels over the peer link, served by the [`PeerServer`].
//!
//! Traffic reads an immutable [`TrafficSnapshot`] and never waits for the
//! control thread.
//!
//! ```
//! use gate::GateLimits;
//!
//! let limits = GateLimits::default();
//! assert!(limits.validate().is_ok());
//! ```

mod answer;
mod attempt;
mod body;
mod callers;
mod choose;
mod desk;
mod desks;
mod exchange;
mod forward;
mod ingress;
mod journal;
mod limits;
mod metrics;
mod order;
mod peers;
mod pool;
mod serve;
mod snapshot;
mod waits;

pub use answer::{Answer, AnswerBody, BodyStream};
pub use callers::CallerServer;
pub use desk::{DeskLoad, LeaseCell, ShardPermit, UpstreamDesk};
pub use desks::PrimaryDesks;
pub use ingress::{Ingress, IngressParts};
pub use journal::{Journal, JournalRefusal};
pub use limits::{GateLimits, LimitError};
pub use metrics::GateMetrics;
pub use order::WorkOrder;
pub use peers::{PLATFORM_PREFIX, PeerSecret, PeerServer, PlatformRelay};
pub use snapshot::{SnapshotCell, TrafficSnapshot};
