//! What an upstream says of itself.

use kernel::{DomainName, ServiceName, UpstreamId};
use std::net::SocketAddr;
use std::time::Duration;

/// State that an upstream reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportedState {
    /// Takes work.
    Ready,
    /// Is about to stop.
    Leaving,
}

/// What an upstream says of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamEntry {
    /// Its id.
    pub id: UpstreamId,
    /// The service that it belongs to.
    pub service: ServiceName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: DomainName,
    /// Requests that it runs at a time.
    pub slots: u32,
    /// Its state.
    pub state: ReportedState,
    /// For how long it stays slow after its start.
    pub cold_duration: Duration,
    /// When this run of its process started, in Unix milliseconds; tells two runs
    /// under one id apart. 0 when the upstream does not say.
    pub started_at_ms: u64,
}

impl UpstreamEntry {
    /// Builds the entry of an upstream that is ready and warm.
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

/// An upstream's entry as it stands after a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryChange {
    /// The upstream.
    pub id: UpstreamId,
    /// Version of the change.
    pub version: u64,
    /// The entry; absent when it was removed or can't be read.
    pub entry: Option<UpstreamEntry>,
}
