//! The leader's state machine: decides which row to write and which grants and releases
//! to send.

use crate::balance::{OwnerCandidate, assign_orphans, max_moves, merge_adjacent_ranges, rebalance};
use crate::call_limit::CallLimit;
use crate::evacuation::{EvacuatedHolders, move_ranges};
use crate::fences::{FenceQueue, KeyFence};
use crate::{FoundOwners, GrantTiming, Holder, KeyLoads, OwnedRange, OwnerMap, PreviousTerm};
use evac::next_moves;
use indexmap::{IndexMap, IndexSet};
use kernel::Moment;
use std::time::Duration;

/// Low bits of an epoch that count within a term; the bits above hold the term.
pub(crate) const EPOCH_COUNTER_BITS: u32 = 24;
/// Consecutive failed connections after which an upstream is considered silent.
const SILENT_AFTER_FAILURES: u32 = 2;
/// Delay before a failed call is retried.
const RETRY_DELAY: Duration = Duration::from_millis(150);
/// Maximum time between a decision and the sending of its call; half of the delivery
/// time that [`GrantTiming::expiry_bound`] allows.
const MAX_SEND_DELAY: Duration = Duration::from_millis(150);
/// Interval between attempts to reach a silent upstream.
const PROBE_INTERVAL: Duration = Duration::from_secs(2);

/// What a call to an upstream asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// Grants the keys for a duration, with the state that the previous holder handed
    /// over.
    Grant {
        /// Validity of the grant, counted from the arrival of the call.
        duration: Duration,
        /// Handover token from the previous holder's release.
        handover: Option<String>,
    },
    /// Stops work on the keys; answered when running work has ended.
    Release,
    /// Opens a connection to see whether the upstream can be reached again.
    Probe,
}

/// A call to an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GrantCall {
    /// Id that matches a reply to this call.
    pub id: u64,
    /// The upstream run that the call is meant for.
    pub holder: Holder,
    /// First key.
    pub first: u16,
    /// Last key.
    pub last: u16,
    /// Fencing token.
    pub epoch: u64,
    /// What the call asks for.
    pub kind: CallKind,
    /// Time after which the call must not be sent any more: the validity of its grant
    /// is calculated from the time of the decision.
    pub send_deadline: Moment,
}

/// Result of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallReply {
    /// The upstream has accepted the grant.
    Granted,
    /// The upstream has seen a greater epoch.
    Superseded,
    /// The upstream no longer holds the keys and has no work on them; with its handover
    /// token.
    Released(Option<String>),
    /// The upstream's process has ended: its address belongs to another upstream.
    Ended,
    /// No connection could be made, so nothing was sent. A refused connection does not
    /// prove that the process has ended, because some network partitions refuse
    /// connections too.
    Unreachable,
    /// A connection could be opened.
    Reached,
    /// The host did not get to sending the call in time; this says nothing about the
    /// upstream.
    Unsent,
    /// The call was sent but not answered.
    Unanswered,
    /// The upstream rejected the call for another reason; with the HTTP status.
    Rejected(u16),
}

/// Output of [`GrantLedger::step`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LedgerStep {
    /// The row to write; report the result with [`GrantLedger::record_commit`].
    pub commit: Option<OwnerMap>,
    /// Calls to make; report each result with [`GrantLedger::record_reply`].
    pub calls: Vec<GrantCall>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum RangePhase {
    /// These previous holders have to release the keys, starting with the last of the
    /// list; and the handover token of the latest release that returned one.
    Releasing(Vec<(Holder, u64)>, Option<String>),
    /// The owner has to be granted the keys; with the handover token.
    Granting(Option<String>),
    /// The owner has accepted the grant, which has to be renewed.
    Held,
}

#[derive(Clone, Debug)]
struct RangeState {
    phase: RangePhase,
    /// Time at which the next call for the range is due.
    due_at: Moment,
    pending_call: Option<u64>,
    /// When the owner was first known to have accepted the grant under this epoch.
    granted_at: Option<Moment>,
}

/// A call that has not been answered yet.
#[derive(Clone, Debug)]
struct PendingCall {
    call: GrantCall,
    sent_at: Moment,
}

