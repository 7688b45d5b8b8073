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
    pub hold: Duration,
    /// The same while the store is away, so that keys outlast most outages; after the
    /// loss of a leader, keys of silent upstreams wait for as long.
    pub long_hold: Duration,
    /// After which a grant is renewed; leaves time for two more tries.
    pub renew: Duration,
    /// After which a call without an answer is given up.
    pub call_limit: Duration,
    /// For which the leader's lease in the store holds.
    pub lease: Duration,
    /// After which the leader's lease is renewed; a third of it.
    pub lease_renew: Duration,
    /// Between two moves of keys for balance.
    pub balance_pause: Duration,
}

impl GrantTiming {
    /// Builds the waits for a platform that lets a grant hold for `most`.
    pub fn with_longest_hold(most: Duration) -> Self {
        let preset = Self::default();
        Self {
            hold: preset.hold.min(most),
            long_hold: preset.long_hold.min(most),
            renew: preset.renew.min(most / 3),
            ..preset
        }
    }

    /// Returns how long after it was sent a grant of `hold` may be in force, if it
    /// arrives within the usual time.
    pub fn bound(hold: Duration) -> Duration {
        Self::hold_bound(hold) + DELIVERY_MARGIN
    }

    /// Returns how long after its arrival a grant of `hold` may be in force.
    pub fn hold_bound(hold: Duration) -> Duration {
        hold * (100 + SLOW_CLOCK_PERCENT) / 100
    }
}

impl Default for GrantTiming {
    fn default() -> Self {
        Self {
            hold: Duration::from_secs(3),
            long_hold: Duration::from_secs(6),
            renew: Duration::from_millis(900),
            call_limit: Duration::from_millis(500),
            lease: Duration::from_millis(1_600),
            lease_renew: Duration::from_millis(450),
            balance_pause: Duration::from_millis(700),
        }
    }
}
