//! The platform by way of other failure domains.

use crate::hub::ControlHub;
use futures::FutureExt;
use futures::future::BoxFuture;
use gate::{PLATFORM_PREFIX, PlatformRelay};
use http_types::Method;
use kernel::Moment;
use std::str::FromStr;
use std::time::Duration;
use store::{JsonClient, JsonReply};

/// Relays that a host knows at a time.
const MOST_RELAYS: usize = 2;

/// Passes other hosts' requests on to the platform as this host reaches it.
#[derive(Clone, Debug)]
pub(crate) struct DirectRelay {
    client: JsonClient,
}

impl DirectRelay {
    pub fn new(address: &str, limit: Duration) -> Self {
        Self {
            client: JsonClient::new(address, limit),
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
    /// Chooses relays among the hosts of other domains that are heard.
    pub fn refresh_relays(&self, now: Moment) {
        if !self.settings.platform.relays.is_empty() {
            // The operator has chosen.
            return;
        }
        let mut addresses = Vec::new();
        {
            let core = self.core.borrow();
            for (host, peer) in core.peers().live_peers(now) {
                let Some(address) = core.address_of(host) else {
                    continue;
                };
                if peer.heartbeat.domain == self.settings.domain || addresses.len() >= MOST_RELAYS {
                    continue;
                }
                let reached = self.settings.translations.get(&address.peer);
                addresses.push(reached.cloned().unwrap_or(address.peer));
            }
        }
        // Without a word from other domains the relays known before may still do.
        if addresses.is_empty() || addresses == self.ports.platform.relay_addresses() {
            return;
        }
        let limit = Duration::from_millis(self.settings.platform.timeout_ms);
        let clients = addresses.iter().map(|address| {
            let secret = self.settings.peer_secret.clone();
            JsonClient::with_header(address, limit, "trestle-secret", secret)
                .with_path_prefix(PLATFORM_PREFIX)
        });
        self.ports.platform.set_relays(clients.collect());
    }
}
