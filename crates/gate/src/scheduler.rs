//! The scheduler of one upstream at its primary: lease, queue, slots and connections.

use crate::pool::ConnectionPool;
use crate::request::ResolvedRequest;
use arc_swap::ArcSwap;
use futures::channel::oneshot;
use indexmap::IndexMap;
use kernel::{Cause, Clock, Epoch, Moment, Refusal, ServiceName, ShardId, UpstreamId};
use limit::{AdmissionPlan, AdmissionQueue, CostEstimator, QueueDecision, WorkId, WorkItem};
use owner::{PrimaryUpstream, ShardPhase};
use parking_lot::Mutex;
use sheet::Rank;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

const CONNECT_LIMIT: Duration = Duration::from_millis(250);
/// A suspect that ended this recently still counts as running when others fail.
const SUSPECT_ECHO: Duration = Duration::from_millis(250);

/// The lease as traffic checks it, at every send.
#[derive(Debug, Default)]
pub struct LeaseCell {
    epoch: AtomicU64,
    usable_until_us: AtomicU64,
    is_leaving: AtomicBool,
}

impl LeaseCell {
    /// Sets the lease; `None` when work may not be sent.
    pub fn set(&self, epoch: Epoch, usable_until: Option<Moment>) {
        self.epoch.store(epoch.0, Ordering::SeqCst);
        let until_us = usable_until.map_or(0, Moment::as_micros);
        self.usable_until_us.store(until_us, Ordering::SeqCst);
    }

    /// Returns the epoch if work may be sent at `now`.
    ///
    /// # Errors
    ///
    /// Fails with [`Cause::LeaseLapsed`] otherwise.
    pub fn check(&self, now: Moment) -> Result<Epoch, Cause> {
        if now.as_micros() >= self.usable_until_us.load(Ordering::SeqCst) {
            return Err(Cause::LeaseLapsed);
        }
        Ok(Epoch(self.epoch.load(Ordering::SeqCst)))
    }
}

/// Whether a shard's work may be sent, and under which epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShardPermit {
    /// The epoch of the assignment.
    pub epoch: Epoch,
    /// How far its grant is.
    pub phase: ShardPhase,
}

/// Slot time that a scheduler's requests used since the last call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShardUsage {
    /// The shard; absent for undivided services.
    pub shard: Option<ShardId>,
    /// Slot time, in microseconds.
    pub slot_us: u64,
}

/// The scheduler of one upstream.
#[derive(Debug)]
pub struct UpstreamScheduler {
    id: UpstreamId,
    service: ServiceName,
    pub(crate) lease: LeaseCell,
    shards: ArcSwap<IndexMap<ShardId, ShardPermit>>,
    admission: Mutex<AdmissionQueue>,
    waiters: Mutex<IndexMap<WorkId, oneshot::Sender<Result<SlotGuard, Refusal>>>>,
    next_work: AtomicU64,
    pub(crate) pool: Arc<ConnectionPool>,
    costs: Mutex<CostEstimator>,
    slot_time: Mutex<IndexMap<Option<ShardId>, u64>>,
    pub(crate) suspect_turn: futures::lock::Mutex<()>,
    last_suspect: Mutex<Option<(u64, Option<Moment>)>>,
    clock: Arc<dyn Clock>,
}

/// A slot, given back when dropped.
#[derive(Debug)]
pub(crate) struct SlotGuard {
    scheduler: Arc<UpstreamScheduler>,
    work: WorkId,
    started_at: Moment,
    shard: Option<ShardId>,
    kind: Option<(String, Duration)>,
}

impl SlotGuard {
    pub fn scheduler(&self) -> &Arc<UpstreamScheduler> {
        &self.scheduler
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        let now = self.scheduler.clock.now();
        let used = now - self.started_at;
        if let Some((kind, planned)) = &self.kind {
            self.scheduler.costs.lock().observe(kind, *planned, used);
        }
        let mut slot_time = self.scheduler.slot_time.lock();
        *slot_time.entry(self.shard).or_insert(0) += used.as_micros() as u64;
        drop(slot_time);
        self.scheduler.admission.lock().finish(now, self.work, used);
        self.scheduler.pump(now);
    }
}

/// Takes a request out of the queue when its caller stops waiting.
struct QueueGuard<'a> {
    scheduler: &'a Arc<UpstreamScheduler>,
    work: WorkId,
}

