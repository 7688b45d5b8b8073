//! What traffic needs to know.

use crate::{ControlCore, ShardGrant};
use indexmap::IndexMap;
use kernel::{DomainName, Epoch, Moment, ServiceName, ShardId, UpstreamId};

/// The owner of a shard as the newest rows tell it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShardOwner {
    /// The owner.
    pub upstream: UpstreamId,
    /// The owner's failure domain.
    pub domain: DomainName,
    /// The epoch of the assignment.
    pub epoch: Epoch,
}

/// Whether a held upstream may be sent work for a shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShardPhase {
    /// The upstream holds the grant.
    Ready,
    /// The grant is on its way to the upstream.
    Pending,
    /// The shard is being taken away from the upstream.
    Moving,
}

/// An upstream whose primary this host is, as traffic sees it.
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
    /// Whether it takes no new work.
    pub is_leaving: bool,
    /// Assigned shards with their epochs.
    pub grants: Vec<(ShardGrant, ShardPhase)>,
    /// Requests that the upstream reported running.
    pub running: u32,
}

impl ControlCore {
    /// Returns the owner of each shard of each divided service.
    pub fn shard_owners(&self) -> IndexMap<ServiceName, IndexMap<ShardId, ShardOwner>> {
        let mut services: IndexMap<ServiceName, IndexMap<ShardId, ShardOwner>> = IndexMap::new();
        for (service, domain, row) in self.rows.assigns() {
            let owners = services.entry(service.clone()).or_default();
            for (shard, entry) in &row.shards {
                // While rows of two domains arrive apart, the newer epoch counts.
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

    /// Returns the upstreams whose primary this host is.
    pub fn primary_upstreams(&self) -> Vec<PrimaryUpstream> {
        let mut owned = Vec::new();
        for (id, held) in &self.held {
            let assigned = self.assigned_grants(&held.service, id);
            let phase = |grant: &ShardGrant| {
                if held.is_withheld(grant.shard) {
                    ShardPhase::Moving
                } else if held.confirmed.contains(grant) {
                    ShardPhase::Ready
                } else {
                    ShardPhase::Pending
                }
            };
            owned.push(PrimaryUpstream {
                id: id.clone(),
                service: held.service.clone(),
                epoch: held.book.epoch(),
                usable_until: held.book.usable_until(),
                is_leaving: self.is_upstream_leaving(id),
                grants: assigned.iter().map(|g| (*g, phase(g))).collect(),
                running: held.running,
            });
        }
        owned
    }

    /// Returns until when work may be sent to each held upstream.
    pub fn lease_deadlines(&self) -> impl Iterator<Item = (&UpstreamId, Epoch, Option<Moment>)> {
        self.held
            .iter()
            .map(|(id, held)| (id, held.book.epoch(), held.book.usable_until()))
    }
}
