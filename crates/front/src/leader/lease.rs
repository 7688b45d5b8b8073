//! The leader's lease in the store: how it is acquired, renewed, yielded and given up.

use super::{LeaderLoop, TICK_INTERVAL, YIELD_TIMEOUT};
use crate::adapter::is_strong;
use crate::peers::LeaseAtStart;
use async_std::future::timeout;
use grant::{GrantTiming, LeaseClaimant, LeaseRow, OwnerMap, PreviousTerm, RestoreGuard};
use kernel::{Moment, ServiceName};
use log::{info, warn};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use store::{RowName, RowWrite, TableRow, WriteError, WriteReceipt};

/// Key of the lease's row.
const LEASE_KEY: &str = "lead";
/// Number of hosts that poll the lease often; the second covers the loss of the first.
const STANDBY_COUNT: usize = 2;
/// Poll interval of a standby while the leader is silent. Grants must outlast the lease
/// and one such interval.
const STANDBY_POLL_INTERVAL: Duration = Duration::from_millis(300);
/// Maximum number of times that the poll interval doubles while the store does not
/// answer.
const MAX_DELAY_DOUBLINGS: u32 = 2;
/// Ranges of the first poll delays of other hosts once the leader is silent. A new leader
/// that was no standby, such as after a restart of all hosts, knows nobody's address, so
/// that the others have to find it.
const FIRST_POLL_DELAYS: [PollDelays; 2] = [
    PollDelays {
        min: Duration::ZERO,
        spread: Duration::from_secs(1),
    },
    PollDelays {
        min: Duration::from_millis(500),
        spread: Duration::from_secs(2),
    },
];
/// Mean poll interval of other hosts while the leader is silent.
const MEAN_POLL_INTERVAL: Duration = Duration::from_millis(1_500);
/// Number of hosts above which the mean poll interval grows in proportion, so that the
/// total rate of calls stays the same.
const FULL_RATE_HOSTS: u32 = 20;
/// Mean poll interval while there is no lease yet. All hosts poll at first start, so
/// one of them soon finds that the sheet has been written.
const INITIAL_POLL_INTERVAL: Duration = Duration::from_millis(600);
/// Time for which weak hosts leave an expired or missing lease to stronger ones.
/// Several strong hosts poll within it, in large deployments too.
const WEAK_HOST_DELAY: Duration = Duration::from_millis(1_200);
/// Time for which a weak host leads before it looks for a stronger standby; reports of
/// all hosts have arrived by then.
const WEAK_LEADER_DURATION: Duration = Duration::from_millis(1_500);
/// Factor by which another host must be stronger than a weak leader to replace it.
const STRONGER_FACTOR: u32 = 2;
/// Maximum time for which a leader that steps down waits for replies to its last calls.
/// Most upstreams reply within a tenth of it.
const FINAL_REPLY_TIMEOUT: Duration = Duration::from_millis(150);
/// Timeout of the store calls that the lease depends on.
pub(super) const STORE_TIMEOUT: Duration = Duration::from_millis(600);

/// A range of poll delays.
struct PollDelays {
    min: Duration,
    spread: Duration,
}

impl LeaderLoop {
    /// Returns the delay before the next poll of the lease.
    pub(super) fn poll_delay(&self) -> Duration {
        let backoff_factor = 1 << self.failed_polls.min(MAX_DELAY_DOUBLINGS);
        let Some(row) = &self.row else {
            return INITIAL_POLL_INTERVAL.mul_f64(0.5 + self.context.random.fraction())
                * backoff_factor;
        };
        if self.context.peers.is_backup_poller() {
            return STANDBY_POLL_INTERVAL * backoff_factor;
        }
        if let Some(delays) = FIRST_POLL_DELAYS.get(self.polls_without_leader as usize) {
            return delays.min + delays.spread.mul_f64(self.context.random.fraction());
        }
        // Uniform between zero and twice the mean: after a start or a loss of the
        // leader, some host polls soon although each polls seldom. Weak hosts leave the
        // lease to strong ones, which therefore share the rate among themselves.
        let is_strong = is_strong(self.context.settings.strength());
        let pollers = if is_strong {
            row.strong_hosts
        } else {
            row.hosts
        };
        let host_factor = f64::from(pollers.max(FULL_RATE_HOSTS)) / f64::from(FULL_RATE_HOSTS);
        MEAN_POLL_INTERVAL.mul_f64(host_factor * 2.0 * self.context.random.fraction())
    }

