//! The leader: holds the lease in the store and grants keys to upstreams.

use crate::adapter::{BoundsCell, FrontSettings, UserPlatform};
use crate::control::GrantCaller;
use crate::dispatch::Dispatcher;
use crate::draw::DrawSource;
use crate::metrics::FrontMetrics;
use crate::peers::PeerBook;
use crate::reports::ReportLink;
use crate::watch::{ViewKeeper, decode_owners};
use async_channel::{Receiver, Sender, unbounded};
use async_std::future::timeout;
use grant::{
    CallReply, Candidate, GrantCall, GrantLedger, GrantTiming, Holder, LastTerm, LeadClaimant,
    LeadRow, LeadTerm, OwnerMap,
};
use indexmap::IndexMap;
use kernel::{Clock, Moment, ServiceName, TaskScope};
use log::{info, warn};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;
use store::{RowName, RowStamp, RowStore, RowWrite, TableRow, WriteError};

/// Between two steps of the ledgers when nothing happens.
const TICK: Duration = Duration::from_millis(100);
/// Strength from which a host leads without waiting for a stronger one, in thousandths
/// of a core; control of 300 upstreams takes about a tenth of it.
const LEADING_STRENGTH: u32 = 130;
/// Shortest time between two steps of the ledgers, so that replies which come
/// together lead to one write.
const STEP_PAUSE: Duration = Duration::from_millis(40);
/// Key of the lease's row.
const LEAD_KEY: &str = "lead";
/// Hosts that look after the lease often; the second covers the loss of the first.
const STANDBYS: usize = 2;
/// Silence of the leader after which a standby looks after the lease; two replies.
const STANDBY_SILENCE: Duration = Duration::from_millis(800);
/// How often it looks then; grants are to outlast the lease and one such pause.
const STANDBY_POLL: Duration = Duration::from_millis(300);
/// Times that the pause between two looks doubles while the store does not answer.
const MOST_DOUBLINGS: u32 = 2;
/// Silence of the leader after which other hosts look; it may have lost the lease
/// and the datagrams with the news.
const OTHER_SILENCE: Duration = Duration::from_millis(2_500);
/// How often they look then.
const OTHER_POLL: Duration = Duration::from_millis(1_500);
/// Hosts above which the others look less often, so that all of them together
/// make no more calls.
const POLL_HOSTS: u32 = 20;
/// How often hosts look, on average, while there is no lease yet; at a start all of
/// them look, and one of them soon finds that the sheet is there.
const FIRST_POLL: Duration = Duration::from_millis(600);
/// Time for which weak hosts leave a free lease to stronger ones: several of those
/// look within it, in a large deployment too.
const WEAK_WAIT: Duration = Duration::from_millis(1_200);
/// For which the upstreams must be unchanged before keys are first dealt out.
const SETTLE: Duration = Duration::from_millis(800);
/// Pause after a failed write.
const WRITE_PAUSE: Duration = Duration::from_millis(120);
/// For which the store must have failed the leader before it leaves the lease to a
/// standby that reaches the store; two failed writes.
const YIELD_AFTER: Duration = Duration::from_millis(300);
/// For which a weak host leads before it looks for a stronger one; reports of all hosts
/// have come by then.
const WEAK_TERM: Duration = Duration::from_millis(1_500);
/// How many times stronger another host must be to lead in place of a weak one.
const STRONGER: u32 = 2;
/// For which a leader that gives up waits for answers to its last calls; most upstreams
/// answer within a tenth of it.
const LAST_ANSWERS: Duration = Duration::from_millis(150);
/// Time before the lease's end at which grants are renewed for the longest time, as
/// the store has failed; three renewals take less.
const LAST_RENEWAL: Duration = Duration::from_millis(700);
/// Longest time for a call to the store on which the lease depends.
const STORE_LIMIT: Duration = Duration::from_millis(600);
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
    term: LeadTerm,
    row: Option<LeadRow>,
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
            timing: GrantTiming::with_longest_hold(parts.settings.bounds.longest_hold),
            run: parts.draw.number(),
            address: parts.settings.internal.to_string(),
            term: LeadTerm::default(),
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
            ledger.note_reply(now, &call, reply);
        }
    }

    fn poll_pause(&self) -> Duration {
        let doubled = 1 << self.failed_polls.min(MOST_DOUBLINGS);
        let Some(row) = &self.row else {
            return FIRST_POLL.mul_f64(0.5 + self.parts.draw.fraction()) * doubled;
        };
        if self.parts.book.is_helper() {
            return STANDBY_POLL * doubled;
        }
        // Any time up to twice the mean, so that after a start or a loss, too, some
        // host looks soon though each looks seldom.
        let crowding = f64::from(row.hosts.max(POLL_HOSTS)) / f64::from(POLL_HOSTS);
        OTHER_POLL.mul_f64(crowding * 2.0 * self.parts.draw.fraction())
    }

    /// Reads the lease, and takes it when nobody holds it.
    async fn poll(&mut self) {
        if !self.read_row().await {
            self.failed_polls = self.failed_polls.saturating_add(1);
            return;
        }
        self.failed_polls = 0;
        let store_now = self.store_now_ms;
        let claimant = LeadClaimant {
            host: &self.parts.settings.name,
            address: &self.address,
            run: self.run,
        };
        let row = self.row.as_ref();
        let is_own =
            row.is_some_and(|row| row.is_of(&claimant) && self.yielded_term != Some(row.term));
        let has_ended = row.is_some_and(|row| self.parts.book.ended(row.term).is_some());
        let may_take = has_ended || row.is_none_or(|row| row.may_be_taken(&claimant, store_now));
        // A strong host is to lead, if one looks in time.
        let is_weak = self.parts.settings.strength() < LEADING_STRENGTH;
        let free_for = row.map_or_else(
            || self.now() - self.started_at,
            |row| Duration::from_millis(store_now.saturating_sub(row.expires_ms)),
        );
        let is_early = is_weak && !has_ended && free_for < WEAK_WAIT;
        if is_own || (may_take && !is_early && self.parts.keeper.is_complete()) {
            self.take_lease(is_own).await;
        }
    }

    async fn read_row(&mut self) -> bool {
        let sent_at = self.now();
        let table = self.parts.platform.tables().lead.clone();
        let listed = timeout(STORE_LIMIT, self.parts.store.list(&table)).await;
        let page = match listed {
            Ok(Ok(page)) => page,
            Ok(Err(error)) => {
                self.parts.keeper.note_outage(&error);
                return false;
            }
            Err(_elapsed) => {
                let error = store::StoreError::Unavailable("no answer in time".to_owned());
                self.parts.keeper.note_outage(&error);
                return false;
            }
        };
        self.parts.book.note_store_seen();
        self.term.note_reading(sent_at, page.store_now_ms);
        self.store_now_ms = page.store_now_ms;
        let found = page.rows.iter().find(|row| row.key == LEAD_KEY);
        self.row_version = found.map_or(0, |row| row.version);
        self.row = found.and_then(parse_lead);
        let leader = self.row.as_ref().and_then(|row| row.address.parse().ok());
        self.parts.book.set_leader(leader);
        if let Some(row) = &self.row {
            self.parts.dispatcher.parts.budgets.set_hosts(row.hosts);
        }
        true
    }

    /// Writes the lease; `is_own` says whether this run had it before.
    async fn take_lease(&mut self, is_own: bool) {
        let before = self.row.clone();
        let last = before.as_ref().map_or_else(
            || LastTerm {
                is_clean: true,
                held_for: None,
            },
            |row| {
                let told = self.parts.book.ended(row.term);
                told.unwrap_or_else(|| LastTerm::from(row))
            },
        );
        let term = before
            .as_ref()
            .map_or(1, |row| if is_own { row.term } else { row.term + 1 });
        // A write of this run whose answer was lost may have been done since.
        let is_unchanged = self.row_version == self.written_version;
        if self.write(term, Vec::new()).await.is_err() {
            return;
        }
        if is_own && is_unchanged && !self.ledgers.is_empty() {
            info!(target: "lead", "state=regained term={term}");
            return;
        }
        self.ledgers.clear();
        self.timing = GrantTiming::with_longest_hold(self.parts.bounds.load().longest_hold);
        let table = self.parts.platform.tables().owners.clone();
        let listed = timeout(STORE_LIMIT, self.parts.store.list(&table)).await;
        let Ok(Ok(page)) = listed else {
            // Without the owners nothing can be granted; the next look tries again.
            self.give_up();
            return;
        };
        let now = self.now();
        for row in &page.rows {
            let service = ServiceName::from(row.key.as_str());
            self.owner_versions.insert(service.clone(), row.version);
            self.parts.keeper.take_owners(row);
            let Some(bytes) = &row.value else {
                continue;
            };
            let Some(map) = decode_owners(&service, bytes) else {
                continue;
            };
            let mut ledger = GrantLedger::new(self.timing, term);
            ledger.adopt(now, map, last);
            self.ledgers.insert(service, ledger);
        }
        // The new ledgers are to learn of holders that have ended.
        self.addresses_version = 0;
        info!(
            target: "lead",
            "state=taken term={term} clean={} held_for_ms={} services={}",
            last.is_clean,
            last.held_for.map_or(-1, |held| held.as_millis() as i64),
            self.ledgers.len(),
        );
        self.parts.link.announce(term).await;
    }

    /// Writes the lease anew, together with rows of owners.
    async fn write(
        &mut self,
        term: u64,
        owners: Vec<(ServiceName, OwnerMap)>,
    ) -> Result<(), WriteError> {
        let sent_at = self.now();
        let Some(expires_ms) = self.term.expiry_ms(sent_at, self.timing.lease) else {
            return Err(WriteError::Unknown(
                "the store's time is unknown".to_owned(),
            ));
        };
        let row = self.lead_row(term, expires_ms, LastTerm::default());
        let (write, values) = self.row_write(&row, &owners);
        let outcome = timeout(STORE_LIMIT, self.parts.store.write(&write)).await;
        let outcome = match outcome {
            Ok(outcome) => outcome,
            Err(_elapsed) => Err(WriteError::Unknown("no answer in time".to_owned())),
        };
        let outcome = match outcome {
            Err(WriteError::Unknown(why)) => {
                warn!(target: "lead", "state=write_unknown term={term} error=\"{why}\"");
                self.settle_unknown(&row, why).await
            }
            other => other,
        };
        match outcome {
            Ok(stamp) => {
                self.term.note_taken(sent_at, self.timing.lease);
                if stamp.store_now_ms > 0 {
                    self.term.note_reading(sent_at, stamp.store_now_ms);
                }
                self.row_version = stamp.version;
                self.written_version = stamp.version;
                self.parts.book.set_leader(row.address.parse().ok());
                self.parts.book.set_leading(Some(row.term), &row.standbys);
                self.row = Some(row);
                let is_news = !values.is_empty();
                for (service, value) in values {
                    self.owner_versions.insert(service.clone(), stamp.version);
                    self.parts.keeper.take_owners(&TableRow {
                        key: service.as_str().to_owned(),
                        value: Some(value),
                        version: stamp.version,
                    });
                }
                self.failing_since = None;
                self.set_long(false);
                if is_news {
                    self.parts.link.announce(term).await;
                }
                Ok(())
            }
            Err(error) => {
                warn!(target: "lead", "state=write_failed term={term} error=\"{error}\"");
                if error == WriteError::Conflict {
                    // Somebody else has written: nothing of what is known holds.
                    self.give_up();
                    self.parts.book.set_leading(None, &[]);
                    self.ledgers.clear();
                } else {
                    self.failing_since.get_or_insert(sent_at);
                    self.parts.book.set_live(false);
                }
                Err(error)
            }
        }
    }

    /// Reads whether a write without an answer was done.
    async fn settle_unknown(
        &mut self,
        written: &LeadRow,
        why: String,
    ) -> Result<RowStamp, WriteError> {
        let version = self.row_version;
        self.parts.book.set_live(false);
        self.spread_liveness(written.term).await;
        if !self.read_row().await {
            return Err(WriteError::Unknown(why));
        }
        if self.row.as_ref() == Some(written) {
            return Ok(RowStamp {
                version: self.row_version,
                store_now_ms: 0,
            });
        }
        if self.row_version == version {
            return Err(WriteError::Unknown(why));
        }
        Err(WriteError::Conflict)
    }

    fn set_long(&mut self, is_long: bool) {
        let now = self.now();
        for ledger in self.ledgers.values_mut() {
            ledger.set_long(now, is_long);
        }
    }

    fn lead_row(&self, term: u64, expires_ms: u64, last: LastTerm) -> LeadRow {
        let settings = &self.parts.settings;
        let mut others = self.parts.book.hosts();
        others.retain(|host| host.name != settings.name);
        let hosts = others.len() as u32 + 1;
        // A standby in another failure domain outlives the loss of this one.
        others.sort_by_key(|host| {
            let is_near = host.domain == settings.domain;
            (is_near, std::cmp::Reverse(host.strength), host.name.clone())
        });
        let standbys = others.into_iter().take(STANDBYS).map(|host| host.name);
        LeadRow {
            term,
            host: settings.name.clone(),
            run: self.run,
            address: self.address.clone(),
            expires_ms,
            is_clean: last.is_clean,
            held_for_ms: last.held_for.map(|held| held.as_millis() as u64),
            hosts,
            standbys: standbys.collect(),
        }
    }

    fn row_write(
        &self,
        row: &LeadRow,
        owners: &[(ServiceName, OwnerMap)],
    ) -> (RowWrite, Vec<(ServiceName, Vec<u8>)>) {
        let tables = self.parts.platform.tables();
        let lead = RowName::new(&tables.lead, LEAD_KEY);
        let mut write = RowWrite {
            checks: vec![(lead.clone(), self.row_version)],
            sets: vec![(lead, encode(row))],
        };
        let mut values = Vec::new();
        for (service, map) in owners {
            let name = RowName::new(&tables.owners, service.as_str());
            let version = self.owner_versions.get(service).copied().unwrap_or(0);
            let value = map.to_row();
            write.checks.push((name.clone(), version));
            write.sets.push((name, value.clone()));
            values.push((service.clone(), value));
        }
        (write, values)
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
            self.set_long(true);
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
            Ok(()) => now + self.timing.lease_renew,
            Err(_) => now + WRITE_PAUSE,
        };
        for service in services {
            if let Some(ledger) = self.ledgers.get_mut(&service) {
                ledger.note_commit(now, written.is_ok());
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
            let place = (known.entry.address, known.seen_at);
            self.addresses.insert(holder.clone(), place);
            let user = (holder, known.seen_at);
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
            ledger.note_ended(has_ended);
        }
    }

    fn candidates(&mut self, now: Moment, service: &ServiceName) -> Vec<Candidate> {
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
            if known.is_staying() || known.takes_new_work(now) {
                let service_ms = self.parts.book.service_ms(id.as_str()).unwrap_or(0.0);
                measured.push((holder, known.entry.slots, known.is_staying(), service_ms));
            }
        }
        let known = measured.iter().filter(|(.., service_ms)| *service_ms > 0.0);
        let count = known.clone().count().max(1) as f64;
        let average = known.map(|(.., service_ms)| service_ms).sum::<f64>() / count;
        let candidates = measured
            .into_iter()
            .map(|(holder, slots, takes_keys, service_ms)| {
                let speed = if service_ms > 0.0 {
                    average / service_ms
                } else {
                    1.0
                };
                Candidate {
                    holder,
                    capacity: f64::from(slots.max(1)) * speed.clamp(SPEED_RANGE.0, SPEED_RANGE.1),
                    takes_keys,
                }
            });
        candidates.collect()
    }

    /// Returns a standby that is to lead in place of this host, if this one is weak.
    fn stronger_standby(&self) -> Option<String> {
        let strength = self.parts.settings.strength();
        if strength >= LEADING_STRENGTH {
            return None;
        }
        self.parts.book.stronger_standby(strength * STRONGER)
    }

    /// Leaves the lease to a host that reaches the store when this one does not, or that
    /// is much stronger; returns whether it did.
    async fn yield_lease(&mut self, now: Moment) -> bool {
        let is_failing = self
            .failing_since
            .is_some_and(|since| now - since >= YIELD_AFTER);
        let successor = if is_failing {
            self.parts.book.successor()
        } else if now - self.led_since >= WEAK_TERM {
            self.stronger_standby()
        } else {
            None
        };
        let Some(successor) = successor else {
            return false;
        };
        let (term, last) = self.end_term().await;
        self.yielded_term = Some(term);
        let link = &self.parts.link;
        link.announce_end(term, last, Some(&successor)).await;
        info!(
            target: "lead",
            "state=yielded term={term} clean={} successor={successor}",
            last.is_clean,
        );
        true
    }

    fn is_clean(&self) -> bool {
        let now = self.now();
        self.ledgers.values().all(|ledger| ledger.is_clean(now))
    }

    fn give_up(&mut self) {
        self.term.give_up();
        self.terms_ended.fetch_add(1, Ordering::SeqCst);
    }

    /// Stops leading; returns the term and what it leaves behind.
    async fn end_term(&mut self) -> (u64, LastTerm) {
        self.give_up();
        // With every call answered, the successor need not wait for any.
        let wait_until = self.now() + LAST_ANSWERS;
        while self.now() < wait_until && !self.is_clean() {
            self.wait_for_event(TICK / 5).await;
        }
        let now = self.now();
        let held = self.ledgers.values().map(|ledger| ledger.held_for(now));
        let last = LastTerm {
            is_clean: self.is_clean(),
            held_for: Some(held.max().unwrap_or_default()),
        };
        self.ledgers.clear();
        self.failing_since = None;
        let row = self.row.as_ref();
        let term = row.map_or(1, |row| row.term);
        // The end is told to the standbys as such, so that one of them takes over.
        let standbys = row.map_or(&[][..], |row| row.standbys.as_slice());
        self.parts.book.set_leading(None, standbys);
        (term, last)
    }

    /// Gives the lease up, so that another host leads at once.
    async fn resign(&mut self) {
        let now = self.now();
        if !self.term.is_valid(now) {
            return;
        }
        let (term, last) = self.end_term().await;
        let row = self.lead_row(term, 0, last);
        let (write, _) = self.row_write(&row, &[]);
        let written = timeout(STORE_LIMIT, self.parts.store.write(&write)).await;
        self.parts.link.announce_end(term, last, None).await;
        info!(
            target: "lead",
            "state=resigned term={term} clean={} written={}",
            last.is_clean,
            matches!(written, Ok(Ok(_))),
        );
    }
}

fn encode<T: serde::Serialize>(value: &T) -> Vec<u8> {
    serde_json::to_vec(value).expect("rows of the program's own types can be encoded")
}

fn parse_lead(row: &TableRow) -> Option<LeadRow> {
    let bytes = row.value.as_ref()?;
    match serde_json::from_slice(bytes) {
        Ok(row) => Some(row),
        Err(error) => {
            warn!(target: "lead", "row={} ignored: {error}", row.version);
            None
        }
    }
}
