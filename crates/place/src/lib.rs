//! Selection of an upstream for each request, and early refusal.
//!
//! An [`UpstreamSelector`] tracks the load of each upstream as one host knows it: the
//! host's own requests and the load that upstreams report in their answers. From this
//! it estimates how long a request would take at each upstream, selects the one with
//! the lowest estimate, and refuses at once a request that no upstream could answer in
//! time.
//!
//! ```
//! use kernel::{Moment, ServiceName};
//! use place::{RequestWork, Selection, SelectionLimits, UpstreamSelector};
//! use std::time::Duration;
//!
//! let mut selector = UpstreamSelector::new(1);
//! let now = Moment::from_millis(1_000);
//! let service = ServiceName::from("charts");
//! let work = RequestWork { service: &service, route: "read" };
//! let limits = SelectionLimits {
//!     target_left: Duration::from_millis(400),
//!     time_left: Duration::from_secs(1),
//!     cross_domain_cost: Duration::ZERO,
//! };
//! let candidates = [place::UpstreamCandidate { id: "i-1".into(), slots: 4, is_local: true, is_cold: false, max_requests: 64 }];
//! let selection = selector.choose(now, work, &candidates, &limits);
//! assert!(matches!(selection, Selection::Send { .. }));
//! ```

mod estimate;
mod fleet_loads;
mod moves;
mod pace;
mod selector;
mod state;
mod work;

pub use fleet_loads::{FleetLoads, HolderPace};
pub use moves::MoveTracker;
pub use selector::{Selection, SelectionLimits, SentRequest, UpstreamCandidate, UpstreamSelector};
pub use state::{FleetLoad, LoadReport, ObservedLoad, RequestOutcome};
pub use work::RequestWork;
