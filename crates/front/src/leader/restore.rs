//! Leading across a restore of the store from a copy, whose rows have gone back.

use super::LeaderLoop;
use crate::replica::decode_owner_row;
use grant::{FoundOwners, GrantLedger, OwnerMap, PreviousTerm};
use indexmap::IndexMap;
use kernel::ServiceName;
use log::warn;
use store::RowPage;

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
}
