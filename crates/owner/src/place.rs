//! Placement policies: which upstream a shard goes to.

use crate::ShardLoad;
use kernel::{DomainName, Named, ShardId, UpstreamId};
use std::fmt;
use std::sync::Arc;

/// An upstream that could own a shard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlacementCandidate {
    /// The upstream.
    pub id: UpstreamId,
    /// Its failure domain.
    pub domain: DomainName,
    /// Slot time used, in milliseconds per second.
    pub slot_ms: u32,
    /// Shards that it owns.
    pub shards: u32,
    /// Whether it is in the deciding host's own failure domain.
    pub is_local: bool,
}

/// What a policy may look at.
#[derive(Clone, Copy, Debug)]
pub struct PlacementView<'a> {
    /// Candidates, without the upstream that the shard is taken from.
    pub candidates: &'a [PlacementCandidate],
}

/// Decides where shards go.
pub trait PlacementPolicy: Send + Sync + fmt::Debug {
    /// Picks the new owner of a shard that has to go.
    fn pick_target<'a>(&self, view: &PlacementView<'a>) -> Option<&'a PlacementCandidate>;

    /// Picks a shard to move from a loaded upstream, if any is worth its cost.
    fn pick_move<'a>(
        &self,
        from: &PlacementCandidate,
        shards: &[ShardLoad],
        view: &PlacementView<'a>,
    ) -> Option<(ShardId, &'a PlacementCandidate)>;
}

/// A placement policy that settings choose by name.
#[derive(Debug)]
pub struct PlacementPlugin {
    /// Name used in settings.
    pub name: &'static str,
    /// Builds the policy.
    pub make: fn() -> Arc<dyn PlacementPolicy>,
}

impl Named for PlacementPlugin {
    fn name(&self) -> &'static str {
        self.name
    }
}

inventory::collect!(PlacementPlugin);

inventory::submit! {
    PlacementPlugin { name: "load", make: || Arc::new(LoadPlacement) }
}

inventory::submit! {
    PlacementPlugin { name: "static", make: || Arc::new(StaticPlacement) }
}

/// Follows measured load, with hysteresis.
#[derive(Clone, Copy, Debug)]
struct LoadPlacement;

/// Loads above the mean by less than this are left alone, in percent.
const EXCESS_PERCENT: u64 = 12;
/// Loads below this are not worth a move, in slot milliseconds per second.
const WORTHWHILE_SLOT_MS: u32 = 120;

impl PlacementPolicy for LoadPlacement {
    fn pick_target<'a>(&self, view: &PlacementView<'a>) -> Option<&'a PlacementCandidate> {
        least_loaded(view)
    }

    fn pick_move<'a>(
        &self,
        from: &PlacementCandidate,
        shards: &[ShardLoad],
        view: &PlacementView<'a>,
    ) -> Option<(ShardId, &'a PlacementCandidate)> {
        let target = least_loaded(view)?;
        let total: u64 = view.candidates.iter().map(|c| u64::from(c.slot_ms)).sum();
        let count = view.candidates.len() as u64 + 1;
        let mean = (total + u64::from(from.slot_ms)) / count;
        let is_excessive = u64::from(from.slot_ms) * 100 > mean * (100 + EXCESS_PERCENT);
        let gap = from.slot_ms.saturating_sub(target.slot_ms);
        if !is_excessive || gap < WORTHWHILE_SLOT_MS {
            return None;
        }
        // A shard of half the gap evens both out; a heavier one would swap roles.
        let fitting = shards.iter().filter(|load| load.slot_ms * 2 <= gap);
        let best = fitting.max_by_key(|load| load.slot_ms)?;
        if best.slot_ms < WORTHWHILE_SLOT_MS / 8 {
            return None;
        }
        Some((best.shard?, target))
    }
}

/// Keeps shards where they are unless their owner goes.
#[derive(Clone, Copy, Debug)]
struct StaticPlacement;

impl PlacementPolicy for StaticPlacement {
    fn pick_target<'a>(&self, view: &PlacementView<'a>) -> Option<&'a PlacementCandidate> {
        view.candidates
            .iter()
            .min_by_key(|candidate| (!candidate.is_local, candidate.shards, &candidate.id))
    }

    fn pick_move<'a>(
        &self,
        _from: &PlacementCandidate,
        _shards: &[ShardLoad],
        _view: &PlacementView<'a>,
    ) -> Option<(ShardId, &'a PlacementCandidate)> {
        None
    }
}

fn least_loaded<'a>(view: &PlacementView<'a>) -> Option<&'a PlacementCandidate> {
    view.candidates.iter().min_by_key(|candidate| {
        (
            !candidate.is_local,
            candidate.slot_ms,
            candidate.shards,
            &candidate.id,
        )
    })
}
