//! Queue of one rank, shared fairly among customers.
//!
//! Implements start-time fair queueing (Goyal, Vin and Cheng, 1996): each customer has
//! a virtual time that advances with the slot time charged to it, divided by its
//! weight; the customer with the least virtual time is served next.

use crate::admission::{SlotRequest, SlotRequestId};
use indexmap::IndexMap;
use kernel::{CustomerName, Moment};
use std::collections::VecDeque;

/// Maximum number of customers per rank that are kept without queued requests.
const MAX_IDLE_CUSTOMERS: usize = 64;

/// A queued request.
#[derive(Clone, Debug)]
pub(crate) struct QueuedRequest {
    pub request: SlotRequest,
    pub queued_at: Moment,
}

#[derive(Clone, Debug, Default)]
struct CustomerQueue {
    short: VecDeque<QueuedRequest>,
    long: VecDeque<QueuedRequest>,
    virtual_ms: f64,
}

impl CustomerQueue {
    fn len(&self) -> usize {
        self.short.len() + self.long.len()
    }

    /// Returns the queue whose head was queued first; skips long requests unless
    /// `allows_long`.
    fn next_queue(&mut self, allows_long: bool) -> Option<&mut VecDeque<QueuedRequest>> {
        let short_at = self.short.front().map(|request| request.queued_at);
        let long_at = self.long.front().map(|request| request.queued_at);
        match (short_at, long_at) {
            (Some(short), Some(long)) if allows_long && long < short => Some(&mut self.long),
            (Some(_), _) => Some(&mut self.short),
            (None, Some(_)) if allows_long => Some(&mut self.long),
            _ => None,
        }
    }

    fn oldest(&self, allows_long: bool) -> Option<Moment> {
        let short = self.short.front().map(|request| request.queued_at);
        let long = self.long.front().map(|request| request.queued_at);
        match (short, long.filter(|_| allows_long)) {
            (Some(a), Some(b)) => Some(a.min(b)),
            (a, b) => a.or(b),
        }
    }
}

/// Queue of one rank.
#[derive(Clone, Debug, Default)]
pub(crate) struct RankQueue {
    customers: IndexMap<CustomerName, CustomerQueue>,
    virtual_ms: f64,
    len: usize,
    /// Number of customers with queued requests.
    active_count: usize,
    expected_ms: f64,
}

impl RankQueue {
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns the expected slot time of all queued requests, in milliseconds.
    pub fn expected_ms(&self) -> f64 {
        self.expected_ms
    }

    /// Returns the number of customers with queued requests.
    pub fn customers(&self) -> usize {
        self.active_count
    }

    pub fn queued_by(&self, customer: &CustomerName) -> usize {
        self.customers.get(customer).map_or(0, CustomerQueue::len)
    }

    pub fn push(&mut self, queued: QueuedRequest) {
        let virtual_ms = self.virtual_ms;
        let queue = self
            .customers
            .entry(queued.request.customer.clone())
            .or_insert_with(|| CustomerQueue {
                virtual_ms,
                ..CustomerQueue::default()
            });
        if queue.len() == 0 {
            queue.virtual_ms = queue.virtual_ms.max(virtual_ms);
            self.active_count += 1;
        }
        self.len += 1;
        self.expected_ms += expected_ms_of(&queued.request);
        if queued.request.is_long {
            queue.long.push_back(queued);
        } else {
            queue.short.push_back(queued);
        }
    }

    /// Returns the time at which the oldest eligible request was queued.
    pub fn oldest(&self, allows_long: bool) -> Option<Moment> {
        let times = self.customers.values();
        times.filter_map(|queue| queue.oldest(allows_long)).min()
    }

    /// Returns the time at which some eligible request was queued, or `None` if none is
    /// eligible.
    pub fn any_eligible(&self, allows_long: bool) -> Option<Moment> {
        let mut queues = self.customers.values();
        queues.find_map(|queue| queue.oldest(allows_long))
    }

