//! Limit on the requests that a stopping host still passes on.

use kernel::{Cause, Moment, Refusal};
use parking_lot::Mutex;
use std::time::Duration;

/// Time after which a client should retry that a stopping host refused; the load
/// balancer connects it to another host.
pub(crate) const STOPPING_RETRY_AFTER: Duration = Duration::from_millis(50);
/// Part of the time until the end of the stop that an answer may be expected to take. A
/// request that is refused runs at another host, while one that is cut may have run.
const USABLE_FRACTION: f64 = 0.5;

/// Refuses requests whose answers a stopping host could not deliver.
#[derive(Debug, Default)]
pub(crate) struct StopLimit {
    /// Time by which answers must have arrived, once the host stops.
    until: Mutex<Option<Moment>>,
}

impl StopLimit {
    /// Requires all answers to arrive by `until`.
    pub(crate) fn begin(&self, until: Moment) {
        *self.until.lock() = Some(until);
    }

    /// Returns the time left for a request, which is less than until its deadline if the
    /// host ends before.
    pub(crate) fn time_left(&self, now: Moment, deadline: Moment) -> Duration {
        let until = self.until.lock().unwrap_or(deadline);
        deadline.min(until) - now
    }

    /// Returns the refusal of a request that is `expected` to take so long, if the host
    /// ends before or soon after.
    pub(crate) fn refusal(&self, now: Moment, expected: Duration) -> Option<Refusal> {
        let until = (*self.until.lock())?;
        let usable = (until - now).mul_f64(USABLE_FRACTION);
        let refusal = Refusal::new(Cause::HostStopping).with_retry_after(STOPPING_RETRY_AFTER);
        (expected >= usable).then_some(refusal)
    }
}
