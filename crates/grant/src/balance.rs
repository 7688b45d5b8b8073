//! Assignment of key ranges to upstreams.
//!
//! Each upstream is meant to have the share of all load that its capacity (slots times
//! speed) is of the total capacity. As moving keys has a cost, keys move only away from
//! upstreams that have more load than they can do: where the upstreams' capacity in
//! requests a second is known, an uneven load that fits is left alone.
//!
//! Orphaned keys are spread over the upstreams with the most headroom. Popular keys that
//! need most of an upstream for themselves go to the strongest ones. Popular keys that
//! are adjacent are spread one by one over as many upstreams as their load needs.

use crate::{Holder, KEY_COUNT, KeyLoads, OwnedRange, OwnerMap};
use indexmap::IndexMap;
use kernel::{Moment, UpstreamId};

/// Ratio of load to fair share above which an upstream gives keys away; at a lower
/// ratio moving keys costs more than it brings.
const OVERLOAD_RATIO: f64 = 1.25;
/// Part of its capacity above which an upstream gives keys away; above it requests wait
/// for a slot more often than not.
const MAX_UTILIZATION: f64 = 0.75;
/// Part of its capacity up to which an upstream receives keys, or keeps those that it
/// has.
const TARGET_UTILIZATION: f64 = 0.6;
/// Part of its limit below which an upstream receives keys from overloaded ones.
const RECEIVER_RATIO: f64 = 0.9;
/// Ratio of load to fair share below which an upstream receives keys from any upstream
/// that is above its fair share, while the capacities are unknown.
const IDLE_RATIO: f64 = 0.6;
/// The same ratio while the capacities are known: only an upstream that has just joined
/// has so little load.
const KNOWN_IDLE_RATIO: f64 = 0.25;
/// Smallest fraction of the receiver's fair share that is worth a move.
const MIN_MOVE_FRACTION: f64 = 0.04;
/// Lower bound of the limit on moves for balance in one step.
const MIN_MOVE_LIMIT: usize = 4;
/// Fraction of the upstreams that may be moving keys for balance at a time; requests
/// for these keys wait until running work has ended.
const MAX_MOVING_FRACTION: f64 = 0.12;
/// Part of an average upstream's capacity from which a single key counts as hot.
const HOT_UTILIZATION: f64 = 0.4;
/// Maximum fraction of the upstreams that serve a hot key each.
const MAX_HOT_UPSTREAM_FRACTION: f64 = 0.34;
/// Ratio of capacities above which a hot key moves to a stronger upstream. While it
/// moves, nobody serves it.
const MIN_HOT_CAPACITY_RATIO: f64 = 2.0;
/// The same ratio where the speeds are known apart from momentary noise: a difference is
/// then one of the upstreams, and lasts.
const MIN_STEADY_HOT_CAPACITY_RATIO: f64 = 1.4;
/// Part of its capacity above which an upstream that serves a hot key gives other keys
/// away, where momentary noise is known. The hot key can't be divided, so that room is
/// kept for noise.
const MAX_HOT_UTILIZATION: f64 = 0.6;
/// Part of its capacity up to which such an upstream receives other keys.
const TARGET_HOT_UTILIZATION: f64 = 0.4;
/// Maximum number of pieces that an orphaned range is split into.
const MAX_ORPHAN_PIECES: usize = 4;
/// Number of ranges per upstream above which no range is split for balance; each range
/// is renewed by a call of its own.
const MAX_RANGES_PER_UPSTREAM: usize = 3;
/// Number of ranges that a small service may have beyond that.
const EXTRA_RANGES: usize = 42;
/// Number of ranges above which none is split at all; the row that holds them is
/// limited to 64 KB in base64, and a range takes 16 bytes and 10 for each earlier
/// holder.
const MAX_RANGES: usize = 900;
/// Size of a row, in bytes, above which no range is split.
const MAX_ROW_BYTES: usize = 34 << 10;

