//! What traffic knows, as one immutable value.

use arc_swap::{ArcSwap, Guard};
use indexmap::IndexSet;
use kernel::{DomainName, HostId, Version};
use route::{OwnerTable, RouteTable};
use std::sync::Arc;

/// Routes and owners at one moment.
#[derive(Clone, Debug, Default)]
pub struct TrafficSnapshot {
    /// Version of the sheet that `routes` follows; 0 before any is known.
    pub sheet_version: Version,
    /// Rules from requests to kinds.
    pub routes: Arc<RouteTable>,
    /// Owners of shards and primaries of upstreams.
    pub owners: OwnerTable,
    /// Hosts not heard lately.
    pub silent_hosts: IndexSet<HostId>,
    /// The own failure domain, once known.
    pub domain: Option<DomainName>,
}

/// The present snapshot; reading it takes no lock.
#[derive(Debug, Default)]
pub struct SnapshotCell {
    cell: ArcSwap<TrafficSnapshot>,
}

impl SnapshotCell {
    /// Returns the present snapshot.
    pub fn load(&self) -> Guard<Arc<TrafficSnapshot>> {
        self.cell.load()
    }

    /// Replaces the snapshot.
    pub fn store(&self, snapshot: TrafficSnapshot) {
        self.cell.store(Arc::new(snapshot));
    }
}
