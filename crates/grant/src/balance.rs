//! Which upstream gets which keys.
//!
//! Answers an uneven load on the keys: each upstream is to have the share of the
//! load that its slots and speed have of all. Orphaned keys are spread over the
//! upstreams that have the least. Keys that are too hot for any upstream, and can't
//! be split, go to the strongest ones, which give all their other keys away; the
//! rest is shared among the others by itself.

use crate::{Holder, KEY_COUNT, KeyLoads, OwnedRange, OwnerMap};
use kernel::UpstreamId;

/// Load above its fair share at which an upstream gives keys away; moving keys
/// for less costs more than it brings.
const MOST_OVER: f64 = 1.25;
/// Load below its fair share at which an upstream is given keys.
const LEAST_UNDER: f64 = 0.9;
/// Load below its fair share at which an upstream is given keys by any other.
const IDLE_UNDER: f64 = 0.6;
/// Smallest part of a fair share that is worth a move.
const LEAST_MOVE: f64 = 0.04;
/// Least number of moves for balance that one step may make.
const MOST_MOVES: usize = 4;
/// Part of the upstreams that may be moving keys for balance at a time; their keys
/// wait until running work has ended.
const MOST_MOVING_PART: f64 = 0.12;
/// Hot keys that are given upstreams of their own at a time.
const MOST_HOT: usize = 21;
/// Share of the upstreams that may serve nothing but a hot key.
const MOST_HOT_PART: f64 = 0.34;
/// How much stronger an upstream must be for a hot key to move there.
const HOT_GAIN: f64 = 1.25;
/// Most pieces that one orphaned range is cut into.
const MOST_PIECES: usize = 4;
/// Ranges for each upstream above which no range is split for balance; each range
/// is renewed by a call of its own.
const RANGES_EACH: usize = 3;
/// Ranges above which none is split at all; the row that holds them is limited to
/// 64 KB in base64, and a range on the move takes up to 90 bytes.
const MOST_RANGES: usize = 480;

/// An upstream that may be given keys.
#[derive(Clone, Debug, PartialEq)]
pub struct OwnerCandidate {
    /// The upstream's present run.
    pub holder: Holder,
    /// Its slots times its speed.
    pub capacity: f64,
    /// Whether it may be given more keys; else it keeps what it has.
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

/// Fair and present shares of the candidates.
#[derive(Debug)]
struct ShareTable {
    rows: Vec<ShareRow>,
    /// Share of all load that is not on hot keys; rows are shares of this.
    rest: f64,
}

#[derive(Debug)]
struct ShareRow {
    holder: Holder,
    fair: f64,
    present: f64,
}

/// A bucket of keys that is too hot for any upstream, and the one that gets it.
#[derive(Clone, Debug, PartialEq)]
struct HotPlace {
    first: u16,
    last: u16,
    share: f64,
    holder: Holder,
}

impl ShareTable {
    /// Builds the table of all but the hot keys and the upstreams that serve them.
    fn new(
        candidates: &[OwnerCandidate],
        map: &OwnerMap,
        loads: &KeyLoads,
        hot: &[HotPlace],
    ) -> Self {
        let is_hot = |holder: &Holder| hot.iter().any(|place| place.holder == *holder);
        let takers = candidates.iter().filter(|candidate| candidate.accepts_keys);
        let shared = takers
            .clone()
            .filter(|candidate| !is_hot(&candidate.holder));
        let whole: f64 = shared.map(|candidate| candidate.capacity).sum();
        let rows = takers.map(|candidate| ShareRow {
            fair: if is_hot(&candidate.holder) {
                0.0
            } else {
                candidate.capacity / whole.max(f64::MIN_POSITIVE)
            },
            holder: candidate.holder.clone(),
            present: 0.0,
        });
        let hot_share: f64 = hot.iter().map(|place| place.share).sum();
        let mut table = Self {
            rows: rows.collect(),
            rest: (1.0 - hot_share).max(0.01),
        };
        for range in &map.ranges {
            let Some(owner) = &range.owner else {
                continue;
            };
            let mut share = loads.share(range.first, range.last);
            for place in hot {
                if range.first <= place.first && place.last <= range.last {
                    share -= place.share;
                }
            }
            table.add(owner, share.max(0.0));
        }
        table
    }