/// An upstream that may be given keys.
#[derive(Clone, Debug, PartialEq)]
pub struct OwnerCandidate {
    /// The upstream's current run.
    pub holder: Holder,
    /// Number of its slots times its relative speed.
    pub capacity: f64,
    /// Requests a second that it can do, if known.
    pub max_rate: Option<f64>,
    /// Whether it may receive more keys; otherwise it only keeps those it has.
    pub accepts_keys: bool,
    /// Time by which all its keys are to be moved elsewhere; `None` if it may keep them.
    /// Until the turn of a range comes, its grant is renewed.
    pub gives_up_by: Option<Moment>,
    /// Factor up to 1 by which it can do less than `max_rate` because its queue is long;
    /// `None` if its momentary noise is unknown.
    pub relief: Option<f64>,
    /// Requests a second up to which it is given keys, as it is cold or warming up.
    pub cold_rate: Option<f64>,
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
            max_rate: None,
            accepts_keys: true,
            gives_up_by: None,
            relief: None,
            cold_rate: None,
        }
    }
}

/// Fair and current shares of load of the candidates, as fractions of all load.
#[derive(Debug)]
pub(crate) struct ShareTable {
    rows: IndexMap<Holder, ShareRow>,
}

#[derive(Debug)]
pub(crate) struct ShareRow {
    fair: f64,
    /// Share of the load that takes all of its capacity, if known.
    full: Option<f64>,
    current: f64,
    max_utilization: f64,
    target_utilization: f64,
    /// Greatest share that it may have, as it is cold.
    cold_limit: Option<f64>,
}

/// A key that needs most of an upstream, and the upstream that is to serve it.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct HotKey {
    key: u16,
    share: f64,
    holder: Holder,
}

impl ShareTable {
    /// Builds the table; the upstreams that serve hot keys have a fair share of zero.
    pub(crate) fn new(
        candidates: &[OwnerCandidate],
        map: &OwnerMap,
        loads: &KeyLoads,
        hot_keys: &[HotKey],
    ) -> Self {
        let hot_shares: IndexMap<&Holder, f64> = hot_keys
            .iter()
            .map(|hot| (&hot.holder, hot.share))
            .collect();
        let receivers = candidates.iter().filter(|candidate| candidate.accepts_keys);
        let sharing = receivers
            .clone()
            .filter(|candidate| !hot_shares.contains_key(&candidate.holder));
        let sharing_capacity: f64 = sharing.map(|candidate| candidate.capacity).sum();
        let hot_share: f64 = hot_keys.iter().map(|hot| hot.share).sum();
        let non_hot_share = (1.0 - hot_share).max(0.01);
        let rows = receivers.map(|candidate| {
            let hot_share = hot_shares.get(&candidate.holder);
            let full = full_share(candidate, loads);
            let (max_utilization, target_utilization) = match hot_share {
                Some(_) if candidate.relief.is_some() => {
                    (MAX_HOT_UTILIZATION, TARGET_HOT_UTILIZATION)
                }
                _ => (MAX_UTILIZATION, TARGET_UTILIZATION),
            };
            let row = ShareRow {
                fair: match hot_share {
                    Some(_) => 0.0,
                    None => {
                        candidate.capacity / sharing_capacity.max(f64::MIN_POSITIVE) * non_hot_share
                    }
                },
                full,
                // Where the capacity is known, a hot key takes its part of it.
                current: full.and(hot_share.copied()).unwrap_or_default(),
                max_utilization,
                target_utilization,
                cold_limit: cold_share(candidate, loads),
            };
            (candidate.holder.clone(), row)
        });
        let mut table = Self {
            rows: rows.collect(),
        };
        table.raise_cold_limits();
        for range in &map.ranges {
            let Some(owner) = &range.owner else {
                continue;
            };
            let mut share = loads.share(range.first, range.last);
            for hot in hot_keys {
                if (range.first..=range.last).contains(&hot.key) {
                    share -= hot.share;
                }
            }
            table.add(owner, share.max(0.0));
        }
        table
    }

    /// Raises the limits of cold upstreams by what the others have no room for: every key
    /// needs a holder.
    fn raise_cold_limits(&mut self) {
        let needed: f64 = self.rows.values().map(|row| row.fair).sum();
        let room: f64 = self.rows.values().map(ShareRow::give_limit).sum();
        let cold_rows = self.rows.values().filter(|row| row.cold_limit.is_some());
        let cold_fair: f64 = cold_rows.map(|row| row.fair).sum();
        let missing = needed - room;
        if missing <= 0.0 || cold_fair <= 0.0 {
            return;
        }
        for row in self.rows.values_mut() {
            if let Some(limit) = &mut row.cold_limit {
                *limit += missing * row.fair / cold_fair;
            }
        }
    }

