//! Rows of the platform's table, and a cache of their newest known versions.

use indexmap::IndexMap;
use kernel::{DomainName, Epoch, HostId, ServiceName, ShardId, UpstreamId, Version};
use serde::{Deserialize, Serialize};
use sheet::SheetDigest;
use std::fmt;
use std::sync::Arc;
use xxhash_rust::xxh3::xxh3_64;

/// Key of a row in the table.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum RowKey {
    /// The accepted sheet.
    Config,
    /// A sharded service, created together with its first assignments.
    Service(ServiceName),
    /// The hosts and upstreams of a failure domain.
    Domain(DomainName),
    /// The shards that a service has in a failure domain.
    Assign(ServiceName, DomainName),
}

impl RowKey {
    /// Parses the text form that `Display` writes.
    pub fn parse(text: &str) -> Option<Self> {
        if text == "config" {
            return Some(Self::Config);
        }
        if let Some(service) = text.strip_prefix("service/") {
            return Some(Self::Service(service.into()));
        }
        if let Some(domain) = text.strip_prefix("domain/") {
            return Some(Self::Domain(domain.into()));
        }
        let (service, domain) = text.strip_prefix("assign/")?.split_once('/')?;
        Some(Self::Assign(service.into(), domain.into()))
    }
}

impl fmt::Display for RowKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Config => f.write_str("config"),
            Self::Service(service) => write!(f, "service/{service}"),
            Self::Domain(domain) => write!(f, "domain/{domain}"),
            Self::Assign(service, domain) => write!(f, "assign/{service}/{domain}"),
        }
    }
}

/// The accepted sheet, whose body is in the object store under its digest.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigRow {
    /// Digest of the body.
    pub digest: SheetDigest,
    /// Who submitted it.
    pub submitted_by: String,
    /// Unique token of the submission, which shows whether it took effect when the
    /// answer was lost.
    pub submission: String,
    /// Wall-clock time of the commit, in milliseconds since 1970.
    pub committed_at_ms: u64,
}

/// A sharded service; its row exists once its shards are assigned.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceRow {
    /// Number of shards, fixed as long as the service exists.
    pub shards: u32,
}

/// Addresses at which other hosts reach a host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostAddress {
    /// `ip:port` for forwarded requests.
    pub peer: String,
    /// `ip:port` for control messages.
    pub control: String,
}

/// The hosts and upstreams of a failure domain.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DomainRow {
    /// Version of this row at which `hosts` last changed.
    pub hosts_set_at: Version,
    /// The hosts, among which witnesses are chosen.
    pub hosts: IndexMap<HostId, HostAddress>,
    /// The upstreams and their primaries.
    pub upstreams: IndexMap<UpstreamId, UpstreamEntry>,
    /// Whether an operator has declared the domain permanently lost.
    #[serde(default)]
    pub is_lost: bool,
}

/// One upstream of a failure domain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamEntry {
    /// The service that it runs.
    pub service: ServiceName,
    /// `ip:port` of the instance.
    pub address: String,
    /// Maximum number of requests that it runs at a time.
    pub slots: u32,
    /// Maximum number of connections that it accepts.
    pub connections: u32,
    /// The host that renews its lease and admits its requests.
    pub primary: HostId,
    /// The primary's fencing token.
    pub epoch: Epoch,
    /// Previous primaries that are not known to have been fenced by a later one.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub unfenced: Vec<HostId>,
    /// Whether it accepts new work.
    pub state: UpstreamState,
}

/// Whether an upstream accepts new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum UpstreamState {
    /// It accepts new work.
    Live,
    /// The platform lists it as leaving.
    Leaving,
    /// An operator has drained it; this overrides the platform's list.
    Drained,
}

/// The shards that a service has in a failure domain.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AssignRow {
    /// Owner and epoch by shard.
    #[serde(with = "shard_list")]
    pub shards: IndexMap<ShardId, ShardEntry>,
}

/// The owner of one shard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShardEntry {
    /// The owner.
    pub upstream: UpstreamId,
    /// Fencing token that increases with each change of owner.
    pub epoch: Epoch,
}

/// Serializes shards grouped by owner, which keeps rows small.
mod shard_list {
    use super::{Epoch, IndexMap, ShardEntry, ShardId, UpstreamId};
    use serde::{Deserialize, Deserializer, Serialize, Serializer};

    #[derive(Serialize, Deserialize)]
    struct OwnerGroup {
        upstream: UpstreamId,
        shards: Vec<(ShardId, Epoch)>,
    }

    pub(super) fn serialize<S: Serializer>(
        shards: &IndexMap<ShardId, ShardEntry>,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        let mut groups: IndexMap<&UpstreamId, Vec<(ShardId, Epoch)>> = IndexMap::new();
        for (shard, entry) in shards {
            groups
                .entry(&entry.upstream)
                .or_default()
                .push((*shard, entry.epoch));
        }
        let groups = groups.into_iter().map(|(upstream, shards)| OwnerGroup {
            upstream: upstream.clone(),
            shards,
        });
        serializer.collect_seq(groups)
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<IndexMap<ShardId, ShardEntry>, D::Error> {
        let groups = Vec::<OwnerGroup>::deserialize(deserializer)?;
        let mut shards = IndexMap::new();
        for group in groups {
            for (shard, epoch) in group.shards {
                let upstream = group.upstream.clone();
                shards.insert(shard, ShardEntry { upstream, epoch });
            }
        }
        Ok(shards)
    }
}

/// Content of a row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RowContent {
    /// Content of [`RowKey::Config`].
    Config(Arc<ConfigRow>),
    /// Content of [`RowKey::Service`].
    Service(ServiceRow),
    /// Content of [`RowKey::Domain`].
    Domain(Arc<DomainRow>),
    /// Content of [`RowKey::Assign`].
    Assign(Arc<AssignRow>),
}

