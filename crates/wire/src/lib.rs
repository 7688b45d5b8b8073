//! Messages between hosts: capnp schema, generated code and conversions.
//!
//! `schema/control.capnp` defines the control messages. The code generated from it is
//! committed, so the build needs no generator; `docs/INTERFACE.md` has the command
//! that generates it.
//!
//! ```
//! use kernel::Version;
//! use owner::{RowContent, RowKey, ServiceRow, VersionedRow};
//! use wire::EncodedRow;
//!
//! let row = VersionedRow {
//!     key: RowKey::Service("mapview".into()),
//!     version: Version(3),
//!     content: RowContent::Service(ServiceRow { shards: 64 }),
//! };
//! let encoded = EncodedRow::from(&row);
//! assert_eq!(VersionedRow::try_from(&encoded).unwrap(), row);
//! ```

mod error;
mod heartbeat;
mod row;

#[expect(
    missing_docs,
    missing_debug_implementations,
    unused_qualifications,
    clippy::all,
    clippy::pedantic,
    clippy::restriction,
    reason = "generated code"
)]
pub mod control_capnp;

pub use error::WireError;
pub use heartbeat::{read_heartbeat, write_heartbeat};
pub use row::{
    EncodedRow, parse_stored_row, read_row, read_rows, to_store_transaction, write_rows,
};
