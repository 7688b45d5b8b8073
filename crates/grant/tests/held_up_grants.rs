//! Grants of a leader that is gone, which are held up on their way and arrive behind the
//! release of their keys.

use grant::{
    CallKind, CallReply, GrantCall, GrantLedger, GrantTiming, Holder, KeyLoads, OwnedRange,
    OwnerCandidate, OwnerMap, PreviousTerm,
};
use kernel::Moment;
use rstest::rstest;
use std::time::Duration;

const STEP: Duration = Duration::from_millis(20);
const KEPT: Duration = Duration::from_secs(3);

/// Time for which a partition holds the grant up, and the new leader can't reach the holder.
const PARTITION: Duration = Duration::from_secs(5);

/// An upstream that keeps the greatest epoch of all calls for its keys.
struct FencedUpstream {
    holder: Holder,
    greatest_epoch: u64,
    held_until: Moment,
}

impl FencedUpstream {
    fn apply(&mut self, now: Moment, call: &GrantCall) -> CallReply {
        if matches!(call.kind, CallKind::Probe) {
            return CallReply::Reached;
        }
        let is_superseded = call.epoch < self.greatest_epoch;
        self.greatest_epoch = self.greatest_epoch.max(call.epoch);
        match call.kind {
            CallKind::Release => {
                self.held_until = now;
                CallReply::Released(None)
            }
            _ if is_superseded => CallReply::Superseded,
            _ => {
                self.held_until = now + KEPT;
                CallReply::Granted
            }
        }
    }
}

/// Guards against an earlier holder that takes keys again by a grant which was held up by a
/// partition for longer than a leader waits for it, while the new owner holds them.
#[rstest]
fn release_fences_grants_that_arrive_behind_it(#[values(200, 500, 1_800)] delay_ms: u64) {
    let candidates = [
        OwnerCandidate::new("i-1", 1, 4.0),
        OwnerCandidate::new("i-2", 1, 4.0),
    ];
    let old_epoch = (1 << 24) + 1;
    let map = OwnerMap {
        ranges: vec![OwnedRange {
            first: 0,
            last: u16::MAX,
            owner: Some(candidates[1].holder.clone()),
            epoch: old_epoch + 1,
            is_granted: false,
            previous_holders: vec![(candidates[0].holder.clone(), old_epoch)],
        }],
    };
    let late_grant = GrantCall {
        id: 1,
        holder: candidates[0].holder.clone(),
        first: 0,
        last: u16::MAX,
        epoch: old_epoch,
        kind: CallKind::Grant {
            duration: KEPT,
            handover: None,
        },
        send_deadline: Moment::from_millis(10_000),
    };
    let mut upstreams = candidates.each_ref().map(|candidate| FencedUpstream {
        holder: candidate.holder.clone(),
        greatest_epoch: 0,
        held_until: Moment::ZERO,
    });
    let started_at = Moment::from_millis(10_000);
    let mut now = started_at;
    upstreams[0].apply(now, &late_grant);
    let mut ledger = GrantLedger::new(GrantTiming::default(), 2);
    ledger.adopt(now, map, PreviousTerm::default());
    let mut released_at = None;
    let mut is_delivered = false;
    // No row is written, so that keys move once and no more.
    while now < started_at + Duration::from_secs(15) {
        now = now + STEP;
        for call in ledger.next_calls(now, &candidates) {
            if call.kind == CallKind::Release && now >= started_at + PARTITION {
                released_at.get_or_insert(now);
            }
            let is_cut = call.holder == candidates[0].holder && now < started_at + PARTITION;
            let upstream = upstreams
                .iter_mut()
                .find(|upstream| upstream.holder == call.holder);
            let reply = match upstream {
                Some(upstream) if !is_cut => upstream.apply(now, &call),
                _ => CallReply::Unreachable,
            };
            ledger.record_reply(now, &call, reply);
        }
        let is_due = released_at.is_some_and(|at| now >= at + Duration::from_millis(delay_ms));
        if is_due && !is_delivered {
            is_delivered = true;
            upstreams[0].apply(now, &late_grant);
        }
        let holders = upstreams
            .iter()
            .filter(|upstream| upstream.held_until > now);
        assert!(holders.count() < 2, "two holders at {now:?}");
    }
    assert!(is_delivered && upstreams[1].held_until > now);
    let step = ledger.step(now, &candidates, &KeyLoads::default());
    assert!(step.commit.is_some(), "the grant is known");
}
