//! The leader's state machine: what to write, grant and release.

use crate::balance::{
    OwnerCandidate, assign_orphans, join_neighbours, most_moves, move_for_balance,
};
use crate::{GrantTiming, Holder, KeyLoads, OwnedRange, OwnerMap, PreviousTerm};
use indexmap::IndexMap;
use kernel::Moment;
use std::time::Duration;

/// Bits of an epoch that count within one term.
const EPOCH_BITS: u32 = 24;
/// Failed connections in a row after which an upstream is taken as silent.
const SILENT_AFTER: u32 = 2;
/// Between two tries of a call that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(150);
/// Longest time between a decision and the sending of its call; half of the margin
/// that [`GrantTiming::expiry_bound`] allows.
const SEND_LIMIT: Duration = Duration::from_millis(150);
/// Between two tries to reach a silent upstream again.
const PROBE_PAUSE: Duration = Duration::from_secs(2);

/// What a call to an upstream asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// Hold the keys for so long, with what their last holder handed over.
    Grant {
        /// Lease time, from the arrival of the call.
        duration: Duration,
        /// Token of the last holder's release.
        handover: Option<String>,
    },
    /// Stop work on the keys; answered when running work has ended.
    Release,
    /// Open a connection, to see whether the upstream can be reached again.
    Probe,
}

/// A call to an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GrantCall {
    /// Matches the reply to the call.
    pub id: u64,
    /// The run of the upstream that is meant.
    pub holder: Holder,
    /// First key.
    pub first: u16,
    /// Last key.
    pub last: u16,
    /// Fencing token.
    pub epoch: u64,
    /// What is asked for.
    pub kind: CallKind,
    /// After which it must not be sent any more; its lease is counted from before.
    pub send_deadline: Moment,
}

/// What became of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallReply {
    /// The upstream holds the keys.
    Granted,
    /// The upstream has seen a greater epoch.
    Superseded,
    /// The upstream holds the keys no more and has no work on them.
    Released(Option<String>),
    /// The upstream's process has ended: its address belongs to another.
    Ended,
    /// No connection could be made; nothing was sent. A refused connection is no
    /// proof that the process has ended, as some partitions refuse too.
    Unreachable,
    /// A connection could be opened.
    Reached,
    /// The call was sent and not answered.
    Unanswered,
    /// The upstream refused the call for another reason; with the status it gave.
    Rejected(u16),
}

/// What follows from one step.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LedgerStep {
    /// The row to write; [`GrantLedger::record_commit`] tells what became of it.
    pub commit: Option<OwnerMap>,
    /// Calls to make; [`GrantLedger::record_reply`] tells what became of each.
    pub calls: Vec<GrantCall>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum RangePhase {
    /// These holders have to let go of the keys, the last of the list first; and
    /// what one of them has handed over.
    Freeing(Vec<(Holder, u64)>, Option<String>),
    /// The owner has to be granted the keys.
    Granting(Option<String>),
    /// The owner holds the keys and is to be renewed.
    Holding,
}

#[derive(Clone, Debug)]
struct RangeWork {
    phase: RangePhase,
    due: Moment,
    call: Option<u64>,
    /// When the owner was first known to hold it under this epoch.
    granted_at: Option<Moment>,
}

/// A call without a reply.
#[derive(Clone, Debug)]
struct OpenCall {
    call: GrantCall,
    sent_at: Moment,
}

/// What is known of one run of an upstream.
#[derive(Clone, Copy, Debug, Default)]
struct HolderState {
    /// Until when some grant whose call has ended may be in force.
    held_until: Moment,
    /// Until when a grant without an answer may take effect.
    unanswered_until: Moment,
    has_ended: bool,
    failures: u32,
    probe_at: Moment,
}

