//! Moves of ranges away from candidates that must give up their keys.

use crate::balance::{OwnerCandidate, ShareRow, ShareTable, SpareRanges, split_orphan};
use crate::{Holder, KeyLoads, OwnedRange, OwnerMap};
use evac::MoveProgress;
use indexmap::{IndexMap, IndexSet};
use kernel::Moment;

/// The candidates that must give up their keys, and by when.
#[derive(Debug)]
pub(crate) struct EvacuatedHolders<'a> {
    ends: IndexMap<&'a Holder, Moment>,
}

impl<'a> EvacuatedHolders<'a> {
    /// Returns the candidates that must give up their keys; `None` if there are none.
    pub(crate) fn find(candidates: &'a [OwnerCandidate]) -> Option<Self> {
        let evacuated = candidates
            .iter()
            .filter_map(|candidate| Some((&candidate.holder, candidate.gives_up_by?)));
        let ends: IndexMap<&Holder, Moment> = evacuated.collect();
        (!ends.is_empty()).then_some(Self { ends })
    }

    /// Returns the time by which a range is to be moved; `None` if it may stay.
    pub(crate) fn end_of(&self, range: &OwnedRange) -> Option<Moment> {
        self.ends.get(range.owner.as_ref()?).copied()
    }

    /// Returns the times by which ranges are still to be moved, in order. Domains that
    /// were ordered to be evacuated at different times have their own pace.
    pub(crate) fn pending_ends(&self, map: &OwnerMap) -> Vec<Moment> {
        let ends: IndexSet<Moment> = map
            .ranges
            .iter()
            .filter_map(|range| self.end_of(range))
            .collect();
        let mut ends: Vec<Moment> = ends.into_iter().collect();
        ends.sort();
        ends
    }

    /// Returns until when, and under which epoch, one of them had a range that is not yet
    /// served by its new owner. The parts of a range that was split have the same epoch.
    fn given_up(&self, range: &OwnedRange) -> Option<(Moment, u64)> {
        if range.is_granted || self.end_of(range).is_some() {
            return None;
        }
        let mut previous = range.previous_holders.iter().rev();
        previous.find_map(|(holder, epoch)| Some((*self.ends.get(holder)?, *epoch)))
    }

    /// Returns the progress of the moves that are to end at a time.
    pub(crate) fn progress(&self, now: Moment, map: &OwnerMap, end: Moment) -> MoveProgress {
        let mut remaining = 0;
        let mut given_up_epochs = IndexSet::new();
        for range in &map.ranges {
            if self.end_of(range) == Some(end) {
                remaining += 1;
            }
            if let Some((known_end, epoch)) = self.given_up(range)
                && known_end == end
            {
                given_up_epochs.insert(epoch);
            }
        }
        MoveProgress {
            remaining,
            moving: given_up_epochs.len(),
            time_left: end - now,
        }
    }

    /// Returns the number of ranges whose move has not begun, and of those that are being
    /// moved.
    pub(crate) fn counts(&self, map: &OwnerMap) -> (usize, usize) {
        let ranges = map.ranges.iter();
        let remaining = ranges
            .clone()
            .filter(|range| self.end_of(range).is_some())
            .count();
        let moving: IndexSet<(Moment, u64)> =
            ranges.filter_map(|range| self.given_up(range)).collect();
        (remaining, moving.len())
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
