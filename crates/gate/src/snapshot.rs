//! The routing state that requests read, as one immutable value.

use arc_swap::{ArcSwap, Guard};
use indexmap::IndexSet;
use kernel::{DomainName, HostId, Version};
use route::{OwnerTable, RouteTable};
use std::sync::Arc;

/// Routes and owners at one point in time.
#[derive(Clone, Debug, Default)]
pub struct TrafficSnapshot {
    /// Version of the sheet that `routes` was compiled from; 0 before any is known.
    pub sheet_version: Version,
    /// Rules that map requests to kinds.
    pub routes: Arc<RouteTable>,
    /// Owners of shards and primaries of upstreams.
    pub owners: OwnerTable,
    /// Hosts that have not been heard from lately.
    pub silent_hosts: IndexSet<HostId>,
    /// This host's failure domain, once known.
    pub domain: Option<DomainName>,
}

/// The current snapshot; reading it takes no lock.
#[derive(Debug, Default)]
pub struct SnapshotCell {
    cell: ArcSwap<TrafficSnapshot>,
}

impl SnapshotCell {
    /// Returns the current snapshot.
    pub fn load(&self) -> Guard<Arc<TrafficSnapshot>> {
        self.cell.load()
    }

    /// Replaces the snapshot.
    pub fn store(&self, snapshot: TrafficSnapshot) {
        self.cell.store(Arc::new(snapshot));
    }
}
