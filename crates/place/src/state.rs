//! Load of one upstream as a host knows it.

use kernel::Moment;
use std::time::Duration;

/// Expected service time (time in a slot) before any was measured, in milliseconds; the
/// kinds of requests in the users' sheets take 100 to 400 ms.
const INITIAL_SERVICE_MS: f64 = 150.0;
/// Weight of a new measurement of the service time.
const SERVICE_WEIGHT: f64 = 0.12;
/// Weight of a new report of other hosts' requests.
const REPORT_WEIGHT: f64 = 0.6;
/// Time after which a report counts half, in milliseconds.
const REPORT_HALF_LIFE_MS: f64 = 1_500.0;
/// Age at which the load observed by all hosts is out of date.
const MAX_FLEET_LOAD_AGE: Duration = Duration::from_secs(5);
/// Weight of this host's own measurements; those of all hosts together have the rest.
const OWN_WEIGHT: f64 = 0.25;
/// Weight of a new outcome in the failure rate.
const FAILURE_WEIGHT: f64 = 0.15;
/// First backoff after a failed connection; doubles with each further failure.
const MIN_BACKOFF: Duration = Duration::from_millis(250);
/// Maximum backoff after failed connections; an upstream that is back is tried again
/// within this time.
const MAX_BACKOFF: Duration = Duration::from_secs(4);
/// Interval between probes of an upstream in backoff that requests would have been sent
/// to; longer than one probe takes, and short compared with the backoff.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Time for which an upstream that reported no free slot is skipped; about the time in
/// which one of its slots becomes free.
const FULL_DURATION: Duration = Duration::from_millis(60);
/// Factor by which a cold upstream is assumed to be slower.
const COLD_FACTOR: f64 = 2.0;
/// Avoidance of failing upstreams where there is a choice: at a failure rate of 1 the
/// score is multiplied by this value plus one.
const FAILURE_FACTOR: f64 = 6.0;

/// Load that an upstream reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests that are running.
    pub running: u32,
    /// Requests that are waiting for a slot.
    pub waiting: u32,
    /// Number of slots.
    pub slots: u32,
}

/// Load of an upstream that one host has observed since its last report.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ObservedLoad {
    /// Requests that ended.
    pub requests: u32,
    /// Mean service time (time in a slot), in milliseconds; 0 without an answered
    /// request.
    pub service_ms: f64,
}

/// How a request at an upstream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// It was answered.
    Answered,
    /// It was answered with an error of the upstream.
    Failed,
    /// The upstream had no free slot for it.
    Full,
    /// The upstream does not hold its key.
    Misplaced,
    /// No connection could be made.
    Unreachable,
    /// The connection was lost or went silent after the request was sent.
    Lost,
    /// The host abandoned the request.
    Abandoned,
}

/// One upstream's load as this host knows it.
#[derive(Clone, Debug)]
pub(crate) struct UpstreamState {
    own_requests: u32,
    other_requests: f64,
    reported_at: Moment,
    service_ms: f64,
    failure_rate: f64,
    backoff_until: Moment,
    backoff: Duration,
    full_until: Moment,
    /// Whether a request would have been sent here if not for the backoff.
    is_wanted: bool,
    next_probe_at: Moment,
    observed: ObservedSums,
    fleet_load: Option<(Moment, ObservedLoad)>,
}

/// Sums of observations since the last report.
#[derive(Clone, Copy, Debug, Default)]
struct ObservedSums {
    requests: u32,
    answered: u32,
    service_ms: f64,
}

impl Default for UpstreamState {
    fn default() -> Self {
        Self {
            own_requests: 0,
            other_requests: 0.0,
            reported_at: Moment::ZERO,
            service_ms: INITIAL_SERVICE_MS,
            failure_rate: 0.0,
            backoff_until: Moment::ZERO,
            backoff: MIN_BACKOFF,
            full_until: Moment::ZERO,
            is_wanted: false,
            next_probe_at: Moment::ZERO,
            observed: ObservedSums::default(),
            fleet_load: None,
        }
    }
}

impl UpstreamState {
    pub(crate) fn record_sent(&mut self) {
        self.own_requests += 1;
    }

    pub(crate) fn own_requests(&self) -> u32 {
        self.own_requests
    }

    /// Returns what was observed since the last call; `None` without observations.
    pub(crate) fn drain_observations(&mut self) -> Option<ObservedLoad> {
        let observed = std::mem::take(&mut self.observed);
        if observed.requests == 0 {
            return None;
        }
        Some(ObservedLoad {
            requests: observed.requests,
            service_ms: observed.service_ms / f64::from(observed.answered.max(1)),
        })
    }

    /// Sets the load observed by all hosts together.
    pub(crate) fn set_fleet_load(&mut self, now: Moment, fleet_load: ObservedLoad) {
        self.fleet_load = Some((now, fleet_load));
    }

