//! Simulated versions of the systems that entry hosts talk to, for tests.
//!
//! - [`FakePlatform`]: the transactional table, the object store and the host
//!   list, which lags; with outages, delays, rate limits and lost responses;
//! - [`FakeUpstream`]: an upstream that accepts fenced grants and runs simulated
//!   requests in slots, with injectable faults;
//! - [`FaultyRelay`]: a TCP relay between two failure domains that can hold,
//!   drop or reset traffic.
//!
//! All of them record in a shared [`RunLog`] which requests ran, when and under
//! which epoch, and which upstream considered itself the owner of each shard.

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
