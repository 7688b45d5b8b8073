//! The leader: grants keys to upstreams while it holds the lease in the store.

mod evacuation;
mod lease;
mod restore;

use self::evacuation::EvacuationLog;
use crate::adapter::{FrontSettings, SharedBounds, UserPlatform};
use crate::dispatch::Dispatcher;
use crate::grant_client::GrantClient;
use crate::holder_paces::HolderPaces;
use crate::metrics::FrontMetrics;
use crate::peers::PeerRegistry;
use crate::random::RandomSource;
use crate::replica::StoreReplica;
use crate::reports::ReportChannel;
use async_channel::{Receiver, Sender, unbounded};
use async_std::future::timeout;
use grant::{
    CallReply, GrantCall, GrantLedger, GrantTiming, Holder, LeaderLease, LeaseRow, OwnerCandidate,
    OwnerMap, RestoreGuard,
};
use indexmap::IndexMap;
use kernel::{Clock, Moment, ServiceName, TaskScope};
use log::info;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;
use store::{RowStore, StoreEra};

/// Maximum time between two steps of the ledgers while no reply arrives.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Minimum time between two steps of the ledgers, so that replies which arrive together
/// lead to one write.
const MIN_STEP_INTERVAL: Duration = Duration::from_millis(40);
/// Silence of the leader after which a standby polls the lease; two missed replies.
const STANDBY_LEADER_TIMEOUT: Duration = Duration::from_millis(800);
/// Silence of the leader after which other hosts poll the lease: the leader may have
/// lost it, and the datagrams that announce the loss may not have arrived.
const LEADER_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Time for which the number of candidates must be unchanged before keys are first
/// assigned.
const SETTLE_DURATION: Duration = Duration::from_millis(800);
/// Delay before the lease is written again after a failed write.
const WRITE_RETRY_DELAY: Duration = Duration::from_millis(120);
/// Remaining lease time below which grants are renewed with the extended duration if
/// the store has failed. Three renewals take less.
const FINAL_RENEWAL_WINDOW: Duration = Duration::from_millis(700);
/// Time for which the store must have failed the leader before it yields the lease to a
/// host that reaches the store; half of a call's timeout.
const YIELD_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum number of upstream addresses that are remembered, including those of removed
/// upstreams; twice the number of a large deployment.
const MAX_ADDRESSES: usize = 4_096;
/// Range to which an upstream's measured speed, relative to the average, is clamped.
const RELATIVE_SPEED_RANGE: (f64, f64) = (0.3, 3.0);

/// A reply to a grant call, for the ledger of a service.
type LedgerReply = (ServiceName, GrantCall, CallReply);

/// Dependencies of the leader loop.
#[derive(Clone, Debug)]
pub(crate) struct LeaderContext {
    pub platform: Arc<dyn UserPlatform>,
    pub store: Arc<dyn RowStore>,
    pub replica: Arc<StoreReplica>,
    pub dispatcher: Dispatcher,
    pub grant_client: GrantClient,
    pub peers: Arc<PeerRegistry>,
    pub report_channel: ReportChannel,
    pub clock: Arc<dyn Clock>,
    pub settings: FrontSettings,
    pub metrics: FrontMetrics,
    pub scope: TaskScope,
    pub is_stopping: Arc<AtomicBool>,
    pub random: Arc<RandomSource>,
    pub bounds: SharedBounds,
}