/// What the leader knows about one run of an upstream.
#[derive(Clone, Copy, Debug, Default)]
struct HolderState {
    /// Time until which a grant whose call has ended may be in force.
    grants_valid_until: Moment,
    /// Time until which a grant whose call was not answered may take effect.
    unanswered_until: Moment,
    /// Whether a grant of an earlier leader may arrive later than any bound allows.
    has_untracked_grants: bool,
    has_ended: bool,
    connect_failures: u32,
    next_probe_at: Moment,
}

/// The leader's state machine for the keys of one service.
#[derive(Debug)]
pub struct GrantLedger {
    timing: GrantTiming,
    map: OwnerMap,
    /// States of the ranges by first key, last key and epoch.
    range_states: IndexMap<(u16, u16, u64), RangeState>,
    holders: IndexMap<Holder, HolderState>,
    pending_calls: IndexMap<u64, PendingCall>,
    pending_map: Option<OwnerMap>,
    last_epoch: u64,
    next_call_id: u64,
    /// Limit on the calls that begin within [`MAX_SEND_DELAY`].
    call_limit: CallLimit,
    is_extended: bool,
    rebalanced_at: Moment,
    /// Time until which unknown upstreams may hold keys, so that none are granted.
    fenced_until: Moment,
    fences: FenceQueue,
}

impl GrantLedger {
    /// Creates the ledger of a leader's term.
    pub fn new(timing: GrantTiming, term: u64) -> Self {
        Self {
            timing,
            map: OwnerMap::default(),
            range_states: IndexMap::new(),
            holders: IndexMap::new(),
            pending_calls: IndexMap::new(),
            pending_map: None,
            last_epoch: term << EPOCH_COUNTER_BITS,
            next_call_id: 1,
            call_limit: CallLimit::new(),
            is_extended: false,
            rebalanced_at: Moment::ZERO,
            fenced_until: Moment::ZERO,
            fences: FenceQueue::default(),
        }
    }

    /// Grants no keys until `until`, as upstreams that this leader does not know of may
    /// hold them.
    pub fn fence(&mut self, until: Moment) {
        self.fenced_until = self.fenced_until.max(until);
    }

    /// Returns for how much longer no keys are granted.
    pub fn fence_remaining(&self, now: Moment) -> Duration {
        self.fenced_until - now
    }

    /// Starts from the owners that were found when the leader took its lease; those that
    /// may have gone back are assigned again once all earlier grants have lapsed.
    pub fn take_over(&mut self, now: Moment, found: FoundOwners, previous: PreviousTerm) {
        match found {
            FoundOwners::Current(map) => self.adopt(now, map, previous),
            FoundOwners::Outdated {
                latest,
                fenced_until,
            } => {
                self.fence(fenced_until);
                self.last_epoch = self.last_epoch.max(latest.greatest_epoch());
                // Without a state, each range is granted under a new epoch. By then no
                // other upstream holds it any more.
                self.map = latest;
                for range in &mut self.map.ranges {
                    range.is_granted = false;
                    range.previous_holders.clear();
                }
            }
        }
    }

    /// Starts from the row in the store; `previous` is what the previous leader left
    /// behind.
    ///
    /// Unless the previous term ended cleanly, some of its grants may still be under
    /// way.
    pub fn adopt(&mut self, now: Moment, map: OwnerMap, previous: PreviousTerm) {
        self.last_epoch = self.last_epoch.max(map.greatest_epoch());
        // Calls of the previous leader may have been in transit for a while.
        let max_validity = self.timing.max_validity();
        let grants_valid_until = now
            + previous
                .grants_valid_for
                .unwrap_or(max_validity)
                .min(max_validity);
        // An unanswered grant may take effect after a release, for as long as any other
        // grant.
        let unanswered_until = if previous.is_clean {
            now
        } else {
            grants_valid_until
        };
        for range in &map.ranges {
            let previous_holders = range.previous_holders.iter().map(|(holder, _)| holder);
            for holder in range.owner.iter().chain(previous_holders) {
                let state = self.holders.entry(holder.clone()).or_default();
                state.grants_valid_until = grants_valid_until;
                state.unanswered_until = unanswered_until;
                state.has_untracked_grants = !previous.is_clean;
            }
        }
        self.pending_map = None;
        self.pending_calls.clear();
        self.fences = FenceQueue::default();
        self.set_map(now, map);
    }

