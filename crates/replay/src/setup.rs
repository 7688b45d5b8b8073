//! Setup of a world.

use owner::Timing;
use serde::{Deserialize, Serialize};

/// Size, network conditions and protocol intervals of a world.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct WorldSetup {
    /// Number of hosts, distributed over the domains round-robin.
    pub hosts: u32,
    /// Number of upstreams of the only service, distributed over the domains
    /// round-robin.
    pub upstreams: u32,
    /// Number of failure domains.
    pub domains: u32,
    /// Number of shards of the service.
    pub shards: u32,
    /// Seed of message delays and losses.
    pub seed: u64,
    /// Maximum delay of a message, in milliseconds.
    pub delay_ms: u64,
    /// Probability that a message is lost, in percent.
    pub loss_percent: u8,
    /// Clock drift of the upstreams, fast and slow by turns, in parts per million.
    pub drift_ppm: i32,
    /// Slot time that each shard uses, in milliseconds per second; shards beyond
    /// the list use none.
    pub loads: Vec<u32>,
    /// Protocol intervals of the hosts.
    pub timing: Timing,
}

impl Default for WorldSetup {
    fn default() -> Self {
        Self {
            hosts: 3,
            upstreams: 3,
            domains: 1,
            shards: 6,
            seed: 1,
            delay_ms: 3,
            loss_percent: 0,
            drift_ppm: 0,
            loads: Vec::new(),
            timing: Timing::default(),
        }
    }
}
