//! What a trial deploys and which load it sends.

use kernel::{CustomerName, DomainName, ServiceName};
use owner::Timing;
use serde::{Deserialize, Serialize};
use sheet::Sheet;

/// A trial's deployment and load.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TrialPlan {
    /// Failure domains.
    pub domains: Vec<DomainName>,
    /// Entry hosts over all domains.
    pub hosts: u32,
    /// Upstream instances.
    pub instances: Vec<InstancePlan>,
    /// One-way delay between failure domains, in milliseconds.
    #[serde(default)]
    pub domain_delay_ms: u64,
    /// Intervals of heartbeats, leases and waits.
    #[serde(default)]
    pub timing: Timing,
    /// Queue policy of the hosts.
    #[serde(default = "default_queue")]
    pub queue: String,
    /// Placement policy of the hosts.
    #[serde(default = "default_placement")]
    pub placement: String,
    /// Retries earned by each first try, in percent.
    #[serde(default = "default_retry_percent")]
    pub retry_percent: u32,
    /// The sheet.
    pub sheet: Sheet,
    /// Load by kind.
    pub load: Vec<LoadPlan>,
}

/// Instances of one service, spread over the domains in turn.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct InstancePlan {
    /// The service.
    pub service: ServiceName,
    /// Number of instances.
    pub count: u32,
    /// Requests that each runs at a time.
    pub slots: u32,
    /// Connections that each accepts.
    pub connections: u32,
}

/// Load of one kind.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadPlan {
    /// The service.
    pub service: ServiceName,
    /// The kind's name in the sheet.
    pub kind: String,
    /// Share of the requests, as a weight.
    pub weight: f64,
    /// Slot time that a request takes, in milliseconds.
    pub cost_ms: u64,
    /// Size of the answer, in bytes.
    pub answer_bytes: u64,
    /// Time within which an answer counts as in time, in milliseconds.
    pub target_ms: u64,
    /// Number of different keys.
    pub keys: u32,
    /// Exponent of the keys' popularity; 0 for an even one.
    #[serde(default)]
    pub skew: f64,
    /// Customers, each as likely as the next.
    #[serde(default)]
    pub customers: Vec<CustomerName>,
}

fn default_queue() -> String {
    "floors".to_owned()
}

fn default_placement() -> String {
    "load".to_owned()
}

const fn default_retry_percent() -> u32 {
    10
}

impl TrialPlan {
    /// Returns the plan that a trial without settings uses.
    pub fn small() -> Self {
        let text = include_str!("../../../examples/small.json");
        // The file is part of the program and a test parses it.
        serde_json::from_str(text).expect("the built-in trial plan is valid")
    }

    /// Checks the plan.
    ///
    /// # Errors
    ///
    /// Fails with every problem found.
    pub fn validate(&self) -> Result<(), Vec<String>> {
        let mut problems = Vec::new();
        if self.domains.is_empty() {
            problems.push("domains: expected at least 1".to_owned());
        }
        if (self.hosts as usize) < self.domains.len() {
            problems.push("hosts: expected at least 1 per domain".to_owned());
        }
        if let Err(error) = self.sheet.validate() {
            let found = error.problems().iter();
            problems.extend(found.map(|problem| format!("sheet.{problem}")));
        }
        for error in self.timing.validate().err().unwrap_or_default() {
            problems.push(format!("timing: {error}"));
        }
        for (index, load) in self.load.iter().enumerate() {
            let service = self.sheet.services.get(&load.service);
            let kind = service
                .and_then(|service| service.kinds.iter().find(|kind| kind.name == load.kind));
            if kind.is_none() {
                problems.push(format!("load[{index}]: the sheet has no such kind"));
            }
            if load.keys == 0 || !load.weight.is_finite() || load.weight < 0.0 {
                problems.push(format!("load[{index}]: expected keys and a weight"));
            }
        }
        if problems.is_empty() {
            return Ok(());
        }
        Err(problems)
    }

    /// Returns the service's slots over all instances.
    pub fn slots_of(&self, service: &ServiceName) -> u32 {
        let instances = self.instances.iter();
        instances
            .filter(|plan| plan.service == *service)
            .map(|plan| plan.count * plan.slots)
            .sum()
    }
}