    /// Adds a share of all load to an upstream; ignores upstreams that are not in the
    /// table.
    fn add(&mut self, holder: &Holder, share: f64) {
        if let Some(row) = self.rows.get_mut(holder) {
            row.current += share;
        }
    }

    /// Returns the upstream with the most headroom.
    fn most_headroom(&self) -> Option<(&Holder, &ShareRow)> {
        let rows = self.rows.iter();
        rows.max_by(|(_, a), (_, b)| a.headroom().total_cmp(&b.headroom()))
    }

    /// Returns the upstream that is furthest below its fair share.
    fn furthest_below_fair_share(&self) -> Option<(&Holder, &ShareRow)> {
        let distance = |row: &ShareRow| row.limited(row.fair) - row.current;
        let rows = self.rows.iter();
        rows.max_by(|(_, a), (_, b)| distance(a).total_cmp(&distance(b)))
    }

    /// Returns the upstreams in descending order of load relative to their limits.
    fn by_load_ratio(&self) -> Vec<(&Holder, &ShareRow)> {
        let mut rows: Vec<(&Holder, &ShareRow)> = self.rows.iter().collect();
        rows.sort_by(|(_, a), (_, b)| b.load_ratio().total_cmp(&a.load_ratio()));
        rows
    }
}

impl ShareRow {
    /// Returns the share above which the upstream gives keys away.
    fn give_limit(&self) -> f64 {
        let by_capacity = self.full.map_or(0.0, |full| full * self.max_utilization);
        self.limited(by_capacity.max(self.fair * OVERLOAD_RATIO))
    }

    /// Returns the share up to which the upstream takes keys, and to which it gives
    /// keys away.
    fn target(&self) -> f64 {
        let by_capacity = self.full.map_or(0.0, |full| full * self.target_utilization);
        self.limited(by_capacity.max(self.fair))
    }

    /// Returns a share, or what a cold upstream may have instead.
    fn limited(&self, share: f64) -> f64 {
        self.cold_limit.map_or(share, |limit| share.min(limit))
    }

    fn headroom(&self) -> f64 {
        self.target() - self.current
    }

    /// Returns the share that it can take before it has to give keys away.
    pub(crate) fn max_headroom(&self) -> f64 {
        self.give_limit() - self.current
    }

    /// Returns the current share divided by the one above which keys are given away.
    fn load_ratio(&self) -> f64 {
        self.current / self.give_limit().max(1e-6)
    }

    /// Returns whether the upstream has so little load that it gets keys from any other.
    fn is_idle(&self) -> bool {
        let ratio = match self.full {
            Some(_) => KNOWN_IDLE_RATIO,
            None => IDLE_RATIO,
        };
        self.current < self.limited(self.fair) * ratio
    }
}

/// Returns the share of all load that takes all of an upstream's capacity, if known.
fn full_share(candidate: &OwnerCandidate, loads: &KeyLoads) -> Option<f64> {
    Some(usual_full_share(candidate, loads)? * candidate.relief.unwrap_or(1.0))
}

/// Returns the same share without regard to the upstream's queue. Keys are not hot
/// because the queues of all upstreams are long.
fn usual_full_share(candidate: &OwnerCandidate, loads: &KeyLoads) -> Option<f64> {
    let rate = loads.rate().filter(|rate| *rate > 0.0)?;
    Some(candidate.max_rate? / rate)
}

/// Returns the ratio of capacities above which a hot key leaves its owner.
fn min_hot_ratio(owner: &OwnerCandidate) -> f64 {
    match owner.relief {
        Some(_) => MIN_STEADY_HOT_CAPACITY_RATIO,
        None => MIN_HOT_CAPACITY_RATIO,
    }
}

/// Returns the share of all load up to which a cold upstream is given keys. Without a
/// known load it is given none.
fn cold_share(candidate: &OwnerCandidate, loads: &KeyLoads) -> Option<f64> {
    let cold_rate = candidate.cold_rate?;
    let rate = loads.rate().filter(|rate| *rate > 0.0);
    Some(rate.map_or(0.0, |rate| cold_rate / rate))
}

