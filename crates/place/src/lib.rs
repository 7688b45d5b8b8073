//! Choice of an upstream for a request, and early refusal.
//!
//! An [`UpstreamSelector`] keeps what one host knows of the load of each upstream: its own
//! requests there, and what upstreams say of themselves in their answers. From
//! that it expects how long a request would take at each, chooses the least, and
//! refuses at once what could not be answered in time anywhere.
//!
//! ```
//! use kernel::Moment;
//! use place::{UpstreamSelector, Placement, SelectionLimits};
//! use std::time::Duration;
//!
//! let mut book = UpstreamSelector::new(1);
//! let now = Moment::from_millis(1_000);
//! let need = SelectionLimits { max_wait: Duration::from_millis(400), cross_domain_cost: Duration::ZERO };
//! let here = [place::UpstreamCandidate { id: "i-1".into(), slots: 4, is_local: true, is_cold: false }];
//! assert!(matches!(book.choose(now, &here, &need), Placement::Send { .. }));
//! ```

mod fleet_loads;
mod moves;
mod selector;
mod state;

pub use fleet_loads::FleetLoads;
pub use moves::MoveTracker;
pub use selector::{Placement, SelectionLimits, SentRequest, UpstreamCandidate, UpstreamSelector};
pub use state::{LoadReport, ObservedLoad, RequestOutcome};
