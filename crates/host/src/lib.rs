//! The entry host: settings, control thread, request handling and administration API.
//!
//! [`EntryHost::start`] binds the four listeners, starts the control thread and the
//! tasks that handle requests, and returns. All hosts have the same role.
//!
//! ```
//! let text = r#"{
//!   "name": "entry-1", "domain": "ar-south-a",
//!   "listen": { "callers": "127.0.0.1:0", "peers": "127.0.0.1:0",
//!               "control": "127.0.0.1:0", "admin": "127.0.0.1:0" },
//!   "platform": { "address": "127.0.0.1:7070" },
//!   "peer_secret": "a secret of at least 16 bytes"
//! }"#;
//! let settings = host::HostSettings::parse(text).expect("valid settings");
//! assert_eq!(settings.queue, "floors");
//! ```

mod admin;
mod control;
mod hub;
mod link;
mod perform;
mod publish;
mod relay;
mod rpc;
mod run;
mod settings;
mod status;
mod submit;
mod sweep;
mod token;

pub use run::{EntryHost, HostAddresses, StartError};
pub use settings::{
    AdminRole, AdminToken, HostSettings, ListenSettings, LogSettings, PlatformSettings, SeedHost,
    SettingProblem, SettingsError,
};
pub use status::{HostStatus, PeerStatus, UpstreamStatus};
