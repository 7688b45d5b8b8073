//! Description of a trial's deployment and load.

use kernel::{CustomerName, DomainName, ServiceName};
use owner::Timing;
use serde::{Deserialize, Serialize};
use sheet::Sheet;

/// Deployment and load of a trial, as read from JSON.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TrialPlan {
    /// Names of the failure domains.
    pub domains: Vec<DomainName>,
    /// Number of entry hosts, spread over the domains in turn.
    pub hosts: u32,
    /// Upstream instances by service.
    pub instances: Vec<InstancePlan>,
    /// One-way delay between failure domains, in milliseconds.
    #[serde(default)]
    pub domain_delay_ms: u64,
    /// Intervals and timeouts of the hosts.
    #[serde(default)]
    pub timing: Timing,
    /// Name of the hosts' scheduling policy.
    #[serde(default = "default_queue")]
    pub queue: String,
    /// Name of the hosts' placement policy.
    #[serde(default = "default_placement")]
    pub placement: String,
    /// Retry budget, in percent of first attempts.
    #[serde(default = "default_retry_percent")]
    pub retry_percent: u32,
    /// Sheet that is submitted at the start.
    pub sheet: Sheet,
    /// Load by request kind.
    pub load: Vec<LoadPlan>,
}

/// Upstream instances of one service, spread over the domains in turn.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct InstancePlan {
    /// Name of the service.
    pub service: ServiceName,
    /// Number of instances.
    pub count: u32,
    /// Maximum number of requests that each instance runs at a time.
    pub slots: u32,
    /// Maximum number of connections that each instance accepts.
    pub connections: u32,
}

/// Load of one request kind.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadPlan {
    /// Name of the service.
    pub service: ServiceName,
    /// Name of the kind in the sheet.
    pub kind: String,
    /// Share of the requests, relative to the sum of all weights.
    pub weight: f64,
    /// Time for which a request occupies a slot, in milliseconds.
    pub cost_ms: u64,
    /// Size of the response body, in bytes.
    pub answer_bytes: u64,
    /// Maximum latency of a response that counts as in time, in milliseconds.
    pub target_ms: u64,
    /// Number of distinct keys.
    pub keys: u32,
    /// Exponent of the Zipf distribution of keys; 0 for a uniform distribution.
    #[serde(default)]
    pub skew: f64,
    /// Customers, chosen with equal probability.
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
    /// Returns the built-in plan, used by trials without settings.
    pub fn small() -> Self {
        let text = include_str!("../../../examples/small.json");
        // The file is compiled into the program, and tests parse it.
        serde_json::from_str(text).expect("the built-in trial plan is valid")
    }

    /// Checks the plan for consistency.
    ///
    /// # Errors
    ///
    /// Returns a message for each problem found.
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
                problems.push(format!("load[{index}]: kind not found in the sheet"));
            }
            if load.keys == 0 || !load.weight.is_finite() || load.weight < 0.0 {
                problems.push(format!(
                    "load[{index}]: expected at least 1 key and a finite weight of at least 0"
                ));
            }
        }
        if problems.is_empty() {
            return Ok(());
        }
        Err(problems)
    }

    /// Returns the total number of slots of a service's instances.
    pub fn total_slots(&self, service: &ServiceName) -> u32 {
        let instances = self.instances.iter();
        instances
            .filter(|plan| plan.service == *service)
            .map(|plan| plan.count * plan.slots)
            .sum()
    }
}