    fn fleet_load(&self, now: Moment) -> Option<ObservedLoad> {
        let (at, fleet_load) = self.fleet_load?;
        (now - at < MAX_FLEET_LOAD_AGE).then_some(fleet_load)
    }

    pub(crate) fn is_in_backoff(&self, now: Moment) -> bool {
        now < self.backoff_until
    }

    /// Records that a request would have been sent here if not for the backoff.
    pub(crate) fn record_wanted(&mut self) {
        self.is_wanted = true;
    }

    /// Returns whether to probe the upstream now, and records the probe.
    pub(crate) fn start_probe(&mut self, now: Moment) -> bool {
        if !self.is_wanted || !self.is_in_backoff(now) || now < self.next_probe_at {
            return false;
        }
        self.is_wanted = false;
        self.next_probe_at = now + PROBE_INTERVAL;
        true
    }

    /// Records that a connection could be made; requests may be sent here again.
    pub(crate) fn record_reachable(&mut self) {
        self.backoff = MIN_BACKOFF;
        self.backoff_until = Moment::ZERO;
    }

    pub(crate) fn is_full(&self, now: Moment) -> bool {
        now < self.full_until
    }

    /// Returns the expected number of requests at the upstream now.
    pub(crate) fn occupancy(&self, now: Moment) -> f64 {
        let age_ms = (now - self.reported_at).as_secs_f64() * 1_000.0;
        let decayed_others = self.other_requests * 0.5_f64.powf(age_ms / REPORT_HALF_LIFE_MS);
        f64::from(self.own_requests) + decayed_others
    }

    /// Returns the expected service time, from this host's measurements.
    pub(crate) fn expected_service_ms(&self, is_cold: bool) -> f64 {
        self.service_ms * if is_cold { COLD_FACTOR } else { 1.0 }
    }

    /// Returns the expected service time of an upstream that is the only candidate for
    /// a request.
    ///
    /// The load observed by all hosts is used only here: where there is a choice, it
    /// would lead all hosts to the same upstream.
    pub(crate) fn sole_service_ms(&self, now: Moment, is_cold: bool) -> f64 {
        let fleet_load = self
            .fleet_load(now)
            .filter(|fleet_load| fleet_load.service_ms > 0.0);
        let service_ms = match fleet_load {
            Some(fleet_load) => {
                fleet_load.service_ms * (1.0 - OWN_WEIGHT) + self.service_ms * OWN_WEIGHT
            }
            None => self.service_ms,
        };
        service_ms * if is_cold { COLD_FACTOR } else { 1.0 }
    }

    /// Returns the factor by which the score of a failing upstream rises; 1 without
    /// failures.
    pub(crate) fn avoidance(&self) -> f64 {
        1.0 + FAILURE_FACTOR * self.failure_rate
    }

    pub(crate) fn record_outcome(
        &mut self,
        now: Moment,
        outcome: RequestOutcome,
        sent: SentState,
        report: Option<LoadReport>,
    ) {
        self.own_requests = self.own_requests.saturating_sub(1);
        self.observed.requests += 1;
        if let Some(report) = report {
            let total = f64::from(report.running + report.waiting);
            let other_requests = (total - f64::from(self.own_requests)).max(0.0);
            self.other_requests =
                self.other_occupancy(now) * (1.0 - REPORT_WEIGHT) + other_requests * REPORT_WEIGHT;
            self.reported_at = now;
        }
        match outcome {
            RequestOutcome::Answered => {
                self.record_service(now, sent);
                self.record_result(0.0);
            }
            RequestOutcome::Failed => self.record_result(1.0),
            RequestOutcome::Lost => self.failure_rate += FAILURE_WEIGHT * (1.0 - self.failure_rate),
            RequestOutcome::Full => self.full_until = now + FULL_DURATION,
            RequestOutcome::Unreachable => {
                self.backoff_until = now + self.backoff;
                self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
            }
            RequestOutcome::Misplaced | RequestOutcome::Abandoned => {}
        }
    }

    fn other_occupancy(&self, now: Moment) -> f64 {
        self.occupancy(now) - f64::from(self.own_requests)
    }

    fn record_result(&mut self, failure: f64) {
        self.failure_rate += FAILURE_WEIGHT * (failure - self.failure_rate);
        self.record_reachable();
    }

    /// Records a service time: the latency reduced by the wait that was expected when
    /// the request was sent.
    fn record_service(&mut self, now: Moment, sent: SentState) {
        let latency_ms = (now - sent.sent_at).as_secs_f64() * 1_000.0;
        let occupancy_ratio = ((sent.occupancy + 1.0) / f64::from(sent.slots.max(1))).max(1.0);
        let sample = (latency_ms / occupancy_ratio).max(1.0);
        self.observed.answered += 1;
        self.observed.service_ms += sample;
        self.service_ms += SERVICE_WEIGHT * (sample - self.service_ms);
    }
}

/// State of the upstream when a request was sent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SentState {
    pub sent_at: Moment,
    pub occupancy: f64,
    pub slots: u32,
}
