//! Which hosts to send heartbeats to, pull from and push to.

use crate::event::Action;
use crate::{ControlCore, HostAddress, VersionedRow};
use indexmap::{IndexMap, IndexSet};
use kernel::{DomainName, HostId, Moment};
use member::{rank_by_weight, witness_set};
use std::time::Duration;

/// Links to each other failure domain.
const LINKS_PER_DOMAIN: usize = 2;
/// Heartbeats to other failure domains are sent every so many rounds.
const DISTANT_ROUNDS: u64 = 4;
/// Without a word from any link, a domain counts as unreachable.
const DOMAIN_SILENCE: Duration = Duration::from_millis(1_200);
const PULL_PAUSE: Duration = Duration::from_millis(40);

/// Rounds of heartbeats and recent pulls.
#[derive(Clone, Debug, Default)]
pub(crate) struct LinkPlan {
    seeds: Vec<HostAddress>,
    next_beat_at: Moment,
    round: u64,
    pulled_at: IndexMap<HostId, Moment>,
    loads_changed_at: Moment,
}

/// Heartbeats of every so many rounds carry loads.
const LOAD_ROUNDS: u64 = 8;
/// For which heartbeats carry loads after the usable upstreams have changed.
const LOAD_NEWS_SPAN: Duration = Duration::from_millis(300);

impl LinkPlan {
    /// Notes that other upstreams can be used from now on.
    pub fn note_loads_changed(&mut self, now: Moment) {
        self.loads_changed_at = now;
    }

    /// Returns whether a heartbeat sent now carries loads.
    pub fn carries_loads(&self, now: Moment) -> bool {
        self.round.is_multiple_of(LOAD_ROUNDS) || now - self.loads_changed_at <= LOAD_NEWS_SPAN
    }

    pub fn set_seeds(&mut self, seeds: Vec<HostAddress>) {
        self.seeds = seeds;
    }
}

impl ControlCore {
    pub(crate) fn send_beats(&mut self, now: Moment) {
        if now < self.links.next_beat_at {
            return;
        }
        self.links.next_beat_at = now + self.timing.heartbeat();
        self.links.round += 1;
        let mut targets = self.near_links();
        if self.links.round.is_multiple_of(DISTANT_ROUNDS) {
            targets.extend(self.distant_links(now));
            targets.extend(self.bootstrap_links());
        }
        let heartbeat = self.heartbeat(now);
        for to in targets {
            if to == self.address {
                continue;
            }
            let heartbeat = heartbeat.clone();
            self.act(Action::SendHeartbeat { to, heartbeat });
        }
    }

    /// Returns the own witnesses' addresses.
    fn near_links(&self) -> Vec<HostAddress> {
        let Some(row) = self.own_row() else {
            return Vec::new();
        };
        let witnesses = witness_set(&self.me, row.hosts.keys());
        let addresses = witnesses.iter().filter_map(|host| row.hosts.get(*host));
        addresses.cloned().collect()
    }

    /// Returns the addresses of a few hosts of each other domain.
    fn distant_links(&self, now: Moment) -> Vec<HostAddress> {
        let mut links = Vec::new();
        for (domain, row) in self.rows.domains() {
            if *domain == self.domain || row.is_lost {
                continue;
            }
            let ranked = rank_by_weight(self.me.name(), row.hosts.keys(), HostId::name);
            // Silent hosts come last, so that the links move on from them.
            let heard = ranked.iter().filter(|host| self.peers.is_live(now, host));
            let silent = ranked.iter().filter(|host| !self.peers.is_live(now, host));
            let rotation = (self.links.round / DISTANT_ROUNDS) as usize % ranked.len().max(1);
            let silent: Vec<_> = silent.collect();
            let silent = silent.iter().cycle().skip(rotation).take(silent.len());
            let chosen = heard.chain(silent.copied()).take(LINKS_PER_DOMAIN);
            links.extend(chosen.filter_map(|host| row.hosts.get(*host)).cloned());
        }
        links
    }

    /// Returns hosts to ask while no row of the own domain is known.
    fn bootstrap_links(&self) -> Vec<HostAddress> {
        if self.own_row().is_some() {
            return Vec::new();
        }
        let mut links = self.links.seeds.clone();
        if let Some(list) = &self.list {
            let local = list.hosts.iter().filter(|host| host.domain == self.domain);
            links.extend(local.map(|host| host.address.clone()));
        }
        links
    }

    /// Returns whether no host of a failure domain has been heard for long.
    pub fn is_domain_unreachable(&self, now: Moment, domain: &DomainName) -> bool {
        if *domain == self.domain {
            return false;
        }
        let has_listened = now - self.started_at > DOMAIN_SILENCE;
        let Some(row) = self.rows.domain(domain) else {
            return false;
        };
        let is_heard = row.hosts.keys().any(|host| {
            self.peers
                .get(host)
                .is_some_and(|peer| now - peer.last_seen_at <= DOMAIN_SILENCE)
        });
        has_listened && !is_heard
    }

    pub(crate) fn pull_from(&mut self, now: Moment, from: &HostId) {
        let pulled_at = self.links.pulled_at.get(from).copied();
        if pulled_at.is_some_and(|at| now - at < PULL_PAUSE) {
            return;
        }
        self.links.pulled_at.insert(from.clone(), now);
        let addresses = match self.address_of(from) {
            Some(address) => vec![address],
            // A host that has just started knows no addresses but its seeds'.
            None => self.bootstrap_links(),
        };
        for address in addresses {
            let from = from.clone();
            self.act(Action::Pull { from, address });
        }
    }

    /// Returns the address of a host as rows or the platform's list tell it.
    pub fn address_of(&self, host: &HostId) -> Option<HostAddress> {
        for (_, row) in self.rows.domains() {
            if let Some(address) = row.hosts.get(host) {
                return Some(address.clone());
            }
        }
        None
    }

    /// Pushes rows to all links and to the witnesses of superseded primaries.
    pub(crate) fn push_news(
        &mut self,
        now: Moment,
        news: &[VersionedRow],
        source: Option<&HostId>,
    ) {
        let mut targets: IndexSet<HostId> = IndexSet::new();
        if let Some(row) = self.own_row() {
            targets.extend(witness_set(&self.me, row.hosts.keys()).into_iter().cloned());
            for held in self.held.values() {
                for earlier in &held.claim.earlier {
                    let witnesses = witness_set(earlier, row.hosts.keys());
                    targets.extend(witnesses.into_iter().cloned());
                }
            }
        }
        let heard: Vec<HostId> = self
            .peers
            .live_peers(now)
            .map(|(id, _)| id.clone())
            .collect();
        targets.extend(heard);
        for host in targets {
            if host == self.me || Some(&host) == source {
                continue;
            }
            let Some(to) = self.address_of(&host) else {
                continue;
            };
            let rows = news.to_vec();
            self.act(Action::Push { to, rows });
        }
    }
}
