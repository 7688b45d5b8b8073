//! One rank's queue, shared fairly between customers.
//!
//! Start-time fair queueing (Goyal, Vin and Cheng, 1996): each customer has a
//! virtual time that advances with the slot time charged to it, divided by its
//! weight; the customer with the least virtual time is served next.

use crate::admission::{WorkId, WorkItem};
use indexmap::IndexMap;
use kernel::{CustomerName, Moment};
use std::collections::VecDeque;

/// Customers remembered without queued work, per rank.
const MOST_IDLE_CUSTOMERS: usize = 64;

/// A queued request.
#[derive(Clone, Debug)]
pub(crate) struct QueuedWork {
    pub item: WorkItem,
    pub queued_at: Moment,
}

#[derive(Clone, Debug, Default)]
struct CustomerQueue {
    short: VecDeque<QueuedWork>,
    long: VecDeque<QueuedWork>,
    virtual_ms: f64,
}

impl CustomerQueue {
    fn len(&self) -> usize {
        self.short.len() + self.long.len()
    }

    /// Returns the queue whose head is next, leaving long work out if asked to.
    fn next_queue(&mut self, takes_long: bool) -> Option<&mut VecDeque<QueuedWork>> {
        let short_at = self.short.front().map(|work| work.queued_at);
        let long_at = self.long.front().map(|work| work.queued_at);
        match (short_at, long_at) {
            (Some(short), Some(long)) if takes_long && long < short => Some(&mut self.long),
            (Some(_), _) => Some(&mut self.short),
            (None, Some(_)) if takes_long => Some(&mut self.long),
            _ => None,
        }
    }

    fn oldest(&self, takes_long: bool) -> Option<Moment> {
        let short = self.short.front().map(|work| work.queued_at);
        let long = self.long.front().map(|work| work.queued_at);
        match (short, long.filter(|_| takes_long)) {
            (Some(a), Some(b)) => Some(a.min(b)),
            (a, b) => a.or(b),
        }
    }
}

/// One rank's queue.
#[derive(Clone, Debug, Default)]
pub(crate) struct RankQueue {
    customers: IndexMap<CustomerName, CustomerQueue>,
    virtual_ms: f64,
    len: usize,
    /// Customers with queued work.
    active: usize,
    expected_ms: f64,
}

impl RankQueue {
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns the expected slot time of all queued work, in milliseconds.
    pub fn expected_ms(&self) -> f64 {
        self.expected_ms
    }

    /// Returns the number of customers with queued work.
    pub fn customers(&self) -> usize {
        self.active
    }

    pub fn queued_by(&self, customer: &CustomerName) -> usize {
        self.customers.get(customer).map_or(0, CustomerQueue::len)
    }

    pub fn push(&mut self, work: QueuedWork) {
        let virtual_ms = self.virtual_ms;
        let queue = self
            .customers
            .entry(work.item.customer.clone())
            .or_insert_with(|| CustomerQueue {
                virtual_ms,
                ..CustomerQueue::default()
            });
        if queue.len() == 0 {
            queue.virtual_ms = queue.virtual_ms.max(virtual_ms);
            self.active += 1;
        }
        self.len += 1;
        self.expected_ms += millis(&work.item);
        if work.item.is_long {
            queue.long.push_back(work);
        } else {
            queue.short.push_back(work);
        }
    }

    /// Returns when the oldest eligible request was queued.
    pub fn oldest(&self, takes_long: bool) -> Option<Moment> {
        let times = self.customers.values();
        times.filter_map(|queue| queue.oldest(takes_long)).min()
    }

    /// Returns whether anything is eligible.
    pub fn has_eligible(&self, takes_long: bool) -> Option<Moment> {
        let mut queues = self.customers.values();
        queues.find_map(|queue| queue.oldest(takes_long))
    }

