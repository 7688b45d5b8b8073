//! Demand of all hosts and the shares that follow from it, at the leader.

use crate::demand::DemandReport;
use crate::fractions::{RankDemand, RankShare, rank_fractions};
use indexmap::IndexMap;
use kernel::{Moment, ServiceName};
use std::time::Duration;

/// Time in which the rate of a host's demand approaches a new one by half. A host of a
/// large deployment gets few requests of a rank between two reports.
const RATE_HALF_LIFE: Duration = Duration::from_millis(1_200);
/// Time in which the smoothed occupancy approaches a new one by half. Arrivals are uneven,
/// so that a service with room has no free slot for a moment.
const OCCUPANCY_HALF_LIFE: Duration = Duration::from_millis(500);
/// Age of the last report from which a host's demand no longer counts; three reports.
const MAX_REPORT_AGE: Duration = Duration::from_millis(2_100);
/// Time for which a new leader tells no shares: until every host has reported, the demand
/// that it knows is too low, and hosts keep the shares of its predecessor meanwhile. Hosts
/// report when they learn of a new leader, and again after 0.7 s.
const FIRST_REPORTS_TIME: Duration = Duration::from_millis(600);
/// Fraction of the slots that may be planned for; the rest evens out arrivals.
const PLANNED_FRACTION: f64 = 0.95;
/// Fraction of the planned capacity below which the demand of a limited service has to
/// fall until all of it is admitted again.
const RELEASE_FRACTION: f64 = 0.95;
/// Occupancy (requests per slot) from which a service may become limited.
const FULL_OCCUPANCY: f64 = 0.95;
/// Occupancy to which a limited service is brought. Below one, slots are free although
/// requests are refused; what waits beyond that evens out arrivals, and an upstream with
/// a few slots reports more than its mean, as it answers while it is busy.
const TARGET_OCCUPANCY: f64 = 1.2;
/// Rates at which the capacity is corrected upwards and downwards for each request per slot
/// that is missing or too many, per second. Expected slot times include some of the waiting,
/// and may be wrong by half.
const CORRECTION_GAINS: (f64, f64) = (0.2, 0.1);
/// Maximum difference to the target occupancy that counts for the correction.
const MAX_OCCUPANCY_ERROR: f64 = 0.4;
/// Fraction of the smoothed occupancy below which a queue is becoming shorter. The capacity
/// suffices then, and to lower it for a queue from before the limit would leave slots free.
const DRAINING_FRACTION: f64 = 0.97;
/// Range of the correction.
const CORRECTION_RANGE: (f64, f64) = (0.6, 2.5);
/// Rate of the upward correction while slots are free although requests are refused, such as
/// after a spell in which the upstreams were slow.
const FREE_SLOTS_GAIN: f64 = 0.8;
/// Part of the capacity by which a limited service is planned lower for each request per
/// slot beyond the target, so that a queue becomes shorter, and higher while slots are free.
const QUEUE_GAIN: f64 = 0.3;
/// Range of the factor that follows from the queue.
const QUEUE_FACTOR_RANGE: (f64, f64) = (0.8, 1.1);
/// Time in which the correction of a service that is not limited halves.
const CORRECTION_HALF_LIFE: Duration = Duration::from_secs(2);
/// Range to which the interval of a report is clamped; it comes from another host.
const INTERVAL_RANGE: (Duration, Duration) = (Duration::from_millis(50), Duration::from_secs(5));

/// What the usable upstreams of a service can do.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServiceCapacity {
    /// Slots of an upstream of average speed that do as much.
    pub slots: f64,
    /// Requests that run or wait there per slot, if it is known.
    pub occupancy: Option<f64>,
}

/// Shares of the ranks of a service, in order of rank.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceShares {
    /// The service.
    pub service: ServiceName,
    /// Shares by rank.
    pub shares: Vec<RankShare>,
}

