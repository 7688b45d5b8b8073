//! What all hosts together have seen of the upstreams.
//!
//! Answers fleets in which one host sends an upstream a request every few seconds
//! only: too few to learn its speed from. The leader gathers what all hosts have
//! seen and tells them.

use crate::state::ObservedLoad;
use indexmap::IndexMap;
use kernel::{Moment, UpstreamId};
use std::time::Duration;

/// Requests after which older ones count half in the time in a slot.
const SERVICE_MEMORY: f64 = 12.0;
/// Difference from the usual time in a slot, as a part of it, from which hosts are
/// told of an upstream's.
const USUAL_RANGE: f64 = 0.15;
/// For which an upstream without reports is kept.
const NORM_KEPT: Duration = Duration::from_secs(30);

#[derive(Clone, Copy, Debug)]
struct NormState {
    heard_at: Moment,
    requests: u32,
    service_ms: f64,
}

/// What all hosts together have seen of the upstreams.
#[derive(Clone, Debug, Default)]
pub struct FleetLoads {
    upstreams: IndexMap<UpstreamId, NormState>,
}

impl FleetLoads {
    /// Takes in what one host has seen of an upstream.
    pub fn record(&mut self, now: Moment, id: &UpstreamId, seen: ObservedLoad) {
        let is_sound = seen.service_ms.is_finite() && seen.service_ms >= 0.0;
        if !is_sound || seen.requests == 0 {
            return;
        }
        let Some(state) = self.upstreams.get_mut(id) else {
            let state = NormState {
                heard_at: now,
                requests: seen.requests,
                service_ms: seen.service_ms,
            };
            self.upstreams.insert(id.clone(), state);
            return;
        };
        if seen.service_ms > 0.0 {
            let weight = 1.0 - 0.5_f64.powf(f64::from(seen.requests) / SERVICE_MEMORY);
            if state.service_ms <= 0.0 {
                state.service_ms = seen.service_ms;
            }
            state.service_ms += weight * (seen.service_ms - state.service_ms);
        }
        state.heard_at = now;
    }

    /// Returns the measured time in a slot, in milliseconds.
    pub fn service_ms(&self, id: &str) -> Option<f64> {
        let state = self.upstreams.get(id)?;
        (state.service_ms > 0.0).then_some(state.service_ms)
    }

    /// Returns the upstreams, heard of within `span`, whose time in a slot differs
    /// clearly from the usual one, and forgets those not heard of for long.
    pub fn outliers(&mut self, now: Moment, span: Duration) -> Vec<(UpstreamId, ObservedLoad)> {
        self.upstreams
            .retain(|_, state| now - state.heard_at < NORM_KEPT);
        let measured = self
            .upstreams
            .values()
            .filter(|state| state.service_ms > 0.0);
        let count = measured.clone().count().max(1) as f64;
        let usual = measured.map(|state| state.service_ms).sum::<f64>() / count;
        let is_unusual = |state: &NormState| {
            now - state.heard_at < span
                && state.service_ms > 0.0
                && (state.service_ms / usual - 1.0).abs() > USUAL_RANGE
        };
        let unusual = self.upstreams.iter().filter(|(_, state)| is_unusual(state));
        let loads = unusual.map(|(id, state)| {
            let load = ObservedLoad {
                requests: state.requests,
                service_ms: state.service_ms,
            };
            (id.clone(), load)
        });
        loads.collect()
    }
}
