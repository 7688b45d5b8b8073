//! Claims of upstreams whose primary is gone, and takeover by better placed hosts.

use crate::propose::Proposal;
use crate::{ControlCore, DomainRow, PlatformUpstream, UpstreamEntry, UpstreamState};
use kernel::{Epoch, HostId, Moment, UpstreamId};
use member::{weight, witness_set};

use crate::electorate::is_replaced;

impl ControlCore {
    /// Claims upstreams whose primary is silent or leaving, and new upstreams.
    pub(crate) fn propose_claims(&self, now: Moment) -> Option<Proposal> {
        let row = self.own_row()?;
        if !self.may_claim(now, row) {
            return None;
        }
        let mut orphans = Vec::new();
        for (id, entry) in &row.upstreams {
            if self.is_successor(now, row, id, &entry.primary) {
                orphans.push(id);
            }
        }
        let news = self.new_upstreams(now, row);
        if orphans.is_empty() && news.is_empty() {
            return None;
        }
        let mut next = DomainRow::clone(row);
        for id in orphans {
            if let Some(entry) = next.upstreams.get_mut(id) {
                claim(entry, &self.me);
            }
        }
        for upstream in news {
            let entry = new_entry(upstream, &self.me);
            next.upstreams.insert(upstream.id.clone(), entry);
        }
        Some(Proposal::of_write(self.write_own_row(next)))
    }

    /// Writes down that earlier primaries have been fenced.
    ///
    /// A later takeover then need not wait for what their witnesses know.
    pub(crate) fn propose_fenced(&self) -> Option<Proposal> {
        let row = self.own_row()?;
        let is_open = row.upstreams.iter().any(|(id, entry)| {
            let held = self.held.get(id);
            !entry.unfenced.is_empty() && held.is_some_and(|held| held.book.is_fenced())
        });
        is_open.then(|| Proposal::of_write(self.write_own_row(DomainRow::clone(row))))
    }

    /// Takes over one upstream from a live primary if this host comes first.
    pub(crate) fn propose_rebalance(&self, now: Moment) -> Option<Proposal> {
        let row = self.own_row()?;
        let is_settled = now - self.settled_since >= self.timing.settle();
        if !self.may_claim(now, row) || !is_settled {
            return None;
        }
        for (id, entry) in &row.upstreams {
            let is_other = entry.primary != self.me;
            if !is_other || !self.peers.is_available(now, &entry.primary) {
                continue;
            }
            if !self.is_heir(now, row, id, &entry.primary) {
                continue;
            }
            let mut next = DomainRow::clone(row);
            if let Some(entry) = next.upstreams.get_mut(id) {
                claim(entry, &self.me);
            }
            return Some(Proposal::of_write(self.write_own_row(next)));
        }
        None
    }

    fn may_claim(&self, now: Moment, row: &DomainRow) -> bool {
        let has_listened = now - self.started_at > 2 * self.timing.silence();
        let was_awake = now - self.settled_since > self.timing.silence();
        let is_member = row.hosts.contains_key(&self.me);
        let is_alone = row.hosts.len() == 1 && is_member;
        is_member && !self.is_leaving && !row.is_lost && (is_alone || has_listened && was_awake)
    }

    fn is_successor(
        &self,
        now: Moment,
        row: &DomainRow,
        id: &UpstreamId,
        primary: &HostId,
    ) -> bool {
        if *primary == self.me || self.peers.is_available(now, primary) {
            return false;
        }
        if primary.name() == self.me.name() {
            // The own earlier run has ended, or this one would not run.
            return !self.is_leaving;
        }
        // The witnesses of the silent primary are the ones that heard it.
        let witnesses = witness_set(primary, row.hosts.keys());
        self.first_choice(now, id.as_str(), witnesses.into_iter()) == Some(&self.me)
    }

    /// Returns whether this host comes before the present primary for good.
    ///
    /// The load cap keeps upstreams spread: a host takes one over only while it
    /// holds fewer than the one it takes from.
    fn is_heir(&self, now: Moment, row: &DomainRow, id: &UpstreamId, primary: &HostId) -> bool {
        let own_count = self.held.len();
        let their_count = row
            .upstreams
            .values()
            .filter(|entry| entry.primary == *primary)
            .count();
        if own_count + 1 >= their_count {
            return false;
        }
        let own_weight = weight(id.as_str(), self.me.name());
        for host in row.hosts.keys() {
            let is_rival = *host != self.me && *host != *primary;
            if !is_rival || !self.peers.is_available(now, host) {
                continue;
            }
            let rival_count = row
                .upstreams
                .values()
                .filter(|entry| entry.primary == *host)
                .count();
            let rival_first = weight(id.as_str(), host.name()) > own_weight;
            if rival_count < own_count || (rival_count == own_count && rival_first) {
                return false;
            }
        }
        true
    }

    /// Returns listed upstreams that no row has and that this host comes first for.
    fn new_upstreams(&self, now: Moment, row: &DomainRow) -> Vec<&PlatformUpstream> {
        let Some(list) = &self.list else {
            return Vec::new();
        };
        let mut news = Vec::new();
        for upstream in &list.upstreams {
            let is_news = upstream.domain == self.domain
                && !upstream.is_leaving
                && !row.upstreams.contains_key(&upstream.id);
            if !is_news {
                continue;
            }
            let choice = self.first_choice(now, upstream.id.as_str(), row.hosts.keys());
            if choice == Some(&self.me) {
                news.push(upstream);
            }
        }
        news
    }
}

fn claim(entry: &mut UpstreamEntry, host: &HostId) {
    let earlier = std::mem::replace(&mut entry.primary, host.clone());
    if !entry.unfenced.contains(&earlier) {
        entry.unfenced.push(earlier);
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
    /// Notes which claims a quorum of each earlier primary's witnesses knows.
    pub(crate) fn note_claim_quorums(&mut self, now: Moment) {
        let Some(row) = self.own_row().cloned() else {
            return;
        };
        let own_version = self.own_row_version();
        for held in self.held.values_mut() {
            if held.claim.quorum_since.is_some() || held.book.is_fenced() {
                continue;
            }
            let version = held.claim.version;
            let is_known = held.claim.earlier.iter().all(|earlier| {
                // An earlier primary that has ended, or knows the claim itself,
                // renews no more.
                let has_ended = is_replaced(&row, earlier);
                let knows_claim = self.peers.known_version(earlier) >= version;
                if has_ended || knows_claim || *earlier == self.me {
                    return true;
                }
                let witnesses = witness_set(earlier, row.hosts.keys());
                self.peers
                    .is_known_by_quorum(&witnesses, version, &self.me, own_version)
            });
            if is_known {
                held.claim.quorum_since = Some(now);
            }
        }
    }
}