/// The leader's state machine for the keys of one service.
#[derive(Debug)]
pub struct GrantLedger {
    timing: GrantTiming,
    map: OwnerMap,
    work: IndexMap<(u16, u16, u64), RangeWork>,
    holders: IndexMap<Holder, HolderState>,
    calls: IndexMap<u64, OpenCall>,
    pending: Option<OwnerMap>,
    epoch: u64,
    next_call: u64,
    is_long: bool,
    balanced_at: Moment,
}

impl GrantLedger {
    /// Builds the ledger of a leader's term.
    pub fn new(timing: GrantTiming, term: u64) -> Self {
        Self {
            timing,
            map: OwnerMap::default(),
            work: IndexMap::new(),
            holders: IndexMap::new(),
            calls: IndexMap::new(),
            pending: None,
            epoch: term << EPOCH_BITS,
            next_call: 1,
            is_long: false,
            balanced_at: Moment::ZERO,
        }
    }

    /// Starts from the row that stands in the store; `last` is what the leader before
    /// left behind.
    ///
    /// Unless that one ended cleanly, grants of it may be under way.
    pub fn adopt(&mut self, now: Moment, map: OwnerMap, last: PreviousTerm) {
        self.epoch = self.epoch.max(map.greatest_epoch());
        // Calls of the leader before may have been on their way for a while.
        let longest = self.timing.call_timeout
            + GrantTiming::expiry_bound(self.timing.extended_grant_duration);
        let held_until = now + last.grants_valid_for.unwrap_or(longest).min(longest);
        // One without an answer may take effect after a release, for as long as any.
        let unanswered_until = if last.is_clean { now } else { held_until };
        for range in &map.ranges {
            let earlier = range.previous_holders.iter().map(|(holder, _)| holder);
            for holder in range.owner.iter().chain(earlier) {
                let state = self.holders.entry(holder.clone()).or_default();
                state.held_until = held_until;
                state.unanswered_until = unanswered_until;
            }
        }
        self.pending = None;
        self.calls.clear();
        self.set_map(now, map);
    }

    /// Notes which holders have ended, as something but a call has shown: an address
    /// is given to another upstream only after its holder is gone.
    pub fn record_ended(&mut self, has_ended: impl Fn(&Holder) -> bool) {
        for (holder, state) in &mut self.holders {
            state.has_ended |= has_ended(holder);
        }
    }

    /// Returns the row as it was last committed.
    pub const fn map(&self) -> &OwnerMap {
        &self.map
    }

    /// Returns whether every grant and release has been answered.
    pub fn is_clean(&self, now: Moment) -> bool {
        let is_answered = |state: &HolderState| state.unanswered_until <= now;
        self.calls.is_empty() && self.holders.values().all(is_answered)
    }

    /// Returns for how long from now on grants of this ledger may be in force if no
    /// more are sent.
    pub fn grants_valid_for(&self, now: Moment) -> Duration {
        let mut until = now;
        for state in self.holders.values() {
            until = until.max(state.held_until);
        }
        for open in self.calls.values() {
            if let CallKind::Grant { duration, .. } = &open.call.kind {
                let arrives_by = now + self.timing.call_timeout;
                until = until.max(arrives_by + GrantTiming::expiry_bound(*duration));
            }
        }
        until - now
    }

    /// Grants for the longest time from now on, or for the usual one.
    pub fn set_extended(&mut self, now: Moment, is_long: bool) {
        if is_long && !self.is_long {
            for work in self.work.values_mut() {
                if work.phase == RangePhase::Holding {
                    work.due = now;
                }
            }
        }
        self.is_long = is_long;
    }

    /// Returns what to write and which calls to make now.
    pub fn step(
        &mut self,
        now: Moment,
        candidates: &[OwnerCandidate],
        loads: &KeyLoads,
    ) -> LedgerStep {
        let usable = self.usable(candidates);
        let mut step = LedgerStep {
            commit: self.plan(now, &usable, loads),
            calls: Vec::new(),
        };
        for index in 0..self.work.len() {
            if let Some(call) = self.next_call_for(now, index) {
                step.calls.push(call);
            }
        }
        for candidate in candidates {
            if let Some(call) = self.probe(now, &candidate.holder) {
                step.calls.push(call);
            }
        }
        step
    }

