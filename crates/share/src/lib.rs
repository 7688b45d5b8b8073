//! Shares of admitted requests by service and rank, when capacity is short.
//!
//! Hosts count the work that clients offer in a [`DemandCounter`]. The leader adds the
//! reports of all hosts up in a [`ShareLedger`], which knows what each service can do and
//! works out which fraction of each rank fits, most urgent first. Every host applies these
//! fractions in a [`ShareGate`], so that all refuse the same fraction of the same rank.
//!
//! ```
//! use share::{RankDemand, rank_fractions};
//!
//! let demand = [RankDemand { rank: 0, rate: 6.0 }, RankDemand { rank: 1, rate: 6.0 }];
//! let fractions = rank_fractions(&demand, 9.0);
//! assert_eq!(fractions[0], 1.0);
//! assert!((fractions[1] - 0.5).abs() < 1e-9);
//! ```

mod demand;
mod fractions;
mod gate;
mod ledger;
mod returns;

pub use demand::{DemandCounter, DemandReport, RankWork, WorkOutcome, WorkSum};
pub use fractions::{RankDemand, RankShare, rank_fractions, share_at_upstream};
pub use gate::{GateDecision, GateRequest, ShareGate};
pub use ledger::{ServiceCapacity, ServiceShares, ShareLedger};
pub use returns::{ReturnPlan, ReturnPoint};
