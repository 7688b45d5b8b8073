//! Reports of all hosts to the leader, and its replies, as datagrams.
//!
//! Hosts report their load. The leader replies with what a host does not know yet,
//! mainly the owners of keys, so that only one host reads them from the store. A lost
//! message is followed by the next one within a second, so datagrams fit better than
//! calls that wait for an answer.

use crate::dispatch::Dispatcher;
use crate::message::{
    HostReport, KnownVersions, LeaderReply, MAX_DATAGRAM_BYTES, PeerMessage, Suspect, WireEntry,
    WirePreviousTerm, WireSheet,
};
use crate::peers::PeerRegistry;
use crate::relay_client::RelayClient;
use crate::relay_list::push_relay_list;
use crate::replica::StoreReplica;
use crate::send_budget::SendBudget;
use crate::wire_load::{LoadList, WireLoad, WireObservation};
use crate::wire_share::{WireDemand, WireServiceShares};
use async_std::net::UdpSocket;
use fleet::EntryChange;
use grant::PreviousTerm;
use kernel::Moment;
use log::{debug, warn};
use place::{FleetLoad, ObservedLoad};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Interval between two reports of a host.
const REPORT_INTERVAL: Duration = Duration::from_millis(700);
/// Report interval of a standby, which detects the loss of the leader by missing
/// replies.
const STANDBY_REPORT_INTERVAL: Duration = Duration::from_millis(350);
/// Number of times that the end of a term is announced.
const TERM_END_COPIES: u32 = 2;
/// Delay after a failed receive.
const RECEIVE_RETRY_DELAY: Duration = Duration::from_millis(70);
/// Maximum number of entries in one message; the rest follows in further messages.
const MAX_MESSAGE_ENTRIES: usize = 400;
/// Maximum number of keys per service in a report; those with the most requests are
/// kept.
const MAX_REPORTED_KEYS: usize = 200;

/// The state that a leader leaves behind when it steps down, and the name of its
/// successor.
type TermEnd<'a> = (PreviousTerm, Option<&'a str>);

/// Sends this host's messages and handles those of other hosts.
#[derive(Clone, Debug)]
pub(crate) struct ReportChannel {
    pub socket: Arc<UdpSocket>,
    pub peers: Arc<PeerRegistry>,
    pub replica: Arc<StoreReplica>,
    pub dispatcher: Dispatcher,
    pub host: String,
    pub strength: u32,
    pub budget: Arc<SendBudget>,
}

impl ReportChannel {
    /// Sends reports periodically to the current leader.
    pub(crate) async fn send_reports(self) {
        let clock = Arc::clone(&self.dispatcher.state.clock);
        let mut last_full_at = clock.now();
        loop {
            let interval = if self.peers.is_standby() {
                STANDBY_REPORT_INTERVAL
            } else {
                REPORT_INTERVAL
            };
            // Reports that ask for tokens don't put off those that are due.
            let due_in = (last_full_at + interval) - clock.now();
            self.peers.wait_for_report(due_in).await;
            let now = clock.now();
            let cold = &self.dispatcher.state.cold;
            let mut report = self.report();
            report.sent_at_us = now.as_micros();
            report.wanted = cold.begin_report(now);
            report.is_early = !report.wanted.is_empty() && now < last_full_at + interval;
            if !report.is_early {
                last_full_at = now;
                report.demand = self.drain_demand(now);
            }
            let Some(leader) = self.peers.leader() else {
                continue;
            };
            if self.socket.local_addr().ok() == Some(leader) {
                self.apply_report(&report, leader);
                cold.accept(now, &cold.issue(&report));
                self.update_own_relay_list(&report);
                self.set_fleet_loads(&self.peers.next_fleet_loads().loads);
                self.set_rank_shares(self.rank_shares());
                continue;
            }
            if let Some(bytes) = encode(&PeerMessage::Report(report)) {
                self.send(&bytes, leader).await;
            }
        }
    }

    /// Tells every host that this one leads, and sends each the owners and entries that
    /// it does not know.
    pub(crate) async fn announce(&self, term: u64) {
        self.announce_to_all(term, None).await;
    }

    /// Tells every host that this one no longer leads, the state that it leaves behind,
    /// and the name of its successor.
    pub(crate) async fn announce_end(
        &self,
        term: u64,
        previous: PreviousTerm,
        successor: Option<&str>,
    ) {
        // A successor can take over at once only if a copy reaches it; datagrams get
        // lost.
        for _ in 0..TERM_END_COPIES {
            self.announce_to_all(term, Some((previous, successor)))
                .await;
        }
    }

