//! Moves of ranges away from candidates that must give up their keys.

use crate::balance::{OwnerCandidate, ShareRow, ShareTable, SpareRanges, split_orphan};
use crate::{Holder, KeyLoads, OwnedRange, OwnerMap};
use evac::MoveProgress;
use indexmap::{IndexMap, IndexSet};
use kernel::Moment;
use std::time::Duration;

/// The candidates that must give up their keys.
#[derive(Debug)]
pub(crate) struct EvacuatedHolders<'a> {
    holders: IndexSet<&'a Holder>,
    /// Earliest time by which one of them is to have given up its keys.
    moves_end: Moment,
}

impl<'a> EvacuatedHolders<'a> {
    /// Returns the candidates that must give up their keys; `None` if there are none.
    pub(crate) fn find(candidates: &'a [OwnerCandidate]) -> Option<Self> {
        let evacuated = candidates
            .iter()
            .filter_map(|candidate| Some((&candidate.holder, candidate.gives_up_by?)));
        let moves_end = evacuated.clone().map(|(_, end)| end).min()?;
        Some(Self {
            holders: evacuated.map(|(holder, _)| holder).collect(),
            moves_end,
        })
    }

    /// Returns whether the range belongs to one of them.
    pub(crate) fn own(&self, range: &OwnedRange) -> bool {
        let owner = range.owner.as_ref();
        owner.is_some_and(|owner| self.holders.contains(owner))
    }

    /// Returns the epoch under which one of them had a range that is not yet served by
    /// its new owner. The parts of a range that was split have the same one.
    fn given_up_epoch(&self, range: &OwnedRange) -> Option<u64> {
        if range.is_granted || self.own(range) {
            return None;
        }
        let mut previous = range.previous_holders.iter().rev();
        let given_up = previous.find(|(holder, _)| self.holders.contains(holder));
        given_up.map(|(_, epoch)| *epoch)
    }

    /// Returns the progress of the moves.
    pub(crate) fn progress(&self, now: Moment, map: &OwnerMap) -> MoveProgress {
        let ranges = map.ranges.iter();
        let moving = ranges
            .clone()
            .filter_map(|range| self.given_up_epoch(range));
        MoveProgress {
            remaining: ranges.filter(|range| self.own(range)).count(),
            moving: moving.collect::<IndexSet<u64>>().len(),
            time_left: self.time_left(now),
        }
    }

    /// Returns the time until all ranges are to be moved.
    pub(crate) fn time_left(&self, now: Moment) -> Duration {
        self.moves_end - now
    }
}

/// Moves up to `count` ranges, the busiest first, each to the candidates with the most
/// headroom; returns whether any was moved.
///
/// `may_move` returns whether a range may be moved now. A range whose owner has not
/// accepted it comes first, as nobody serves it.
pub(crate) fn move_ranges(
    map: &mut OwnerMap,
    candidates: &[OwnerCandidate],
    loads: &KeyLoads,
    count: usize,
    may_move: &dyn Fn(&OwnedRange) -> bool,
    next_epoch: &mut dyn FnMut() -> u64,
) -> bool {
    if count == 0 || !candidates.iter().any(|candidate| candidate.accepts_keys) {
        return false;
    }
    let mut moved: Vec<(bool, f64, usize)> = Vec::new();
    for (index, range) in map.ranges.iter().enumerate() {
        if may_move(range) {
            let share = loads.share(range.first, range.last);
            moved.push((range.is_granted, share, index));
        }
    }
    moved.sort_by(|a, b| a.0.cmp(&b.0).then(b.1.total_cmp(&a.1)));
    moved.truncate(count);
    let mut table = ShareTable::new(candidates, map, loads, &[]);
    let mut spare_ranges = SpareRanges::new(candidates.len(), map.ranges.len());
    let mut pieces: IndexMap<usize, Vec<OwnedRange>> = IndexMap::new();
    for (_, _, index) in &moved {
        let mut parts = Vec::new();
        split_orphan(
            &map.ranges[*index],
            spare_ranges.max_pieces(),
            // Each part costs a release and a grant, so a range is only split if it
            // would make its receiver give keys away.
            ShareRow::max_headroom,
            &mut table,
            loads,
            next_epoch,
            &mut parts,
        );
        spare_ranges.record_pieces(parts.len());
        pieces.insert(*index, parts);
    }
    let mut ranges = Vec::with_capacity(map.ranges.len() + pieces.len());
    for (index, range) in map.ranges.drain(..).enumerate() {
        match pieces.swap_remove(&index) {
            Some(parts) => ranges.extend(parts),
            None => ranges.push(range),
        }
    }
    map.ranges = ranges;
    !moved.is_empty()
}
