//! Control links to other hosts, over capnp-rpc.

use crate::hub::ControlHub;
use async_std::future::timeout;
use async_std::net::TcpStream;
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::{Disconnector, RpcSystem, twoparty};
use futures::AsyncReadExt;
use indexmap::IndexMap;
use kernel::{HostId, Moment, Version};
use log::debug;
use member::Heartbeat;
use owner::{Event, HostAddress, RowCache, VersionedRow};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use wire::control_capnp::{control, entry};
use wire::{WireError, read_heartbeat, read_rows, write_heartbeat, write_rows};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
const CALL_TIMEOUT: Duration = Duration::from_millis(400);
const SHEET_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of unanswered heartbeats per host; more would only queue up while
/// the link stalls.
const MAX_OPEN_HEARTBEATS: u32 = 3;

/// Links by control address.
#[derive(Debug, Default)]
pub(crate) struct LinkTable {
    links: RefCell<IndexMap<String, Rc<PeerLink>>>,
}

/// A link to one host, connected when it is first needed and again after a failure.
struct PeerLink {
    address: String,
    session: futures::lock::Mutex<Option<LinkSession>>,
    open_heartbeats: Cell<u32>,
}

/// An established connection.
struct LinkSession {
    control: control::Client,
    disconnector: Disconnector<Side>,
}

impl std::fmt::Debug for PeerLink {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("PeerLink")
            .field("address", &self.address)
            .finish_non_exhaustive()
    }
}

/// Why a call on a link failed.
#[derive(Debug)]
pub(crate) enum LinkError {
    Connect,
    Call(capnp::Error),
    Wire(WireError),
}

impl std::fmt::Display for LinkError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Connect => f.write_str("no connection"),
            Self::Call(error) => write!(f, "call failed: {error}"),
            Self::Wire(error) => error.fmt(f),
        }
    }
}

impl From<capnp::Error> for LinkError {
    fn from(error: capnp::Error) -> Self {
        Self::Call(error)
    }
}

impl From<WireError> for LinkError {
    fn from(error: WireError) -> Self {
        Self::Wire(error)
    }
}

impl LinkTable {
    fn link(&self, address: &str) -> Rc<PeerLink> {
        let mut links = self.links.borrow_mut();
        if let Some(link) = links.get(address) {
            return Rc::clone(link);
        }
        let link = Rc::new(PeerLink {
            address: address.to_owned(),
            session: futures::lock::Mutex::new(None),
            open_heartbeats: Cell::new(0),
        });
        links.insert(address.to_owned(), Rc::clone(&link));
        link
    }
}

impl PeerLink {
    /// Returns the RPC client, and connects first if there is none.
    async fn client(&self, secret: &str) -> Result<control::Client, LinkError> {
        let mut current_session = self.session.lock().await;
        if let Some(session) = &*current_session {
            return Ok(session.control.clone());
        }
        let session = timeout(CONNECT_TIMEOUT, connect(&self.address, secret))
            .await
            .map_err(|_elapsed| LinkError::Connect)??;
        let control = session.control.clone();
        *current_session = Some(session);
        Ok(control)
    }

    /// Closes the connection, so that the next call connects again.
    async fn disconnect(&self) {
        let session = self.session.lock().await.take();
        if let Some(session) = session {
            // The peer may have closed the connection already.
            let _disconnect_result = session.disconnector.await;
        }
    }
}

async fn connect(address: &str, secret: &str) -> Result<LinkSession, LinkError> {
    let stream = TcpStream::connect(address)
        .await
        .map_err(|_io| LinkError::Connect)?;
    stream.set_nodelay(true).map_err(|_io| LinkError::Connect)?;
    let (reader, writer) = stream.split();
    let network = Box::new(twoparty::VatNetwork::new(
        reader,
        writer,
        Side::Client,
        capnp::message::ReaderOptions::default(),
    ));
    let mut system = RpcSystem::new(network, None);
    let entry: entry::Client = system.bootstrap(Side::Server);
    let disconnector = system.get_disconnector();
    async_std::task::spawn_local(async move {
        // The RPC system ends with the connection.
        let _rpc_result = system.await;
    });
    let mut request = entry.enter_request();
    request.get().set_secret(secret.as_bytes());
    let response = request.send().promise.await?;
    let control = response.get()?.get_control()?;
    Ok(LinkSession {
        control,
        disconnector,
    })
}

impl ControlHub {
    fn link_to(&self, address: &HostAddress) -> Rc<PeerLink> {
        let control = &address.control;
        let translated = self.settings.translations.get(control).unwrap_or(control);
        self.links.link(translated)
    }

