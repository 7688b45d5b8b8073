//! Entries in which upstreams describe themselves.

use kernel::{DomainName, ServiceName, UpstreamId};
use std::net::SocketAddr;
use std::time::Duration;

/// State that an upstream reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportedState {
    /// Accepts requests.
    Ready,
    /// Is about to stop and accepts no new requests.
    Leaving,
}

/// Description of an upstream by itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamEntry {
    /// Its id.
    pub id: UpstreamId,
    /// The service that it belongs to.
    pub service: ServiceName,
    /// Address at which it listens.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: DomainName,
    /// Number of requests that it runs at a time.
    pub slots: u32,
    /// Its state.
    pub state: ReportedState,
    /// Time after its start for which it is slow.
    pub cold_duration: Duration,
    /// Start time of this run of its process, in Unix milliseconds; distinguishes runs
    /// under the same id. 0 when the upstream does not report it.
    pub started_at_ms: u64,
}

impl UpstreamEntry {
    /// Builds the entry of an upstream that is ready and not cold.
    pub fn ready(id: &str, service: &str, address: SocketAddr, slots: u32) -> Self {
        Self {
            id: id.into(),
            service: service.into(),
            address,
            domain: "".into(),
            slots,
            state: ReportedState::Ready,
            cold_duration: Duration::ZERO,
            started_at_ms: 0,
        }
    }
}

/// An upstream's entry after a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryChange {
    /// The upstream.
    pub id: UpstreamId,
    /// Version of the change.
    pub version: u64,
    /// The entry; `None` when it was removed or could not be decoded.
    pub entry: Option<UpstreamEntry>,
    /// Time for which the upstream of a removed entry stays in use, if another host has
    /// told of the change.
    pub grace: Option<Duration>,
}
