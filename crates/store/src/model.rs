//! Traits and data types of the platform's services.

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
    /// The row's version, which the table sets to 1 and increments with each write.
    pub version: u64,
    /// The row's value.
    pub value: Value,
}

/// A condition of a transaction: the row must have this version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowCheck {
    /// The row's key.
    pub key: String,
    /// The version; 0 if the row must be absent.
    pub version: u64,
}

/// A write of a row's value.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RowUpdate {
    /// The row's key.
    pub key: String,
    /// The new value; `null` deletes the row.
    pub value: Value,
}

/// Writes that take effect together if every check succeeds.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StoreTransaction {
    /// Versions that the rows must have.
    pub checks: Vec<RowCheck>,
    /// Writes to apply.
    pub writes: Vec<RowUpdate>,
}

impl StoreTransaction {
    /// Adds a check that the row has `version`.
    pub fn check(&mut self, key: &str, version: u64) {
        self.checks.push(RowCheck {
            key: key.to_owned(),
            version,
        });
    }

    /// Adds a write that is conditional on the row's version `base_version`.
    pub fn write(&mut self, key: &str, base_version: u64, value: Value) {
        self.check(key, base_version);
        self.writes.push(RowUpdate {
            key: key.to_owned(),
            value,
        });
    }
}

/// Why a read or an object write failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreError {
    /// The service can't be reached or did not answer.
    Unavailable(String),
    /// The service refused the request because of its rate limit.
    RateLimited,
    /// The service's answer could not be parsed.
    Invalid(String),
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unavailable(reason) => write!(f, "platform unavailable: {reason}"),
            Self::RateLimited => f.write_str("platform refused: rate limit reached"),
            Self::Invalid(reason) => write!(f, "platform answer not understood: {reason}"),
        }
    }
}

impl std::error::Error for StoreError {}

/// Why a transaction is not known to be committed.
#[derive(Clone, Debug, PartialEq)]
pub enum CommitError {
    /// Rows had other versions; nothing took effect. Contains the current rows.
    Conflict(Vec<StoreRow>),
    /// The transaction was not attempted; nothing took effect.
    NotAttempted(StoreError),
    /// There was no valid answer; the transaction may have taken effect, or may still
    /// do so.
    Unknown(String),
}

impl fmt::Display for CommitError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Conflict(rows) => write!(f, "version conflict on {} rows", rows.len()),
            Self::NotAttempted(error) => write!(f, "not attempted: {error}"),
            Self::Unknown(reason) => write!(f, "outcome unknown: {reason}"),
        }
    }
}

impl std::error::Error for CommitError {}

/// The transactional table.
pub trait TableStore: Send + Sync + fmt::Debug {
    /// Reads all rows whose keys start with one of `prefixes`.
    fn scan<'a>(&'a self, prefixes: &'a [&'a str]) -> StoreFuture<'a, Vec<StoreRow>>;

    /// Reads rows by key; absent rows are omitted.
    fn read<'a>(&'a self, keys: &'a [String]) -> StoreFuture<'a, Vec<StoreRow>>;

    /// Commits a transaction and returns the new versions of the written rows.
    fn commit<'a>(
        &'a self,
        transaction: &'a StoreTransaction,
    ) -> StoreFuture<'a, Vec<RowCheck>, CommitError>;
}

/// The object store.
pub trait ObjectStore: Send + Sync + fmt::Debug {
    /// Stores an object; storing the same object again has no effect.
    fn put<'a>(&'a self, name: &'a str, body: &'a [u8]) -> StoreFuture<'a, ()>;

    /// Reads an object; returns `None` if there is none of that name.
    fn get<'a>(&'a self, name: &'a str) -> StoreFuture<'a, Option<Vec<u8>>>;
}

/// The platform's list of hosts as JSON, which may be out of date.
pub trait HostLister: Send + Sync + fmt::Debug {
    /// Reads the list as it is seen from a failure domain.
    fn list<'a>(&'a self, domain: &'a str) -> StoreFuture<'a, Value>;
}
