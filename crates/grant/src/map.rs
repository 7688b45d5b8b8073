//! The row that says who owns which keys.

use crate::KEY_COUNT;
use kernel::UpstreamId;

/// One run of an upstream.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Holder {
    /// The upstream.
    pub upstream: UpstreamId,
    /// When this run of it started, in Unix milliseconds.
    pub run: u64,
}

/// A range of keys and its owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnedRange {
    /// First key.
    pub first: u16,
    /// Last key.
    pub last: u16,
    /// Who owns it; absent while no upstream is there.
    pub owner: Option<Holder>,
    /// Fencing token of the owner's grant.
    pub epoch: u64,
    /// Whether the owner has taken the grant.
    pub is_granted: bool,
    /// Who else may hold it still, with the epochs of those grants.
    ///
    /// There can be several: an owner may leave before its grant is known to have
    /// been taken, and then it and the one before it have to let go.
    pub previous_holders: Vec<(Holder, u64)>,
}

impl OwnedRange {
    /// Returns everybody who may hold the range once its owner changes.
    pub(crate) fn possible_holders(&self) -> Vec<(Holder, u64)> {
        let mut holders = self.previous_holders.clone();
        if let Some(owner) = &self.owner {
            holders.push((owner.clone(), self.epoch));
        }
        holders
    }
}

/// Owners of all keys of a service, in order of the keys.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OwnerMap {
    /// The ranges; they cover all keys without a gap, or there are none.
    pub ranges: Vec<OwnedRange>,
}

impl OwnerMap {
    /// Returns the range of a key.
    pub fn find(&self, key: u16) -> Option<&OwnedRange> {
        let index = self.ranges.partition_point(|range| range.last < key);
        self.ranges.get(index).filter(|range| range.first <= key)
    }

    /// Returns the greatest epoch in use.
    pub fn greatest_epoch(&self) -> u64 {
        let ranges = self.ranges.iter();
        let epochs = ranges.flat_map(|range| {
            let earlier = range.previous_holders.iter().map(|(_, epoch)| *epoch);
            earlier.chain([range.epoch])
        });
        epochs.max().unwrap_or(0)
    }

    /// Drops earlier holders, which only who grants keys has to know.
    pub fn clear_previous_holders(&mut self) {
        for range in &mut self.ranges {
            range.previous_holders = Vec::new();
        }
    }

    /// Returns the ranges that `earlier` has not.
    pub fn changes_since(&self, earlier: &Self) -> Self {
        let changed = self.ranges.iter().filter(|range| {
            let index = earlier
                .ranges
                .partition_point(|known| known.last < range.last);
            earlier.ranges.get(index) != Some(*range)
        });
        Self {
            ranges: changed.cloned().collect(),
        }
    }

    /// Returns this map with some ranges replaced; it is whole if they are the
    /// changes since this one.
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

    /// Returns whether the ranges cover all keys in order.
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
