//! Loads of all upstreams, and the selection among them.
//!
//! When nearly all slots of a service are in use, requests go to the upstream that is
//! expected to answer first, and a request that would wait too long for a slot at every
//! upstream is refused at once, so that admitted requests are answered in time. A
//! request for which a slot is free is never refused for load: if the estimate is wrong,
//! its answer corrects it.

use crate::estimate::{Judgment, LoadEstimate, Ranking, to_ms};
use crate::state::{
    FleetLoad, LoadReport, MeanWork, ObservedLoad, RequestOutcome, SentState, UpstreamState,
};
use crate::work::{RequestWork, WorkTimes};
use indexmap::IndexMap;
use kernel::{Moment, ServiceName, UpstreamId};
use std::time::Duration;

/// Number of upstreams without a recent report that are compared in each failure domain
/// for one request. Comparing all would send the requests of all hosts to the same fast
/// upstreams.
const SAMPLE_COUNT: usize = 2;
/// Factor by which the score of a sampled upstream must be lower than that of the one
/// drawn before it. Taking the faster of two usual upstreams would overload the fast
/// ones; one that is slow or fails is avoided all the same.
const RESAMPLE_FACTOR: f64 = 2.0;

/// Number of further upstreams that are considered if none of those compared has room.
/// Looking for the last one with room would send the requests of all hosts there.
const FALLBACK_COUNT: usize = 2;

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
    /// Maximum number of requests that this host may have there at a time.
    pub max_requests: u32,
}

/// Limits on the selection for one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SelectionLimits {
    /// Time left in which an answer has its full value.
    pub target_left: Duration,
    /// Time left until the request is abandoned.
    pub time_left: Duration,
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
        /// Expected time to the answer; zero before any answer has been measured.
        expected: Duration,
    },
    /// Refuse the request; a slot may be free after this time.
    Refuse {
        /// Time after which a slot may be free.
        retry_after: Duration,
    },
    /// No candidate can be reached at present; one is tried again after this time.
    Unreachable {
        /// Time after which a candidate is tried again.
        retry_after: Duration,
    },
}

/// Loads of all upstreams as one host knows them.
#[derive(Debug)]
pub struct UpstreamSelector {
    upstreams: IndexMap<UpstreamId, UpstreamState>,
    work_times: WorkTimes,
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
            work_times: WorkTimes::default(),
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
    pub fn set_fleet_load(&mut self, now: Moment, id: &UpstreamId, fleet_load: FleetLoad) {
        self.upstreams
            .entry(id.clone())
            .or_default()
            .set_fleet_load(now, fleet_load);
    }

    /// Selects the upstream for a request.
    pub fn choose(
        &mut self,
        now: Moment,
        work: RequestWork<'_>,
        candidates: &[UpstreamCandidate],
        limits: &SelectionLimits,
    ) -> Selection {
        self.choose_ranked(now, work, candidates, limits, |share| share)
    }

    /// Selects the upstream for a request. `own_share` returns the fraction of the requests
    /// of its rank that an upstream with room for a fraction of all its requests admits.
    pub fn choose_ranked(
        &mut self,
        now: Moment,
        work: RequestWork<'_>,
        candidates: &[UpstreamCandidate],
        limits: &SelectionLimits,
        own_share: impl Fn(f64) -> f64,
    ) -> Selection {
        let mut mean_work = self.mean_work(now, work);
        if let [sole] = candidates {
            // Other upstreams tell nothing about the one that holds a key.
            mean_work.occupancy_ratio = 0.0;
            if let Some(retry_after) = self.refuse_share(now, sole, limits, own_share) {
                return Selection::Refuse { retry_after };
            }
        }
        let mut ranking = Ranking::default();
        let mut unsampled = Vec::new();
        for (index, factor) in self.compared_candidates(now, candidates, mean_work, &mut unsampled)
        {
            let judged = self.judge(now, &candidates[index], mean_work, limits);
            ranking.add(index, judged, factor);
        }
        for index in unsampled.into_iter().take(FALLBACK_COUNT) {
            if ranking.best.is_some() {
                break;
            }
            let judged = self.judge(now, &candidates[index], mean_work, limits);
            ranking.add(index, judged, 1.0);
        }
        if let Some((_, expected_ms, index)) = ranking.best {
            return Selection::Send {
                id: candidates[index].id.clone(),
                expected: Duration::from_secs_f64(expected_ms / 1_000.0),
            };
        }
        let Some(excess_ms) = ranking.least_excess_ms else {
            return Selection::Unreachable {
                retry_after: ranking.least_backoff.unwrap_or_default(),
            };
        };
        if let [sole] = candidates
            && let Some(state) = self.upstreams.get_mut(&sole.id)
        {
            state.record_refused();
        }
        let spread_ms = excess_ms * 0.5 * self.rng.f64();
        Selection::Refuse {
            retry_after: Duration::from_secs_f64((excess_ms + spread_ms) / 1_000.0),
        }
    }