    /// Adds a share of all load to an upstream.
    fn add(&mut self, holder: &Holder, share: f64) {
        let part = share / self.rest;
        if let Some(row) = self.rows.iter_mut().find(|row| row.holder == *holder) {
            row.present += part;
        }
    }

    /// Returns the row with the most room.
    fn neediest(&self) -> Option<&ShareRow> {
        let by_room = |a: &&ShareRow, b: &&ShareRow| {
            let room_a = a.fair - a.present;
            room_a.total_cmp(&(b.fair - b.present))
        };
        self.rows.iter().max_by(by_room)
    }

    /// Returns the rows by how much they have above their fair share, most first.
    fn busiest(&self) -> Vec<&ShareRow> {
        let mut rows: Vec<&ShareRow> = self.rows.iter().collect();
        rows.sort_by(|a, b| b.excess().total_cmp(&a.excess()));
        rows
    }
}

impl ShareRow {
    /// Returns the present share over the fair one.
    fn excess(&self) -> f64 {
        self.present / self.fair.max(1e-3)
    }
}

/// Finds keys that are too hot for any upstream, and the upstreams to serve them.
fn place_hot_keys(
    candidates: &[OwnerCandidate],
    map: &OwnerMap,
    loads: &KeyLoads,
) -> Vec<HotPlace> {
    let takers: Vec<&OwnerCandidate> = candidates.iter().filter(|c| c.accepts_keys).collect();
    let mut strongest = takers.clone();
    strongest.sort_by(|a, b| b.capacity.total_cmp(&a.capacity));
    let most = MOST_HOT.min((takers.len() as f64 * MOST_HOT_PART) as usize);
    let mut capacity: f64 = takers.iter().map(|candidate| candidate.capacity).sum();
    let mut rest = 1.0;
    let mut places: Vec<HotPlace> = Vec::new();
    for (first, last, share) in loads.hottest(most) {
        let is_free = |candidate: &&&OwnerCandidate| {
            !places.iter().any(|place| place.holder == candidate.holder)
        };
        let Some(best) = strongest.iter().find(is_free) else {
            break;
        };
        if share / rest < best.capacity / capacity {
            break;
        }
        let owner = map.find(first).and_then(|range| range.owner.as_ref());
        let present = takers
            .iter()
            .find(|candidate| Some(&candidate.holder) == owner);
        // A hot key stays where it is unless another upstream serves clearly more.
        let chosen = match present.filter(is_free) {
            Some(present) if present.capacity * HOT_GAIN >= best.capacity => present,
            _ => best,
        };
        rest -= share;
        capacity -= chosen.capacity;
        places.push(HotPlace {
            first,
            last,
            share,
            holder: chosen.holder.clone(),
        });
    }
    places
}

/// Gives every range an owner among the candidates; returns whether anything
/// changed.
///
/// `is_valid` says whether an owner may keep its keys.
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
    let mut room = most_ranges(candidates.len()).saturating_sub(map.ranges.len());
    let mut ranges = Vec::with_capacity(map.ranges.len());
    let mut is_changed = false;
    for range in map.ranges.drain(..) {
        if range.owner.as_ref().is_some_and(is_valid) {
            ranges.push(range);
            continue;
        }
        is_changed = true;
        let is_first = range.owner.is_none() && range.previous_holders.is_empty();
        let most = if is_first {
            candidates.len().min(MOST_RANGES)
        } else {
            MOST_PIECES.min(room + 1)
        };
        let before = ranges.len();
        cut_orphan(&range, most, &mut table, loads, next_epoch, &mut ranges);
        room = room.saturating_sub(ranges.len() - before - 1);
    }
    map.ranges = ranges;
    is_changed
}

