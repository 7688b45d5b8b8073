//! Stand-ins for the systems that entry hosts meet.
//!
//! - [`FakePlatform`]: the transactional table, the object store and the
//!   lagging host list, with outages, delays, rate limits and lost answers;
//! - [`FakeUpstream`]: an instance that takes fenced grants and runs simulated
//!   work in slots, with the faults of real ones;
//! - [`CutRelay`]: the network between two failure domains, which can be cut.
//!
//! The stand-ins keep the truth in a [`RunLog`]: what ran, when, under which
//! epoch, and who believed to own what.

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
pub use relay::{CutRelay, RelayMode};
pub use run_log::{RunId, RunLog, RunRecord, RunSummary};
pub use table::FakeTable;
pub use upstream::{FakeUpstream, UpstreamSetup};
pub use upstream_faults::UpstreamFaults;
pub use upstream_lease::{HeldLease, LeaseRefusal};