/// Smoothed demand of one host, in slots that it would keep in use.
#[derive(Clone, Debug)]
struct HostDemand {
    reported_at: Moment,
    rates: IndexMap<(ServiceName, u32), f64>,
    /// Services of which it refused requests since the report before.
    refused: Vec<ServiceName>,
}

/// Whether a service is limited, and how its capacity is corrected.
#[derive(Clone, Copy, Debug)]
struct ServiceState {
    is_limited: bool,
    correction: f64,
    /// Smoothed occupancy.
    occupancy: Option<f64>,
}

/// Demand of all hosts, and the shares that follow from it.
#[derive(Clone, Debug, Default)]
pub struct ShareLedger {
    hosts: IndexMap<String, HostDemand>,
    services: IndexMap<ServiceName, ServiceState>,
    updated_at: Moment,
    /// Since when hosts have reported without a longer break.
    reported_since: Option<Moment>,
}

impl ShareLedger {
    /// Records what was offered to a host since its last report.
    pub fn record(&mut self, now: Moment, host: &str, report: &DemandReport) {
        let (min, max) = INTERVAL_RANGE;
        let interval = report.interval.clamp(min, max);
        let interval_ms = interval.as_secs_f64() * 1_000.0;
        let keep = 0.5_f64.powf(interval.as_secs_f64() / RATE_HALF_LIFE.as_secs_f64());
        self.reported_since.get_or_insert(now);
        let is_known = self.hosts.contains_key(host);
        if !is_known {
            let first = HostDemand {
                reported_at: now,
                rates: IndexMap::new(),
                refused: Vec::new(),
            };
            self.hosts.insert(host.to_owned(), first);
        }
        let demand = &mut self.hosts[host];
        demand.reported_at = now;
        demand.refused.clear();
        for rate in demand.rates.values_mut() {
            *rate *= keep;
        }
        let weight = if is_known { 1.0 - keep } else { 1.0 };
        for (service, ranks) in &report.services {
            if ranks.iter().any(|work| work.rejected.requests > 0) {
                demand.refused.push(service.clone());
            }
            for work in ranks {
                let offered_ms = work.offered_ms();
                if !offered_ms.is_finite() || offered_ms <= 0.0 {
                    continue;
                }
                let key = (service.clone(), work.rank);
                *demand.rates.entry(key).or_insert(0.0) += weight * offered_ms / interval_ms;
            }
        }
    }

    /// Returns the demand of each rank of each service, in order of rank.
    pub fn demand(&mut self, now: Moment) -> IndexMap<ServiceName, Vec<RankDemand>> {
        self.hosts
            .retain(|_, host| now - host.reported_at < MAX_REPORT_AGE);
        if self.hosts.is_empty() {
            self.reported_since = None;
        }
        let mut demand: IndexMap<ServiceName, Vec<RankDemand>> = IndexMap::new();
        for host in self.hosts.values() {
            for ((service, rank), rate) in &host.rates {
                let ranks = match demand.get_mut(service) {
                    Some(ranks) => ranks,
                    None => demand.entry(service.clone()).or_default(),
                };
                match ranks.iter_mut().find(|known| known.rank == *rank) {
                    Some(known) => known.rate += rate,
                    None => ranks.push(RankDemand {
                        rank: *rank,
                        rate: *rate,
                    }),
                }
            }
        }
        for ranks in demand.values_mut() {
            ranks.sort_by_key(|known| known.rank);
        }
        demand
    }

