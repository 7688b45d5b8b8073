//! Faults that an upstream stand-in can be given.

use serde::{Deserialize, Serialize};

/// Faults of one upstream; shares are in percent of answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct UpstreamFaults {
    /// It stops answering anything and goes on where it was when thawed.
    pub is_frozen: bool,
    /// Answers cut short, then the connection closed.
    pub truncated_percent: u8,
    /// Answers that carry another request's id and body.
    pub crossed_percent: u8,
    /// Answers followed by a second one that nobody asked for.
    pub doubled_percent: u8,
    /// Requests refused as not run although slots are free.
    pub shed_percent: u8,
    /// Extra time per request, in milliseconds.
    pub slow_ms: u32,
    /// Reports no load at all.
    pub hides_load: bool,
}
