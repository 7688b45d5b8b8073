//! Messages between hosts and the leader, and their encoding.
//!
//! A message is one datagram: a byte that names the format, then the fields in
//! `postcard` encoding. A message of owners names each upstream once, as repeated names
//! would be most of its bytes.

use crate::relay_list::{WireHostList, WireRelayOffer};
use crate::replica::WireOrders;
use crate::wire_cold::{WireCold, WireTokens, WireWant};
use crate::wire_load::{WireLoad, WireObservation};
use crate::wire_share::{WireDemand, WireServiceShares};
use fleet::{EntryChange, ReportedState, UpstreamEntry};
use grant::{PreviousTerm, WireOwners};
use kernel::{DomainName, ServiceName, UpstreamId};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

/// Maximum size of a datagram, in bytes; the limit of UDP is 64 KB. Owners and sheets
/// that do not fit are read from the store.
pub(crate) const MAX_DATAGRAM_BYTES: usize = 60 << 10;
/// Maximum size of a sheet's row in a datagram, in bytes; the other fields take less than
/// the rest.
pub(crate) const MAX_SHEET_BYTES: usize = MAX_DATAGRAM_BYTES - (8 << 10);
/// First byte of every message. A message with another format comes from a host that
/// runs another version of the program during an upgrade.
const FORMAT: u8 = 12;

/// A message that could not be encoded or decoded.
#[derive(Debug)]
pub(crate) enum MessageError {
    /// The first byte names an unknown format, or there is none.
    Format(Option<u8>),
    /// The fields can't be encoded or decoded.
    Fields(postcard::Error),
    /// The message does not fit one datagram; its size in bytes.
    TooLarge(usize),
}

impl fmt::Display for MessageError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Format(format) => write!(f, "unknown format {format:?}"),
            Self::Fields(error) => write!(f, "invalid message fields: {error}"),
            Self::TooLarge(bytes) => write!(f, "{bytes} bytes exceed one datagram"),
        }
    }
}

impl std::error::Error for MessageError {}

impl PeerMessage {
    /// Encodes the message as a datagram.
    ///
    /// # Errors
    ///
    /// Fails when the message can't be encoded or is larger than
    /// [`MAX_DATAGRAM_BYTES`].
    pub(crate) fn encode(&self) -> Result<Vec<u8>, MessageError> {
        let bytes = postcard::to_extend(self, vec![FORMAT]).map_err(MessageError::Fields)?;
        if bytes.len() > MAX_DATAGRAM_BYTES {
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
    /// A host's periodic report.
    Report(HostReport),
    /// The leader's reply or announcement.
    Reply(LeaderReply),
}

/// A host's report to the leader.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct HostReport {
    pub host: String,
    pub domain: DomainName,
    /// The host's capacity to lead; see [`crate::FrontSettings::strength`].
    pub strength: u32,
    /// Number of requests by service and key since the last report.
    pub loads: Vec<(ServiceName, Vec<(u16, f32)>)>,
    pub suspects: Vec<Suspect>,
    /// Load that the host has observed at upstreams since its last report.
    pub observed_loads: Vec<WireObservation>,
    /// Whether the store has answered the host recently.
    pub reaches_store: bool,
    /// The versions that the host knows.
    pub known: KnownVersions,
    /// When the report was sent, on the host's clock, in microseconds.
    pub sent_at_us: u64,
    /// Whether it was sent before it was due, to ask for tokens.
    pub is_early: bool,
    /// Tokens for cold upstreams that requests wait for.
    pub wanted: Vec<WireWant>,
    /// Upstreams that the host found cold.
    pub cold: Vec<WireCold>,
    /// The greatest term that the host knows of.
    pub greatest_term: u64,
    /// The host's offer to relay requests; `None` if it uses no relays.
    pub relay: Option<WireRelayOffer>,
    /// Work that was offered since the last report; empty without shares of ranks.
    pub demand: WireDemand,
}

/// The versions of the store's rows that a host knows.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct KnownVersions {
    /// Versions of the owners, by service.
    pub owners: Vec<(ServiceName, u64)>,
    /// Version up to which the upstreams' entries are known.
    pub entries: u64,
    /// Version of the sheet; 0 without one.
    pub sheet: u64,
    /// Version of the orders to evacuate failure domains; 0 while they are unknown.
    pub orders: u64,
}

impl KnownVersions {
    /// Returns these versions with that of `known` for the orders to evacuate: they are
    /// short and urgent, so they are sent even if the link has no room for the rest.
    pub(crate) fn except_orders(&self, known: &Self) -> Self {
        Self {
            orders: known.orders,
            ..self.clone()
        }
    }
}

/// The sheet in a message of the leader.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum WireSheet {
    /// The receiver knows it.
    Known,
    /// The store's row.
    Row(Vec<u8>),
    /// It does not fit a datagram; the receiver has to read it from the store.
    InStore,
}

/// State that a leader leaves behind: whether every grant call was answered, and for
/// how many milliseconds its grants may remain valid, if known.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct WirePreviousTerm(bool, Option<u64>);

impl From<PreviousTerm> for WirePreviousTerm {
    fn from(previous: PreviousTerm) -> Self {
        Self(
            previous.is_clean,
            previous
                .grants_valid_for
                .map(|duration| duration.as_millis() as u64),
        )
    }
}

