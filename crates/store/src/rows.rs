//! A table store with versions, change feeds and conditional writes.

use crate::{StoreError, StoreFuture};
use std::fmt;
use std::time::Duration;

/// Names a row.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RowName {
    /// The table.
    pub table: String,
    /// The key within the table.
    pub key: String,
}

impl RowName {
    /// Builds a name.
    pub fn new(table: &str, key: &str) -> Self {
        Self {
            table: table.to_owned(),
            key: key.to_owned(),
        }
    }
}

/// A row, or the news that it was removed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TableRow {
    /// The key within its table.
    pub key: String,
    /// The value; absent when the row was removed.
    pub value: Option<Vec<u8>>,
    /// The version of the write that set it.
    pub version: u64,
}

/// Rows of one moment.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RowPage {
    /// The rows.
    pub rows: Vec<TableRow>,
    /// The store's newest version; a feed goes on after it.
    pub version: u64,
    /// The store's steady clock, in milliseconds.
    pub store_now_ms: u64,
}

/// What a feed returns.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FeedReply {
    /// Rows that changed, perhaps none.
    Changes(RowPage),
    /// The store has forgotten what changed; the table has to be read anew.
    HistoryGone,
}

/// A conditional write; all of it is done, or nothing.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RowWrite {
    /// Rows with the version that each must have; 0 when it must be absent.
    pub checks: Vec<(RowName, u64)>,
    /// Rows to set.
    pub sets: Vec<(RowName, Vec<u8>)>,
}

/// What the store says of a write that it made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WriteReceipt {
    /// The version of the rows written.
    pub version: u64,
    /// The store's steady clock, in milliseconds.
    pub store_now_ms: u64,
}

/// A write that was not confirmed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteError {
    /// A row has another version; nothing was done.
    Conflict,
    /// Nothing was done.
    NotApplied(StoreError),
    /// It may have been done, or may be done yet while its conditions hold.
    Unknown(String),
}

impl fmt::Display for WriteError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Conflict => f.write_str("a row has another version"),
            Self::NotApplied(error) => write!(f, "not done: {error}"),
            Self::Unknown(why) => write!(f, "outcome unknown: {why}"),
        }
    }
}

impl std::error::Error for WriteError {}

/// A table store with versions, change feeds and conditional writes.
pub trait RowStore: Send + Sync + fmt::Debug {
    /// Reads all rows of a table.
    fn list<'a>(&'a self, table: &'a str) -> StoreFuture<'a, RowPage>;

    /// Waits up to `wait` for rows of a table that changed after a version.
    fn feed<'a>(&'a self, table: &'a str, after: u64, wait: Duration)
    -> StoreFuture<'a, FeedReply>;

    /// Writes rows under conditions.
    fn write<'a>(&'a self, write: &'a RowWrite) -> StoreFuture<'a, WriteReceipt, WriteError>;
}
