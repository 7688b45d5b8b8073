//! Calls to upstreams that grant, renew and release keys.

use crate::adapter::{HeaderNames, UserPlatform};
use crate::pool::{CONNECT_TIMEOUT, ConnectionChoice, ConnectionPool};
use async_std::future::timeout;
use async_std::net::TcpStream;
use grant::{CallKind, CallReply, GrantCall, GrantTiming};
use h1::{Connection, HeadLimits, HeaderList, encode_request_head};
use kernel::Clock;
use log::{info, warn};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Timeout of a release, whose reply comes when the running requests have ended; the
/// longest take a few seconds.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum number of idle connections to one upstream; most have one range of keys.
const MAX_IDLE_CONNECTIONS: u32 = 2;
/// Maximum size of a reply, in bytes.
const MAX_REPLY_BYTES: u64 = 16 << 10;

/// Sends the leader's calls to upstreams.
#[derive(Clone, Debug)]
pub(crate) struct GrantClient {
    pub platform: Arc<dyn UserPlatform>,
    pub clock: Arc<dyn Clock>,
    pub pool: Arc<ConnectionPool>,
    pub timing: GrantTiming,
}

impl GrantClient {
    /// Makes a call; it is not sent if `is_valid` returns false, which says that the
    /// lease has ended.
    pub(crate) async fn call(
        &self,
        address: Option<SocketAddr>,
        call: &GrantCall,
        is_valid: &(dyn Fn() -> bool + Send + Sync),
    ) -> CallReply {
        let Some(address) = address else {
            return CallReply::Unreachable;
        };
        let sent_at = self.clock.now();
        let reply = self.exchange(address, call, is_valid).await;
        let kind = match &call.kind {
            CallKind::Grant { .. } => "grant",
            CallKind::Release => "release",
            CallKind::Probe => "probe",
        };
        let is_granted = reply == CallReply::Granted;
        if !is_granted {
            info!(
                target: "grant",
                "call={kind} upstream={} keys={}..{} epoch={} reply={reply:?} took_ms={}",
                call.holder.upstream, call.first, call.last, call.epoch,
                (self.clock.now() - sent_at).as_millis(),
            );
        }
        reply
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        call: &GrantCall,
        is_valid: &(dyn Fn() -> bool + Send + Sync),
    ) -> CallReply {
        let now = self.clock.now();
        let id = &call.holder.upstream;
        // A copy of an earlier release's answer would pass for the answer, and the keys
        // would be granted elsewhere while the upstream is at work on them.
        let choice = match call.kind {
            CallKind::Release => ConnectionChoice::New,
            CallKind::Grant { .. } | CallKind::Probe => ConnectionChoice::Idle,
        };
        let connected = self
            .pool
            .take(now, id, address, choice, CONNECT_TIMEOUT)
            .await;
        let mut ready = match connected {
            Ok(ready) => ready,
            Err(error) => {
                warn!(target: "grant", "upstream={id} address={address} error=\"{error}\"");
                return CallReply::Unreachable;
            }
        };
        let Some(message) = self.platform.encode_call(call) else {
            return CallReply::Reached;
        };
        // Connecting took time; a grant must not be sent after the lease has ended.
        if !is_valid() || self.clock.now() > call.send_deadline {
            self.pool
                .put(self.clock.now(), id, ready, None, MAX_IDLE_CONNECTIONS);
            return CallReply::Unsent;
        }
        let names = self.platform.headers();
        let mut headers = HeaderList::new();
        headers.push("host", address.to_string());
        headers.push(names.target_upstream, id.as_str());
        headers.push("content-type", "application/json");
        headers.push("content-length", message.body.len().to_string());
        let mut bytes = encode_request_head(message.method, message.target, &headers);
        bytes.extend_from_slice(&message.body);
        let max_wait = match call.kind {
            CallKind::Release => RELEASE_TIMEOUT,
            CallKind::Grant { .. } | CallKind::Probe => self.timing.call_timeout,
        };
        let exchanging = exchange_on(&mut ready.connection, &bytes, names);
        match timeout(max_wait, exchanging).await {
            // It may be a copy of an earlier answer. The next call, over a new connection,
            // shows whether the holder has ended.
            Ok(Ok((CallReply::Ended, _))) if !ready.is_new => self.pool.clear(id),
            Ok(Ok((reply, keeps_alive))) => {
                if keeps_alive {
                    self.pool
                        .put(self.clock.now(), id, ready, None, MAX_IDLE_CONNECTIONS);
                }
                return reply;
            }
            Ok(Err(_)) | Err(_) => {}
        }
        h1::reset(ready.connection.stream());
        CallReply::Unanswered
    }
}

async fn exchange_on(
    connection: &mut Connection<TcpStream>,
    bytes: &[u8],
    names: &HeaderNames,
) -> h1::Result<(CallReply, bool)> {
    connection.write(bytes).await?;
    let head = connection
        .read_response(&HeadLimits::default(), "POST")
        .await?;
    connection
        .read_whole_body(head.body, MAX_REPLY_BYTES)
        .await?;
    let handover = head.headers.get(names.handover).map(str::to_owned);
    let reply = match head.status {
        200 => CallReply::Granted,
        409 => CallReply::Superseded,
        421 => CallReply::Ended,
        status => CallReply::Rejected(status),
    };
    let reply = match (reply, handover) {
        (CallReply::Granted, Some(token)) => CallReply::Released(Some(token)),
        (reply, _) => reply,
    };
    Ok((reply, head.keeps_alive))
}
