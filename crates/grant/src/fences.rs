//! Releases that fence silent holders.
//!
//! The keys of a silent holder go to another upstream when its grants must have lapsed. A
//! grant of an earlier leader may still be held up by a partition for longer than that. The
//! holder refuses it if it has seen a greater epoch by then, so it is told one as soon as it
//! can be reached.

use crate::{GrantCall, Holder};
use indexmap::IndexMap;
use kernel::Moment;
use std::time::Duration;

/// Delay between two attempts to reach a silent holder. What a partition has held up
/// arrives a few hundred milliseconds after its end.
const RETRY_DELAY: Duration = Duration::from_millis(150);
/// Time after which a silent holder has probably ended, so that fewer attempts are made.
const FREQUENT_DURATION: Duration = Duration::from_mins(1);
/// Delay between two attempts after that time.
const SELDOM_RETRY_DELAY: Duration = Duration::from_secs(2);

/// Keys that a silent holder must not take again under an epoch below this one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct KeyFence {
    pub first: u16,
    pub last: u16,
    pub epoch: u64,
}

impl KeyFence {
    fn overlaps(&self, first: u16, last: u16) -> bool {
        self.first <= last && first <= self.last
    }
}

#[derive(Clone, Debug)]
struct FencedHolder {
    waiting: Vec<KeyFence>,
    /// Fences whose calls are under way, by call id.
    pending: IndexMap<u64, KeyFence>,
    is_reachable: bool,
    first_tried_at: Moment,
    retry_at: Moment,
}

/// Fences that silent holders have not confirmed yet.
#[derive(Clone, Debug, Default)]
pub(crate) struct FenceQueue {
    holders: IndexMap<Holder, FencedHolder>,
}

impl FenceQueue {
    pub(crate) fn add(&mut self, now: Moment, holder: Holder, fence: KeyFence) {
        let new = FencedHolder {
            waiting: Vec::new(),
            pending: IndexMap::new(),
            is_reachable: false,
            first_tried_at: now,
            retry_at: now,
        };
        let fenced = self.holders.entry(holder).or_insert(new);
        fenced.waiting.push(fence);
    }

    /// Returns the fences to send now: one to a holder that could not be reached yet, and
    /// all to one that answers.
    pub(crate) fn due(&self, now: Moment) -> Vec<(Holder, KeyFence)> {
        let mut due = Vec::new();
        for (holder, fenced) in &self.holders {
            let may_try = now >= fenced.retry_at && fenced.pending.is_empty();
            let count = if fenced.is_reachable {
                fenced.waiting.len()
            } else {
                usize::from(may_try)
            };
            let fences = fenced.waiting.iter().take(count);
            due.extend(fences.map(|fence| (holder.clone(), *fence)));
        }
        due
    }

    /// Records that a fence was sent by a call.
    pub(crate) fn record_sent(&mut self, holder: &Holder, fence: KeyFence, call_id: u64) {
        let Some(fenced) = self.holders.get_mut(holder) else {
            return;
        };
        fenced.waiting.retain(|waiting| *waiting != fence);
        fenced.pending.insert(call_id, fence);
    }

    /// Records whether a call was answered; calls that sent no fence are ignored.
    pub(crate) fn record_reply(&mut self, now: Moment, call: &GrantCall, is_answered: bool) {
        let Some(fenced) = self.holders.get_mut(&call.holder) else {
            return;
        };
        let Some(fence) = fenced.pending.shift_remove(&call.id) else {
            return;
        };
        fenced.is_reachable = is_answered;
        if !is_answered {
            fenced.waiting.push(fence);
            let is_frequent = now < fenced.first_tried_at + FREQUENT_DURATION;
            let delay = if is_frequent {
                RETRY_DELAY
            } else {
                SELDOM_RETRY_DELAY
            };
            fenced.retry_at = now + delay;
        }
        if fenced.waiting.is_empty() && fenced.pending.is_empty() {
            self.holders.shift_remove(&call.holder);
        }
    }

    /// Removes the fences of a holder that has ended.
    pub(crate) fn remove_holder(&mut self, holder: &Holder) {
        self.holders.shift_remove(holder);
    }

    /// Returns whether a fence of any of these keys is under way to the holder.
    pub(crate) fn is_under_way(&self, holder: &Holder, first: u16, last: u16) -> bool {
        let mut pending = self
            .holders
            .get(holder)
            .into_iter()
            .flat_map(|fenced| fenced.pending.values());
        pending.any(|fence| fence.overlaps(first, last))
    }

    /// Removes the fences of keys that the holder is granted anew, which fences earlier
    /// grants as well.
    pub(crate) fn remove_keys(&mut self, holder: &Holder, first: u16, last: u16) {
        let Some(fenced) = self.holders.get_mut(holder) else {
            return;
        };
        fenced.waiting.retain(|fence| !fence.overlaps(first, last));
        if fenced.waiting.is_empty() && fenced.pending.is_empty() {
            self.holders.shift_remove(holder);
        }
    }
}
