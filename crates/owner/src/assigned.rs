//! Grants by upstream, derived once from each version of an assignment row.

use crate::{AssignRow, ShardGrant};
use indexmap::IndexMap;
use kernel::{ServiceName, UpstreamId};
use std::sync::Arc;

/// Grants of the own failure domain's upstreams, sorted by shard.
#[derive(Clone, Debug, Default)]
pub(crate) struct AssignmentIndex {
    services: IndexMap<ServiceName, IndexMap<UpstreamId, Arc<[ShardGrant]>>>,
    none: Arc<[ShardGrant]>,
}

impl AssignmentIndex {
    /// Follows a new version of a service's row.
    pub fn follow(&mut self, service: &ServiceName, row: &AssignRow) {
        let mut lists: IndexMap<UpstreamId, Vec<ShardGrant>> = IndexMap::new();
        for (shard, entry) in &row.shards {
            let grant = ShardGrant {
                shard: *shard,
                epoch: entry.epoch,
            };
            lists.entry(entry.upstream.clone()).or_default().push(grant);
        }
        let mut grants = IndexMap::with_capacity(lists.len());
        for (upstream, mut list) in lists {
            list.sort_unstable_by_key(|grant| grant.shard);
            grants.insert(upstream, Arc::from(list));
        }
        self.services.insert(service.clone(), grants);
    }

    /// Returns the grants of an upstream.
    pub fn of(&self, service: &ServiceName, upstream: &UpstreamId) -> Arc<[ShardGrant]> {
        let grants = self.services.get(service);
        let list = grants.and_then(|grants| grants.get(upstream));
        Arc::clone(list.unwrap_or(&self.none))
    }
}