    /// Removes the next request of the customer with the least virtual time.
    pub fn pop_fair(&mut self, allows_long: bool) -> Option<QueuedRequest> {
        let mut chosen: Option<(f64, usize)> = None;
        for (index, queue) in self.customers.values().enumerate() {
            if queue.oldest(allows_long).is_none() {
                continue;
            }
            if chosen.is_none_or(|(least_virtual_ms, _)| queue.virtual_ms < least_virtual_ms) {
                chosen = Some((queue.virtual_ms, index));
            }
        }
        let (virtual_ms, index) = chosen?;
        self.virtual_ms = self.virtual_ms.max(virtual_ms);
        self.pop_at(index, allows_long)
    }

    /// Removes the oldest eligible request of all customers.
    pub fn pop_oldest(&mut self, allows_long: bool) -> Option<QueuedRequest> {
        let mut chosen: Option<(Moment, usize)> = None;
        for (index, queue) in self.customers.values().enumerate() {
            let Some(oldest) = queue.oldest(allows_long) else {
                continue;
            };
            if chosen.is_none_or(|(earliest, _)| oldest < earliest) {
                chosen = Some((oldest, index));
            }
        }
        self.pop_at(chosen?.1, allows_long)
    }

    /// Advances a customer's virtual time; a negative amount corrects a previous
    /// charge.
    pub fn charge(&mut self, customer: &CustomerName, weighted_ms: f64) {
        if let Some(queue) = self.customers.get_mut(customer) {
            queue.virtual_ms += weighted_ms;
        }
    }

    /// Removes the newest request of the customer with the most requests queued, if
    /// these are more than `longer_than`.
    pub fn evict_from_longest(&mut self, longer_than: usize) -> Option<QueuedRequest> {
        let (index, _) = self
            .customers
            .values()
            .enumerate()
            .filter(|(_, queue)| queue.len() > longer_than)
            .max_by_key(|(_, queue)| queue.len())?;
        let (_, queue) = self.customers.get_index_mut(index)?;
        let newest = queue.short.pop_back().or_else(|| queue.long.pop_back());
        self.record_removed(index, newest)
    }

    /// Removes a request by its id.
    pub fn remove(&mut self, id: SlotRequestId) -> Option<QueuedRequest> {
        for index in 0..self.customers.len() {
            let (_, queue) = self.customers.get_index_mut(index)?;
            let removed =
                remove_from(&mut queue.short, id).or_else(|| remove_from(&mut queue.long, id));
            if removed.is_some() {
                return self.record_removed(index, removed);
            }
        }
        None
    }

    fn pop_at(&mut self, index: usize, allows_long: bool) -> Option<QueuedRequest> {
        let (_, queue) = self.customers.get_index_mut(index)?;
        let removed = queue.next_queue(allows_long)?.pop_front();
        self.record_removed(index, removed)
    }

    fn record_removed(
        &mut self,
        index: usize,
        removed: Option<QueuedRequest>,
    ) -> Option<QueuedRequest> {
        let queued = removed?;
        self.len -= 1;
        self.expected_ms = (self.expected_ms - expected_ms_of(&queued.request)).max(0.0);
        let (_, queue) = self.customers.get_index(index)?;
        self.active_count -= usize::from(queue.len() == 0);
        Some(queued)
    }

    /// Removes customers without queued requests that need not be kept.
    ///
    /// A customer without queued requests keeps its virtual time while that is ahead,
    /// so that leaving the queue for a moment gains nothing. Once the upstream is idle,
    /// no customer has waited and all start anew.
    pub fn prune(&mut self, is_idle: bool) {
        if self.len == 0 && is_idle {
            self.customers.clear();
            return;
        }
        let idle_count = self.customers.len() - self.active_count;
        if idle_count <= MAX_IDLE_CUSTOMERS {
            return;
        }
        let virtual_ms = self.virtual_ms;
        self.customers
            .retain(|_, queue| queue.len() > 0 || queue.virtual_ms > virtual_ms);
        if self.customers.len() - self.active_count > MAX_IDLE_CUSTOMERS {
            self.customers.retain(|_, queue| queue.len() > 0);
        }
    }
}

fn remove_from(queue: &mut VecDeque<QueuedRequest>, id: SlotRequestId) -> Option<QueuedRequest> {
    let position = queue.iter().position(|queued| queued.request.id == id)?;
    queue.remove(position)
}

fn expected_ms_of(request: &SlotRequest) -> f64 {
    request.expected.as_secs_f64() * 1_000.0
}