/// Polls the lease, and grants keys while this host holds it.
#[derive(Debug)]
pub(crate) struct LeaderLoop {
    context: LeaderContext,
    timing: GrantTiming,
    run_id: u64,
    address: String,
    lease: LeaderLease,
    row: Option<LeaseRow>,
    row_version: u64,
    /// The store's clock at the last read of the lease, in milliseconds.
    store_now_ms: u64,
    /// Version of the last confirmed write of this run.
    written_version: u64,
    ledgers: IndexMap<ServiceName, GrantLedger>,
    owner_versions: IndexMap<ServiceName, u64>,
    /// First address of each known upstream run, including removed ones.
    addresses: IndexMap<Holder, SocketAddr>,
    /// Version of the entries at the last update of `addresses`.
    addresses_version: u64,
    replies: Receiver<LedgerReply>,
    reply_sender: Sender<LedgerReply>,
    started_at: Moment,
    failed_polls: u32,
    /// Polls since a leader was last heard of.
    polls_without_leader: u32,
    next_renewal_at: Moment,
    next_step_at: Moment,
    /// Number of candidates of each service, and when it last changed.
    candidate_counts: IndexMap<ServiceName, (usize, Moment)>,
    was_leading: bool,
    was_feed_live: bool,
    /// Number of terms that this host has ended; calls of ended terms are no longer
    /// sent.
    ended_terms: Arc<AtomicU64>,
    /// The term that this host yielded to another host; it must not lead in that term
    /// again.
    yielded_term: Option<u64>,
    /// When this host last started or stopped leading.
    leadership_changed_at: Moment,
    /// When the current series of failed store writes began.
    store_failing_since: Option<Moment>,
    /// Versions of the entries and the sheet that were last announced to all hosts.
    announced_versions: (u64, u64, u64),
    evacuation_log: EvacuationLog,
    holder_paces: HolderPaces,
    /// Era of the store at the last read of the lease.
    row_era: Option<StoreEra>,
    restore_guard: RestoreGuard,
    /// The greatest term in which this run has led.
    led_term: u64,
    /// Time until which keys of services without owners may be held by upstreams that no
    /// row names.
    fenced_until: Moment,
    /// Owners of the ledgers that this host last removed.
    last_owners: IndexMap<ServiceName, OwnerMap>,
}

impl LeaderLoop {
    pub(crate) fn new(context: LeaderContext) -> Self {
        let (reply_sender, replies) = unbounded();
        Self {
            timing: GrantTiming::with_max_grant(context.settings.bounds.longest_hold),
            run_id: context.random.next_u64(),
            address: context.settings.internal.to_string(),
            lease: LeaderLease::default(),
            row: None,
            row_version: 0,
            store_now_ms: 0,
            written_version: 0,
            ledgers: IndexMap::new(),
            owner_versions: IndexMap::new(),
            addresses: IndexMap::new(),
            addresses_version: 0,
            replies,
            reply_sender,
            started_at: context.clock.now(),
            failed_polls: 0,
            polls_without_leader: 0,
            next_renewal_at: Moment::ZERO,
            next_step_at: Moment::ZERO,
            candidate_counts: IndexMap::new(),
            was_leading: false,
            was_feed_live: true,
            ended_terms: Arc::default(),
            yielded_term: None,
            leadership_changed_at: Moment::ZERO,
            store_failing_since: None,
            announced_versions: (0, 0, 0),
            evacuation_log: EvacuationLog::default(),
            holder_paces: HolderPaces::default(),
            row_era: None,
            restore_guard: RestoreGuard::default(),
            led_term: 0,
            fenced_until: Moment::ZERO,
            last_owners: IndexMap::new(),
            context,
        }
    }

    fn now(&self) -> Moment {
        self.context.clock.now()
    }

    /// Runs until the host stops, then gives up the lease.
    pub(crate) async fn run(mut self) {
        // A loop that ended by a panic may have led.
        self.context.peers.set_leading(None, &[]);
        let mut poll_at = self.now();
        let mut had_leader = false;
        loop {
            if self.context.is_stopping.load(Ordering::SeqCst) {
                self.resign().await;
                return;
            }
            let now = self.now();
            self.update_addresses();
            let is_leading = self.lease.is_valid(now);
            self.update_leadership(is_leading);
            if is_leading {
                self.lead(now).await;
                poll_at = self.now();
                self.wait_for_reply(TICK_INTERVAL).await;
                let delay = self.next_step_at - self.now();
                async_std::task::sleep(delay).await;
                continue;
            }
            if self.context.peers.take_pending_end() {
                poll_at = now;
            }
            let has_working_leader = self.has_working_leader();
            if had_leader && !has_working_leader {
                // A random delay keeps the hosts from polling all at once.
                poll_at = now + self.poll_delay();
            }
            had_leader = has_working_leader;
            if has_working_leader {
                self.polls_without_leader = 0;
            }
            if now >= poll_at && !has_working_leader {
                if self.may_poll() {
                    self.poll().await;
                }
                poll_at = self.now() + self.poll_delay();
                if self.lease.is_valid(self.now()) {
                    continue;
                }
            }
            let delay = (poll_at - self.now()).clamp(TICK_INTERVAL / 2, TICK_INTERVAL * 2);
            self.wait_for_reply(delay).await;
        }
    }

