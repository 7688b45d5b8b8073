//! Admission limits at one upstream, as set by the sheet.

use indexmap::IndexMap;
use kernel::CustomerName;
use sheet::{RankFloors, ServicePlan, Sheet};

/// Limits and shares in force at one upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionPlan {
    /// Number of requests that the upstream runs at a time.
    pub slots: u32,
    /// Maximum number of slots that long requests may hold.
    pub long_slots: u32,
    /// Minimum shares of slot time by rank.
    pub floors: RankFloors,
    /// Maximum number of queued requests per rank.
    pub queue_limit: u32,
    /// Weights of customers; 1 for a customer that is not listed.
    pub shares: IndexMap<CustomerName, u32>,
}

impl AdmissionPlan {
    /// Builds a plan with defaults for an upstream of `slots` slots.
    pub fn with_slots(slots: u32) -> Self {
        Self {
            slots,
            long_slots: 1,
            floors: RankFloors::default(),
            queue_limit: 256,
            shares: IndexMap::new(),
        }
    }

    /// Builds the plan that a sheet sets for an upstream of a service.
    pub fn from_sheet(sheet: &Sheet, plan: &ServicePlan, slots: u32) -> Self {
        let shares = sheet.customers.iter();
        Self {
            slots,
            // Long requests may not hold every slot unless there is only one.
            long_slots: plan.long_slots.min(slots.saturating_sub(1)).max(1),
            floors: plan.floors,
            queue_limit: plan.queue_limit,
            shares: shares
                .map(|(name, customer)| (name.clone(), customer.share))
                .collect(),
        }
    }

    /// Returns a customer's weight.
    pub fn weight_of(&self, customer: &CustomerName) -> u32 {
        self.shares.get(customer).copied().unwrap_or(1)
    }
}
