//! Load of one upstream as a host knows it.

use crate::pace::MomentaryPace;
use crate::work::age_in_units;
use kernel::Moment;
use std::time::Duration;

/// Weight of a new report of other hosts' requests.
const REPORT_WEIGHT: f64 = 0.6;
/// Age at which a report of other hosts' requests counts half, in mean service times.
const REPORT_HALF_LIFE: f64 = 8.0;
/// Age up to which a report tells whether a slot is free, in mean service times; a
/// request that was running then has about ended.
const MAX_FRESH_AGE: f64 = 1.5;
/// Age at which the occupancy observed by all hosts counts half, in mean service times;
/// longer than that of one report, as it is an average over time.
const FLEET_HALF_LIFE: f64 = 4.0;
/// Age at which the slowness observed by all hosts is out of date; the leader repeats it
/// with every reply.
const MAX_FLEET_LOAD_AGE: Duration = Duration::from_secs(5);
/// Maximum number of measurements that an upstream's slowness is averaged over.
const MAX_SLOWNESS_SAMPLES: f64 = 8.0;
/// Number of own measurements that the slowness observed by all hosts, or else the
/// slowness of an average upstream, counts for.
const PRIOR_SAMPLES: f64 = 2.0;
/// Age at which own measurements of the slowness count half, in mean service times, so
/// that an upstream that was slow for a while is tried again.
const SLOWNESS_HALF_LIFE: f64 = 40.0;
/// Range to which the slowness of one request is clamped; requests that are unusual
/// differ by more.
const SLOWNESS_RANGE: (f64, f64) = (0.1, 20.0);
/// Weight of a service time whose momentary factor is unknown, at an upstream that
/// otherwise reports it.
const UNKNOWN_PACE_WEIGHT: f64 = 0.25;
/// Range of the reported time that work takes, in percent. Noise of three times on top of
/// a machine that is three times slower stays within it.
const WORK_PERCENT_RANGE: (f64, f64) = (5.0, 2_000.0);
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
/// Maximum number of times that the pause after a reset of a new connection doubles. An
/// upstream accepts fewer connections while its queue is long, and a client whose request
/// was reset is not told that it has not run.
const MAX_RESET_DOUBLINGS: u32 = 4;
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
    /// Time that work takes on the machine at this moment, in percent of the usual time,
    /// if the upstream reports it.
    pub work_percent: Option<u32>,
}

impl LoadReport {
    /// Parses the load header: "running,waiting,slots" or "running,waiting,slots,percent".
    ///
    /// Returns `None` unless the first three figures are valid. A fourth that is not a
    /// number or out of range is ignored, as are further ones.
    pub fn parse(text: &str) -> Option<Self> {
        let mut parts = text.split(',').map(str::trim);
        let mut next_count = || parts.next()?.parse().ok();
        Some(Self {
            running: next_count()?,
            waiting: next_count()?,
            slots: next_count()?,
            work_percent: parts.next().and_then(parse_work_percent),
        })
    }

    fn pace(&self, now: Moment) -> Option<MomentaryPace> {
        let percent = self.work_percent?;
        Some(MomentaryPace {
            factor: f64::from(percent) / 100.0,
            reported_at: now,
        })
    }

    /// Returns the number of requests that are running or waiting.
    pub(crate) fn occupancy(&self) -> f64 {
        f64::from(self.running) + f64::from(self.waiting)
    }
}

/// Load of an upstream that one host has observed since its last report.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ObservedLoad {
    /// Requests that ended at the upstream.
    pub requests: u32,
    /// Requests that it answered, also with an error or incompletely.
    pub answered: u32,
    /// Requests that the host refused because the upstream, which alone could run them,
    /// had no room.
    pub refused: u32,
    /// Mean service time (time in a slot) relative to the mean of the same routes over
    /// all upstreams, if one was measured.
    pub slowness: Option<f64>,
    /// Mean of the occupancies that the upstream reported, as fractions of its slots.
    pub occupancy_ratio: Option<f64>,
    /// Mean of the momentary factors that the upstream reported, if it reports any.
    pub pace_factor: Option<f64>,
}

/// Load of an upstream as all hosts together observed it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FleetLoad {
    /// Mean service time relative to the mean of the same routes over all upstreams.
    pub slowness: Option<f64>,
    /// Mean of the reported occupancies, as a fraction of the slots.
    pub occupancy_ratio: Option<f64>,
    /// Fraction of the requests for which the upstream is the only one that it has room
    /// for; `None` if it has room for all.
    pub admitted_share: Option<f64>,
}

