//! Owners of key ranges, as stored in a row of the store.

use crate::KEY_COUNT;
use kernel::UpstreamId;

/// About the size of an encoded range and of its holder's name, in bytes.
const RANGE_BYTES: usize = 30;
/// About the size of an encoded previous holder, in bytes.
const PREVIOUS_HOLDER_BYTES: usize = 9;

/// One run of an upstream's process.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Holder {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Start time of this run, in Unix milliseconds.
    pub run: u64,
}

/// A range of keys and its owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnedRange {
    /// First key.
    pub first: u16,
    /// Last key.
    pub last: u16,
    /// Owner of the range; `None` while no upstream is available.
    pub owner: Option<Holder>,
    /// Fencing token of the owner's grant.
    pub epoch: u64,
    /// Whether the owner is known to have accepted the grant.
    pub is_granted: bool,
    /// Runs that may still hold the range under previous epochs, with these epochs.
    ///
    /// There can be several: an owner may leave before its grant is known to have been
    /// accepted; then both it and its predecessor have to release the range.
    pub previous_holders: Vec<(Holder, u64)>,
}

impl OwnedRange {
    /// Returns all runs that may hold the range once its owner changes.
    pub(crate) fn possible_holders(&self) -> Vec<(Holder, u64)> {
        let mut holders = self.previous_holders.clone();
        if let Some(owner) = &self.owner {
            holders.push((owner.clone(), self.epoch));
        }
        holders
    }
}

/// Owners of all keys of a service, in key order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OwnerMap {
    /// The ranges: either they cover all keys without a gap, or there are none.
    pub ranges: Vec<OwnedRange>,
}

impl OwnerMap {
    /// Returns the range that contains `key`.
    pub fn range_of(&self, key: u16) -> Option<&OwnedRange> {
        self.ranges.get(self.index_of(key)?)
    }

    /// Returns the index of the range that contains `key`.
    pub(crate) fn index_of(&self, key: u16) -> Option<usize> {
        let index = self.ranges.partition_point(|range| range.last < key);
        let range = self.ranges.get(index)?;
        (range.first <= key).then_some(index)
    }

    /// Returns about how many bytes the map takes as a row of the store.
    pub(crate) fn estimate_row_bytes(&self) -> usize {
        let previous = self.ranges.iter().map(|range| range.previous_holders.len());
        self.ranges.len() * RANGE_BYTES + previous.sum::<usize>() * PREVIOUS_HOLDER_BYTES
    }

    /// Returns the greatest epoch in use, including those of previous holders.
    pub fn greatest_epoch(&self) -> u64 {
        let ranges = self.ranges.iter();
        let epochs = ranges.flat_map(|range| {
            let previous = range.previous_holders.iter().map(|(_, epoch)| *epoch);
            previous.chain([range.epoch])
        });
        epochs.max().unwrap_or(0)
    }

    /// Removes the previous holders, which only the leader needs to know.
    pub fn clear_previous_holders(&mut self) {
        for range in &mut self.ranges {
            range.previous_holders = Vec::new();
        }
    }

    /// Returns the ranges that are not in `previous`.
    pub fn changes_since(&self, previous: &Self) -> Self {
        let changed = self.ranges.iter().filter(|range| {
            let index = previous
                .ranges
                .partition_point(|known| known.last < range.last);
            previous.ranges.get(index) != Some(*range)
        });
        Self {
            ranges: changed.cloned().collect(),
        }
    }

    /// Returns this map with `changes` applied; the result covers all keys if `changes`
    /// are the changes since this map.
    pub fn with_changes(&self, changes: &Self) -> Self {
        let is_kept = |range: &&OwnedRange| {
            let index = changes
                .ranges
                .partition_point(|change| change.last < range.first);
            changes
                .ranges
                .get(index)
                .is_none_or(|change| range.last < change.first)
        };
        let kept = self.ranges.iter().filter(is_kept);
        let mut ranges: Vec<OwnedRange> = kept.chain(&changes.ranges).cloned().collect();
        ranges.sort_by_key(|range| range.first);
        Self { ranges }
    }

    /// Returns whether the ranges cover all keys in order and without a gap.
    pub fn is_complete(&self) -> bool {
        let mut next = 0;
        for range in &self.ranges {
            if u32::from(range.first) != next || range.last < range.first {
                return false;
            }
            next = u32::from(range.last) + 1;
        }
        next == KEY_COUNT
    }
}