    /// Reads the lease, and acquires it if no host holds it.
    pub(super) async fn poll(&mut self) {
        if !self.read_lease_row().await {
            self.failed_polls = self.failed_polls.saturating_add(1);
            return;
        }
        self.failed_polls = 0;
        self.polls_without_leader = self.polls_without_leader.saturating_add(1);
        let row_term = self.row.as_ref().map_or(0, |row| row.term);
        let peers = &self.context.peers;
        if row_term < peers.told_term() && peers.is_leader_live(self.timing.leader_lease) {
            // The row has gone back, but not the lease of the leader of the later term.
            return;
        }
        let store_now = self.store_now_ms;
        let claimant = self.claimant();
        let row = self.row.as_ref();
        let is_current = self.restore_guard.is_lease_current(row, self.known_term());
        if !is_current && self.now() < self.restore_guard.earlier_lease_end(&self.timing) {
            return;
        }
        let is_own_lease = is_current
            && row.is_some_and(|row| {
                row.belongs_to(&claimant) && self.yielded_term != Some(row.term)
            });
        let own_name = &self.context.settings.name;
        let is_successor =
            is_current && row.is_some_and(|row| self.context.peers.may_succeed(row.term, own_name));
        let is_available =
            is_successor || row.is_none_or(|row| row.is_available_to(&claimant, store_now));
        // A weak host leaves the lease to a strong one that polls in time.
        let is_weak = !is_strong(self.context.settings.strength());
        let expired_for = row.map_or_else(
            || self.now() - self.started_at,
            |row| Duration::from_millis(store_now.saturating_sub(row.expires_ms)),
        );
        let must_defer = is_weak && !is_successor && expired_for < WEAK_HOST_DELAY;
        if is_own_lease
            || (is_available && !must_defer && self.context.replica.has_sheet_and_entries())
        {
            self.acquire_lease(is_own_lease, is_current).await;
        }
    }

