//! The queue of one upstream and the decision what runs next.

use crate::customer::{QueuedWork, RankQueue};
use crate::{
    AdmissionPlan, ConcurrencyLimit, RankView, SchedulingPlugin, SchedulingPolicy, SlotUsage,
};
use indexmap::IndexMap;
use kernel::{Cause, CustomerName, Moment, Refusal, UnknownPlugin, find_plugin};
use sheet::Rank;
use std::time::Duration;

/// Numbers the requests at one upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct WorkId(pub u64);

/// A request that wants a slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkItem {
    /// Its number.
    pub id: WorkId,
    /// Its urgency.
    pub rank: Rank,
    /// Whose it is.
    pub customer: CustomerName,
    /// Whether it holds a slot for long.
    pub is_long: bool,
    /// Expected time in a slot.
    pub expected: Duration,
    /// When its caller gives up.
    pub deadline: Moment,
}

/// What becomes of a queued request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum QueueDecision {
    /// It has a slot now.
    Run(WorkItem),
    /// It is refused; it has not run.
    Refuse(WorkItem, Refusal),
}

/// Work that holds a slot.
#[derive(Clone, Debug)]
struct RunningWork {
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
    work: IndexMap<WorkId, RunningWork>,
    evicted: Vec<(WorkItem, Refusal)>,
}

impl AdmissionQueue {
    /// Builds an empty queue with the pick policy named `policy`.
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
            policy: (plugin.make)(),
            usage: SlotUsage::new(),
            long_running: 0,
            work: IndexMap::new(),
            evicted: Vec::new(),
        })
    }

    /// Follows a change of the sheet.
    pub fn set_plan(&mut self, plan: AdmissionPlan) {
        self.concurrency.set_slots(plan.slots);
        self.plan = plan;
    }

    /// Returns the limit that follows the upstream's answers.
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
    /// Refuses a request whose deadline can't be met, or when its rank's queue
    /// is full and no customer has more queued than this one.
    pub fn push(&mut self, now: Moment, item: WorkItem) -> Result<(), Refusal> {
        let wait = self.expected_wait_of(&item);
        if now + wait + item.expected > item.deadline {
            let refusal = Refusal::new(Cause::DeadlineUnreachable);
            return Err(refusal.after(self.retry_after(wait)));
        }
        if self.queues[item.rank.index()].len() >= self.plan.queue_limit as usize {
            self.make_room(&item)?;
        }
        let queue = &mut self.queues[item.rank.index()];
        queue.push(QueuedWork {
            item,
            queued_at: now,
        });
        Ok(())
    }

    /// Takes the next decision, if any is due.
    pub fn pop(&mut self, now: Moment) -> Option<QueueDecision> {
        if let Some((item, refusal)) = self.evicted.pop() {
            return Some(QueueDecision::Refuse(item, refusal));
        }
        if self.running >= self.concurrency.limit() {
            return None;
        }
        let takes_long = self.long_running < self.plan.long_slots;
        let ranks = self.rank_views(takes_long);
        let rank = self.policy.pick(&ranks)?;
        let queue = &mut self.queues[rank.index()];
        let work = if self.policy.is_fair() {
            queue.pop_fair(takes_long)?
        } else {
            queue.pop_oldest(takes_long)?
        };
        if now + work.item.expected > work.item.deadline {
            let wait = self.expected_wait(rank);
            let refusal = Refusal::new(Cause::DeadlineUnreachable).after(self.retry_after(wait));
            return Some(QueueDecision::Refuse(work.item, refusal));
        }
        self.start(now, &work.item);
        Some(QueueDecision::Run(work.item))
    }

    /// Takes a queued request out, as when its caller has gone.
    pub fn cancel(&mut self, id: WorkId) -> bool {
        let mut queues = self.queues.iter_mut();
        queues.any(|queue| queue.remove(id).is_some())
    }

    /// Notes that a request has given its slot back after `used`.
    pub fn finish(&mut self, now: Moment, id: WorkId, used: Duration) {
        let Some(work) = self.work.swap_remove(&id) else {
            return;
        };
        self.running -= 1;
        self.running_expected_ms = (self.running_expected_ms - work.expected_ms).max(0.0);
        self.long_running -= u32::from(work.is_long);
        let correction_ms = used.as_secs_f64() * 1_000.0 - work.expected_ms;
        self.usage.charge(now, work.rank, correction_ms);
        let weight = f64::from(self.plan.share_of(&work.customer));
        let queue = &mut self.queues[work.rank.index()];
        queue.charge(&work.customer, correction_ms / weight);
        queue.tidy(self.running == 0);
    }

    fn start(&mut self, now: Moment, item: &WorkItem) {
        let expected_ms = item.expected.as_secs_f64() * 1_000.0;
        self.running += 1;
        self.running_expected_ms += expected_ms;
        self.long_running += u32::from(item.is_long);
        self.usage.charge(now, item.rank, expected_ms);
        let weight = f64::from(self.plan.share_of(&item.customer));
        self.queues[item.rank.index()].charge(&item.customer, expected_ms / weight);
        self.work.insert(
            item.id,
            RunningWork {
                rank: item.rank,
                customer: item.customer.clone(),
                is_long: item.is_long,
                expected_ms,
            },
        );
    }

    fn rank_views(&self, takes_long: bool) -> [RankView; 3] {
        let wants_age = !self.policy.is_fair();
        Rank::ALL.map(|rank| {
            let queue = &self.queues[rank.index()];
            let oldest = if wants_age {
                queue.oldest(takes_long)
            } else {
                queue.has_eligible(takes_long)
            };
            RankView {
                rank,
                oldest,
                share: self.usage.share(rank, self.plan.slots),
                floor: self.plan.floors.share(rank),
            }
        })
    }

    /// Takes the newest request of a customer with more queued out of a full queue.
    fn make_room(&mut self, item: &WorkItem) -> Result<(), Refusal> {
        let wait = self.expected_wait(item.rank);
        let refusal = Refusal::new(Cause::QueueFull).after(self.retry_after(wait));
        let queue = &mut self.queues[item.rank.index()];
        let own = queue.queued_by(&item.customer);
        let Some(evicted) = queue.evict_from_longest(own + 1) else {
            return Err(refusal);
        };
        self.evicted.push((evicted.item, refusal));
        Ok(())
    }
}
