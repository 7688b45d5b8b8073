//! Retries, at-most-once runs and quarantine.
//!
//! - [`RetryBudget`] bounds retries to a share of first tries, so that they
//!   can't multiply a flood;
//! - [`JournalEntry`] and [`decide_start`] decide whether a non-idempotent
//!   request may run, given what the journal holds under its idempotency key;
//! - [`QuarantineList`] keeps requests that crash upstreams away from further
//!   ones.
//!
//! ```
//! use kernel::Moment;
//! use retry::RetryBudget;
//!
//! let mut budget = RetryBudget::new(0.1, 2.0);
//! assert!(budget.try_spend() && budget.try_spend() && !budget.try_spend());
//! for _ in 0..10 {
//!     budget.record_first_attempt();
//! }
//! assert!(budget.try_spend());
//! ```

mod backoff;
mod budget;
mod journal;
mod quarantine;

pub use backoff::full_jitter;
pub use budget::RetryBudget;
pub use journal::{
    JournalEntry, JournalState, StartDecision, StoredAnswer, decide_start, journal_key,
};
pub use quarantine::{QuarantineList, fingerprint};
