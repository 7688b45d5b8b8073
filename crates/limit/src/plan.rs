//! What a sheet says on admission at one upstream.

use indexmap::IndexMap;
use kernel::CustomerName;
use sheet::{RankFloors, ServicePlan, Sheet};

/// Limits and shares in force at one upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionPlan {
    /// Requests that the upstream runs at a time.
    pub slots: u32,
    /// Most slots that long work may hold.
    pub long_slots: u32,
    /// Least shares of slot time by rank.
    pub floors: RankFloors,
    /// Most queued requests per rank.
    pub queue_limit: u32,
    /// Weights of customers; 1 for those not named.
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

    /// Builds the plan that a sheet gives for a service's upstream.
    pub fn from_sheet(sheet: &Sheet, plan: &ServicePlan, slots: u32) -> Self {
        let shares = sheet.customers.iter();
        Self {
            slots,
            // Long work may not hold every slot unless there is only one.
            long_slots: plan.long_slots.min(slots.saturating_sub(1)).max(1),
            floors: plan.floors,
            queue_limit: plan.queue_limit,
            shares: shares
                .map(|(name, customer)| (name.clone(), customer.share))
                .collect(),
        }
    }

    /// Returns a customer's weight.
    pub fn share_of(&self, customer: &CustomerName) -> u32 {
        self.shares.get(customer).copied().unwrap_or(1)
    }
}