impl Drop for QueueGuard<'_> {
    fn drop(&mut self) {
        let was_waiting = self
            .scheduler
            .waiters
            .lock()
            .swap_remove(&self.work)
            .is_some();
        if was_waiting {
            self.scheduler.admission.lock().cancel(self.work);
        }
    }
}

impl UpstreamScheduler {
    pub(crate) fn new(
        owned: &PrimaryUpstream,
        address: &str,
        admission: AdmissionQueue,
        clock: Arc<dyn Clock>,
    ) -> Self {
        Self {
            id: owned.id.clone(),
            service: owned.service.clone(),
            lease: LeaseCell::default(),
            shards: ArcSwap::default(),
            admission: Mutex::new(admission),
            waiters: Mutex::new(IndexMap::new()),
            next_work: AtomicU64::new(1),
            pool: Arc::new(ConnectionPool::new(
                address,
                CONNECT_LIMIT,
                "/health",
                Arc::clone(&clock),
            )),
            costs: Mutex::new(CostEstimator::default()),
            slot_time: Mutex::new(IndexMap::new()),
            suspect_turn: futures::lock::Mutex::new(()),
            last_suspect: Mutex::new(None),
            clock,
        }
    }

    /// Returns the upstream's id.
    pub fn id(&self) -> &UpstreamId {
        &self.id
    }

    /// Returns the service.
    pub fn service(&self) -> &ServiceName {
        &self.service
    }

    /// Follows the control state.
    pub(crate) fn update(&self, owned: &PrimaryUpstream) {
        self.lease.set(owned.epoch, owned.usable_until);
        self.lease
            .is_leaving
            .store(owned.is_leaving, Ordering::SeqCst);
        let mut shards = IndexMap::with_capacity(owned.grants.len());
        for (grant, phase) in &owned.grants {
            shards.insert(
                grant.shard,
                ShardPermit {
                    epoch: grant.epoch,
                    phase: *phase,
                },
            );
        }
        self.shards.store(Arc::new(shards));
    }

    /// Follows a change of the sheet.
    pub(crate) fn set_plan(&self, plan: AdmissionPlan) {
        self.admission.lock().set_plan(plan);
    }

    /// Refuses all queued requests as not run once the lease has lapsed.
    ///
    /// They can run elsewhere at once instead of waiting for slots that
    /// requests to a silent upstream hold.
    pub(crate) fn flush_if_lapsed(&self, now: Moment) {
        if self.lease.check(now).is_ok() {
            return;
        }
        let waiters = std::mem::take(&mut *self.waiters.lock());
        let mut admission = self.admission.lock();
        for (work, waiter) in waiters {
            admission.cancel(work);
            // A waiter that has gone needs no answer.
            let _gone = waiter.send(Err(Cause::LeaseLapsed.into()));
        }
    }

    /// Stops sending; queued requests are refused as not run.
    pub(crate) fn retire(&self) {
        self.lease.set(Epoch(0), None);
        self.flush_if_lapsed(self.clock.now());
    }

    /// Checks that work may be sent now, under which primary epoch.
    ///
    /// # Errors
    ///
    /// Fails with the cause when the lease has lapsed, the upstream is leaving
    /// or the shard is not its own.
    pub(crate) fn check(
        &self,
        now: Moment,
        shard: Option<(ShardId, Epoch)>,
    ) -> Result<Epoch, Cause> {
        let epoch = self.lease.check(now)?;
        if self.lease.is_leaving.load(Ordering::SeqCst) {
            return Err(Cause::UpstreamLeaving);
        }
        let Some((shard, shard_epoch)) = shard else {
            return Ok(epoch);
        };
        match self.shards.load().get(&shard) {
            Some(permit) if permit.epoch != shard_epoch => Err(Cause::NotPrimary),
            Some(permit) if permit.phase == ShardPhase::Ready => Ok(epoch),
            Some(_) => Err(Cause::ShardMoving),
            None => Err(Cause::NotPrimary),
        }
    }

    /// Returns the expected wait of a new request of `rank`.
    pub(crate) fn expected_wait(&self, rank: Rank) -> Duration {
        self.admission.lock().expected_wait(rank)
    }

    /// Returns the slot time that a request is expected to need.
    pub(crate) fn expected_cost(&self, order: &ResolvedRequest) -> Duration {
        self.costs.lock().expected(&order.kind, order.planned_cost)
    }

