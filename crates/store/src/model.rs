//! Traits and messages of the platform's services.

use futures::future::BoxFuture;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::fmt;

/// A future that a platform service returns.
pub type StoreFuture<'a, T, E = StoreError> = BoxFuture<'a, Result<T, E>>;

/// A row of the table.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StoreRow {
    /// The row's key.
    pub key: String,
    /// Counted by the table from 1 with each write.
    pub version: u64,
    /// The row's value.
    pub value: Value,
}

/// A row that must have a version for a transaction to commit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowCheck {
    /// The row's key.
    pub key: String,
    /// The version; 0 when the row must be absent.
    pub version: u64,
}

/// A row's new value.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RowUpdate {
    /// The row's key.
    pub key: String,
    /// The new value; `null` deletes the row.
    pub value: Value,
}

/// Writes that take effect together if every check holds.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StoreTransaction {
    /// Conditions.
    pub checks: Vec<RowCheck>,
    /// Writes.
    pub writes: Vec<RowUpdate>,
}

impl StoreTransaction {
    /// Adds a condition.
    pub fn check(&mut self, key: &str, version: u64) {
        self.checks.push(RowCheck {
            key: key.to_owned(),
            version,
        });
    }

    /// Adds a write over a known version.
    pub fn write(&mut self, key: &str, base: u64, value: Value) {
        self.check(key, base);
        self.writes.push(RowUpdate {
            key: key.to_owned(),
            value,
        });
    }
}

/// A read or an object write that failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreError {
    /// The service can't be reached or did not answer.
    Unavailable(String),
    /// The service refused because of its rate limit.
    RateLimited,
    /// The service's answer was not understood.
    Invalid(String),
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unavailable(why) => write!(f, "platform unavailable: {why}"),
            Self::RateLimited => f.write_str("platform refused: rate limit reached"),
            Self::Invalid(why) => write!(f, "platform answer not understood: {why}"),
        }
    }
}

impl std::error::Error for StoreError {}

/// A transaction that did not commit, as far as is known.
#[derive(Clone, Debug, PartialEq)]
pub enum CommitError {
    /// Rows had other versions; nothing took effect.
    Conflict(Vec<StoreRow>),
    /// The transaction was refused before it was tried.
    NotAttempted(StoreError),
    /// No answer; it may have taken effect, or may yet.
    Unknown(String),
}

impl fmt::Display for CommitError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Conflict(rows) => write!(f, "conflict on {} rows", rows.len()),
            Self::NotAttempted(error) => write!(f, "not tried: {error}"),
            Self::Unknown(why) => write!(f, "outcome unknown: {why}"),
        }
    }
}

impl std::error::Error for CommitError {}

/// The transactional table.
pub trait TableStore: Send + Sync + fmt::Debug {
    /// Reads all rows whose key starts with one of `prefixes`.
    fn scan<'a>(&'a self, prefixes: &'a [&'a str]) -> StoreFuture<'a, Vec<StoreRow>>;

    /// Reads rows by key; absent rows are left out.
    fn read<'a>(&'a self, keys: &'a [String]) -> StoreFuture<'a, Vec<StoreRow>>;

    /// Commits a transaction and returns the new versions of the written rows.
    fn commit<'a>(
        &'a self,
        transaction: &'a StoreTransaction,
    ) -> StoreFuture<'a, Vec<RowCheck>, CommitError>;
}

/// The object store.
pub trait ObjectStore: Send + Sync + fmt::Debug {
    /// Stores an object; storing the same name again is harmless.
    fn put<'a>(&'a self, name: &'a str, body: &'a [u8]) -> StoreFuture<'a, ()>;

    /// Reads an object; `None` when there is none of that name.
    fn get<'a>(&'a self, name: &'a str) -> StoreFuture<'a, Option<Vec<u8>>>;
}

/// The platform's lagging list of hosts, as JSON.
pub trait HostLister: Send + Sync + fmt::Debug {
    /// Reads the list as seen from a failure domain.
    fn list<'a>(&'a self, domain: &'a str) -> StoreFuture<'a, Value>;
}
