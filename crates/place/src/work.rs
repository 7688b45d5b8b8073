//! Service times by service and route.
//!
//! The kinds of requests of one service can differ in their work by an order of
//! magnitude, and services by more. Service times are therefore measured for each route,
//! and nothing is assumed about a route before its first answer.

use indexmap::IndexMap;
use kernel::ServiceName;

/// Weight of a new service time in a mean that covers many measurements.
const MEAN_WEIGHT: f64 = 0.08;
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
}

impl RunningMean {
    fn record(&mut self, sample: f64) {
        self.count = self.count.saturating_add(1);
        let weight = (1.0 / f64::from(self.count)).max(MEAN_WEIGHT);
        self.value += weight * (sample - self.value);
    }

    fn value(self) -> Option<f64> {
        (self.count > 0).then_some(self.value)
    }
}

/// Service times (times in a slot) of one service, in milliseconds.
#[derive(Clone, Debug, Default)]
struct ServiceWork {
    mean: RunningMean,
    routes: IndexMap<String, RunningMean>,
}

/// Service times (times in a slot) by service and route, over all upstreams.
#[derive(Clone, Debug, Default)]
pub(crate) struct WorkTimes {
    services: IndexMap<ServiceName, ServiceWork>,
}

impl WorkTimes {
    /// Records the service time of a request.
    pub(crate) fn record(&mut self, work: RequestWork<'_>, service_ms: f64) {
        if !self.services.contains_key(work.service) {
            let service_work = ServiceWork::default();
            self.services.insert(work.service.clone(), service_work);
        }
        let Some(service) = self.services.get_mut(work.service) else {
            return;
        };
        service.mean.record(service_ms);
        if let Some(mean) = service.routes.get_mut(work.route) {
            mean.record(service_ms);
            return;
        }
        if service.routes.len() >= MAX_ROUTES {
            service.routes.shift_remove_index(0);
        }
        let mut mean = RunningMean::default();
        mean.record(service_ms);
        service.routes.insert(work.route.to_owned(), mean);
    }

    /// Returns the mean service time of a route's requests, in milliseconds; that of
    /// the whole service until one of the route was measured.
    pub(crate) fn route_ms(&self, work: RequestWork<'_>) -> Option<f64> {
        let service = self.services.get(work.service)?;
        let route_mean = service.routes.get(work.route);
        route_mean
            .and_then(|mean| mean.value())
            .or_else(|| service.mean.value())
    }

    /// Returns the mean service time of a service's requests, in milliseconds.
    pub(crate) fn service_ms(&self, service: &ServiceName) -> Option<f64> {
        self.services.get(service)?.mean.value()
    }
}