    /// Returns whether to read the lease: while the store fails this host, only the hosts
    /// that would lead next do.
    fn may_poll(&self) -> bool {
        !self.context.replica.is_store_failing() || self.context.peers.is_backup_poller()
    }

    fn has_working_leader(&self) -> bool {
        let peers = &self.context.peers;
        let max_silence = if peers.is_standby() {
            STANDBY_LEADER_TIMEOUT
        } else {
            LEADER_TIMEOUT
        };
        // A leader that has lost the store has to learn whether other hosts reach it.
        let must_poll = peers.is_backup_poller() && !peers.is_leader_feed_live();
        peers.is_leader_live(max_silence) && !must_poll
    }

    fn update_leadership(&mut self, is_leading: bool) {
        if is_leading == self.was_leading {
            return;
        }
        self.was_leading = is_leading;
        self.leadership_changed_at = self.now();
        self.context.metrics.is_leader.set(i64::from(is_leading));
        let term = self.row.as_ref().map_or(0, |row| row.term);
        if !is_leading {
            self.context.peers.set_leading(None, &[]);
            self.evacuation_log.clear(&self.context.metrics);
            self.holder_paces.retain(&self.context.metrics, |_| false);
        }
        info!(target: "lead", "leads={is_leading} term={term} row={}", self.row_version);
    }

    async fn wait_for_reply(&mut self, max_wait: Duration) {
        if let Ok(Ok(reply)) = timeout(max_wait, self.replies.recv()).await {
            self.record_reply(reply);
        }
        while let Ok(reply) = self.replies.try_recv() {
            self.record_reply(reply);
        }
    }

    fn record_reply(&mut self, (service, call, reply): LedgerReply) {
        let now = self.now();
        if reply == CallReply::Superseded {
            let peers = &self.context.peers;
            peers.update_term_floor(|floor| floor.record_superseded(call.epoch));
        }
        if let Some(ledger) = self.ledgers.get_mut(&service) {
            ledger.record_reply(now, &call, reply);
        }
    }

    fn set_extended(&mut self, is_extended: bool) {
        let now = self.now();
        for ledger in self.ledgers.values_mut() {
            ledger.set_extended(now, is_extended);
        }
    }

    /// Tells all hosts at once when this host's feed of entries fails or recovers, so
    /// that they read the store themselves while it fails.
    async fn announce_feed_state(&mut self, term: u64) {
        let is_feed_live = self.context.peers.is_feed_live();
        if is_feed_live != self.was_feed_live {
            self.was_feed_live = is_feed_live;
            self.context.report_channel.announce(term).await;
        }
    }

    /// Tells all hosts of changed entries and of a new sheet; a host that misses the
    /// message says so in its next report.
    async fn announce_changes(&mut self) {
        let replica = &self.context.replica;
        let versions = (
            replica.last_entry_version(),
            replica.sheet_version(),
            replica.orders_version(),
        );
        if versions == self.announced_versions {
            return;
        }
        self.announced_versions = versions;
        let term = self.row.as_ref().map_or(0, |row| row.term);
        self.context.report_channel.announce(term).await;
    }

