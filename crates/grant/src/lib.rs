//! Assignment of keys to upstreams, decided by an elected leader.
//!
//! One host, the *leader*, holds a lease in the store ([`LeaseRow`]) and is the only
//! host that grants keys. Its decisions are kept in an [`OwnerMap`], a row of the store
//! that is written before any grant that depends on it, so that the next leader
//! continues from it and no epoch is used twice. The [`GrantLedger`] is a state machine
//! without I/O: its inputs are the time, the upstreams and their replies; it returns
//! the row to write and the grants and releases to send.
//!
//! A key moves only after its previous holder has answered a release, has ended, or can
//! no longer hold the key because every grant sent to it has lapsed.
//!
//! ```
//! use grant::{GrantLedger, GrantTiming, KeyLoads, OwnerMap, OwnerCandidate, PreviousTerm};
//! use kernel::Moment;
//!
//! let mut ledger = GrantLedger::new(GrantTiming::default(), 1);
//! ledger.adopt(Moment::from_millis(1), OwnerMap::default(), PreviousTerm::default());
//! let candidates = [OwnerCandidate::new("i-1", 7, 4.0), OwnerCandidate::new("i-2", 9, 4.0)];
//! let step = ledger.step(Moment::from_millis(2), &candidates, &KeyLoads::default());
//! let planned = step.commit.unwrap();
//! assert_eq!(planned.ranges.len(), 2);
//! assert!(planned.ranges.iter().all(|range| !range.is_granted));
//! ```

mod balance;
mod call_limit;
mod evacuation;
mod fences;
mod floor;
mod lease;
mod ledger;
mod loads;
mod map;
mod restore;
mod timing;
mod wire;

pub use balance::OwnerCandidate;
pub use floor::{TermFloor, term_of};
pub use lease::{LeaderLease, LeaseClaimant, LeaseRow, PreviousTerm};
pub use ledger::{CallKind, CallReply, GrantCall, GrantLedger, LedgerStep};
pub use loads::{KeyCounts, KeyLoads};
pub use map::{Holder, OwnedRange, OwnerMap};
pub use restore::{FoundOwners, RestoreGuard};
pub use timing::GrantTiming;
pub use wire::{OwnerRowError, WireOwners};

/// Number of keys of a sharded service.
pub const KEY_COUNT: u32 = 65_536;
