//! Messages between hosts and the leader, and their encoding.
//!
//! A message is one datagram: a byte that names the format, then the fields in
//! `postcard`'s encoding. Upstreams are named once in a message of owners, as names
//! would be most of its bytes.

use fleet::{EntryChange, ReportedState, UpstreamEntry};
use grant::{PreviousTerm, WireOwners};
use kernel::{DomainName, ServiceName, UpstreamId};
use place::ObservedLoad;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

/// Largest datagram, in bytes; the protocol's limit is 64 KB. Owners that don't fit
/// are read from the store.
pub(crate) const DATAGRAM_BYTES: usize = 60 << 10;
/// First byte of every message; another one is another format, of a version of the
/// program that is being replaced.
const FORMAT: u8 = 10;

/// A datagram that holds no message.
#[derive(Debug)]
pub(crate) enum MessageError {
    /// It is of another format.
    Format(Option<u8>),
    /// Its fields can't be read or written.
    Fields(postcard::Error),
    /// It is larger than a datagram may be, in bytes.
    TooLarge(usize),
}

impl fmt::Display for MessageError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Format(format) => write!(f, "unknown format {format:?}"),
            Self::Fields(error) => write!(f, "fields: {error}"),
            Self::TooLarge(bytes) => write!(f, "{bytes} bytes don't fit a datagram"),
        }
    }
}

impl std::error::Error for MessageError {}

impl PeerMessage {
    /// Encodes the message as a datagram.
    ///
    /// # Errors
    ///
    /// Fails when it does not fit.
    pub(crate) fn encode(&self) -> Result<Vec<u8>, MessageError> {
        let bytes = postcard::to_extend(self, vec![FORMAT]).map_err(MessageError::Fields)?;
        if bytes.len() > DATAGRAM_BYTES {
            return Err(MessageError::TooLarge(bytes.len()));
        }
        Ok(bytes)
    }

    /// Decodes a datagram.
    ///
    /// # Errors
    ///
    /// Fails when it holds no message of this format.
    pub(crate) fn decode(bytes: &[u8]) -> Result<Self, MessageError> {
        match bytes.split_first() {
            Some((&FORMAT, fields)) => postcard::from_bytes(fields).map_err(MessageError::Fields),
            other => Err(MessageError::Format(other.map(|(format, _)| *format))),
        }
    }
}

/// A message between a host and the leader.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
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
    /// How well the host can lead; see [`crate::FrontSettings::strength`].
    pub strength: u32,
    /// Requests by service and key.
    pub loads: Vec<(ServiceName, Vec<(u16, f32)>)>,
    pub suspects: Vec<Suspect>,
    /// What the host has seen of upstreams since its last report.
    pub seen: Vec<WireLoad>,
    /// Whether the host has reached the store lately.
    pub sees_store: bool,
    /// What the host knows.
    pub known: KnownState,
}

/// What a host knows of the store's rows.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct KnownState {
    /// Versions of the owners, by service.
    pub owners: Vec<(ServiceName, u64)>,
    /// Version up to which the upstreams' entries are known.
    pub entries: u64,
}

/// What was seen of an upstream: its id, requests, and tenths of milliseconds in a
/// slot.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct WireLoad(UpstreamId, u32, u32);

impl From<(UpstreamId, ObservedLoad)> for WireLoad {
    fn from((id, load): (UpstreamId, ObservedLoad)) -> Self {
        Self(id, load.requests, (load.service_ms * 10.0) as u32)
    }
}

impl From<WireLoad> for (UpstreamId, ObservedLoad) {
    fn from(wire: WireLoad) -> Self {
        let WireLoad(id, requests, service) = wire;
        let load = ObservedLoad {
            requests,
            service_ms: f64::from(service) / 10.0,
        };
        (id, load)
    }
}

/// What a leader leaves behind: whether every grant was answered, and for how many
/// milliseconds its grants may be in force, if it knows.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct WireLast(bool, Option<u64>);

impl From<PreviousTerm> for WireLast {
    fn from(last: PreviousTerm) -> Self {
        Self(
            last.is_clean,
            last.grants_valid_for.map(|held| held.as_millis() as u64),
        )
    }
}

impl From<WireLast> for PreviousTerm {
    fn from(WireLast(is_clean, held_for_ms): WireLast) -> Self {
        Self {
            is_clean,
            grants_valid_for: held_for_ms.map(Duration::from_millis),
        }
    }
}

/// Owners of a service's keys that are newer than what a host knows.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct OwnerNews {
    pub service: ServiceName,
    /// Version that the ranges change; 0 when they are all there are.
    pub base: u64,
    pub version: u64,
    pub ranges: WireOwners,
}

/// A change of an upstream's entry: its id, the version, and what the entry says.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct WireEntry(UpstreamId, u64, Option<WireDetail>);

/// What an entry says; a few dozen bytes where the store's row has hundreds, as every
/// host is told of every change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct WireDetail {
    service: ServiceName,
    address: SocketAddr,
    domain: DomainName,
    slots: u32,
    is_leaving: bool,
    cold_ms: u32,
    started_at_ms: u64,
}

impl From<EntryChange> for WireEntry {
    fn from(change: EntryChange) -> Self {
        let detail = change.entry.map(|entry| WireDetail {
            service: entry.service,
            address: entry.address,
            domain: entry.domain,
            slots: entry.slots,
            is_leaving: entry.state == ReportedState::Leaving,
            cold_ms: entry.cold_duration.as_millis() as u32,
            started_at_ms: entry.started_at_ms,
        });
        Self(change.id, change.version, detail)
    }
}

impl From<WireEntry> for EntryChange {
    fn from(WireEntry(id, version, detail): WireEntry) -> Self {
        let entry = detail.map(|detail| UpstreamEntry {
            id: id.clone(),
            service: detail.service,
            address: detail.address,
            domain: detail.domain,
            slots: detail.slots,
            state: if detail.is_leaving {
                ReportedState::Leaving
            } else {
                ReportedState::Ready
            },
            cold_duration: Duration::from_millis(u64::from(detail.cold_ms)),
            started_at_ms: detail.started_at_ms,
        });
        Self { id, version, entry }
    }
}

/// What the leader tells every host.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct LeaderReply {
    /// The leader's term; a smaller one is out of date.
    pub term: u64,
    /// What the sender leaves behind when it no longer leads.
    pub ended: Option<WireLast>,
    /// The host that is to take over from a sender that no longer leads.
    pub successor: Option<String>,
    /// Whether the sender hears of changed entries from the store.
    pub is_live: bool,
    pub hosts: u32,
    /// Version of the leader's sheet; 0 while it has none.
    pub sheet: u64,
    pub suspects: Vec<Suspect>,
    /// Owners that the host did not know.
    pub owners: Vec<OwnerNews>,
    /// Version up to which the host must know the entries to take these in.
    pub entries_base: u64,
    /// Entries that the host did not know, in order of their versions.
    pub entries: Vec<WireEntry>,
    /// What all hosts have seen of the upstreams.
    pub norms: Vec<WireLoad>,
    pub standbys: Vec<String>,
    /// All hosts' addresses, for a standby that may have to lead.
    pub peers: Vec<SocketAddr>,
}

impl LeaderReply {
    /// Returns the version up to which a host knows the entries after this message.
    pub(crate) fn entries_end(&self) -> u64 {
        let last = self.entries.last();
        last.map_or(self.entries_base, |WireEntry(_, version, _)| *version)
    }
}

/// A request that upstreams ended with.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Suspect {
    pub fingerprint: u64,
    pub losses: u32,
    pub remaining_ms: u64,
}
