//! The schedulers of all upstreams that this host is the primary of.

use crate::exchange::Exchanger;
use crate::journal::Journal;
use crate::limits::GateLimits;
use crate::metrics::GateMetrics;
use crate::scheduler::UpstreamScheduler;
use arc_swap::ArcSwap;
use indexmap::IndexMap;
use kernel::{Clock, Epoch, Moment, UnknownPlugin, UpstreamId};
use limit::{AdmissionPlan, AdmissionQueue};
use member::Suspect;
use owner::{PrimaryUpstream, ShardLoad, UpstreamEntry};
use parking_lot::Mutex;
use retry::QuarantineList;
use sheet::{Rank, Sheet};
use std::sync::Arc;
use std::time::Duration;

type SchedulerMap = IndexMap<UpstreamId, Arc<UpstreamScheduler>>;

/// The schedulers of all upstreams that this host is the primary of.
#[derive(Clone, Debug)]
pub struct PrimarySchedulers {
    pub(crate) shared: Arc<SchedulersShared>,
}

#[derive(Debug)]
pub(crate) struct SchedulersShared {
    schedulers: ArcSwap<SchedulerMap>,
    /// Schedulers of upstreams that this host is no longer the primary of, kept until
    /// their requests have ended.
    retired: Mutex<Vec<Arc<UpstreamScheduler>>>,
    pub quarantine: Mutex<QuarantineList>,
    pub journal: Journal,
    pub exchanger: Exchanger,
    pub clock: Arc<dyn Clock>,
    pub metrics: GateMetrics,
    policy: String,
    seed: u64,
}

impl PrimarySchedulers {
    /// Creates an empty set of schedulers whose queues use the scheduling policy
    /// named `policy`.
    pub fn new(
        clock: Arc<dyn Clock>,
        limits: GateLimits,
        journal: Journal,
        metrics: GateMetrics,
        policy: &str,
        seed: u64,
    ) -> Self {
        let quarantine = QuarantineList::new(Duration::from_millis(limits.quarantine_ms));
        Self {
            shared: Arc::new(SchedulersShared {
                schedulers: ArcSwap::default(),
                retired: Mutex::new(Vec::new()),
                quarantine: Mutex::new(quarantine),
                journal,
                exchanger: Exchanger {
                    clock: Arc::clone(&clock),
                    limits,
                },
                clock,
                metrics,
                policy: policy.to_owned(),
                seed,
            }),
        }
    }

