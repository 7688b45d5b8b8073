//! Rows and lists taken in, from the table and from other hosts.

use crate::core::LoadedSheet;
use crate::event::Action;
use crate::held::PrimaryState;
use crate::{ControlCore, PlatformList, RowContent, RowKey, UpstreamState, VersionedRow};
use kernel::{HostId, Moment, UpstreamId, Version};
use sheet::Sheet;
use std::sync::Arc;
use std::time::Duration;

/// For which a list read from the platform counts as its present word.
const LIST_FRESH: Duration = Duration::from_secs(1);

impl ControlCore {
    /// Takes rows in and passes on those that were news.
    pub(crate) fn learn_rows(
        &mut self,
        now: Moment,
        rows: &[VersionedRow],
        source: Option<&HostId>,
    ) {
        let mut news = Vec::new();
        for row in rows {
            self.check_growth(row);
            if !self.rows.insert_if_newer(row) {
                continue;
            }
            if let (RowKey::Assign(service, domain), RowContent::Assign(content)) =
                (&row.key, &row.content)
                && *domain == self.domain
            {
                self.assigned.follow(service, content);
            }
            news.push(row.clone());
        }
        if news.is_empty() {
            return;
        }
        self.touch();
        self.table.resolve_unknown(&self.rows);
        self.clear_committing();
        self.note_own_row(now);
        self.drop_finished_moves();
        self.forget_written_drains();
        self.forget_written_declarations();
        self.note_lost_domains(now);
        self.load_sheet_if_newer();
        self.push_news(now, &news, source);
    }

    /// Asserts that shard epochs only grow with a row's version.
    pub(crate) fn check_growth(&mut self, row: &VersionedRow) {
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
            let is_sound = entry.epoch > old.epoch
                || (entry.epoch == old.epoch && entry.upstream == old.upstream);
            debug_assert!(is_sound, "epoch of shard {shard} of {service} did not grow");
            if !is_sound {
                self.violations += 1;
            }
        }
    }

    /// Starts books for upstreams newly held and drops those no longer held.
    pub(crate) fn note_own_row(&mut self, now: Moment) {
        let Some(row) = self.own_row().cloned() else {
            return;
        };
        let version = self.own_row_version();
        let me = &self.me;
        let before = self.held.len();
        let is_lost = row.is_lost;
        self.held.retain(|id, held| {
            !is_lost
                && row
                    .upstreams
                    .get(id)
                    .is_some_and(|entry| entry.primary == *me && entry.epoch == held.book.epoch())
        });
        if self.held.len() < before {
            self.settled_since = now;
        }
        for (id, entry) in &row.upstreams {
            if is_lost || entry.primary != self.me || self.held.contains_key(id) {
                continue;
            }
            let held = PrimaryState::new(now, entry, version);
            self.held.insert(id.clone(), held);
            self.table.wants_read = true;
        }
        self.note_claim_quorums(now);
    }

    pub(crate) fn drop_finished_moves(&mut self) {
        for (id, held) in &mut self.held {
            let Some(row) = self.rows.assign(&held.service, &self.domain) else {
                continue;
            };
            held.moves.retain(|shard, _| {
                let entry = row.shards.get(shard);
                entry.is_some_and(|entry| entry.upstream == *id)
            });
            held.book.hasten(self.last_tick);
        }
    }

    pub(crate) fn note_list(&mut self, now: Moment, list: PlatformList) {
        if self.list.is_none() {
            self.list_since = now;
        }
        if self.list.as_ref() != Some(&list) {
            self.touch();
        }
        self.list = Some(list);
        self.list_read_at = now;
    }

    pub(crate) fn note_sheet(&mut self, version: Version, sheet: Arc<Sheet>) {
        let known = self.sheet.as_ref().map_or(Version(0), |s| s.version);
        if version <= known {
            return;
        }
        self.sheet = Some(LoadedSheet { version, sheet });
        self.touch();
        // A newer version may have been accepted while this one was loading.
        self.load_sheet_if_newer();
    }

    pub(crate) fn load_sheet_if_newer(&mut self) {
        let accepted = self.rows.version(&RowKey::Config);
        let known = self.sheet.as_ref().map_or(Version(0), |s| s.version);
        if accepted > known {
            self.act(Action::LoadSheet { version: accepted });
        }
    }

    /// Returns what a list read lately says of an upstream, if it names it.
    pub(crate) fn listed_leaving(&self, id: &UpstreamId) -> Option<bool> {
        if self.last_tick - self.list_read_at > LIST_FRESH {
            return None;
        }
        let mut upstreams = self.list.as_ref()?.upstreams.iter();
        let listed = upstreams.find(|upstream| upstream.id == *id)?;
        Some(listed.is_leaving)
    }

    /// Returns whether an operator or the platform's list has the upstream leave.
    pub(crate) fn is_upstream_leaving(&self, id: &UpstreamId) -> bool {
        if let Some(is_leaving) = self.drains.get(id)
            && *is_leaving
        {
            return true;
        }
        let in_row = self
            .own_row()
            .and_then(|row| row.upstreams.get(id))
            .is_some_and(|entry| entry.state != UpstreamState::Live);
        in_row || self.listed_leaving(id) == Some(true)
    }

    /// Forgets operators' drains that a row holds by now.
    pub(crate) fn forget_written_drains(&mut self) {
        let rows = &self.rows;
        self.drains.retain(|id, is_drained| {
            let mut domains = rows.domains();
            let entry = domains.find_map(|(_, row)| row.upstreams.get(id));
            entry.is_some_and(|entry| (entry.state == UpstreamState::Drained) != *is_drained)
        });
    }
}
