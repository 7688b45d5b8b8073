//! Waits of the grants and of the leader's lease.

use std::time::Duration;

/// Share by which an upstream's clock may run slow, in percent; the platform's
/// contract says 2.
const SLOW_CLOCK_PERCENT: u32 = 2;
/// Allowance for a grant's way to the upstream; the bound on delivery within a
/// region, with a retransmission.
const DELIVERY_MARGIN: Duration = Duration::from_millis(300);

/// Waits of the grants and of the leader's lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GrantTiming {
    /// For which a grant holds; a silent loss of an upstream lasts this long.
    pub grant_duration: Duration,
    /// The same while the store is away, so that keys outlast most outages; after the
    /// loss of a leader, keys of silent upstreams wait for as long.
    pub extended_grant_duration: Duration,
    /// After which a grant is renewed; leaves time for two more tries.
    pub renew_interval: Duration,
    /// After which a call without an answer is given up.
    pub call_timeout: Duration,
    /// For which the leader's lease in the store holds.
    pub leader_lease: Duration,
    /// After which the leader's lease is renewed; a third of it.
    pub leader_renew_interval: Duration,
    /// Between two moves of keys for balance.
    pub rebalance_interval: Duration,
}

impl GrantTiming {
    /// Builds the waits for a platform that lets a grant hold for `most`.
    pub fn with_max_grant(most: Duration) -> Self {
        let preset = Self::default();
        Self {
            grant_duration: preset.grant_duration.min(most),
            extended_grant_duration: preset.extended_grant_duration.min(most),
            renew_interval: preset.renew_interval.min(most / 3),
            ..preset
        }
    }

    /// Returns how long after it was sent a grant of `duration` may be in force, if it
    /// arrives within the usual time.
    pub fn expiry_bound(duration: Duration) -> Duration {
        Self::expiry_bound_after_arrival(duration) + DELIVERY_MARGIN
    }

    /// Returns how long after its arrival a grant of `duration` may be in force.
    pub fn expiry_bound_after_arrival(duration: Duration) -> Duration {
        duration * (100 + SLOW_CLOCK_PERCENT) / 100
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
