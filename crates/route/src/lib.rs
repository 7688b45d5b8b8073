//! Lookup of the service, kind, key, shard and owner for a request.
//!
//! A [`RouteTable`] is compiled from a sheet, an [`OwnerTable`] is built from table
//! rows. Both are immutable and are read without a lock.
//!
//! ```
//! use route::RouteTable;
//!
//! let sheet = sheet::Sheet::parse(r#"{ "services": { "mapview": {
//!   "keys": { "shards": 16 },
//!   "kinds": [{ "name": "chart", "method": "GET", "path": "/charts/{region}",
//!     "key": { "path": "region" }, "rank": "urgent", "idempotent": true,
//!     "timeout_ms": 500, "cost_ms": 5 }] } } }"#).unwrap();
//! let table = RouteTable::compile(&sheet);
//! let matched = table.find("GET", "/mapview/charts/golfo?zoom=3").unwrap();
//! let key = matched.key(|_| None).unwrap();
//! assert_eq!(key, Some("golfo"));
//! assert!(matched.kind().shard("golfo").unwrap().0 < 16);
//! ```

mod owners;
mod prefix;
mod rules;
mod segments;

pub use owners::{OwnerTable, PrimaryAddress, ShardAssignment, UpstreamRoute};
pub use prefix::{PrefixRoute, PrefixTable};
pub use rules::{KindRoute, RouteMatch, RouteTable, ServiceRoute};