    /// Refuses a request whose deadline can't be met, without queueing it.
    pub(crate) fn check_deadline(
        &self,
        now: Moment,
        order: &ResolvedRequest,
    ) -> Result<(), Refusal> {
        let expected = self.expected_cost(order);
        let wait = self.expected_wait(order.rank);
        if now + wait + expected <= order.deadline {
            return Ok(());
        }
        Err(Refusal::new(Cause::DeadlineUnreachable).after(wait))
    }

    /// Waits for a slot.
    pub(crate) async fn admit(
        self: &Arc<Self>,
        order: &ResolvedRequest,
    ) -> Result<SlotGuard, Refusal> {
        let now = self.clock.now();
        let work = WorkId(self.next_work.fetch_add(1, Ordering::Relaxed));
        let item = WorkItem {
            id: work,
            rank: order.rank,
            customer: order.customer.clone(),
            is_long: order.is_long,
            expected: self.expected_cost(order),
            deadline: order.deadline,
        };
        let (sender, receiver) = oneshot::channel();
        self.waiters.lock().insert(work, sender);
        let guard = QueueGuard {
            scheduler: self,
            work,
        };
        self.admission.lock().push(now, item)?;
        self.pump(now);
        let left = order.deadline - now;
        let decided = async_std::future::timeout(left, receiver).await;
        drop(guard);
        let mut slot = match decided {
            Ok(Ok(decision)) => decision?,
            Ok(Err(_)) | Err(_) => return Err(Cause::DeadlineUnreachable.into()),
        };
        slot.shard = order.shard.map(|(shard, _)| shard);
        slot.kind = Some((order.kind.clone(), order.planned_cost));
        Ok(slot)
    }

    /// Hands free slots out.
    pub(crate) fn pump(self: &Arc<Self>, now: Moment) {
        loop {
            let Some(decision) = self.admission.lock().pop(now) else {
                return;
            };
            self.announce(now, decision);
        }
    }

    fn announce(self: &Arc<Self>, now: Moment, decision: QueueDecision) {
        let (work, outcome) = match decision {
            QueueDecision::Run(item) => (item.id, Ok(self.slot(now, item.id))),
            QueueDecision::Refuse(item, refusal) => (item.id, Err(refusal)),
        };
        let waiter = self.waiters.lock().swap_remove(&work);
        if let Some(waiter) = waiter {
            // A waiter that has gone drops the slot, which gives it back.
            let _gone = waiter.send(outcome);
        }
    }

    fn slot(self: &Arc<Self>, now: Moment, work: WorkId) -> SlotGuard {
        SlotGuard {
            scheduler: Arc::clone(self),
            work,
            started_at: now,
            shard: None,
            kind: None,
        }
    }

    /// Notes that the upstream refused work for want of capacity.
    pub(crate) fn record_refusal(&self) {
        self.admission.lock().concurrency_mut().record_refusal();
    }

    /// Notes that the upstream completed work.
    pub(crate) fn record_success(&self) {
        self.admission.lock().concurrency_mut().record_success();
    }

    /// Notes that the upstream has started anew.
    pub(crate) fn note_restart(&self) {
        self.pool.clear();
        self.admission.lock().concurrency_mut().reset_cold();
    }

    /// Notes that a suspect runs, or that it has ended.
    pub(crate) fn set_suspect(&self, fingerprint: u64, ended_at: Option<Moment>) {
        *self.last_suspect.lock() = Some((fingerprint, ended_at));
    }

    /// Returns whether another request is to blame when the upstream dies now.
    pub(crate) fn blames_other(&self, now: Moment, fingerprint: u64) -> bool {
        let suspect = *self.last_suspect.lock();
        let Some((suspect, ended_at)) = suspect else {
            return false;
        };
        suspect != fingerprint && ended_at.is_none_or(|at| now - at <= SUSPECT_ECHO)
    }

    /// Takes the slot time used since the last call.
    pub(crate) fn drain_loads(&self) -> Vec<ShardUsage> {
        let taken = std::mem::take(&mut *self.slot_time.lock());
        let loads = taken.into_iter();
        loads
            .map(|(shard, slot_us)| ShardUsage { shard, slot_us })
            .collect()
    }

    /// Returns running and queued requests.
    pub(crate) fn occupancy(&self) -> (u32, usize) {
        let admission = self.admission.lock();
        (admission.running(), admission.queued())
    }
}
