//! Work that clients offered to one host, by service and rank.

use indexmap::IndexMap;
use kernel::{Moment, ServiceName};
use std::time::Duration;

/// What became of offered work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkOutcome {
    /// It was sent to an upstream.
    Admitted,
    /// It was refused, and has not run.
    Rejected,
}

/// A number of requests and the time in a slot that they are expected to take.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WorkSum {
    /// Requests.
    pub requests: u32,
    /// Expected slot time of those whose time is known, in milliseconds.
    pub slot_ms: f64,
}

impl WorkSum {
    fn add(&mut self, slot_ms: Option<f64>) {
        self.requests = self.requests.saturating_add(1);
        self.slot_ms += slot_ms.unwrap_or_default();
    }
}

/// Work of one rank of one service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RankWork {
    /// The rank; 0 is the most urgent.
    pub rank: u32,
    /// Work that arrived.
    pub offered: WorkSum,
    /// Work of which an upstream may have run some.
    pub admitted: WorkSum,
    /// Work that was refused.
    pub rejected: WorkSum,
    /// Offered requests whose slot time is not known.
    pub untimed: u32,
}

impl RankWork {
    /// Returns the offered slot time in milliseconds; requests without a known time count
    /// as much as the others.
    pub fn offered_ms(&self) -> f64 {
        let timed = self.offered.requests.saturating_sub(self.untimed);
        if timed == 0 {
            return 0.0;
        }
        self.offered.slot_ms * f64::from(self.offered.requests) / f64::from(timed)
    }
}

/// Work that was offered to one host within an interval.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DemandReport {
    /// Length of the interval.
    pub interval: Duration,
    /// Work by service.
    pub services: Vec<(ServiceName, Vec<RankWork>)>,
}

/// Counts the work that is offered to this host.
#[derive(Clone, Debug)]
pub struct DemandCounter {
    services: IndexMap<ServiceName, Vec<RankWork>>,
    drained_at: Moment,
}

impl DemandCounter {
    /// Creates an empty counter.
    pub fn new(now: Moment) -> Self {
        Self {
            services: IndexMap::new(),
            drained_at: now,
        }
    }

    fn rank_mut(&mut self, service: &ServiceName, rank: u32) -> &mut RankWork {
        let index = self.services.get_index_of(service).unwrap_or_else(|| {
            let entry = self.services.insert_full(service.clone(), Vec::new());
            entry.0
        });
        let ranks = &mut self.services[index];
        let position = ranks.iter().position(|work| work.rank == rank);
        let position = position.unwrap_or_else(|| {
            ranks.push(RankWork {
                rank,
                ..RankWork::default()
            });
            ranks.len() - 1
        });
        &mut ranks[position]
    }

    /// Counts a request that arrived, with its expected slot time if it is known.
    pub fn record_offered(&mut self, service: &ServiceName, rank: u32, slot_ms: Option<f64>) {
        let work = self.rank_mut(service, rank);
        work.offered.add(slot_ms);
        work.untimed += u32::from(slot_ms.is_none());
    }

    /// Counts how a request ended.
    pub fn record_outcome(
        &mut self,
        service: &ServiceName,
        rank: u32,
        slot_ms: Option<f64>,
        outcome: WorkOutcome,
    ) {
        let work = self.rank_mut(service, rank);
        match outcome {
            WorkOutcome::Admitted => work.admitted.add(slot_ms),
            WorkOutcome::Rejected => work.rejected.add(slot_ms),
        }
    }

    /// Returns the work since the last call.
    pub fn drain(&mut self, now: Moment) -> DemandReport {
        let interval = now - self.drained_at;
        self.drained_at = now;
        DemandReport {
            interval,
            services: std::mem::take(&mut self.services).into_iter().collect(),
        }
    }
}
