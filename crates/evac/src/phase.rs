//! Whether the upstreams of a failure domain may be used.

use crate::{EvacOrder, EvacOrders};
use kernel::{DomainName, Moment};
use std::time::Duration;

/// Fraction of the bound for which the holder of a key in an evacuated domain is still
/// used. The rest covers a host that learns late: it follows the store itself after 0.55
/// of the drain bound, and a paused host counts as connected 3 s after it resumes.
const HOLDER_USE_FRACTION: f64 = 0.55;
/// Fraction of the bound within which all ranges are to be moved. A change of leader
/// takes about 2 s, and must still fit.
const MOVE_FRACTION: f64 = 0.5;

/// How the upstreams of a failure domain may be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DomainPhase {
    /// All requests may be sent there.
    Serving,
    /// Only requests whose key is held there may be sent there.
    Emptying,
    /// No request may be sent there.
    Closed,
}

impl DomainPhase {
    /// Returns whether an upstream may be selected for requests without a key.
    pub fn accepts_keyless(self) -> bool {
        self == Self::Serving
    }

    /// Returns whether the holder of a key may be sent requests for it.
    pub fn accepts_keyed(self) -> bool {
        self != Self::Closed
    }
}

impl EvacOrder {
    /// Returns the time by which holders in the domain are to have given up their keys.
    ///
    /// If the order may be of any age, nobody uses the domain any more, so that spreading
    /// the moves over time would only leave keys unserved for longer.
    pub fn moves_end(&self, bound: Duration) -> Moment {
        let spread_end = |ordered_at| ordered_at + bound.mul_f64(MOVE_FRACTION);
        self.ordered_at.map_or(self.learned_at, spread_end)
    }
}

impl EvacOrders {
    /// Returns the phase that a domain is in; without a bound, orders have no effect.
    pub fn phase(&self, now: Moment, bound: Option<Duration>, domain: &DomainName) -> DomainPhase {
        let (Some(bound), Some(order)) = (bound, self.get(domain)) else {
            return DomainPhase::Serving;
        };
        let use_duration = bound.mul_f64(HOLDER_USE_FRACTION);
        match order.ordered_at {
            Some(ordered_at) if now < ordered_at + use_duration => DomainPhase::Emptying,
            _ => DomainPhase::Closed,
        }
    }

    /// Returns the time by which holders in a domain are to have given up their keys;
    /// `None` if they may keep them.
    pub fn moves_end(&self, bound: Option<Duration>, domain: &DomainName) -> Option<Moment> {
        Some(self.get(domain)?.moves_end(bound?))
    }
}
