//! Load reports from all hosts to the leader, as datagrams.
//!
//! A report that is lost is followed by the next one, so datagrams fit better than
//! calls that wait for their answer.

use crate::dispatch::Dispatcher;
use async_std::net::UdpSocket;
use grant::KeyLoads;
use indexmap::IndexMap;
use kernel::{Clock, DomainName, Moment, ServiceName};
use log::{debug, warn};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Between two reports of one host.
const REPORT_PERIOD: Duration = Duration::from_millis(1_000);
/// For which a host counts after its last report.
const HOST_KEPT: Duration = Duration::from_secs(5);
/// Largest datagram, in bytes; larger ones are split on the way and lost sooner.
const DATAGRAM_BYTES: usize = 8 << 10;
/// Most keys in a report, those with most requests first.
const MOST_KEYS: usize = 200;
/// Time in which the load on keys fades by half; long enough to even out chance,
/// short enough to follow a key that becomes hot.
const LOAD_HALF_LIFE: Duration = Duration::from_secs(3);

/// A message between a host and the leader.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum PeerMessage {
    /// A host's load since its last report.
    Report(HostReport),
    /// The leader's reply.
    Reply(LeaderReply),
}

/// What a host reports.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct HostReport {
    pub host: String,
    pub domain: DomainName,
    /// Requests by service and key.
    pub loads: Vec<(ServiceName, Vec<(u16, f32)>)>,
    pub suspects: Vec<Suspect>,
}

/// What the leader tells every host.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct LeaderReply {
    pub hosts: u32,
    pub suspects: Vec<Suspect>,
}

/// A request that upstreams ended with.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Suspect {
    pub fingerprint: u64,
    pub losses: u32,
    pub remaining_ms: u64,
}

/// What the leader knows of the other hosts, and all of the leader.
#[derive(Debug)]
pub(crate) struct PeerBook {
    clock: Arc<dyn Clock>,
    state: Mutex<PeerState>,
}

#[derive(Debug)]
struct PeerState {
    leader: Option<SocketAddr>,
    hosts: IndexMap<String, (Moment, DomainName)>,
    loads: IndexMap<ServiceName, KeyLoads>,
    faded_at: Moment,
}

impl PeerBook {
    pub(crate) fn new(clock: Arc<dyn Clock>) -> Self {
        let faded_at = clock.now();
        Self {
            clock,
            state: Mutex::new(PeerState {
                leader: None,
                hosts: IndexMap::new(),
                loads: IndexMap::new(),
                faded_at,
            }),
        }
    }

    /// Notes where the leader takes reports.
    pub(crate) fn set_leader(&self, leader: Option<SocketAddr>) {
        self.state.lock().leader = leader;
    }

    /// Returns the hosts that reported lately, with their failure domains.
    pub(crate) fn hosts(&self) -> Vec<(String, DomainName)> {
        let now = self.clock.now();
        let mut state = self.state.lock();
        state.hosts.retain(|_, (heard_at, _)| now - *heard_at < HOST_KEPT);
        let hosts = state.hosts.iter();
        hosts.map(|(name, (_, domain))| (name.clone(), domain.clone())).collect()
    }

    /// Returns the load on a service's keys.
    pub(crate) fn loads(&self, service: &ServiceName) -> KeyLoads {
        let now = self.clock.now();
        let mut state = self.state.lock();
        let elapsed = now - state.faded_at;
        if elapsed > REPORT_PERIOD / 4 {
            for loads in state.loads.values_mut() {
                loads.fade(elapsed, LOAD_HALF_LIFE);
            }
            state.faded_at = now;
        }
        state.loads.get(service).cloned().unwrap_or_default()
    }

    fn take(&self, report: &HostReport) {
        let now = self.clock.now();
        let mut state = self.state.lock();
        state.hosts.insert(report.host.clone(), (now, report.domain.clone()));
        for (service, keys) in &report.loads {
            let loads = state.loads.entry(service.clone()).or_default();
            for (key, requests) in keys {
                if requests.is_finite() && *requests > 0.0 {
                    loads.note(*key, *requests);
                }
            }
        }
    }
}

/// Sends this host's reports and takes in those of others.
#[derive(Clone, Debug)]
pub(crate) struct ReportLink {
    pub socket: Arc<UdpSocket>,
    pub book: Arc<PeerBook>,
    pub dispatcher: Dispatcher,
    pub host: String,
}

impl ReportLink {
    /// Sends a report every period, to the leader of that time.
    pub(crate) async fn send_reports(self) {
        loop {
            async_std::task::sleep(REPORT_PERIOD).await;
            let report = self.report();
            let leader = self.book.state.lock().leader;
            let own = self.socket.local_addr().ok();
            match leader {
                Some(leader) if Some(leader) != own => {
                    self.send(&PeerMessage::Report(report), leader).await;
                }
                Some(_) => self.book.take(&report),
                None => {}
            }
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
            loads,
            suspects: self.suspects(),
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

    async fn send(&self, message: &PeerMessage, peer: SocketAddr) {
        let bytes = match serde_json::to_vec(message) {
            Ok(bytes) => bytes,
            Err(error) => {
                warn!(target: "peers", "message not encoded: {error}");
                return;
            }
        };
        if let Err(error) = self.socket.send_to(&bytes, peer).await {
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
                    async_std::task::sleep(REPORT_PERIOD / 10).await;
                    continue;
                }
            };
            match serde_json::from_slice(&buffer[..length]) {
                Ok(PeerMessage::Report(report)) => {
                    self.book.take(&report);
                    self.take_suspects(&report.suspects);
                    let reply = LeaderReply {
                        hosts: self.book.hosts().len() as u32,
                        suspects: self.suspects(),
                    };
                    self.send(&PeerMessage::Reply(reply), peer).await;
                }
                Ok(PeerMessage::Reply(reply)) => {
                    self.take_suspects(&reply.suspects);
                    self.dispatcher.parts.budgets.set_hosts(reply.hosts);
                }
                Err(error) => debug!(target: "peers", "peer={peer} message ignored: {error}"),
            }
        }
    }
}
