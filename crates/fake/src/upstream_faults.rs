//! Faults that can be injected into a [`FakeUpstream`](crate::FakeUpstream).

use serde::{Deserialize, Serialize};

/// Faults of one upstream. Percentages are of client requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct UpstreamFaults {
    /// Stops all responses; once cleared, the upstream continues where it stopped.
    pub is_frozen: bool,
    /// Responses truncated after half of the body, after which the connection closes.
    pub truncated_percent: u8,
    /// Responses that carry the id and body of another request.
    pub crossed_percent: u8,
    /// Responses that are sent twice.
    pub doubled_percent: u8,
    /// Requests refused as not run even if slots are free.
    pub shed_percent: u8,
    /// Extra processing time per request, in milliseconds.
    pub slow_ms: u32,
    /// Reports that no request is running, whatever the real load.
    pub hides_load: bool,
}
