//! The leader: grants keys to upstreams while it holds the lease in the store.

mod lease;

use crate::adapter::{BoundsCell, FrontSettings, UserPlatform};
use crate::control::GrantCaller;
use crate::dispatch::Dispatcher;
use crate::draw::DrawSource;
use crate::metrics::FrontMetrics;
use crate::peers::PeerBook;
use crate::reports::ReportLink;
use crate::watch::ViewKeeper;
use async_channel::{Receiver, Sender, unbounded};
use async_std::future::timeout;
use grant::{
    CallReply, GrantCall, GrantLedger, GrantTiming, Holder, LeaderLease, LeaseRow, OwnerCandidate,
};
use indexmap::IndexMap;
use kernel::{Clock, Moment, ServiceName, TaskScope};
use log::info;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;
use store::RowStore;

/// Between two steps of the ledgers when nothing happens.
const TICK: Duration = Duration::from_millis(100);
/// Shortest time between two steps of the ledgers, so that replies which come
/// together lead to one write.
const STEP_PAUSE: Duration = Duration::from_millis(40);
/// Silence of the leader after which a standby looks after the lease; two replies.
const STANDBY_SILENCE: Duration = Duration::from_millis(800);
/// Silence of the leader after which other hosts look; it may have lost the lease
/// and the datagrams with the news.
const OTHER_SILENCE: Duration = Duration::from_millis(2_500);
/// For which the upstreams must be unchanged before keys are first dealt out.
const SETTLE: Duration = Duration::from_millis(800);
/// Pause after a failed write.
const WRITE_PAUSE: Duration = Duration::from_millis(120);
/// Time before the lease's end at which grants are renewed for the longest time, as
/// the store has failed; three renewals take less.
const LAST_RENEWAL: Duration = Duration::from_millis(700);
/// Addresses of upstreams that are kept, gone ones too; twice those of a large
/// deployment.
const MOST_ADDRESSES: usize = 4_096;
/// Range of an upstream's speed against the average that is believed.
const SPEED_RANGE: (f64, f64) = (0.3, 3.0);

/// A reply to a call, for the ledger of a service.
type LedgerEvent = (ServiceName, GrantCall, CallReply);

/// What the leader is made of.
#[derive(Debug)]
pub(crate) struct LeaderParts {
    pub platform: Arc<dyn UserPlatform>,
    pub store: Arc<dyn RowStore>,
    pub keeper: Arc<ViewKeeper>,
    pub dispatcher: Dispatcher,
    pub caller: GrantCaller,
    pub book: Arc<PeerBook>,
    pub link: ReportLink,
    pub clock: Arc<dyn Clock>,
    pub settings: FrontSettings,
    pub metrics: FrontMetrics,
    pub scope: TaskScope,
    pub is_stopping: Arc<AtomicBool>,
    pub draw: Arc<DrawSource>,
    pub bounds: BoundsCell,
}

/// Looks after the lease, and leads while it holds it.
#[derive(Debug)]
pub(crate) struct LeaderLoop {
    parts: LeaderParts,
    timing: GrantTiming,
    run: u64,
    address: String,
    term: LeaderLease,
    row: Option<LeaseRow>,
    row_version: u64,
    /// The store's clock at the last look at the lease.
    store_now_ms: u64,
    /// Version of the last write of this run that was confirmed.
    written_version: u64,
    ledgers: IndexMap<ServiceName, GrantLedger>,
    owner_versions: IndexMap<ServiceName, u64>,
    /// Addresses of upstreams, those whose entries are gone too, and when each entry
    /// was first seen.
    addresses: IndexMap<Holder, (SocketAddr, Moment)>,
    /// Version of the entries from which the addresses were last learnt.
    addresses_version: u64,
    events: Receiver<LedgerEvent>,
    sender: Sender<LedgerEvent>,
    started_at: Moment,
    failed_polls: u32,
    renew_at: Moment,
    step_at: Moment,
    crowd: (usize, Moment),
    was_leading: bool,
    was_live: bool,
    /// Counts the terms that this host gave up; calls of those are not sent any more.
    terms_ended: Arc<AtomicU64>,
    /// The term that this host left to a standby; it must not lead in it again.
    yielded_term: Option<u64>,
    /// When this host began to lead.
    led_since: Moment,
    /// Since when the store has failed this leader.
    failing_since: Option<Moment>,
    /// Version of the entries that all hosts were told of.
    spread_version: u64,
}

impl LeaderLoop {
    pub(crate) fn new(parts: LeaderParts) -> Self {
        let (sender, events) = unbounded();
        Self {
            timing: GrantTiming::with_max_grant(parts.settings.bounds.longest_hold),
            run: parts.draw.number(),
            address: parts.settings.internal.to_string(),
            term: LeaderLease::default(),
            row: None,
            row_version: 0,
            store_now_ms: 0,
            written_version: 0,
            ledgers: IndexMap::new(),
            owner_versions: IndexMap::new(),
            addresses: IndexMap::new(),
            addresses_version: 0,
            events,
            sender,
            started_at: parts.clock.now(),
            failed_polls: 0,
            renew_at: Moment::ZERO,
            step_at: Moment::ZERO,
            crowd: (0, Moment::ZERO),
            was_leading: false,
            was_live: true,
            terms_ended: Arc::default(),
            yielded_term: None,
            led_since: Moment::ZERO,
            failing_since: None,
            spread_version: 0,
            parts,
        }
    }

