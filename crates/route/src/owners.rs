//! Owners of shards and primaries of upstreams, for routing requests.

use foldhash::fast::FixedState;
use indexmap::IndexMap;
use kernel::{DomainName, Epoch, HostId, ServiceName, ShardId, UpstreamId};
use owner::{DomainRow, ShardOwner, UpstreamState};

/// The host that is the primary of an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PrimaryAddress {
    /// The host.
    pub host: HostId,
    /// Address (`ip:port`) for forwarded requests; `None` when it is unknown.
    pub peer_address: Option<String>,
}

/// An upstream and its primary.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamRoute {
    /// Its id.
    pub id: UpstreamId,
    /// Its service.
    pub service: ServiceName,
    /// Its failure domain.
    pub domain: DomainName,
    /// Its address.
    pub address: String,
    /// Number of requests that it runs at a time.
    pub slots: u32,
    /// Number of connections that it accepts.
    pub connections: u32,
    /// Its primary.
    pub primary: PrimaryAddress,
    /// Whether it is leaving and accepts no new requests.
    pub is_leaving: bool,
    /// Whether its failure domain is unreachable.
    pub is_unreachable: bool,
}

/// The owner of one shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShardAssignment {
    /// Index of the owner among the upstreams.
    pub upstream: u32,
    /// Epoch of the assignment.
    pub epoch: Epoch,
}

/// Owners of all shards and primaries of all upstreams.
#[derive(Clone, Debug, Default)]
pub struct OwnerTable {
    upstreams: IndexMap<UpstreamId, UpstreamRoute, FixedState>,
    services: IndexMap<ServiceName, ServiceOwners, FixedState>,
}

#[derive(Clone, Debug, Default)]
struct ServiceOwners {
    shards: Vec<Option<ShardAssignment>>,
    upstreams: Vec<u32>,
}

impl OwnerTable {
    /// Builds the table from the domain rows, each with its domain's name and whether
    /// the domain is unreachable, and from the shard owners of each service.
    pub fn build<'a>(
        domains: impl Iterator<Item = (&'a DomainName, &'a DomainRow, bool)>,
        owners: &IndexMap<ServiceName, IndexMap<ShardId, ShardOwner>>,
    ) -> Self {
        let mut table = Self::default();
        for (domain, row, is_unreachable) in domains {
            table.add_domain(domain, row, is_unreachable);
        }
        for (service, shards) in owners {
            table.add_shards(service, shards);
        }
        table
    }

    /// Returns the owner of a shard and the epoch of the assignment.
    pub fn owner(&self, service: &ServiceName, shard: ShardId) -> Option<(&UpstreamRoute, Epoch)> {
        let owners = self.services.get(service)?;
        let assignment = owners.shards.get(shard.0 as usize)?.as_ref()?;
        let (_, upstream) = self.upstreams.get_index(assignment.upstream as usize)?;
        Some((upstream, assignment.epoch))
    }

    /// Iterates over the upstreams of a service.
    pub fn service_upstreams(&self, service: &ServiceName) -> impl Iterator<Item = &UpstreamRoute> {
        let owners = self.services.get(service).into_iter();
        owners
            .flat_map(|owners| &owners.upstreams)
            .filter_map(|index| Some(self.upstreams.get_index(*index as usize)?.1))
    }

    /// Returns an upstream by id.
    pub fn upstream(&self, id: &UpstreamId) -> Option<&UpstreamRoute> {
        self.upstreams.get(id)
    }

    /// Iterates over all upstreams.
    pub fn upstreams(&self) -> impl Iterator<Item = &UpstreamRoute> {
        self.upstreams.values()
    }

    fn add_domain(&mut self, domain: &DomainName, row: &DomainRow, is_unreachable: bool) {
        for (id, entry) in &row.upstreams {
            let host_address = row.hosts.get(&entry.primary);
            let upstream = UpstreamRoute {
                id: id.clone(),
                service: entry.service.clone(),
                domain: domain.clone(),
                address: entry.address.clone(),
                slots: entry.slots,
                connections: entry.connections,
                primary: PrimaryAddress {
                    host: entry.primary.clone(),
                    peer_address: host_address.map(|address| address.peer.clone()),
                },
                is_leaving: entry.state != UpstreamState::Live,
                is_unreachable,
            };
            let (index, _) = self.upstreams.insert_full(id.clone(), upstream);
            let owners = self.services.entry(entry.service.clone()).or_default();
            owners.upstreams.push(index as u32);
        }
    }

    fn add_shards(&mut self, service: &ServiceName, shards: &IndexMap<ShardId, ShardOwner>) {
        let owners = self.services.entry(service.clone()).or_default();
        for (shard, owner) in shards {
            let Some(index) = self.upstreams.get_index_of(&owner.upstream) else {
                continue;
            };
            let shard_index = shard.0 as usize;
            if owners.shards.len() <= shard_index {
                owners.shards.resize(shard_index + 1, None);
            }
            owners.shards[shard_index] = Some(ShardAssignment {
                upstream: index as u32,
                epoch: owner.epoch,
            });
        }
    }
}
