//! This host's share of the retries that all hosts together may send.

use crate::adapter::SharedBounds;
use indexmap::IndexMap;
use kernel::ServiceName;
use parking_lot::Mutex;
use retry::RetryBudget;
use std::sync::atomic::{AtomicU32, Ordering};

/// Fraction of the allowed retries that is used; the rest covers hosts that have just
/// started or do not know the number of hosts yet.
const USED_FRACTION: f64 = 0.6;
/// Minimum number of retries that a host can save up, however many hosts there are.
const MIN_CAPACITY: f64 = 1.0;

/// Retry budgets by service.
#[derive(Debug)]
pub(crate) struct RetryBudgets {
    bounds: SharedBounds,
    /// Number of hosts; 0 until it is known.
    host_count: AtomicU32,
    budgets: Mutex<IndexMap<ServiceName, RetryBudget>>,
}

impl RetryBudgets {
    pub(crate) fn new(bounds: SharedBounds) -> Self {
        Self {
            bounds,
            host_count: AtomicU32::new(0),
            budgets: Mutex::new(IndexMap::new()),
        }
    }

    /// Sets the number of hosts that share the budget.
    pub(crate) fn set_host_count(&self, host_count: u32) {
        let mut budgets = self.budgets.lock();
        let previous = self.host_count.swap(host_count.max(1), Ordering::Relaxed);
        let capacity = self.capacity();
        for budget in budgets.values_mut() {
            if previous == 0 {
                budget.raise_capacity(capacity);
            } else {
                budget.set_capacity(capacity);
            }
        }
    }

    /// Returns the number of hosts that share the budget, if known.
    pub(crate) fn host_count(&self) -> Option<u32> {
        let host_count = self.host_count.load(Ordering::Relaxed);
        (host_count > 0).then_some(host_count)
    }

    /// Drops all budgets; new ones use the bounds in force.
    pub(crate) fn reset(&self) {
        self.budgets.lock().clear();
    }

    pub(crate) fn record_first_attempt(&self, service: &ServiceName) {
        self.with_budget(service, RetryBudget::record_first_attempt);
    }

    pub(crate) fn try_spend(&self, service: &ServiceName) -> bool {
        self.with_budget(service, RetryBudget::try_spend)
    }

    fn capacity(&self) -> f64 {
        let Some(host_count) = self.host_count() else {
            return MIN_CAPACITY;
        };
        let share = self.bounds.load().retry_extra * USED_FRACTION / f64::from(host_count);
        share.max(MIN_CAPACITY)
    }

    fn with_budget<T>(
        &self,
        service: &ServiceName,
        change: impl FnOnce(&mut RetryBudget) -> T,
    ) -> T {
        let mut budgets = self.budgets.lock();
        if let Some(budget) = budgets.get_mut(service) {
            return change(budget);
        }
        let budget = RetryBudget::new(
            self.bounds.load().retry_ratio * USED_FRACTION,
            self.capacity(),
        );
        change(budgets.entry(service.clone()).or_insert(budget))
    }
}