    async fn announce_to_all(&self, term: u64, term_end: Option<TermEnd<'_>>) {
        let announced = self.told_versions();
        let mut targets = self.peers.begin_announcement(&announced);
        let own_address = self.socket.local_addr().ok();
        targets.retain(|(address, _)| Some(*address) != own_address);
        // Most hosts know the same versions, so the last encoding is reused.
        let mut cached: Option<(KnownVersions, Vec<Vec<u8>>)> = None;
        for (address, mut known) in targets {
            if !self.has_send_room() {
                known = announced.except_orders(&known);
            }
            let datagrams = match cached.take() {
                Some((cached_known, datagrams)) if cached_known == known => datagrams,
                _ => encode_all(self.replies(term, term_end, &known, false, LoadList::default())),
            };
            for bytes in &datagrams {
                self.send(bytes, address).await;
            }
            cached = Some((known, datagrams));
        }
    }

    /// Returns the versions that a host knows once it has been told everything.
    fn told_versions(&self) -> KnownVersions {
        KnownVersions {
            owners: self.replica.owner_versions(),
            entries: self.replica.last_entry_version(),
            sheet: self.replica.sheet_version(),
            orders: self.replica.orders_version(),
        }
    }

    /// Returns whether the link has room for more than the shortest messages. Hosts that
    /// are told less report again what they lack.
    fn has_send_room(&self) -> bool {
        self.budget.has_room(self.dispatcher.state.clock.now())
    }

    /// Returns the messages for a host that knows the versions `known`; entries that do
    /// not fit one message follow in further ones.
    fn replies(
        &self,
        term: u64,
        term_end: Option<TermEnd<'_>>,
        known: &KnownVersions,
        is_for_standby: bool,
        load_list: LoadList,
    ) -> Vec<LeaderReply> {
        let first = LeaderReply {
            term,
            end_state: term_end.map(|(previous, _)| WirePreviousTerm::from(previous)),
            successor: term_end.and_then(|(_, successor)| successor.map(str::to_owned)),
            is_feed_live: self.peers.is_feed_live(),
            host_count: self.peers.hosts().len() as u32,
            sheet_version: self.replica.sheet_version(),
            sheet: WireSheet::Known,
            suspects: self.suspects(),
            owners: self.replica.owner_updates_since(&known.owners),
            entries_base: known.entries,
            entries: Vec::new(),
            entries_version: self.replica.last_entry_version(),
            fleet_loads: load_list.loads,
            standbys: self.peers.standbys(),
            host_addresses: if is_for_standby {
                self.peers.addresses()
            } else {
                Vec::new()
            },
            orders: self.replica.orders_since(known.orders),
            fleet_loads_age_ms: load_list.age.as_millis() as u32,
            report_sent_at_us: 0,
            tokens: Vec::new(),
            cold: self.dispatcher.state.cold.known_cold(false),
            greatest_term: self.greatest_term(),
            relay_hosts: None,
            rank_shares: self.rank_shares(),
        };
        let changes = self.replica.entry_changes_since(known.entries);
        let mut replies = vec![first];
        for chunk in changes.chunks(MAX_MESSAGE_ENTRIES) {
            let entries = chunk.iter().cloned().map(WireEntry::from).collect();
            let entries_base = replies
                .last()
                .map_or(known.entries, LeaderReply::entries_end);
            let first_has_room = replies.len() == 1 && replies[0].owners.is_empty();
            if first_has_room && replies[0].entries.is_empty() {
                replies[0].entries = entries;
                continue;
            }
            replies.push(replies[0].continued(entries_base, entries));
        }
        if known.sheet < replies[0].sheet_version {
            let entries_end = replies.last().map_or(0, LeaderReply::entries_end);
            let mut reply = replies[0].continued(entries_end, Vec::new());
            reply.sheet = self.replica.sheet_row();
            replies.push(reply);
        }
        replies
    }

    /// Returns the shares of ranks that this host tells as the leader; none without them.
    fn rank_shares(&self) -> Vec<WireServiceShares> {
        let state = &self.dispatcher.state;
        let rank_shares = state.rank_shares.as_ref();
        rank_shares.map_or_else(Vec::new, |shares| {
            shares.shares(state.clock.now(), &state.view.load(), &self.peers)
        })
    }

