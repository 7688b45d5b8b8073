//! Transactions that change the owners of shards.

use crate::propose::Proposal;
use crate::{
    AssignRow, ControlCore, RowContent, RowKey, ShardEntry, TableTransaction, UpstreamState,
};
use indexmap::IndexMap;
use kernel::{DomainName, Moment, ServiceName, ShardId, UpstreamId};
use sheet::Fencing;
use std::sync::Arc;
use std::time::Duration;

/// Change of owner of one shard.
#[derive(Clone, Debug)]
struct OwnerChange {
    shard: ShardId,
    from: UpstreamId,
    to: UpstreamId,
    domain: DomainName,
}

impl ControlCore {
    /// Proposes to assign the shards of a lost upstream to other upstreams.
    pub(crate) fn propose_reassignment(&self, now: Moment) -> Option<Proposal> {
        for (id, state) in &self.primary_upstreams {
            if state.is_usable(now) {
                continue;
            }
            let wait = self.unchecked_wait(&state.service);
            if !state.is_lapsed(now, &self.timing, wait) {
                continue;
            }
            let grants = self.assigned_grants(&state.service, id);
            if grants.is_empty() {
                continue;
            }
            let mut candidates = self.candidates(now, &state.service, id);
            let mut changes = Vec::new();
            for grant in grants.iter() {
                let Some((to, domain)) = self.pick_target_and_count(&mut candidates) else {
                    break;
                };
                changes.push(OwnerChange {
                    shard: grant.shard,
                    from: id.clone(),
                    to,
                    domain,
                });
            }
            if let Some(proposal) = self.change_owners(&state.service, &changes) {
                return Some(proposal);
            }
        }
        None
    }

    /// Proposes to commit planned moves whose shards have been released.
    pub(crate) fn propose_moves(&self, now: Moment) -> Option<Proposal> {
        for (id, state) in &self.primary_upstreams {
            let wait = self.unchecked_wait(&state.service);
            let mut changes = Vec::new();
            for (shard, shard_move) in &state.moves {
                let is_released = shard_move.released_at.is_some_and(|at| now >= at + wait);
                if !is_released || !self.is_target_live(&shard_move.target, &shard_move.domain) {
                    continue;
                }
                changes.push(OwnerChange {
                    shard: *shard,
                    from: id.clone(),
                    to: shard_move.target.clone(),
                    domain: shard_move.domain.clone(),
                });
            }
            if let Some(proposal) = self.change_owners(&state.service, &changes) {
                return Some(proposal);
            }
        }
        None
    }

    fn is_target_live(&self, target: &UpstreamId, domain: &DomainName) -> bool {
        let entry = self
            .rows
            .domain(domain)
            .and_then(|row| row.upstreams.get(target));
        entry.is_some_and(|entry| entry.state == UpstreamState::Live)
    }

    /// Returns the additional wait for a service whose upstreams check no grants.
    pub(crate) fn unchecked_wait(&self, service: &ServiceName) -> Duration {
        let plan = self
            .sheet
            .as_ref()
            .and_then(|loaded| loaded.sheet.services.get(service));
        match plan.map(|plan| plan.fencing) {
            Some(Fencing::Unchecked { wait_ms }) => Duration::from_millis(wait_ms),
            Some(Fencing::Checked) | None => Duration::ZERO,
        }
    }

    /// Builds the transaction, which is conditional on still being the primary.
    fn change_owners(&self, service: &ServiceName, changes: &[OwnerChange]) -> Option<Proposal> {
        if changes.is_empty() {
            return None;
        }
        let mut rows: IndexMap<DomainName, AssignRow> = IndexMap::new();
        let known_row = |domain: &DomainName| {
            self.rows
                .assign(service, domain)
                .map_or_else(AssignRow::default, |row| AssignRow::clone(row))
        };
        rows.insert(self.domain.clone(), known_row(&self.domain));
        let mut taken_shards = Vec::new();
        for change in changes {
            let own_row = rows.get_mut(&self.domain)?;
            let old = own_row.shards.shift_remove(&change.shard)?;
            let entry = ShardEntry {
                upstream: change.to.clone(),
                epoch: old.epoch.next(),
            };
            let row = rows
                .entry(change.domain.clone())
                .or_insert_with(|| known_row(&change.domain));
            row.shards.insert(change.shard, entry);
            taken_shards.push((change.from.clone(), change.shard));
        }
        let mut writes = Vec::new();
        for (domain, row) in rows {
            let key = RowKey::Assign(service.clone(), domain);
            writes.push(self.write_over(key, RowContent::Assign(Arc::new(row))));
        }
        Some(Proposal {
            transaction: TableTransaction {
                checks: vec![self.own_domain_row_check()],
                writes,
            },
            taken_shards,
        })
    }
}