    /// Tells what became of the row that a step returned.
    pub fn record_commit(&mut self, now: Moment, is_written: bool) {
        let Some(map) = self.pending.take() else {
            return;
        };
        if is_written {
            self.set_map(now, map);
        }
    }

    /// Tells what became of a call; replies to calls of another ledger are ignored.
    pub fn record_reply(&mut self, now: Moment, call: &GrantCall, reply: CallReply) {
        // A ledger of an earlier term counted its calls from the same number.
        if self
            .calls
            .get(&call.id)
            .is_none_or(|open| open.call != *call)
        {
            return;
        }
        let Some(OpenCall { call, sent_at }) = self.calls.shift_remove(&call.id) else {
            return;
        };
        let id = call.id;
        let state = self.holders.entry(call.holder.clone()).or_default();
        match reply {
            CallReply::Ended => state.has_ended = true,
            CallReply::Unreachable => {
                state.failures += 1;
                state.probe_at = now + PROBE_PAUSE;
            }
            CallReply::Unanswered => {
                if let CallKind::Grant { duration, .. } = &call.kind {
                    // It may have been on its way until the connection was reset.
                    let until = now + GrantTiming::expiry_bound(*duration);
                    state.unanswered_until = state.unanswered_until.max(until);
                    state.held_until = state.held_until.max(until);
                }
            }
            _ => {
                state.failures = 0;
                if let CallKind::Grant { duration, .. } = &call.kind {
                    // The answer proves that it arrived by now, and no more than that.
                    let until = now + GrantTiming::expiry_bound_after_arrival(*duration);
                    state.held_until = state.held_until.max(until);
                }
            }
        }
        let key = (call.first, call.last, call.epoch);
        if call.kind == CallKind::Probe {
            return;
        }
        let is_mine = |work: &&mut RangeWork| work.call == Some(id);
        let Some(work) = self.work.values_mut().find(is_mine) else {
            return;
        };
        work.call = None;
        work.due = now + RETRY_PAUSE;
        match (reply, &mut work.phase) {
            (CallReply::Released(token), RangePhase::Freeing(holders, handover)) => {
                holders.pop();
                if token.is_some() {
                    *handover = token;
                }
                // A grant without an answer may still take effect.
                work.due = now.max(state.unanswered_until);
            }
            (CallReply::Granted, RangePhase::Granting(_) | RangePhase::Holding) => {
                work.phase = RangePhase::Holding;
                work.due = sent_at + self.timing.renew_interval;
                work.granted_at.get_or_insert(now);
            }
            (CallReply::Superseded, RangePhase::Granting(_) | RangePhase::Holding) => {
                self.lose_range(&key);
            }
            (CallReply::Ended | CallReply::Unanswered, _) => work.due = now,
            _ => {}
        }
    }

    /// A greater epoch was granted by somebody else, so the range needs a new one.
    fn lose_range(&mut self, key: &(u16, u16, u64)) {
        self.work.shift_remove(key);
    }

    /// Returns the candidates that can be reached.
    fn usable(&self, candidates: &[OwnerCandidate]) -> Vec<OwnerCandidate> {
        let is_usable = |candidate: &&OwnerCandidate| {
            let state = self.holders.get(&candidate.holder);
            state.is_none_or(|state| !state.has_ended && state.failures < SILENT_AFTER)
        };
        candidates.iter().filter(is_usable).cloned().collect()
    }

