//! Which upstream holds which keys, decided by one host at a time.
//!
//! One host, the *leader*, holds a lease in the store ([`LeaseRow`]) and is the
//! only one that grants keys. What it decides stands in an [`OwnerMap`], a row of
//! the store that is written before the first grant that follows from it; so a
//! later leader goes on from there and no epoch is used twice. The
//! [`GrantLedger`] is a state machine without I/O: it is told the time, the
//! upstreams and the replies, and returns what to write, grant and release.
//!
//! A key moves only after its last holder has answered a release, has ended, or
//! can't hold it any longer because every grant sent to it has lapsed.
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
mod lease;
mod ledger;
mod loads;
mod map;
mod timing;
mod wire;

pub use balance::OwnerCandidate;
pub use lease::{LeaderLease, LeaseClaimant, LeaseRow, PreviousTerm};
pub use ledger::{CallKind, CallReply, GrantCall, GrantLedger, LedgerStep};
pub use loads::KeyLoads;
pub use map::{Holder, OwnedRange, OwnerMap};
pub use timing::GrantTiming;
pub use wire::{OwnerRowError, WireOwners};

/// Number of keys that a divided service has.
pub const KEY_COUNT: u32 = 65_536;
