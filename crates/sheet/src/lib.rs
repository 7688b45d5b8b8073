//! The desired configuration of a deployment, which operators submit.
//!
//! A [`Sheet`] is parsed from JSON and validated as a whole: [`Sheet::parse`]
//! reports every problem at once, each with its JSON path.
//!
//! ```
//! let text = r#"{
//!   "services": {
//!     "mapview": {
//!       "keys": { "shards": 64 },
//!       "kinds": [{
//!         "name": "chart", "method": "GET", "path": "/charts/{region}",
//!         "key": { "path": "region" }, "rank": "urgent",
//!         "idempotent": true, "timeout_ms": 2000, "cost_ms": 5
//!       }]
//!     }
//!   }
//! }"#;
//! let sheet = sheet::Sheet::parse(text).expect("valid sheet");
//! assert_eq!(sheet.services.len(), 1);
//! ```

mod change;
mod digest;
mod error;
mod model;
mod routes;
mod validate;

pub use change::{SheetChange, list_changes};
pub use digest::SheetDigest;
pub use error::{Category, Error, Problem, Result};
pub use model::{
    CustomerPlan, Fencing, JournalPolicy, KeyLocation, KeyPlan, KindPlan, Rank, RankFloors,
    ServicePlan, Sheet,
};
pub use routes::{
    ClientLimits, ColdStart, RequestKind, RouteRule, RouteSheet, RoutedService, WeightedService,
};