    /// Issues further epochs in a later term of the same leader, beginning with one for the
    /// first range.
    ///
    /// Hosts that know owners with greater epochs believe this leader's owners from then
    /// on.
    pub fn raise_term(&mut self, term: u64) {
        self.last_epoch = self.last_epoch.max(term << EPOCH_COUNTER_BITS);
        let first = self.range_states.keys().next().copied();
        if let Some(key) = first {
            self.remove_range_state(&key);
        }
    }

    /// Returns the map of the last committed row.
    pub const fn map(&self) -> &OwnerMap {
        &self.map
    }

    /// Returns whether every grant and release has been answered.
    pub fn is_clean(&self, now: Moment) -> bool {
        let is_answered = |state: &HolderState| state.unanswered_until <= now;
        self.fenced_until <= now
            && self.pending_calls.is_empty()
            && self.holders.values().all(is_answered)
    }

    /// Returns how long from `now` the grants of this ledger may be in force if no more
    /// are sent.
    pub fn grants_valid_for(&self, now: Moment) -> Duration {
        let mut until = now.max(self.fenced_until);
        for state in self.holders.values() {
            until = until.max(state.grants_valid_until);
        }
        for pending in self.pending_calls.values() {
            if let CallKind::Grant { duration, .. } = &pending.call.kind {
                let arrives_by = now + self.timing.call_timeout;
                until = until.max(arrives_by + GrantTiming::expiry_bound(*duration));
            }
        }
        until - now
    }

    /// Switches between the extended and the usual validity of grants. Extending makes
    /// all renewals due at once.
    pub fn set_extended(&mut self, now: Moment, is_extended: bool) {
        if is_extended && !self.is_extended {
            for range_state in self.range_states.values_mut() {
                if range_state.phase == RangePhase::Held {
                    range_state.due_at = now;
                }
            }
        }
        self.is_extended = is_extended;
    }

    /// Returns the row to write and the calls to make now.
    pub fn step(
        &mut self,
        now: Moment,
        candidates: &[OwnerCandidate],
        loads: &KeyLoads,
    ) -> LedgerStep {
        if now < self.fenced_until {
            return LedgerStep::default();
        }
        let reachable_candidates = self.reachable_candidates(candidates);
        LedgerStep {
            commit: self.plan_commit(now, &reachable_candidates, loads),
            calls: self.next_calls(now, candidates),
        }
    }

    /// Returns the calls to make now, without planning any change of the row. Renewals
    /// go on in this way while a write of the row is under way.
    pub fn next_calls(&mut self, now: Moment, candidates: &[OwnerCandidate]) -> Vec<GrantCall> {
        let mut calls = Vec::new();
        if now < self.fenced_until {
            return calls;
        }
        for index in self.due_ranges(now) {
            if let Some(call) = self.next_call_for(now, index) {
                calls.push(call);
            }
        }
        for candidate in candidates {
            if let Some(call) = self.start_probe(now, &candidate.holder) {
                calls.push(call);
            }
        }
        for (holder, fence) in self.fences.due(now) {
            calls.push(self.start_fence(now, holder, fence));
        }
        calls
    }

    /// Returns the indexes of the ranges for which a call may begin now, the longest due
    /// first.
    fn due_ranges(&self, now: Moment) -> Vec<usize> {
        let mut due: Vec<usize> = Vec::new();
        for (index, range_state) in self.range_states.values().enumerate() {
            if range_state.pending_call.is_none() && range_state.due_at <= now {
                due.push(index);
            }
        }
        let just_begun = |pending: &&PendingCall| now < pending.sent_at + MAX_SEND_DELAY;
        let begun = self.pending_calls.values().filter(just_begun).count();
        let available = self.call_limit.available(begun);
        if due.len() > available {
            due.sort_by_key(|index| self.range_states[*index].due_at);
            due.truncate(available);
        }
        due
    }

