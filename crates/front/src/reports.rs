//! Reports of all hosts to the leader, and its replies, as datagrams.
//!
//! Hosts report their load; the leader replies with what a host does not know yet,
//! above all the owners of keys, so that only one host reads them from the store.
//! A message that is lost is followed by the next one within a second, so datagrams
//! fit better than calls that wait for their answer.

use crate::dispatch::Dispatcher;
use crate::message::{
    DATAGRAM_BYTES, HostReport, KnownState, LeaderReply, PeerMessage, Suspect, WireEntry, WireLast,
    WireLoad,
};
use crate::peers::PeerBook;
use crate::watch::ViewKeeper;
use async_std::net::UdpSocket;
use fleet::EntryChange;
use grant::PreviousTerm;
use log::{debug, warn};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Between two reports of one host.
const REPORT_PERIOD: Duration = Duration::from_millis(700);
/// The same for a standby, which notices the leader's loss by missing replies.
const STANDBY_PERIOD: Duration = Duration::from_millis(350);
/// Times that the end of a term is told.
const END_COPIES: u32 = 2;
/// Pause after a failed receipt.
const RECEIVE_PAUSE: Duration = Duration::from_millis(70);
/// Most entries in one message; the next one has the rest.
const MOST_ENTRIES: usize = 400;
/// Most keys in a report, those with most requests first.
const MOST_KEYS: usize = 200;

/// What a leader that gives up leaves behind, and who is to take over.
type TermEnd<'a> = (PreviousTerm, Option<&'a str>);

/// Sends this host's reports and takes in those of others.
#[derive(Clone, Debug)]
pub(crate) struct ReportLink {
    pub socket: Arc<UdpSocket>,
    pub book: Arc<PeerBook>,
    pub keeper: Arc<ViewKeeper>,
    pub dispatcher: Dispatcher,
    pub host: String,
    pub strength: u32,
}

impl ReportLink {
    /// Sends a report every period, to the leader of that time.
    pub(crate) async fn send_reports(self) {
        loop {
            let period = if self.book.is_standby() {
                STANDBY_PERIOD
            } else {
                REPORT_PERIOD
            };
            self.book.wait_for_report(period).await;
            let report = self.report();
            let Some(leader) = self.book.leader() else {
                continue;
            };
            if self.socket.local_addr().ok() == Some(leader) {
                self.book.take(&report, leader);
                self.set_fleet_loads(&self.book.next_norms());
                continue;
            }
            if let Some(bytes) = encode(&PeerMessage::Report(report)) {
                self.send(&bytes, leader).await;
            }
        }
    }

    /// Tells every host that this one leads, and the owners that each does not know.
    pub(crate) async fn announce(&self, term: u64) {
        self.tell_all(term, None).await;
    }

    /// Tells every host that this one no longer leads, what it leaves behind, and who
    /// is to take over.
    pub(crate) async fn announce_end(
        &self,
        term: u64,
        last: PreviousTerm,
        successor: Option<&str>,
    ) {
        // A successor can take over at once only when it has heard; datagrams get lost.
        for _ in 0..END_COPIES {
            self.tell_all(term, Some((last, successor))).await;
        }
    }

    async fn tell_all(&self, term: u64, ended: Option<TermEnd<'_>>) {
        let told = KnownState {
            owners: self.keeper.owner_versions(),
            entries: self.keeper.last_entry_version(),
        };
        let mut targets = self.book.take_targets(&told);
        let own = self.socket.local_addr().ok();
        targets.retain(|(address, _)| Some(*address) != own);
        // Most hosts know the same, and are told the same.
        let mut last: Option<(KnownState, Vec<Vec<u8>>)> = None;
        for (address, known) in targets {
            let datagrams = match last.take() {
                Some((same, datagrams)) if same == known => datagrams,
                _ => encode_all(self.replies(term, ended, &known, false, Vec::new())),
            };
            for bytes in &datagrams {
                self.send(bytes, address).await;
            }
            last = Some((known, datagrams));
        }
    }