/// Returns how many moves for balance may be made at a time.
pub(crate) fn most_moves(upstreams: usize) -> usize {
    MOST_MOVES.max((upstreams as f64 * MOST_MOVING_PART) as usize)
}

/// Returns whether there is room for more ranges.
fn may_split(map: &OwnerMap, upstreams: usize) -> bool {
    map.ranges.len() < most_ranges(upstreams)
}

/// Returns the number of ranges above which none is split.
fn most_ranges(upstreams: usize) -> usize {
    MOST_RANGES.min(upstreams * RANGES_EACH + MOST_HOT * 2)
}

/// Joins neighbouring ranges that one upstream holds; returns whether any were.
///
/// The joined range gets an epoch of its own, with which its owner is renewed.
pub(crate) fn join_neighbours(map: &mut OwnerMap, next_epoch: &mut dyn FnMut() -> u64) -> bool {
    let mut joined: Vec<OwnedRange> = Vec::with_capacity(map.ranges.len());
    let mut fresh = Vec::new();
    for range in map.ranges.drain(..) {
        let joined_count = joined.len();
        let Some(before) = joined.last_mut() else {
            joined.push(range);
            continue;
        };
        let is_same = before.is_granted && range.is_granted && before.owner == range.owner;
        if !is_same {
            joined.push(range);
            continue;
        }
        // The grants under the old epochs stay in force until they lapse.
        if fresh.last() != Some(&(joined_count - 1)) {
            before.previous_holders = before.possible_holders();
        }
        before.previous_holders.extend(range.possible_holders());
        before.last = range.last;
        if fresh.last() != Some(&(joined_count - 1)) {
            fresh.push(joined_count - 1);
        }
    }
    for index in &fresh {
        joined[*index].epoch = next_epoch();
    }
    map.ranges = joined;
    !fresh.is_empty()
}

fn cut_orphan(
    range: &OwnedRange,
    most_pieces: usize,
    table: &mut ShareTable,
    loads: &KeyLoads,
    next_epoch: &mut dyn FnMut() -> u64,
    ranges: &mut Vec<OwnedRange>,
) {
    let earlier = range.possible_holders();
    let mut first = range.first;
    for piece in 1..=most_pieces {
        let Some(row) = table.neediest() else {
            return;
        };
        let room = row.fair - row.present;
        let holder = row.holder.clone();
        let cut = if piece == most_pieces || room <= 0.0 {
            None
        } else {
            loads.front_piece(first, range.last, room)
        };
        let last = cut.unwrap_or(range.last);
        table.add(&holder, loads.share(first, last));
        ranges.push(OwnedRange {
            first,
            last,
            owner: Some(holder),
            epoch: next_epoch(),
            is_granted: false,
            previous_holders: earlier.clone(),
        });
        if last == range.last {
            return;
        }
        first = last + 1;
    }
}

/// Moves keys from upstreams with too much load; returns whether anything changed.
///
/// Only ranges that are held and not on the move are touched.
pub(crate) fn move_for_balance(
    map: &mut OwnerMap,
    candidates: &[OwnerCandidate],
    loads: &KeyLoads,
    next_epoch: &mut dyn FnMut() -> u64,
) -> bool {
    let hot = place_hot_keys(candidates, map, loads);
    let mut is_changed = false;
    for place in &hot {
        is_changed |= move_hot_key(map, place, next_epoch);
    }
    let mut table = ShareTable::new(candidates, map, loads, &hot);
    let most = most_moves(candidates.len());
    let mut moves = 0;
    while moves < most {
        let step = move_once(map, &table, loads, &hot, next_epoch);
        let Some((from, to, share)) = step else {
            break;
        };
        table.add(&from, -share);
        table.add(&to, share);
        is_changed = true;
        moves += 1;
    }
    is_changed
}

