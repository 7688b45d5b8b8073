//! Load, faults and report for a small deployment on loopback.
//!
//! A trial starts the stand-ins and a few real entry hosts in one process,
//! sends an open-loop load through them while faults are injected, and compares
//! what callers were told with what the stand-ins saw.
//!
//! ```
//! let plan = trial::TrialPlan::small();
//! assert!(plan.validate().is_ok());
//! ```

mod balancer;
mod caller;
mod check;
mod deploy;
mod faults;
mod load;
mod plan;
mod record;
mod report;
mod run;
mod slopes;
mod switches;
mod watch;

pub use deploy::{ADMIN_TOKEN, Deployment, RunningHost};
pub use faults::{FaultName, UnknownFault};
pub use plan::{InstancePlan, LoadPlan, TrialPlan};
pub use report::{PathCost, RankReport, TrialReport, UnavailableReport};
pub use run::{TrialOptions, run_trial};
pub use slopes::{SlopeFit, SlopePoint, SlopeReport, SlopeSize, measure_slopes};
pub use switches::serve_switches;
