//! Limit on the requests to a cold upstream.

use kernel::Moment;
use std::time::Duration;

/// Number of times that the key rate of an upstream doubles within the duration of a cold
/// start once it is warm; the last step gives it 16 times what it had while cold.
const WARM_DOUBLINGS: f64 = 4.0;

/// Limit on the requests that cold upstreams of a service receive from all hosts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdLimit {
    /// Requests a second that a cold upstream tolerates for long.
    pub per_second: f64,
    /// Factor by which requests may exceed that rate.
    pub over: f64,
    /// Number of requests beyond it in any one second.
    pub slack: f64,
    /// Time for which an upstream is cold after a start.
    pub start: Duration,
}

impl ColdLimit {
    /// Returns the number of requests that may arrive in any one second.
    pub fn burst(&self) -> u32 {
        // A float that is out of range saturates, and one that is no number yields 0.
        (self.per_second * self.over + self.slack).floor() as u32
    }

    /// Returns the requests a second that may be sent over longer periods.
    pub fn sustained(&self) -> f64 {
        self.per_second * self.over
    }

    /// Returns the rate of requests up to which an upstream is given keys, or `None` if
    /// its warmth does not limit it.
    ///
    /// `cold_until` is the end of a cold start that took place. Afterwards the rate rises
    /// step by step, as all balance would otherwise send it its full share at once.
    pub fn key_rate(&self, now: Moment, cold_until: Moment) -> Option<f64> {
        if now < cold_until {
            return Some(self.per_second);
        }
        let since = now - cold_until;
        if since >= self.start {
            return None;
        }
        let doublings = since.as_secs_f64() / self.start.as_secs_f64() * WARM_DOUBLINGS;
        Some(self.per_second * doublings.exp2())
    }
}