    /// Steps all ledgers, sends their grant calls and writes their maps.
    async fn lead(&mut self, now: Moment) {
        let term = self.row.as_ref().map_or(0, |row| row.term);
        let cold = &self.context.dispatcher.state.cold;
        cold.set_lease(now, term, self.lease.valid_until());
        self.announce_feed_state(term).await;
        self.announce_changes().await;
        self.log_capacities(now);
        if self.yield_lease(now).await {
            return;
        }
        if now < self.next_step_at {
            return;
        }
        self.extend_if_ending(now);
        self.next_step_at = now + MIN_STEP_INTERVAL;
        if !self.raise_term().await {
            self.next_step_at = self.now() + WRITE_RETRY_DELAY;
            return;
        }
        let mut commits = Vec::new();
        let mut calls = Vec::new();
        for service in self.sharded_services() {
            let candidates = self.candidates(now, &service);
            if !self.is_settled(now, &service, candidates.len()) {
                continue;
            }
            let loads = self.context.peers.loads(&service);
            let term = self.row.as_ref().map_or(0, |row| row.term);
            let ledger = self.ledgers.entry(service.clone()).or_insert_with(|| {
                let mut ledger = GrantLedger::new(self.timing, term);
                ledger.fence(self.fenced_until);
                ledger
            });
            let step = ledger.step(now, &candidates, &loads);
            let counts = ledger.evacuation_counts(&candidates);
            self.evacuation_log
                .record(now, &service, counts, &self.context.metrics);
            for call in step.calls {
                calls.push((service.clone(), call));
            }
            if let Some(map) = step.commit {
                commits.push((service, map));
            }
        }
        self.send_calls(calls);
        if commits.is_empty() && now < self.next_renewal_at {
            return;
        }
        let term = self.row.as_ref().map_or(1, |row| row.term);
        let services: Vec<ServiceName> = commits.iter().map(|(name, _)| name.clone()).collect();
        let written = self.write_lease(term, commits).await;
        let now = self.now();
        self.next_renewal_at = match written {
            Ok(()) => now + self.timing.leader_renew_interval,
            Err(_) => now + WRITE_RETRY_DELAY,
        };
        for service in services {
            if let Some(ledger) = self.ledgers.get_mut(&service) {
                ledger.record_commit(now, written.is_ok());
                info!(
                    target: "placement",
                    "service={service} ranges={} written={} row={}",
                    ledger.map().ranges.len(), written.is_ok(), self.row_version,
                );
            }
        }
    }

    /// Renews grants for longer if the store has failed and the lease is about to end.
    fn extend_if_ending(&mut self, now: Moment) {
        let is_lease_ending = self
            .lease
            .valid_until()
            .is_some_and(|until| until - now < FINAL_RENEWAL_WINDOW);
        if self.store_failing_since.is_some() && is_lease_ending {
            self.set_extended(true);
        }
    }

    /// Awaits a call to the store, and renews the grants meanwhile.
    ///
    /// A silent store holds each call up for as long as its timeout, which is a good part
    /// of the lease. Grants that are not renewed in that time would lapse seconds
    /// earlier than they need to.
    async fn renew_during<T>(&mut self, store_call: impl Future<Output = T>) -> T {
        let started_at = self.now();
        let mut store_call = pin!(store_call);
        loop {
            if let Ok(outcome) = timeout(MIN_STEP_INTERVAL, store_call.as_mut()).await {
                return outcome;
            }
            while let Ok(reply) = self.replies.try_recv() {
                self.record_reply(reply);
            }
            let now = self.now();
            if !self.lease.is_valid(now) {
                continue;
            }
            if now - started_at >= YIELD_TIMEOUT {
                self.store_failing_since.get_or_insert(started_at);
            }
            self.extend_if_ending(now);
            let services: Vec<ServiceName> = self.ledgers.keys().cloned().collect();
            let mut calls = Vec::new();
            for service in services {
                let candidates = self.candidates(now, &service);
                if let Some(ledger) = self.ledgers.get_mut(&service) {
                    let due = ledger.next_calls(now, &candidates);
                    calls.extend(due.into_iter().map(|call| (service.clone(), call)));
                }
            }
            self.send_calls(calls);
        }
    }

