//! Leading across a restore of the store from a copy, whose rows have gone back.

use super::lease::STORE_TIMEOUT;
use super::{LeaderLoop, WRITE_RETRY_DELAY};
use crate::replica::decode_owner_row;
use async_std::future::timeout;
use grant::{FoundOwners, GrantLedger, OwnerMap, PreviousTerm, RestoreGuard};
use indexmap::IndexMap;
use kernel::ServiceName;
use log::{info, warn};
use std::sync::Arc;
use store::{RowPage, WriteError};

impl LeaderLoop {
    /// Starts a ledger for each service that has owners in the store, or of whose owners
    /// this host knows otherwise.
    pub(super) fn take_over_owners(
        &mut self,
        page: &RowPage,
        term: u64,
        previous: PreviousTerm,
        is_lease_current: bool,
    ) {
        let now = self.now();
        let mut known = self.known_owners();
        self.owner_versions.clear();
        let mut rows: IndexMap<ServiceName, Option<OwnerMap>> = IndexMap::new();
        for row in &page.rows {
            let service = ServiceName::from(row.key.as_str());
            self.owner_versions.insert(service.clone(), row.version);
            self.context.replica.apply_owner_row(row);
            let Some(bytes) = &row.value else {
                continue;
            };
            // An empty map stands for owners that can't be read.
            let map = decode_owner_row(&service, bytes).unwrap_or_default();
            self.context.peers.record_owners(&map);
            rows.insert(service, Some(map));
        }
        for service in known.keys() {
            if !rows.contains_key(service) {
                rows.insert(service.clone(), None);
            }
        }
        for (service, row) in rows {
            let known_map = known.shift_remove(&service);
            let found = self.restore_guard.judge_owners(
                now,
                row,
                known_map.as_ref(),
                is_lease_current,
                &self.timing,
            );
            let Some(found) = found else {
                continue;
            };
            if let FoundOwners::Outdated { fenced_until, .. } = &found {
                warn!(
                    target: "lead",
                    "state=owners_outdated term={term} service={service} fenced_ms={}",
                    (*fenced_until - now).as_millis(),
                );
            }
            let mut ledger = GrantLedger::new(self.timing, term);
            ledger.take_over(now, found, previous);
            self.ledgers.insert(service, ledger);
        }
    }

    /// Returns the newest owners that this host knows, other than by the store.
    fn known_owners(&self) -> IndexMap<ServiceName, OwnerMap> {
        let view = self.context.dispatcher.state.view.load();
        let mut known = self.last_owners.clone();
        for (service, told) in view.owners.iter() {
            let led = known.get(service);
            if led.is_none_or(|led| led.greatest_epoch() < told.greatest_epoch()) {
                known.insert(service.clone(), told.clone());
            }
        }
        known
    }

    /// Returns until when unknown upstreams may hold keys, on the store's clock in
    /// milliseconds.
    pub(super) fn fenced_until_ms(&self) -> Option<u64> {
        let now = self.now();
        if self.fenced_until <= now {
            return None;
        }
        self.lease.expiry_ms(now, self.fenced_until - now)
    }

    /// Takes the lease anew, with the owners that this leader knows, after a write that met
    /// rows which have gone back; returns whether this host still leads.
    ///
    /// While its lease is valid, no other host can have granted keys: what it knows of the
    /// owners is newer than any row.
    pub(super) async fn resume_after_restore(&mut self) -> bool {
        let own_term = self.led_term;
        while self.lease.is_valid(self.now()) {
            match self.try_resume(own_term).await {
                Ok(true) => return true,
                Ok(false) => return false,
                Err(error) => {
                    warn!(target: "lead", "state=resume_failed term={own_term} error=\"{error}\"");
                }
            }
            let delay = async_std::task::sleep(WRITE_RETRY_DELAY);
            self.renew_during(delay).await;
        }
        false
    }

    /// Returns `false` if another host has taken the lease, or may have.
    async fn try_resume(&mut self, own_term: u64) -> Result<bool, WriteError> {
        if !self.read_lease_row().await {
            return Err(WriteError::Unknown("the lease was not read".to_owned()));
        }
        let row = self.row.as_ref();
        if !self.lease.is_valid(self.now())
            || !RestoreGuard::may_resume(row, own_term, &self.claimant())
        {
            return Ok(false);
        }
        let table = self.context.platform.tables().owners.clone();
        let store = Arc::clone(&self.context.store);
        let reading = timeout(STORE_TIMEOUT, store.list(&table));
        let Ok(Ok(page)) = self.renew_during(reading).await else {
            return Err(WriteError::Unknown("the owners were not read".to_owned()));
        };
        let versions = page.rows.iter();
        let versions = versions.map(|row| (ServiceName::from(row.key.as_str()), row.version));
        self.owner_versions = versions.collect();
        let ledgers = self.ledgers.iter();
        let complete = ledgers.filter(|(_, ledger)| ledger.map().is_complete());
        let owners = complete.map(|(service, ledger)| (service.clone(), ledger.map().clone()));
        let owners = owners.collect();
        let term = self.context.peers.term_floor().next_term();
        self.try_write_lease(term, owners).await?;
        for ledger in self.ledgers.values_mut() {
            ledger.raise_term(term);
        }
        self.context.metrics.term_raises.inc();
        info!(target: "lead", "state=resumed term={term} earlier={own_term}");
        self.context.report_channel.announce(term).await;
        Ok(true)
    }
}
