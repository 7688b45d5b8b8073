//! HTTP client for the platform's services.

use crate::{
    ClientError, CommitError, HostLister, JsonClient, JsonReply, ObjectStore, RowCheck, StoreError,
    StoreFuture, StoreRow, StoreTransaction, TableStore,
};
use futures::FutureExt;
use http_types::Method;
use parking_lot::{Mutex, RwLock};
use serde::de::DeserializeOwned;
use serde_json::Value;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Time after which the platform's own address is preferred again.
const DIRECT_RETRY_INTERVAL: Duration = Duration::from_secs(5);

/// A client for the platform's table, object store and host list.
///
/// The platform has several endpoints: its own address, and relays through other
/// failure domains. Requests are sent to the preferred endpoint first. This is the
/// platform's own address at first, then the endpoint that answered last, or the one
/// after an endpoint that left a commit unanswered. After some time, the platform's own
/// address is preferred again.
#[derive(Clone, Debug)]
pub struct HttpPlatform {
    shared: Arc<PlatformEndpoints>,
}

#[derive(Debug)]
struct PlatformEndpoints {
    direct: JsonClient,
    relays: RwLock<Vec<JsonClient>>,
    preferred: Mutex<PreferredEndpoint>,
}

/// The endpoint that requests are sent to first.
#[derive(Clone, Copy, Debug)]
struct PreferredEndpoint {
    index: usize,
    since: Instant,
}

impl HttpPlatform {
    /// Creates a client for the platform at `address`, with initial relays.
    pub fn new(address: &str, relays: &[String], timeout: Duration) -> Self {
        let relays = relays.iter().map(|relay| JsonClient::new(relay, timeout));
        Self {
            shared: Arc::new(PlatformEndpoints {
                direct: JsonClient::new(address, timeout),
                relays: RwLock::new(relays.collect()),
                preferred: Mutex::new(PreferredEndpoint {
                    index: 0,
                    since: Instant::now(),
                }),
            }),
        }
    }

    /// Replaces the relays.
    pub fn set_relays(&self, relays: Vec<JsonClient>) {
        *self.shared.relays.write() = relays;
    }

    /// Returns the addresses of the current relays.
    pub fn relay_addresses(&self) -> Vec<String> {
        let relays = self.shared.relays.read();
        relays
            .iter()
            .map(|relay| relay.address().to_owned())
            .collect()
    }

    /// Returns all endpoints with their indexes, the preferred one first; index 0 is
    /// the platform's own address.
    fn endpoints(&self) -> Vec<(usize, JsonClient)> {
        let mut endpoints = vec![(0, self.shared.direct.clone())];
        for (index, relay) in self.shared.relays.read().iter().enumerate() {
            endpoints.push((index + 1, relay.clone()));
        }
        let mut preferred = self.shared.preferred.lock();
        if preferred.since.elapsed() > DIRECT_RETRY_INTERVAL {
            preferred.index = 0;
        }
        let first = preferred.index % endpoints.len();
        endpoints.rotate_left(first);
        endpoints
    }

    /// Makes an endpoint that answered the preferred one.
    fn record_answer(&self, index: usize) {
        let mut preferred = self.shared.preferred.lock();
        if preferred.index != index {
            *preferred = PreferredEndpoint {
                index,
                since: Instant::now(),
            };
        }
    }

    /// Makes the next endpoint the preferred one, after one that did not answer.
    fn record_no_answer(&self, index: usize) {
        self.record_answer(index + 1);
    }

    /// Sends a request that may be repeated to one endpoint after another, until one
    /// answers.
    async fn send_repeatable(
        &self,
        method: Method,
        path: &str,
        body: &[u8],
    ) -> Result<JsonReply, StoreError> {
        let mut failure = String::new();
        for (index, client) in self.endpoints() {
            match client.send(method, path, body).await {
                Ok(reply) => {
                    self.record_answer(index);
                    return Ok(reply);
                }
                Err(error) => failure = error.to_string(),
            }
        }
        Err(StoreError::Unavailable(failure))
    }

