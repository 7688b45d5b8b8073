//! Conversion of rows to and from capnp messages and the table's JSON.

use crate::WireError;
use crate::control_capnp::row;
use kernel::Version;
use owner::{RowContent, RowKey, TableTransaction, VersionedRow};
use serde_json::Value;
use std::sync::Arc;
use store::StoreTransaction;

/// A row as it is stored in the table.
#[derive(Clone, Debug, PartialEq)]
pub struct EncodedRow {
    /// The row's key.
    pub key: String,
    /// The row's version, which the table counts.
    pub version: u64,
    /// The content as JSON.
    pub value: Value,
}

impl From<&VersionedRow> for EncodedRow {
    fn from(row: &VersionedRow) -> Self {
        Self {
            key: row.key.to_string(),
            version: row.version.0,
            value: content_to_value(&row.content),
        }
    }
}

impl TryFrom<&EncodedRow> for VersionedRow {
    type Error = WireError;

    fn try_from(encoded: &EncodedRow) -> Result<Self, WireError> {
        parse_stored_row(&encoded.key, encoded.version, &encoded.value)
    }
}

/// Converts a row of the table to a [`VersionedRow`].
///
/// # Errors
///
/// Fails when the kind of key is unknown or the content is not valid for it.
pub fn parse_stored_row(key: &str, version: u64, value: &Value) -> Result<VersionedRow, WireError> {
    let row_key = RowKey::parse(key).ok_or_else(|| WireError::UnknownRow(key.to_owned()))?;
    let content = value_to_content(&row_key, value)
        .map_err(|error| WireError::Content(format!("{key}: {error}")))?;
    Ok(VersionedRow {
        key: row_key,
        version: Version(version),
        content,
    })
}

/// Converts a transaction to the form that the table store takes.
pub fn to_store_transaction(transaction: &TableTransaction) -> StoreTransaction {
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

/// Writes rows to a list in a capnp message.
pub fn write_rows(mut list: capnp::struct_list::Builder<'_, row::Owned>, rows: &[VersionedRow]) {
    for (index, row) in rows.iter().enumerate() {
        let mut entry = list.reborrow().get(index as u32);
        entry.set_key(row.key.to_string().as_str());
        entry.set_version(row.version.0);
        let value = content_to_value(&row.content);
        entry.set_content(value.to_string().as_bytes());
    }
}

/// Reads a list of rows from a capnp message.
///
/// # Errors
///
/// Fails when the message is malformed or a row is invalid.
pub fn read_rows(
    list: capnp::struct_list::Reader<'_, row::Owned>,
) -> Result<Vec<VersionedRow>, WireError> {
    let mut rows = Vec::new();
    for entry in list {
        rows.push(read_row(entry)?);
    }
    Ok(rows)
}

/// Reads one row from a capnp message.
///
/// # Errors
///
/// Fails when the message is malformed or the row is invalid.
pub fn read_row(reader: row::Reader<'_>) -> Result<VersionedRow, WireError> {
    let key = reader.get_key()?.to_str()?;
    let value: Value = serde_json::from_slice(reader.get_content()?)
        .map_err(|error| WireError::Content(format!("{key}: {error}")))?;
    parse_stored_row(key, reader.get_version(), &value)
}

fn content_to_value(content: &RowContent) -> Value {
    let value = match content {
        RowContent::Config(row) => serde_json::to_value(row),
        RowContent::Service(row) => serde_json::to_value(row),
        RowContent::Domain(row) => serde_json::to_value(row),
        RowContent::Assign(row) => serde_json::to_value(row),
    };
    // Serialization can't fail: these types have only numbers, strings and maps with
    // string keys.
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
