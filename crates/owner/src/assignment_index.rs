//! Index of grants by upstream, computed once per version of an assignment row.

use crate::{AssignRow, ShardGrant};
use indexmap::IndexMap;
use kernel::{ServiceName, UpstreamId};
use std::sync::Arc;

/// Grants of the upstreams of this host's failure domain, sorted by shard.
#[derive(Clone, Debug, Default)]
pub(crate) struct AssignmentIndex {
    services: IndexMap<ServiceName, IndexMap<UpstreamId, Arc<[ShardGrant]>>>,
    no_grants: Arc<[ShardGrant]>,
}

impl AssignmentIndex {
    /// Replaces the grants of a service with those of a new row version.
    pub fn update(&mut self, service: &ServiceName, row: &AssignRow) {
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

    /// Returns the grants of an upstream; empty if it has none.
    pub fn grants_of(&self, service: &ServiceName, upstream: &UpstreamId) -> Arc<[ShardGrant]> {
        let grants = self.services.get(service);
        let list = grants.and_then(|grants| grants.get(upstream));
        Arc::clone(list.unwrap_or(&self.no_grants))
    }
}
