//! Loads of all upstreams, and the selection among them.
//!
//! When nearly all slots of a service are in use, requests go to the upstream that is
//! expected to answer first, and a request that would miss its target at every upstream
//! is refused at once, so that admitted requests are answered in time.

use crate::state::{LoadReport, ObservedLoad, RequestOutcome, SentState, UpstreamState};
use indexmap::IndexMap;
use kernel::{Moment, UpstreamId};
use std::time::Duration;

/// Weight of an upstream's slot occupancy in the score, as a fraction of the service
/// time.
const OCCUPANCY_WEIGHT: f64 = 0.2;
/// Minimum time after which a refused client is told to retry.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// An upstream that may run a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamCandidate {
    /// The upstream.
    pub id: UpstreamId,
    /// Its number of slots.
    pub slots: u32,
    /// Whether it is in this host's failure domain.
    pub is_local: bool,
    /// Whether it is still slow after its start.
    pub is_cold: bool,
}

/// Limits on the selection for one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SelectionLimits {
    /// Maximum expected time to the answer for which a request is sent.
    pub max_wait: Duration,
    /// Cost of sending to another failure domain, as time.
    pub cross_domain_cost: Duration,
}

/// Result of a selection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Selection {
    /// Send the request to this upstream.
    Send {
        /// The upstream.
        id: UpstreamId,
        /// Expected time to the answer.
        expected: Duration,
    },
    /// Refuse the request; a slot may be free after this time.
    Refuse {
        /// Time after which a slot may be free.
        retry_after: Duration,
    },
    /// No candidate can be reached at present.
    Unreachable,
}

/// Loads of all upstreams as one host knows them.
#[derive(Debug)]
pub struct UpstreamSelector {
    upstreams: IndexMap<UpstreamId, UpstreamState>,
    rng: fastrand::Rng,
}

/// A request that was sent to an upstream.
#[derive(Clone, Debug)]
pub struct SentRequest {
    id: UpstreamId,
    sent: SentState,
}

impl UpstreamSelector {
    /// Creates an empty selector; `seed` is for random choices between equal candidates
    /// and for spreading retries.
    pub fn new(seed: u64) -> Self {
        Self {
            upstreams: IndexMap::new(),
            rng: fastrand::Rng::with_seed(seed),
        }
    }

    /// Removes upstreams for which `is_known` returns false and that have no requests
    /// in flight.
    pub fn retain(&mut self, is_known: impl Fn(&UpstreamId) -> bool) {
        self.upstreams
            .retain(|id, state| state.own_requests() > 0 || is_known(id));
    }

    /// Returns the observations of each upstream since the last call.
    pub fn drain_observations(&mut self) -> Vec<(UpstreamId, ObservedLoad)> {
        let mut observations = Vec::new();
        for (id, state) in &mut self.upstreams {
            if let Some(load) = state.drain_observations() {
                observations.push((id.clone(), load));
            }
        }
        observations
    }

    /// Returns up to `max_count` upstreams to probe now: those that are in backoff
    /// after failed connections although requests would have been sent to them.
    ///
    /// Needed when a partition heals: the holder of a key has no substitute, and
    /// without a probe the backoff would outlast the partition by seconds.
    pub fn drain_probes(&mut self, now: Moment, max_count: usize) -> Vec<UpstreamId> {
        let due = self
            .upstreams
            .iter_mut()
            .filter_map(|(id, state)| state.start_probe(now).then(|| id.clone()));
        due.take(max_count).collect()
    }

    /// Records that a connection to an upstream could be made.
    pub fn record_reachable(&mut self, id: &UpstreamId) {
        if let Some(state) = self.upstreams.get_mut(id) {
            state.record_reachable();
        }
    }

    /// Sets the load of an upstream as observed by all hosts together.
    pub fn set_fleet_load(&mut self, now: Moment, id: &UpstreamId, fleet_load: ObservedLoad) {
        self.upstreams
            .entry(id.clone())
            .or_default()
            .set_fleet_load(now, fleet_load);
    }

    /// Selects the upstream for a request.
    pub fn choose(
        &mut self,
        now: Moment,
        candidates: &[UpstreamCandidate],
        limits: &SelectionLimits,
    ) -> Selection {
        let mut best: Option<(f64, f64, usize)> = None;
        let mut is_any_reachable = false;
        let offset = if candidates.is_empty() {
            0
        } else {
            self.rng.usize(..candidates.len())
        };
        for step in 0..candidates.len() {
            let index = (offset + step) % candidates.len();
            let candidate = &candidates[index];
            let state = self.upstreams.entry(candidate.id.clone()).or_default();
            if state.is_in_backoff(now) {
                state.record_wanted();
                continue;
            }
            is_any_reachable = true;
            if state.is_full(now) && candidates.len() > 1 {
                continue;
            }
            let service_ms = if candidates.len() == 1 {
                state.sole_service_ms(now, candidate.is_cold)
            } else {
                state.expected_service_ms(candidate.is_cold)
            };
            let slots = f64::from(candidate.slots.max(1));
            let occupancy = state.occupancy(now);
            let excess_occupancy = (occupancy + 1.0 - slots).max(0.0);
            let expected_ms = service_ms * (1.0 + excess_occupancy / slots);
            let domain_cost_ms = if candidate.is_local {
                0.0
            } else {
                limits.cross_domain_cost.as_secs_f64() * 1_000.0
            };
            // Below full occupancy, prefers the less occupied upstream, which leaves
            // room for later requests.
            let occupancy_ratio = occupancy / slots;
            let score = (expected_ms + OCCUPANCY_WEIGHT * service_ms * occupancy_ratio)
                * state.avoidance()
                + domain_cost_ms;
            if best.is_none_or(|(best_score, ..)| score < best_score) {
                best = Some((score, expected_ms, index));
            }
        }
        let Some((_, expected_ms, index)) = best else {
            if is_any_reachable {
                return Selection::Refuse {
                    retry_after: MIN_RETRY_AFTER * 2,
                };
            }
            return Selection::Unreachable;
        };
        let expected = Duration::from_secs_f64(expected_ms / 1_000.0);
        if expected > limits.max_wait {
            let excess = expected
                .checked_sub(limits.max_wait)
                .unwrap()
                .max(MIN_RETRY_AFTER);
            let spread = excess.mul_f64(0.5 * self.rng.f64());
            return Selection::Refuse {
                retry_after: excess + spread,
            };
        }
        Selection::Send {
            id: candidates[index].id.clone(),
            expected,
        }
    }

    /// Records that a request is sent to an upstream.
    pub fn record_sent(&mut self, now: Moment, id: &UpstreamId, slots: u32) -> SentRequest {
        let state = self.upstreams.entry(id.clone()).or_default();
        let sent = SentState {
            sent_at: now,
            occupancy: state.occupancy(now),
            slots,
        };
        state.record_sent();
        SentRequest {
            id: id.clone(),
            sent,
        }
    }

    /// Records how a request ended, with the load that the answer reported.
    pub fn record_outcome(
        &mut self,
        now: Moment,
        request: &SentRequest,
        outcome: RequestOutcome,
        report: Option<LoadReport>,
    ) {
        if let Some(state) = self.upstreams.get_mut(&request.id) {
            state.record_outcome(now, outcome, request.sent, report);
        }
    }
}
