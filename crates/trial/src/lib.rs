//! Load tests with fault injection on a small deployment on loopback.
//!
//! A trial starts a simulated platform, simulated upstreams and a few real entry
//! hosts in one process, sends an open-loop load through the hosts while faults are
//! injected, and compares the responses to clients with what the upstreams ran.
//!
//! ```
//! let plan = trial::TrialPlan::small();
//! assert!(plan.validate().is_ok());
//! ```

mod balancer;
mod body;
mod client;
mod deploy;
mod fault_api;
mod faults;
mod load;
mod monitor;
mod plan;
mod record;
mod report;
mod run;
mod slopes;

pub use deploy::{ADMIN_TOKEN, Deployment, RunningHost};
pub use fault_api::serve_fault_api;
pub use faults::{FaultKind, UnknownFault};
pub use plan::{InstancePlan, LoadPlan, TrialPlan};
pub use report::{PathCost, RankReport, TrialReport, UnavailableReport};
pub use run::{TrialOptions, run_trial};
pub use slopes::{SlopeFit, SlopePoint, SlopeReport, SlopeSize, measure_slopes};
