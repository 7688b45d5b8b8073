//! Choice of an upstream for a request, and early refusal.
//!
//! A [`PlaceBook`] keeps what one host knows of the load of each upstream: its own
//! requests there, and what upstreams say of themselves in their answers. From
//! that it expects how long a request would take at each, chooses the least, and
//! refuses at once what could not be answered in time anywhere.
//!
//! ```
//! use kernel::Moment;
//! use place::{PlaceBook, Placement, WorkNeed};
//! use std::time::Duration;
//!
//! let mut book = PlaceBook::new(1);
//! let now = Moment::from_millis(1_000);
//! let need = WorkNeed { patience: Duration::from_millis(400), remote_cost: Duration::ZERO };
//! let here = [place::Choice { id: "i-1".into(), slots: 4, is_local: true, is_cold: false }];
//! assert!(matches!(book.choose(now, &here, &need), Placement::Send { .. }));
//! ```

mod book;
mod moves;
mod norms;
mod state;

pub use book::{Choice, PlaceBook, Placement, SentRequest, WorkNeed};
pub use moves::MoveWaits;
pub use norms::LoadNorms;
pub use state::{LoadReport, SeenLoad, WorkEnd};
