//! Which upstream gets which keys.
//!
//! Answers an uneven load on the keys: each upstream is to have the share of the
//! load that its slots and speed have of all. Orphaned keys are spread over the
//! upstreams that have the least; a hot range is split until the rest of its
//! owner's keys have gone elsewhere.

use crate::{Holder, KEYS, KeyLoads, OwnedRange, OwnerMap};
use kernel::UpstreamId;

/// Load above its fair share at which an upstream gives keys away; moving keys
/// for less costs more than it brings.
const MOST_OVER: f64 = 1.25;
/// Load below its fair share at which an upstream is given keys.
const LEAST_UNDER: f64 = 0.9;
/// Smallest part of a fair share that is worth a move.
const LEAST_MOVE: f64 = 0.04;
/// Most moves for balance in one step.
const MOST_MOVES: usize = 4;
/// Most pieces that one orphaned range is cut into.
const MOST_PIECES: usize = 6;

/// An upstream that may be given keys.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// The upstream's present run.
    pub holder: Holder,
    /// Its slots times its speed.
    pub capacity: f64,
    /// Whether it may be given more keys; else it keeps what it has.
    pub takes_keys: bool,
}

impl Candidate {
    /// Builds a candidate.
    pub fn new(upstream: &str, run: u64, capacity: f64) -> Self {
        Self {
            holder: Holder {
                upstream: UpstreamId::from(upstream),
                run,
            },
            capacity,
            takes_keys: true,
        }
    }
}

/// Fair and present shares of the candidates.
#[derive(Debug)]
struct ShareTable {
    rows: Vec<ShareRow>,
}

#[derive(Debug)]
struct ShareRow {
    holder: Holder,
    fair: f64,
    present: f64,
}

impl ShareTable {
    fn new(candidates: &[Candidate], map: &OwnerMap, loads: &KeyLoads) -> Self {
        let takers = candidates.iter().filter(|candidate| candidate.takes_keys);
        let whole: f64 = takers.clone().map(|candidate| candidate.capacity).sum();
        let rows = takers.map(|candidate| ShareRow {
            holder: candidate.holder.clone(),
            fair: candidate.capacity / whole.max(f64::MIN_POSITIVE),
            present: 0.0,
        });
        let mut table = Self {
            rows: rows.collect(),
        };
        for range in &map.ranges {
            let Some(owner) = &range.owner else {
                continue;
            };
            table.add(owner, loads.share(range.first, range.last));
        }
        table
    }

    fn add(&mut self, holder: &Holder, share: f64) {
        if let Some(row) = self.rows.iter_mut().find(|row| row.holder == *holder) {
            row.present += share;
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

    /// Returns the row with the greatest present share over its fair one.
    fn busiest(&self) -> Option<&ShareRow> {
        let by_ratio = |a: &&ShareRow, b: &&ShareRow| {
            let ratio_a = a.present / a.fair;
            ratio_a.total_cmp(&(b.present / b.fair))
        };
        self.rows.iter().max_by(by_ratio)
    }
}

/// Gives every range an owner among the candidates; returns whether anything
/// changed.
///
/// `is_valid` says whether an owner may keep its keys.
pub(crate) fn assign_orphans(
    map: &mut OwnerMap,
    candidates: &[Candidate],
    loads: &KeyLoads,
    is_valid: &dyn Fn(&Holder) -> bool,
    next_epoch: &mut dyn FnMut() -> u64,
) -> bool {
    if !candidates.iter().any(|candidate| candidate.takes_keys) {
        return false;
    }
    if map.ranges.is_empty() {
        map.ranges.push(OwnedRange {
            first: 0,
            last: (KEYS - 1) as u16,
            owner: None,
            epoch: 0,
            is_held: false,
            earlier: Vec::new(),
        });
    }
    let mut table = ShareTable::new(candidates, map, loads);
    let mut ranges = Vec::with_capacity(map.ranges.len());
    let mut is_changed = false;
    for range in map.ranges.drain(..) {
        if range.owner.as_ref().is_some_and(is_valid) {
            ranges.push(range);
            continue;
        }
        is_changed = true;
        let is_first = range.owner.is_none() && range.earlier.is_empty();
        let most = if is_first { candidates.len() } else { MOST_PIECES };
        cut_orphan(range, most, &mut table, loads, next_epoch, &mut ranges);
    }
    map.ranges = ranges;
    is_changed
}

fn cut_orphan(
    range: OwnedRange,
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
            is_held: false,
            earlier: earlier.clone(),
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
    candidates: &[Candidate],
    loads: &KeyLoads,
    next_epoch: &mut dyn FnMut() -> u64,
) -> bool {
    let mut table = ShareTable::new(candidates, map, loads);
    let mut is_changed = false;
    for _move in 0..MOST_MOVES {
        let (Some(from), Some(to)) = (table.busiest(), table.neediest()) else {
            break;
        };
        let is_needed = from.present > from.fair * MOST_OVER && to.present < to.fair * LEAST_UNDER;
        let is_new = to.present <= 0.0 && from.present > from.fair;
        if !is_needed && !is_new {
            break;
        }
        let wanted = (from.present - from.fair).min(to.fair - to.present);
        let (from, to, fair) = (from.holder.clone(), to.holder.clone(), from.fair);
        let moved = move_piece(map, &from, &to, wanted, fair * LEAST_MOVE, loads, next_epoch);
        let Some(moved) = moved else {
            break;
        };
        table.add(&from, -moved);
        table.add(&to, moved);
        is_changed = true;
    }
    is_changed
}

/// Moves the piece of `from`'s keys whose load is nearest below `wanted`; returns
/// its load.
fn move_piece(
    map: &mut OwnerMap,
    from: &Holder,
    to: &Holder,
    wanted: f64,
    least: f64,
    loads: &KeyLoads,
    next_epoch: &mut dyn FnMut() -> u64,
) -> Option<f64> {
    let mut best: Option<(usize, u16, u16, f64)> = None;
    for (index, range) in map.ranges.iter().enumerate() {
        if !range.is_held || range.owner.as_ref() != Some(from) {
            continue;
        }
        let whole = (range.first, range.last);
        let front = loads
            .front_piece(range.first, range.last, wanted)
            .map(|last| (range.first, last));
        let back = loads
            .back_piece(range.first, range.last, wanted)
            .map(|first| (first, range.last));
        for (first, last) in [Some(whole), front, back].into_iter().flatten() {
            let share = loads.share(first, last);
            if share > wanted * 1.1 || best.is_some_and(|(.., most)| share <= most) {
                continue;
            }
            best = Some((index, first, last, share));
        }
    }
    let (index, first, last, share) = best.filter(|(.., share)| *share >= least)?;
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
        is_held: false,
        earlier: range.possible_holders(),
    });
    if last < range.last {
        parts.push(OwnedRange {
            first: last + 1,
            ..range
        });
    }
    map.ranges.splice(index..=index, parts);
    Some(share)
}