    /// Records whether the row that a step returned was written.
    pub fn record_commit(&mut self, now: Moment, is_written: bool) {
        let Some(map) = self.pending_map.take() else {
            return;
        };
        if is_written {
            self.set_map(now, map);
        }
    }

    /// Records the result of a call; replies to calls of another ledger are ignored.
    pub fn record_reply(&mut self, now: Moment, call: &GrantCall, reply: CallReply) {
        // Ledgers of all terms number their calls from 1, so the id alone does not
        // suffice.
        if self
            .pending_calls
            .get(&call.id)
            .is_none_or(|pending| pending.call != *call)
        {
            return;
        }
        let Some(PendingCall { call, sent_at }) = self.pending_calls.shift_remove(&call.id) else {
            return;
        };
        let id = call.id;
        if reply == CallReply::Unsent {
            self.call_limit.record_unsent(now, MAX_SEND_DELAY);
        } else {
            self.call_limit.record_sent(self.range_states.len());
        }
        let holder_state = self.holders.entry(call.holder.clone()).or_default();
        match reply {
            CallReply::Unsent => {}
            CallReply::Ended => holder_state.has_ended = true,
            CallReply::Unreachable => {
                holder_state.connect_failures += 1;
                holder_state.next_probe_at = now + PROBE_INTERVAL;
            }
            CallReply::Unanswered => {
                if let CallKind::Grant { duration, .. } = &call.kind {
                    // The call may have been in transit until the connection was reset.
                    let until = now + GrantTiming::expiry_bound(*duration);
                    holder_state.unanswered_until = holder_state.unanswered_until.max(until);
                    holder_state.grants_valid_until = holder_state.grants_valid_until.max(until);
                }
            }
            _ => {
                holder_state.connect_failures = 0;
                if let CallKind::Grant { duration, .. } = &call.kind {
                    // The answer only proves that the call has arrived by now.
                    let until = now + GrantTiming::expiry_bound_after_arrival(*duration);
                    holder_state.grants_valid_until = holder_state.grants_valid_until.max(until);
                }
            }
        }
        let key = (call.first, call.last, call.epoch);
        if call.kind == CallKind::Probe {
            return;
        }
        if reply == CallReply::Ended {
            self.fences.remove_holder(&call.holder);
        }
        let is_answered = !matches!(
            reply,
            CallReply::Unsent | CallReply::Unreachable | CallReply::Unanswered
        );
        self.fences.record_reply(now, &call, is_answered);
        let mut range_states = self.range_states.iter_mut();
        let found = range_states.find(|(_, range_state)| range_state.pending_call == Some(id));
        let Some((&(.., range_epoch), range_state)) = found else {
            return;
        };
        range_state.pending_call = None;
        if reply == CallReply::Unsent {
            // It stays due since when it was, before those that became due later.
            return;
        }
        range_state.due_at = now + RETRY_DELAY;
        match (reply, &mut range_state.phase) {
            (CallReply::Released(token), RangePhase::Releasing(holders, handover)) => {
                let may_be_granted = holder_state.unanswered_until > now;
                match holders.last_mut() {
                    // A second release, under the new epoch, has the upstream refuse a grant
                    // that arrives later than any bound on its delivery.
                    Some((_, epoch)) if may_be_granted && *epoch < range_epoch => {
                        *epoch = range_epoch;
                        range_state.due_at = now;
                        if handover.is_none() {
                            *handover = token;
                        }
                        return;
                    }
                    _ => holders.pop(),
                };
                if token.is_some() && call.epoch < range_epoch {
                    *handover = token;
                }
                // A grant without an answer may still take effect.
                range_state.due_at = now.max(holder_state.unanswered_until);
            }
            (CallReply::Granted, RangePhase::Granting(_) | RangePhase::Held) => {
                range_state.phase = RangePhase::Held;
                range_state.due_at = sent_at + self.timing.renew_interval;
                range_state.granted_at.get_or_insert(now);
            }
            (CallReply::Superseded, RangePhase::Granting(_) | RangePhase::Held) => {
                self.remove_range_state(&key);
            }
            (CallReply::Ended | CallReply::Unanswered, _) => range_state.due_at = now,
            _ => {}
        }
    }

