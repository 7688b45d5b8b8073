//! The platform: table, object store and host list, with faults.

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

/// Faults and limits of the platform.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlatformFaults {
    /// Time per request, in milliseconds.
    pub delay_ms: u64,
    /// Nothing is answered.
    pub is_down: bool,
    /// Commits that take effect and whose answers are lost, in percent.
    pub lost_answers_percent: u8,
    /// Transactions accepted per second.
    pub writes_per_s: u32,
    /// Reads accepted per second.
    pub reads_per_s: u32,
    /// By how much the host list lags, in milliseconds.
    pub list_lag_ms: u64,
    /// Failure domains that can't reach the platform.
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

/// The platform's stand-in.
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
    lists: Mutex<ListHistory>,
    run_log: RunLog,
}

/// Requests served so far.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PlatformCounters {
    pub reads: RateWindow,
    pub writes: RateWindow,
}

/// Counts requests in total and in the present second.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RateWindow {
    pub total: u64,
    second: u64,
    in_second: u32,
}

impl RateWindow {
    /// Counts a request; returns whether it is within the limit.
    pub fn admit(&mut self, second: u64, limit: u32) -> bool {
        if self.second != second {
            self.second = second;
            self.in_second = 0;
        }
        if self.in_second >= limit {
            return false;
        }
        self.in_second += 1;
        self.total += 1;
        true
    }
}

#[derive(Debug, Default)]
struct ListHistory {
    current: PlatformList,
    changes: VecDeque<(Instant, PlatformList)>,
}

impl FakePlatform {
    /// Starts the platform with an address for each failure domain.
    ///
    /// # Errors
    ///
    /// Fails when no port can be had.
    pub async fn start(domains: &[DomainName], run_log: RunLog) -> io::Result<Self> {
        let state = Arc::new(PlatformState {
            faults: Mutex::new(PlatformFaults::default()),
            table: Mutex::new(FakeTable::default()),
            objects: Mutex::new(IndexMap::new()),
            counters: Mutex::new(PlatformCounters::default()),
            lists: Mutex::new(ListHistory::default()),
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

    /// Returns the platform's address as a failure domain reaches it.
    pub fn address(&self, domain: &DomainName) -> &str {
        &self.addresses[domain]
    }

    /// Changes the faults.
    pub fn change_faults(&self, change: impl FnOnce(&mut PlatformFaults)) {
        change(&mut self.state.faults.lock());
    }

    /// Returns the present faults.
    pub fn faults(&self) -> PlatformFaults {
        self.state.faults.lock().clone()
    }

    /// Returns reads and transactions served so far.
    pub fn served(&self) -> (u64, u64) {
        let counters = self.state.counters.lock();
        (counters.reads.total, counters.writes.total)
    }

    /// Lists an entry host, replacing one of the same name.
    pub fn list_host(&self, host: PlatformHost) {
        self.state.lists.lock().change(|list| {
            list.hosts.retain(|known| known.name != host.name);
            list.hosts.push(host);
        });
    }

    /// Takes an entry host off the list.
    pub fn unlist_host(&self, name: &str) {
        self.state
            .lists
            .lock()
            .change(|list| list.hosts.retain(|known| known.name != name));
    }

    /// Lists an upstream, replacing one of the same id.
    pub fn list_upstream(&self, upstream: PlatformUpstream) {
        let lag = Duration::from_millis(self.state.faults.lock().list_lag_ms);
        let (run_log, id) = (self.state.run_log.clone(), upstream.id.clone());
        let is_leaving = upstream.is_leaving;
        self.state.lists.lock().change(|list| {
            list.upstreams.retain(|known| known.id != upstream.id);
            list.upstreams.push(upstream);
        });
        // It counts as listed once the lagging list shows it.
        async_std::task::spawn(async move {
            async_std::task::sleep(lag).await;
            run_log.set_leaving(&id, is_leaving);
        });
    }

    /// Takes an upstream off the list.
    pub fn unlist_upstream(&self, id: &UpstreamId) {
        self.state
            .lists
            .lock()
            .change(|list| list.upstreams.retain(|known| known.id != *id));
    }

    /// Returns a copy of the table.
    pub fn table(&self) -> FakeTable {
        self.state.table.lock().clone()
    }

    /// Changes the table directly, for tests.
    pub fn with_table<T>(&self, change: impl FnOnce(&mut FakeTable) -> T) -> T {
        change(&mut self.state.table.lock())
    }
}

impl PlatformState {
    /// Returns the list as it was before the lag.
    pub fn lagging_list(&self) -> PlatformList {
        let lag = Duration::from_millis(self.faults.lock().list_lag_ms);
        self.lists.lock().at(Instant::now(), lag)
    }
}

impl ListHistory {
    fn change(&mut self, change: impl FnOnce(&mut PlatformList)) {
        const MOST_CHANGES: usize = 4096;
        change(&mut self.current);
        self.changes
            .push_back((Instant::now(), self.current.clone()));
        if self.changes.len() > MOST_CHANGES {
            self.changes.pop_front();
        }
    }

    fn at(&self, now: Instant, lag: Duration) -> PlatformList {
        for (changed_at, list) in self.changes.iter().rev() {
            if now.duration_since(*changed_at) >= lag {
                return list.clone();
            }
        }
        PlatformList::default()
    }
}
