//! Access to the platform through hosts in other failure domains.

use crate::hub::ControlHub;
use futures::FutureExt;
use futures::future::BoxFuture;
use gate::{PLATFORM_PREFIX, PlatformRelay};
use http_types::Method;
use kernel::Moment;
use std::str::FromStr;
use std::time::Duration;
use store::{JsonClient, JsonReply};

/// Maximum number of relays that a host selects at a time.
const MAX_RELAYS: usize = 2;

/// Relays other hosts' requests to the platform over this host's own connection.
#[derive(Clone, Debug)]
pub(crate) struct DirectRelay {
    client: JsonClient,
}

impl DirectRelay {
    pub fn new(address: &str, timeout: Duration) -> Self {
        Self {
            client: JsonClient::new(address, timeout),
        }
    }
}

impl PlatformRelay for DirectRelay {
    fn relay<'a>(
        &'a self,
        method: &'a str,
        path: &'a str,
        body: Vec<u8>,
    ) -> BoxFuture<'a, Option<JsonReply>> {
        async move {
            let method = Method::from_str(method).ok()?;
            self.client.send(method, path, &body).await.ok()
        }
        .boxed()
    }
}

impl ControlHub {
    /// Selects relays among the live hosts of other domains.
    pub fn refresh_relays(&self, now: Moment) {
        if !self.settings.platform.relays.is_empty() {
            // Relays in the settings take precedence.
            return;
        }
        let mut addresses = Vec::new();
        {
            let core = self.core.borrow();
            for (host, peer) in core.peers().live_peers(now) {
                let Some(address) = core.host_address(host) else {
                    continue;
                };
                if peer.heartbeat.domain == self.settings.domain || addresses.len() >= MAX_RELAYS {
                    continue;
                }
                let translated = self.settings.translations.get(&address.peer);
                addresses.push(translated.cloned().unwrap_or(address.peer));
            }
        }
        // If no host of another domain is live, the previous relays may still work.
        if addresses.is_empty() || addresses == self.ports.platform.relay_addresses() {
            return;
        }
        let timeout = Duration::from_millis(self.settings.platform.timeout_ms);
        let clients = addresses.iter().map(|address| {
            let secret = self.settings.peer_secret.clone();
            JsonClient::with_header(address, timeout, "trestle-secret", secret)
                .with_path_prefix(PLATFORM_PREFIX)
        });
        self.ports.platform.set_relays(clients.collect());
    }
}
