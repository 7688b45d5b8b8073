//! Views of the control state for request routing.

use crate::{ControlCore, ShardGrant};
use indexmap::IndexMap;
use kernel::{DomainName, Epoch, Moment, ServiceName, ShardId, UpstreamId};

/// The owner of a shard according to the newest known rows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShardOwner {
    /// The owner.
    pub upstream: UpstreamId,
    /// The owner's failure domain.
    pub domain: DomainName,
    /// The epoch of the assignment.
    pub epoch: Epoch,
}

/// Whether a primary upstream may be sent work for a shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShardPhase {
    /// The upstream holds the grant.
    Ready,
    /// The upstream has not yet confirmed the grant.
    Pending,
    /// The shard is being taken away from the upstream.
    Moving,
}

/// An upstream for which this host is the primary, as request routing sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PrimaryUpstream {
    /// The upstream.
    pub id: UpstreamId,
    /// The service that it runs.
    pub service: ServiceName,
    /// The primary's epoch.
    pub epoch: Epoch,
    /// Until when work may be sent.
    pub usable_until: Option<Moment>,
    /// Whether it is leaving and accepts no new work.
    pub is_leaving: bool,
    /// Assigned shards with their epochs and phases.
    pub grants: Vec<(ShardGrant, ShardPhase)>,
    /// Number of running requests that the upstream last reported.
    pub running: u32,
}

impl ControlCore {
    /// Returns the owner of each shard of each sharded service.
    pub fn shard_owners(&self) -> IndexMap<ServiceName, IndexMap<ShardId, ShardOwner>> {
        let mut services: IndexMap<ServiceName, IndexMap<ShardId, ShardOwner>> = IndexMap::new();
        for (service, domain, row) in self.rows.assigns() {
            let owners = services.entry(service.clone()).or_default();
            for (shard, entry) in &row.shards {
                // Rows of two domains may be received at different times; the higher
                // epoch is the newer assignment.
                let known = owners.get(shard);
                if known.is_some_and(|known| known.epoch >= entry.epoch) {
                    continue;
                }
                let owner = ShardOwner {
                    upstream: entry.upstream.clone(),
                    domain: domain.clone(),
                    epoch: entry.epoch,
                };
                owners.insert(*shard, owner);
            }
        }
        services
    }

    /// Returns the upstreams for which this host is the primary.
    pub fn primary_upstreams(&self) -> Vec<PrimaryUpstream> {
        let mut upstreams = Vec::new();
        for (id, state) in &self.primary_upstreams {
            let assigned = self.assigned_grants(&state.service, id);
            let phase = |grant: &ShardGrant| {
                if state.is_withheld(grant.shard) {
                    ShardPhase::Moving
                } else if state.confirmed_grants.contains(grant) {
                    ShardPhase::Ready
                } else {
                    ShardPhase::Pending
                }
            };
            upstreams.push(PrimaryUpstream {
                id: id.clone(),
                service: state.service.clone(),
                epoch: state.lease.epoch(),
                usable_until: state.lease.usable_until(),
                is_leaving: self.is_upstream_leaving(id),
                grants: assigned.iter().map(|g| (*g, phase(g))).collect(),
                running: state.running,
            });
        }
        upstreams
    }

    /// Returns until when work may be sent to each primary upstream.
    pub fn lease_deadlines(&self) -> impl Iterator<Item = (&UpstreamId, Epoch, Option<Moment>)> {
        self.primary_upstreams
            .iter()
            .map(|(id, state)| (id, state.lease.epoch(), state.lease.usable_until()))
    }
}