    fn now(&self) -> Moment {
        self.parts.clock.now()
    }

    /// Looks after the lease for good.
    pub(crate) async fn run(mut self) {
        let mut poll_at = self.now();
        let mut was_hearing = false;
        loop {
            if self.parts.is_stopping.load(Ordering::SeqCst) {
                self.resign().await;
                return;
            }
            let now = self.now();
            self.learn_addresses();
            let is_leading = self.term.is_valid(now);
            self.note_change(is_leading);
            if is_leading {
                self.lead(now).await;
                poll_at = self.now();
                self.wait_for_event(TICK).await;
                let pause = self.step_at - self.now();
                async_std::task::sleep(pause).await;
                continue;
            }
            if self.parts.book.take_end() {
                poll_at = now;
            }
            let hears_leader = self.hears_leader();
            if was_hearing && !hears_leader {
                // All hosts would look at once.
                poll_at = now + self.poll_pause();
            }
            was_hearing = hears_leader;
            if now >= poll_at && !hears_leader {
                self.poll().await;
                poll_at = self.now() + self.poll_pause();
            }
            let pause = (poll_at - self.now()).clamp(TICK / 2, TICK * 2);
            self.wait_for_event(pause).await;
        }
    }

    fn hears_leader(&self) -> bool {
        let book = &self.parts.book;
        let silence = if book.is_standby() {
            STANDBY_SILENCE
        } else {
            OTHER_SILENCE
        };
        // A leader without the store is to learn whether others reach it.
        let is_asked = book.is_helper() && !book.is_leader_live();
        book.hears_leader(silence) && !is_asked
    }

    fn note_change(&mut self, is_leading: bool) {
        if is_leading == self.was_leading {
            return;
        }
        self.was_leading = is_leading;
        self.led_since = self.now();
        self.parts.metrics.is_leader.set(i64::from(is_leading));
        let term = self.row.as_ref().map_or(0, |row| row.term);
        if !is_leading {
            self.parts.book.set_leading(None, &[]);
        }
        info!(target: "lead", "leads={is_leading} term={term} row={}", self.row_version);
    }

    async fn wait_for_event(&mut self, most: Duration) {
        if let Ok(Ok(event)) = timeout(most, self.events.recv()).await {
            self.take_event(event);
        }
        while let Ok(event) = self.events.try_recv() {
            self.take_event(event);
        }
    }

    fn take_event(&mut self, (service, call, reply): LedgerEvent) {
        let now = self.now();
        if let Some(ledger) = self.ledgers.get_mut(&service) {
            ledger.record_reply(now, &call, reply);
        }
    }

    fn set_extended(&mut self, is_long: bool) {
        let now = self.now();
        for ledger in self.ledgers.values_mut() {
            ledger.set_extended(now, is_long);
        }
    }

    /// Tells all hosts at once when this one no longer hears of changed entries, so
    /// that they turn to the store themselves.
    async fn spread_liveness(&mut self, term: u64) {
        let is_live = self.parts.book.is_live();
        if is_live != self.was_live {
            self.was_live = is_live;
            self.parts.link.announce(term).await;
        }
    }

    /// Tells all hosts of changed entries; one that misses them reports so.
    async fn spread_entries(&mut self) {
        let version = self.parts.keeper.last_entry_version();
        if version <= self.spread_version {
            return;
        }
        self.spread_version = version;
        let term = self.row.as_ref().map_or(0, |row| row.term);
        self.parts.link.announce(term).await;
    }

