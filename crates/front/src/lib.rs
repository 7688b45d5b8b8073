//! Front host: each host sends its clients' requests directly to the upstreams.
//!
//! - the *client server* reads requests and writes answers;
//! - the *dispatcher* finds the route, selects an upstream and retries where that is
//!   safe;
//! - the *exchanger* talks to an upstream over a pooled connection;
//! - the *replica* follows sheet, entries and owners in the store;
//! - the *leader*, on one host at a time, grants keys to upstreams.
//!
//! The names and formats of the users' platform are hidden behind the trait
//! [`UserPlatform`].
//!
//! ```
//! use front::FrontBounds;
//! use std::time::Duration;
//!
//! let bounds = FrontBounds::default();
//! assert!(bounds.stop < Duration::from_secs(10));
//! ```

mod adapter;
mod answer;
mod body_memory;
mod budgets;
mod client_connection;
mod client_reader;
mod clients;
mod cold_budget;
mod cold_dispatch;
mod cold_health;
mod counted_store;
mod dispatch;
mod exchange;
mod follower;
mod grant_client;
mod holder_paces;
mod host;
mod leader;
mod logs;
mod message;
mod metrics;
mod pages;
mod peers;
mod pool;
mod random;
mod rank_loads;
mod rank_shares;
mod relay_client;
mod relay_list;
mod relay_server;
mod replica;
mod reports;
mod request;
mod send_budget;
mod sending;
mod stop_limit;
mod view;
mod wire_cold;
mod wire_load;
mod wire_share;

pub use adapter::{
    DecodeError, FrontBounds, FrontSettings, HeaderNames, LoadedPlatform, PlatformPlugin,
    StoreTables, UpstreamCall, UserPlatform,
};
pub use host::{FrontHost, FrontOptions, StartFailure};
pub use logs::LineLog;
pub use relay::RelayMode;
