//! Simulated versions of the systems that entry hosts talk to, for tests.
//!
//! - [`FakePlatform`]: the transactional table, the object store and the delayed
//!   host list, with outages, delays, rate limits and lost responses;
//! - [`FakeUpstream`]: an upstream that accepts fenced grants and runs simulated
//!   requests in slots, with injectable faults;
//! - [`FaultyRelay`]: a TCP relay between two failure domains that can hold back,
//!   discard or delay bytes and reset connections.
//!
//! A shared [`RunLog`] records which requests ran, when and under which epoch, which
//! upstream considered itself the owner of each shard, and which one was leaving.

mod platform;
mod platform_http;
mod relay;
mod run_log;
mod table;
mod upstream;
mod upstream_faults;
mod upstream_lease;
mod upstream_server;

pub use platform::{FakePlatform, PlatformFaults};
pub use relay::{FaultyRelay, RelayMode};
pub use run_log::{RunId, RunLog, RunRecord, RunSummary};
pub use table::FakeTable;
pub use upstream::{FakeUpstream, UpstreamSetup};
pub use upstream_faults::UpstreamFaults;
pub use upstream_lease::{HeldLease, LeaseRefusal};
