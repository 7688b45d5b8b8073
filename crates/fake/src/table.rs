//! In-memory version of the platform's transactional table.

use indexmap::IndexMap;
use serde_json::Value;
use store::{RowCheck, StoreRow, StoreTransaction};

/// Table of versioned rows, changed by conditional transactions.
#[derive(Clone, Debug, Default)]
pub struct FakeTable {
    rows: IndexMap<String, StoreRow>,
    /// Last version of each deleted row, so that no version is used twice.
    deleted_versions: IndexMap<String, u64>,
}

impl FakeTable {
    /// Commits a transaction and returns the new versions of the written rows.
    ///
    /// # Errors
    ///
    /// Returns the current rows whose versions do not match and changes nothing.
    pub fn commit(
        &mut self,
        transaction: &StoreTransaction,
    ) -> Result<Vec<RowCheck>, Vec<StoreRow>> {
        let mut conflicts = Vec::new();
        for check in &transaction.checks {
            if self.version(&check.key) == check.version {
                continue;
            }
            conflicts.push(self.row_or_absent(&check.key));
        }
        if !conflicts.is_empty() {
            return Err(conflicts);
        }
        let mut versions = Vec::new();
        for write in &transaction.writes {
            let version = self.put(&write.key, &write.value);
            versions.push(RowCheck {
                key: write.key.clone(),
                version,
            });
        }
        Ok(versions)
    }

    /// Returns all rows whose keys start with one of `prefixes`.
    pub fn scan(&self, prefixes: &[&str]) -> Vec<StoreRow> {
        let has_prefix = |key: &str| prefixes.iter().any(|prefix| key.starts_with(prefix));
        let rows = self.rows.values().filter(|row| has_prefix(&row.key));
        rows.cloned().collect()
    }

    /// Returns the rows with the given keys; absent rows are left out.
    pub fn read(&self, keys: &[&str]) -> Vec<StoreRow> {
        let rows = keys.iter().filter_map(|key| self.rows.get(*key));
        rows.cloned().collect()
    }

    fn put(&mut self, key: &str, value: &Value) -> u64 {
        let deleted_version = self.deleted_versions.get(key).copied().unwrap_or(0);
        let version = self.version(key).max(deleted_version) + 1;
        if value.is_null() {
            self.rows.swap_remove(key);
            self.deleted_versions.insert(key.to_owned(), version);
            return version;
        }
        let row = StoreRow {
            key: key.to_owned(),
            version,
            value: value.clone(),
        };
        self.rows.insert(key.to_owned(), row);
        version
    }

    fn version(&self, key: &str) -> u64 {
        self.rows.get(key).map_or(0, |row| row.version)
    }

    fn row_or_absent(&self, key: &str) -> StoreRow {
        self.rows.get(key).cloned().unwrap_or_else(|| StoreRow {
            key: key.to_owned(),
            version: 0,
            value: Value::Null,
        })
    }
}
