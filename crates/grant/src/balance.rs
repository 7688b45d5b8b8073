//! Assignment of key ranges to upstreams.
//!
//! Evens out the load of the keys: each upstream is meant to have the share of all load
//! that its capacity (slots times speed) is of the total capacity. Orphaned keys are
//! spread over the upstreams with the most headroom. Keys that are too hot for any
//! upstream, and cannot be split, go to the strongest upstreams, which give all their
//! other keys away; the remaining keys are balanced among the other upstreams by the
//! same rules.

use crate::{Holder, KEY_COUNT, KeyLoads, OwnedRange, OwnerMap};
use kernel::UpstreamId;

/// Ratio of load to fair share above which an upstream gives keys away; at a lower
/// ratio moving keys costs more than it brings.
const OVERLOAD_RATIO: f64 = 1.25;
/// Ratio of load to fair share below which an upstream receives keys from overloaded
/// ones.
const RECEIVER_RATIO: f64 = 0.9;
/// Ratio of load to fair share below which an upstream receives keys from any upstream
/// that is above its fair share.
const IDLE_RATIO: f64 = 0.6;
/// Smallest fraction of the receiver's fair share that is worth a move.
const MIN_MOVE_FRACTION: f64 = 0.04;
/// Lower bound of the limit on moves for balance in one step.
const MIN_MOVE_LIMIT: usize = 4;
/// Fraction of the upstreams that may be moving keys for balance at a time; requests
/// for these keys wait until running work has ended.
const MAX_MOVING_FRACTION: f64 = 0.12;
/// Maximum number of hot buckets that are given upstreams of their own at a time.
const MAX_HOT_BUCKETS: usize = 21;
/// Maximum fraction of the upstreams that serve only a hot bucket.
const MAX_HOT_UPSTREAM_FRACTION: f64 = 0.34;
/// Ratio of capacities above which a hot bucket moves to a stronger upstream.
const MIN_HOT_CAPACITY_RATIO: f64 = 1.25;
/// Maximum number of pieces that an orphaned range is split into.
const MAX_ORPHAN_PIECES: usize = 4;
/// Number of ranges per upstream above which no range is split for balance; each range
/// is renewed by a call of its own.
const MAX_RANGES_PER_UPSTREAM: usize = 3;
/// Number of ranges above which none is split at all; the row that holds them is
/// limited to 64 KB in base64, and a moving range takes up to 90 bytes.
const MAX_RANGES: usize = 480;

/// An upstream that may be given keys.
#[derive(Clone, Debug, PartialEq)]
pub struct OwnerCandidate {
    /// The upstream's current run.
    pub holder: Holder,
    /// Number of its slots times its relative speed.
    pub capacity: f64,
    /// Whether it may receive more keys; otherwise it only keeps those it has.
    pub accepts_keys: bool,
}

impl OwnerCandidate {
    /// Builds a candidate.
    pub fn new(upstream: &str, run: u64, capacity: f64) -> Self {
        Self {
            holder: Holder {
                upstream: UpstreamId::from(upstream),
                run,
            },
            capacity,
            accepts_keys: true,
        }
    }
}

/// Fair and current shares of load of the candidates.
#[derive(Debug)]
struct ShareTable {
    rows: Vec<ShareRow>,
    /// Fraction of all load that is not on hot buckets; the shares in `rows` are
    /// fractions of it.
    non_hot_share: f64,
}

#[derive(Debug)]
struct ShareRow {
    holder: Holder,
    fair_share: f64,
    current_share: f64,
}

/// A bucket of keys that is too hot for any upstream, and the upstream that is to serve
/// it.
#[derive(Clone, Debug, PartialEq)]
struct HotBucket {
    first: u16,
    last: u16,
    share: f64,
    holder: Holder,
}

