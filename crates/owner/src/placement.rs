//! Placement policies, which choose the upstream that a shard is assigned to.

use crate::ShardLoad;
use kernel::{DomainName, NamedPlugin, ShardId, UpstreamId};
use std::fmt;
use std::sync::Arc;

/// An upstream that could own a shard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlacementCandidate {
    /// The upstream.
    pub id: UpstreamId,
    /// The upstream's failure domain.
    pub domain: DomainName,
    /// Slot time used, in milliseconds per second.
    pub slot_ms: u32,
    /// Number of shards that it owns.
    pub shards: u32,
    /// Whether it is in the failure domain of the host that decides.
    pub is_local: bool,
}

/// Input of a placement decision.
#[derive(Clone, Copy, Debug)]
pub struct PlacementView<'a> {
    /// Candidates, without the upstream that the shard is taken from.
    pub candidates: &'a [PlacementCandidate],
}

/// Decides which upstream owns a shard.
pub trait PlacementPolicy: Send + Sync + fmt::Debug {
    /// Picks the new owner of a shard that must leave its current owner.
    fn pick_target<'a>(&self, view: &PlacementView<'a>) -> Option<&'a PlacementCandidate>;

    /// Picks a shard to move away from `from` and its new owner, if any move is worth
    /// its cost.
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
    pub build: fn() -> Arc<dyn PlacementPolicy>,
}

impl NamedPlugin for PlacementPlugin {
    fn name(&self) -> &'static str {
        self.name
    }
}

inventory::collect!(PlacementPlugin);

inventory::submit! {
    PlacementPlugin { name: "load", build: || Arc::new(LoadPlacement) }
}

inventory::submit! {
    PlacementPlugin { name: "static", build: || Arc::new(StaticPlacement) }
}

/// Places shards by measured load, with hysteresis.
#[derive(Clone, Copy, Debug)]
struct LoadPlacement;

/// Excess over the mean load up to which nothing is moved, in percent.
const MAX_EXCESS_PERCENT: u64 = 12;
/// Load difference below which nothing is moved, in slot milliseconds per second.
///
/// A shard is moved only if its own load is at least an eighth of this.
const MIN_LOAD_GAP_SLOT_MS: u32 = 120;

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
        let is_excessive = u64::from(from.slot_ms) * 100 > mean * (100 + MAX_EXCESS_PERCENT);
        let gap = from.slot_ms.saturating_sub(target.slot_ms);
        if !is_excessive || gap < MIN_LOAD_GAP_SLOT_MS {
            return None;
        }
        // A shard with half the gap equalizes both loads; a heavier one would make the
        // target the more loaded one.
        let fitting = shards.iter().filter(|load| load.slot_ms * 2 <= gap);
        let best = fitting.max_by_key(|load| load.slot_ms)?;
        if best.slot_ms < MIN_LOAD_GAP_SLOT_MS / 8 {
            return None;
        }
        Some((best.shard?, target))
    }
}

/// Keeps shards with their owner until the owner is lost or leaves.
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
