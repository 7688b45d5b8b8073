//! Admission control at an upstream: which request runs next, and which are refused
//! early.
//!
//! [`AdmissionQueue`] tracks the upstream's slots and holds the requests that wait for
//! one. A [`SchedulingPolicy`] selects the rank to serve next; within a rank, customers
//! share slot time fairly, regardless of how many requests they send.
//!
//! ```
//! use kernel::Moment;
//! use limit::{AdmissionQueue, AdmissionPlan, QueueDecision, SlotRequest, SlotRequestId};
//! use sheet::Rank;
//! use std::time::Duration;
//!
//! let mut queue = AdmissionQueue::new(AdmissionPlan::with_slots(1), "floors", 7).unwrap();
//! let now = Moment::from_millis(1_000);
//! for (id, rank) in [(1, Rank::Bulk), (2, Rank::Urgent)] {
//!     queue.push(now, SlotRequest {
//!         id: SlotRequestId(id),
//!         rank,
//!         customer: "tievarmo".into(),
//!         is_long: false,
//!         expected: Duration::from_millis(5),
//!         deadline: now + Duration::from_secs(1),
//!     }).unwrap();
//! }
//! let Some(QueueDecision::Run(first)) = queue.pop(now) else { panic!("a slot is free") };
//! assert_eq!(first.rank, Rank::Urgent);
//! ```

mod admission;
mod concurrency;
mod cost;
mod customer;
mod estimate;
mod plan;
mod policy;
mod usage;

pub use admission::{AdmissionQueue, QueueDecision, SlotRequest, SlotRequestId};
pub use concurrency::ConcurrencyLimit;
pub use cost::CostEstimator;
pub use plan::AdmissionPlan;
pub use policy::{RankView, SchedulingPlugin, SchedulingPolicy};
pub use usage::SlotUsage;
