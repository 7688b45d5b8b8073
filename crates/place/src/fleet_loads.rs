//! Loads of the upstreams, gathered by the leader from all hosts.
//!
//! In a large deployment a host sends an upstream a request only every few seconds, too
//! few to know the upstream's speed or how busy it is. The leader therefore gathers the
//! observations of all hosts and sends them the result.
//!
//! The holder of a popular key can be asked for many times what it can answer, and no
//! other upstream can help. Together the hosts would keep its queue full, so that nearly
//! all of its answers would be late. The leader therefore works out which share of the
//! requests the upstream has room for, and each host refuses the rest at once.

use crate::state::{FleetLoad, ObservedLoad};
use indexmap::IndexMap;
use kernel::{Moment, UpstreamId};
use std::time::Duration;

/// Number of requests after which older ones count half in the slowness.
const SLOWNESS_HALF_LIFE_REQUESTS: f64 = 12.0;
/// The same for the slowness by which keys are placed, of upstreams whose momentary noise
/// is known. Service times of one route differ by as much as their mean; after fewer
/// requests keys would move for mere chance.
const PERSISTENT_HALF_LIFE_REQUESTS: f64 = 48.0;
/// Range to which the speed of a holder is clamped; with its noise known, a holder that
/// seems many times slower than the average is.
const HOLDER_SPEED_RANGE: (f64, f64) = (0.1, 10.0);
/// Ratio of the slowness of the last dozen requests to that of the last dozens from which
/// an upstream has become slower or faster itself; chance rarely reaches it.
const MIN_SPEED_CHANGE: f64 = 1.5;
/// Weight of the mean occupancy since the last call in the one that tells whether an
/// upstream is crowded; noise of 400 ms does not reach the limit at this weight.
const CROWDING_WEIGHT: f64 = 0.35;
/// Occupancy that stands for the requests that hosts refuse, per fraction of the requests:
/// while hosts refuse many, the queue stays short.
const REFUSED_OCCUPANCY: f64 = 4.0;
/// Occupancy above which an upstream is crowded, as a fraction of its slots.
const CROWDED_RATIO: f64 = 1.5;
/// Factor by which a crowded upstream is taken to be able to do less, at each call.
const RELIEF_FACTOR: f64 = 0.85;
/// Lowest factor by which a crowded upstream is taken to be able to do less.
const MIN_RELIEF: f64 = 0.4;
/// Factor by which an upstream is taken to be able to do more again, at each call; much
/// slower than the relief, so that keys do not move to and fro.
const RECOVERY_FACTOR: f64 = 1.02;
/// Weight of one host's mean in the occupancy.
const OCCUPANCY_WEIGHT: f64 = 0.3;
/// Time for which an upstream without reports is kept.
const RETENTION: Duration = Duration::from_secs(30);
/// Occupancy above which an upstream has no unused slot, as a fraction of its slots, so
/// that the rate of its answers is what it can do.
const SATURATED_RATIO: f64 = 1.0;
/// Fraction of the requests at an upstream below which so few are answered that it must
/// be saturated.
const MIN_ANSWERED_FRACTION: f64 = 0.5;
/// Occupancy above which the wait for a slot takes twice as long as the work itself.
const OVERLOADED_RATIO: f64 = 3.0;
/// Factor by which the capacity is taken to be lower while the queue is too long, so
/// that it becomes shorter.
const OVERLOADED_FACTOR: f64 = 0.8;
/// Factor by which the capacity is taken to be higher than the rate of the answers while
/// the queue is short, as some slots may have been unused.
const SATURATED_FACTOR: f64 = 1.2;
/// Factor by which the capacity is taken to be higher while slots are unused although
/// requests are refused.
const UNUSED_FACTOR: f64 = 1.25;

/// Share above which the hosts' own estimates suffice.
const MAX_LIMITED_SHARE: f64 = 0.8;
/// Factor by which more is admitted than there is room for, so that no slot is unused
/// when requests arrive unevenly; the hosts' own estimates refuse what is too much.
const SHARE_SLACK: f64 = 1.5;

