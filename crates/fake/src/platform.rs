//! Simulated platform: table, object store and host list, with injectable faults.

use crate::platform_http::serve;
use crate::{FakeTable, RunLog};
use indexmap::{IndexMap, IndexSet};
use kernel::{DomainName, UpstreamId};
use owner::{PlatformHost, PlatformList, PlatformUpstream};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::io;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Faults and rate limits of the platform.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlatformFaults {
    /// Delay of each request, in milliseconds.
    pub delay_ms: u64,
    /// No request is answered.
    pub is_down: bool,
    /// Commits that take effect but whose response is lost, in percent.
    pub lost_answers_percent: u8,
    /// Maximum number of writes accepted per second.
    pub writes_per_s: u32,
    /// Maximum number of reads accepted per second.
    pub reads_per_s: u32,
    /// Delay after which a change shows up in the host list, in milliseconds.
    pub list_lag_ms: u64,
    /// Failure domains that cannot reach the platform.
    pub cut_domains: IndexSet<DomainName>,
}

impl Default for PlatformFaults {
    fn default() -> Self {
        Self {
            delay_ms: 4,
            is_down: false,
            lost_answers_percent: 0,
            writes_per_s: 400,
            reads_per_s: 2_000,
            list_lag_ms: 500,
            cut_domains: IndexSet::new(),
        }
    }
}

/// Simulated platform that is served over HTTP on loopback.
#[derive(Clone, Debug)]
pub struct FakePlatform {
    pub(crate) state: Arc<PlatformState>,
    addresses: Arc<IndexMap<DomainName, String>>,
}

#[derive(Debug)]
pub(crate) struct PlatformState {
    pub faults: Mutex<PlatformFaults>,
    pub table: Mutex<FakeTable>,
    pub objects: Mutex<IndexMap<String, Vec<u8>>>,
    pub counters: Mutex<PlatformCounters>,
    list_history: Mutex<ListHistory>,
    run_log: RunLog,
}

/// Reads and writes admitted so far.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PlatformCounters {
    pub reads: RateWindow,
    pub writes: RateWindow,
}

/// Counts admitted requests in total and in the current second.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RateWindow {
    pub total: u64,
    second: u64,
    count_in_second: u32,
}

impl RateWindow {
    /// Returns whether a request is within the limit per second, and counts it if so.
    pub fn admit(&mut self, second: u64, limit: u32) -> bool {
        if self.second != second {
            self.second = second;
            self.count_in_second = 0;
        }
        if self.count_in_second >= limit {
            return false;
        }
        self.count_in_second += 1;
        self.total += 1;
        true
    }
}

/// Past states of the host list, from which delayed reads are served.
#[derive(Debug, Default)]
struct ListHistory {
    current: PlatformList,
    changes: VecDeque<(Instant, PlatformList)>,
}

impl FakePlatform {
    /// Starts the platform with a separate address for each failure domain.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub async fn start(domains: &[DomainName], run_log: RunLog) -> io::Result<Self> {
        let state = Arc::new(PlatformState {
            faults: Mutex::new(PlatformFaults::default()),
            table: Mutex::new(FakeTable::default()),
            objects: Mutex::new(IndexMap::new()),
            counters: Mutex::new(PlatformCounters::default()),
            list_history: Mutex::new(ListHistory::default()),
            run_log,
        });
        let mut addresses = IndexMap::new();
        for domain in domains {
            let address = serve(Arc::clone(&state), domain.clone()).await?;
            addresses.insert(domain.clone(), address);
        }
        Ok(Self {
            state,
            addresses: Arc::new(addresses),
        })
    }

    /// Returns the address at which hosts of a failure domain reach the platform.
    pub fn address(&self, domain: &DomainName) -> &str {
        &self.addresses[domain]
    }

    /// Changes the injected faults; responses already held back are not released.
    pub fn change_faults(&self, change: impl FnOnce(&mut PlatformFaults)) {
        change(&mut self.state.faults.lock());
    }

    /// Returns the current faults.
    pub fn faults(&self) -> PlatformFaults {
        self.state.faults.lock().clone()
    }

    /// Returns the number of reads and the number of writes served so far.
    pub fn served(&self) -> (u64, u64) {
        let counters = self.state.counters.lock();
        (counters.reads.total, counters.writes.total)
    }

    /// Adds an entry host to the list, replacing one with the same name.
    pub fn list_host(&self, host: PlatformHost) {
        self.state.list_history.lock().change(|list| {
            list.hosts.retain(|known| known.name != host.name);
            list.hosts.push(host);
        });
    }

    /// Removes an entry host from the list.
    pub fn unlist_host(&self, name: &str) {
        self.state
            .list_history
            .lock()
            .change(|list| list.hosts.retain(|known| known.name != name));
    }

    /// Adds an upstream to the list, replacing one with the same id.
    pub fn list_upstream(&self, upstream: PlatformUpstream) {
        let delay = Duration::from_millis(self.state.faults.lock().list_lag_ms);
        let (run_log, id) = (self.state.run_log.clone(), upstream.id.clone());
        let is_leaving = upstream.is_leaving;
        self.state.list_history.lock().change(|list| {
            list.upstreams.retain(|known| known.id != upstream.id);
            list.upstreams.push(upstream);
        });
        // The change counts from when the delayed list shows it.
        async_std::task::spawn(async move {
            async_std::task::sleep(delay).await;
            run_log.set_leaving(&id, is_leaving);
        });
    }

    /// Removes an upstream from the list.
    pub fn unlist_upstream(&self, id: &UpstreamId) {
        self.state
            .list_history
            .lock()
            .change(|list| list.upstreams.retain(|known| known.id != *id));
    }

    /// Returns a copy of the table.
    pub fn table(&self) -> FakeTable {
        self.state.table.lock().clone()
    }

    /// Changes the table directly, past faults and rate limits.
    pub fn with_table<T>(&self, change: impl FnOnce(&mut FakeTable) -> T) -> T {
        change(&mut self.state.table.lock())
    }
}

impl PlatformState {
    /// Returns the list as it was `list_lag_ms` ago.
    pub fn delayed_list(&self) -> PlatformList {
        let delay = Duration::from_millis(self.faults.lock().list_lag_ms);
        self.list_history.lock().at(Instant::now(), delay)
    }
}

impl ListHistory {
    fn change(&mut self, change: impl FnOnce(&mut PlatformList)) {
        const MAX_CHANGES: usize = 4096;
        change(&mut self.current);
        self.changes
            .push_back((Instant::now(), self.current.clone()));
        if self.changes.len() > MAX_CHANGES {
            self.changes.pop_front();
        }
    }

    fn at(&self, now: Instant, delay: Duration) -> PlatformList {
        for (changed_at, list) in self.changes.iter().rev() {
            if now.duration_since(*changed_at) >= delay {
                return list.clone();
            }
        }
        PlatformList::default()
    }
}
