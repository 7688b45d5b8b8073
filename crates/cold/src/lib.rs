//! Budget of requests to cold upstreams, which all hosts share.
//!
//! An upstream that has just started tolerates only a few requests a second, from all
//! hosts together. The leader's [`TokenIssuer`] issues single-use tokens for it within a
//! [`ColdLimit`]; each host keeps those that it received in a [`TokenPool`] and sends
//! nothing to a cold upstream without one. [`ColdStates`] holds which upstreams were found
//! cold by other means than their entries.
//!
//! A token is valid for [`TOKEN_VALIDITY`] from the moment at which the host sent the
//! report that asked for it. As the leader issues it later than that, it is used within
//! that time of its issue, whatever the network or a suspended machine delays.
//!
//! ```
//! use cold::{ColdLimit, TokenIssuer, TokenPool, TokenWant, UpstreamRun, ISSUE_WINDOW};
//! use kernel::Moment;
//! use std::time::Duration;
//!
//! let limit = ColdLimit { per_second: 3.8, over: 1.5, slack: 8.0, start: Duration::from_secs(3) };
//! let run = UpstreamRun { upstream: 7, run: 1 };
//! let took_over_at = Moment::from_millis(1_000);
//! let mut issuer = TokenIssuer::default();
//! issuer.set_lease(took_over_at, 1, took_over_at + Duration::from_secs(9));
//! let now = took_over_at + ISSUE_WINDOW;
//! let mut pool = TokenPool::default();
//! pool.begin_wait(run, 0);
//! let wants = pool.wants(now);
//! pool.record_report(now);
//! let grants = issuer.issue(now, "front-1", &wants, |_| Some(limit));
//! pool.accept(now, now, &grants);
//! let token = pool.reserve(now, run, 0).expect("issued");
//! assert!(token.is_valid(now));
//! ```

mod issuer;
mod limit;
mod pool;
mod states;

pub use issuer::{ISSUE_WINDOW, TokenIssuer};
pub use limit::ColdLimit;
pub use pool::{HeldToken, TOKEN_VALIDITY, TokenPool};
pub use states::{ColdSource, ColdStates};

/// One run of an upstream, in the few bytes that messages have for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct UpstreamRun {
    /// Hash of the upstream's id.
    pub upstream: u32,
    /// Low bits of the start time of the run.
    pub run: u32,
}

/// Tokens that a host wants for requests of one rank.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TokenWant {
    /// The run that the requests are for.
    pub run: UpstreamRun,
    /// Rank of the requests; 0 is the most urgent.
    pub rank: u32,
    /// Number of requests that wait for a token.
    pub count: u32,
}

/// Tokens for one run, as the leader issues them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TokenGrant {
    /// The run that the tokens are for.
    pub run: UpstreamRun,
    /// Number of tokens.
    pub count: u32,
}
