//! Identifiers, time, verdicts and the plug-in registry, shared by all crates.
//!
//! The crates that make decisions are deterministic state machines over `(now, event)`.
//! They receive the time as a [`Moment`] and never read a clock. Components that need
//! periodic wake-ups subscribe to the single [`TimerService`] of their process.
//!
//! ```
//! use kernel::{Clock, Moment, SystemClock, Verdict};
//! use std::time::Duration;
//!
//! let clock = SystemClock::new();
//! let start: Moment = clock.now();
//! assert!(clock.now() >= start);
//! assert!(start + Duration::from_millis(5) > start);
//! assert_eq!(Verdict::NotRun.to_string(), "not-run");
//! ```

mod id;
mod plugin;
mod scope;
mod time;
mod timer;
mod verdict;

pub use id::{
    CustomerName, DomainName, Epoch, HostId, RequestId, ServiceName, ShardId, UpstreamId, Version,
};
pub use plugin::{NamedPlugin, UnknownPlugin, find_plugin, inventory};
pub use scope::TaskScope;
pub use time::{BootClock, Clock, ManualClock, Moment, SystemClock, wall_clock_ms};
pub use timer::{TimerService, TimerSubscription};
pub use verdict::{Cause, Refusal, Verdict};
