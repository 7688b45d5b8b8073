//! What a host knows of one upstream's load.

use kernel::Moment;
use std::time::Duration;

/// Expected time in a slot before any was measured; the kinds of work on the
/// users' sheets take 100 to 400 ms.
const FIRST_SERVICE_MS: f64 = 150.0;
/// Weight of a new measurement of the time in a slot.
const SERVICE_WEIGHT: f64 = 0.12;
/// Weight of a new report of other hosts' requests.
const REPORT_WEIGHT: f64 = 0.6;
/// Time after which a report counts half.
const REPORT_HALF_LIFE_MS: f64 = 1_500.0;
/// Age at which what all hosts have seen is out of date.
const NORM_KEPT: Duration = Duration::from_secs(5);
/// Weight of this host's own measurements beside those of all hosts.
const OWN_WEIGHT: f64 = 0.25;
/// Weight of a new outcome in the share of failures.
const FAILURE_WEIGHT: f64 = 0.15;
/// First pause after a failed connection; doubles with each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(250);
/// Longest pause after failed connections; an upstream that is back is tried
/// again within this time.
const LONGEST_PAUSE: Duration = Duration::from_secs(4);
/// Between two tries to reach a paused upstream that requests want; longer than one
/// try takes, and short beside the pauses.
const PROBE_PAUSE: Duration = Duration::from_millis(500);
/// For which an upstream that said it is full is passed over; about the time in
/// which one of its slots becomes free.
const FULL_PAUSE: Duration = Duration::from_millis(60);
/// How many times slower a cold upstream is taken to be.
const COLD_FACTOR: f64 = 2.0;
/// How much a failing upstream is avoided where there is a choice: at a share of
/// failures of 1 it counts as this many times slower, and one more.
const FAILURE_FACTOR: f64 = 6.0;

/// What an upstream says of its load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait for a slot.
    pub waiting: u32,
    /// Slots.
    pub slots: u32,
}

/// What one host has seen of an upstream since its last report.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ObservedLoad {
    /// Requests that ended.
    pub requests: u32,
    /// Mean time in a slot, in milliseconds; 0 without an answered request.
    pub service_ms: f64,
}

/// How a request at an upstream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// It was answered.
    Answered,
    /// It was answered with a failure of the upstream.
    Failed,
    /// The upstream had no room for it.
    Full,
    /// The upstream does not hold its key.
    Misplaced,
    /// No connection could be made.
    Unreachable,
    /// The connection was lost or went silent after the request was sent.
    Lost,
    /// The host gave the request up.
    Abandoned,
}

/// One upstream's load as this host knows it.
#[derive(Clone, Debug)]
pub(crate) struct UpstreamState {
    own: u32,
    others: f64,
    reported_at: Moment,
    service_ms: f64,
    failures: f64,
    paused_until: Moment,
    pause: Duration,
    full_until: Moment,
    /// Whether a request would have gone here but for the pause.
    is_wanted: bool,
    probe_at: Moment,
    seen: SeenSums,
    norm: Option<(Moment, ObservedLoad)>,
}

/// Sums since the last report.
#[derive(Clone, Copy, Debug, Default)]
struct SeenSums {
    requests: u32,
    answered: u32,
    service_ms: f64,
}

impl Default for UpstreamState {
    fn default() -> Self {
        Self {
            own: 0,
            others: 0.0,
            reported_at: Moment::ZERO,
            service_ms: FIRST_SERVICE_MS,
            failures: 0.0,
            paused_until: Moment::ZERO,
            pause: FIRST_PAUSE,
            full_until: Moment::ZERO,
            is_wanted: false,
            probe_at: Moment::ZERO,
            seen: SeenSums::default(),
            norm: None,
        }
    }
}

impl UpstreamState {
    pub(crate) fn begin(&mut self) {
        self.own += 1;
    }

    pub(crate) fn own(&self) -> u32 {
        self.own
    }

    /// Returns what was seen since the last call; `None` when nothing was.
    pub(crate) fn drain_observations(&mut self) -> Option<ObservedLoad> {
        let seen = std::mem::take(&mut self.seen);
        if seen.requests == 0 {
            return None;
        }
        Some(ObservedLoad {
            requests: seen.requests,
            service_ms: seen.service_ms / f64::from(seen.answered.max(1)),
        })
    }

    /// Takes in what all hosts together have seen.
    pub(crate) fn set_fleet_load(&mut self, now: Moment, norm: ObservedLoad) {
        self.norm = Some((now, norm));
    }

    fn norm(&self, now: Moment) -> Option<ObservedLoad> {
        let (at, norm) = self.norm?;
        (now - at < NORM_KEPT).then_some(norm)
    }