    /// Returns what a host is to be told that knows `known`; entries that don't fit one
    /// message follow in further ones.
    fn replies(
        &self,
        term: u64,
        ended: Option<TermEnd<'_>>,
        known: &KnownState,
        is_for_standby: bool,
        norms: Vec<WireLoad>,
    ) -> Vec<LeaderReply> {
        let first = LeaderReply {
            term,
            ended: ended.map(|(last, _)| WireLast::from(last)),
            successor: ended.and_then(|(_, successor)| successor.map(str::to_owned)),
            is_live: self.book.is_live(),
            hosts: self.book.hosts().len() as u32,
            sheet: self.keeper.sheet_version(),
            suspects: self.suspects(),
            owners: self.keeper.newer_owners(&known.owners),
            entries_base: known.entries,
            entries: Vec::new(),
            norms,
            standbys: self.book.standbys(),
            peers: if is_for_standby {
                self.book.addresses()
            } else {
                Vec::new()
            },
        };
        let rows = self.keeper.newer_entries(known.entries);
        let mut replies = vec![first];
        for chunk in rows.chunks(MOST_ENTRIES) {
            let entries = chunk.iter().cloned().map(WireEntry::from).collect();
            let entries_base = replies
                .last()
                .map_or(known.entries, LeaderReply::entries_end);
            let is_alone = replies.len() == 1 && replies[0].owners.is_empty();
            if is_alone && replies[0].entries.is_empty() {
                replies[0].entries = entries;
                continue;
            }
            let further = LeaderReply {
                suspects: Vec::new(),
                owners: Vec::new(),
                norms: Vec::new(),
                peers: Vec::new(),
                entries_base,
                entries,
                ..replies[0].clone()
            };
            replies.push(further);
        }
        replies
    }

    fn set_fleet_loads(&self, norms: &[WireLoad]) {
        let parts = &self.dispatcher.parts;
        let now = parts.clock.now();
        let mut place = parts.place.lock();
        for norm in norms {
            let (id, load) = norm.clone().into();
            place.set_fleet_load(now, &id, load);
        }
    }

    fn report(&self) -> HostReport {
        let parts = &self.dispatcher.parts;
        let mut loads = Vec::new();
        for (service, counts) in parts.key_loads.lock().iter_mut() {
            let mut keys = counts.drain();
            keys.sort_by(|(_, a), (_, b)| b.total_cmp(a));
            keys.truncate(MOST_KEYS);
            loads.push((service.clone(), keys));
        }
        HostReport {
            host: self.host.clone(),
            domain: parts.domain.clone(),
            strength: self.strength,
            loads,
            suspects: self.suspects(),
            seen: parts
                .place
                .lock()
                .drain_observations()
                .into_iter()
                .map(WireLoad::from)
                .collect(),
            sees_store: self.book.sees_store(),
            known: KnownState {
                owners: self.keeper.owner_versions(),
                entries: self.keeper.entries_version(),
            },
        }
    }

    fn suspects(&self) -> Vec<Suspect> {
        let parts = &self.dispatcher.parts;
        let book = parts.quarantine.lock();
        let known = book.iter(parts.clock.now());
        let suspects = known.map(|(fingerprint, losses, remaining)| Suspect {
            fingerprint,
            losses,
            remaining_ms: remaining.as_millis() as u64,
        });
        suspects.take(32).collect()
    }

    fn take_suspects(&self, suspects: &[Suspect]) {
        let parts = &self.dispatcher.parts;
        let now = parts.clock.now();
        let mut book = parts.quarantine.lock();
        for suspect in suspects {
            let remaining = Duration::from_millis(suspect.remaining_ms);
            book.merge(now, suspect.fingerprint, suspect.losses, remaining);
        }
    }

    async fn send(&self, bytes: &[u8], peer: SocketAddr) {
        if let Err(error) = self.socket.send_to(bytes, peer).await {
            debug!(target: "peers", "peer={peer} message not sent: {error}");
        }
    }

    /// Takes in messages from other hosts.
    pub(crate) async fn receive(self) {
        let mut buffer = vec![0_u8; DATAGRAM_BYTES];
        loop {
            let (length, peer) = match self.socket.recv_from(&mut buffer).await {
                Ok(received) => received,
                Err(error) => {
                    debug!(target: "peers", "receive failed: {error}");
                    async_std::task::sleep(RECEIVE_PAUSE).await;
                    continue;
                }
            };
            match PeerMessage::decode(&buffer[..length]) {
                Ok(PeerMessage::Report(report)) => {
                    self.book.take(&report, peer);
                    self.take_suspects(&report.suspects);
                    // A host that does not lead stays silent, so that others look
                    // for the leader in the store.
                    if let Some(term) = self.book.leading() {
                        let is_for_standby = self.book.standbys().contains(&report.host);
                        let norms = self.book.next_norms();
                        let replies =
                            self.replies(term, None, &report.known, is_for_standby, norms);
                        for bytes in encode_all(replies) {
                            self.send(&bytes, peer).await;
                        }
                    }
                }
                Ok(PeerMessage::Reply(reply)) => {
                    if !self.book.take_reply(&reply, peer, &self.host) {
                        continue;
                    }
                    self.keeper.note_leader_sheet(reply.sheet);
                    self.take_suspects(&reply.suspects);
                    self.dispatcher.parts.budgets.set_hosts(reply.hosts);
                    self.set_fleet_loads(&reply.norms);
                    let changes = reply.entries.into_iter().map(EntryChange::from);
                    let changes: Vec<EntryChange> = changes.collect();
                    self.keeper.take_entries(reply.entries_base, &changes);
                    for news in reply.owners {
                        self.keeper.take_news(news);
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