    /// Sends calls to upstreams; their replies arrive at `replies`.
    fn send_calls(&self, calls: Vec<(ServiceName, GrantCall)>) {
        for (service, call) in calls {
            let address = self.addresses.get(&call.holder).copied();
            let grant_client = self.context.grant_client.clone();
            let reply_sender = self.reply_sender.clone();
            let valid_until = self.lease.valid_until();
            let clock = Arc::clone(&self.context.clock);
            let ended_terms = Arc::clone(&self.ended_terms);
            let ended_terms_before = ended_terms.load(Ordering::SeqCst);
            self.context.scope.spawn(async move {
                let is_valid = move || {
                    valid_until.is_some_and(|until| clock.now() < until)
                        && ended_terms.load(Ordering::SeqCst) == ended_terms_before
                };
                let reply = grant_client.call(address, &call, &is_valid).await;
                // The send fails only after the leader loop has ended, when no reply is
                // needed.
                let _result = reply_sender.send((service, call, reply)).await;
            });
        }
    }

    fn sharded_services(&self) -> Vec<ServiceName> {
        let view = self.context.dispatcher.state.view.load();
        let Some(sheet) = &view.sheet else {
            return Vec::new();
        };
        let services = sheet.services.iter();
        let sharded = services.filter(|(_, service)| service.is_sharded);
        sharded.map(|(name, _)| name.clone()).collect()
    }

    /// Returns whether keys may be assigned: at once if the service has a ledger
    /// already, else once the number of candidates has been stable.
    fn is_settled(&mut self, now: Moment, service: &ServiceName, count: usize) -> bool {
        if self.ledgers.contains_key(service) {
            return true;
        }
        let known = self
            .candidate_counts
            .entry(service.clone())
            .or_insert((count, now));
        if known.0 != count {
            *known = (count, now);
        }
        count > 0 && now - known.1 >= SETTLE_DURATION
    }

    /// Updates the addresses of all upstreams when entries have changed.
    ///
    /// An entry proves nothing about the holders at its address: any writer can add one.
    /// Only a holder's own address can tell that it has ended, in reply to a call.
    fn update_addresses(&mut self) {
        let version = self.context.replica.entries_version();
        if version == self.addresses_version {
            return;
        }
        self.addresses_version = version;
        let view = self.context.dispatcher.state.view.load();
        if self.addresses.len() > MAX_ADDRESSES {
            self.addresses.clear();
        }
        for (id, known) in view.upstreams.iter() {
            let holder = Holder {
                upstream: id.clone(),
                run: known.entry.started_at_ms,
            };
            // A run keeps its address. With another one, calls would go to an upstream
            // that knows nothing of the grants.
            self.addresses.entry(holder).or_insert(known.entry.address);
        }
    }

    fn candidates(&mut self, now: Moment, service: &ServiceName) -> Vec<OwnerCandidate> {
        let dispatch = &self.context.dispatcher.state;
        let view = dispatch.view.load();
        let mean_service_time = dispatch.selector.lock().mean_service_time(service);
        self.holder_paces
            .retain(&self.context.metrics, |id| view.upstreams.contains_key(id));
        let mut candidates = Vec::new();
        for id in view.by_service.get(service).into_iter().flatten() {
            let Some(known) = view.upstreams.get(id) else {
                continue;
            };
            if !known.is_listed() && !known.accepts_requests(now) {
                continue;
            }
            let pace = self.context.peers.holder_pace(id.as_str());
            let speed = if let Some(pace) = pace {
                self.holder_paces.record(id, pace, &self.context.metrics);
                pace.speed()
            } else {
                let slowness = self.context.peers.slowness(id.as_str()).unwrap_or(1.0);
                let (min, max) = RELATIVE_SPEED_RANGE;
                (1.0 / slowness).clamp(min, max)
            };
            let capacity = f64::from(known.entry.slots.max(1)) * speed;
            let gives_up_by = dispatch.moves_end(&view, &known.entry.domain);
            candidates.push(OwnerCandidate {
                holder: Holder {
                    upstream: id.clone(),
                    run: known.entry.started_at_ms,
                },
                capacity,
                max_rate: mean_service_time.map(|time| capacity / time.as_secs_f64().max(1e-6)),
                accepts_keys: known.is_listed() && gives_up_by.is_none(),
                gives_up_by,
                relief: pace.map(|pace| pace.relief),
                cold_rate: dispatch.cold.key_rate(now, known),
            });
        }
        candidates
    }
}
