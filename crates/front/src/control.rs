//! Calls that grant, renew and release keys at upstreams.

use crate::adapter::{HeaderNames, UserPlatform};
use crate::pool::{CONNECT_LIMIT, ConnectionPool};
use async_std::future::timeout;
use async_std::net::TcpStream;
use grant::{CallKind, CallReply, GrantCall, GrantTiming};
use h1::{Connection, HeadLimits, HeaderList, encode_request_head};
use kernel::Clock;
use log::{info, warn};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Longest wait for the reply to a release, which comes when running work has
/// ended; the longest work takes a few seconds.
const RELEASE_LIMIT: Duration = Duration::from_secs(3);
/// Largest reply to a call, in bytes.
const REPLY_BYTES: u64 = 16 << 10;

/// Makes the leader's calls to upstreams.
#[derive(Clone, Debug)]
pub(crate) struct GrantCaller {
    pub platform: Arc<dyn UserPlatform>,
    pub clock: Arc<dyn Clock>,
    pub pool: Arc<ConnectionPool>,
    pub timing: GrantTiming,
}

impl GrantCaller {
    /// Makes a call; `is_valid` says whether the lease still holds.
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
        let is_usual = reply == CallReply::Granted;
        if !is_usual {
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
        let taken = self.pool.take(now, id, address, false, CONNECT_LIMIT).await;
        let mut connection = match taken {
            Ok(connection) => connection,
            Err(error) => {
                warn!(target: "grant", "upstream={id} address={address} error=\"{error}\"");
                return CallReply::Unreachable;
            }
        };
        let Some(message) = self.platform.encode_call(call) else {
            return CallReply::Reached;
        };
        // Connecting took time; a grant must not leave after the lease's end.
        if !is_valid() || self.clock.now() > call.send_deadline {
            return CallReply::Unreachable;
        }
        let names = self.platform.headers();
        let mut headers = HeaderList::new();
        headers.push("host", address.to_string());
        headers.push(names.wanted_upstream, id.as_str());
        headers.push("content-type", "application/json");
        headers.push("content-length", message.body.len().to_string());
        let mut bytes = encode_request_head(message.method, message.target, &headers);
        bytes.extend_from_slice(&message.body);
        let limit = match call.kind {
            CallKind::Release => RELEASE_LIMIT,
            CallKind::Grant { .. } | CallKind::Probe => self.timing.call_timeout,
        };
        let exchanging = exchange_on(&mut connection, &bytes, names);
        if let Ok(Ok((reply, keeps_alive))) = timeout(limit, exchanging).await {
            if keeps_alive {
                self.pool.keep(self.clock.now(), id, connection, None);
            }
            reply
        } else {
            h1::reset(connection.stream());
            CallReply::Unanswered
        }
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
    connection.read_whole_body(head.body, REPLY_BYTES).await?;
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
