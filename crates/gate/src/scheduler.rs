//! The scheduler of one upstream at its primary: its lease, request queue, slots
//! and connections.

use crate::pool::ConnectionPool;
use crate::request::ResolvedRequest;
use arc_swap::ArcSwap;
use futures::channel::oneshot;
use indexmap::IndexMap;
use kernel::{Cause, Clock, Epoch, Moment, Refusal, ServiceName, ShardId, UpstreamId};
use limit::{
    AdmissionPlan, AdmissionQueue, CostEstimator, QueueDecision, SlotRequest, SlotRequestId,
};
use owner::{PrimaryUpstream, ShardPhase};
use parking_lot::Mutex;
use sheet::Rank;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// For how long after its end a suspect is still blamed for the loss of the
/// upstream.
const SUSPECT_GRACE: Duration = Duration::from_millis(250);

/// The lease, which is checked before every request that is sent.
#[derive(Debug, Default)]
pub struct LeaseCell {
    epoch: AtomicU64,
    usable_until_us: AtomicU64,
    is_leaving: AtomicBool,
}

impl LeaseCell {
    /// Sets the lease; `None` means that no request may be sent.
    pub fn set(&self, epoch: Epoch, usable_until: Option<Moment>) {
        self.epoch.store(epoch.0, Ordering::SeqCst);
        let until_us = usable_until.map_or(0, Moment::as_micros);
        self.usable_until_us.store(until_us, Ordering::SeqCst);
    }

    /// Returns the epoch if requests may be sent at `now`.
    ///
    /// # Errors
    ///
    /// Fails with [`Cause::LeaseLapsed`] if there is no lease or it has expired.
    pub fn check(&self, now: Moment) -> Result<Epoch, Cause> {
        if now.as_micros() >= self.usable_until_us.load(Ordering::SeqCst) {
            return Err(Cause::LeaseLapsed);
        }
        Ok(Epoch(self.epoch.load(Ordering::SeqCst)))
    }
}

/// Whether a shard's requests may be sent, and under which epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShardPermit {
    /// Epoch of the shard's assignment.
    pub epoch: Epoch,
    /// State of its grant.
    pub phase: ShardPhase,
}

/// Slot time that the requests of one shard have used since it was last drained.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShardUsage {
    /// The shard; `None` for unsharded services.
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
    queue: Mutex<AdmissionQueue>,
    waiters: Mutex<IndexMap<SlotRequestId, oneshot::Sender<Result<SlotGuard, Refusal>>>>,
    next_request_id: AtomicU64,
    pub(crate) pool: Arc<ConnectionPool>,
    costs: Mutex<CostEstimator>,
    /// Slot time used by each shard since it was last drained, in microseconds.
    slot_time: Mutex<IndexMap<Option<ShardId>, u64>>,
    /// Held by the suspect that runs, so that suspects run one at a time.
    pub(crate) suspect_lock: futures::lock::Mutex<()>,
    /// Fingerprint of the last suspect and when it ended, which is `None` while it
    /// runs.
    last_suspect: Mutex<Option<(u64, Option<Moment>)>>,
    clock: Arc<dyn Clock>,
}

/// A slot that is freed when the guard is dropped.
#[derive(Debug)]
pub(crate) struct SlotGuard {
    scheduler: Arc<UpstreamScheduler>,
    request_id: SlotRequestId,
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
        self.scheduler
            .queue
            .lock()
            .finish(now, self.request_id, used);
        self.scheduler.dispatch(now);
    }
}

/// Removes a request from the queue when its future is dropped while waiting.
struct QueueGuard<'a> {
    scheduler: &'a Arc<UpstreamScheduler>,
    request_id: SlotRequestId,
}

impl Drop for QueueGuard<'_> {
    fn drop(&mut self) {
        let was_waiting = self
            .scheduler
            .waiters
            .lock()
            .swap_remove(&self.request_id)
            .is_some();
        if was_waiting {
            self.scheduler.queue.lock().cancel(self.request_id);
        }
    }
}

