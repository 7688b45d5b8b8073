//! A weak host takes over the keys of a large service: it has a call to make for every
//! range at once, and can send only some of them in time.

use grant::{
    CallReply, GrantCall, GrantLedger, GrantTiming, KeyLoads, OwnedRange, OwnerCandidate, OwnerMap,
    PreviousTerm,
};
use indexmap::IndexSet;
use kernel::Moment;
use rstest::rstest;
use std::collections::VecDeque;
use std::time::Duration;

const STEP: Duration = Duration::from_millis(40);
/// Time for which a connection may wait for an answer.
const ROUND_TRIP: Duration = Duration::from_millis(5);

/// Builds a map of `count` ranges, each held by an upstream of its own.
fn held_map(count: u16) -> OwnerMap {
    let keys_per_range = u16::MAX / count;
    let range = |index: u16| {
        let holder = OwnerCandidate::new(&format!("i-{index}"), 1, 4.0).holder;
        OwnedRange {
            first: index * keys_per_range,
            last: if index == count - 1 {
                u16::MAX
            } else {
                (index + 1) * keys_per_range - 1
            },
            owner: Some(holder),
            epoch: 1 + u64::from(index),
            is_granted: true,
            previous_holders: Vec::new(),
        }
    };
    OwnerMap {
        ranges: (0..count).map(range).collect(),
    }
}

/// A host that sends calls one after the other, each of which takes `call_time`.
struct SlowHost {
    call_time: Duration,
    queue: VecDeque<GrantCall>,
    /// When the call that is being sent is through.
    busy_until: Moment,
    replies: Vec<(Moment, GrantCall, CallReply)>,
}

impl SlowHost {
    fn work(&mut self, now: Moment) {
        while self.busy_until <= now {
            let Some(call) = self.queue.pop_front() else {
                self.busy_until = self.busy_until.max(now);
                return;
            };
            self.busy_until = self.busy_until + self.call_time;
            let reply = if self.busy_until > call.send_deadline {
                CallReply::Unsent
            } else {
                CallReply::Granted
            };
            self.replies
                .push((self.busy_until + ROUND_TRIP, call, reply));
        }
    }
}

#[rstest]
#[case::strong_host(200, 1)]
#[case::weak_host(480, 4)]
#[case::very_weak_host(480, 6)]
fn step_after_takeover_renews_every_range_and_moves_none(
    #[case] ranges: u16,
    #[case] call_ms: u64,
) {
    let call_time = Duration::from_millis(call_ms);
    let map = held_map(ranges);
    let candidates: Vec<OwnerCandidate> = (0..ranges)
        .map(|index| OwnerCandidate::new(&format!("i-{index}"), 1, 4.0))
        .collect();
    let started_at = Moment::from_millis(10_000);
    let mut ledger = GrantLedger::new(GrantTiming::default(), 2);
    ledger.adopt(started_at, map.clone(), PreviousTerm::default());
    let mut host = SlowHost {
        call_time,
        queue: VecDeque::new(),
        busy_until: started_at,
        replies: Vec::new(),
    };
    let mut renewed: IndexSet<u16> = IndexSet::new();
    let mut now = started_at;
    // As many calls as there are ranges, and as long again for those sent in vain.
    let limit = call_time * u32::from(ranges) * 2;
    while renewed.len() < usize::from(ranges) {
        now = now + STEP;
        assert!(now - started_at < limit, "{} renewed", renewed.len());
        host.work(now);
        let (done, waiting) = std::mem::take(&mut host.replies)
            .into_iter()
            .partition(|(at, ..)| *at <= now);
        host.replies = waiting;
        let done: Vec<(Moment, GrantCall, CallReply)> = done;
        for (_, call, reply) in done {
            if reply == CallReply::Granted {
                renewed.insert(call.first);
            }
            ledger.record_reply(now, &call, reply);
        }
        let step = ledger.step(now, &candidates, &KeyLoads::default());
        assert_eq!(step.commit, None, "{:?}", now - started_at);
        host.queue.extend(step.calls);
    }
    assert_eq!(*ledger.map(), map);
}