    pub(super) fn claimant(&self) -> LeaseClaimant<'_> {
        LeaseClaimant {
            host: &self.context.settings.name,
            address: &self.address,
            run: self.run_id,
        }
    }

    /// Returns the greatest term that some leader is known to have taken.
    fn known_term(&self) -> u64 {
        self.context.peers.told_term().max(self.led_term)
    }

    pub(super) async fn read_lease_row(&mut self) -> bool {
        let sent_at = self.now();
        let table = self.context.platform.tables().leader_lease.clone();
        let store = Arc::clone(&self.context.store);
        let reading = timeout(STORE_TIMEOUT, store.list(&table));
        let page = match self.renew_during(reading).await {
            Ok(Ok(page)) => page,
            Ok(Err(error)) => {
                self.context.replica.record_outage(&error);
                return false;
            }
            Err(_elapsed) => {
                let error =
                    store::StoreError::Unavailable("no answer within the timeout".to_owned());
                self.context.replica.record_outage(&error);
                return false;
            }
        };
        self.context.peers.record_store_contact();
        self.lease.record_store_time(sent_at, page.store_now_ms);
        self.store_now_ms = page.store_now_ms;
        let found = page.rows.iter().find(|row| row.key == LEASE_KEY);
        self.row_version = found.map_or(0, |row| row.version);
        self.row = found.and_then(decode_lease_row);
        self.row_era = page.era;
        let era = page.era.map_or(0, |era| era.0);
        self.restore_guard.record_era(self.now(), era);
        let row_term = self.row.as_ref().map_or(0, |row| row.term);
        self.context.peers.update_term_floor(|floor| {
            floor.record_term(row_term);
            floor.record_era(era);
        });
        let lease_at_start = match &self.row {
            None => LeaseAtStart::Absent,
            Some(row) if row.expires_ms > page.store_now_ms => LeaseAtStart::Held,
            Some(_) => LeaseAtStart::Expired,
        };
        self.context.peers.record_lease_at_start(lease_at_start);
        // A row that has gone back names an earlier leader.
        if row_term >= self.known_term() {
            let leader = self.row.as_ref().and_then(|row| row.address.parse().ok());
            self.context.peers.set_leader(leader);
        }
        if let Some(row) = &self.row {
            self.context
                .dispatcher
                .state
                .budgets
                .set_host_count(row.hosts);
        }
        true
    }

    /// Writes the lease and loads the owners; `is_own_lease` says whether this run
    /// held it before, and `is_current` whether its row tells of the last leader.
    async fn acquire_lease(&mut self, is_own_lease: bool, is_current: bool) {
        let previous_row = self.row.clone();
        let previous = match &previous_row {
            // Whatever the row says, another leader may have ended after it.
            _ if !is_current => PreviousTerm::default(),
            None => PreviousTerm {
                is_clean: true,
                grants_valid_for: None,
            },
            Some(row) => {
                let announced = self.context.peers.announced_end(row.term);
                announced.unwrap_or_else(|| PreviousTerm::from(row))
            }
        };
        for map in self.context.dispatcher.state.view.load().owners.values() {
            self.context.peers.record_owners(map);
        }
        let floor = self.context.peers.term_floor();
        // A write of this run whose answer was lost may have been applied since.
        let is_unchanged = self.row_version == self.written_version;
        // Without its ledgers, this run does not know which epochs of the term it has used:
        // the owners in the store may have gone back.
        let continued_row = previous_row.as_ref().filter(|row| {
            let has_ledgers = is_unchanged && !self.ledgers.is_empty();
            is_own_lease && has_ledgers && row.term == floor.greatest()
        });
        let term = continued_row.map_or_else(|| floor.next_term(), |row| row.term);
        if continued_row.is_none() {
            self.timing = GrantTiming::with_max_grant(self.context.bounds.load().longest_hold);
            self.fenced_until = RestoreGuard::fence_end(
                self.now(),
                previous_row.as_ref(),
                is_current,
                self.store_now_ms,
                &self.timing,
            );
        }
        if self.write_lease(term, Vec::new()).await.is_err() {
            return;
        }
        if continued_row.is_some() {
            info!(target: "lead", "state=regained term={term}");
            return;
        }
        self.clear_ledgers();
        let table = self.context.platform.tables().owners.clone();
        let response = timeout(STORE_TIMEOUT, self.context.store.list(&table)).await;
        let Ok(Ok(page)) = response else {
            // Nothing can be granted without the owners; the next poll tries again.
            self.release_lease();
            return;
        };
        self.take_over_owners(&page, term, previous, is_current);
        // Makes the next update tell the new ledgers which holders have ended.
        self.addresses_version = 0;
        info!(
            target: "lead",
            "state=taken term={term} clean={} held_for_ms={} services={} current={is_current} \
             fenced_ms={}",
            previous.is_clean,
            previous.grants_valid_for.map_or(-1, |duration| duration.as_millis() as i64),
            self.ledgers.len(),
            (self.fenced_until - self.now()).as_millis(),
        );
        self.context.report_channel.announce(term).await;
    }

    /// Writes the lease with a new expiry, in one transaction with rows of owners.
    ///
    /// After an error, this host may lead on: if the rows have gone back, the lease has
    /// been taken anew, in a later term, without the `owners`.
    pub(super) async fn write_lease(
        &mut self,
        term: u64,
        owners: Vec<(ServiceName, OwnerMap)>,
    ) -> Result<(), WriteError> {
        let sent_at = self.now();
        let outcome = self.try_write_lease(term, owners).await;
        let Err(error) = &outcome else {
            return outcome;
        };
        warn!(target: "lead", "state=write_failed term={term} error=\"{error}\"");
        if *error != WriteError::Conflict {
            self.store_failing_since.get_or_insert(sent_at);
            self.context.peers.set_feed_live(false);
            return outcome;
        }
        if !self.resume_after_restore().await {
            // Another host has written the rows, so all local state is out of date.
            self.release_lease();
            self.context.peers.set_leading(None, &[]);
            self.clear_ledgers();
        }
        outcome
    }

    /// Writes the lease once; see [`Self::write_lease`].
    pub(super) async fn try_write_lease(
        &mut self,
        term: u64,
        owners: Vec<(ServiceName, OwnerMap)>,
    ) -> Result<(), WriteError> {
        let sent_at = self.now();
        let Some(expires_ms) = self.lease.expiry_ms(sent_at, self.timing.leader_lease) else {
            return Err(WriteError::Unknown(
                "the store's time is unknown".to_owned(),
            ));
        };
        let row = self.lease_row(term, expires_ms, PreviousTerm::default());
        let (write, values) = self.build_write(&row, &owners);
        let store = Arc::clone(&self.context.store);
        let writing = timeout(STORE_TIMEOUT, store.write(&write));
        let outcome = match self.renew_during(writing).await {
            Ok(outcome) => outcome,
            Err(_elapsed) => Err(WriteError::Unknown(
                "no answer within the timeout".to_owned(),
            )),
        };
        let outcome = match outcome {
            // The versions that the write was conditional on are those of another era, in
            // which other rows may have them.
            Ok(receipt) if receipt.era != self.row_era => {
                Err(WriteError::Unknown("the store was restored".to_owned()))
            }
            other => other,
        };
        let outcome = match outcome {
            Err(WriteError::Unknown(reason)) => {
                warn!(target: "lead", "state=write_unknown term={term} error=\"{reason}\"");
                self.resolve_unknown(&row, reason).await
            }
            other => other,
        };
        let receipt = outcome?;
        self.lease
            .record_acquired(sent_at, self.timing.leader_lease);
        if receipt.store_now_ms > 0 {
            self.lease.record_store_time(sent_at, receipt.store_now_ms);
        }
        self.row_version = receipt.version;
        self.written_version = receipt.version;
        self.led_term = self.led_term.max(term);
        let era = receipt.era.map_or(0, |era| era.0);
        let peers = &self.context.peers;
        peers.update_term_floor(|floor| floor.record_era(era));
        self.context.peers.set_leader(row.address.parse().ok());
        let budgets = &self.context.dispatcher.state.budgets;
        budgets.set_host_count(row.hosts);
        self.context
            .peers
            .set_leading(Some(row.term), &row.standbys);
        self.row = Some(row);
        let has_owner_changes = !values.is_empty();
        for (service, value) in values {
            self.owner_versions.insert(service.clone(), receipt.version);
            self.context.replica.apply_owner_row(&TableRow {
                key: service.as_str().to_owned(),
                value: Some(value),
                version: receipt.version,
            });
        }
        self.store_failing_since = None;
        self.set_extended(false);
        if has_owner_changes {
            self.context.report_channel.announce(term).await;
        }
        Ok(())
    }

    /// Removes the ledgers, and keeps their owners in case the store's go back.
    pub(super) fn clear_ledgers(&mut self) {
        for (service, ledger) in self.ledgers.drain(..) {
            self.last_owners.insert(service, ledger.map().clone());
        }
    }

    /// Leads in a later term if a greater one than this host's is known; returns `false`
    /// if the lease could not be written.
    ///
    /// The row of the lease has gone back, or an upstream has seen a greater epoch: this
    /// term, and its epochs, may be those of another leader.
    pub(super) async fn raise_term(&mut self) -> bool {
        let term = self.row.as_ref().map_or(0, |row| row.term);
        let floor = self.context.peers.term_floor();
        if floor.greatest() <= term {
            return true;
        }
        let next_term = floor.next_term();
        if self.write_lease(next_term, Vec::new()).await.is_err() {
            return false;
        }
        for ledger in self.ledgers.values_mut() {
            ledger.raise_term(next_term);
        }
        self.context.metrics.term_raises.inc();
        info!(
            target: "lead",
            "state=term_raised term={next_term} earlier={term} known={}", floor.greatest(),
        );
        self.context.report_channel.announce(next_term).await;
        true
    }

    /// Reads the lease row to find out whether a write without an answer was applied.
    async fn resolve_unknown(
        &mut self,
        written: &LeaseRow,
        reason: String,
    ) -> Result<WriteReceipt, WriteError> {
        let (version, era) = (self.row_version, self.row_era);
        self.context.peers.set_feed_live(false);
        self.announce_feed_state(written.term).await;
        if !self.read_lease_row().await {
            return Err(WriteError::Unknown(reason));
        }
        if self.row_era != era {
            // Nothing that was read in the earlier era holds, and its terms may be taken
            // again.
            return Err(WriteError::Conflict);
        }
        if self.row.as_ref() == Some(written) {
            return Ok(WriteReceipt {
                version: self.row_version,
                store_now_ms: 0,
                era: self.row_era,
            });
        }
        if self.row_version == version {
            return Err(WriteError::Unknown(reason));
        }
        Err(WriteError::Conflict)
    }

    fn lease_row(&self, term: u64, expires_ms: u64, previous: PreviousTerm) -> LeaseRow {
        let settings = &self.context.settings;
        let mut others = self.context.peers.hosts();
        others.retain(|host| host.name != settings.name);
        let hosts = others.len() as u32 + 1;
        // A standby in another failure domain survives the loss of this one.
        others.sort_by_key(|host| {
            let is_same_domain = host.domain == settings.domain;
            (
                is_same_domain,
                std::cmp::Reverse(host.strength),
                host.name.clone(),
            )
        });
        let strong_others = others
            .iter()
            .filter(|host| is_strong(host.strength))
            .count() as u32;
        let strong_hosts = strong_others + u32::from(is_strong(settings.strength()));
        let standbys = others.into_iter().take(STANDBY_COUNT).map(|host| host.name);
        LeaseRow {
            term,
            host: settings.name.clone(),
            run: self.run_id,
            address: self.address.clone(),
            expires_ms,
            is_clean: previous.is_clean,
            held_for_ms: previous
                .grants_valid_for
                .map(|duration| duration.as_millis() as u64),
            fenced_until_ms: self.fenced_until_ms(),
            hosts,
            strong_hosts,
            standbys: standbys.collect(),
        }
    }

    fn build_write(
        &self,
        row: &LeaseRow,
        owners: &[(ServiceName, OwnerMap)],
    ) -> (RowWrite, Vec<(ServiceName, Vec<u8>)>) {
        let tables = self.context.platform.tables();
        let lease_name = RowName::new(&tables.leader_lease, LEASE_KEY);
        let mut write = RowWrite {
            checks: vec![(lease_name.clone(), self.row_version)],
            sets: vec![(lease_name, encode(row))],
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

    /// Returns a standby that should lead instead of this host, if this host is weak.
    fn stronger_standby(&self) -> Option<String> {
        let strength = self.context.settings.strength();
        if is_strong(strength) {
            return None;
        }
        self.context
            .peers
            .stronger_standby(strength * STRONGER_FACTOR)
    }

    /// Yields the lease to a host that reaches the store while this one does not, or
    /// that is much stronger. Returns whether the lease was yielded.
    pub(super) async fn yield_lease(&mut self, now: Moment) -> bool {
        let is_failing = self
            .store_failing_since
            .is_some_and(|since| now - since >= YIELD_TIMEOUT);
        let successor = if is_failing {
            self.context.peers.successor()
        } else if now - self.leadership_changed_at >= WEAK_LEADER_DURATION {
            self.stronger_standby()
        } else {
            None
        };
        let Some(successor) = successor else {
            return false;
        };
        let (term, previous) = self.end_term().await;
        self.yielded_term = Some(term);
        let report_channel = &self.context.report_channel;
        report_channel
            .announce_end(term, previous, Some(&successor))
            .await;
        info!(
            target: "lead",
            "state=yielded term={term} clean={} successor={successor}",
            previous.is_clean,
        );
        true
    }

    fn is_clean(&self) -> bool {
        let now = self.now();
        self.ledgers.values().all(|ledger| ledger.is_clean(now))
    }

    fn release_lease(&mut self) {
        self.lease.release();
        self.context.dispatcher.state.cold.stop_issuing();
        self.ended_terms.fetch_add(1, Ordering::SeqCst);
    }

    /// Stops leading; returns the term and the state that it leaves to the next leader.
    async fn end_term(&mut self) -> (u64, PreviousTerm) {
        self.release_lease();
        // If every call has been answered, the successor need not wait for grants to
        // expire.
        let deadline = self.now() + FINAL_REPLY_TIMEOUT;
        while self.now() < deadline && !self.is_clean() {
            self.wait_for_reply(TICK_INTERVAL / 5).await;
        }
        let now = self.now();
        let remaining = self
            .ledgers
            .values()
            .map(|ledger| ledger.grants_valid_for(now));
        let previous = PreviousTerm {
            is_clean: self.is_clean(),
            grants_valid_for: Some(remaining.max().unwrap_or_default()),
        };
        self.clear_ledgers();
        self.store_failing_since = None;
        let row = self.row.as_ref();
        let term = row.map_or(1, |row| row.term);
        // The announcement of the end still names the standbys, so that one of them
        // takes over.
        let standbys = row.map_or(&[][..], |row| row.standbys.as_slice());
        self.context.peers.set_leading(None, standbys);
        (term, previous)
    }

    /// Ends the lease in the store, so that another host can lead at once.
    pub(super) async fn resign(&mut self) {
        let now = self.now();
        if !self.lease.is_valid(now) {
            return;
        }
        let (term, previous) = self.end_term().await;
        let row = self.lease_row(term, 0, previous);
        let (write, _) = self.build_write(&row, &[]);
        let written = timeout(STORE_TIMEOUT, self.context.store.write(&write)).await;
        self.context
            .report_channel
            .announce_end(term, previous, None)
            .await;
        info!(
            target: "lead",
            "state=resigned term={term} clean={} written={}",
            previous.is_clean,
            matches!(written, Ok(Ok(_))),
        );
    }
}

fn encode<T: serde::Serialize>(value: &T) -> Vec<u8> {
    serde_json::to_vec(value).expect("encoding a lease row does not fail")
}

fn decode_lease_row(row: &TableRow) -> Option<LeaseRow> {
    let bytes = row.value.as_ref()?;
    match serde_json::from_slice(bytes) {
        Ok(row) => Some(row),
        Err(error) => {
            warn!(target: "lead", "row={} invalid lease ignored: {error}", row.version);
            None
        }
    }
}
