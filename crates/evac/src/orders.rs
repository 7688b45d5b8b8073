//! The orders that a host knows.

use indexmap::IndexMap;
use kernel::{DomainName, Moment};
use std::time::Duration;

/// An order to evacuate a failure domain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EvacOrder {
    /// When the order is known to have been in force; `None` if it may be of any age.
    pub ordered_at: Option<Moment>,
    /// When this host learned of the order.
    pub learned_at: Moment,
}

/// A row of the store that orders or withdraws an evacuation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderRow {
    /// The failure domain.
    pub domain: DomainName,
    /// The row's version.
    pub version: u64,
    /// Whether the row exists; a removed row withdraws the order.
    pub is_ordered: bool,
}

/// A change of the set of orders.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderChange {
    /// A domain is to be evacuated.
    Ordered(DomainName),
    /// A domain returns to service.
    Withdrawn(DomainName),
}

/// The set of orders, with the store's version up to which it is known.
///
/// A set replaces one with a lower version as a whole, so a late or duplicate message
/// cannot reinstate an old order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EvacOrders {
    orders: IndexMap<DomainName, EvacOrder>,
    /// Version of the newest known change; 0 before the orders are known.
    version: u64,
}

impl EvacOrders {
    /// Returns whether the orders are known; an empty set can be known.
    pub const fn is_known(&self) -> bool {
        self.version > 0
    }

    /// Returns the version of the newest known change, or 0 before the orders are known.
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// Returns the order for a domain.
    pub fn get(&self, domain: &DomainName) -> Option<&EvacOrder> {
        self.orders.get(domain)
    }

    /// Iterates over the orders.
    pub fn iter(&self) -> impl Iterator<Item = (&DomainName, &EvacOrder)> {
        self.orders.iter()
    }

    /// Returns the number of domains to be evacuated.
    pub fn len(&self) -> usize {
        self.orders.len()
    }

    /// Returns whether no domain is to be evacuated.
    pub fn is_empty(&self) -> bool {
        self.orders.is_empty()
    }

    /// Applies the complete table, read at `version`.
    ///
    /// A table is read at the start and after a failure, when the store may have held a
    /// new order for any time; its age is then unknown.
    pub fn apply_list(&mut self, now: Moment, version: u64, rows: &[OrderRow]) -> Vec<OrderChange> {
        if self.is_known() && version < self.version {
            return Vec::new();
        }
        let was_known = self.is_known();
        let told: Vec<(DomainName, Option<Moment>)> =
            rows.iter().map(|row| (row.domain.clone(), None)).collect();
        let changes = self.replace(now, &told);
        let newest_row = rows.iter().map(|row| row.version).max().unwrap_or(0);
        // A removal has no row, so a change can be as recent as the read itself. An
        // unchanged set keeps its version, so that hosts are not told of it again.
        self.version = if was_known && changes.is_empty() {
            self.version.max(newest_row)
        } else {
            version.max(newest_row).max(1)
        };
        changes
    }

    /// Applies the changed rows of a feed; those that the known version covers are
    /// skipped. Ignores all of them before the orders are known.
    pub fn apply_changes(&mut self, now: Moment, rows: &[OrderRow]) -> Vec<OrderChange> {
        let known_version = self.version;
        let mut changes = Vec::new();
        if !self.is_known() {
            return changes;
        }
        for row in rows {
            if row.version <= known_version {
                continue;
            }
            self.version = self.version.max(row.version);
            let was_ordered = self.orders.contains_key(&row.domain);
            if row.is_ordered && !was_ordered {
                let order = EvacOrder {
                    ordered_at: Some(now),
                    learned_at: now,
                };
                self.orders.insert(row.domain.clone(), order);
                changes.push(OrderChange::Ordered(row.domain.clone()));
            }
            if !row.is_ordered && was_ordered {
                self.orders.shift_remove(&row.domain);
                changes.push(OrderChange::Withdrawn(row.domain.clone()));
            }
        }
        changes
    }

    /// Applies the complete set that another host sent, with the ages of the orders;
    /// a set that is older than the known one is ignored.
    pub fn apply_message(
        &mut self,
        now: Moment,
        version: u64,
        orders: &[(DomainName, Option<Duration>)],
    ) -> Vec<OrderChange> {
        if version < self.version || version == 0 {
            return Vec::new();
        }
        self.version = version;
        let ordered_at = |age: &Option<Duration>| age.map(|age| now.saturating_sub(age));
        let told: Vec<(DomainName, Option<Moment>)> = orders
            .iter()
            .map(|(domain, age)| (domain.clone(), ordered_at(age)))
            .collect();
        self.replace(now, &told)
    }

    /// Replaces the set; an order that is known already keeps the earlier time.
    fn replace(&mut self, now: Moment, told: &[(DomainName, Option<Moment>)]) -> Vec<OrderChange> {
        let mut previous = std::mem::take(&mut self.orders);
        let mut changes = Vec::new();
        for (domain, told_at) in told {
            let Some(mut order) = previous.shift_remove(domain) else {
                changes.push(OrderChange::Ordered(domain.clone()));
                let order = EvacOrder {
                    ordered_at: *told_at,
                    learned_at: now,
                };
                self.orders.insert(domain.clone(), order);
                continue;
            };
            if let (Some(known_at), Some(told_at)) = (order.ordered_at, *told_at) {
                order.ordered_at = Some(known_at.min(told_at));
            }
            self.orders.insert(domain.clone(), order);
        }
        changes.extend(previous.into_keys().map(OrderChange::Withdrawn));
        changes
    }
}