    /// Steps all ledgers and does what they ask for.
    async fn lead(&mut self, now: Moment) {
        let term = self.row.as_ref().map_or(0, |row| row.term);
        self.spread_liveness(term).await;
        self.spread_entries().await;
        if self.yield_lease(now).await {
            return;
        }
        if now < self.step_at {
            return;
        }
        let is_ending = self
            .term
            .valid_until()
            .is_some_and(|until| until - now < LAST_RENEWAL);
        if self.failing_since.is_some() && is_ending {
            self.set_extended(true);
        }
        self.step_at = now + STEP_PAUSE;
        let mut commits = Vec::new();
        let mut calls = Vec::new();
        for service in self.divided_services() {
            let candidates = self.candidates(now, &service);
            if !self.is_settled(now, &service, candidates.len()) {
                continue;
            }
            let loads = self.parts.book.loads(&service);
            let term = self.row.as_ref().map_or(0, |row| row.term);
            let ledger = self
                .ledgers
                .entry(service.clone())
                .or_insert_with(|| GrantLedger::new(self.timing, term));
            let step = ledger.step(now, &candidates, &loads);
            for call in step.calls {
                calls.push((service.clone(), call));
            }
            if let Some(map) = step.commit {
                commits.push((service, map));
            }
        }
        for (service, call) in calls {
            let address = self
                .addresses
                .get(&call.holder)
                .map(|(address, _)| *address);
            let caller = self.parts.caller.clone();
            let sender = self.sender.clone();
            let valid_until = self.term.valid_until();
            let clock = Arc::clone(&self.parts.clock);
            let terms_ended = Arc::clone(&self.terms_ended);
            let ended_before = terms_ended.load(Ordering::SeqCst);
            self.parts.scope.spawn(async move {
                let is_valid = move || {
                    valid_until.is_some_and(|until| clock.now() < until)
                        && terms_ended.load(Ordering::SeqCst) == ended_before
                };
                let reply = caller.call(address, &call, &is_valid).await;
                // The loop ends only with the process.
                let _ended = sender.send((service, call, reply)).await;
            });
        }
        if commits.is_empty() && now < self.renew_at {
            return;
        }
        let term = self.row.as_ref().map_or(1, |row| row.term);
        let services: Vec<ServiceName> = commits.iter().map(|(name, _)| name.clone()).collect();
        let written = self.write(term, commits).await;
        let now = self.now();
        self.renew_at = match written {
            Ok(()) => now + self.timing.leader_renew_interval,
            Err(_) => now + WRITE_PAUSE,
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

    fn divided_services(&self) -> Vec<ServiceName> {
        let view = self.parts.dispatcher.parts.view.load();
        let Some(sheet) = &view.sheet else {
            return Vec::new();
        };
        let services = sheet.services.iter();
        let divided = services.filter(|(_, terms)| terms.is_divided);
        divided.map(|(name, _)| name.clone()).collect()
    }

    /// Returns whether keys may be dealt out: at once when they have owners, else
    /// after the upstreams have stopped coming.
    fn is_settled(&mut self, now: Moment, service: &ServiceName, count: usize) -> bool {
        if self.ledgers.contains_key(service) {
            return true;
        }
        if self.crowd.0 != count {
            self.crowd = (count, now);
        }
        count > 0 && now - self.crowd.1 >= SETTLE
    }

    /// Learns the addresses of all upstreams when entries have changed, and which
    /// holders of keys have ended because another upstream has their address.
    fn learn_addresses(&mut self) {
        let version = self.parts.keeper.entries_version();
        if version == self.addresses_version {
            return;
        }
        self.addresses_version = version;
        let view = self.parts.dispatcher.parts.view.load();
        if self.addresses.len() > MOST_ADDRESSES {
            self.addresses.clear();
        }
        let mut latest: IndexMap<SocketAddr, (Holder, Moment)> = IndexMap::new();
        for (id, known) in view.upstreams.iter() {
            let holder = Holder {
                upstream: id.clone(),
                run: known.entry.started_at_ms,
            };
            let place = (known.entry.address, known.first_seen_at);
            self.addresses.insert(holder.clone(), place);
            let user = (holder, known.first_seen_at);
            let present = latest.entry(place.0).or_insert_with(|| user.clone());
            if present.1 < user.1 {
                *present = user;
            }
        }
        let addresses = &self.addresses;
        let has_ended = |holder: &Holder| {
            let Some((address, seen_at)) = addresses.get(holder) else {
                return false;
            };
            // Clocks of upstreams may be wrong; the order of their entries has to agree.
            latest.get(address).is_some_and(|(user, user_seen_at)| {
                user.upstream != holder.upstream && user.run > holder.run && user_seen_at > seen_at
            })
        };
        for ledger in self.ledgers.values_mut() {
            ledger.record_ended(has_ended);
        }
    }

    fn candidates(&mut self, now: Moment, service: &ServiceName) -> Vec<OwnerCandidate> {
        let dispatch = &self.parts.dispatcher.parts;
        let view = dispatch.view.load();
        let mut measured = Vec::new();
        for id in view.by_service.get(service).into_iter().flatten() {
            let Some(known) = view.upstreams.get(id) else {
                continue;
            };
            let holder = Holder {
                upstream: id.clone(),
                run: known.entry.started_at_ms,
            };
            if known.is_listed() || known.accepts_work(now) {
                let service_ms = self.parts.book.service_ms(id.as_str()).unwrap_or(0.0);
                measured.push((holder, known.entry.slots, known.is_listed(), service_ms));
            }
        }
        let known = measured.iter().filter(|(.., service_ms)| *service_ms > 0.0);
        let count = known.clone().count().max(1) as f64;
        let average = known.map(|(.., service_ms)| service_ms).sum::<f64>() / count;
        let candidates = measured
            .into_iter()
            .map(|(holder, slots, accepts_keys, service_ms)| {
                let speed = if service_ms > 0.0 {
                    average / service_ms
                } else {
                    1.0
                };
                OwnerCandidate {
                    holder,
                    capacity: f64::from(slots.max(1)) * speed.clamp(SPEED_RANGE.0, SPEED_RANGE.1),
                    accepts_keys,
                }
            });
        candidates.collect()
    }
}
