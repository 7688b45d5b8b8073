//! Retry budgets, the journal of non-idempotent requests and crash quarantine.
//!
//! - [`RetryBudget`] limits retries to a fraction of first attempts, so that they
//!   cannot multiply a flood;
//! - [`JournalEntry`] and [`decide_start`] decide whether a non-idempotent request
//!   may run, given the journal entry under its idempotency key;
//! - [`QuarantineList`] refuses requests that crash upstreams.
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
pub use quarantine::{QuarantineList, RequestFingerprint, fingerprint};