    async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, StoreError> {
        parse(&self.send_repeatable(Method::Get, path, &[]).await?)
    }
}

impl TableStore for HttpPlatform {
    fn scan<'a>(&'a self, prefixes: &'a [&'a str]) -> StoreFuture<'a, Vec<StoreRow>> {
        async move {
            let path = format!("/table/scan?prefixes={}", prefixes.join(","));
            self.get(&path).await
        }
        .boxed()
    }

    fn read<'a>(&'a self, keys: &'a [String]) -> StoreFuture<'a, Vec<StoreRow>> {
        async move {
            let path = format!("/table/rows?keys={}", keys.join(","));
            self.get(&path).await
        }
        .boxed()
    }

    fn commit<'a>(
        &'a self,
        transaction: &'a StoreTransaction,
    ) -> StoreFuture<'a, Vec<RowCheck>, CommitError> {
        async move {
            let body = serde_json::to_vec(transaction).map_err(|error| {
                CommitError::NotAttempted(StoreError::Invalid(error.to_string()))
            })?;
            let mut failure = StoreError::Unavailable("no path".to_owned());
            for (index, client) in self.endpoints() {
                match client.send(Method::Post, "/table/commit", &body).await {
                    Ok(reply) => {
                        self.record_answer(index);
                        return parse_commit(&reply);
                    }
                    Err(ClientError::NotSent(reason)) => failure = StoreError::Unavailable(reason),
                    Err(ClientError::NoAnswer(reason)) => {
                        self.record_no_answer(index);
                        return Err(CommitError::Unknown(reason));
                    }
                }
            }
            Err(CommitError::NotAttempted(failure))
        }
        .boxed()
    }
}

impl ObjectStore for HttpPlatform {
    fn put<'a>(&'a self, name: &'a str, body: &'a [u8]) -> StoreFuture<'a, ()> {
        async move {
            let path = format!("/objects/{name}");
            let reply = self.send_repeatable(Method::Put, &path, body).await?;
            if reply.is_success() {
                return Ok(());
            }
            Err(status_error(&reply))
        }
        .boxed()
    }

    fn get<'a>(&'a self, name: &'a str) -> StoreFuture<'a, Option<Vec<u8>>> {
        async move {
            let path = format!("/objects/{name}");
            let reply = self.send_repeatable(Method::Get, &path, &[]).await?;
            match reply.status {
                200 => Ok(Some(reply.body)),
                404 => Ok(None),
                _ => Err(status_error(&reply)),
            }
        }
        .boxed()
    }
}

impl HostLister for HttpPlatform {
    fn list<'a>(&'a self, domain: &'a str) -> StoreFuture<'a, Value> {
        async move { self.get(&format!("/hosts?domain={domain}")).await }.boxed()
    }
}

fn parse<T: DeserializeOwned>(reply: &JsonReply) -> Result<T, StoreError> {
    if !reply.is_success() {
        return Err(status_error(reply));
    }
    reply
        .parse()
        .map_err(|error| StoreError::Invalid(error.to_string()))
}

fn status_error(reply: &JsonReply) -> StoreError {
    if reply.status == 429 {
        return StoreError::RateLimited;
    }
    StoreError::Unavailable(format!("status {}", reply.status))
}

fn parse_commit(reply: &JsonReply) -> Result<Vec<RowCheck>, CommitError> {
    if reply.is_success() {
        return reply
            .parse()
            .map_err(|error| CommitError::Unknown(error.to_string()));
    }
    match reply.status {
        409 => Err(CommitError::Conflict(reply.parse().unwrap_or_default())),
        400 | 429 | 503 => Err(CommitError::NotAttempted(status_error(reply))),
        status => Err(CommitError::Unknown(format!("status {status}"))),
    }
}
