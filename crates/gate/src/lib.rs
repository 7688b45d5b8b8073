//! The path of a request from the client's connection to the upstream and back.
//!
//! A request passes three parts. The [`ClientServer`] reads it whole from the
//! client. The [`Ingress`] resolves it to a kind, a key and an owner, and sends it
//! until it is answered or must be refused. The [`PrimarySchedulers`] of the owner's
//! primary host queue it for a slot and exchange it with the upstream. If the
//! primary is another host, the request is forwarded over the peer link to that
//! host's [`PeerServer`].
//!
//! Requests are routed by an immutable [`TrafficSnapshot`] and never wait for the
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
mod clients;
mod exchange;
mod forward;
mod ingress;
mod journal;
mod limits;
mod metrics;
mod peers;
mod pool;
mod request;
mod scheduler;
mod schedulers;
mod select;
mod serve;
mod snapshot;
mod waits;

pub use answer::{Answer, AnswerBody, BodyStream};
pub use clients::ClientServer;
pub use ingress::{Ingress, IngressParts};
pub use journal::{Journal, JournalRefusal};
pub use limits::{GateLimits, LimitError};
pub use metrics::GateMetrics;
pub use peers::{PLATFORM_PREFIX, PeerSecret, PeerServer, PlatformRelay};
pub use request::ResolvedRequest;
pub use scheduler::{LeaseCell, ShardPermit, ShardUsage, UpstreamScheduler};
pub use schedulers::PrimarySchedulers;
pub use snapshot::{SnapshotCell, TrafficSnapshot};