    /// Returns the row to write, if it is to change.
    fn plan(
        &mut self,
        now: Moment,
        candidates: &[OwnerCandidate],
        loads: &KeyLoads,
    ) -> Option<OwnerMap> {
        if self.pending.is_some() {
            return None;
        }
        let mut planned = self.map.clone();
        let mut is_changed = false;
        for range in &mut planned.ranges {
            let key = (range.first, range.last, range.epoch);
            let phase = self.work.get(&key).map(|work| &work.phase);
            if phase == Some(&RangePhase::Holding) && !range.is_granted {
                range.is_granted = true;
                // The owner's own earlier grants stay in force until they lapse.
                let owner = range.owner.clone();
                range
                    .previous_holders
                    .retain(|(holder, _)| Some(holder) == owner.as_ref());
                is_changed = true;
            }
            if phase.is_none() && range.owner.is_some() {
                // Superseded: the same owner is granted the keys anew.
                self.epoch += 1;
                range.previous_holders = range.possible_holders();
                range.epoch = self.epoch;
                range.is_granted = false;
                is_changed = true;
            }
        }
        let epoch = &mut self.epoch;
        let mut next_epoch = || {
            *epoch += 1;
            *epoch
        };
        let is_valid = |holder: &Holder| candidates.iter().any(|known| known.holder == *holder);
        is_changed |= assign_orphans(&mut planned, candidates, loads, &is_valid, &mut next_epoch);
        // Keys of a silent upstream may wait for seconds; the others go on.
        let moving = planned.ranges.iter().filter(|range| !range.is_granted);
        let has_room = moving.count() <= most_moves(candidates.len()) / 2;
        if has_room && now >= self.balanced_at + self.timing.rebalance_interval {
            let is_moved = move_for_balance(&mut planned, candidates, loads, &mut next_epoch);
            if is_moved {
                self.balanced_at = now;
                is_changed = true;
            }
            // Alone it is no reason to write; ranges are joined beside other changes.
            if is_changed {
                join_neighbours(&mut planned, &mut next_epoch);
            }
        }
        if !is_changed {
            return None;
        }
        self.forget_lapsed(now, &mut planned);
        self.pending = Some(planned.clone());
        Some(planned)
    }

    /// Drops earlier grants of owners that can't be in force any more.
    fn forget_lapsed(&self, now: Moment, planned: &mut OwnerMap) {
        let bound = self.timing.call_timeout
            + GrantTiming::expiry_bound(self.timing.extended_grant_duration);
        for range in &mut planned.ranges {
            let key = (range.first, range.last, range.epoch);
            let granted_at = self.work.get(&key).and_then(|work| work.granted_at);
            if range.is_granted && granted_at.is_some_and(|at| at + bound <= now) {
                range.previous_holders.clear();
            }
        }
    }

    /// Takes a committed row over and carries on with what it kept.
    fn set_map(&mut self, now: Moment, map: OwnerMap) {
        let mut work = IndexMap::with_capacity(map.ranges.len());
        for range in &map.ranges {
            if range.owner.is_none() {
                continue;
            }
            let key = (range.first, range.last, range.epoch);
            let kept = self.work.get(&key).cloned();
            let next = kept.unwrap_or_else(|| self.work_of_part(now, range));
            work.insert(key, next);
        }
        self.work = work;
        self.map = map;
    }

    /// Returns the work on a range that is new, or a part of an earlier one.
    fn work_of_part(&self, now: Moment, range: &OwnedRange) -> RangeWork {
        let whole = self.work.iter().find(|((first, last, epoch), _)| {
            *epoch == range.epoch && *first <= range.first && range.last <= *last
        });
        let phase = match whole {
            Some((_, whole)) => whole.phase.clone(),
            None if range.is_granted => RangePhase::Holding,
            None if !range.previous_holders.is_empty() => {
                RangePhase::Freeing(range.previous_holders.clone(), None)
            }
            None => RangePhase::Granting(None),
        };
        RangeWork {
            phase,
            due: whole.map_or(now, |(_, whole)| whole.due),
            call: None,
            granted_at: whole.and_then(|(_, whole)| whole.granted_at),
        }
    }

