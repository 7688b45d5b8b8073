//! Durations and timeouts of the grants and of the leader's lease.

use std::time::Duration;

/// Maximum rate by which an upstream's clock may run slow, in percent; the platform
/// contract specifies 2.
const MAX_CLOCK_LAG_PERCENT: u32 = 2;
/// Maximum time for a grant to reach its upstream: the bound on delivery within a
/// region, including one retransmission.
const MAX_DELIVERY: Duration = Duration::from_millis(300);

/// Durations and timeouts of the grants and of the leader's lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GrantTiming {
    /// Validity of a grant; keys of an upstream that fails silently are not served for
    /// this long.
    pub grant_duration: Duration,
    /// Validity of a grant while the store is unavailable, so that grants outlast most
    /// outages. After the loss of a leader, keys of silent upstreams are not served for
    /// this long.
    pub extended_grant_duration: Duration,
    /// Interval between renewals of a grant; leaves time for two more attempts.
    pub renew_interval: Duration,
    /// Time after which an unanswered call is abandoned.
    pub call_timeout: Duration,
    /// Validity of the leader's lease in the store.
    pub leader_lease: Duration,
    /// Interval between renewals of the leader's lease; about a third of its validity.
    pub leader_renew_interval: Duration,
    /// Interval between moves of keys that even out the load.
    pub rebalance_interval: Duration,
}

impl GrantTiming {
    /// Builds the timing for a platform that limits grants to `max_grant`.
    pub fn with_max_grant(max_grant: Duration) -> Self {
        let defaults = Self::default();
        Self {
            grant_duration: defaults.grant_duration.min(max_grant),
            extended_grant_duration: defaults.extended_grant_duration.min(max_grant),
            renew_interval: defaults.renew_interval.min(max_grant / 3),
            ..defaults
        }
    }

    /// Returns how long any grant of a leader may be in force after its lease has ended.
    pub fn max_validity(&self) -> Duration {
        self.call_timeout + Self::expiry_bound(self.extended_grant_duration)
    }

    /// Returns how long a grant of `duration` may be in force after it was sent, if it
    /// is delivered within the usual time.
    pub fn expiry_bound(duration: Duration) -> Duration {
        Self::expiry_bound_after_arrival(duration) + MAX_DELIVERY
    }

    /// Returns how long a grant of `duration` may be in force after its arrival.
    pub fn expiry_bound_after_arrival(duration: Duration) -> Duration {
        duration * (100 + MAX_CLOCK_LAG_PERCENT) / 100
    }
}

impl Default for GrantTiming {
    fn default() -> Self {
        Self {
            grant_duration: Duration::from_secs(3),
            extended_grant_duration: Duration::from_secs(6),
            renew_interval: Duration::from_millis(900),
            call_timeout: Duration::from_millis(500),
            leader_lease: Duration::from_millis(1_600),
            leader_renew_interval: Duration::from_millis(450),
            rebalance_interval: Duration::from_millis(700),
        }
    }
}
