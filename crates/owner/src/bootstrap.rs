//! First assignment of a sharded service, and the live or leaving state of upstreams.

use crate::propose::Proposal;
use crate::{
    AssignRow, ControlCore, DomainRow, PlatformUpstream, RowContent, RowKey, ServiceRow,
    ShardEntry, TableTransaction, UpstreamState,
};
use indexmap::IndexMap;
use kernel::{DomainName, Epoch, Moment, ServiceName, ShardId};
use std::sync::Arc;
use std::time::Duration;

/// Time for the platform's list to become complete before shards are first assigned.
const LIST_SETTLE_TIME: Duration = Duration::from_millis(300);

impl ControlCore {
    /// Proposes to assign all shards of a sharded service that has none assigned yet.
    ///
    /// The service's row is created in the same transaction, so only one of several
    /// hosts that propose different assignments succeeds.
    pub(crate) fn propose_bootstrap(&self, now: Moment) -> Option<Proposal> {
        let loaded = self.sheet.as_ref()?;
        let list = self.platform_list.as_ref()?;
        let is_settled = now - self.list_first_read_at >= LIST_SETTLE_TIME;
        if !is_settled || !self.is_first_choice(now, "bootstrap") {
            return None;
        }
        for (service, plan) in &loaded.sheet.services {
            let Some(keys) = &plan.keys else {
                continue;
            };
            let key = RowKey::Service(service.clone());
            if self.rows.version(&key).0 > 0 {
                continue;
            }
            let instances: Vec<&PlatformUpstream> = list
                .upstreams
                .iter()
                .filter(|upstream| upstream.service == *service && !upstream.is_leaving)
                .collect();
            if instances.is_empty() {
                continue;
            }
            return Some(self.first_assignment(service, keys.shards, &instances));
        }
        None
    }

    fn first_assignment(
        &self,
        service: &ServiceName,
        shards: u32,
        instances: &[&PlatformUpstream],
    ) -> Proposal {
        let mut rows: IndexMap<DomainName, AssignRow> = IndexMap::new();
        for number in 0..shards {
            let instance = instances[number as usize % instances.len()];
            let row = rows.entry(instance.domain.clone()).or_default();
            let entry = ShardEntry {
                upstream: instance.id.clone(),
                epoch: Epoch(1),
            };
            row.shards.insert(ShardId(number), entry);
        }
        let service_row = RowContent::Service(ServiceRow { shards });
        let mut writes = vec![self.write_over(RowKey::Service(service.clone()), service_row)];
        for (domain, row) in rows {
            let key = RowKey::Assign(service.clone(), domain);
            writes.push(self.write_over(key, RowContent::Assign(Arc::new(row))));
        }
        Proposal {
            transaction: TableTransaction {
                checks: Vec::new(),
                writes,
            },
            taken_shards: Vec::new(),
        }
    }

    /// Proposes to record which upstreams are leaving, drained or live again.
    pub(crate) fn propose_upstream_states(&self, now: Moment) -> Option<Proposal> {
        // One host per domain follows the list: hosts with lists of different ages
        // would revert each other's writes.
        let reads_list = self.is_table_reader(now);
        for (domain, row) in self.rows.domains() {
            let mut changes = Vec::new();
            for (id, entry) in &row.upstreams {
                let follows_list = *domain == self.domain && reads_list;
                let listed = self.listed_leaving(id).filter(|_| follows_list);
                let wanted = match (self.pending_drains.get(id), entry.state, listed) {
                    (Some(false), UpstreamState::Drained, _) => UpstreamState::Live,
                    (Some(true), ..) | (_, UpstreamState::Drained, _) => UpstreamState::Drained,
                    (_, _, Some(true)) => UpstreamState::Leaving,
                    (_, _, Some(false)) => UpstreamState::Live,
                    (_, state, None) => state,
                };
                if entry.state != wanted {
                    changes.push((id, wanted));
                }
            }
            if changes.is_empty() {
                continue;
            }
            let mut next = DomainRow::clone(row);
            for (id, wanted) in changes {
                if let Some(entry) = next.upstreams.get_mut(id) {
                    entry.state = wanted;
                }
            }
            let key = RowKey::Domain(domain.clone());
            let write = self.write_over(key, RowContent::Domain(Arc::new(next)));
            return Some(Proposal::single_write(write));
        }
        None
    }
}