impl ShareTable {
    /// Builds the table without the load of hot buckets; the upstreams that serve hot
    /// buckets have a fair share of zero.
    fn new(
        candidates: &[OwnerCandidate],
        map: &OwnerMap,
        loads: &KeyLoads,
        hot_buckets: &[HotBucket],
    ) -> Self {
        let serves_hot_bucket = |holder: &Holder| {
            hot_buckets
                .iter()
                .any(|hot_bucket| hot_bucket.holder == *holder)
        };
        let receivers = candidates.iter().filter(|candidate| candidate.accepts_keys);
        let sharing = receivers
            .clone()
            .filter(|candidate| !serves_hot_bucket(&candidate.holder));
        let sharing_capacity: f64 = sharing.map(|candidate| candidate.capacity).sum();
        let rows = receivers.map(|candidate| ShareRow {
            fair_share: if serves_hot_bucket(&candidate.holder) {
                0.0
            } else {
                candidate.capacity / sharing_capacity.max(f64::MIN_POSITIVE)
            },
            holder: candidate.holder.clone(),
            current_share: 0.0,
        });
        let hot_share: f64 = hot_buckets.iter().map(|hot_bucket| hot_bucket.share).sum();
        let mut table = Self {
            rows: rows.collect(),
            non_hot_share: (1.0 - hot_share).max(0.01),
        };
        for range in &map.ranges {
            let Some(owner) = &range.owner else {
                continue;
            };
            let mut share = loads.share(range.first, range.last);
            for hot_bucket in hot_buckets {
                if range.first <= hot_bucket.first && hot_bucket.last <= range.last {
                    share -= hot_bucket.share;
                }
            }
            table.add(owner, share.max(0.0));
        }
        table
    }

    /// Adds a share of all load to an upstream; ignores upstreams that are not in the
    /// table.
    fn add(&mut self, holder: &Holder, share: f64) {
        let table_share = share / self.non_hot_share;
        if let Some(row) = self.rows.iter_mut().find(|row| row.holder == *holder) {
            row.current_share += table_share;
        }
    }

    /// Returns the row that is furthest below its fair share.
    fn furthest_below_fair_share(&self) -> Option<&ShareRow> {
        let by_headroom = |a: &&ShareRow, b: &&ShareRow| {
            let headroom_a = a.fair_share - a.current_share;
            headroom_a.total_cmp(&(b.fair_share - b.current_share))
        };
        self.rows.iter().max_by(by_headroom)
    }

    /// Returns the rows in descending order of load ratio.
    fn by_load_ratio(&self) -> Vec<&ShareRow> {
        let mut rows: Vec<&ShareRow> = self.rows.iter().collect();
        rows.sort_by(|a, b| b.load_ratio().total_cmp(&a.load_ratio()));
        rows
    }
}

impl ShareRow {
    /// Returns the current share divided by the fair one.
    fn load_ratio(&self) -> f64 {
        self.current_share / self.fair_share.max(1e-3)
    }
}

/// Finds buckets that are too hot for any upstream and chooses the upstreams to serve
/// them.
fn assign_hot_buckets(
    candidates: &[OwnerCandidate],
    map: &OwnerMap,
    loads: &KeyLoads,
) -> Vec<HotBucket> {
    let receivers: Vec<&OwnerCandidate> = candidates.iter().filter(|c| c.accepts_keys).collect();
    let mut strongest = receivers.clone();
    strongest.sort_by(|a, b| b.capacity.total_cmp(&a.capacity));
    let max_buckets =
        MAX_HOT_BUCKETS.min((receivers.len() as f64 * MAX_HOT_UPSTREAM_FRACTION) as usize);
    let mut free_capacity: f64 = receivers.iter().map(|candidate| candidate.capacity).sum();
    let mut non_hot_share = 1.0;
    let mut hot_buckets: Vec<HotBucket> = Vec::new();
    for (first, last, share) in loads.hottest_buckets(max_buckets) {
        let is_free = |candidate: &&&OwnerCandidate| {
            !hot_buckets
                .iter()
                .any(|hot_bucket| hot_bucket.holder == candidate.holder)
        };
        let Some(strongest_free) = strongest.iter().find(is_free) else {
            break;
        };
        if share / non_hot_share < strongest_free.capacity / free_capacity {
            break;
        }
        let owner = map.range_of(first).and_then(|range| range.owner.as_ref());
        let current_owner = receivers
            .iter()
            .find(|candidate| Some(&candidate.holder) == owner);
        // A hot bucket stays where it is unless another upstream is clearly stronger.
        let chosen = match current_owner.filter(is_free) {
            Some(current_owner)
                if current_owner.capacity * MIN_HOT_CAPACITY_RATIO >= strongest_free.capacity =>
            {
                current_owner
            }
            _ => strongest_free,
        };
        non_hot_share -= share;
        free_capacity -= chosen.capacity;
        hot_buckets.push(HotBucket {
            first,
            last,
            share,
            holder: chosen.holder.clone(),
        });
    }
    hot_buckets
}

