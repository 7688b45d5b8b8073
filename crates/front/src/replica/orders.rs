//! Orders to evacuate failure domains: rows of the store, and messages of the leader.

use super::{ReplicaState, StoreReplica};
use evac::{EvacOrders, OrderChange, OrderRow};
use kernel::{DomainName, Moment};
use log::{info, warn};
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::Duration;
use store::{RowPage, TableRow};

/// The complete set of orders in a message of the leader.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct WireOrders {
    /// Version of the newest change.
    version: u64,
    /// Domains, and for how many milliseconds each order has been known to be in force;
    /// `None` if it may be of any age.
    orders: Vec<(DomainName, Option<u32>)>,
}

impl WireOrders {
    fn new(orders: &EvacOrders, now: Moment) -> Self {
        let age_ms = |ordered_at| {
            let age: Duration = now - ordered_at;
            u32::try_from(age.as_millis()).unwrap_or(u32::MAX)
        };
        let wire = orders
            .iter()
            .map(|(domain, order)| (domain.clone(), order.ordered_at.map(age_ms)));
        Self {
            version: orders.version(),
            orders: wire.collect(),
        }
    }
}

impl StoreReplica {
    /// Returns the version of the orders, or 0 while they are unknown.
    pub(crate) fn orders_version(&self) -> u64 {
        self.view.load().orders.version()
    }

    /// Returns the orders for a message to a host that knows the version `known`.
    pub(crate) fn orders_since(&self, known: u64) -> Option<WireOrders> {
        let view = self.view.load();
        let is_newer = known < view.orders.version();
        is_newer.then(|| WireOrders::new(&view.orders, self.clock.now()))
    }

    /// Applies orders that the leader sent.
    pub(crate) fn apply_orders(&self, wire: &WireOrders) {
        let age = |age_ms: u32| Duration::from_millis(u64::from(age_ms));
        let orders: Vec<(DomainName, Option<Duration>)> = wire
            .orders
            .iter()
            .map(|(domain, age_ms)| (domain.clone(), age_ms.map(age)))
            .collect();
        self.update_orders("leader", |now, known| {
            known.apply_message(now, wire.version, &orders)
        });
    }

    /// Applies the orders in the complete contents of the table.
    pub(super) fn apply_all_order_rows(&self, page: &RowPage) {
        self.update_orders("table", |now, known| {
            let rows = self.decode_order_rows(&page.rows, known);
            known.apply_list(now, page.version, &rows)
        });
    }

    /// Applies the orders in changed rows of the table.
    pub(super) fn apply_changed_order_rows(&self, page: &RowPage) {
        self.update_orders("feed", |now, known| {
            let rows = self.decode_order_rows(&page.rows, known);
            known.apply_changes(now, &rows)
        });
    }

    /// Decodes the orders among the rows. An invalid row is ignored: it neither gives an
    /// order nor withdraws the known one.
    fn decode_order_rows(&self, rows: &[TableRow], known: &EvacOrders) -> Vec<OrderRow> {
        let mut order_rows = Vec::new();
        for row in rows {
            let Some(decoded) = self.platform.decode_order_key(&row.key) else {
                continue;
            };
            let checked = decoded.and_then(|domain| match &row.value {
                Some(bytes) => match self.platform.check_order(bytes) {
                    Err(error) if known.get(&domain).is_none() => Err(error),
                    Err(error) => {
                        let row = &row.key;
                        warn!(target: "evacuation", "row={row} order stays in force: {error}");
                        Ok((domain, true))
                    }
                    Ok(()) => Ok((domain, true)),
                },
                None => Ok((domain, false)),
            });
            match checked {
                Ok((domain, is_ordered)) => order_rows.push(OrderRow {
                    domain,
                    version: row.version,
                    is_ordered,
                }),
                Err(error) => {
                    let row = &row.key;
                    warn!(target: "evacuation", "row={row} invalid order ignored: {error}");
                }
            }
        }
        order_rows
    }

    /// Changes the known orders, and publishes and logs what has changed.
    fn update_orders(
        &self,
        source: &str,
        change: impl FnOnce(Moment, &mut EvacOrders) -> Vec<OrderChange>,
    ) {
        let now = self.clock.now();
        let state = self.state.lock();
        let view = self.view.load();
        let mut orders = EvacOrders::clone(&view.orders);
        let changes = change(now, &mut orders);
        if orders == *view.orders {
            return;
        }
        for order_change in &changes {
            Self::log_order(now, source, order_change, &orders);
        }
        let domain_count = orders.len() as u64;
        self.metrics
            .evacuated_domains
            .set(domain_count.cast_signed());
        self.publish_orders(&state, orders);
    }

    fn publish_orders(&self, state: &ReplicaState, orders: EvacOrders) {
        self.publish(state, |view| view.orders = Arc::new(orders));
    }

    fn log_order(now: Moment, source: &str, change: &OrderChange, orders: &EvacOrders) {
        let version = orders.version();
        match change {
            OrderChange::Ordered(domain) => {
                let ordered_at = orders.get(domain).and_then(|order| order.ordered_at);
                let age_ms = ordered_at.map_or(-1, |at| (now - at).as_millis() as i64);
                info!(
                    target: "evacuation",
                    "domain={domain} state=ordered source={source} version={version} \
                     age_ms={age_ms}",
                );
            }
            OrderChange::Withdrawn(domain) => info!(
                target: "evacuation",
                "domain={domain} state=withdrawn source={source} version={version}",
            ),
        }
    }
}
