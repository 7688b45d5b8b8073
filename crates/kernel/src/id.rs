//! Newtypes for the names and counters that messages carry.

use serde::{Deserialize, Serialize};
use std::borrow::Borrow;
use std::fmt;
use std::sync::Arc;

macro_rules! string_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(Arc::from(text))
            }
        }

        impl From<String> for $name {
            fn from(text: String) -> Self {
                Self(Arc::from(text))
            }
        }

        impl AsRef<str> for $name {
            fn as_ref(&self) -> &str {
                &self.0
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{:?}", &*self.0)
            }
        }
    };
}

string_id!(
    /// Id of one run of a host's process: the configured name and a boot nonce.
    ///
    /// A restarted process keeps no state, so it is a new member with a new id.
    HostId
);
string_id!(
    /// Id of an upstream instance.
    UpstreamId
);
string_id!(
    /// Name of a service in the sheet.
    ServiceName
);
string_id!(
    /// Name of a failure domain.
    DomainName
);
string_id!(
    /// Name of a customer in the sheet.
    CustomerName
);
string_id!(
    /// Id that matches an answer to its request.
    RequestId
);

/// Separates a host's configured name from its boot nonce.
const NONCE_SEPARATOR: char = '#';

impl HostId {
    /// Builds the id of one run of the host named `name`.
    pub fn of_run(name: &str, nonce: &str) -> Self {
        Self::from(format!("{name}{NONCE_SEPARATOR}{nonce}"))
    }

    /// Returns the configured name, which all runs of the host share.
    pub fn name(&self) -> &str {
        let text = self.as_str();
        text.split_once(NONCE_SEPARATOR)
            .map_or(text, |(name, _)| name)
    }
}

macro_rules! counter_id {
    ($(#[$doc:meta])* $name:ident, $inner:ty) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $inner);

        impl $name {
            /// Returns the successor.
            pub const fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }
    };
}

counter_id!(
    /// Fencing token; a greater one supersedes all smaller ones.
    Epoch,
    u64
);
counter_id!(
    /// Version of a table row, counted by the table; 0 means that the row does not
    /// exist.
    Version,
    u64
);
counter_id!(
    /// Number of a shard of a sharded service.
    ShardId,
    u32
);