/// Moves a hot key to the upstream that is to serve it.
fn move_hot_key(map: &mut OwnerMap, place: &HotPlace, next_epoch: &mut dyn FnMut() -> u64) -> bool {
    let holds = |range: &OwnedRange| range.first <= place.first && place.last <= range.last;
    let Some(index) = map.ranges.iter().position(holds) else {
        return false;
    };
    let range = &map.ranges[index];
    if !range.is_granted || range.owner.as_ref() == Some(&place.holder) {
        return false;
    }
    cut_out(
        map,
        index,
        (place.first, place.last),
        &place.holder,
        next_epoch,
    );
    true
}

/// Makes the one move that helps most; returns who gives, who gets, and the load.
fn move_once(
    map: &mut OwnerMap,
    table: &ShareTable,
    loads: &KeyLoads,
    hot: &[HotPlace],
    next_epoch: &mut dyn FnMut() -> u64,
) -> Option<(Holder, Holder, f64)> {
    let to = table.neediest()?;
    let room = to.fair - to.present;
    for from in table.busiest() {
        let excess = from.present - from.fair;
        let is_needed = from.present > from.fair * MOST_OVER && to.present < to.fair * LEAST_UNDER;
        // One that has joined gets its share also when all others have little too much.
        let is_idle = to.present < to.fair * IDLE_UNDER && excess > 0.0;
        if !is_needed && !is_idle {
            return None;
        }
        let wanted = excess.min(room) * table.rest;
        let least = to.fair * LEAST_MOVE * table.rest;
        let may_split = may_split(map, table.rows.len());
        let piece = find_piece(map, &from.holder, (wanted, least), loads, hot, may_split);
        // What is left of a busy upstream's keys may be too hot to move.
        let Some((index, keys, share)) = piece else {
            continue;
        };
        cut_out(map, index, keys, &to.holder, next_epoch);
        return Some((from.holder.clone(), to.holder.clone(), share));
    }
    None
}

/// Finds the piece of `from`'s keys whose load is nearest below `wanted`, as the
/// range's index, the keys and the load.
fn find_piece(
    map: &OwnerMap,
    from: &Holder,
    (wanted, least): (f64, f64),
    loads: &KeyLoads,
    hot: &[HotPlace],
    may_split: bool,
) -> Option<(usize, (u16, u16), f64)> {
    let mut best: Option<(usize, (u16, u16), f64)> = None;
    for (index, range) in map.ranges.iter().enumerate() {
        if !range.is_granted || range.owner.as_ref() != Some(from) {
            continue;
        }
        let whole = (range.first, range.last);
        let front = loads
            .front_piece(range.first, range.last, wanted)
            .map(|last| (range.first, last));
        let back = loads
            .back_piece(range.first, range.last, wanted)
            .map(|first| (first, range.last));
        let parts = [front, back].into_iter().flatten().filter(|_| may_split);
        for keys in parts.chain([whole]) {
            let share = loads.share(keys.0, keys.1);
            let is_hot = hot
                .iter()
                .any(|place| keys.0 <= place.last && place.first <= keys.1);
            if is_hot || share > wanted * 1.1 || best.is_some_and(|(.., most)| share <= most) {
                continue;
            }
            best = Some((index, keys, share));
        }
    }
    best.filter(|(.., share)| *share >= least)
}

/// Gives some keys of a range to another upstream.
fn cut_out(
    map: &mut OwnerMap,
    index: usize,
    (first, last): (u16, u16),
    to: &Holder,
    next_epoch: &mut dyn FnMut() -> u64,
) {
    let range = map.ranges[index].clone();
    let mut parts = Vec::new();
    if first > range.first {
        parts.push(OwnedRange {
            last: first - 1,
            ..range.clone()
        });
    }
    parts.push(OwnedRange {
        first,
        last,
        owner: Some(to.clone()),
        epoch: next_epoch(),
        is_granted: false,
        previous_holders: range.possible_holders(),
    });
    if last < range.last {
        parts.push(OwnedRange {
            first: last + 1,
            ..range
        });
    }
    map.ranges.splice(index..=index, parts);
}