    fn set_rank_shares(&self, told: Vec<WireServiceShares>) {
        let state = &self.dispatcher.state;
        if let Some(rank_shares) = &state.rank_shares {
            rank_shares.set_shares(state.clock.now(), told);
        }
    }

    fn set_fleet_loads(&self, fleet_loads: &[WireLoad]) {
        let state = &self.dispatcher.state;
        let view = state.view.load();
        let now = state.clock.now();
        let mut selector = state.selector.lock();
        for load in fleet_loads {
            // Upstreams that this host does not know are left out.
            let Some(id) = view.upstream_hashes.get(&load.upstream) else {
                continue;
            };
            selector.set_fleet_load(now, id, FleetLoad::from(*load));
        }
    }

    /// Records how old the loads were when they arrived.
    fn record_load_age(&self, reply: &LeaderReply) {
        if reply.fleet_loads.is_empty() {
            return;
        }
        let age = Duration::from_millis(u64::from(reply.fleet_loads_age_ms));
        let metrics = &self.dispatcher.state.metrics;
        metrics.fleet_load_age.observe(age.as_secs_f64());
    }

    /// Applies another host's report, or this one's while it leads.
    fn apply_report(&self, report: &HostReport, from: SocketAddr) {
        let view = self.dispatcher.state.view.load();
        let mut observed = Vec::with_capacity(report.observed_loads.len());
        for load in &report.observed_loads {
            let Some(id) = view.upstream_hashes.get(&load.upstream) else {
                continue;
            };
            observed.push((id.clone(), ObservedLoad::from(*load)));
        }
        self.dispatcher.state.cold.apply_cold(&report.cold);
        self.peers.apply_report(report, &observed, from);
        let state = &self.dispatcher.state;
        // A report that asks for tokens early has no demand, and must not lower the rates.
        if let Some(rank_shares) = &state.rank_shares
            && self.peers.is_leading()
            && !report.is_early
        {
            rank_shares.record_demand(state.clock.now(), &report.host, &report.demand);
        }
    }

    fn report(&self) -> HostReport {
        let state = &self.dispatcher.state;
        let mut loads = Vec::new();
        for (service, counts) in state.key_counts.lock().iter_mut() {
            loads.push((service.clone(), counts.drain(MAX_REPORTED_KEYS)));
        }
        let observed_loads = state.selector.lock().drain_observations();
        HostReport {
            host: self.host.clone(),
            domain: state.domain.clone(),
            strength: self.strength,
            loads,
            suspects: self.suspects(),
            observed_loads: observed_loads
                .iter()
                .map(|(id, load)| WireObservation::from((id, *load)))
                .collect(),
            reaches_store: self.peers.reaches_store(),
            known: KnownVersions {
                owners: self.replica.owner_versions(),
                entries: self.replica.entries_version(),
                sheet: self.replica.sheet_version(),
                orders: self.replica.orders_version(),
            },
            sent_at_us: 0,
            is_early: false,
            wanted: Vec::new(),
            cold: state.cold.known_cold(true),
            greatest_term: self.greatest_term(),
            relay: state.relay.as_ref().map(RelayClient::offer),
            demand: WireDemand::default(),
        }
    }

    /// Returns the work that was offered since the last call; empty without shares of ranks.
    fn drain_demand(&self, now: Moment) -> WireDemand {
        let rank_shares = self.dispatcher.state.rank_shares.as_ref();
        rank_shares.map_or_else(WireDemand::default, |shares| shares.drain_demand(now))
    }

    /// Returns the greatest term that this host knows of, in the epochs of owners too.
    fn greatest_term(&self) -> u64 {
        for map in self.dispatcher.state.view.load().owners.values() {
            self.peers.record_owners(map);
        }
        self.peers.term_floor().greatest()
    }

    fn apply_sheet(&self, reply: &LeaderReply) {
        match &reply.sheet {
            WireSheet::Known => self.replica.record_peer_sheet(reply.sheet_version),
            WireSheet::Row(row) => self.replica.apply_sheet_row(row),
            WireSheet::InStore => self.replica.fetch_sheet(reply.sheet_version),
        }
    }