    /// Sends a heartbeat and handles its acknowledgement.
    pub fn send_heartbeat(self: &Rc<Self>, to: &HostAddress, heartbeat: Heartbeat) {
        let link = self.link_to(to);
        if link.open_heartbeats.get() >= MAX_OPEN_HEARTBEATS {
            return;
        }
        link.open_heartbeats.set(link.open_heartbeats.get() + 1);
        let hub = Rc::clone(self);
        async_std::task::spawn_local(async move {
            let sent_at = hub.clock.now();
            let outcome = timeout(CALL_TIMEOUT, hub.call_heartbeat(&link, &heartbeat)).await;
            link.open_heartbeats.set(link.open_heartbeats.get() - 1);
            match outcome {
                Ok(Ok(heartbeat)) => hub.record_acknowledgement(sent_at, heartbeat),
                Ok(Err(error)) => {
                    debug!(target: "member", "link={} {error}", link.address);
                    link.disconnect().await;
                }
                Err(_elapsed) => {
                    debug!(target: "member", "link={} heartbeat timed out", link.address);
                    link.disconnect().await;
                }
            }
        });
    }

    fn record_acknowledgement(self: &Rc<Self>, sent_at: Moment, heartbeat: Heartbeat) {
        self.apply_heartbeat_payload(&heartbeat);
        self.handle_event(Event::HeartbeatAcknowledged { sent_at, heartbeat });
    }

    /// Applies the suspects in a heartbeat to the schedulers, and its loads to the
    /// ingress.
    pub fn apply_heartbeat_payload(&self, heartbeat: &Heartbeat) {
        self.schedulers.apply_suspects(&heartbeat.suspects);
        self.ingress
            .apply_loads(heartbeat.loads.as_deref().unwrap_or_default());
    }

    async fn call_heartbeat(
        &self,
        link: &PeerLink,
        heartbeat: &Heartbeat,
    ) -> Result<Heartbeat, LinkError> {
        let client = link.client(&self.settings.peer_secret).await?;
        let mut request = client.beat_request();
        write_heartbeat(request.get().init_beat(), heartbeat);
        let response = request.send().promise.await?;
        Ok(read_heartbeat(response.get()?.get_beat()?)?)
    }

    /// Pushes rows and handles the acknowledgement.
    pub fn push_rows(self: &Rc<Self>, to: &HostAddress, rows: Vec<VersionedRow>) {
        let link = self.link_to(to);
        let hub = Rc::clone(self);
        async_std::task::spawn_local(async move {
            let outcome = timeout(CALL_TIMEOUT, hub.call_push(&link, &rows)).await;
            if let Ok(Ok(heartbeat)) = outcome {
                hub.apply_heartbeat_payload(&heartbeat);
                hub.handle_event(Event::PushAcknowledged(heartbeat));
            }
        });
    }

    async fn call_push(
        &self,
        link: &PeerLink,
        rows: &[VersionedRow],
    ) -> Result<Heartbeat, LinkError> {
        let client = link.client(&self.settings.peer_secret).await?;
        let mut request = client.push_request();
        let mut params = request.get();
        params.set_from(self.core.borrow().id().as_str());
        write_rows(params.init_rows(rows.len() as u32), rows);
        let response = request.send().promise.await?;
        Ok(read_heartbeat(response.get()?.get_beat()?)?)
    }

    /// Pulls the rows that are newer at another host.
    pub fn pull_rows(self: &Rc<Self>, from: HostId, address: &HostAddress) {
        let link = self.link_to(address);
        let hub = Rc::clone(self);
        async_std::task::spawn_local(async move {
            let outcome = timeout(CALL_TIMEOUT, hub.call_pull(&link)).await;
            if let Ok(Ok(rows)) = outcome
                && !rows.is_empty()
            {
                hub.handle_event(Event::RowsReceived { from, rows });
            }
        });
    }

    async fn call_pull(&self, link: &PeerLink) -> Result<Vec<VersionedRow>, LinkError> {
        let client = link.client(&self.settings.peer_secret).await?;
        let mut request = client.pull_request();
        {
            let core = self.core.borrow();
            let known = row_versions(core.rows());
            let mut list = request.get().init_known(known.len() as u32);
            for (index, (key, version)) in known.iter().enumerate() {
                let mut entry = list.reborrow().get(index as u32);
                entry.set_key(key.as_str());
                entry.set_version(version.0);
            }
        }
        let response = request.send().promise.await?;
        Ok(read_rows(response.get()?.get_rows()?)?)
    }

    /// Requests the body of a sheet version from another host; returns `None` if it does
    /// not have it or the call fails.
    pub async fn pull_sheet(&self, address: &HostAddress, version: Version) -> Option<Vec<u8>> {
        let link = self.link_to(address);
        let outcome = timeout(SHEET_TIMEOUT, self.call_sheet(&link, version)).await;
        outcome.ok()?.ok()?
    }

    async fn call_sheet(
        &self,
        link: &PeerLink,
        version: Version,
    ) -> Result<Option<Vec<u8>>, LinkError> {
        let client = link.client(&self.settings.peer_secret).await?;
        let mut request = client.sheet_request();
        request.get().set_version(version.0);
        let response = request.send().promise.await?;
        let results = response.get()?;
        if !results.get_found() {
            return Ok(None);
        }
        Ok(Some(results.get_body()?.to_vec()))
    }
}

fn row_versions(rows: &RowCache) -> Vec<(String, Version)> {
    let versions = rows.iter().map(|row| {
        let key = row.key.to_string();
        (key, row.version)
    });
    versions.collect()
}