impl From<WirePreviousTerm> for PreviousTerm {
    fn from(WirePreviousTerm(is_clean, valid_for_ms): WirePreviousTerm) -> Self {
        Self {
            is_clean,
            grants_valid_for: valid_for_ms.map(Duration::from_millis),
        }
    }
}

/// An update of the owners of a service's keys.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct OwnerUpdate {
    pub service: ServiceName,
    /// Version that the ranges are a difference from, or 0 if they are complete.
    pub base: u64,
    pub version: u64,
    pub ranges: WireOwners,
}

/// A change of an upstream's entry: its id, the version, and the entry's fields, or for
/// how many milliseconds the upstream of a removed entry stays in use.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct WireEntry(UpstreamId, u64, Result<WireEntryFields, u32>);

/// The fields of an entry. They take a few dozen bytes where the store's row takes
/// hundreds, as every host receives every change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct WireEntryFields {
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
        let fields = change.entry.map(|entry| WireEntryFields {
            service: entry.service,
            address: entry.address,
            domain: entry.domain,
            slots: entry.slots,
            is_leaving: entry.state == ReportedState::Leaving,
            cold_ms: entry.cold_duration.as_millis() as u32,
            started_at_ms: entry.started_at_ms,
        });
        let grace = change.grace.unwrap_or_default();
        Self(
            change.id,
            change.version,
            fields.ok_or(grace.as_millis() as u32),
        )
    }
}

impl From<WireEntry> for EntryChange {
    fn from(WireEntry(id, version, fields): WireEntry) -> Self {
        let grace = fields.as_ref().err().copied();
        let entry = fields.ok().map(|fields| UpstreamEntry {
            id: id.clone(),
            service: fields.service,
            address: fields.address,
            domain: fields.domain,
            slots: fields.slots,
            state: if fields.is_leaving {
                ReportedState::Leaving
            } else {
                ReportedState::Ready
            },
            cold_duration: Duration::from_millis(u64::from(fields.cold_ms)),
            started_at_ms: fields.started_at_ms,
        });
        Self {
            id,
            version,
            entry,
            grace: grace.map(|ms| Duration::from_millis(u64::from(ms))),
        }
    }
}

/// A message of the leader to a host.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct LeaderReply {
    /// The leader's term; a message with a smaller one than the last is out of date.
    pub term: u64,
    /// The state that the sender leaves behind, if it has stopped leading.
    pub end_state: Option<WirePreviousTerm>,
    /// The host that should take over from a sender that has stopped leading.
    pub successor: Option<String>,
    /// Whether the sender receives changed entries from the store.
    pub is_feed_live: bool,
    pub host_count: u32,
    /// Version of the leader's sheet; 0 while it has none.
    pub sheet_version: u64,
    /// The leader's sheet.
    pub sheet: WireSheet,
    pub suspects: Vec<Suspect>,
    /// Owners that the receiver did not know.
    pub owners: Vec<OwnerUpdate>,
    /// Version up to which the receiver must know the entries to apply `entries`.
    pub entries_base: u64,
    /// Entries that the receiver did not know, in order of version.
    pub entries: Vec<WireEntry>,
    /// Version of the newest entry; a receiver that knows the entries up to it knows all.
    pub entries_version: u64,
    /// Loads of upstreams, as observed by all hosts.
    pub fleet_loads: Vec<WireLoad>,
    pub standbys: Vec<String>,
    /// Addresses of all hosts, for a standby that may have to lead.
    pub host_addresses: Vec<SocketAddr>,
    /// Orders to evacuate failure domains, if the receiver does not know them.
    pub orders: Option<WireOrders>,
    /// Time since `fleet_loads` were computed, in milliseconds.
    pub fleet_loads_age_ms: u32,
    /// Time stamp of the report that this replies to; 0 for an announcement.
    pub report_sent_at_us: u64,
    /// Tokens that the report asked for.
    pub tokens: Vec<WireTokens>,
    /// Upstreams that a host found cold.
    pub cold: Vec<WireCold>,
    /// The greatest term that the sender knows of.
    pub greatest_term: u64,
    /// The hosts of the receiver's domain that relay, if it does not know them.
    pub relay_hosts: Option<WireHostList>,
    /// Shares of ranks, by service; empty without them.
    pub rank_shares: Vec<WireServiceShares>,
}

impl LeaderReply {
    /// Returns a message that follows this one, with further entries.
    pub(crate) fn continued(&self, entries_base: u64, entries: Vec<WireEntry>) -> Self {
        Self {
            sheet: WireSheet::Known,
            suspects: Vec::new(),
            owners: Vec::new(),
            fleet_loads: Vec::new(),
            host_addresses: Vec::new(),
            orders: None,
            report_sent_at_us: 0,
            tokens: Vec::new(),
            cold: Vec::new(),
            relay_hosts: None,
            rank_shares: Vec::new(),
            standbys: self.standbys.clone(),
            successor: self.successor.clone(),
            entries_base,
            entries,
            ..*self
        }
    }

    /// Returns the version up to which the receiver knows the entries after this
    /// message.
    pub(crate) fn entries_end(&self) -> u64 {
        let last = self.entries.last();
        last.map_or(self.entries_base, |WireEntry(_, version, _)| *version)
    }
}

/// A request that may have crashed upstreams.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Suspect {
    pub fingerprint: u64,
    pub losses: u32,
    pub remaining_ms: u64,
}