    /// Adds, updates and retires schedulers to match the upstreams that this host
    /// is the primary of.
    ///
    /// # Errors
    ///
    /// Fails when the scheduling policy is unknown.
    pub fn update<'a>(
        &self,
        primaries: &[PrimaryUpstream],
        sheet: Option<&Sheet>,
        entry_of: impl Fn(&UpstreamId) -> Option<&'a UpstreamEntry>,
    ) -> Result<(), UnknownPlugin> {
        let current = self.shared.schedulers.load_full();
        let mut next = SchedulerMap::with_capacity(primaries.len());
        for upstream in primaries {
            let Some(entry) = entry_of(&upstream.id) else {
                continue;
            };
            let plan = admission_plan(sheet, entry);
            let scheduler = match current.get(&upstream.id) {
                Some(scheduler) => Arc::clone(scheduler),
                None => Arc::new(self.new_scheduler(upstream, entry, plan.clone())?),
            };
            scheduler.set_plan(plan);
            scheduler.update(upstream);
            next.insert(upstream.id.clone(), scheduler);
        }
        let retired: Vec<_> = current
            .values()
            .filter(|scheduler| !next.contains_key(scheduler.id()))
            .cloned()
            .collect();
        self.shared.schedulers.store(Arc::new(next));
        for scheduler in retired {
            scheduler.retire();
            self.shared.retired.lock().push(scheduler);
        }
        Ok(())
    }

    fn new_scheduler(
        &self,
        upstream: &PrimaryUpstream,
        entry: &UpstreamEntry,
        plan: AdmissionPlan,
    ) -> Result<UpstreamScheduler, UnknownPlugin> {
        let shared = &self.shared;
        let queue = AdmissionQueue::new(plan, &shared.policy, shared.seed)?;
        let clock = Arc::clone(&shared.clock);
        Ok(UpstreamScheduler::new(
            upstream,
            &entry.address,
            queue,
            clock,
        ))
    }

    /// Sets the leases, which change more often than the rest of the state.
    pub fn set_leases<'a>(
        &self,
        leases: impl Iterator<Item = (&'a UpstreamId, Epoch, Option<Moment>)>,
    ) {
        let now = self.shared.clock.now();
        let schedulers = self.shared.schedulers.load();
        for (id, epoch, usable_until) in leases {
            if let Some(scheduler) = schedulers.get(id) {
                scheduler.lease.set(epoch, usable_until);
                scheduler.refuse_queued_if_lapsed(now);
            }
        }
    }

    /// Records that an upstream's process has been restarted.
    pub fn record_restart(&self, id: &UpstreamId) {
        if let Some(scheduler) = self.scheduler(id) {
            scheduler.record_restart();
        }
    }

    /// Returns the expected queueing time of standard requests at each upstream,
    /// in milliseconds.
    pub fn expected_waits_ms(&self) -> IndexMap<UpstreamId, u32> {
        let schedulers = self.shared.schedulers.load();
        let waits = schedulers.iter().map(|(id, scheduler)| {
            let wait = scheduler.expected_wait(Rank::Standard);
            (
                id.clone(),
                wait.as_millis().min(u128::from(u32::MAX)) as u32,
            )
        });
        waits.collect()
    }

    /// Returns the loads since the previous call, `elapsed` ago.
    pub fn drain_loads(&self, elapsed: Duration) -> Vec<ShardLoad> {
        let elapsed_us = elapsed.as_micros().max(1) as u64;
        let mut loads = Vec::new();
        for (id, scheduler) in self.shared.schedulers.load().iter() {
            for load in scheduler.drain_loads() {
                loads.push(ShardLoad {
                    upstream: id.clone(),
                    shard: load.shard,
                    slot_ms: (load.slot_us * 1_000 / elapsed_us) as u32,
                });
            }
        }
        loads
    }

    /// Returns the suspects to report to other hosts.
    pub fn suspects(&self) -> Vec<Suspect> {
        let now = self.shared.clock.now();
        let quarantine = self.shared.quarantine.lock();
        let suspects = quarantine
            .iter(now)
            .map(|(fingerprint, losses, remaining)| Suspect {
                fingerprint,
                losses,
                remaining_ms: remaining.as_millis() as u32,
            });
        suspects.collect()
    }

    /// Merges the suspects that another host reported.
    pub fn apply_suspects(&self, suspects: &[Suspect]) {
        if suspects.is_empty() {
            return;
        }
        let now = self.shared.clock.now();
        let mut quarantine = self.shared.quarantine.lock();
        for suspect in suspects {
            let remaining = Duration::from_millis(u64::from(suspect.remaining_ms));
            quarantine.merge(now, suspect.fingerprint, suspect.losses, remaining);
        }
    }

    /// Returns the numbers of running and queued requests of all schedulers.
    pub fn occupancy(&self) -> (u32, usize) {
        let mut total = (0, 0);
        let mut retired = self.shared.retired.lock();
        retired.retain(|scheduler| scheduler.occupancy() != (0, 0));
        let schedulers = self.shared.schedulers.load();
        for scheduler in schedulers.values().chain(retired.iter()) {
            let (running, queued) = scheduler.occupancy();
            total.0 += running;
            total.1 += queued;
        }
        total
    }

    pub(crate) fn scheduler(&self, id: &UpstreamId) -> Option<Arc<UpstreamScheduler>> {
        self.shared.schedulers.load().get(id).cloned()
    }
}

fn admission_plan(sheet: Option<&Sheet>, entry: &UpstreamEntry) -> AdmissionPlan {
    let Some(sheet) = sheet else {
        return AdmissionPlan::with_slots(entry.slots);
    };
    match sheet.services.get(&entry.service) {
        Some(plan) => AdmissionPlan::from_sheet(sheet, plan, entry.slots),
        None => AdmissionPlan::with_slots(entry.slots),
    }
}
