//! Demand and shares by rank in messages between hosts and the leader.

use kernel::ServiceName;
use serde::{Deserialize, Serialize};
use share::{DemandReport, RankShare, RankWork, ServiceShares, WorkSum};
use std::time::Duration;

/// Maximum number of services in one message, about 3 KB.
const MAX_SERVICES: usize = 64;
/// Maximum number of ranks of one service in one message.
const MAX_RANKS: usize = 16;
/// Steps of a fraction in a message.
const FRACTION_STEPS: f64 = 10_000.0;

/// Work that was offered to a host since its last report.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct WireDemand {
    interval_ms: u32,
    services: Vec<(ServiceName, Vec<WireRankWork>)>,
}

/// Work of one rank: requests and milliseconds, each offered, admitted and rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct WireRankWork {
    rank: u32,
    requests: [u32; 3],
    slot_ms: [u32; 3],
    untimed: u32,
}

/// Shares of one service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct WireServiceShares(ServiceName, Vec<WireRankShare>);

/// Rank, fraction and weight of a share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct WireRankShare(u32, u16, u16);

impl From<DemandReport> for WireDemand {
    fn from(report: DemandReport) -> Self {
        let services = report.services.into_iter().take(MAX_SERVICES);
        let services = services.map(|(service, ranks)| {
            let ranks = ranks.iter().take(MAX_RANKS).map(WireRankWork::from);
            (service, ranks.collect())
        });
        Self {
            interval_ms: report.interval.as_millis() as u32,
            services: services.collect(),
        }
    }
}

impl From<&WireDemand> for DemandReport {
    fn from(wire: &WireDemand) -> Self {
        let services = wire.services.iter().map(|(service, ranks)| {
            let ranks = ranks.iter().copied().map(RankWork::from);
            (service.clone(), ranks.collect())
        });
        Self {
            interval: Duration::from_millis(u64::from(wire.interval_ms)),
            services: services.collect(),
        }
    }
}

impl From<&RankWork> for WireRankWork {
    fn from(work: &RankWork) -> Self {
        let sums = [work.offered, work.admitted, work.rejected];
        Self {
            rank: work.rank,
            requests: sums.map(|sum| sum.requests),
            slot_ms: sums.map(|sum| sum.slot_ms.round() as u32),
            untimed: work.untimed,
        }
    }
}

impl From<WireRankWork> for RankWork {
    fn from(wire: WireRankWork) -> Self {
        let sum = |index: usize| WorkSum {
            requests: wire.requests[index],
            slot_ms: f64::from(wire.slot_ms[index]),
        };
        Self {
            rank: wire.rank,
            offered: sum(0),
            admitted: sum(1),
            rejected: sum(2),
            untimed: wire.untimed,
        }
    }
}

impl From<&ServiceShares> for WireServiceShares {
    fn from(told: &ServiceShares) -> Self {
        let to_steps = |fraction: f64| (fraction.clamp(0.0, 1.0) * FRACTION_STEPS).round() as u16;
        let shares = told.shares.iter().take(MAX_RANKS);
        let shares = shares.map(|share| {
            WireRankShare(share.rank, to_steps(share.fraction), to_steps(share.weight))
        });
        Self(told.service.clone(), shares.collect())
    }
}

impl From<WireServiceShares> for ServiceShares {
    fn from(WireServiceShares(service, shares): WireServiceShares) -> Self {
        let to_fraction = |steps: u16| (f64::from(steps) / FRACTION_STEPS).min(1.0);
        let shares = shares
            .into_iter()
            .map(|WireRankShare(rank, fraction, weight)| RankShare {
                rank,
                fraction: to_fraction(fraction),
                weight: to_fraction(weight),
            });
        Self {
            service,
            shares: shares.collect(),
        }
    }
}
