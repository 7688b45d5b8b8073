//! The platform's services over HTTP.

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

/// After which the platform's own address is tried again.
const DIRECT_RETRY: Duration = Duration::from_secs(5);

/// A client of the platform's table, object store and host list.
///
/// Several paths lead there: the platform's own address first, then relays
/// through other failure domains. A path that does not answer is passed over by
/// later requests until another one fails too or some time has gone by.
#[derive(Clone, Debug)]
pub struct HttpPlatform {
    shared: Arc<PlatformPaths>,
}

#[derive(Debug)]
struct PlatformPaths {
    direct: JsonClient,
    relays: RwLock<Vec<JsonClient>>,
    preferred: Mutex<PreferredPath>,
}

/// The path that requests take first.
#[derive(Clone, Copy, Debug)]
struct PreferredPath {
    index: usize,
    since: Instant,
}

impl HttpPlatform {
    /// Builds a client of the platform at `address`, with fixed relays to it.
    pub fn new(address: &str, relays: &[String], limit: Duration) -> Self {
        let relays = relays.iter().map(|relay| JsonClient::new(relay, limit));
        Self {
            shared: Arc::new(PlatformPaths {
                direct: JsonClient::new(address, limit),
                relays: RwLock::new(relays.collect()),
                preferred: Mutex::new(PreferredPath {
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

    /// Returns the addresses of the present relays.
    pub fn relay_addresses(&self) -> Vec<String> {
        let relays = self.shared.relays.read();
        relays
            .iter()
            .map(|relay| relay.address().to_owned())
            .collect()
    }

    /// Returns all paths with their numbers, the preferred one first.
    fn paths(&self) -> Vec<(usize, JsonClient)> {
        let mut paths = vec![(0, self.shared.direct.clone())];
        for (index, relay) in self.shared.relays.read().iter().enumerate() {
            paths.push((index + 1, relay.clone()));
        }
        let mut preferred = self.shared.preferred.lock();
        if preferred.since.elapsed() > DIRECT_RETRY {
            preferred.index = 0;
        }
        let first = preferred.index % paths.len();
        paths.rotate_left(first);
        paths
    }

    fn note_answer(&self, index: usize) {
        let mut preferred = self.shared.preferred.lock();
        if preferred.index != index {
            *preferred = PreferredPath {
                index,
                since: Instant::now(),
            };
        }
    }

    fn note_silence(&self, index: usize) {
        self.note_answer(index + 1);
    }

    /// Sends a request that may be repeated, by one path after the other.
    async fn send_safe(
        &self,
        method: Method,
        path: &str,
        body: &[u8],
    ) -> Result<JsonReply, StoreError> {
        let mut failure = String::new();
        for (index, client) in self.paths() {
            match client.send(method, path, body).await {
                Ok(reply) => {
                    self.note_answer(index);
                    return Ok(reply);
                }
                Err(error) => failure = error.to_string(),
            }
        }
        Err(StoreError::Unavailable(failure))
    }

    async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, StoreError> {
        parse(&self.send_safe(Method::Get, path, &[]).await?)
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
            for (index, client) in self.paths() {
                match client.send(Method::Post, "/table/commit", &body).await {
                    Ok(reply) => {
                        self.note_answer(index);
                        return parse_commit(&reply);
                    }
                    Err(ClientError::NotSent(why)) => failure = StoreError::Unavailable(why),
                    Err(ClientError::NoAnswer(why)) => {
                        self.note_silence(index);
                        return Err(CommitError::Unknown(why));
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
            let reply = self.send_safe(Method::Put, &path, body).await?;
            if reply.is_success() {
                return Ok(());
            }
            Err(refusal(&reply))
        }
        .boxed()
    }

    fn get<'a>(&'a self, name: &'a str) -> StoreFuture<'a, Option<Vec<u8>>> {
        async move {
            let path = format!("/objects/{name}");
            let reply = self.send_safe(Method::Get, &path, &[]).await?;
            match reply.status {
                200 => Ok(Some(reply.body)),
                404 => Ok(None),
                _ => Err(refusal(&reply)),
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
        return Err(refusal(reply));
    }
    reply
        .parse()
        .map_err(|error| StoreError::Invalid(error.to_string()))
}

fn refusal(reply: &JsonReply) -> StoreError {
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
        400 | 429 | 503 => Err(CommitError::NotAttempted(refusal(reply))),
        status => Err(CommitError::Unknown(format!("status {status}"))),
    }
}
