//! The platform's services over HTTP.

use crate::{
    ClientError, CommitError, HostLister, JsonClient, JsonReply, ObjectStore, RowCheck, StoreError,
    StoreFuture, StoreRow, StoreTransaction, TableStore,
};
use futures::FutureExt;
use http_types::Method;
use serde::de::DeserializeOwned;
use serde_json::Value;
use std::time::Duration;

/// A client of the platform's table, object store and host list.
///
/// Several addresses are tried in turn: the platform's own first, then relays
/// through other domains.
#[derive(Clone, Debug)]
pub struct HttpPlatform {
    clients: Vec<JsonClient>,
}

impl HttpPlatform {
    /// Builds a client of the platform at `address` and relays to it.
    pub fn new(address: &str, relays: &[String], limit: Duration) -> Self {
        let mut clients = vec![JsonClient::new(address, limit)];
        for relay in relays {
            clients.push(JsonClient::new(relay, limit));
        }
        Self { clients }
    }

    async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, StoreError> {
        let mut failure = StoreError::Unavailable("no address".to_owned());
        for client in &self.clients {
            match client.send(Method::Get, path, &[]).await {
                Ok(reply) => return parse(&reply),
                Err(error) => failure = StoreError::Unavailable(error.to_string()),
            }
        }
        Err(failure)
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
            let body = serde_json::to_vec(transaction)
                .map_err(|error| CommitError::NotTried(StoreError::Invalid(error.to_string())))?;
            let mut failure = StoreError::Unavailable("no address".to_owned());
            for client in &self.clients {
                match client.send(Method::Post, "/table/commit", &body).await {
                    Ok(reply) => return parse_commit(&reply),
                    Err(ClientError::NotSent(why)) => failure = StoreError::Unavailable(why),
                    Err(ClientError::NoAnswer(why)) => return Err(CommitError::Unknown(why)),
                }
            }
            Err(CommitError::NotTried(failure))
        }
        .boxed()
    }
}

impl ObjectStore for HttpPlatform {
    fn put<'a>(&'a self, name: &'a str, body: &'a [u8]) -> StoreFuture<'a, ()> {
        async move {
            let path = format!("/objects/{name}");
            let mut failure = StoreError::Unavailable("no address".to_owned());
            for client in &self.clients {
                match client.send(Method::Put, &path, body).await {
                    Ok(reply) if reply.is_success() => return Ok(()),
                    Ok(reply) => return Err(refusal(&reply)),
                    Err(error) => failure = StoreError::Unavailable(error.to_string()),
                }
            }
            Err(failure)
        }
        .boxed()
    }

    fn get<'a>(&'a self, name: &'a str) -> StoreFuture<'a, Option<Vec<u8>>> {
        async move {
            let path = format!("/objects/{name}");
            let mut failure = StoreError::Unavailable("no address".to_owned());
            for client in &self.clients {
                match client.send(Method::Get, &path, &[]).await {
                    Ok(reply) if reply.is_success() => return Ok(Some(reply.body)),
                    Ok(reply) if reply.status == 404 => return Ok(None),
                    Ok(reply) => return Err(refusal(&reply)),
                    Err(error) => failure = StoreError::Unavailable(error.to_string()),
                }
            }
            Err(failure)
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
        400 | 429 | 503 => Err(CommitError::NotTried(refusal(reply))),
        status => Err(CommitError::Unknown(format!("status {status}"))),
    }
}