/// How a request at an upstream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// It was answered.
    Answered,
    /// It was answered with an error of the upstream, or incompletely.
    Failed,
    /// The upstream had no free slot for it.
    Full,
    /// The upstream does not hold its key.
    Misplaced,
    /// No connection could be made.
    Unreachable,
    /// The connection was lost after the request was sent and before its answer began.
    Lost,
    /// The connection was reset right after it had been opened; an upstream does this to
    /// connections beyond those that it accepts.
    Reset,
    /// The host abandoned the request.
    Abandoned,
    /// The host did not write the request, which says nothing about the upstream.
    Withheld,
}

/// One upstream's load as this host knows it.
#[derive(Clone, Debug)]
pub(crate) struct UpstreamState {
    own_requests: u32,
    other_requests: f64,
    reported_at: Moment,
    /// Mean service time relative to that of all upstreams, as this host measured it.
    slowness: f64,
    /// Number of measurements that `slowness` counts for at `measured_at`.
    slowness_samples: f64,
    measured_at: Moment,
    failure_rate: f64,
    backoff_until: Moment,
    backoff: Duration,
    full_until: Moment,
    /// New connections that were reset since the last answer.
    consecutive_resets: u32,
    /// Whether a request would have been sent here if not for the backoff.
    is_wanted: bool,
    next_probe_at: Moment,
    observed: ObservedSums,
    fleet_load: Option<(Moment, FleetLoad)>,
    /// The momentary factor, as last reported to this host.
    pace: Option<MomentaryPace>,
    /// Whether the upstream has reported a momentary factor to this host.
    reports_pace: bool,
}

/// Sums of observations since the last report.
#[derive(Clone, Copy, Debug, Default)]
struct ObservedSums {
    requests: u32,
    answered: u32,
    refused: u32,
    /// Sum of the weights of the measurements in `slowness`.
    measured: f64,
    slowness: f64,
    reports: u32,
    occupancy_ratio: f64,
    pace_reports: u32,
    pace_factor: f64,
}