/// Assigns every range without a valid owner to one of the candidates; returns whether
/// anything changed.
///
/// `is_valid` returns whether an owner may keep its keys.
pub(crate) fn assign_orphans(
    map: &mut OwnerMap,
    candidates: &[OwnerCandidate],
    loads: &KeyLoads,
    is_valid: &dyn Fn(&Holder) -> bool,
    next_epoch: &mut dyn FnMut() -> u64,
) -> bool {
    if !candidates.iter().any(|candidate| candidate.accepts_keys) {
        return false;
    }
    if map.ranges.is_empty() {
        map.ranges.push(OwnedRange {
            first: 0,
            last: (KEY_COUNT - 1) as u16,
            owner: None,
            epoch: 0,
            is_granted: false,
            previous_holders: Vec::new(),
        });
    }
    let mut table = ShareTable::new(candidates, map, loads, &[]);
    let mut spare_ranges = max_ranges(candidates.len()).saturating_sub(map.ranges.len());
    let mut ranges = Vec::with_capacity(map.ranges.len());
    let mut is_changed = false;
    for range in map.ranges.drain(..) {
        if range.owner.as_ref().is_some_and(is_valid) {
            ranges.push(range);
            continue;
        }
        is_changed = true;
        let is_unassigned = range.owner.is_none() && range.previous_holders.is_empty();
        let max_pieces = if is_unassigned {
            candidates.len().min(MAX_RANGES)
        } else {
            MAX_ORPHAN_PIECES.min(spare_ranges + 1)
        };
        let count_before = ranges.len();
        split_orphan(
            &range,
            max_pieces,
            &mut table,
            loads,
            next_epoch,
            &mut ranges,
        );
        spare_ranges = spare_ranges.saturating_sub(ranges.len() - count_before - 1);
    }
    map.ranges = ranges;
    is_changed
}

/// Returns the maximum number of moves for balance at a time.
pub(crate) fn max_moves(upstreams: usize) -> usize {
    MIN_MOVE_LIMIT.max((upstreams as f64 * MAX_MOVING_FRACTION) as usize)
}

/// Returns whether a range may be split for balance.
fn may_split(map: &OwnerMap, upstreams: usize) -> bool {
    map.ranges.len() < max_ranges(upstreams)
}

/// Returns the number of ranges above which none is split for balance.
fn max_ranges(upstreams: usize) -> usize {
    MAX_RANGES.min(upstreams * MAX_RANGES_PER_UPSTREAM + MAX_HOT_BUCKETS * 2)
}

