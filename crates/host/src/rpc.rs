//! The receiving side of control links.

use crate::hub::ControlHub;
use async_std::net::{TcpListener, TcpStream};
use capnp::Error;
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::{RpcSystem, new_client, twoparty};
use futures::AsyncReadExt;
use gate::PeerSecret;
use indexmap::IndexMap;
use kernel::Version;
use owner::{Event, VersionedRow};
use std::rc::Rc;
use wire::control_capnp::{control, entry};
use wire::{WireError, read_heartbeat, read_rows, write_heartbeat, write_rows};

/// Accepts control links until the scope is closed.
pub(crate) async fn accept_links(hub: Rc<ControlHub>, secret: PeerSecret, listener: TcpListener) {
    loop {
        let stream = h1::accept(&listener, "control").await;
        if hub.scope.is_closed() {
            return;
        }
        serve_link(Rc::clone(&hub), secret.clone(), stream);
    }
}

fn serve_link(hub: Rc<ControlHub>, secret: PeerSecret, stream: TcpStream) {
    let (reader, writer) = stream.split();
    let network = Box::new(twoparty::VatNetwork::new(
        reader,
        writer,
        Side::Server,
        capnp::message::ReaderOptions::default(),
    ));
    let scope = hub.scope.clone();
    let entry: entry::Client = new_client(EntryServer { hub, secret });
    let system = RpcSystem::new(network, Some(entry.client));
    async_std::task::spawn_local(async move {
        // The RPC system ends with the connection or the host.
        futures::future::select(system, Box::pin(scope.closed())).await;
    });
}

/// The bootstrap interface, which requires the deployment's secret.
struct EntryServer {
    hub: Rc<ControlHub>,
    secret: PeerSecret,
}

impl entry::Server for EntryServer {
    async fn enter(
        self: Rc<Self>,
        params: entry::EnterParams,
        mut results: entry::EnterResults,
    ) -> Result<(), Error> {
        if !self.secret.matches(params.get()?.get_secret()?) {
            return Err(Error::failed("wrong secret".to_owned()));
        }
        let control = ControlServer {
            hub: Rc::clone(&self.hub),
        };
        results.get().set_control(new_client(control));
        Ok(())
    }
}

/// The control interface, for hosts that have presented the secret.
struct ControlServer {
    hub: Rc<ControlHub>,
}

impl control::Server for ControlServer {
    async fn beat(
        self: Rc<Self>,
        params: control::BeatParams,
        mut results: control::BeatResults,
    ) -> Result<(), Error> {
        let heartbeat =
            read_heartbeat(params.get()?.get_beat()?).map_err(|error| to_rpc_error(&error))?;
        self.hub.apply_heartbeat_payload(&heartbeat);
        self.hub.handle_event(Event::HeartbeatReceived(heartbeat));
        self.write_own_heartbeat(results.get().init_beat());
        Ok(())
    }

    async fn push(
        self: Rc<Self>,
        params: control::PushParams,
        mut results: control::PushResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let rows = read_rows(params.get_rows()?).map_err(|error| to_rpc_error(&error))?;
        let from = params.get_from()?.to_str()?.into();
        self.hub.handle_event(Event::RowsReceived { from, rows });
        self.write_own_heartbeat(results.get().init_beat());
        Ok(())
    }

    async fn pull(
        self: Rc<Self>,
        params: control::PullParams,
        mut results: control::PullResults,
    ) -> Result<(), Error> {
        let mut known = IndexMap::new();
        for entry in params.get()?.get_known()? {
            let key = entry.get_key()?.to_str()?.to_owned();
            known.insert(key, Version(entry.get_version()));
        }
        let newer = self.newer_rows(&known);
        write_rows(results.get().init_rows(newer.len() as u32), &newer);
        Ok(())
    }

    async fn sheet(
        self: Rc<Self>,
        params: control::SheetParams,
        mut results: control::SheetResults,
    ) -> Result<(), Error> {
        let requested = Version(params.get()?.get_version());
        let body = self.hub.sheet_body.borrow();
        let found = body.as_ref().filter(|(version, _)| *version == requested);
        let mut reply = results.get();
        reply.set_found(found.is_some());
        if let Some((_, body)) = found {
            reply.set_body(body);
        }
        Ok(())
    }
}

impl ControlServer {
    fn write_own_heartbeat(&self, builder: wire::control_capnp::beat::Builder<'_>) {
        let now = self.hub.clock.now();
        write_heartbeat(builder, &self.hub.core.borrow().heartbeat(now));
    }

    fn newer_rows(&self, known: &IndexMap<String, Version>) -> Vec<VersionedRow> {
        let mut rows = self.hub.core.borrow().all_rows();
        rows.retain(|row| {
            let known = known.get(&row.key.to_string());
            known.is_none_or(|version| row.version > *version)
        });
        rows
    }
}

fn to_rpc_error(error: &WireError) -> Error {
    Error::failed(error.to_string())
}
