//! Changes of a domain's set of hosts, one host at a time.
//!
//! A change of the hosts changes witness sets, and the waits of a takeover depend
//! on quorums of these sets. Quorums of consecutive sets intersect. To extend that
//! over several changes, a change waits until a quorum of each affected primary's
//! current witnesses knows of the previous change (compare single-server
//! membership changes in Ongaro's dissertation on Raft, section 4.1; here the
//! table orders the changes and nothing is replicated).
//!
//! A restarted host replaces its previous run. That changes no set of names and
//! needs no such wait: the previous run has ended and confirms no host any more,
//! and the new run joins with the row already known. A name must therefore not be
//! given to a second process while the first may still run.

use crate::propose::Proposal;
use crate::{ControlCore, DomainRow, RowContent, RowKey};
use indexmap::IndexSet;
use kernel::{HostId, Moment, Version};
use member::witness_set;
use std::sync::Arc;
use std::time::Duration;

const REMOVE_SILENT_AFTER: Duration = Duration::from_secs(10);

impl ControlCore {
    /// Proposes to add this host to its domain's hosts.
    pub(crate) fn propose_join(&self) -> Option<Proposal> {
        if self.is_leaving {
            return None;
        }
        let key = RowKey::Domain(self.domain.clone());
        let row = match self.own_domain_row() {
            Some(row) if row.hosts.contains_key(&self.host_id) => return None,
            Some(row) => DomainRow::clone(row),
            None => DomainRow::default(),
        };
        let mut next = row.clone();
        next.hosts
            .retain(|host, _| host.name() != self.host_id.name());
        let replaces = next.hosts.len() < row.hosts.len();
        next.hosts
            .insert(self.host_id.clone(), self.address.clone());
        if !replaces {
            if !self.may_change_hosts(&row, &next) {
                return None;
            }
            next.hosts_set_at = self.rows.version(&key).next();
        }
        let write = self.write_over(key, RowContent::Domain(Arc::new(next)));
        Some(Proposal::single_write(write))
    }

    /// Proposes to remove a host that is gone, or an upstream that is no longer listed.
    pub(crate) fn propose_removal(&self, now: Moment) -> Option<Proposal> {
        let row = self.own_domain_row()?;
        if !row.hosts.contains_key(&self.host_id) || now - self.started_at < REMOVE_SILENT_AFTER / 4
        {
            return None;
        }
        for host in row.hosts.keys() {
            if !self.is_removable(now, row, host) {
                continue;
            }
            let witnesses = witness_set(host, row.hosts.keys());
            if self.first_choice(now, host.as_str(), witnesses.into_iter()) != Some(&self.host_id) {
                continue;
            }
            let mut next = DomainRow::clone(row);
            next.hosts.shift_remove(host);
            if !self.may_change_hosts(row, &next) {
                continue;
            }
            next.hosts_set_at = self.own_domain_version().next();
            return Some(Proposal::single_write(self.write_own_domain_row(next)));
        }
        self.propose_upstream_removal(now, row)
    }

    fn is_removable(&self, now: Moment, row: &DomainRow, host: &HostId) -> bool {
        if *host == self.host_id || self.peers.is_live(now, host) {
            return false;
        }
        if row.upstreams.values().any(|entry| entry.primary == *host) {
            return false;
        }
        let silent_since = self
            .peers
            .get(host)
            .map_or(self.started_at, |peer| peer.last_seen_at);
        self.peers.is_leaving(host) || now - silent_since > REMOVE_SILENT_AFTER
    }

    /// Returns whether the domain's hosts may change from `row` to `next`.
    ///
    /// Requires, for each primary whose witness set changes, that a quorum of its
    /// current witnesses knows of the previous change.
    fn may_change_hosts(&self, row: &DomainRow, next: &DomainRow) -> bool {
        for primary in possible_primaries(row) {
            let before = witness_set(primary, row.hosts.keys());
            let after = witness_set(primary, next.hosts.keys());
            let is_same = before.len() == after.len() && before.iter().all(|w| after.contains(w));
            if is_same || before.is_empty() || row.hosts_set_at == Version(0) {
                continue;
            }
            let own_version = self.own_domain_version();
            let is_known = self.peers.is_known_by_quorum(
                &before,
                row.hosts_set_at,
                &self.host_id,
                own_version,
            );
            if !is_known {
                return false;
            }
        }
        true
    }

    fn propose_upstream_removal(&self, now: Moment, row: &DomainRow) -> Option<Proposal> {
        let list = self.platform_list.as_ref()?;
        if now - self.list_first_read_at < REMOVE_SILENT_AFTER {
            return None;
        }
        for (id, state) in &self.primary_upstreams {
            let is_listed = list.upstreams.iter().any(|upstream| upstream.id == *id);
            if is_listed || state.is_usable(now) {
                continue;
            }
            let is_silent = state
                .lease
                .last_reply_at()
                .is_none_or(|at| now - at > REMOVE_SILENT_AFTER);
            let has_shards = !self.assigned_grants(&state.service, id).is_empty();
            if !is_silent || has_shards {
                continue;
            }
            let mut next = DomainRow::clone(row);
            next.upstreams.shift_remove(id);
            return Some(Proposal::single_write(self.write_own_domain_row(next)));
        }
        None
    }
}

/// Returns the hosts that may be renewing leases according to the row.
fn possible_primaries(row: &DomainRow) -> IndexSet<&HostId> {
    let mut hosts = IndexSet::new();
    for entry in row.upstreams.values() {
        hosts.insert(&entry.primary);
        hosts.extend(&entry.unfenced);
    }
    hosts
}

/// Returns whether another run of the same host has replaced `host` in the row.
pub(crate) fn is_replaced(row: &DomainRow, host: &HostId) -> bool {
    let mut hosts = row.hosts.keys();
    hosts.any(|other| other != host && other.name() == host.name())
}