impl Default for UpstreamState {
    fn default() -> Self {
        Self {
            own_requests: 0,
            other_requests: 0.0,
            reported_at: Moment::ZERO,
            slowness: 1.0,
            slowness_samples: 0.0,
            measured_at: Moment::ZERO,
            failure_rate: 0.0,
            backoff_until: Moment::ZERO,
            backoff: MIN_BACKOFF,
            full_until: Moment::ZERO,
            consecutive_resets: 0,
            is_wanted: false,
            next_probe_at: Moment::ZERO,
            observed: ObservedSums::default(),
            fleet_load: None,
            pace: None,
            reports_pace: false,
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
        if observed.requests == 0 && observed.refused == 0 {
            return None;
        }
        Some(ObservedLoad {
            requests: observed.requests,
            answered: observed.answered,
            refused: observed.refused,
            slowness: mean(observed.slowness, observed.measured),
            occupancy_ratio: mean(observed.occupancy_ratio, f64::from(observed.reports)),
            pace_factor: mean(observed.pace_factor, f64::from(observed.pace_reports)),
        })
    }

    /// Sets the load observed by all hosts together.
    pub(crate) fn set_fleet_load(&mut self, now: Moment, fleet_load: FleetLoad) {
        self.fleet_load = Some((now, fleet_load));
    }

    fn fleet_load(&self, now: Moment) -> Option<FleetLoad> {
        let (at, fleet_load) = self.fleet_load?;
        (now - at < MAX_FLEET_LOAD_AGE).then_some(fleet_load)
    }

    /// Returns the fraction of the requests for this upstream alone that may be sent.
    pub(crate) fn admitted_share(&self, now: Moment) -> f64 {
        let share = self.fleet_load(now).and_then(|load| load.admitted_share);
        share.unwrap_or(1.0)
    }

    /// Records that a request was refused because this upstream alone could run it.
    pub(crate) fn record_refused(&mut self) {
        self.observed.refused += 1;
    }

    pub(crate) fn is_in_backoff(&self, now: Moment) -> bool {
        now < self.backoff_until
    }

    /// Returns the time until the upstream is tried again.
    pub(crate) fn backoff_remaining(&self, now: Moment) -> Duration {
        self.backoff_until - now
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

    /// Returns for how much longer the upstream is assumed to have no room.
    pub(crate) fn full_remaining(&self, now: Moment) -> Duration {
        self.full_until - now
    }

    /// Returns the expected number of requests at the upstream now.
    ///
    /// As a report ages, the number of other hosts' requests approaches the usual one.
    pub(crate) fn occupancy(&self, now: Moment, work: MeanWork, slots: u32) -> f64 {
        let age = age_in_units(now, self.reported_at, work.unit_ms);
        let weight = 0.5_f64.powf(age / REPORT_HALF_LIFE);
        let usual = self.usual_occupancy_ratio(now, work) * f64::from(slots);
        f64::from(self.own_requests) + usual + (self.other_requests - usual) * weight
    }

    /// Returns the usual number of requests at the upstream, as a fraction of its slots:
    /// what all hosts observed there, or as that ages, the mean of all upstreams.
    fn usual_occupancy_ratio(&self, now: Moment, work: MeanWork) -> f64 {
        let mean = work.occupancy_ratio;
        let Some((observed_at, fleet_load)) = self.fleet_load else {
            return mean;
        };
        let Some(observed) = fleet_load.occupancy_ratio else {
            return mean;
        };
        let age = age_in_units(now, observed_at, work.unit_ms);
        mean + (observed - mean) * 0.5_f64.powf(age / FLEET_HALF_LIFE)
    }

    /// Returns whether the occupancy was reported so recently that it says more than
    /// the usual one.
    pub(crate) fn is_report_fresh(&self, now: Moment, work: MeanWork) -> bool {
        self.reported_at > Moment::ZERO
            && age_in_units(now, self.reported_at, work.unit_ms) < MAX_FRESH_AGE
    }

    /// Returns the expected service time relative to that of all upstreams.
    pub(crate) fn slowness(&self, now: Moment, unit_ms: Option<f64>, is_cold: bool) -> f64 {
        let observed = self.fleet_load(now).and_then(|load| load.slowness);
        let prior = observed.unwrap_or(1.0);
        let samples = self.current_samples(now, unit_ms);
        let mean = (self.slowness * samples + prior * PRIOR_SAMPLES) / (samples + PRIOR_SAMPLES);
        mean * if is_cold { COLD_FACTOR } else { 1.0 }
    }

    /// Returns the factor by which work of `duration_ms` that starts now is expected to
    /// take longer than usual at this upstream; 1 if nothing was reported lately.
    ///
    /// `slowness` is the upstream's persistent one.
    pub(crate) fn pace_factor(&self, now: Moment, duration_ms: f64, slowness: f64) -> f64 {
        self.pace
            .map_or(1.0, |pace| pace.expected_factor(now, duration_ms, slowness))
    }

    /// Returns the number of own measurements that the slowness counts for now.
    fn current_samples(&self, now: Moment, unit_ms: Option<f64>) -> f64 {
        let age = age_in_units(now, self.measured_at, unit_ms);
        self.slowness_samples * 0.5_f64.powf(age / SLOWNESS_HALF_LIFE)
    }

    /// Returns the factor by which the score of a failing upstream rises; 1 without
    /// failures.
    pub(crate) fn avoidance(&self) -> f64 {
        1.0 + FAILURE_FACTOR * self.failure_rate
    }

    /// Records how a request ended; returns its service time if it was
    /// answered.
    pub(crate) fn record_outcome(
        &mut self,
        now: Moment,
        outcome: RequestOutcome,
        sent: SentState,
        report: Option<LoadReport>,
        work: MeanWork,
    ) -> Option<ServiceSample> {
        self.own_requests = self.own_requests.saturating_sub(1);
        if outcome == RequestOutcome::Withheld {
            return None;
        }
        self.observed.requests += 1;
        if let Some(report) = report {
            let total = report.occupancy();
            self.observed.reports += 1;
            self.observed.occupancy_ratio += total / f64::from(report.slots.max(1));
            let other_requests = (total - f64::from(self.own_requests)).max(0.0);
            let expected_others =
                self.occupancy(now, work, sent.slots) - f64::from(self.own_requests);
            self.other_requests =
                expected_others * (1.0 - REPORT_WEIGHT) + other_requests * REPORT_WEIGHT;
            self.reported_at = now;
            if let Some(pace) = report.pace(now) {
                self.pace = Some(pace);
                self.reports_pace = true;
                self.observed.pace_reports += 1;
                self.observed.pace_factor += pace.factor;
            }
        }
        match outcome {
            RequestOutcome::Answered => {
                self.observed.answered += 1;
                self.consecutive_resets = 0;
                self.record_result(0.0);
                return self.record_service(now, sent, report, work);
            }
            RequestOutcome::Failed => {
                self.observed.answered += 1;
                self.record_result(1.0);
            }
            RequestOutcome::Lost => self.failure_rate += FAILURE_WEIGHT * (1.0 - self.failure_rate),
            RequestOutcome::Full => self.record_full(now, sent.slots, work.unit_ms, 0),
            RequestOutcome::Reset => {
                self.failure_rate += FAILURE_WEIGHT * (1.0 - self.failure_rate);
                let doublings = self.consecutive_resets.min(MAX_RESET_DOUBLINGS);
                self.consecutive_resets += 1;
                self.record_full(now, sent.slots, work.unit_ms, doublings);
            }
            RequestOutcome::Unreachable => {
                self.backoff_until = now + self.backoff;
                self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
            }
            RequestOutcome::Misplaced | RequestOutcome::Abandoned | RequestOutcome::Withheld => {}
        }
        None
    }

    /// Pauses for the mean time in which one slot becomes free, doubled so many times.
    fn record_full(&mut self, now: Moment, slots: u32, unit_ms: Option<f64>, doublings: u32) {
        let slot_ms = unit_ms.unwrap_or_default() / f64::from(slots.max(1));
        self.full_until = now + Duration::from_secs_f64(slot_ms / 1_000.0) * (1 << doublings);
    }

    fn record_result(&mut self, failure: f64) {
        self.failure_rate += FAILURE_WEIGHT * (failure - self.failure_rate);
        self.record_reachable();
    }

    /// Records a service time, and returns it as it would usually have been, if the
    /// answer tells it.
    ///
    /// It is divided by the momentary factor that the answer reports, so that the
    /// slowness is that of the upstream itself.
    ///
    /// The service time is the latency without the wait for a slot. If requests were
    /// waiting, it lies between the latency and the part of it that is left after the
    /// longest possible wait. Dividing by the queue that an answer reports would make an
    /// upstream whose queue is growing look fast, and attract more requests to it.
    fn record_service(
        &mut self,
        now: Moment,
        sent: SentState,
        report: Option<LoadReport>,
        work: MeanWork,
    ) -> Option<ServiceSample> {
        let latency_ms = (now - sent.sent_at).as_secs_f64() * 1_000.0;
        let reported = report.map_or(0.0, |report| report.occupancy());
        let occupancy = sent.occupancy.max(reported);
        let occupancy_ratio = ((occupancy + 1.0) / f64::from(sent.slots.max(1))).max(1.0);
        let shortest_ms = latency_ms / occupancy_ratio;
        let pace = report.and_then(|report| report.pace(now));
        let known_slowness = self.slowness(now, work.unit_ms, false);
        let factor = match pace {
            Some(pace) => pace.past_factor(shortest_ms, known_slowness),
            None => known_slowness,
        };
        let weight = if pace.is_none() && self.reports_pace {
            UNKNOWN_PACE_WEIGHT
        } else {
            1.0
        };
        let expected_ms = match work.route_ms {
            Some(route_ms) => route_ms * factor,
            None => shortest_ms,
        };
        let is_exact = occupancy_ratio <= 1.0 || work.route_ms.is_none();
        if !is_exact && (shortest_ms..latency_ms).contains(&expected_ms) {
            return None;
        }
        let measured_ms = expected_ms.clamp(shortest_ms, latency_ms);
        let service_ms = if self.reports_pace {
            measured_ms / factor
        } else {
            measured_ms
        };
        let route_ms = work.route_ms.unwrap_or(service_ms);
        let (min, max) = SLOWNESS_RANGE;
        let slowness = (measured_ms / route_ms.max(f64::MIN_POSITIVE)).clamp(min, max);
        self.observed.measured += weight;
        self.observed.slowness += slowness * weight;
        let samples = self.current_samples(now, work.unit_ms) + weight;
        self.slowness_samples = samples.min(MAX_SLOWNESS_SAMPLES);
        self.slowness += (slowness - self.slowness) * weight / self.slowness_samples;
        self.measured_at = now;
        Some(ServiceSample { service_ms, weight })
    }
}

/// A measured service time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServiceSample {
    /// Time that the work would have taken at the machine's usual pace.
    pub service_ms: f64,
    /// Weight in means; lower than 1 if the pace is unknown.
    pub weight: f64,
}

/// Means over all upstreams of a service, as far as measured; times in milliseconds.
#[derive(Clone, Copy, Debug)]
pub(crate) struct MeanWork {
    /// Mean of the service's requests.
    pub unit_ms: Option<f64>,
    /// Mean of the requests of one route.
    pub route_ms: Option<f64>,
    /// Usual number of other hosts' requests at an upstream, as a fraction of its slots.
    pub occupancy_ratio: f64,
}

/// State of the upstream when a request was sent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SentState {
    pub sent_at: Moment,
    pub occupancy: f64,
    pub slots: u32,
}

fn mean(sum: f64, weight: f64) -> Option<f64> {
    (weight > 0.0).then(|| sum / weight)
}

/// Parses the time that work takes, in percent.
fn parse_work_percent(text: &str) -> Option<u32> {
    let percent: f64 = text.parse().ok()?;
    let (min, max) = WORK_PERCENT_RANGE;
    // A number that is not one is in no range.
    (min..=max)
        .contains(&percent)
        .then(|| percent.round() as u32)
}
