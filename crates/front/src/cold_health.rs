//! Questions of the leader to upstreams that returned: how much longer they stay cold.

use crate::dispatch::Dispatcher;
use async_std::future::timeout;
use cold::HeldToken;
use fleet::UpstreamEntry;
use h1::{Connection, HeadLimits, HeaderList, encode_request_head};
use log::info;
use std::time::Duration;

/// Timeout of a question; the health path answers at once.
const HEALTH_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum size of an answer's body, in bytes.
const MAX_BODY_BYTES: u64 = 16 << 10;

/// A question that the leader may send now.
#[derive(Debug)]
pub(crate) struct HealthCheck {
    pub entry: UpstreamEntry,
    pub path: String,
    /// The question counts as a request.
    pub token: HeldToken,
}

impl Dispatcher {
    /// Asks an upstream's health path, and records what the response says of a cold start.
    pub(crate) async fn check_health(self, check: HealthCheck) {
        let HealthCheck { entry, path, token } = check;
        let asked = timeout(HEALTH_TIMEOUT, self.ask_health(&entry, &path, token)).await;
        let remaining_ms = asked.ok().flatten();
        info!(
            target: "cold",
            "upstream={} run={} health_remaining_ms={}",
            entry.id, entry.started_at_ms, remaining_ms.map_or(-1, u64::cast_signed),
        );
        if let Some(remaining_ms) = remaining_ms {
            self.state.cold.record_response(&entry, remaining_ms);
        }
    }

    /// Returns the cold time in the response, if there is one.
    async fn ask_health(&self, entry: &UpstreamEntry, path: &str, token: HeldToken) -> Option<u64> {
        let stream = h1::dial(entry.address, crate::pool::CONNECT_TIMEOUT).await;
        let mut connection = Connection::new(stream.ok()?);
        if !token.is_valid(self.state.clock.now()) {
            return None;
        }
        let names = &self.state.exchanger.names;
        let mut headers = HeaderList::new();
        headers.push("host", entry.address.to_string());
        headers.push(names.target_upstream, entry.id.as_str());
        let bytes = encode_request_head("GET", path, &headers);
        connection.write(&bytes).await.ok()?;
        let limits = HeadLimits::default();
        let head = connection.read_response(&limits, "GET").await.ok()?;
        let answered_by = head.headers.get(names.upstream);
        let is_own = answered_by.is_none_or(|id| id == entry.id.as_str());
        connection
            .read_whole_body(head.body, MAX_BODY_BYTES)
            .await
            .ok()?;
        if head.status == 421 || !is_own {
            return None;
        }
        head.headers.get_number(names.cold)
    }
}
