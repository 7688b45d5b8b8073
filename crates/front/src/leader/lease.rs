//! The lease in the store: how a leader takes, keeps and leaves it.

use super::{LeaderLoop, TICK};
use crate::watch::decode_owners;
use async_std::future::timeout;
use grant::{GrantLedger, GrantTiming, LeaseClaimant, LeaseRow, OwnerMap, PreviousTerm};
use kernel::{Moment, ServiceName};
use log::{info, warn};
use std::sync::atomic::Ordering;
use std::time::Duration;
use store::{RowName, RowWrite, TableRow, WriteError, WriteReceipt};

/// Strength from which a host leads without waiting for a stronger one, in thousandths
/// of a core; control of 300 upstreams takes about a tenth of it.
const LEADING_STRENGTH: u32 = 130;
/// Key of the lease's row.
const LEAD_KEY: &str = "lead";
/// Hosts that look after the lease often; the second covers the loss of the first.
const STANDBYS: usize = 2;
/// How often a standby looks at the lease when the leader is silent; grants are to
/// outlast the lease and one such pause.
const STANDBY_POLL: Duration = Duration::from_millis(300);
/// Times that the pause between two looks doubles while the store does not answer.
const MOST_DOUBLINGS: u32 = 2;
/// How often another host looks, on average, when the leader is silent.
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
/// Longest time for a call to the store on which the lease depends.
const STORE_LIMIT: Duration = Duration::from_millis(600);

impl LeaderLoop {
    /// Returns how long to wait before the next look at the lease.
    pub(super) fn poll_pause(&self) -> Duration {
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
    pub(super) async fn poll(&mut self) {
        if !self.read_row().await {
            self.failed_polls = self.failed_polls.saturating_add(1);
            return;
        }
        self.failed_polls = 0;
        let store_now = self.store_now_ms;
        let claimant = LeaseClaimant {
            host: &self.parts.settings.name,
            address: &self.address,
            run: self.run,
        };
        let row = self.row.as_ref();
        let is_own =
            row.is_some_and(|row| row.belongs_to(&claimant) && self.yielded_term != Some(row.term));
        let has_ended = row.is_some_and(|row| self.parts.book.ended(row.term).is_some());
        let may_take = has_ended || row.is_none_or(|row| row.is_available_to(&claimant, store_now));
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
                self.parts.keeper.record_outage(&error);
                return false;
            }
            Err(_elapsed) => {
                let error = store::StoreError::Unavailable("no answer in time".to_owned());
                self.parts.keeper.record_outage(&error);
                return false;
            }
        };
        self.parts.book.note_store_seen();
        self.term.record_store_time(sent_at, page.store_now_ms);
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
            || PreviousTerm {
                is_clean: true,
                grants_valid_for: None,
            },
            |row| {
                let told = self.parts.book.ended(row.term);
                told.unwrap_or_else(|| PreviousTerm::from(row))
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
        self.timing = GrantTiming::with_max_grant(self.parts.bounds.load().longest_hold);
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
            last.grants_valid_for.map_or(-1, |held| held.as_millis() as i64),
            self.ledgers.len(),
        );
        self.parts.link.announce(term).await;
    }

    /// Writes the lease anew, together with rows of owners.
    pub(super) async fn write(
        &mut self,
        term: u64,
        owners: Vec<(ServiceName, OwnerMap)>,
    ) -> Result<(), WriteError> {
        let sent_at = self.now();
        let Some(expires_ms) = self.term.expiry_ms(sent_at, self.timing.leader_lease) else {
            return Err(WriteError::Unknown(
                "the store's time is unknown".to_owned(),
            ));
        };
        let row = self.lead_row(term, expires_ms, PreviousTerm::default());
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
                self.term.record_acquired(sent_at, self.timing.leader_lease);
                if stamp.store_now_ms > 0 {
                    self.term.record_store_time(sent_at, stamp.store_now_ms);
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
                self.set_extended(false);
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
        written: &LeaseRow,
        why: String,
    ) -> Result<WriteReceipt, WriteError> {
        let version = self.row_version;
        self.parts.book.set_live(false);
        self.spread_liveness(written.term).await;
        if !self.read_row().await {
            return Err(WriteError::Unknown(why));
        }
        if self.row.as_ref() == Some(written) {
            return Ok(WriteReceipt {
                version: self.row_version,
                store_now_ms: 0,
            });
        }
        if self.row_version == version {
            return Err(WriteError::Unknown(why));
        }
        Err(WriteError::Conflict)
    }

    fn lead_row(&self, term: u64, expires_ms: u64, last: PreviousTerm) -> LeaseRow {
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
        LeaseRow {
            term,
            host: settings.name.clone(),
            run: self.run,
            address: self.address.clone(),
            expires_ms,
            is_clean: last.is_clean,
            held_for_ms: last.grants_valid_for.map(|held| held.as_millis() as u64),
            hosts,
            standbys: standbys.collect(),
        }
    }

    fn row_write(
        &self,
        row: &LeaseRow,
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
    pub(super) async fn yield_lease(&mut self, now: Moment) -> bool {
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
        self.term.release();
        self.terms_ended.fetch_add(1, Ordering::SeqCst);
    }

    /// Stops leading; returns the term and what it leaves behind.
    async fn end_term(&mut self) -> (u64, PreviousTerm) {
        self.give_up();
        // With every call answered, the successor need not wait for any.
        let wait_until = self.now() + LAST_ANSWERS;
        while self.now() < wait_until && !self.is_clean() {
            self.wait_for_event(TICK / 5).await;
        }
        let now = self.now();
        let held = self
            .ledgers
            .values()
            .map(|ledger| ledger.grants_valid_for(now));
        let last = PreviousTerm {
            is_clean: self.is_clean(),
            grants_valid_for: Some(held.max().unwrap_or_default()),
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
    pub(super) async fn resign(&mut self) {
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

fn parse_lead(row: &TableRow) -> Option<LeaseRow> {
    let bytes = row.value.as_ref()?;
    match serde_json::from_slice(bytes) {
        Ok(row) => Some(row),
        Err(error) => {
            warn!(target: "lead", "row={} ignored: {error}", row.version);
            None
        }
    }
}
