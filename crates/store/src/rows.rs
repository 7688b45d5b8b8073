//! Trait of a table store with versions, change feeds and conditional writes.

use crate::{StoreError, StoreFuture};
use std::fmt;
use std::time::Duration;

/// The table and key of a row.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RowName {
    /// The table.
    pub table: String,
    /// The key within the table.
    pub key: String,
}

impl RowName {
    /// Creates a row name.
    pub fn new(table: &str, key: &str) -> Self {
        Self {
            table: table.to_owned(),
            key: key.to_owned(),
        }
    }
}

/// Era of a store: it increases each time the store is restored from a copy, when its
/// versions go back and are issued again.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StoreEra(pub u64);

/// Low bits of a version that hold the number which the store issued; the bits above hold
/// the era. A store that issues a million numbers a second reaches the limit after 200
/// days, and there is room for a million eras.
const VERSION_NUMBER_BITS: u32 = 44;

impl StoreEra {
    /// Returns the version for a number that the store issued in this era; `None` if it is
    /// out of range.
    ///
    /// Versions of an era are greater than all of earlier eras, so that what was read
    /// before a restore is older. In era 0, that of stores that tell none, the version is
    /// the number.
    pub fn version(self, number: u64) -> Option<u64> {
        let era = self.0.checked_shl(VERSION_NUMBER_BITS)?;
        let is_valid = number >> VERSION_NUMBER_BITS == 0 && era >> VERSION_NUMBER_BITS == self.0;
        (is_valid || self.0 == 0).then_some(era | number)
    }

    /// Returns the era of a version, and the number that the store issued.
    pub const fn split(version: u64) -> (Self, u64) {
        let number = version & ((1 << VERSION_NUMBER_BITS) - 1);
        (Self(version >> VERSION_NUMBER_BITS), number)
    }
}

/// A row, or a record of its removal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TableRow {
    /// The key within its table.
    pub key: String,
    /// The value; `None` if the row was removed.
    pub value: Option<Vec<u8>>,
    /// The version of the write that set or removed the row.
    pub version: u64,
}

/// Rows as of one version of the store.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RowPage {
    /// The rows.
    pub rows: Vec<TableRow>,
    /// The store's newest version, after which a feed continues.
    pub version: u64,
    /// The store's monotonic clock, in milliseconds.
    pub store_now_ms: u64,
    /// Era of the version; `None` if the store does not tell it.
    pub era: Option<StoreEra>,
}

/// The reply of a change feed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FeedReply {
    /// The rows that changed; may be empty.
    Changes(RowPage),
    /// The store no longer has the changes; the whole table must be read again.
    HistoryUnavailable,
}

/// A conditional write, which is applied as a whole or not at all.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RowWrite {
    /// Rows with the version that each must have; 0 if it must be absent.
    pub checks: Vec<(RowName, u64)>,
    /// Rows to set, with their values.
    pub sets: Vec<(RowName, Vec<u8>)>,
}

/// The store's confirmation of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WriteReceipt {
    /// The version of the written rows.
    pub version: u64,
    /// The store's monotonic clock, in milliseconds.
    pub store_now_ms: u64,
    /// Era of the version; `None` if the store does not tell it.
    pub era: Option<StoreEra>,
}

/// Why a write was not confirmed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteError {
    /// A row has another version; nothing was written.
    Conflict,
    /// Nothing was written.
    NotApplied(StoreError),
    /// The write may have been applied, or may still be applied while its conditions
    /// are met.
    Unknown(String),
}

impl fmt::Display for WriteError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Conflict => f.write_str("version conflict: a row has another version"),
            Self::NotApplied(error) => write!(f, "not applied: {error}"),
            Self::Unknown(reason) => write!(f, "outcome unknown: {reason}"),
        }
    }
}

impl std::error::Error for WriteError {}

/// A table store with versions, change feeds and conditional writes.
pub trait RowStore: Send + Sync + fmt::Debug {
    /// Reads all rows of a table.
    fn list<'a>(&'a self, table: &'a str) -> StoreFuture<'a, RowPage>;

    /// Waits up to `wait` for rows of a table that have changed after the version
    /// `after`.
    fn feed<'a>(&'a self, table: &'a str, after: u64, wait: Duration)
    -> StoreFuture<'a, FeedReply>;

    /// Applies a conditional write.
    fn write<'a>(&'a self, write: &'a RowWrite) -> StoreFuture<'a, WriteReceipt, WriteError>;
}
