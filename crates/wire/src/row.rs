//! Rows to and from capnp and the table's JSON.

use crate::WireError;
use crate::control_capnp::row;
use kernel::Version;
use owner::{RowContent, RowKey, TableTransaction, VersionedRow};
use serde_json::Value;
use std::sync::Arc;
use store::StoreTransaction;

/// A row as the table holds it.
#[derive(Clone, Debug, PartialEq)]
pub struct RowWire {
    /// The row's key.
    pub key: String,
    /// Counted by the table.
    pub version: u64,
    /// The content as JSON.
    pub value: Value,
}

impl From<&VersionedRow> for RowWire {
    fn from(row: &VersionedRow) -> Self {
        Self {
            key: row.key.to_string(),
            version: row.version.0,
            value: content_to_value(&row.content),
        }
    }
}

impl TryFrom<&RowWire> for VersionedRow {
    type Error = WireError;

    fn try_from(wire: &RowWire) -> Result<Self, WireError> {
        store_row(&wire.key, wire.version, &wire.value)
    }
}

/// Converts a row of the table.
///
/// # Errors
///
/// Fails when the key is unknown or the content does not fit it.
pub fn store_row(key: &str, version: u64, value: &Value) -> Result<VersionedRow, WireError> {
    let parsed = RowKey::parse(key).ok_or_else(|| WireError::UnknownRow(key.to_owned()))?;
    let content = value_to_content(&parsed, value)
        .map_err(|error| WireError::Content(format!("{key}: {error}")))?;
    Ok(VersionedRow {
        key: parsed,
        version: Version(version),
        content,
    })
}

/// Converts a transaction to the table's form.
pub fn store_transaction(transaction: &TableTransaction) -> StoreTransaction {
    let mut converted = StoreTransaction::default();
    for (key, version) in &transaction.checks {
        converted.check(&key.to_string(), version.0);
    }
    for row in &transaction.writes {
        let value = content_to_value(&row.content);
        converted.write(&row.key.to_string(), row.base.0, value);
    }
    converted
}

/// Writes rows into a list.
pub fn write_rows(mut list: capnp::struct_list::Builder<'_, row::Owned>, rows: &[VersionedRow]) {
    for (index, row) in rows.iter().enumerate() {
        let mut entry = list.reborrow().get(index as u32);
        entry.set_key(row.key.to_string().as_str());
        entry.set_version(row.version.0);
        let value = content_to_value(&row.content);
        entry.set_content(value.to_string().as_bytes());
    }
}

/// Reads a list of rows.
///
/// # Errors
///
/// Fails when the message is broken or a row means nothing.
pub fn read_rows(
    list: capnp::struct_list::Reader<'_, row::Owned>,
) -> Result<Vec<VersionedRow>, WireError> {
    let mut rows = Vec::new();
    for entry in list {
        rows.push(read_row(entry)?);
    }
    Ok(rows)
}

/// Reads one row.
///
/// # Errors
///
/// Fails when the message is broken or the row means nothing.
pub fn read_row(reader: row::Reader<'_>) -> Result<VersionedRow, WireError> {
    let key = reader.get_key()?.to_str()?;
    let value: Value = serde_json::from_slice(reader.get_content()?)
        .map_err(|error| WireError::Content(format!("{key}: {error}")))?;
    store_row(key, reader.get_version(), &value)
}

fn content_to_value(content: &RowContent) -> Value {
    let value = match content {
        RowContent::Config(row) => serde_json::to_value(row),
        RowContent::Service(row) => serde_json::to_value(row),
        RowContent::Domain(row) => serde_json::to_value(row),
        RowContent::Assign(row) => serde_json::to_value(row),
    };
    // These types hold only maps with text keys, numbers and text.
    value.unwrap_or(Value::Null)
}

fn value_to_content(key: &RowKey, value: &Value) -> serde_json::Result<RowContent> {
    use serde::Deserialize;
    Ok(match key {
        RowKey::Config => RowContent::Config(Arc::new(Deserialize::deserialize(value)?)),
        RowKey::Service(_) => RowContent::Service(Deserialize::deserialize(value)?),
        RowKey::Domain(_) => RowContent::Domain(Arc::new(Deserialize::deserialize(value)?)),
        RowKey::Assign(..) => RowContent::Assign(Arc::new(Deserialize::deserialize(value)?)),
    })
}