impl UpstreamScheduler {
    pub(crate) fn new(
        primary: &PrimaryUpstream,
        address: &str,
        queue: AdmissionQueue,
        clock: Arc<dyn Clock>,
    ) -> Self {
        Self {
            id: primary.id.clone(),
            service: primary.service.clone(),
            lease: LeaseCell::default(),
            shards: ArcSwap::default(),
            queue: Mutex::new(queue),
            waiters: Mutex::new(IndexMap::new()),
            next_request_id: AtomicU64::new(1),
            pool: Arc::new(ConnectionPool::new(
                address,
                CONNECT_TIMEOUT,
                "/health",
                Arc::clone(&clock),
            )),
            costs: Mutex::new(CostEstimator::default()),
            slot_time: Mutex::new(IndexMap::new()),
            suspect_lock: futures::lock::Mutex::new(()),
            last_suspect: Mutex::new(None),
            clock,
        }
    }

    /// Returns the upstream's id.
    pub fn id(&self) -> &UpstreamId {
        &self.id
    }

    /// Returns the upstream's service.
    pub fn service(&self) -> &ServiceName {
        &self.service
    }

    /// Applies the lease and grants of the control state.
    pub(crate) fn update(&self, primary: &PrimaryUpstream) {
        self.lease.set(primary.epoch, primary.usable_until);
        self.lease
            .is_leaving
            .store(primary.is_leaving, Ordering::SeqCst);
        let mut shards = IndexMap::with_capacity(primary.grants.len());
        for (grant, phase) in &primary.grants {
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

    /// Applies the limits of a changed sheet.
    pub(crate) fn set_plan(&self, plan: AdmissionPlan) {
        self.queue.lock().set_plan(plan);
    }

    /// Refuses all queued requests as not run if the lease has expired.
    ///
    /// They can then run elsewhere at once, instead of waiting for slots that are
    /// occupied by requests to a silent upstream.
    pub(crate) fn refuse_queued_if_lapsed(&self, now: Moment) {
        if self.lease.check(now).is_ok() {
            return;
        }
        let waiters = std::mem::take(&mut *self.waiters.lock());
        let mut queue = self.queue.lock();
        for (request_id, waiter) in waiters {
            queue.cancel(request_id);
            // The waiter may have been dropped.
            let _send_result = waiter.send(Err(Cause::LeaseLapsed.into()));
        }
    }

    /// Stops sending and refuses queued requests as not run.
    pub(crate) fn retire(&self) {
        self.lease.set(Epoch(0), None);
        self.refuse_queued_if_lapsed(self.clock.now());
    }

    /// Returns the primary's epoch if a request may be sent now.
    ///
    /// # Errors
    ///
    /// Fails when the lease has expired, when the upstream is leaving, or when it
    /// has no usable grant for the shard.
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

    /// Returns the expected queueing time of a new request of `rank`.
    pub(crate) fn expected_wait(&self, rank: Rank) -> Duration {
        self.queue.lock().expected_wait(rank)
    }

    /// Returns the slot time that a request is expected to need.
    pub(crate) fn expected_cost(&self, request: &ResolvedRequest) -> Duration {
        self.costs
            .lock()
            .expected(&request.kind, request.planned_cost)
    }

    /// Checks that a request can be expected to meet its deadline.
    ///
    /// # Errors
    ///
    /// Fails with [`Cause::DeadlineUnreachable`] if it can't.
    pub(crate) fn check_deadline(
        &self,
        now: Moment,
        request: &ResolvedRequest,
    ) -> Result<(), Refusal> {
        let expected = self.expected_cost(request);
        let wait = self.expected_wait(request.rank);
        if now + wait + expected <= request.deadline {
            return Ok(());
        }
        Err(Refusal::new(Cause::DeadlineUnreachable).with_retry_after(wait))
    }

    /// Queues a request and waits for a slot.
    ///
    /// # Errors
    ///
    /// Fails when the queue refuses the request, when the lease expires while the
    /// request is queued, or when its deadline passes.
    pub(crate) async fn admit(
        self: &Arc<Self>,
        request: &ResolvedRequest,
    ) -> Result<SlotGuard, Refusal> {
        let now = self.clock.now();
        let request_id = SlotRequestId(self.next_request_id.fetch_add(1, Ordering::Relaxed));
        let slot_request = SlotRequest {
            id: request_id,
            rank: request.rank,
            customer: request.customer.clone(),
            is_long: request.is_long,
            expected: self.expected_cost(request),
            deadline: request.deadline,
        };
        let (outcome_sender, outcome_receiver) = oneshot::channel();
        self.waiters.lock().insert(request_id, outcome_sender);
        let guard = QueueGuard {
            scheduler: self,
            request_id,
        };
        self.queue.lock().push(now, slot_request)?;
        self.dispatch(now);
        let remaining = request.deadline - now;
        let decided = async_std::future::timeout(remaining, outcome_receiver).await;
        drop(guard);
        let mut slot = match decided {
            Ok(Ok(decision)) => decision?,
            Ok(Err(_)) | Err(_) => return Err(Cause::DeadlineUnreachable.into()),
        };
        slot.shard = request.shard.map(|(shard, _)| shard);
        slot.kind = Some((request.kind.clone(), request.planned_cost));
        Ok(slot)
    }

    /// Gives free slots to queued requests, and notifies those that the queue refuses.
    pub(crate) fn dispatch(self: &Arc<Self>, now: Moment) {
        loop {
            let Some(decision) = self.queue.lock().pop(now) else {
                return;
            };
            self.notify(now, decision);
        }
    }

    fn notify(self: &Arc<Self>, now: Moment, decision: QueueDecision) {
        let (request_id, outcome) = match decision {
            QueueDecision::Run(request) => (request.id, Ok(self.slot_guard(now, request.id))),
            QueueDecision::Refuse(request, refusal) => (request.id, Err(refusal)),
        };
        let waiter = self.waiters.lock().swap_remove(&request_id);
        if let Some(waiter) = waiter {
            // If the waiter has been dropped, the slot is dropped and freed here.
            let _send_result = waiter.send(outcome);
        }
    }

    fn slot_guard(self: &Arc<Self>, now: Moment, request_id: SlotRequestId) -> SlotGuard {
        SlotGuard {
            scheduler: Arc::clone(self),
            request_id,
            started_at: now,
            shard: None,
            kind: None,
        }
    }

    /// Records that the upstream refused a request for lack of capacity.
    pub(crate) fn record_refusal(&self) {
        self.queue.lock().concurrency_mut().record_refusal();
    }

    /// Records that the upstream ran a request.
    pub(crate) fn record_success(&self) {
        self.queue.lock().concurrency_mut().record_success();
    }

    /// Records that the upstream's process has been restarted.
    pub(crate) fn record_restart(&self) {
        self.pool.clear();
        self.queue.lock().concurrency_mut().reset_for_cold_start();
    }

    /// Records that a suspect is running, or when it ended.
    pub(crate) fn set_suspect(&self, fingerprint: u64, ended_at: Option<Moment>) {
        *self.last_suspect.lock() = Some((fingerprint, ended_at));
    }

    /// Returns whether another request is blamed if the upstream is lost now.
    pub(crate) fn blames_other(&self, now: Moment, fingerprint: u64) -> bool {
        let suspect = *self.last_suspect.lock();
        let Some((suspect, ended_at)) = suspect else {
            return false;
        };
        suspect != fingerprint && ended_at.is_none_or(|at| now - at <= SUSPECT_GRACE)
    }

    /// Returns the slot time used since the previous call.
    pub(crate) fn drain_loads(&self) -> Vec<ShardUsage> {
        let drained = std::mem::take(&mut *self.slot_time.lock());
        let loads = drained.into_iter();
        loads
            .map(|(shard, slot_us)| ShardUsage { shard, slot_us })
            .collect()
    }

    /// Returns the numbers of running and queued requests.
    pub(crate) fn occupancy(&self) -> (u32, usize) {
        let queue = self.queue.lock();
        (queue.running(), queue.queued())
    }
}
