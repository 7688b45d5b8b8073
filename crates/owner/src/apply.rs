//! Merging of rows, platform lists and sheets received from elsewhere.

use crate::core::LoadedSheet;
use crate::event::Action;
use crate::primary::PrimaryState;
use crate::{ControlCore, PlatformList, RowContent, RowKey, UpstreamState, VersionedRow};
use kernel::{HostId, Moment, UpstreamId, Version};
use sheet::Sheet;
use std::sync::Arc;
use std::time::Duration;

/// Maximum age at which the platform's list counts as current.
const MAX_LIST_AGE: Duration = Duration::from_secs(1);

impl ControlCore {
    /// Merges rows and pushes the newer ones to other hosts.
    ///
    /// `source` is the host that sent the rows, if any; they are not pushed back to it.
    pub(crate) fn apply_rows(
        &mut self,
        now: Moment,
        rows: &[VersionedRow],
        source: Option<&HostId>,
    ) {
        let mut new_rows = Vec::new();
        for row in rows {
            self.check_epoch_growth(row);
            if !self.rows.insert_if_newer(row) {
                continue;
            }
            if let (RowKey::Assign(service, domain), RowContent::Assign(content)) =
                (&row.key, &row.content)
                && *domain == self.domain
            {
                self.assignments.update(service, content);
            }
            new_rows.push(row.clone());
        }
        if new_rows.is_empty() {
            return;
        }
        self.bump_generation();
        self.table.resolve_unknown(&self.rows);
        self.clear_committing();
        self.update_primary_upstreams(now);
        self.remove_finished_moves();
        self.remove_written_drains();
        self.remove_written_declarations();
        self.update_lost_domains(now);
        self.load_sheet_if_newer();
        self.push_rows(now, &new_rows, source);
    }

    /// Checks that a shard's epoch never decreases and that it increases with each
    /// change of owner.
    pub(crate) fn check_epoch_growth(&mut self, row: &VersionedRow) {
        let (RowKey::Assign(service, domain), RowContent::Assign(next)) = (&row.key, &row.content)
        else {
            return;
        };
        if row.version <= self.rows.version(&row.key) {
            return;
        }
        let Some(known) = self.rows.assign(service, domain) else {
            return;
        };
        for (shard, entry) in &next.shards {
            let Some(old) = known.shards.get(shard) else {
                continue;
            };
            let is_valid = entry.epoch > old.epoch
                || (entry.epoch == old.epoch && entry.upstream == old.upstream);
            debug_assert!(is_valid, "epoch of shard {shard} of {service} did not grow");
            if !is_valid {
                self.violations += 1;
            }
        }
    }

    /// Adds and removes primary upstreams according to the row of this host's domain.
    pub(crate) fn update_primary_upstreams(&mut self, now: Moment) {
        let Some(row) = self.own_domain_row().cloned() else {
            return;
        };
        let version = self.own_domain_version();
        let own_id = &self.host_id;
        let previous_count = self.primary_upstreams.len();
        let is_lost = row.is_lost;
        self.primary_upstreams.retain(|id, state| {
            !is_lost
                && row.upstreams.get(id).is_some_and(|entry| {
                    entry.primary == *own_id && entry.epoch == state.lease.epoch()
                })
        });
        if self.primary_upstreams.len() < previous_count {
            self.settled_since = now;
        }
        for (id, entry) in &row.upstreams {
            if is_lost || entry.primary != self.host_id || self.primary_upstreams.contains_key(id) {
                continue;
            }
            let state = PrimaryState::new(now, entry, version);
            self.primary_upstreams.insert(id.clone(), state);
            self.table.is_read_requested = true;
        }
        self.record_claim_quorums(now);
    }

    pub(crate) fn remove_finished_moves(&mut self) {
        for (id, state) in &mut self.primary_upstreams {
            let Some(row) = self.rows.assign(&state.service, &self.domain) else {
                continue;
            };
            state.moves.retain(|shard, _| {
                let entry = row.shards.get(shard);
                entry.is_some_and(|entry| entry.upstream == *id)
            });
            state.lease.schedule_request(self.last_tick);
        }
    }

    pub(crate) fn set_platform_list(&mut self, now: Moment, list: PlatformList) {
        if self.platform_list.is_none() {
            self.list_first_read_at = now;
        }
        if self.platform_list.as_ref() != Some(&list) {
            self.bump_generation();
        }
        self.platform_list = Some(list);
        self.list_read_at = now;
    }

    pub(crate) fn set_sheet_if_newer(&mut self, version: Version, sheet: Arc<Sheet>) {
        let known = self.sheet.as_ref().map_or(Version(0), |s| s.version);
        if version <= known {
            return;
        }
        self.sheet = Some(LoadedSheet { version, sheet });
        self.bump_generation();
        // A newer version may have been accepted while this one was loading.
        self.load_sheet_if_newer();
    }

    pub(crate) fn load_sheet_if_newer(&mut self) {
        let accepted = self.rows.version(&RowKey::Config);
        let known = self.sheet.as_ref().map_or(Version(0), |s| s.version);
        if accepted > known {
            self.push_action(Action::LoadSheet { version: accepted });
        }
    }

    /// Returns whether a current list shows an upstream as leaving.
    ///
    /// Returns `None` if the list is too old or does not contain the upstream.
    pub(crate) fn listed_leaving(&self, id: &UpstreamId) -> Option<bool> {
        if self.last_tick - self.list_read_at > MAX_LIST_AGE {
            return None;
        }
        let mut upstreams = self.platform_list.as_ref()?.upstreams.iter();
        let listed = upstreams.find(|upstream| upstream.id == *id)?;
        Some(listed.is_leaving)
    }

    /// Returns whether an upstream is leaving, by an operator's drain, by its row or
    /// by the platform's list.
    pub(crate) fn is_upstream_leaving(&self, id: &UpstreamId) -> bool {
        if let Some(is_leaving) = self.pending_drains.get(id)
            && *is_leaving
        {
            return true;
        }
        let in_row = self
            .own_domain_row()
            .and_then(|row| row.upstreams.get(id))
            .is_some_and(|entry| entry.state != UpstreamState::Live);
        in_row || self.listed_leaving(id) == Some(true)
    }

    /// Removes the pending drains that have been written to a row.
    pub(crate) fn remove_written_drains(&mut self) {
        let rows = &self.rows;
        self.pending_drains.retain(|id, is_drained| {
            let mut domains = rows.domains();
            let entry = domains.find_map(|(_, row)| row.upstreams.get(id));
            entry.is_some_and(|entry| (entry.state == UpstreamState::Drained) != *is_drained)
        });
    }
}