#[derive(Clone, Copy, Debug)]
struct UpstreamLoad {
    observed_at: Moment,
    load: FleetLoad,
    /// Sums since the share was last worked out.
    sent: u32,
    refused: u32,
    answered: u32,
    occupancy_sum: f64,
    occupancy_count: u32,
    /// Requests a second that the upstream can answer, if it has been saturated.
    capacity: Option<f64>,
    /// Whether the upstream reports its momentary factor.
    reports_pace: bool,
    persistent_slowness: Option<f64>,
    /// Long average of the reported factor: the speed of the machine with usual noise.
    usual_factor: Option<f64>,
    crowding_ratio: f64,
    relief: f64,
}

/// What a holder of keys can do, apart from momentary noise.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HolderPace {
    /// Mean service time relative to that of all upstreams.
    pub slowness: f64,
    /// Factor up to 1 by which it can do less than its speed tells; it falls while its
    /// queue is long.
    pub relief: f64,
}

/// Loads of the upstreams, gathered by the leader from all hosts.
#[derive(Clone, Debug, Default)]
pub struct FleetLoads {
    upstreams: IndexMap<UpstreamId, UpstreamLoad>,
    updated_at: Moment,
}

impl HolderPace {
    /// Returns the speed relative to that of an average upstream.
    pub fn speed(&self) -> f64 {
        let (min, max) = HOLDER_SPEED_RANGE;
        (1.0 / self.slowness).clamp(min, max)
    }
}

impl FleetLoads {
    /// Records what one host has observed of an upstream.
    pub fn record(&mut self, now: Moment, id: &UpstreamId, observed: ObservedLoad) {
        let first = UpstreamLoad {
            observed_at: now,
            load: FleetLoad::default(),
            sent: 0,
            refused: 0,
            answered: 0,
            occupancy_sum: 0.0,
            occupancy_count: 0,
            capacity: None,
            reports_pace: false,
            persistent_slowness: None,
            usual_factor: None,
            crowding_ratio: 0.0,
            relief: 1.0,
        };
        let state = match self.upstreams.get_mut(id) {
            Some(state) => state,
            None => self.upstreams.entry(id.clone()).or_insert(first),
        };
        let requests = f64::from(observed.requests);
        let slowness_weight = 1.0 - 0.5_f64.powf(requests / SLOWNESS_HALF_LIFE_REQUESTS);
        let persistent_weight = 1.0 - 0.5_f64.powf(requests / PERSISTENT_HALF_LIFE_REQUESTS);
        state.usual_factor = average(state.usual_factor, observed.pace_factor, persistent_weight);
        // What the requests took longer because of noise is taken out.
        let slowness = match (observed.slowness, observed.pace_factor, state.usual_factor) {
            (Some(slowness), Some(factor), Some(usual)) => Some(slowness * usual / factor),
            (slowness, ..) => slowness,
        };
        let load = &mut state.load;
        load.slowness = average(load.slowness, slowness, slowness_weight);
        load.occupancy_ratio = average(
            load.occupancy_ratio,
            observed.occupancy_ratio,
            OCCUPANCY_WEIGHT,
        );
        state.reports_pace |= observed.pace_factor.is_some();
        state.persistent_slowness = average(state.persistent_slowness, slowness, persistent_weight);
        state.adopt_changed_speed();
        state.sent += observed.requests;
        state.refused += observed.refused;
        state.answered += observed.answered;
        if let Some(ratio) = observed.occupancy_ratio {
            state.occupancy_sum += ratio;
            state.occupancy_count += 1;
        }
        state.observed_at = now;
    }

    /// Returns the measured service time relative to that of all upstreams.
    pub fn slowness(&self, id: &str) -> Option<f64> {
        self.upstreams.get(id)?.load.slowness
    }

    /// Returns the mean of the occupancies that the upstream reported, as a fraction of its
    /// slots.
    pub fn occupancy_ratio(&self, id: &str) -> Option<f64> {
        self.upstreams.get(id)?.load.occupancy_ratio
    }

    /// Returns what a holder of keys can do, if its momentary noise is known.
    pub fn holder_pace(&self, id: &str) -> Option<HolderPace> {
        let state = self.upstreams.get(id)?;
        state.reports_pace.then(|| HolderPace {
            slowness: state.persistent_slowness.unwrap_or(1.0),
            relief: state.relief,
        })
    }

