//! The sheet's data model.

use indexmap::IndexMap;
use kernel::{CustomerName, ServiceName};
use serde::{Deserialize, Serialize};
use std::fmt;

/// Intended state of the whole deployment.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Sheet {
    /// Services by name; the name is the first part of a request's path.
    pub services: IndexMap<ServiceName, ServicePlan>,
    /// Customers with a share other than the default of 1.
    #[serde(default)]
    pub customers: IndexMap<CustomerName, CustomerPlan>,
}

/// Intended state of one service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServicePlan {
    /// How keys are divided; absent when any instance serves any request.
    #[serde(default)]
    pub keys: Option<KeyPlan>,
    /// Whether upstreams check grants.
    #[serde(default)]
    pub fencing: Fencing,
    /// Least share of slot time that each rank keeps while it has work queued.
    #[serde(default)]
    pub floors: RankFloors,
    /// Most slots of one upstream that long kinds may hold, in slots.
    #[serde(default = "default_long_slots")]
    pub long_slots: u32,
    /// Most requests queued per rank at one upstream.
    #[serde(default = "default_queue_limit")]
    pub queue_limit: u32,
    /// What happens to journaled work while the table is unreachable.
    #[serde(default)]
    pub journal: JournalPolicy,
    /// Kinds of work.
    pub kinds: Vec<KindPlan>,
}

/// How the keys of a service are divided.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeyPlan {
    /// Number of shards that keys hash into; fixed for the service's life.
    pub shards: u32,
}

/// Whether upstreams check grants before they run work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "check", deny_unknown_fields)]
pub enum Fencing {
    /// Upstreams refuse work under an older epoch or a lapsed lease.
    #[default]
    Checked,
    /// Upstreams run whatever they are sent.
    Unchecked {
        /// Time after a lease's end before its shards may move, in milliseconds.
        wait_ms: u64,
    },
}

/// Least shares of slot time, in percent.
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
    /// Returns the floor of `rank` as a fraction.
    pub fn share(&self, rank: Rank) -> f64 {
        let percent = match rank {
            Rank::Urgent => self.urgent,
            Rank::Standard => self.standard,
            Rank::Bulk => self.bulk,
        };
        f64::from(percent) / 100.0
    }
}

/// What happens to a non-idempotent request while the journal can't be written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JournalPolicy {
    /// It is refused as not run.
    #[default]
    Refuse,
    /// It runs without a journal entry; a re-send may run it again.
    RunUnjournaled,
}

/// Urgency of a kind of work, most urgent first.
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

    /// Returns the position in [`Rank::ALL`].
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
    /// Name within the service.
    pub name: String,
    /// HTTP method in upper case.
    pub method: String,
    /// Path below the service's name; `{name}` matches one part and a last
    /// `*` matches the rest.
    pub path: String,
    /// Where the key stands; required for divided services.
    #[serde(default)]
    pub key: Option<KeyPlace>,
    /// Urgency.
    pub rank: Rank,
    /// Whether running it twice equals running it once.
    pub idempotent: bool,
    /// Time limit for a caller who gives no deadline, in milliseconds.
    pub timeout_ms: u64,
    /// Expected time in a slot before any has been observed, in milliseconds.
    pub cost_ms: u64,
    /// Whether it holds its slot for long, such as a download.
    #[serde(default)]
    pub long: bool,
    /// Largest request body, in bytes.
    #[serde(default = "default_max_body_bytes")]
    pub max_body_bytes: u64,
}

/// Where a request's key stands.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum KeyPlace {
    /// A `{name}` part of the path.
    Path(String),
    /// A query parameter.
    Query(String),
    /// A header.
    Header(String),
}

/// Intended state of one customer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CustomerPlan {
    /// Weight among customers of the same rank.
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
