//! Loads of the upstreams, gathered by the leader from all hosts.
//!
//! In some fleets a host sends an upstream a request only every few seconds, too few to
//! measure the upstream's speed. The leader therefore gathers the observations of all
//! hosts and sends them the result.

use crate::state::ObservedLoad;
use indexmap::IndexMap;
use kernel::{Moment, UpstreamId};
use std::time::Duration;

/// Number of requests after which older ones count half in the slowness.
const SLOWNESS_HALF_LIFE_REQUESTS: f64 = 12.0;
/// Relative difference from the mean slowness above which hosts are told an upstream's
/// slowness.
const OUTLIER_DEVIATION: f64 = 0.15;
/// Time for which an upstream without reports is kept.
const RETENTION: Duration = Duration::from_secs(30);

#[derive(Clone, Copy, Debug)]
struct ServiceState {
    observed_at: Moment,
    requests: u32,
    slowness: f64,
}

/// Loads of the upstreams, gathered by the leader from all hosts.
#[derive(Clone, Debug, Default)]
pub struct FleetLoads {
    upstreams: IndexMap<UpstreamId, ServiceState>,
}

impl FleetLoads {
    /// Records what one host has observed of an upstream.
    pub fn record(&mut self, now: Moment, id: &UpstreamId, observed: ObservedLoad) {
        let is_valid = observed.slowness.is_finite() && observed.slowness >= 0.0;
        if !is_valid || observed.requests == 0 {
            return;
        }
        let Some(state) = self.upstreams.get_mut(id) else {
            let state = ServiceState {
                observed_at: now,
                requests: observed.requests,
                slowness: observed.slowness,
            };
            self.upstreams.insert(id.clone(), state);
            return;
        };
        if observed.slowness > 0.0 {
            let weight =
                1.0 - 0.5_f64.powf(f64::from(observed.requests) / SLOWNESS_HALF_LIFE_REQUESTS);
            if state.slowness <= 0.0 {
                state.slowness = observed.slowness;
            }
            state.slowness += weight * (observed.slowness - state.slowness);
        }
        state.requests = observed.requests;
        state.observed_at = now;
    }

    /// Returns the measured service time relative to that of all upstreams.
    pub fn slowness(&self, id: &str) -> Option<f64> {
        let state = self.upstreams.get(id)?;
        (state.slowness > 0.0).then_some(state.slowness)
    }

    /// Returns the upstreams with an observation within the last `max_age` whose
    /// slowness clearly differs from the mean, and removes those without an
    /// observation for long.
    pub fn outliers(&mut self, now: Moment, max_age: Duration) -> Vec<(UpstreamId, ObservedLoad)> {
        self.upstreams
            .retain(|_, state| now - state.observed_at < RETENTION);
        let measured = self.upstreams.values().filter(|state| state.slowness > 0.0);
        let count = measured.clone().count().max(1) as f64;
        let mean = measured.map(|state| state.slowness).sum::<f64>() / count;
        let is_outlier = |state: &ServiceState| {
            now - state.observed_at < max_age
                && state.slowness > 0.0
                && (state.slowness / mean - 1.0).abs() > OUTLIER_DEVIATION
        };
        let outliers = self.upstreams.iter().filter(|(_, state)| is_outlier(state));
        let loads = outliers.map(|(id, state)| {
            let load = ObservedLoad {
                requests: state.requests,
                slowness: state.slowness,
            };
            (id.clone(), load)
        });
        loads.collect()
    }
}
