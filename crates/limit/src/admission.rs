//! The queue of one upstream, and the decision which request runs next.

use crate::customer::{QueuedRequest, RankQueue};
use crate::{
    AdmissionPlan, ConcurrencyLimit, RankView, SchedulingPlugin, SchedulingPolicy, SlotUsage,
};
use indexmap::IndexMap;
use kernel::{Cause, CustomerName, Moment, Refusal, UnknownPlugin, find_plugin};
use sheet::Rank;
use std::time::Duration;

/// Number of a slot request at one upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct SlotRequestId(pub u64);

/// A request for a slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SlotRequest {
    /// Its number.
    pub id: SlotRequestId,
    /// Its rank.
    pub rank: Rank,
    /// The customer that sent it.
    pub customer: CustomerName,
    /// Whether it may hold a slot for long.
    pub is_long: bool,
    /// Expected time in a slot.
    pub expected: Duration,
    /// Time at which its client stops waiting.
    pub deadline: Moment,
}

/// Decision on a queued request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum QueueDecision {
    /// It has a slot and may run.
    Run(SlotRequest),
    /// It is refused and has not run.
    Refuse(SlotRequest, Refusal),
}

/// A request that holds a slot.
#[derive(Clone, Debug)]
struct RunningRequest {
    rank: Rank,
    customer: CustomerName,
    is_long: bool,
    expected_ms: f64,
}

/// The queue of one upstream.
#[derive(Debug)]
pub struct AdmissionQueue {
    pub(crate) plan: AdmissionPlan,
    pub(crate) queues: [RankQueue; 3],
    pub(crate) concurrency: ConcurrencyLimit,
    pub(crate) running: u32,
    pub(crate) running_expected_ms: f64,
    pub(crate) rng: fastrand::Rng,
    policy: Box<dyn SchedulingPolicy>,
    usage: SlotUsage,
    long_running: u32,
    running_requests: IndexMap<SlotRequestId, RunningRequest>,
    evicted: Vec<(SlotRequest, Refusal)>,
}

impl AdmissionQueue {
    /// Creates an empty queue with the scheduling policy named `policy`.
    ///
    /// # Errors
    ///
    /// Fails when no policy of that name is registered.
    pub fn new(plan: AdmissionPlan, policy: &str, seed: u64) -> Result<Self, UnknownPlugin> {
        let plugin = find_plugin::<SchedulingPlugin>(policy)?;
        Ok(Self {
            concurrency: ConcurrencyLimit::new(plan.slots),
            plan,
            queues: Default::default(),
            running: 0,
            running_expected_ms: 0.0,
            rng: fastrand::Rng::with_seed(seed),
            policy: (plugin.build)(),
            usage: SlotUsage::new(),
            long_running: 0,
            running_requests: IndexMap::new(),
            evicted: Vec::new(),
        })
    }

    /// Applies a new plan, as after a change of the sheet.
    pub fn set_plan(&mut self, plan: AdmissionPlan) {
        self.concurrency.set_slots(plan.slots);
        self.plan = plan;
    }

    /// Returns the concurrency limit, which follows the upstream's answers.
    pub fn concurrency_mut(&mut self) -> &mut ConcurrencyLimit {
        &mut self.concurrency
    }

    /// Returns the number of requests that hold a slot.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Returns the number of queued requests.
    pub fn queued(&self) -> usize {
        self.queues.iter().map(RankQueue::len).sum()
    }

    /// Queues a request.
    ///
    /// # Errors
    ///
    /// Refuses a request whose deadline cannot be met, and one whose rank's queue is
    /// full if no other customer has at least two more requests queued.
    pub fn push(&mut self, now: Moment, request: SlotRequest) -> Result<(), Refusal> {
        let wait = self.expected_wait_of(&request);
        if now + wait + request.expected > request.deadline {
            let refusal = Refusal::new(Cause::DeadlineUnreachable);
            return Err(refusal.with_retry_after(self.retry_after(wait)));
        }
        if self.queues[request.rank.index()].len() >= self.plan.queue_limit as usize {
            self.make_room(&request)?;
        }
        let queue = &mut self.queues[request.rank.index()];
        queue.push(QueuedRequest {
            request,
            queued_at: now,
        });
        Ok(())
    }