    /// Refuses the requests for which the only upstream that could run them has no room,
    /// as all hosts together found; returns when to retry.
    fn refuse_share(
        &mut self,
        now: Moment,
        sole: &UpstreamCandidate,
        limits: &SelectionLimits,
        own_share: impl Fn(f64) -> f64,
    ) -> Option<Duration> {
        let state = self.upstreams.get_mut(&sole.id)?;
        let share = match state.admitted_share(now) {
            share if share < 1.0 => own_share(share),
            share => share,
        };
        if self.rng.f64() < share {
            return None;
        }
        state.record_refused();
        // The less of the requests has room, the later a client should return: an early
        // return would be refused again.
        Some(limits.time_left.mul_f64(1.0 - share))
    }

    /// Returns the indexes of the candidates to compare: those that reported their load
    /// recently, and a random sample of the others, in which each is as likely as it is
    /// fast. The remaining ones are added to `unsampled`.
    fn compared_candidates(
        &mut self,
        now: Moment,
        candidates: &[UpstreamCandidate],
        work: MeanWork,
        unsampled: &mut Vec<usize>,
    ) -> Vec<(usize, f64)> {
        let mut compared = Vec::new();
        let mut drawn: Vec<(f64, usize)> = Vec::new();
        for (index, candidate) in candidates.iter().enumerate() {
            let Some(state) = self.upstreams.get(&candidate.id) else {
                drawn.push((-self.rng.f64().ln(), index));
                continue;
            };
            if state.is_report_fresh(now, work) || state.is_in_backoff(now) {
                compared.push((index, 1.0));
                continue;
            }
            // Weighted sampling without replacement: the smallest of exponential
            // variables whose rates are the weights.
            let slowness = state.slowness(now, work.unit_ms, candidate.is_cold);
            let unit_ms = work.unit_ms.unwrap_or_default() * slowness;
            let pace = state.pace_factor(now, unit_ms, slowness);
            let rate = f64::from(candidate.slots.max(1)) / (slowness * pace * state.avoidance());
            drawn.push((-self.rng.f64().ln() / rate, index));
        }
        drawn.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut sampled = [0; 2];
        for (_, index) in drawn {
            let count = &mut sampled[usize::from(candidates[index].is_local)];
            if *count < SAMPLE_COUNT {
                let factor = if *count == 0 { 1.0 } else { RESAMPLE_FACTOR };
                *count += 1;
                compared.push((index, factor));
            } else {
                unsampled.push(index);
            }
        }
        compared
    }

    /// Estimates the course of a request at one candidate.
    fn judge(
        &mut self,
        now: Moment,
        candidate: &UpstreamCandidate,
        work: MeanWork,
        limits: &SelectionLimits,
    ) -> Judgment {
        let state = self.upstreams.entry(candidate.id.clone()).or_default();
        if state.is_in_backoff(now) {
            state.record_wanted();
            return Judgment::Unreachable {
                backoff: state.backoff_remaining(now),
            };
        }
        let estimate = LoadEstimate::new(now, state, candidate, work);
        let excess_ms = estimate.excess_ms(limits);
        if excess_ms > 0.0 {
            return Judgment::NoRoom { excess_ms };
        }
        Judgment::Room {
            score: estimate.score(limits) * state.avoidance(),
            domain_cost_ms: if candidate.is_local {
                0.0
            } else {
                to_ms(limits.cross_domain_cost)
            },
            answer_ms: estimate.answer_ms(),
        }
    }

    /// Returns the mean service time (time in a slot) of a service's requests, if it has
    /// been measured.
    pub fn mean_service_time(&self, service: &ServiceName) -> Option<Duration> {
        let service_ms = self.work_times.service_ms(service)?;
        Some(Duration::from_secs_f64(service_ms / 1_000.0))
    }

    /// Returns the expected time in a slot of a route's requests, in milliseconds, or else
    /// that of its service's, if one has been measured.
    pub fn expected_slot_ms(&self, now: Moment, work: RequestWork<'_>) -> Option<f64> {
        let route_ms = self.work_times.route_ms(now, work);
        route_ms.or_else(|| self.work_times.service_ms(work.service))
    }

    fn mean_work(&self, now: Moment, work: RequestWork<'_>) -> MeanWork {
        MeanWork {
            unit_ms: self.work_times.service_ms(work.service),
            route_ms: self.work_times.route_ms(now, work),
            occupancy_ratio: self.work_times.occupancy_ratio(now, work.service),
        }
    }

    /// Records that a request is sent to an upstream.
    pub fn record_sent(
        &mut self,
        now: Moment,
        work: RequestWork<'_>,
        id: &UpstreamId,
        slots: u32,
    ) -> SentRequest {
        let mean_work = self.mean_work(now, work);
        let state = self.upstreams.entry(id.clone()).or_default();
        let sent = SentState {
            sent_at: now,
            occupancy: state.occupancy(now, mean_work, slots),
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
        work: RequestWork<'_>,
        request: &SentRequest,
        outcome: RequestOutcome,
        report: Option<LoadReport>,
    ) {
        let mean_work = self.mean_work(now, work);
        let Some(state) = self.upstreams.get_mut(&request.id) else {
            return;
        };
        let sample = state.record_outcome(now, outcome, request.sent, report, mean_work);
        if let Some(sample) = sample {
            self.work_times.record(now, work, sample);
        }
        if let Some(report) = report {
            let ratio = report.occupancy() / f64::from(report.slots.max(1));
            self.work_times.record_occupancy(now, work.service, ratio);
        }
    }
}