/// A row at a version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionedRow {
    /// The row's key.
    pub key: RowKey,
    /// The version that the table assigned.
    pub version: Version,
    /// The content at that version.
    pub content: RowContent,
}

/// A write of a row that is conditional on the row's version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RowWrite {
    /// The row's key.
    pub key: RowKey,
    /// The version that the row must have; 0 if it must be absent.
    pub base: Version,
    /// The new content.
    pub content: RowContent,
}

/// A set of writes that commits only if every version matches.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TableTransaction {
    /// Rows that must have the given version and are not written.
    pub checks: Vec<(RowKey, Version)>,
    /// Rows to write.
    pub writes: Vec<RowWrite>,
}

/// The platform's list of hosts and upstreams.
///
/// It may be out of date, so it is a hint and never proof.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformList {
    /// Hosts that run this router.
    pub hosts: Vec<PlatformHost>,
    /// Upstream instances.
    pub upstreams: Vec<PlatformUpstream>,
}

/// A host of this router as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformHost {
    /// The configured name.
    pub name: String,
    /// The host's failure domain.
    pub domain: DomainName,
    /// The host's addresses.
    pub address: HostAddress,
}

/// An upstream instance as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformUpstream {
    /// The upstream's id.
    pub id: UpstreamId,
    /// The service that it runs.
    pub service: ServiceName,
    /// The upstream's failure domain.
    pub domain: DomainName,
    /// `ip:port` of the instance.
    pub address: String,
    /// Maximum number of requests that it runs at a time.
    pub slots: u32,
    /// Maximum number of connections that it accepts.
    pub connections: u32,
    /// Whether it is leaving and accepts no new work.
    pub is_leaving: bool,
}

/// Cache of the newest known version of each row.
#[derive(Clone, Debug, Default)]
pub struct RowCache {
    rows: IndexMap<RowKey, VersionedRow>,
    fingerprint: u64,
}

impl RowCache {
    /// Stores a row if it is newer than the known version; returns whether it was.
    pub fn insert_if_newer(&mut self, row: &VersionedRow) -> bool {
        let known = self.version(&row.key);
        if row.version <= known {
            return false;
        }
        self.fingerprint ^= row_hash(&row.key, known) ^ row_hash(&row.key, row.version);
        self.rows.insert(row.key.clone(), row.clone());
        true
    }

    /// Returns the known version of a row; 0 if the row is unknown.
    pub fn version(&self, key: &RowKey) -> Version {
        self.rows.get(key).map_or(Version(0), |row| row.version)
    }

    /// Returns a combined hash of the versions of all known rows.
    pub fn fingerprint(&self) -> u64 {
        self.fingerprint
    }

    /// Iterates over all known rows.
    pub fn iter(&self) -> impl Iterator<Item = &VersionedRow> {
        self.rows.values()
    }

    /// Returns the row of a failure domain.
    pub fn domain(&self, domain: &DomainName) -> Option<&Arc<DomainRow>> {
        let row = self.rows.get(&RowKey::Domain(domain.clone()))?;
        match &row.content {
            RowContent::Domain(content) => Some(content),
            _ => None,
        }
    }

    /// Returns the assignments of a service in a failure domain.
    pub fn assign(&self, service: &ServiceName, domain: &DomainName) -> Option<&Arc<AssignRow>> {
        let key = RowKey::Assign(service.clone(), domain.clone());
        match &self.rows.get(&key)?.content {
            RowContent::Assign(content) => Some(content),
            _ => None,
        }
    }

    /// Returns the row of the accepted sheet and its version.
    pub fn config(&self) -> Option<(Version, &Arc<ConfigRow>)> {
        let row = self.rows.get(&RowKey::Config)?;
        match &row.content {
            RowContent::Config(content) => Some((row.version, content)),
            _ => None,
        }
    }

    /// Iterates over the known rows of failure domains.
    pub fn domains(&self) -> impl Iterator<Item = (&DomainName, &Arc<DomainRow>)> {
        self.rows
            .values()
            .filter_map(|row| match (&row.key, &row.content) {
                (RowKey::Domain(domain), RowContent::Domain(content)) => Some((domain, content)),
                _ => None,
            })
    }

    /// Iterates over the known assignment rows.
    pub fn assigns(&self) -> impl Iterator<Item = (&ServiceName, &DomainName, &Arc<AssignRow>)> {
        self.rows
            .values()
            .filter_map(|row| match (&row.key, &row.content) {
                (RowKey::Assign(service, domain), RowContent::Assign(content)) => {
                    Some((service, domain, content))
                }
                _ => None,
            })
    }
}

fn row_hash(key: &RowKey, version: Version) -> u64 {
    if version == Version(0) {
        return 0;
    }
    xxh3_64(format!("{key}@{version}").as_bytes())
}
