//! How much of the load on its keys each upstream can serve.
//!
//! Answers keys that are too busy for their holder while many hosts send to it: each
//! host sends few of the requests and sees little of the queue, and together they fill
//! it, so that what is served is late. Told of the share that fits, every host refuses
//! the rest at once, and what is sent is answered in time.

use crate::{Candidate, KeyLoads, OwnerMap};
use indexmap::IndexMap;
use kernel::UpstreamId;
use std::time::Duration;

/// Part of an upstream's throughput that is given out; the rest keeps its queue short.
const USED_PART: f64 = 0.9;
/// Share of the requests below which an upstream counts as overloaded; the measured
/// load and speed are not exact enough to tell more.
const OVERLOADED: f64 = 0.85;
/// Answers a second that a host gets from an upstream above which it knows the queue
/// there itself; what an answer tells of it counts for about two seconds.
const INFORMED: f64 = 0.4;

/// Returns the overloaded upstreams with the share of their requests that they can
/// serve, the most overloaded first, but for those that each of the `hosts` knows well
/// itself; `half_life` is that of the loads.
pub fn admitted_shares(
    map: &OwnerMap,
    loads: &KeyLoads,
    candidates: &[Candidate],
    hosts: usize,
    half_life: Duration,
) -> Vec<(UpstreamId, f64)> {
    let mut demands: IndexMap<&UpstreamId, f64> = IndexMap::new();
    for range in &map.ranges {
        let Some(owner) = &range.owner else {
            continue;
        };
        let demand = loads.rate(range.first, range.last, half_life);
        *demands.entry(&owner.upstream).or_default() += demand;
    }
    let mut shares = Vec::new();
    for candidate in candidates {
        let id = &candidate.holder.upstream;
        let (Some(rate), Some(demand)) = (candidate.rate, demands.get(id)) else {
            continue;
        };
        if rate > INFORMED * hosts as f64 {
            continue;
        }
        let share = USED_PART * rate / demand.max(f64::MIN_POSITIVE);
        if share < OVERLOADED {
            shares.push((id.clone(), share));
        }
    }
    shares.sort_by(|(_, a), (_, b)| a.total_cmp(b));
    shares
}
