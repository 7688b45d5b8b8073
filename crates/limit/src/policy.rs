//! Scheduling policies, which select the rank to serve next.

use kernel::{Moment, NamedPlugin};
use sheet::Rank;
use std::fmt;

/// Queue of one rank as a policy sees it.
#[derive(Clone, Copy, Debug)]
pub struct RankView {
    /// The rank.
    pub rank: Rank,
    /// Time at which its oldest eligible request was queued; `None` without one. A
    /// policy that is fair among customers may get the time of any eligible request.
    pub oldest: Option<Moment>,
    /// Its share of the slot time used recently; `None` while less than half of the
    /// slots have been in use.
    pub share: Option<f64>,
    /// Its minimum share of slot time.
    pub floor: f64,
}

/// Selects the rank to serve next.
pub trait SchedulingPolicy: Send + fmt::Debug {
    /// Returns the rank to serve, or `None` when nothing is eligible.
    fn pick(&self, ranks: &[RankView; 3]) -> Option<Rank>;

    /// Returns whether the customers of a rank share slot time fairly; otherwise the
    /// oldest request goes first.
    fn is_fair(&self) -> bool {
        true
    }
}

/// A scheduling policy that settings select by name.
#[derive(Debug)]
pub struct SchedulingPlugin {
    /// Name used in settings.
    pub name: &'static str,
    /// Builds the policy.
    pub build: fn() -> Box<dyn SchedulingPolicy>,
}

impl NamedPlugin for SchedulingPlugin {
    fn name(&self) -> &'static str {
        self.name
    }
}

inventory::collect!(SchedulingPlugin);

inventory::submit! {
    SchedulingPlugin { name: "floors", build: || Box::new(FloorPolicy) }
}

inventory::submit! {
    SchedulingPlugin { name: "strict", build: || Box::new(StrictPolicy) }
}

inventory::submit! {
    SchedulingPlugin { name: "fifo", build: || Box::new(FifoPolicy) }
}

/// Serves the rank that is furthest below its floor, or else the most urgent one.
#[derive(Clone, Copy, Debug)]
struct FloorPolicy;

impl SchedulingPolicy for FloorPolicy {
    fn pick(&self, ranks: &[RankView; 3]) -> Option<Rank> {
        let mut furthest_below: Option<(f64, Rank)> = None;
        for view in ranks {
            let Some(share) = view.share else {
                continue;
            };
            let deficit = view.floor - share;
            if view.oldest.is_none() || deficit <= 0.0 {
                continue;
            }
            if furthest_below.is_none_or(|(max_deficit, _)| deficit > max_deficit) {
                furthest_below = Some((deficit, view.rank));
            }
        }
        match furthest_below {
            Some((_, rank)) => Some(rank),
            None => StrictPolicy.pick(ranks),
        }
    }
}

/// Serves the most urgent rank that has eligible requests.
#[derive(Clone, Copy, Debug)]
struct StrictPolicy;

impl SchedulingPolicy for StrictPolicy {
    fn pick(&self, ranks: &[RankView; 3]) -> Option<Rank> {
        let view = ranks.iter().find(|view| view.oldest.is_some())?;
        Some(view.rank)
    }
}

/// Serves requests in the order of arrival.
#[derive(Clone, Copy, Debug)]
struct FifoPolicy;

impl SchedulingPolicy for FifoPolicy {
    fn pick(&self, ranks: &[RankView; 3]) -> Option<Rank> {
        let queued = ranks.iter().filter(|view| view.oldest.is_some());
        let view = queued.min_by_key(|view| view.oldest)?;
        Some(view.rank)
    }

    fn is_fair(&self) -> bool {
        false
    }
}
