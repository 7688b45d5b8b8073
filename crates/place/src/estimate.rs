//! Expected course of a request at one upstream, and the ranking of candidates.

use crate::selector::{SelectionLimits, UpstreamCandidate};
use crate::state::{MeanWork, UpstreamState};
use kernel::Moment;
use std::time::Duration;

/// Fraction of the expected service time below which the time left makes an answer
/// hopeless; few requests take less than this fraction of the mean.
const MIN_SERVICE_FRACTION: f64 = 0.2;

/// Whether a candidate may be sent a request.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Judgment {
    /// No connection can be made to it at present; it is tried again after this time.
    Unreachable { backoff: Duration },
    /// It exceeds the limits by this time.
    NoRoom { excess_ms: f64 },
    /// It has room; the lowest score is the best.
    Room {
        score: f64,
        domain_cost_ms: f64,
        answer_ms: f64,
    },
}

/// The best candidate so far.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Ranking {
    /// Score, expected time to the answer in milliseconds, and index.
    pub best: Option<(f64, f64, usize)>,
    /// Least time by which a candidate exceeds the limits, in milliseconds.
    pub least_excess_ms: Option<f64>,
    /// Least time after which an unreachable candidate is tried again.
    pub least_backoff: Option<Duration>,
}

impl Ranking {
    /// Adds a candidate whose score counts `factor` times.
    pub(crate) fn add(&mut self, index: usize, judgment: Judgment, factor: f64) {
        match judgment {
            Judgment::Unreachable { backoff } => {
                let least = self.least_backoff.unwrap_or(Duration::MAX);
                self.least_backoff = Some(least.min(backoff));
            }
            Judgment::NoRoom { excess_ms } => {
                let least_ms = self.least_excess_ms.unwrap_or(f64::INFINITY);
                self.least_excess_ms = Some(least_ms.min(excess_ms));
            }
            Judgment::Room {
                score,
                domain_cost_ms,
                answer_ms,
            } => {
                let total = score * factor + domain_cost_ms;
                if self.best.is_none_or(|(best_score, ..)| total < best_score) {
                    self.best = Some((total, answer_ms, index));
                }
            }
        }
    }
}

/// Expected course of a request at one upstream, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LoadEstimate {
    /// Time in a slot.
    service: f64,
    /// Wait for a slot.
    wait: f64,
    /// Time for which the upstream is assumed to reject requests.
    full: f64,
    /// Time in which all slots together do the work that is there and the request's.
    backlog: f64,
}

impl LoadEstimate {
    pub(crate) fn new(
        now: Moment,
        state: &UpstreamState,
        candidate: &UpstreamCandidate,
        work: MeanWork,
    ) -> Self {
        let slots = f64::from(candidate.slots.max(1));
        let slowness = state.slowness(now, work.unit_ms, candidate.is_cold);
        let occupancy = state.occupancy(now, work, candidate.slots);
        let excess_occupancy = (occupancy + 1.0 - slots).max(0.0);
        // Before anything is measured the times are zero, so that only occupancy counts.
        let unit_ms = work.unit_ms.unwrap_or_default();
        // A momentary factor is in force for a part of a long time only.
        let paced_ms = |usual_ms: f64| usual_ms * state.pace_factor(now, usual_ms, slowness);
        Self {
            service: paced_ms(work.route_ms.unwrap_or_default() * slowness),
            wait: paced_ms(excess_occupancy / slots * unit_ms * slowness),
            full: if state.own_requests() >= candidate.max_requests {
                (unit_ms * slowness / slots).max(1.0)
            } else {
                to_ms(state.full_remaining(now))
            },
            backlog: paced_ms((occupancy + 1.0) / slots * work.unit_ms.unwrap_or(1.0) * slowness),
        }
    }

    /// Returns the expected time to the answer.
    pub(crate) fn answer_ms(&self) -> f64 {
        self.wait + self.service
    }

    /// Returns by how much the expected wait exceeds what the limits allow; 0 if the
    /// request may be sent.
    ///
    /// An answer that would miss the target without any wait is late in any case, so
    /// that only the deadline limits its wait.
    pub(crate) fn excess_ms(&self, limits: &SelectionLimits) -> f64 {
        let time_left_ms = to_ms(limits.time_left);
        let hopeless_ms = self.service * MIN_SERVICE_FRACTION - time_left_ms;
        if hopeless_ms > 0.0 {
            return hopeless_ms;
        }
        if self.full > 0.0 {
            return self.full;
        }
        if self.wait <= 0.0 {
            return 0.0;
        }
        let target_left_ms = to_ms(limits.target_left);
        let max_answer_ms = if self.service <= target_left_ms {
            target_left_ms.min(time_left_ms)
        } else {
            time_left_ms
        };
        (self.answer_ms() - max_answer_ms).max(0.0)
    }

    /// Returns the score, which is lowest for the best upstream: the time in which it
    /// would do the work that is there and the request's, and the time by which its
    /// answer would be late.
    ///
    /// Among upstreams that answer in time, this prefers the least used one and not the
    /// fastest, which would be used up by all hosts.
    pub(crate) fn score(&self, limits: &SelectionLimits) -> f64 {
        let late_ms = self.answer_ms() - to_ms(limits.target_left);
        self.backlog + late_ms.max(0.0)
    }
}

pub(crate) fn to_ms(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1_000.0
}
