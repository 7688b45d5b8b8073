//! What a world starts with.

use owner::Timing;
use serde::{Deserialize, Serialize};

/// Hosts, upstreams and chances of a world.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct WorldSetup {
    /// Entry hosts, spread over the domains in turn.
    pub hosts: u32,
    /// Upstreams of the one service, spread over the domains in turn.
    pub upstreams: u32,
    /// Failure domains.
    pub domains: u32,
    /// Shards of the service.
    pub shards: u32,
    /// Seed of delays and losses.
    pub seed: u64,
    /// Longest delay of a message, in milliseconds.
    pub delay_ms: u64,
    /// Messages lost, in percent.
    pub loss_percent: u8,
    /// By how much upstreams' clocks run fast or slow, in parts per million.
    pub drift_ppm: i32,
    /// Slot time that each shard uses, in milliseconds per second; shards beyond
    /// the list use none.
    pub loads: Vec<u32>,
    /// Intervals of the hosts.
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
