//! Loads of upstreams in messages between hosts, in a few bytes each.

use kernel::UpstreamId;
use place::{FleetLoad, ObservedLoad};
use serde::{Deserialize, Serialize};
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// Load of an upstream as one host observed it.
///
/// Messages hold one for each upstream that a host used, so it is kept to a few bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct WireObservation {
    /// Hash of the upstream's id; see [`upstream_hash`].
    pub upstream: u32,
    requests: u16,
    answered: u16,
    refused: u16,
    slowness: WireSlowness,
    occupancy: WireOccupancy,
    /// The momentary factor, on the scale of the slowness.
    pace: WireSlowness,
}

/// Load of an upstream as all hosts observed it; messages hold one for each upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct WireLoad {
    /// Hash of the upstream's id; see [`upstream_hash`].
    pub upstream: u32,
    slowness: WireSlowness,
    occupancy: WireOccupancy,
    share: WireShare,
}

/// Loads in one message of the leader.
#[derive(Clone, Debug, Default)]
pub(crate) struct LoadList {
    pub loads: Vec<WireLoad>,
    /// Time since the list was computed.
    pub age: Duration,
}

/// Returns the hash by which messages refer to an upstream (xxHash3, truncated).
pub(crate) fn upstream_hash(id: &UpstreamId) -> u32 {
    xxh3_64(id.as_str().as_bytes()) as u32
}

/// Slowness on a logarithmic scale with steps of 4 percent; 0 if unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct WireSlowness(u8);

/// Occupancy in sixteenths of the slots; [`WireOccupancy::UNKNOWN`] if unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct WireOccupancy(u8);

/// Share of admitted requests on a logarithmic scale with steps of 4 percent; 0 if all
/// are admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct WireShare(u8);

/// Steps of the logarithmic scales in which a value doubles.
const DOUBLING_STEPS: f64 = 16.0;

impl WireSlowness {
    /// Code of an upstream of average speed.
    const EVEN: f64 = 128.0;
}

impl From<Option<f64>> for WireSlowness {
    fn from(slowness: Option<f64>) -> Self {
        let code = slowness.map(|slowness| Self::EVEN + slowness.log2() * DOUBLING_STEPS);
        Self(code.map_or(0, |code| code.round().clamp(1.0, f64::from(u8::MAX)) as u8))
    }
}

impl From<WireSlowness> for Option<f64> {
    fn from(WireSlowness(code): WireSlowness) -> Self {
        let exponent = (f64::from(code) - WireSlowness::EVEN) / DOUBLING_STEPS;
        (code > 0).then(|| exponent.exp2())
    }
}

impl WireOccupancy {
    const UNKNOWN: u8 = u8::MAX;
    const STEPS: f64 = 16.0;
}

impl From<Option<f64>> for WireOccupancy {
    fn from(ratio: Option<f64>) -> Self {
        let max_code = f64::from(Self::UNKNOWN - 1);
        let code = ratio.map(|ratio| (ratio * Self::STEPS).round().clamp(0.0, max_code));
        Self(code.map_or(Self::UNKNOWN, |code| code as u8))
    }
}

impl From<WireOccupancy> for Option<f64> {
    fn from(WireOccupancy(code): WireOccupancy) -> Self {
        (code != WireOccupancy::UNKNOWN).then(|| f64::from(code) / WireOccupancy::STEPS)
    }
}

impl From<Option<f64>> for WireShare {
    fn from(share: Option<f64>) -> Self {
        let code = share.map(|share| -share.log2() * DOUBLING_STEPS);
        Self(code.map_or(0, |code| code.round().clamp(1.0, f64::from(u8::MAX)) as u8))
    }
}

impl From<WireShare> for Option<f64> {
    fn from(WireShare(code): WireShare) -> Self {
        (code > 0).then(|| (-f64::from(code) / DOUBLING_STEPS).exp2())
    }
}

impl From<(&UpstreamId, ObservedLoad)> for WireObservation {
    fn from((id, load): (&UpstreamId, ObservedLoad)) -> Self {
        let to_count = |count| u16::try_from(count).unwrap_or(u16::MAX);
        Self {
            upstream: upstream_hash(id),
            requests: to_count(load.requests),
            answered: to_count(load.answered),
            refused: to_count(load.refused),
            slowness: load.slowness.into(),
            occupancy: load.occupancy_ratio.into(),
            pace: load.pace_factor.into(),
        }
    }
}

impl From<WireObservation> for ObservedLoad {
    fn from(wire: WireObservation) -> Self {
        Self {
            requests: u32::from(wire.requests),
            answered: u32::from(wire.answered),
            refused: u32::from(wire.refused),
            slowness: wire.slowness.into(),
            occupancy_ratio: wire.occupancy.into(),
            pace_factor: wire.pace.into(),
        }
    }
}

impl From<(&UpstreamId, FleetLoad)> for WireLoad {
    fn from((id, load): (&UpstreamId, FleetLoad)) -> Self {
        Self {
            upstream: upstream_hash(id),
            slowness: load.slowness.into(),
            occupancy: load.occupancy_ratio.into(),
            share: load.admitted_share.into(),
        }
    }
}

impl From<WireLoad> for FleetLoad {
    fn from(wire: WireLoad) -> Self {
        Self {
            slowness: wire.slowness.into(),
            occupancy_ratio: wire.occupancy.into(),
            admitted_share: wire.share.into(),
        }
    }
}
