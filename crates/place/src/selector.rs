//! The loads of all upstreams, and the choice among them.
//!
//! Answers loads at which a service's slots are about to be all in use: requests
//! go where they are expected to end first, and one that would miss its target
//! everywhere is refused at once, so that what is taken in is answered in time.

use crate::state::{LoadReport, ObservedLoad, RequestOutcome, SentWork, UpstreamState};
use indexmap::IndexMap;
use kernel::{Moment, UpstreamId};
use std::time::Duration;

/// How much an upstream's use below its slots counts, as part of a time in a slot.
const CROWD_WEIGHT: f64 = 0.2;
/// Shortest time after which a refused client is asked to come back.
const LEAST_RETRY: Duration = Duration::from_millis(50);

/// An upstream that may run a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamCandidate {
    /// The upstream.
    pub id: UpstreamId,
    /// Its slots.
    pub slots: u32,
    /// Whether it is in this host's failure domain.
    pub is_local: bool,
    /// Whether it is slow after its start.
    pub is_cold: bool,
}

/// What a request needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SelectionLimits {
    /// Longest time until its answer for which it is worth sending.
    pub max_wait: Duration,
    /// What another failure domain costs, as time.
    pub cross_domain_cost: Duration,
}

/// Where a request goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Placement {
    /// To this upstream.
    Send {
        /// The upstream.
        id: UpstreamId,
        /// How long it is expected to take.
        expected: Duration,
    },
    /// Nowhere; there may be room after this time.
    Refuse {
        /// When there may be room.
        retry_after: Duration,
    },
    /// Nowhere; no upstream can be reached at present.
    Unreachable,
}

/// The load of all upstreams as one host knows it.
#[derive(Debug)]
pub struct UpstreamSelector {
    upstreams: IndexMap<UpstreamId, UpstreamState>,
    rng: fastrand::Rng,
}

/// A request that was sent to an upstream.
#[derive(Clone, Debug)]
pub struct SentRequest {
    id: UpstreamId,
    sent: SentWork,
}

impl UpstreamSelector {
    /// Builds an empty book; `seed` decides between equals.
    pub fn new(seed: u64) -> Self {
        Self {
            upstreams: IndexMap::new(),
            rng: fastrand::Rng::with_seed(seed),
        }
    }

    /// Forgets upstreams of which `is_known` does not hold and nothing is under way.
    pub fn retain(&mut self, is_known: impl Fn(&UpstreamId) -> bool) {
        self.upstreams
            .retain(|id, state| state.own() > 0 || is_known(id));
    }

    /// Returns what was seen of each upstream since the last call.
    pub fn drain_observations(&mut self) -> Vec<(UpstreamId, ObservedLoad)> {
        let mut seen = Vec::new();
        for (id, state) in &mut self.upstreams {
            if let Some(load) = state.drain_observations() {
                seen.push((id.clone(), load));
            }
        }
        seen
    }

    /// Returns up to `most` upstreams to try to reach now: those that are paused after
    /// failed connections though requests want them.
    ///
    /// Answers partitions that heal: the holder of a key has no stand-in, and without
    /// a try the pause would outlast the partition by seconds.
    pub fn drain_probes(&mut self, now: Moment, most: usize) -> Vec<UpstreamId> {
        let due = self
            .upstreams
            .iter_mut()
            .filter_map(|(id, state)| state.take_probe(now).then(|| id.clone()));
        due.take(most).collect()
    }

    /// Notes that a connection to an upstream could be made.
    pub fn record_reachable(&mut self, id: &UpstreamId) {
        if let Some(state) = self.upstreams.get_mut(id) {
            state.record_reachable();
        }
    }

    /// Takes in what all hosts together have seen of an upstream.
    pub fn set_fleet_load(&mut self, now: Moment, id: &UpstreamId, norm: ObservedLoad) {
        self.upstreams
            .entry(id.clone())
            .or_default()
            .set_fleet_load(now, norm);
    }

    /// Chooses the upstream for a request.
    pub fn choose(
        &mut self,
        now: Moment,
        choices: &[UpstreamCandidate],
        need: &SelectionLimits,
    ) -> Placement {
        let mut best: Option<(f64, f64, usize)> = None;
        let mut is_any_reached = false;
        let offset = if choices.is_empty() {
            0
        } else {
            self.rng.usize(..choices.len())
        };
        for step in 0..choices.len() {
            let index = (offset + step) % choices.len();
            let choice = &choices[index];
            let state = self.upstreams.entry(choice.id.clone()).or_default();
            if state.is_paused(now) {
                state.note_wanted();
                continue;
            }
            is_any_reached = true;
            if state.is_full(now) && choices.len() > 1 {
                continue;
            }
            let service_ms = if choices.len() == 1 {
                state.sole_service_ms(now, choice.is_cold)
            } else {
                state.expected_service_ms(choice.is_cold)
            };
            let slots = f64::from(choice.slots.max(1));
            let occupancy = state.occupancy(now);
            let ahead = (occupancy + 1.0 - slots).max(0.0);
            let expected_ms = service_ms * (1.0 + ahead / slots);
            let remote_ms = if choice.is_local {
                0.0
            } else {
                need.cross_domain_cost.as_secs_f64() * 1_000.0
            };
            // Below full use, the less occupied one leaves room for what comes next.
            let crowd = occupancy / slots;
            let score =
                (expected_ms + CROWD_WEIGHT * service_ms * crowd) * state.avoidance() + remote_ms;
            if best.is_none_or(|(least, ..)| score < least) {
                best = Some((score, expected_ms, index));
            }
        }
        let Some((_, expected_ms, index)) = best else {
            if is_any_reached {
                return Placement::Refuse {
                    retry_after: LEAST_RETRY * 2,
                };
            }
            return Placement::Unreachable;
        };
        let expected = Duration::from_secs_f64(expected_ms / 1_000.0);
        if expected > need.max_wait {
            let excess = expected
                .checked_sub(need.max_wait)
                .unwrap()
                .max(LEAST_RETRY);
            let spread = excess.mul_f64(0.5 * self.rng.f64());
            return Placement::Refuse {
                retry_after: excess + spread,
            };
        }
        Placement::Send {
            id: choices[index].id.clone(),
            expected,
        }
    }

    /// Notes that a request is sent to an upstream.
    pub fn begin(&mut self, now: Moment, id: &UpstreamId, slots: u32) -> SentRequest {
        let state = self.upstreams.entry(id.clone()).or_default();
        let sent = SentWork {
            at: now,
            occupancy: state.occupancy(now),
            slots,
        };
        state.begin();
        SentRequest {
            id: id.clone(),
            sent,
        }
    }

    /// Notes how a request ended.
    pub fn end(
        &mut self,
        now: Moment,
        request: &SentRequest,
        end: RequestOutcome,
        report: Option<LoadReport>,
    ) {
        if let Some(state) = self.upstreams.get_mut(&request.id) {
            state.end(now, end, request.sent, report);
        }
    }
}