    /// Removes the state of a range for which the upstream has seen a greater epoch, so
    /// that the range is granted under a new one.
    fn remove_range_state(&mut self, key: &(u16, u16, u64)) {
        self.range_states.shift_remove(key);
    }

    /// Returns the candidates that have neither ended nor become silent.
    fn reachable_candidates(&self, candidates: &[OwnerCandidate]) -> Vec<OwnerCandidate> {
        let is_reachable = |candidate: &&OwnerCandidate| {
            let state = self.holders.get(&candidate.holder);
            state.is_none_or(|state| {
                !state.has_ended && state.connect_failures < SILENT_AFTER_FAILURES
            })
        };
        candidates.iter().filter(is_reachable).cloned().collect()
    }

    /// Returns the row to write if it has to change.
    fn plan_commit(
        &mut self,
        now: Moment,
        candidates: &[OwnerCandidate],
        loads: &KeyLoads,
    ) -> Option<OwnerMap> {
        if self.pending_map.is_some() {
            return None;
        }
        let mut planned = self.map.clone();
        let mut is_changed = false;
        for range in &mut planned.ranges {
            let key = (range.first, range.last, range.epoch);
            let phase = self
                .range_states
                .get(&key)
                .map(|range_state| &range_state.phase);
            if phase == Some(&RangePhase::Held) && !range.is_granted {
                range.is_granted = true;
                // The owner's own previous grants stay in force until they lapse.
                let owner = range.owner.clone();
                range
                    .previous_holders
                    .retain(|(holder, _)| Some(holder) == owner.as_ref());
                is_changed = true;
            }
            if phase.is_none() && range.owner.is_some() {
                // The grant was superseded: the same owner is granted the keys under a
                // new epoch.
                self.last_epoch += 1;
                range.previous_holders = range.possible_holders();
                range.epoch = self.last_epoch;
                range.is_granted = false;
                is_changed = true;
            }
        }
        let last_epoch = &mut self.last_epoch;
        let mut next_epoch = || {
            *last_epoch += 1;
            *last_epoch
        };
        let known: IndexSet<&Holder> = candidates.iter().map(|known| &known.holder).collect();
        let is_valid = |holder: &Holder| known.contains(holder);
        is_changed |= assign_orphans(&mut planned, candidates, loads, &is_valid, &mut next_epoch);
        let evacuated = EvacuatedHolders::find(candidates);
        let pending_ends = evacuated.iter().flat_map(|evacuated| {
            evacuated
                .pending_ends(&planned)
                .into_iter()
                .map(move |end| (evacuated, end))
        });
        let pending_ends: Vec<(&EvacuatedHolders<'_>, Moment)> = pending_ends.collect();
        for (evacuated, end) in pending_ends {
            let may_move = |range: &OwnedRange| {
                evacuated.end_of(range) == Some(end)
                    && (end <= now || !has_unanswered_grant(&self.holders, range, now))
            };
            let count = next_moves(evacuated.progress(now, &planned, end));
            is_changed |= move_ranges(
                &mut planned,
                candidates,
                loads,
                count,
                &may_move,
                &mut next_epoch,
            );
        }
        let is_evacuating =
            evacuated.is_some_and(|evacuated| !evacuated.pending_ends(&planned).is_empty());
        // Keys of a silent upstream may wait for seconds, so others may move meanwhile,
        // up to half of the limit.
        let moving_ranges = planned.ranges.iter().filter(|range| !range.is_granted);
        let has_room = moving_ranges.count() <= max_moves(candidates.len()) / 2;
        if has_room && !is_evacuating && now >= self.rebalanced_at + self.timing.rebalance_interval
        {
            let is_moved = rebalance(&mut planned, candidates, loads, &mut next_epoch);
            if is_moved {
                self.rebalanced_at = now;
                is_changed = true;
            }
            // Merging alone is not worth a write; ranges are merged only along with
            // other changes.
            if is_changed {
                merge_adjacent_ranges(&mut planned, &mut next_epoch);
            }
        }
        if !is_changed {
            return None;
        }
        self.clear_lapsed_holders(now, &mut planned);
        self.pending_map = Some(planned.clone());
        Some(planned)
    }

    /// Returns how many ranges of candidates that must give up their keys are not moved
    /// yet, and how many are being moved; `None` if there are no such candidates.
    pub fn evacuation_counts(&self, candidates: &[OwnerCandidate]) -> Option<(usize, usize)> {
        let evacuated = EvacuatedHolders::find(candidates)?;
        Some(evacuated.counts(&self.map))
    }

    /// Removes previous grants of the owners that cannot be in force any more.
    fn clear_lapsed_holders(&self, now: Moment, planned: &mut OwnerMap) {
        let max_validity = self.timing.max_validity();
        for range in &mut planned.ranges {
            let key = (range.first, range.last, range.epoch);
            let granted_at = self
                .range_states
                .get(&key)
                .and_then(|range_state| range_state.granted_at);
            if range.is_granted && granted_at.is_some_and(|at| at + max_validity <= now) {
                range.previous_holders.clear();
            }
        }
    }

    /// Replaces the map with a committed one and keeps the state of the unchanged
    /// ranges.
    fn set_map(&mut self, now: Moment, map: OwnerMap) {
        let mut range_states = IndexMap::with_capacity(map.ranges.len());
        for range in &map.ranges {
            if range.owner.is_none() {
                continue;
            }
            let key = (range.first, range.last, range.epoch);
            let known_state = self.range_states.get(&key).cloned();
            let range_state = known_state.unwrap_or_else(|| self.initial_state(now, range));
            range_states.insert(key, range_state);
        }
        self.range_states = range_states;
        self.map = map;
    }

    /// Returns the initial state of a range that is new, or a part of a known range.
    fn initial_state(&self, now: Moment, range: &OwnedRange) -> RangeState {
        let known_range = self.range_states.iter().find(|((first, last, epoch), _)| {
            *epoch == range.epoch && *first <= range.first && range.last <= *last
        });
        let phase = match known_range {
            Some((_, known_range)) => known_range.phase.clone(),
            None if range.is_granted => RangePhase::Held,
            None if !range.previous_holders.is_empty() => {
                RangePhase::Releasing(range.previous_holders.clone(), None)
            }
            None => RangePhase::Granting(None),
        };
        RangeState {
            phase,
            due_at: known_range.map_or(now, |(_, known_range)| known_range.due_at),
            pending_call: None,
            granted_at: known_range.and_then(|(_, known_range)| known_range.granted_at),
        }
    }

    /// Returns the call that a range needs now, if any.
    fn next_call_for(&mut self, now: Moment, index: usize) -> Option<GrantCall> {
        let (key, range_state) = self.range_states.get_index(index)?;
        if range_state.pending_call.is_some() || range_state.due_at > now {
            return None;
        }
        let key = *key;
        let position = self.map.ranges.partition_point(|range| range.last < key.0);
        let range = self.map.ranges.get(position)?.clone();
        let phase = range_state.phase.clone();
        match phase {
            RangePhase::Releasing(..) => self.request_release(now, index, &range),
            RangePhase::Granting(handover) => self.start_grant(now, index, &range, handover),
            RangePhase::Held => self.start_grant(now, index, &range, None),
        }
    }

    /// Requests a release from one previous holder that may still hold the range;
    /// grants the range to its owner once there is none.
    fn request_release(
        &mut self,
        now: Moment,
        index: usize,
        range: &OwnedRange,
    ) -> Option<GrantCall> {
        while let RangePhase::Releasing(holders, _) = &self.range_states[index].phase {
            let Some((holder, epoch)) = holders.last().cloned() else {
                break;
            };
            let holder_state = self.holders.get(&holder).copied().unwrap_or_default();
            // The owner itself is granted the keys again; it is not a second holder.
            let is_released = holder_state.has_ended || Some(&holder) == range.owner.as_ref();
            if !is_released && self.has_pending_grant(&holder, range) {
                // A release could overtake the grant that is under way.
                return None;
            }
            if !is_released && holder_state.grants_valid_until > now {
                return Some(self.start_call(now, index, &holder, range, epoch, CallKind::Release));
            }
            if !is_released && holder_state.has_untracked_grants {
                let fence = KeyFence {
                    first: range.first,
                    last: range.last,
                    epoch: range.epoch,
                };
                self.fences.add(now, holder, fence);
            }
            if let RangePhase::Releasing(holders, _) = &mut self.range_states[index].phase {
                holders.pop();
            }
        }
        let RangePhase::Releasing(_, handover) = &mut self.range_states[index].phase else {
            return None;
        };
        let handover = handover.take();
        self.range_states[index].phase = RangePhase::Granting(handover.clone());
        self.start_grant(now, index, range, handover)
    }

    /// Returns whether a grant of any of these keys to `holder` is under way.
    fn has_pending_grant(&self, holder: &Holder, range: &OwnedRange) -> bool {
        self.pending_calls.values().any(|pending| {
            let call = &pending.call;
            call.holder == *holder
                && matches!(call.kind, CallKind::Grant { .. })
                && call.first <= range.last
                && range.first <= call.last
        })
    }

    fn start_grant(
        &mut self,
        now: Moment,
        index: usize,
        range: &OwnedRange,
        handover: Option<String>,
    ) -> Option<GrantCall> {
        let owner = range.owner.clone()?;
        let duration = if self.is_extended {
            self.timing.extended_grant_duration
        } else {
            self.timing.grant_duration
        };
        let state = self.holders.entry(owner.clone()).or_default();
        if state.has_ended || state.connect_failures >= SILENT_AFTER_FAILURES {
            // A silent upstream's grant is not renewed, so that it lapses.
            return None;
        }
        if self.fences.is_under_way(&owner, range.first, range.last) {
            // It could overtake the grant, and release the keys.
            return None;
        }
        self.fences.remove_keys(&owner, range.first, range.last);
        let kind = CallKind::Grant { duration, handover };
        Some(self.start_call(now, index, &owner, range, range.epoch, kind))
    }

    /// Returns a probe call to a silent upstream if one is due.
    fn start_probe(&mut self, now: Moment, holder: &Holder) -> Option<GrantCall> {
        let state = self.holders.get_mut(holder)?;
        if state.connect_failures < SILENT_AFTER_FAILURES
            || state.next_probe_at > now
            || state.has_ended
        {
            return None;
        }
        state.next_probe_at = now + PROBE_INTERVAL;
        let call = GrantCall {
            id: self.next_call_id,
            holder: holder.clone(),
            first: 0,
            last: 0,
            epoch: 0,
            kind: CallKind::Probe,
            send_deadline: now + MAX_SEND_DELAY,
        };
        self.add_pending_call(now, call.clone());
        Some(call)
    }

    fn start_fence(&mut self, now: Moment, holder: Holder, fence: KeyFence) -> GrantCall {
        let call = GrantCall {
            id: self.next_call_id,
            holder,
            first: fence.first,
            last: fence.last,
            epoch: fence.epoch,
            kind: CallKind::Release,
            send_deadline: now + MAX_SEND_DELAY,
        };
        self.fences.record_sent(&call.holder, fence, call.id);
        self.add_pending_call(now, call.clone());
        call
    }

    fn add_pending_call(&mut self, now: Moment, call: GrantCall) {
        self.next_call_id += 1;
        self.pending_calls
            .insert(call.id, PendingCall { call, sent_at: now });
    }

    fn start_call(
        &mut self,
        now: Moment,
        index: usize,
        holder: &Holder,
        range: &OwnedRange,
        epoch: u64,
        kind: CallKind,
    ) -> GrantCall {
        let call = GrantCall {
            id: self.next_call_id,
            holder: holder.clone(),
            first: range.first,
            last: range.last,
            epoch,
            kind,
            send_deadline: now + MAX_SEND_DELAY,
        };
        self.range_states[index].pending_call = Some(call.id);
        self.add_pending_call(now, call.clone());
        call
    }
}

/// Returns whether a grant of the range's owner was not answered and may still take
/// effect. A release would not help against it: the keys would be unserved until then.
fn has_unanswered_grant(
    holders: &IndexMap<Holder, HolderState>,
    range: &OwnedRange,
    now: Moment,
) -> bool {
    let state = range.owner.as_ref().and_then(|owner| holders.get(owner));
    state.is_some_and(|state| state.unanswered_until > now)
}
