//! Selection of the hosts that receive heartbeats, pulls and pushes.

use crate::event::Action;
use crate::{ControlCore, HostAddress, VersionedRow};
use indexmap::{IndexMap, IndexSet};
use kernel::{DomainName, HostId, Moment};
use member::{rank_by_weight, witness_set};
use std::time::Duration;

/// Number of hosts of each other failure domain that receive heartbeats.
const LINKS_PER_DOMAIN: usize = 2;
/// Heartbeats go to other failure domains in one of this many rounds.
const CROSS_DOMAIN_ROUNDS: u64 = 4;
/// Time without a message from any of its hosts until a domain counts as unreachable.
const DOMAIN_SILENCE: Duration = Duration::from_millis(1_200);
const MIN_PULL_INTERVAL: Duration = Duration::from_millis(40);

/// Schedule of heartbeats and pulls.
#[derive(Clone, Debug, Default)]
pub(crate) struct LinkPlan {
    seeds: Vec<HostAddress>,
    next_heartbeat_at: Moment,
    round: u64,
    pulled_at: IndexMap<HostId, Moment>,
    usable_changed_at: Moment,
}

/// Heartbeats carry loads in one of this many rounds.
const LOAD_ROUNDS: u64 = 8;
/// Time for which every heartbeat carries loads after a change of usable upstreams.
const LOAD_CHANGE_DURATION: Duration = Duration::from_millis(300);

impl LinkPlan {
    /// Records that the set of usable upstreams has changed.
    pub fn record_usable_change(&mut self, now: Moment) {
        self.usable_changed_at = now;
    }

    /// Returns whether a heartbeat sent at `now` carries loads.
    pub fn carries_loads(&self, now: Moment) -> bool {
        self.round.is_multiple_of(LOAD_ROUNDS)
            || now - self.usable_changed_at <= LOAD_CHANGE_DURATION
    }

    pub fn set_seeds(&mut self, seeds: Vec<HostAddress>) {
        self.seeds = seeds;
    }
}

impl ControlCore {
    pub(crate) fn send_heartbeats(&mut self, now: Moment) {
        if now < self.links.next_heartbeat_at {
            return;
        }
        self.links.next_heartbeat_at = now + self.timing.heartbeat_interval();
        self.links.round += 1;
        let mut targets = self.witness_links();
        if self.links.round.is_multiple_of(CROSS_DOMAIN_ROUNDS) {
            targets.extend(self.cross_domain_links(now));
            targets.extend(self.bootstrap_links());
        }
        let heartbeat = self.heartbeat(now);
        for to in targets {
            if to == self.address {
                continue;
            }
            let heartbeat = heartbeat.clone();
            self.push_action(Action::SendHeartbeat { to, heartbeat });
        }
    }

    /// Returns the addresses of this host's witnesses.
    fn witness_links(&self) -> Vec<HostAddress> {
        let Some(row) = self.own_domain_row() else {
            return Vec::new();
        };
        let witnesses = witness_set(&self.host_id, row.hosts.keys());
        let addresses = witnesses.iter().filter_map(|host| row.hosts.get(*host));
        addresses.cloned().collect()
    }

    /// Returns the addresses of a few hosts of each other domain.
    fn cross_domain_links(&self, now: Moment) -> Vec<HostAddress> {
        let mut links = Vec::new();
        for (domain, row) in self.rows.domains() {
            if *domain == self.domain || row.is_lost {
                continue;
            }
            let ranked = rank_by_weight(self.host_id.name(), row.hosts.keys(), HostId::name);
            // Silent hosts come last, so that they are replaced by live ones. They
            // are rotated, so that each is tried again from time to time.
            let live = ranked.iter().filter(|host| self.peers.is_live(now, host));
            let silent = ranked.iter().filter(|host| !self.peers.is_live(now, host));
            let rotation = (self.links.round / CROSS_DOMAIN_ROUNDS) as usize % ranked.len().max(1);
            let silent: Vec<_> = silent.collect();
            let silent = silent.iter().cycle().skip(rotation).take(silent.len());
            let chosen = live.chain(silent.copied()).take(LINKS_PER_DOMAIN);
            links.extend(chosen.filter_map(|host| row.hosts.get(*host)).cloned());
        }
        links
    }

    /// Returns the addresses to contact while the own domain's row is unknown.
    fn bootstrap_links(&self) -> Vec<HostAddress> {
        if self.own_domain_row().is_some() {
            return Vec::new();
        }
        let mut links = self.links.seeds.clone();
        if let Some(list) = &self.platform_list {
            let local = list.hosts.iter().filter(|host| host.domain == self.domain);
            links.extend(local.map(|host| host.address.clone()));
        }
        links
    }

    /// Returns whether no host of another failure domain has been heard from lately.
    pub fn is_domain_unreachable(&self, now: Moment, domain: &DomainName) -> bool {
        if *domain == self.domain {
            return false;
        }
        let has_waited = now - self.started_at > DOMAIN_SILENCE;
        let Some(row) = self.rows.domain(domain) else {
            return false;
        };
        let has_recent_message = row.hosts.keys().any(|host| {
            self.peers
                .get(host)
                .is_some_and(|peer| now - peer.last_seen_at <= DOMAIN_SILENCE)
        });
        has_waited && !has_recent_message
    }

    pub(crate) fn pull_from(&mut self, now: Moment, from: &HostId) {
        let pulled_at = self.links.pulled_at.get(from).copied();
        if pulled_at.is_some_and(|at| now - at < MIN_PULL_INTERVAL) {
            return;
        }
        self.links.pulled_at.insert(from.clone(), now);
        let addresses = match self.host_address(from) {
            Some(address) => vec![address],
            // A host that has just started knows only the addresses of its seeds and
            // of listed hosts.
            None => self.bootstrap_links(),
        };
        for address in addresses {
            let from = from.clone();
            self.push_action(Action::Pull { from, address });
        }
    }

    /// Returns the address of a host according to the known rows.
    pub fn host_address(&self, host: &HostId) -> Option<HostAddress> {
        for (_, row) in self.rows.domains() {
            if let Some(address) = row.hosts.get(host) {
                return Some(address.clone());
            }
        }
        None
    }

    /// Pushes rows to this host's witnesses, all live peers and the witnesses of
    /// previous primaries, except `source`.
    pub(crate) fn push_rows(
        &mut self,
        now: Moment,
        new_rows: &[VersionedRow],
        source: Option<&HostId>,
    ) {
        let mut targets: IndexSet<HostId> = IndexSet::new();
        if let Some(row) = self.own_domain_row() {
            targets.extend(
                witness_set(&self.host_id, row.hosts.keys())
                    .into_iter()
                    .cloned(),
            );
            for state in self.primary_upstreams.values() {
                for previous in &state.claim.previous_primaries {
                    let witnesses = witness_set(previous, row.hosts.keys());
                    targets.extend(witnesses.into_iter().cloned());
                }
            }
        }
        let live: Vec<HostId> = self
            .peers
            .live_peers(now)
            .map(|(id, _)| id.clone())
            .collect();
        targets.extend(live);
        for host in targets {
            if host == self.host_id || Some(&host) == source {
                continue;
            }
            let Some(to) = self.host_address(&host) else {
                continue;
            };
            let rows = new_rows.to_vec();
            self.push_action(Action::Push { to, rows });
        }
    }
}
