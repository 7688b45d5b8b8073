//! Claims of upstreams whose primary is gone, and rebalancing among live primaries.

use crate::propose::Proposal;
use crate::{ControlCore, DomainRow, PlatformUpstream, UpstreamEntry, UpstreamState};
use kernel::{Epoch, HostId, Moment, UpstreamId};
use member::{weight, witness_set};

use crate::host_changes::is_replaced;

impl ControlCore {
    /// Proposes to claim upstreams whose primary is silent or leaving, and new ones.
    pub(crate) fn propose_claims(&self, now: Moment) -> Option<Proposal> {
        let row = self.own_domain_row()?;
        if !self.may_claim(now, row) {
            return None;
        }
        let mut orphaned_upstreams = Vec::new();
        for (id, entry) in &row.upstreams {
            if self.is_successor(now, row, id, &entry.primary) {
                orphaned_upstreams.push(id);
            }
        }
        let new_upstreams = self.new_upstreams(now, row);
        if orphaned_upstreams.is_empty() && new_upstreams.is_empty() {
            return None;
        }
        let mut next = DomainRow::clone(row);
        for id in orphaned_upstreams {
            if let Some(entry) = next.upstreams.get_mut(id) {
                claim_entry(entry, &self.host_id);
            }
        }
        for upstream in new_upstreams {
            let entry = new_entry(upstream, &self.host_id);
            next.upstreams.insert(upstream.id.clone(), entry);
        }
        Some(Proposal::single_write(self.write_own_domain_row(next)))
    }

    /// Proposes to record that previous primaries have been fenced.
    ///
    /// A later takeover then need not wait for a quorum of their witnesses.
    pub(crate) fn propose_fenced_record(&self) -> Option<Proposal> {
        let row = self.own_domain_row()?;
        let is_open = row.upstreams.iter().any(|(id, entry)| {
            let state = self.primary_upstreams.get(id);
            !entry.unfenced.is_empty()
                && state.is_some_and(|state| state.lease.has_fenced_older_epochs())
        });
        is_open.then(|| Proposal::single_write(self.write_own_domain_row(DomainRow::clone(row))))
    }

    /// Proposes to take over one upstream from a live primary that has too many.
    pub(crate) fn propose_primary_rebalance(&self, now: Moment) -> Option<Proposal> {
        let row = self.own_domain_row()?;
        let is_settled = now - self.settled_since >= self.timing.settle_duration();
        if !self.may_claim(now, row) || !is_settled {
            return None;
        }
        for (id, entry) in &row.upstreams {
            let has_other_primary = entry.primary != self.host_id;
            if !has_other_primary || !self.peers.is_available(now, &entry.primary) {
                continue;
            }
            if !self.should_take_over(now, row, id, &entry.primary) {
                continue;
            }
            let mut next = DomainRow::clone(row);
            if let Some(entry) = next.upstreams.get_mut(id) {
                claim_entry(entry, &self.host_id);
            }
            return Some(Proposal::single_write(self.write_own_domain_row(next)));
        }
        None
    }

    fn may_claim(&self, now: Moment, row: &DomainRow) -> bool {
        let has_waited = now - self.started_at > 2 * self.timing.silence_timeout();
        let is_unpaused = now - self.settled_since > self.timing.silence_timeout();
        let is_member = row.hosts.contains_key(&self.host_id);
        let is_only_host = row.hosts.len() == 1 && is_member;
        is_member && !self.is_leaving && !row.is_lost && (is_only_host || has_waited && is_unpaused)
    }

    fn is_successor(
        &self,
        now: Moment,
        row: &DomainRow,
        id: &UpstreamId,
        primary: &HostId,
    ) -> bool {
        if *primary == self.host_id || self.peers.is_available(now, primary) {
            return false;
        }
        if primary.name() == self.host_id.name() {
            // The previous run of this host has ended, or this run would not exist.
            return !self.is_leaving;
        }
        // The witnesses of the silent primary are the hosts that received its
        // heartbeats.
        let witnesses = witness_set(primary, row.hosts.keys());
        self.first_choice(now, id.as_str(), witnesses.into_iter()) == Some(&self.host_id)
    }