/// Merges adjacent granted ranges of one owner; returns whether any were merged.
///
/// A merged range gets a new epoch, under which its owner's grant is renewed.
pub(crate) fn merge_adjacent_ranges(
    map: &mut OwnerMap,
    next_epoch: &mut dyn FnMut() -> u64,
) -> bool {
    let mut merged: Vec<OwnedRange> = Vec::with_capacity(map.ranges.len());
    let mut merged_indexes = Vec::new();
    for range in map.ranges.drain(..) {
        let merged_count = merged.len();
        let Some(last_merged) = merged.last_mut() else {
            merged.push(range);
            continue;
        };
        let is_mergeable =
            last_merged.is_granted && range.is_granted && last_merged.owner == range.owner;
        if !is_mergeable {
            merged.push(range);
            continue;
        }
        // The grants under the old epochs stay in force until they lapse.
        if merged_indexes.last() != Some(&(merged_count - 1)) {
            last_merged.previous_holders = last_merged.possible_holders();
        }
        last_merged
            .previous_holders
            .extend(range.possible_holders());
        last_merged.last = range.last;
        if merged_indexes.last() != Some(&(merged_count - 1)) {
            merged_indexes.push(merged_count - 1);
        }
    }
    for index in &merged_indexes {
        merged[*index].epoch = next_epoch();
    }
    map.ranges = merged;
    !merged_indexes.is_empty()
}

fn split_orphan(
    range: &OwnedRange,
    max_pieces: usize,
    table: &mut ShareTable,
    loads: &KeyLoads,
    next_epoch: &mut dyn FnMut() -> u64,
    ranges: &mut Vec<OwnedRange>,
) {
    let previous_holders = range.possible_holders();
    let mut first = range.first;
    for piece in 1..=max_pieces {
        let Some(row) = table.furthest_below_fair_share() else {
            return;
        };
        let headroom = row.fair_share - row.current_share;
        let holder = row.holder.clone();
        let prefix_last = if piece == max_pieces || headroom <= 0.0 {
            None
        } else {
            loads.max_prefix(first, range.last, headroom)
        };
        let last = prefix_last.unwrap_or(range.last);
        table.add(&holder, loads.share(first, last));
        ranges.push(OwnedRange {
            first,
            last,
            owner: Some(holder),
            epoch: next_epoch(),
            is_granted: false,
            previous_holders: previous_holders.clone(),
        });
        if last == range.last {
            return;
        }
        first = last + 1;
    }
}

/// Moves hot buckets to the strongest upstreams and other keys away from overloaded
/// ones; returns whether anything changed.
///
/// Only ranges whose grant is known to have been accepted are touched.
pub(crate) fn rebalance(
    map: &mut OwnerMap,
    candidates: &[OwnerCandidate],
    loads: &KeyLoads,
    next_epoch: &mut dyn FnMut() -> u64,
) -> bool {
    let hot_buckets = assign_hot_buckets(candidates, map, loads);
    let mut is_changed = false;
    for hot_bucket in &hot_buckets {
        is_changed |= move_hot_bucket(map, hot_bucket, next_epoch);
    }
    let mut table = ShareTable::new(candidates, map, loads, &hot_buckets);
    let move_limit = max_moves(candidates.len());
    let mut move_count = 0;
    while move_count < move_limit {
        let last_move = move_once(map, &table, loads, &hot_buckets, next_epoch);
        let Some((from, to, share)) = last_move else {
            break;
        };
        table.add(&from, -share);
        table.add(&to, share);
        is_changed = true;
        move_count += 1;
    }
    is_changed
}

/// Moves a hot bucket to the upstream that is to serve it; returns whether it moved.
fn move_hot_bucket(
    map: &mut OwnerMap,
    hot_bucket: &HotBucket,
    next_epoch: &mut dyn FnMut() -> u64,
) -> bool {
    let contains_bucket =
        |range: &OwnedRange| range.first <= hot_bucket.first && hot_bucket.last <= range.last;
    let Some(index) = map.ranges.iter().position(contains_bucket) else {
        return false;
    };
    let range = &map.ranges[index];
    if !range.is_granted || range.owner.as_ref() == Some(&hot_bucket.holder) {
        return false;
    }
    reassign_keys(
        map,
        index,
        (hot_bucket.first, hot_bucket.last),
        &hot_bucket.holder,
        next_epoch,
    );
    true
}

