//! Entry host with direct dispatch: each host sends its clients' requests to the
//! upstreams itself.
//!
//! - the *client server* reads requests and writes answers;
//! - the *dispatcher* finds the route, chooses an upstream and tries again where
//!   that is safe;
//! - the *exchange* speaks to an upstream on a pooled connection;
//! - the *watcher* keeps sheet, upstreams and owners as the store has them;
//! - the *leader*, on one host at a time, grants keys to upstreams.
//!
//! What the users' platform calls things, and how it encodes them, is behind the
//! traits of [`UserPlatform`].
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
mod budgets;
mod clients;
mod control;
mod counted;
mod dispatch;
mod draw;
mod exchange;
mod leader;
mod logs;
mod message;
mod metrics;
mod peers;
mod pool;
mod ready;
mod reports;
mod request;
mod run;
mod view;
mod watch;

pub use adapter::{
    DecodeError, FrontBounds, FrontSettings, HeaderNames, LoadedPlatform, PlatformPlugin,
    StoreTables, UpstreamCall, UserPlatform,
};
pub use logs::LineLog;
pub use run::{FrontHost, StartFailure};