    /// Returns whether this host should take an upstream over from a live primary.
    ///
    /// Upstreams stay evenly spread: a host takes one over only if it has at least two
    /// fewer than the primary, and only if no other available host is a better choice.
    fn should_take_over(
        &self,
        now: Moment,
        row: &DomainRow,
        id: &UpstreamId,
        primary: &HostId,
    ) -> bool {
        let own_count = self.primary_upstreams.len();
        let primary_count = row
            .upstreams
            .values()
            .filter(|entry| entry.primary == *primary)
            .count();
        if own_count + 1 >= primary_count {
            return false;
        }
        let own_weight = weight(id.as_str(), self.host_id.name());
        for host in row.hosts.keys() {
            let is_competitor = *host != self.host_id && *host != *primary;
            if !is_competitor || !self.peers.is_available(now, host) {
                continue;
            }
            let competitor_count = row
                .upstreams
                .values()
                .filter(|entry| entry.primary == *host)
                .count();
            let competitor_wins_tie = weight(id.as_str(), host.name()) > own_weight;
            if competitor_count < own_count
                || (competitor_count == own_count && competitor_wins_tie)
            {
                return false;
            }
        }
        true
    }

    /// Returns the listed upstreams that are in no row and that this host should claim.
    fn new_upstreams(&self, now: Moment, row: &DomainRow) -> Vec<&PlatformUpstream> {
        let Some(list) = &self.platform_list else {
            return Vec::new();
        };
        let mut new_upstreams = Vec::new();
        for upstream in &list.upstreams {
            let is_new = upstream.domain == self.domain
                && !upstream.is_leaving
                && !row.upstreams.contains_key(&upstream.id);
            if !is_new {
                continue;
            }
            let choice = self.first_choice(now, upstream.id.as_str(), row.hosts.keys());
            if choice == Some(&self.host_id) {
                new_upstreams.push(upstream);
            }
        }
        new_upstreams
    }
}

fn claim_entry(entry: &mut UpstreamEntry, host: &HostId) {
    let previous = std::mem::replace(&mut entry.primary, host.clone());
    if !entry.unfenced.contains(&previous) {
        entry.unfenced.push(previous);
    }
    entry.epoch = entry.epoch.next();
}

fn new_entry(upstream: &PlatformUpstream, host: &HostId) -> UpstreamEntry {
    UpstreamEntry {
        service: upstream.service.clone(),
        address: upstream.address.clone(),
        slots: upstream.slots,
        connections: upstream.connections,
        primary: host.clone(),
        epoch: Epoch(1),
        unfenced: Vec::new(),
        state: UpstreamState::Live,
    }
}

impl ControlCore {
    /// Records the claims that a quorum of each previous primary's witnesses knows.
    pub(crate) fn record_claim_quorums(&mut self, now: Moment) {
        let Some(row) = self.own_domain_row().cloned() else {
            return;
        };
        let own_version = self.own_domain_version();
        for state in self.primary_upstreams.values_mut() {
            if state.claim.quorum_since.is_some() || state.lease.has_fenced_older_epochs() {
                continue;
            }
            let version = state.claim.version;
            let is_known = state.claim.previous_primaries.iter().all(|previous| {
                // A previous primary that has ended, or that knows the claim itself,
                // no longer renews leases.
                let has_ended = is_replaced(&row, previous);
                let knows_claim = self.peers.known_version(previous) >= version;
                if has_ended || knows_claim || *previous == self.host_id {
                    return true;
                }
                let witnesses = witness_set(previous, row.hosts.keys());
                self.peers
                    .is_known_by_quorum(&witnesses, version, &self.host_id, own_version)
            });
            if is_known {
                state.claim.quorum_since = Some(now);
            }
        }
    }
}
