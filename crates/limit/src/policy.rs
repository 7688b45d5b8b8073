//! Which rank is served next.

use kernel::{Moment, Named};
use sheet::Rank;
use std::fmt;

/// One rank's queue as a policy sees it.
#[derive(Clone, Copy, Debug)]
pub struct RankView {
    /// The rank.
    pub rank: Rank,
    /// When its oldest eligible request was queued; `None` when none is.
    pub oldest: Option<Moment>,
    /// Its share of the slot time used lately; `None` while slots are plenty.
    pub share: Option<f64>,
    /// Its least share.
    pub floor: f64,
}

/// Chooses the rank to serve next.
pub trait SchedulingPolicy: Send + fmt::Debug {
    /// Returns the rank to serve, or `None` when nothing is eligible.
    fn pick(&self, ranks: &[RankView; 3]) -> Option<Rank>;

    /// Returns whether customers of a rank share slot time fairly.
    fn is_fair(&self) -> bool {
        true
    }
}

/// A pick policy that settings choose by name.
#[derive(Debug)]
pub struct SchedulingPlugin {
    /// Name used in settings.
    pub name: &'static str,
    /// Builds the policy.
    pub make: fn() -> Box<dyn SchedulingPolicy>,
}

impl Named for SchedulingPlugin {
    fn name(&self) -> &'static str {
        self.name
    }
}

inventory::collect!(SchedulingPlugin);

inventory::submit! {
    SchedulingPlugin { name: "floors", make: || Box::new(FloorsFirst) }
}

inventory::submit! {
    SchedulingPlugin { name: "strict", make: || Box::new(StrictPriority) }
}

inventory::submit! {
    SchedulingPlugin { name: "fifo", make: || Box::new(ArrivalOrder) }
}

/// Serves ranks below their floor first, then the most urgent.
#[derive(Clone, Copy, Debug)]
struct FloorsFirst;

impl SchedulingPolicy for FloorsFirst {
    fn pick(&self, ranks: &[RankView; 3]) -> Option<Rank> {
        let mut neediest: Option<(f64, Rank)> = None;
        for view in ranks {
            let Some(share) = view.share else {
                continue;
            };
            let deficit = view.floor - share;
            if view.oldest.is_none() || deficit <= 0.0 {
                continue;
            }
            if neediest.is_none_or(|(most, _)| deficit > most) {
                neediest = Some((deficit, view.rank));
            }
        }
        match neediest {
            Some((_, rank)) => Some(rank),
            None => StrictPriority.pick(ranks),
        }
    }
}

/// Serves the most urgent rank that has work.
#[derive(Clone, Copy, Debug)]
struct StrictPriority;

impl SchedulingPolicy for StrictPriority {
    fn pick(&self, ranks: &[RankView; 3]) -> Option<Rank> {
        let view = ranks.iter().find(|view| view.oldest.is_some())?;
        Some(view.rank)
    }
}

/// Serves requests in the order of arrival.
#[derive(Clone, Copy, Debug)]
struct ArrivalOrder;

impl SchedulingPolicy for ArrivalOrder {
    fn pick(&self, ranks: &[RankView; 3]) -> Option<Rank> {
        let queued = ranks.iter().filter(|view| view.oldest.is_some());
        let view = queued.min_by_key(|view| view.oldest)?;
        Some(view.rank)
    }

    fn is_fair(&self) -> bool {
        false
    }
}
