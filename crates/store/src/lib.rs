//! The platform's services as traits, with an HTTP client.
//!
//! State that hosts must agree on or keep is stored through [`TableStore`] and
//! [`ObjectStore`]; [`HostLister`] is a hint that may be out of date. A commit whose
//! answer was lost is reported as [`CommitError::Unknown`], never as a failure.
//!
//! ```
//! use store::{StoreRow, StoreTransaction};
//!
//! let mut transaction = StoreTransaction::default();
//! transaction.check("domain/a", 3);
//! transaction.write("assign/mapview/a", 7, serde_json::json!({ "shards": [] }));
//! assert_eq!(transaction.checks.len(), 2);
//! let row = StoreRow { key: "config".into(), version: 1, value: serde_json::Value::Null };
//! assert_eq!(row.version, 1);
//! ```

mod client;
mod http;
mod model;
mod rows;

pub use client::{ClientError, JsonClient, JsonReply};
pub use http::HttpPlatform;
pub use model::{
    CommitError, HostLister, ObjectStore, RowCheck, RowUpdate, StoreError, StoreFuture, StoreRow,
    StoreTransaction, TableStore,
};
pub use rows::{
    FeedReply, RowName, RowPage, RowStore, RowWrite, StoreEra, TableRow, WriteError, WriteReceipt,
};