    /// Works out the shares from the reports since the last call, and returns the loads
    /// of the upstreams with an observation within the last `max_age`.
    pub fn update(&mut self, now: Moment, max_age: Duration) -> Vec<(UpstreamId, FleetLoad)> {
        let elapsed = now - self.updated_at;
        self.updated_at = now;
        self.upstreams
            .retain(|_, state| now - state.observed_at < RETENTION);
        let mut recent = Vec::with_capacity(self.upstreams.len());
        for (id, state) in &mut self.upstreams {
            state.update_share(elapsed);
            if now - state.observed_at < max_age {
                recent.push((id.clone(), state.load));
            }
        }
        recent
    }
}

impl UpstreamLoad {
    /// Works out the share of the requests that the upstream has room for: its capacity,
    /// which is the rate of its answers while all its slots are in use, divided by the
    /// rate of the requests.
    fn update_share(&mut self, elapsed: Duration) {
        let seconds = elapsed.as_secs_f64().max(f64::MIN_POSITIVE);
        let sent = std::mem::take(&mut self.sent);
        let answered = std::mem::take(&mut self.answered);
        let wanted_rate = f64::from(sent + std::mem::take(&mut self.refused)) / seconds;
        let answered_rate = f64::from(answered) / seconds;
        let occupancy_count = std::mem::take(&mut self.occupancy_count);
        let occupancy_sum = std::mem::take(&mut self.occupancy_sum);
        let occupancy_ratio = occupancy_sum / f64::from(occupancy_count.max(1));
        if self.reports_pace && wanted_rate > 0.0 {
            let refused_fraction = 1.0 - f64::from(sent) / seconds / wanted_rate;
            self.update_relief(occupancy_ratio + refused_fraction * REFUSED_OCCUPANCY);
        }
        // An upstream that resets most of its connections reports no load.
        let is_resetting = f64::from(answered) < f64::from(sent) * MIN_ANSWERED_FRACTION;
        let is_saturated = is_resetting || occupancy_ratio >= SATURATED_RATIO;
        self.capacity = match self.capacity {
            None if !is_saturated => None,
            None => Some(answered_rate),
            Some(capacity) if occupancy_ratio > OVERLOADED_RATIO => {
                Some(capacity.midpoint(answered_rate) * OVERLOADED_FACTOR)
            }
            Some(capacity) if is_saturated => {
                Some(capacity.midpoint(answered_rate) * SATURATED_FACTOR)
            }
            Some(capacity) => Some(capacity.max(answered_rate) * UNUSED_FACTOR),
        };
        // At least one request passes in each interval, or nothing would be measured.
        let capacity = self.capacity.map(|capacity| capacity.max(1.0 / seconds));
        let share = capacity.map(|capacity| capacity / wanted_rate.max(f64::MIN_POSITIVE));
        self.load.admitted_share = share
            .filter(|share| *share < MAX_LIMITED_SHARE)
            .map(|share| (share * SHARE_SLACK).min(1.0));
        if self.load.admitted_share.is_none() && !is_saturated {
            self.capacity = None;
        }
    }

    /// Drops the long average of the slowness if the short one differs by more than
    /// chance: the upstream itself has become slower or faster.
    fn adopt_changed_speed(&mut self) {
        let (Some(recent), Some(persistent)) = (self.load.slowness, self.persistent_slowness)
        else {
            return;
        };
        let change = (recent / persistent).max(persistent / recent);
        if change > MIN_SPEED_CHANGE {
            self.persistent_slowness = Some(recent);
        }
    }

    /// Works out by how much less the upstream can do than its speed tells.
    ///
    /// The slowness follows dozens of answers, and answers of an upstream that has become
    /// slow are late. Its queue tells earlier.
    fn update_relief(&mut self, crowding_ratio: f64) {
        self.crowding_ratio += CROWDING_WEIGHT * (crowding_ratio - self.crowding_ratio);
        self.relief = if self.crowding_ratio > CROWDED_RATIO {
            (self.relief * RELIEF_FACTOR).max(MIN_RELIEF)
        } else {
            (self.relief * RECOVERY_FACTOR).min(1.0)
        };
    }
}

/// Returns the weighted average of an old and a new value, as far as there are any.
fn average(old: Option<f64>, new: Option<f64>, new_weight: f64) -> Option<f64> {
    match (old, new) {
        (Some(old), Some(new)) => Some(old + new_weight * (new - old)),
        (old, new) => new.or(old),
    }
}