    fn suspects(&self) -> Vec<Suspect> {
        let state = &self.dispatcher.state;
        let quarantine = state.quarantine.lock();
        let known = quarantine.iter(state.clock.now());
        let suspects = known.map(|(fingerprint, losses, remaining)| Suspect {
            fingerprint,
            losses,
            remaining_ms: remaining.as_millis() as u64,
        });
        suspects.take(32).collect()
    }

    fn apply_suspects(&self, suspects: &[Suspect]) {
        let state = &self.dispatcher.state;
        let now = state.clock.now();
        let mut quarantine = state.quarantine.lock();
        for suspect in suspects {
            let remaining = Duration::from_millis(suspect.remaining_ms);
            quarantine.merge(now, suspect.fingerprint, suspect.losses, remaining);
        }
    }

    async fn send(&self, bytes: &[u8], peer: SocketAddr) {
        self.budget.spend(bytes.len());
        if let Err(error) = self.socket.send_to(bytes, peer).await {
            debug!(target: "peers", "peer={peer} message not sent: {error}");
        }
    }

    /// Receives and handles messages of other hosts.
    pub(crate) async fn receive(self) {
        let mut buffer = vec![0_u8; MAX_DATAGRAM_BYTES];
        loop {
            let (length, peer) = match self.socket.recv_from(&mut buffer).await {
                Ok(received) => received,
                Err(error) => {
                    debug!(target: "peers", "receive failed: {error}");
                    async_std::task::sleep(RECEIVE_RETRY_DELAY).await;
                    continue;
                }
            };
            match PeerMessage::decode(&buffer[..length]) {
                Ok(PeerMessage::Report(report)) => {
                    self.apply_report(&report, peer);
                    self.replica.record_peer_sheet(report.known.sheet);
                    self.apply_suspects(&report.suspects);
                    // A host that does not lead sends no reply, so that the sender
                    // looks for the leader in the store.
                    if let Some(term) = self.peers.leading_term() {
                        let is_for_standby = self.peers.standbys().contains(&report.host);
                        let tokens = self.dispatcher.state.cold.issue(&report);
                        let load_list = if report.is_early {
                            LoadList::default()
                        } else {
                            self.peers.next_fleet_loads()
                        };
                        let relay_hosts = self.relay_list_for(term, &report);
                        let known = if self.has_send_room() {
                            report.known
                        } else {
                            self.told_versions().except_orders(&report.known)
                        };
                        let mut replies =
                            self.replies(term, None, &known, is_for_standby, load_list);
                        replies[0].report_sent_at_us = report.sent_at_us;
                        replies[0].tokens = tokens;
                        push_relay_list(&mut replies, relay_hosts);
                        for bytes in encode_all(replies) {
                            self.send(&bytes, peer).await;
                        }
                    }
                }
                Ok(PeerMessage::Reply(reply)) => {
                    if !self.peers.apply_reply(&reply, peer, &self.host) {
                        continue;
                    }
                    if let Some(orders) = &reply.orders {
                        self.replica.apply_orders(orders);
                    }
                    self.dispatcher.state.cold.apply_reply(&reply);
                    self.apply_sheet(&reply);
                    self.apply_suspects(&reply.suspects);
                    self.dispatcher
                        .state
                        .budgets
                        .set_host_count(reply.host_count);
                    self.set_fleet_loads(&reply.fleet_loads);
                    self.record_load_age(&reply);
                    self.peers.relay_lists.apply(reply.relay_hosts);
                    self.set_rank_shares(reply.rank_shares);
                    let changes = reply.entries.into_iter().map(EntryChange::from);
                    let changes: Vec<EntryChange> = changes.collect();
                    self.replica
                        .apply_entry_changes(reply.entries_base, &changes);
                    self.replica.record_complete_entries(reply.entries_version);
                    for update in reply.owners {
                        self.replica.apply_owner_update(update);
                    }
                }
                Err(error) => debug!(target: "peers", "peer={peer} message ignored: {error}"),
            }
        }
    }
}

fn encode(message: &PeerMessage) -> Option<Vec<u8>> {
    match message.encode() {
        Ok(bytes) => Some(bytes),
        Err(error) => {
            warn!(target: "peers", "message not sent: {error}");
            None
        }
    }
}

fn encode_all(replies: Vec<LeaderReply>) -> Vec<Vec<u8>> {
    let messages = replies.into_iter().map(PeerMessage::Reply);
    messages.filter_map(|message| encode(&message)).collect()
}