    /// Takes the next request of the customer that is furthest behind.
    pub fn pop_fair(&mut self, takes_long: bool) -> Option<QueuedWork> {
        let mut chosen: Option<(f64, usize)> = None;
        for (index, queue) in self.customers.values().enumerate() {
            if queue.oldest(takes_long).is_none() {
                continue;
            }
            if chosen.is_none_or(|(least, _)| queue.virtual_ms < least) {
                chosen = Some((queue.virtual_ms, index));
            }
        }
        let (virtual_ms, index) = chosen?;
        self.virtual_ms = self.virtual_ms.max(virtual_ms);
        self.pop_at(index, takes_long)
    }

    /// Takes the oldest request whosever it is.
    pub fn pop_oldest(&mut self, takes_long: bool) -> Option<QueuedWork> {
        let mut chosen: Option<(Moment, usize)> = None;
        for (index, queue) in self.customers.values().enumerate() {
            let Some(oldest) = queue.oldest(takes_long) else {
                continue;
            };
            if chosen.is_none_or(|(earliest, _)| oldest < earliest) {
                chosen = Some((oldest, index));
            }
        }
        self.pop_at(chosen?.1, takes_long)
    }

    /// Advances a customer's virtual time; a negative amount corrects a charge.
    pub fn charge(&mut self, customer: &CustomerName, millis_by_weight: f64) {
        if let Some(queue) = self.customers.get_mut(customer) {
            queue.virtual_ms += millis_by_weight;
        }
    }

    /// Takes the newest request of the customer with the most requests queued.
    pub fn evict_from_longest(&mut self, longer_than: usize) -> Option<QueuedWork> {
        let (index, _) = self
            .customers
            .values()
            .enumerate()
            .filter(|(_, queue)| queue.len() > longer_than)
            .max_by_key(|(_, queue)| queue.len())?;
        let (_, queue) = self.customers.get_index_mut(index)?;
        let newest = queue.short.pop_back().or_else(|| queue.long.pop_back());
        self.note_taken(index, newest)
    }

    /// Takes a request out by its id.
    pub fn remove(&mut self, id: WorkId) -> Option<QueuedWork> {
        for index in 0..self.customers.len() {
            let (_, queue) = self.customers.get_index_mut(index)?;
            let taken =
                remove_from(&mut queue.short, id).or_else(|| remove_from(&mut queue.long, id));
            if taken.is_some() {
                return self.note_taken(index, taken);
            }
        }
        None
    }

    fn pop_at(&mut self, index: usize, takes_long: bool) -> Option<QueuedWork> {
        let (_, queue) = self.customers.get_index_mut(index)?;
        let taken = queue.next_queue(takes_long)?.pop_front();
        self.note_taken(index, taken)
    }

    fn note_taken(&mut self, index: usize, taken: Option<QueuedWork>) -> Option<QueuedWork> {
        let work = taken?;
        self.len -= 1;
        self.expected_ms = (self.expected_ms - millis(&work.item)).max(0.0);
        let (_, queue) = self.customers.get_index(index)?;
        self.active -= usize::from(queue.len() == 0);
        Some(work)
    }

    /// Forgets customers without work that need not be remembered.
    ///
    /// A customer without work keeps its virtual time while it is ahead, so
    /// that leaving the queue for a moment gains nothing. Once the upstream is
    /// idle nobody has waited and all start anew.
    pub fn tidy(&mut self, is_idle: bool) {
        if self.len == 0 && is_idle {
            self.customers.clear();
            return;
        }
        let idle = self.customers.len() - self.active;
        if idle <= MOST_IDLE_CUSTOMERS {
            return;
        }
        let virtual_ms = self.virtual_ms;
        self.customers
            .retain(|_, queue| queue.len() > 0 || queue.virtual_ms > virtual_ms);
        if self.customers.len() - self.active > MOST_IDLE_CUSTOMERS {
            self.customers.retain(|_, queue| queue.len() > 0);
        }
    }
}

fn remove_from(queue: &mut VecDeque<QueuedWork>, id: WorkId) -> Option<QueuedWork> {
    let at = queue.iter().position(|work| work.item.id == id)?;
    queue.remove(at)
}

fn millis(item: &WorkItem) -> f64 {
    item.expected.as_secs_f64() * 1_000.0
}
