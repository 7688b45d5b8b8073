//! Messages between hosts: capnp schema, generated code and conversions.
//!
//! `schema/control.capnp` defines the control messages. The code generated from it is
//! committed, so the build needs no generator; `docs/INTERFACE.md` has the command
//! that generates it.
//!
//! ```
//! use kernel::Version;
//! use owner::{RowContent, RowKey, ServiceRow, VersionedRow};
//! use wire::RowWire;
//!
//! let row = VersionedRow {
//!     key: RowKey::Service("mapview".into()),
//!     version: Version(3),
//!     content: RowContent::Service(ServiceRow { shards: 64 }),
//! };
//! let wire = RowWire::from(&row);
//! assert_eq!(VersionedRow::try_from(&wire).unwrap(), row);
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
pub use row::{RowWire, read_row, read_rows, store_row, store_transaction, write_rows};