    /// Works out the shares of all services with demand.
    ///
    /// A service is limited only while its upstreams are in use: the capacity is expected,
    /// and may be wrong. While it is limited, the occupancy of its upstreams corrects the
    /// capacity little by little, so that the shares change without steps.
    ///
    /// Returns none while hosts have reported for less than [`FIRST_REPORTS_TIME`].
    pub fn update(
        &mut self,
        now: Moment,
        capacities: &IndexMap<ServiceName, ServiceCapacity>,
    ) -> Vec<ServiceShares> {
        let elapsed = (now - self.updated_at).min(Duration::from_secs(1));
        self.updated_at = now;
        let demand = self.demand(now);
        let is_known = self
            .reported_since
            .is_some_and(|since| now - since >= FIRST_REPORTS_TIME);
        if !is_known {
            return Vec::new();
        }
        self.services
            .retain(|service, _| demand.contains_key(service));
        let mut updated = Vec::with_capacity(demand.len());
        for (service, ranks) in demand {
            // Without a usable upstream there is nothing to share; hosts refuse at once.
            let Some(capacity) = capacities.get(&service).filter(|known| known.slots > 0.0) else {
                continue;
            };
            // A predecessor's shares may be in force, and keep the slots from being full.
            let mut hosts = self.hosts.values();
            let is_refused = hosts.any(|host| host.refused.contains(&service));
            let first = ServiceState {
                is_limited: is_refused,
                correction: 1.0,
                occupancy: None,
            };
            let state = self.services.entry(service.clone()).or_insert(first);
            let total: f64 = ranks.iter().map(|known| known.rate).sum();
            state.update(elapsed, total, *capacity);
            let fractions = if state.is_limited {
                rank_fractions(&ranks, state.planned(*capacity))
            } else {
                vec![1.0; ranks.len()]
            };
            let shares = ranks
                .iter()
                .zip(fractions)
                .map(|(known, fraction)| RankShare {
                    rank: known.rank,
                    fraction,
                    weight: known.rate / total.max(f64::MIN_POSITIVE),
                });
            updated.push(ServiceShares {
                service,
                shares: shares.collect(),
            });
        }
        updated
    }
}

impl ServiceState {
    fn planned(&self, capacity: ServiceCapacity) -> f64 {
        let error = self.occupancy_error();
        let (min, max) = QUEUE_FACTOR_RANGE;
        let queue_factor = (1.0 + QUEUE_GAIN * error).clamp(min, max);
        capacity.slots * PLANNED_FRACTION * self.correction * queue_factor
    }

    /// Returns by how much the occupancy is below its target.
    fn occupancy_error(&self) -> f64 {
        self.occupancy
            .map_or(0.0, |occupancy| TARGET_OCCUPANCY - occupancy)
    }

    fn update(&mut self, elapsed: Duration, total: f64, capacity: ServiceCapacity) {
        let seconds = elapsed.as_secs_f64();
        let keep = 0.5_f64.powf(seconds / OCCUPANCY_HALF_LIFE.as_secs_f64());
        let is_draining = matches!(
            (self.occupancy, capacity.occupancy),
            (Some(smoothed), Some(now)) if now < smoothed * DRAINING_FRACTION
        );
        self.occupancy = match (self.occupancy, capacity.occupancy) {
            (Some(smoothed), Some(now)) => Some(now + (smoothed - now) * keep),
            (smoothed, now) => now.or(smoothed),
        };
        if self.is_limited {
            let (min, max) = (-MAX_OCCUPANCY_ERROR, MAX_OCCUPANCY_ERROR);
            let error = self.occupancy_error().clamp(min, max);
            let (up_gain, down_gain) = CORRECTION_GAINS;
            let has_free_slots = self
                .occupancy
                .is_some_and(|occupancy| occupancy < FULL_OCCUPANCY);
            let gain = match error {
                _ if has_free_slots => FREE_SLOTS_GAIN,
                _ if error > 0.0 => up_gain,
                _ if is_draining => 0.0,
                _ => down_gain,
            };
            self.correction *= (gain * error * seconds).exp();
        } else {
            let keep = 0.5_f64.powf(seconds / CORRECTION_HALF_LIFE.as_secs_f64());
            self.correction = 1.0 + (self.correction - 1.0) * keep;
        }
        let (min, max) = CORRECTION_RANGE;
        self.correction = self.correction.clamp(min, max);
        let planned = self.planned(capacity);
        self.is_limited = if self.is_limited {
            total > planned * RELEASE_FRACTION
        } else {
            let is_full = self
                .occupancy
                .is_none_or(|occupancy| occupancy >= FULL_OCCUPANCY);
            total > planned && is_full
        };
    }
}
