//! Relay of requests between the hosts of a failure domain, so that few hosts keep
//! connections to an upstream.
//!
//! - [`choose_relay`] names the host of the domain that keeps the connections to an
//!   upstream, and [`ListIssuer`] numbers the lists of hosts that it chooses from;
//! - [`choose_way`] decides between the host's own connection, the relay and a new
//!   connection, from the host's [`RequestRates`] and the [`AvoidedRelays`];
//! - [`RelayCall`] and [`RelayReply`] are the messages between two hosts, carried in
//!   headers;
//! - [`RelayAdmission`] bounds what a relay accepts, and [`next_step`] says what the
//!   sender may do once its use of a relay has ended.
//!
//! ```
//! use relay::{RelayHost, choose_relay};
//!
//! let hosts = ["a", "b", "c"].map(|name| RelayHost {
//!     name: name.to_owned(),
//!     address: "127.0.0.1:7201".parse().unwrap(),
//!     program: 1,
//! });
//! let relay = choose_relay(&hosts, 1, "upstream-1").unwrap();
//! assert_eq!(choose_relay(&hosts, 1, "upstream-1"), Some(relay));
//! // Hosts that run another version of the program are never chosen.
//! assert_eq!(choose_relay(&hosts, 2, "upstream-1"), None);
//! ```

mod admission;
mod avoided;
mod choice;
mod list;
mod message;
mod rates;
mod step;
mod way;

pub use admission::{AdmissionGuard, RelayAdmission};
pub use avoided::AvoidedRelays;
pub use choice::{RelayHost, choose_relay, program_version};
pub use list::{HostList, ListIssuer, ListVersion};
pub use message::{CallError, RelayCall, RelayRefusal, RelayReply, is_relay_header};
pub use rates::RequestRates;
pub use step::{NextStep, RelayEnd, next_step};
pub use way::{DirectReason, RelayMode, SendWay, WayFacts, choose_way};
