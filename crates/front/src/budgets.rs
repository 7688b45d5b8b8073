//! This host's part of the retries that all hosts may send.

use crate::adapter::BoundsCell;
use indexmap::IndexMap;
use kernel::ServiceName;
use parking_lot::Mutex;
use retry::RetryBudget;
use std::sync::atomic::{AtomicU32, Ordering};

/// Part of the allowed retries that is used; the rest covers hosts that start or
/// count others late.
const USED_PART: f64 = 0.6;
/// Hosts that are assumed until their number is known.
const ASSUMED_HOSTS: u32 = 40;

/// Retry budgets by service.
#[derive(Debug)]
pub(crate) struct RetryBudgets {
    bounds: BoundsCell,
    hosts: AtomicU32,
    budgets: Mutex<IndexMap<ServiceName, RetryBudget>>,
}

impl RetryBudgets {
    pub(crate) fn new(bounds: BoundsCell) -> Self {
        Self {
            bounds,
            hosts: AtomicU32::new(ASSUMED_HOSTS),
            budgets: Mutex::new(IndexMap::new()),
        }
    }

    /// Takes in how many hosts share the budget.
    pub(crate) fn set_hosts(&self, hosts: u32) {
        self.hosts.store(hosts.max(1), Ordering::Relaxed);
        let most = self.most();
        for budget in self.budgets.lock().values_mut() {
            budget.set_capacity(most);
        }
    }

    /// Starts anew with the bounds that are in force now.
    pub(crate) fn reset(&self) {
        self.budgets.lock().clear();
    }

    pub(crate) fn record_first_attempt(&self, service: &ServiceName) {
        self.with(service, RetryBudget::record_first_attempt);
    }

    pub(crate) fn try_spend(&self, service: &ServiceName) -> bool {
        self.with(service, RetryBudget::try_spend)
    }

    fn most(&self) -> f64 {
        let hosts = f64::from(self.hosts.load(Ordering::Relaxed));
        (self.bounds.load().retry_extra * USED_PART / hosts).max(1.0)
    }

    fn with<T>(&self, service: &ServiceName, change: impl FnOnce(&mut RetryBudget) -> T) -> T {
        let mut budgets = self.budgets.lock();
        if let Some(budget) = budgets.get_mut(service) {
            return change(budget);
        }
        let budget = RetryBudget::new(self.bounds.load().retry_ratio * USED_PART, self.most());
        change(budgets.entry(service.clone()).or_insert(budget))
    }
}