    /// Returns the call that a range needs now.
    fn next_call_for(&mut self, now: Moment, index: usize) -> Option<GrantCall> {
        let (key, work) = self.work.get_index(index)?;
        if work.call.is_some() || work.due > now {
            return None;
        }
        let key = *key;
        let position = self.map.ranges.partition_point(|range| range.last < key.0);
        let range = self.map.ranges.get(position)?.clone();
        let phase = work.phase.clone();
        match phase {
            RangePhase::Freeing(..) => self.free(now, index, &range),
            RangePhase::Granting(handover) => self.grant(now, index, &range, handover),
            RangePhase::Holding => self.grant(now, index, &range, None),
        }
    }

    /// Asks a possible holder of a range to release it, unless it can't hold it.
    fn free(&mut self, now: Moment, index: usize, range: &OwnedRange) -> Option<GrantCall> {
        while let RangePhase::Freeing(holders, _) = &self.work[index].phase {
            let Some((holder, epoch)) = holders.last().cloned() else {
                break;
            };
            let state = self.holders.get(&holder).copied().unwrap_or_default();
            // The same run is granted the keys anew; that is no second holder.
            let is_over = state.has_ended || Some(&holder) == range.owner.as_ref();
            if !is_over && self.is_granting(&holder, range) {
                // A release could overtake the grant that is under way.
                return None;
            }
            if !is_over && state.held_until > now {
                return Some(self.call(now, index, &holder, range, epoch, CallKind::Release));
            }
            if let RangePhase::Freeing(holders, _) = &mut self.work[index].phase {
                holders.pop();
            }
        }
        let RangePhase::Freeing(_, handover) = &mut self.work[index].phase else {
            return None;
        };
        let handover = handover.take();
        self.work[index].phase = RangePhase::Granting(handover.clone());
        self.grant(now, index, range, handover)
    }

    /// Returns whether a grant of some of these keys to `holder` is under way.
    fn is_granting(&self, holder: &Holder, range: &OwnedRange) -> bool {
        self.calls.values().any(|open| {
            let call = &open.call;
            call.holder == *holder
                && matches!(call.kind, CallKind::Grant { .. })
                && call.first <= range.last
                && range.first <= call.last
        })
    }

    fn grant(
        &mut self,
        now: Moment,
        index: usize,
        range: &OwnedRange,
        handover: Option<String>,
    ) -> Option<GrantCall> {
        let owner = range.owner.clone()?;
        let duration = if self.is_long {
            self.timing.extended_grant_duration
        } else {
            self.timing.grant_duration
        };
        let state = self.holders.entry(owner.clone()).or_default();
        if state.has_ended || state.failures >= SILENT_AFTER {
            // A silent upstream is not renewed, so that its lease lapses.
            return None;
        }
        let kind = CallKind::Grant { duration, handover };
        Some(self.call(now, index, &owner, range, range.epoch, kind))
    }

    /// Tries to reach a silent upstream again.
    fn probe(&mut self, now: Moment, holder: &Holder) -> Option<GrantCall> {
        let state = self.holders.get_mut(holder)?;
        if state.failures < SILENT_AFTER || state.probe_at > now || state.has_ended {
            return None;
        }
        state.probe_at = now + PROBE_PAUSE;
        let call = GrantCall {
            id: self.next_call,
            holder: holder.clone(),
            first: 0,
            last: 0,
            epoch: 0,
            kind: CallKind::Probe,
            send_deadline: now + SEND_LIMIT,
        };
        self.open(now, call.clone());
        Some(call)
    }

    fn open(&mut self, now: Moment, call: GrantCall) {
        self.next_call += 1;
        self.calls.insert(call.id, OpenCall { call, sent_at: now });
    }

    fn call(
        &mut self,
        now: Moment,
        index: usize,
        holder: &Holder,
        range: &OwnedRange,
        epoch: u64,
        kind: CallKind,
    ) -> GrantCall {
        let call = GrantCall {
            id: self.next_call,
            holder: holder.clone(),
            first: range.first,
            last: range.last,
            epoch,
            kind,
            send_deadline: now + SEND_LIMIT,
        };
        self.work[index].call = Some(call.id);
        self.open(now, call.clone());
        call
    }
}
