//! The upstreams as their entries in the store describe them.
//!
//! A [`FleetView`] holds the entries that a host has received and decides which
//! upstreams may be used. An entry can lapse because its upstream has gone or because
//! the store was unavailable; the view keeps an upstream without an entry in use for a
//! short time, so that an outage of the store does not interrupt service.
//!
//! ```
//! use fleet::{FleetTiming, FleetView, UpstreamEntry};
//! use kernel::Moment;
//!
//! let mut view = FleetView::new(FleetTiming::default());
//! let now = Moment::from_millis(1_000);
//! view.apply(now, UpstreamEntry::ready("i-1", "charts", "10.0.0.1:80".parse().unwrap(), 4));
//! assert!(view.get("i-1").unwrap().accepts_requests(now));
//! ```

mod entry;
mod view;

pub use entry::{EntryChange, ReportedState, UpstreamEntry};
pub use view::{FleetTiming, FleetView, KnownUpstream, Presence};
