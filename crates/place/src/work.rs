//! Service times by service and route.
//!
//! The kinds of requests of one service can differ in their work by an order of
//! magnitude, and services by more. Service times are therefore measured for each route,
//! and nothing is assumed about a route before its first answer.

use crate::state::ServiceSample;
use indexmap::IndexMap;
use kernel::{Moment, ServiceName};

/// Weight of a new service time in a mean that covers many measurements.
const MEAN_WEIGHT: f64 = 0.08;
/// Weight of a new report in the mean occupancy.
const OCCUPANCY_WEIGHT: f64 = 0.1;
/// Age at which the mean occupancy counts half, in mean service times, so that a service
/// that refused all its requests is tried again.
const OCCUPANCY_HALF_LIFE: f64 = 6.0;
/// Age at which the mean of a route is out of date, in multiples of itself.
const MAX_ROUTE_AGE: f64 = 20.0;
/// Maximum number of routes of a service whose service times are kept; the one measured
/// first is removed first.
const MAX_ROUTES: usize = 1_024;

/// Work that a request asks for, as far as its load is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestWork<'a> {
    /// The service that runs it.
    pub service: &'a ServiceName,
    /// The route that it came by; requests of one route take about the same time.
    pub route: &'a str,
}

/// A mean in which the first measurements count equally, and later ones more than those
/// long past.
#[derive(Clone, Copy, Debug, Default)]
struct RunningMean {
    value: f64,
    count: u32,
    measured_at: Moment,
}

impl RunningMean {
    fn record(&mut self, now: Moment, sample: ServiceSample) {
        self.measured_at = now;
        self.count = self.count.saturating_add(1);
        let mut weight = (1.0 / f64::from(self.count)).max(MEAN_WEIGHT);
        if self.count > 1 {
            weight *= sample.weight;
        }
        self.value += weight * (sample.service_ms - self.value);
    }

    fn value(self) -> Option<f64> {
        (self.count > 0).then_some(self.value)
    }
}

/// Service times (times in a slot) of one service, in milliseconds.
#[derive(Clone, Debug, Default)]
struct ServiceWork {
    mean: RunningMean,
    /// Mean of the reported occupancies, as a fraction of the slots.
    occupancy_ratio: f64,
    occupancy_at: Moment,
    routes: IndexMap<String, RunningMean>,
}

/// Service times (times in a slot) by service and route, over all upstreams.
#[derive(Clone, Debug, Default)]
pub(crate) struct WorkTimes {
    services: IndexMap<ServiceName, ServiceWork>,
}

impl WorkTimes {
    /// Records the service time of a request.
    pub(crate) fn record(&mut self, now: Moment, work: RequestWork<'_>, sample: ServiceSample) {
        let service = self.service_mut(work.service);
        service.mean.record(now, sample);
        if let Some(mean) = service.routes.get_mut(work.route) {
            mean.record(now, sample);
            return;
        }
        if service.routes.len() >= MAX_ROUTES {
            service.routes.shift_remove_index(0);
        }
        let mut mean = RunningMean::default();
        mean.record(now, sample);
        service.routes.insert(work.route.to_owned(), mean);
    }

    fn service_mut(&mut self, service: &ServiceName) -> &mut ServiceWork {
        // Looking the name up first avoids a copy of it for each request.
        let index = self.services.get_index_of(service).unwrap_or_else(|| {
            let entry = self
                .services
                .insert_full(service.clone(), ServiceWork::default());
            entry.0
        });
        &mut self.services[index]
    }

    /// Records the occupancy that an upstream of a service reported, as a fraction of
    /// its slots.
    pub(crate) fn record_occupancy(&mut self, now: Moment, service: &ServiceName, ratio: f64) {
        let current = self.occupancy_ratio(now, service);
        let service = self.service_mut(service);
        service.occupancy_ratio = current + OCCUPANCY_WEIGHT * (ratio - current);
        service.occupancy_at = now;
    }

    /// Returns the mean occupancy of a service's upstreams, as a fraction of their
    /// slots.
    pub(crate) fn occupancy_ratio(&self, now: Moment, service: &ServiceName) -> f64 {
        let Some(service) = self.services.get(service) else {
            return 0.0;
        };
        let age = age_in_units(now, service.occupancy_at, service.mean.value());
        service.occupancy_ratio * 0.5_f64.powf(age / OCCUPANCY_HALF_LIFE)
    }

    /// Returns the mean service time of a route's requests, in milliseconds, if one has
    /// been measured lately.
    ///
    /// A mean that was measured in a spell of slowness might let no request pass that
    /// would show its end, so it is dropped after a while without a measurement.
    pub(crate) fn route_ms(&self, now: Moment, work: RequestWork<'_>) -> Option<f64> {
        let mean = self.services.get(work.service)?.routes.get(work.route)?;
        let value = mean.value()?;
        (age_in_units(now, mean.measured_at, Some(value)) < MAX_ROUTE_AGE).then_some(value)
    }

    /// Returns the mean service time of a service's requests, in milliseconds.
    pub(crate) fn service_ms(&self, service: &ServiceName) -> Option<f64> {
        self.services.get(service)?.mean.value()
    }
}

/// Returns the time since `at` in units of the mean service time; 0 while that is
/// unknown.
pub(crate) fn age_in_units(now: Moment, at: Moment, unit_ms: Option<f64>) -> f64 {
    let age_ms = (now - at).as_secs_f64() * 1_000.0;
    unit_ms.map_or(0.0, |unit_ms| age_ms / unit_ms.max(f64::MIN_POSITIVE))
}