/// Finds keys that need most of an upstream and chooses the upstreams to serve them.
fn assign_hot_keys(candidates: &[OwnerCandidate], map: &OwnerMap, loads: &KeyLoads) -> Vec<HotKey> {
    // A cold upstream gets the busiest keys last.
    let receivers: Vec<&OwnerCandidate> = candidates
        .iter()
        .filter(|candidate| candidate.accepts_keys && candidate.cold_rate.is_none())
        .collect();
    let mut strongest = receivers.clone();
    strongest.sort_by(|a, b| b.capacity.total_cmp(&a.capacity));
    let max_keys = (receivers.len() as f64 * MAX_HOT_UPSTREAM_FRACTION) as usize;
    let full_shares = receivers
        .iter()
        .map(|candidate| usual_full_share(candidate, loads));
    let mean_full_share: Option<f64> = full_shares
        .sum::<Option<f64>>()
        .map(|sum| sum / receivers.len().max(1) as f64);
    let mut free_capacity: f64 = receivers.iter().map(|candidate| candidate.capacity).sum();
    let mut non_hot_share = 1.0;
    let mut hot_keys: Vec<HotKey> = Vec::new();
    for (key, share) in loads.hottest_keys(max_keys) {
        let is_free = |candidate: &&&OwnerCandidate| {
            !hot_keys.iter().any(|hot| hot.holder == candidate.holder)
        };
        let Some(strongest_free) = strongest.iter().find(is_free) else {
            break;
        };
        let is_hot = match mean_full_share {
            Some(full_share) => share >= full_share * HOT_UTILIZATION,
            None => share / non_hot_share >= strongest_free.capacity / free_capacity,
        };
        if !is_hot {
            break;
        }
        let owner = map.range_of(key).and_then(|range| range.owner.as_ref());
        let current_owner = receivers
            .iter()
            .find(|candidate| Some(&candidate.holder) == owner);
        // A hot key stays where it is unless another upstream is clearly stronger.
        let chosen = match current_owner.filter(is_free) {
            Some(current_owner)
                if current_owner.capacity * min_hot_ratio(current_owner)
                    >= strongest_free.capacity =>
            {
                current_owner
            }
            _ => strongest_free,
        };
        non_hot_share -= share;
        free_capacity -= chosen.capacity;
        hot_keys.push(HotKey {
            key,
            share,
            holder: chosen.holder.clone(),
        });
    }
    hot_keys
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
    let is_orphan = |range: &OwnedRange| !range.owner.as_ref().is_some_and(is_valid);
    if !map.ranges.is_empty() && !map.ranges.iter().any(is_orphan) {
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
    let mut spare_ranges = SpareRanges::new(candidates.len(), map.ranges.len());
    let mut ranges = Vec::with_capacity(map.ranges.len());
    let mut is_changed = false;
    for range in map.ranges.drain(..) {
        if !is_orphan(&range) {
            ranges.push(range);
            continue;
        }
        is_changed = true;
        let is_unassigned = range.owner.is_none() && range.previous_holders.is_empty();
        let max_pieces = if is_unassigned {
            candidates.len().min(MAX_RANGES)
        } else {
            spare_ranges.max_pieces()
        };
        let count_before = ranges.len();
        split_orphan(
            &range,
            max_pieces,
            ShareRow::headroom,
            &mut table,
            loads,
            next_epoch,
            &mut ranges,
        );
        spare_ranges.record_pieces(ranges.len() - count_before);
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
    map.ranges.len() < max_ranges(upstreams) && map.estimate_row_bytes() < MAX_ROW_BYTES
}

/// Returns the number of ranges above which none is split for balance.
fn max_ranges(upstreams: usize) -> usize {
    MAX_RANGES.min(upstreams * MAX_RANGES_PER_UPSTREAM + EXTRA_RANGES)
}

/// Number of ranges by which a map may still grow.
#[derive(Debug)]
pub(crate) struct SpareRanges(usize);

impl SpareRanges {
    pub(crate) fn new(upstreams: usize, ranges: usize) -> Self {
        Self(max_ranges(upstreams).saturating_sub(ranges))
    }

    /// Returns the maximum number of pieces that the next range may be split into.
    pub(crate) fn max_pieces(&self) -> usize {
        MAX_ORPHAN_PIECES.min(self.0 + 1)
    }

    /// Records that a range was split into this many pieces.
    pub(crate) fn record_pieces(&mut self, pieces: usize) {
        self.0 = self.0.saturating_sub(pieces.saturating_sub(1));
    }
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

/// Assigns a range to the candidates with the most headroom, split if none has enough;
/// adds the parts to `ranges`.
pub(crate) fn split_orphan(
    range: &OwnedRange,
    max_pieces: usize,
    headroom_of: fn(&ShareRow) -> f64,
    table: &mut ShareTable,
    loads: &KeyLoads,
    next_epoch: &mut dyn FnMut() -> u64,
    ranges: &mut Vec<OwnedRange>,
) {
    let previous_holders = range.possible_holders();
    let mut first = range.first;
    for piece in 1..=max_pieces {
        let Some((holder, row)) = table.most_headroom() else {
            return;
        };
        let headroom = headroom_of(row);
        let holder = holder.clone();
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

/// Moves hot keys to the strongest upstreams and other keys away from overloaded ones;
/// returns whether anything changed.
///
/// Only ranges whose grant is known to have been accepted are touched.
pub(crate) fn rebalance(
    map: &mut OwnerMap,
    candidates: &[OwnerCandidate],
    loads: &KeyLoads,
    next_epoch: &mut dyn FnMut() -> u64,
) -> bool {
    let hot_keys = assign_hot_keys(candidates, map, loads);
    let mut is_changed = false;
    for hot in &hot_keys {
        if map.ranges.len() >= MAX_RANGES || map.estimate_row_bytes() >= MAX_ROW_BYTES {
            break;
        }
        is_changed |= move_hot_key(map, hot, next_epoch);
    }
    let mut table = ShareTable::new(candidates, map, loads, &hot_keys);
    let move_limit = max_moves(candidates.len());
    let mut move_count = 0;
    while move_count < move_limit {
        let last_move = move_once(map, &table, loads, &hot_keys, next_epoch);
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

/// Moves a hot key to the upstream that is to serve it; returns whether it moved.
fn move_hot_key(map: &mut OwnerMap, hot: &HotKey, next_epoch: &mut dyn FnMut() -> u64) -> bool {
    let Some(index) = map.index_of(hot.key) else {
        return false;
    };
    let range = &map.ranges[index];
    if !range.is_granted || range.owner.as_ref() == Some(&hot.holder) {
        return false;
    }
    reassign_keys(map, index, (hot.key, hot.key), &hot.holder, next_epoch);
    true
}

/// Makes the single most useful move; returns the giver, the receiver and the share of
/// load moved.
fn move_once(
    map: &mut OwnerMap,
    table: &ShareTable,
    loads: &KeyLoads,
    hot_keys: &[HotKey],
    next_epoch: &mut dyn FnMut() -> u64,
) -> Option<(Holder, Holder, f64)> {
    let idle = table
        .furthest_below_fair_share()
        .filter(|(_, row)| row.is_idle());
    let (to_holder, to) = idle.or_else(|| table.most_headroom())?;
    for (from_holder, from) in table.by_load_ratio() {
        let is_overloaded =
            from.current > from.give_limit() && to.current < to.target() * RECEIVER_RATIO;
        // An upstream that has just joined gets its share even if each of the others
        // has only a little too much.
        let wanted_share = if is_overloaded {
            (from.current - from.target()).min(to.headroom())
        } else if idle.is_some() && from.current > from.fair {
            (from.current - from.fair).min(to.limited(to.fair) - to.current)
        } else {
            continue;
        };
        let min_share = to.limited(to.fair) * MIN_MOVE_FRACTION;
        let may_split = may_split(map, table.rows.len());
        let piece = find_piece(
            map,
            from_holder,
            (wanted_share, min_share),
            loads,
            hot_keys,
            may_split,
        );
        // The remaining keys of a busy upstream may be too hot to move.
        let Some((index, keys, share)) = piece else {
            continue;
        };
        reassign_keys(map, index, keys, to_holder, next_epoch);
        return Some((from_holder.clone(), to_holder.clone(), share));
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
    hot_keys: &[HotKey],
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
            let has_hot_key = hot_keys
                .iter()
                .any(|hot| (keys.0..=keys.1).contains(&hot.key));
            if has_hot_key
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
