//! Rates of a host's own requests to each upstream, against the life of its connections.

use indexmap::IndexMap;
use kernel::{Moment, UpstreamId};
use std::time::Duration;

/// Time over which a rate is measured, in lives of an idle connection: long enough that
/// a few requests at random do not pass for a high rate.
const WINDOW_LIVES: f64 = 4.0;
/// Age without a request at which a rate is forgotten, in windows.
const FORGET_WINDOWS: f64 = 8.0;

/// Measured rates of a host's requests, by upstream.
#[derive(Clone, Debug, Default)]
pub struct RequestRates {
    upstreams: IndexMap<UpstreamId, RequestRate>,
}

#[derive(Clone, Copy, Debug)]
struct RequestRate {
    /// Number of requests, each decaying with its age.
    count: f64,
    last_at: Moment,
    /// How long an idle connection to the upstream may be used.
    idle_life: Duration,
}

impl RequestRate {
    fn window(&self) -> f64 {
        self.idle_life.as_secs_f64() * WINDOW_LIVES
    }

    fn decayed_count(&self, now: Moment) -> f64 {
        let age = (now - self.last_at).as_secs_f64();
        self.count * (-age / self.window()).exp()
    }

    /// Returns the requests per second before the one that was recorded last. A host that
    /// has just started has seen a part of the window only, and takes the rate for lower.
    fn per_second(&self, now: Moment) -> f64 {
        (self.decayed_count(now) - 1.0).max(0.0) / self.window()
    }
}

impl RequestRates {
    /// Records that this host sends a request to an upstream, in any way; `idle_life` is
    /// how long an idle connection may be used if the upstream has not said so yet.
    pub fn record(&mut self, now: Moment, upstream: &UpstreamId, idle_life: Duration) {
        if let Some(rate) = self.upstreams.get_mut(upstream) {
            rate.count = rate.decayed_count(now) + 1.0;
            rate.last_at = now;
            return;
        }
        let rate = RequestRate {
            count: 1.0,
            last_at: now,
            idle_life: idle_life.max(Duration::from_millis(1)),
        };
        self.upstreams.insert(upstream.clone(), rate);
    }

    /// Sets how long an idle connection to an upstream may be used.
    pub fn set_idle_life(&mut self, upstream: &UpstreamId, idle_life: Duration) {
        if let Some(rate) = self.upstreams.get_mut(upstream) {
            rate.idle_life = idle_life.max(Duration::from_millis(1));
        }
    }

    /// Returns the probability that a connection which this host keeps for itself is used
    /// again within its idle life, and within `max_idle` if that is shorter.
    pub fn reuse_probability(
        &self,
        now: Moment,
        upstream: &UpstreamId,
        max_idle: Option<Duration>,
    ) -> f64 {
        let Some(rate) = self.upstreams.get(upstream) else {
            return 0.0;
        };
        let life = max_idle.map_or(rate.idle_life, |max| max.min(rate.idle_life));
        // Requests of many clients arrive independently of each other.
        1.0 - (-rate.per_second(now) * life.as_secs_f64()).exp()
    }

    /// Forgets upstreams for which `is_known` returns false, and those that were not used
    /// for a long time.
    pub fn prune(&mut self, now: Moment, is_known: impl Fn(&UpstreamId) -> bool) {
        self.upstreams.retain(|upstream, rate| {
            let age = (now - rate.last_at).as_secs_f64();
            age < rate.window() * FORGET_WINDOWS && is_known(upstream)
        });
    }
}