    pub(crate) fn is_paused(&self, now: Moment) -> bool {
        now < self.paused_until
    }

    /// Notes that a request would have gone here but for the pause.
    pub(crate) fn note_wanted(&mut self) {
        self.is_wanted = true;
    }

    /// Returns whether to try now whether the upstream can be reached again.
    pub(crate) fn take_probe(&mut self, now: Moment) -> bool {
        if !self.is_wanted || !self.is_paused(now) || now < self.probe_at {
            return false;
        }
        self.is_wanted = false;
        self.probe_at = now + PROBE_PAUSE;
        true
    }

    /// Notes that a connection could be made; requests may go here again.
    pub(crate) fn record_reachable(&mut self) {
        self.pause = FIRST_PAUSE;
        self.paused_until = Moment::ZERO;
    }

    pub(crate) fn is_full(&self, now: Moment) -> bool {
        now < self.full_until
    }

    /// Returns the requests expected at the upstream now.
    pub(crate) fn occupancy(&self, now: Moment) -> f64 {
        let age_ms = (now - self.reported_at).as_secs_f64() * 1_000.0;
        let faded = self.others * 0.5_f64.powf(age_ms / REPORT_HALF_LIFE_MS);
        f64::from(self.own) + faded
    }

    /// Returns the expected time in a slot, from this host's measurements.
    pub(crate) fn expected_service_ms(&self, is_cold: bool) -> f64 {
        self.service_ms * if is_cold { COLD_FACTOR } else { 1.0 }
    }

    /// Returns the expected time in a slot of the only upstream that may run a
    /// request.
    ///
    /// What all hosts have seen counts here alone: where there is a choice, all
    /// hosts would make the same one by it.
    pub(crate) fn sole_service_ms(&self, now: Moment, is_cold: bool) -> f64 {
        let norm = self.norm(now).filter(|norm| norm.service_ms > 0.0);
        let service_ms = match norm {
            Some(norm) => norm.service_ms * (1.0 - OWN_WEIGHT) + self.service_ms * OWN_WEIGHT,
            None => self.service_ms,
        };
        service_ms * if is_cold { COLD_FACTOR } else { 1.0 }
    }

    /// Returns by how much an upstream is avoided for its failures; 1 is not at all.
    pub(crate) fn avoidance(&self) -> f64 {
        1.0 + FAILURE_FACTOR * self.failures
    }

    pub(crate) fn end(
        &mut self,
        now: Moment,
        end: RequestOutcome,
        sent: SentWork,
        report: Option<LoadReport>,
    ) {
        self.own = self.own.saturating_sub(1);
        self.seen.requests += 1;
        if let Some(report) = report {
            let all = f64::from(report.running + report.waiting);
            let others = (all - f64::from(self.own)).max(0.0);
            self.others =
                self.occupancy_of_others(now) * (1.0 - REPORT_WEIGHT) + others * REPORT_WEIGHT;
            self.reported_at = now;
        }
        match end {
            RequestOutcome::Answered => {
                self.note_service(now, sent);
                self.note_reached(0.0);
            }
            RequestOutcome::Failed => self.note_reached(1.0),
            RequestOutcome::Lost => self.failures += FAILURE_WEIGHT * (1.0 - self.failures),
            RequestOutcome::Full => self.full_until = now + FULL_PAUSE,
            RequestOutcome::Unreachable => {
                self.paused_until = now + self.pause;
                self.pause = (self.pause * 2).min(LONGEST_PAUSE);
            }
            RequestOutcome::Misplaced | RequestOutcome::Abandoned => {}
        }
    }

    fn occupancy_of_others(&self, now: Moment) -> f64 {
        self.occupancy(now) - f64::from(self.own)
    }

    fn note_reached(&mut self, failure: f64) {
        self.failures += FAILURE_WEIGHT * (failure - self.failures);
        self.record_reachable();
    }

    /// Takes the time in the slot to be the latency less the wait expected when the
    /// request was sent.
    fn note_service(&mut self, now: Moment, sent: SentWork) {
        let took_ms = (now - sent.at).as_secs_f64() * 1_000.0;
        let crowd = ((sent.occupancy + 1.0) / f64::from(sent.slots.max(1))).max(1.0);
        let sample = (took_ms / crowd).max(1.0);
        self.seen.answered += 1;
        self.seen.service_ms += sample;
        self.service_ms += SERVICE_WEIGHT * (sample - self.service_ms);
    }
}

/// The circumstances in which a request was sent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SentWork {
    pub at: Moment,
    pub occupancy: f64,
    pub slots: u32,
}
