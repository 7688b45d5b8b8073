//! Evacuation of failure domains on the operators' order.
//!
//! [`EvacOrders`] is the set of orders that a host knows, with the store's version;
//! [`DomainPhase`] says whether the upstreams of a domain may be used; [`next_moves`]
//! says how many key ranges to move out of evacuated domains next.
//!
//! ```
//! use evac::{DomainPhase, EvacOrders, OrderRow};
//! use kernel::Moment;
//! use std::time::Duration;
//!
//! let mut orders = EvacOrders::default();
//! orders.apply_list(Moment::from_millis(1), 7, &[]);
//! let row = OrderRow { domain: "north".into(), version: 9, is_ordered: true };
//! orders.apply_changes(Moment::from_millis(2), &[row]);
//! let bound = Some(Duration::from_secs(5));
//! let phase = |now_ms| orders.phase(Moment::from_millis(now_ms), bound, &"north".into());
//! assert_eq!(phase(100), DomainPhase::Emptying);
//! assert_eq!(phase(4_000), DomainPhase::Closed);
//! ```

mod capacity;
mod orders;
mod pace;
mod phase;

pub use capacity::given_up;
pub use orders::{EvacOrder, EvacOrders, OrderChange, OrderRow};
pub use pace::{MoveProgress, next_moves};
pub use phase::DomainPhase;