/// Makes the single most useful move; returns the giver, the receiver and the share of
/// load moved.
fn move_once(
    map: &mut OwnerMap,
    table: &ShareTable,
    loads: &KeyLoads,
    hot_buckets: &[HotBucket],
    next_epoch: &mut dyn FnMut() -> u64,
) -> Option<(Holder, Holder, f64)> {
    let to = table.furthest_below_fair_share()?;
    let headroom = to.fair_share - to.current_share;
    for from in table.by_load_ratio() {
        let excess = from.current_share - from.fair_share;
        let is_imbalanced = from.current_share > from.fair_share * OVERLOAD_RATIO
            && to.current_share < to.fair_share * RECEIVER_RATIO;
        // An upstream that has just joined gets its share even if each of the others
        // has only a little too much.
        let is_idle = to.current_share < to.fair_share * IDLE_RATIO && excess > 0.0;
        if !is_imbalanced && !is_idle {
            return None;
        }
        let wanted_share = excess.min(headroom) * table.non_hot_share;
        let min_share = to.fair_share * MIN_MOVE_FRACTION * table.non_hot_share;
        let may_split = may_split(map, table.rows.len());
        let piece = find_piece(
            map,
            &from.holder,
            (wanted_share, min_share),
            loads,
            hot_buckets,
            may_split,
        );
        // The remaining keys of a busy upstream may be too hot to move.
        let Some((index, keys, share)) = piece else {
            continue;
        };
        reassign_keys(map, index, keys, &to.holder, next_epoch);
        return Some((from.holder.clone(), to.holder.clone(), share));
    }
    None
}

/// Finds the piece of `from`'s keys with the greatest share of load that is at least
/// `min_share` and exceeds `wanted_share` by at most a tenth; returns the index of its
/// range, the keys and their share.
fn find_piece(
    map: &OwnerMap,
    from: &Holder,
    (wanted_share, min_share): (f64, f64),
    loads: &KeyLoads,
    hot_buckets: &[HotBucket],
    may_split: bool,
) -> Option<(usize, (u16, u16), f64)> {
    let mut best: Option<(usize, (u16, u16), f64)> = None;
    for (index, range) in map.ranges.iter().enumerate() {
        if !range.is_granted || range.owner.as_ref() != Some(from) {
            continue;
        }
        let whole_range = (range.first, range.last);
        let prefix = loads
            .max_prefix(range.first, range.last, wanted_share)
            .map(|last| (range.first, last));
        let suffix = loads
            .max_suffix(range.first, range.last, wanted_share)
            .map(|first| (first, range.last));
        let split_pieces = [prefix, suffix].into_iter().flatten().filter(|_| may_split);
        for keys in split_pieces.chain([whole_range]) {
            let share = loads.share(keys.0, keys.1);
            let overlaps_hot_bucket = hot_buckets
                .iter()
                .any(|hot_bucket| keys.0 <= hot_bucket.last && hot_bucket.first <= keys.1);
            if overlaps_hot_bucket
                || share > wanted_share * 1.1
                || best.is_some_and(|(.., best_share)| share <= best_share)
            {
                continue;
            }
            best = Some((index, keys, share));
        }
    }
    best.filter(|(.., share)| *share >= min_share)
}

/// Reassigns the keys `first..=last` of a range to another upstream, splitting the
/// range.
fn reassign_keys(
    map: &mut OwnerMap,
    index: usize,
    (first, last): (u16, u16),
    to: &Holder,
    next_epoch: &mut dyn FnMut() -> u64,
) {
    let range = map.ranges[index].clone();
    let mut pieces = Vec::new();
    if first > range.first {
        pieces.push(OwnedRange {
            last: first - 1,
            ..range.clone()
        });
    }
    pieces.push(OwnedRange {
        first,
        last,
        owner: Some(to.clone()),
        epoch: next_epoch(),
        is_granted: false,
        previous_holders: range.possible_holders(),
    });
    if last < range.last {
        pieces.push(OwnedRange {
            first: last + 1,
            ..range
        });
    }
    map.ranges.splice(index..=index, pieces);
}
