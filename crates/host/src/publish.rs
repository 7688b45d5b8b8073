//! Publication of the control state to the threads that handle requests.

use crate::hub::ControlHub;
use gate::{SnapshotCell, TrafficSnapshot};
use indexmap::{IndexMap, IndexSet};
use kernel::{DomainName, HostId, Moment, ServiceName, ShardId, UpstreamId, Version};
use log::{info, warn};
use owner::{ControlCore, ShardOwner, UpstreamEntry};
use route::{OwnerTable, RouteTable};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// Interval at which the liveness of hosts and the reachability of domains are
/// checked, because they change without an event.
const REFRESH_INTERVAL: Duration = Duration::from_millis(50);

/// The state that was published last.
#[derive(Debug)]
pub(crate) struct Publisher {
    snapshots: Arc<SnapshotCell>,
    generation: Option<u64>,
    sheet_version: Version,
    routes: Arc<RouteTable>,
    silent_hosts: IndexSet<HostId>,
    unreachable: IndexSet<DomainName>,
    refreshed_at: Moment,
    owners: IndexMap<ServiceName, IndexMap<ShardId, ShardOwner>>,
}

impl Publisher {
    pub fn new(snapshots: Arc<SnapshotCell>) -> Self {
        Self {
            snapshots,
            generation: None,
            sheet_version: Version(0),
            routes: Arc::default(),
            silent_hosts: IndexSet::new(),
            unreachable: IndexSet::new(),
            refreshed_at: Moment::ZERO,
            owners: IndexMap::new(),
        }
    }

    /// Updates the silent hosts and unreachable domains, and returns whether any
    /// published state has changed.
    fn detect_changes(&mut self, core: &ControlCore, now: Moment) -> bool {
        let mut changed = self.generation != Some(core.generation());
        if changed || now - self.refreshed_at >= REFRESH_INTERVAL {
            self.refreshed_at = now;
            let silent_hosts = silent_hosts(core, now);
            let unreachable = unreachable_domains(core, now);
            changed |= silent_hosts != self.silent_hosts || unreachable != self.unreachable;
            self.silent_hosts = silent_hosts;
            self.unreachable = unreachable;
        }
        self.generation = Some(core.generation());
        changed
    }

    /// Compiles the routes of the active sheet if its version has changed.
    fn update_routes(&mut self, core: &ControlCore) {
        let Some((version, sheet)) = core.sheet() else {
            return;
        };
        if version == self.sheet_version {
            return;
        }
        info!(target: "config", "version={version} in force");
        self.sheet_version = version;
        self.routes = Arc::new(RouteTable::compile(sheet));
    }

    /// Logs each shard whose owner has changed.
    fn log_changes(&mut self, next: IndexMap<ServiceName, IndexMap<ShardId, ShardOwner>>) {
        for (service, shards) in &next {
            let previous_shards = self.owners.get(service);
            for (shard, owner) in shards {
                let previous = previous_shards.and_then(|shards| shards.get(shard));
                let Some(previous) = previous.filter(|previous| *previous != owner) else {
                    continue;
                };
                info!(
                    target: "placement",
                    "service={service} shard={shard} from={} to={} epoch={}",
                    previous.upstream, owner.upstream, owner.epoch,
                );
            }
        }
        self.owners = next;
    }
}

impl ControlHub {
    /// Publishes the state if it has changed since the previous call.
    pub fn publish(self: &Rc<Self>, now: Moment) {
        let core = self.core.borrow();
        self.schedulers.set_leases(core.lease_deadlines());
        let mut publisher = self.publisher.borrow_mut();
        if !publisher.detect_changes(&core, now) {
            return;
        }
        publisher.update_routes(&core);
        publisher.log_changes(core.shard_owners());
        self.update_schedulers(&core);
        let domains = core
            .rows()
            .domains()
            .map(|(name, row)| (name, &**row, publisher.unreachable.contains(name)));
        publisher.snapshots.store(TrafficSnapshot {
            sheet_version: publisher.sheet_version,
            routes: Arc::clone(&publisher.routes),
            owners: OwnerTable::build(domains, &publisher.owners),
            silent_hosts: publisher.silent_hosts.clone(),
            domain: Some(self.settings.domain.clone()),
        });
    }

    fn update_schedulers(&self, core: &ControlCore) {
        let primaries = core.primary_upstreams();
        let sheet = core.sheet().map(|(_, sheet)| &**sheet);
        let row = core.rows().domain(&self.settings.domain);
        let entry_of = |id: &UpstreamId| -> Option<&UpstreamEntry> { row?.upstreams.get(id) };
        if let Err(error) = self.schedulers.update(&primaries, sheet, entry_of) {
            warn!(target: "placement", "schedulers not updated: {error}");
        }
    }
}

fn silent_hosts(core: &ControlCore, now: Moment) -> IndexSet<HostId> {
    let domains = core.rows().domains();
    let hosts = domains.flat_map(|(_, row)| row.hosts.keys());
    let silent = hosts.filter(|host| {
        *host != core.id() && core.peers().get(host).is_some() && !core.peers().is_live(now, host)
    });
    silent.cloned().collect()
}

fn unreachable_domains(core: &ControlCore, now: Moment) -> IndexSet<DomainName> {
    let domains = core.rows().domains();
    let unreachable = domains.filter(|(name, _)| core.is_domain_unreachable(now, name));
    unreachable.map(|(name, _)| name.clone()).collect()
}
