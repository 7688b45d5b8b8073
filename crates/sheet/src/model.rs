//! Data model of a sheet.

use indexmap::IndexMap;
use kernel::{CustomerName, ServiceName};
use serde::{Deserialize, Serialize};
use std::fmt;

/// Desired configuration of the whole deployment.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Sheet {
    /// Services by name; the name is the first segment of a request's path.
    pub services: IndexMap<ServiceName, ServicePlan>,
    /// Customers whose share differs from the default of 1.
    #[serde(default)]
    pub customers: IndexMap<CustomerName, CustomerPlan>,
}

/// Desired configuration of one service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServicePlan {
    /// How keys are sharded; absent if any upstream serves any request.
    #[serde(default)]
    pub keys: Option<KeyPlan>,
    /// Whether upstreams check grants.
    #[serde(default)]
    pub fencing: Fencing,
    /// Minimum share of slot time that each rank gets while it has requests queued.
    #[serde(default)]
    pub floors: RankFloors,
    /// Maximum number of slots of one upstream that long kinds may occupy.
    #[serde(default = "default_long_slots")]
    pub long_slots: u32,
    /// Maximum number of queued requests per rank at one upstream.
    #[serde(default = "default_queue_limit")]
    pub queue_limit: u32,
    /// Handling of journaled requests while the table is unreachable.
    #[serde(default)]
    pub journal: JournalPolicy,
    /// Kinds of work.
    pub kinds: Vec<KindPlan>,
}

/// Sharding of the keys of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeyPlan {
    /// Number of shards that keys are hashed to, fixed as long as the service exists.
    pub shards: u32,
}

/// Whether upstreams check grants before they run work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "check", deny_unknown_fields)]
pub enum Fencing {
    /// Upstreams refuse work under an older epoch or a lapsed lease.
    #[default]
    Checked,
    /// Upstreams run every request that they receive.
    Unchecked {
        /// Wait after the end of a lease until its shards may move, in milliseconds.
        wait_ms: u64,
    },
}

/// Minimum shares of slot time by rank, in percent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RankFloors {
    /// Share of the most urgent rank.
    #[serde(default)]
    pub urgent: u32,
    /// Share of the middle rank.
    #[serde(default = "default_standard_floor")]
    pub standard: u32,
    /// Share of the least urgent rank.
    #[serde(default = "default_bulk_floor")]
    pub bulk: u32,
}

impl Default for RankFloors {
    fn default() -> Self {
        Self {
            urgent: 0,
            standard: default_standard_floor(),
            bulk: default_bulk_floor(),
        }
    }
}

impl RankFloors {
    /// Returns the minimum share of `rank` as a fraction from 0 to 1.
    pub fn share(&self, rank: Rank) -> f64 {
        let percent = match rank {
            Rank::Urgent => self.urgent,
            Rank::Standard => self.standard,
            Rank::Bulk => self.bulk,
        };
        f64::from(percent) / 100.0
    }
}

/// Handling of a non-idempotent request while the journal can't be written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JournalPolicy {
    /// The request is refused with the verdict that it has not run.
    #[default]
    Refuse,
    /// The request runs without a journal entry; if sent again, it may run twice.
    RunUnjournaled,
}

/// Priority class of a kind of work, most urgent first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Rank {
    /// Served first.
    Urgent,
    /// Served next.
    Standard,
    /// Served last.
    Bulk,
}

impl Rank {
    /// All ranks, most urgent first.
    pub const ALL: [Self; 3] = [Self::Urgent, Self::Standard, Self::Bulk];

    /// Returns the index in [`Rank::ALL`].
    pub const fn index(self) -> usize {
        self as usize
    }

    /// Returns the text used in sheets and logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Urgent => "urgent",
            Self::Standard => "standard",
            Self::Bulk => "bulk",
        }
    }

    /// Parses the text used in headers.
    pub fn parse(text: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|rank| rank.as_str() == text)
    }
}

impl fmt::Display for Rank {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// One kind of work of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KindPlan {
    /// Name, unique within the service.
    pub name: String,
    /// HTTP method in upper case.
    pub method: String,
    /// Path below the service's name; `{name}` matches one segment and a trailing
    /// `*` matches the rest.
    pub path: String,
    /// Where a request contains the key; required for sharded services.
    #[serde(default)]
    pub key: Option<KeyLocation>,
    /// Priority class.
    pub rank: Rank,
    /// Whether running it twice has the same effect as running it once.
    pub idempotent: bool,
    /// Timeout of requests whose client sets no deadline, in milliseconds.
    pub timeout_ms: u64,
    /// Expected time in a slot until any has been observed, in milliseconds.
    pub cost_ms: u64,
    /// Whether it occupies its slot for a long time, such as a download.
    #[serde(default)]
    pub long: bool,
    /// Maximum size of the request body, in bytes.
    #[serde(default = "default_max_body_bytes")]
    pub max_body_bytes: u64,
}

/// Where a request contains its key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum KeyLocation {
    /// In the path segment that matches the `{name}` parameter of this name.
    Path(String),
    /// In the query parameter of this name.
    Query(String),
    /// In the header of this name.
    Header(String),
}

/// Desired configuration of one customer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CustomerPlan {
    /// Weight relative to other customers with requests of the same rank.
    pub share: u32,
}

const fn default_long_slots() -> u32 {
    1
}

const fn default_queue_limit() -> u32 {
    256
}

const fn default_standard_floor() -> u32 {
    15
}

const fn default_bulk_floor() -> u32 {
    10
}

const fn default_max_body_bytes() -> u64 {
    1 << 20
}