    /// Returns the next decision, if any is due.
    pub fn pop(&mut self, now: Moment) -> Option<QueueDecision> {
        if let Some((request, refusal)) = self.evicted.pop() {
            return Some(QueueDecision::Refuse(request, refusal));
        }
        if self.running >= self.concurrency.limit() {
            return None;
        }
        let allows_long = self.long_running < self.plan.long_slots;
        let ranks = self.rank_views(allows_long);
        let rank = self.policy.pick(&ranks)?;
        let queue = &mut self.queues[rank.index()];
        let queued = if self.policy.is_fair() {
            queue.pop_fair(allows_long)?
        } else {
            queue.pop_oldest(allows_long)?
        };
        if now + queued.request.expected > queued.request.deadline {
            let wait = self.expected_wait(rank);
            let refusal =
                Refusal::new(Cause::DeadlineUnreachable).with_retry_after(self.retry_after(wait));
            return Some(QueueDecision::Refuse(queued.request, refusal));
        }
        self.start(now, &queued.request);
        Some(QueueDecision::Run(queued.request))
    }

    /// Removes a queued request, as when its client has disconnected; returns whether
    /// it was queued.
    pub fn cancel(&mut self, id: SlotRequestId) -> bool {
        let mut queues = self.queues.iter_mut();
        queues.any(|queue| queue.remove(id).is_some())
    }

    /// Records that a request has released its slot after using it for `used`.
    pub fn finish(&mut self, now: Moment, id: SlotRequestId, used: Duration) {
        let Some(request) = self.running_requests.swap_remove(&id) else {
            return;
        };
        self.running -= 1;
        self.running_expected_ms = (self.running_expected_ms - request.expected_ms).max(0.0);
        self.long_running -= u32::from(request.is_long);
        let correction_ms = used.as_secs_f64() * 1_000.0 - request.expected_ms;
        self.usage.charge(now, request.rank, correction_ms);
        let weight = f64::from(self.plan.weight_of(&request.customer));
        let queue = &mut self.queues[request.rank.index()];
        queue.charge(&request.customer, correction_ms / weight);
        queue.prune(self.running == 0);
    }

    fn start(&mut self, now: Moment, request: &SlotRequest) {
        let expected_ms = request.expected.as_secs_f64() * 1_000.0;
        self.running += 1;
        self.running_expected_ms += expected_ms;
        self.long_running += u32::from(request.is_long);
        self.usage.charge(now, request.rank, expected_ms);
        let weight = f64::from(self.plan.weight_of(&request.customer));
        self.queues[request.rank.index()].charge(&request.customer, expected_ms / weight);
        self.running_requests.insert(
            request.id,
            RunningRequest {
                rank: request.rank,
                customer: request.customer.clone(),
                is_long: request.is_long,
                expected_ms,
            },
        );
    }

    fn rank_views(&self, allows_long: bool) -> [RankView; 3] {
        let needs_oldest = !self.policy.is_fair();
        Rank::ALL.map(|rank| {
            let queue = &self.queues[rank.index()];
            let oldest = if needs_oldest {
                queue.oldest(allows_long)
            } else {
                queue.any_eligible(allows_long)
            };
            RankView {
                rank,
                oldest,
                share: self.usage.share(rank, self.plan.slots),
                floor: self.plan.floors.share(rank),
            }
        })
    }

    /// Makes room in a full queue by evicting the newest request of the customer with
    /// the most queued requests, if that is at least two more than this customer has.
    fn make_room(&mut self, request: &SlotRequest) -> Result<(), Refusal> {
        let wait = self.expected_wait(request.rank);
        let refusal = Refusal::new(Cause::QueueFull).with_retry_after(self.retry_after(wait));
        let queue = &mut self.queues[request.rank.index()];
        let own_queued = queue.queued_by(&request.customer);
        let Some(evicted) = queue.evict_from_longest(own_queued + 1) else {
            return Err(refusal);
        };
        self.evicted.push((evicted.request, refusal));
        Ok(())
    }
}
