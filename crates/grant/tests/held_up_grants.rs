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

/// A leader that has taken over a row in which keys move from the first upstream to the
/// second, and a grant of the first one's keys that is still held up.
struct HeldUpPlay {
    candidates: [OwnerCandidate; 2],
    upstreams: [FencedUpstream; 2],
    late_grant: GrantCall,
    ledger: GrantLedger,
    now: Moment,
    healed_at: Moment,
}

impl HeldUpPlay {
    /// Starts a play in which nobody reaches the first upstream for `partition`.
    fn new(partition: Duration) -> Self {
        let now = Moment::from_millis(10_000);
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
            send_deadline: now,
        };
        let mut upstreams = candidates.each_ref().map(|candidate| FencedUpstream {
            holder: candidate.holder.clone(),
            greatest_epoch: 0,
            held_until: Moment::ZERO,
        });
        upstreams[0].apply(now, &late_grant);
        let mut ledger = GrantLedger::new(GrantTiming::default(), 2);
        ledger.adopt(now, map, PreviousTerm::default());
        Self {
            candidates,
            upstreams,
            late_grant,
            ledger,
            now,
            healed_at: now + partition,
        }
    }

    /// Makes the calls of one step; returns whether the first upstream released keys. No row
    /// is written, so that keys move once and no more.
    fn step(&mut self) -> bool {
        self.now = self.now + STEP;
        let now = self.now;
        let mut is_released = false;
        for call in self.ledger.next_calls(now, &self.candidates) {
            let is_first = call.holder == self.candidates[0].holder;
            let is_cut = is_first && now < self.healed_at;
            is_released |= is_first && !is_cut && call.kind == CallKind::Release;
            let mut upstreams = self.upstreams.iter_mut();
            let upstream = upstreams.find(|upstream| upstream.holder == call.holder);
            let reply = match upstream {
                Some(upstream) if !is_cut => upstream.apply(now, &call),
                _ => CallReply::Unreachable,
            };
            self.ledger.record_reply(now, &call, reply);
        }
        is_released
    }

    fn deliver_late_grant(&mut self) {
        self.upstreams[0].apply(self.now, &self.late_grant);
    }

    fn check_holders(&self) {
        let holds = |upstream: &&FencedUpstream| upstream.held_until > self.now;
        let count = self.upstreams.iter().filter(holds).count();
        assert!(count < 2, "two holders at {:?}", self.now);
    }
}

/// Guards against an earlier holder that takes keys again by a grant which was held up by a
/// partition for longer than a leader waits for it, while the new owner holds them.
#[rstest]
fn release_fences_grants_that_arrive_behind_it(#[values(200, 500, 1_800)] delay_ms: u64) {
    let mut play = HeldUpPlay::new(PARTITION);
    let mut due_at = None;
    let mut is_delivered = false;
    let ends_at = play.now + Duration::from_secs(15);
    while play.now < ends_at {
        if play.step() {
            due_at.get_or_insert(play.now + Duration::from_millis(delay_ms));
        }
        if !is_delivered && due_at.is_some_and(|due_at| play.now >= due_at) {
            is_delivered = true;
            play.deliver_late_grant();
        }
        play.check_holders();
    }
    assert!(is_delivered && play.upstreams[1].held_until > play.now);
    let step = play
        .ledger
        .step(play.now, &play.candidates, &KeyLoads::default());
    assert!(step.commit.is_some(), "the grant is known");
}

/// Guards against the same by a holder that is silent until its grants must have lapsed, so
/// that its keys are granted elsewhere without a release. Grants that arrive within 300 ms
/// after the partition has healed don't count.
#[rstest]
fn silent_holder_is_fenced_when_it_is_back(
    #[values(7_500, 12_000, 20_000)] partition_ms: u64,
    #[values(320, 600, 1_800)] delay_ms: u64,
) {
    let mut play = HeldUpPlay::new(Duration::from_millis(partition_ms));
    while play.now < play.healed_at + Duration::from_millis(delay_ms) {
        play.step();
        play.check_holders();
    }
    assert!(play.upstreams[1].held_until > play.now, "the keys moved");
    play.deliver_late_grant();
    for _ in 0..200 {
        play.check_holders();
        play.step();
    }
}

/// A silent holder that is granted its keys again is not fenced from them.
#[test]
fn silent_holder_that_is_granted_keys_again_keeps_them() {
    let mut play = HeldUpPlay::new(Duration::from_secs(12));
    let mut map = None;
    while play.now < play.healed_at + Duration::from_secs(10) {
        play.step();
        play.check_holders();
        if play.now + Duration::from_secs(2) < play.healed_at {
            continue;
        }
        // The second upstream leaves before the first can be reached again.
        let remaining = &play.candidates[..1];
        let step = play.ledger.step(play.now, remaining, &KeyLoads::default());
        for call in step.calls {
            play.ledger.record_reply(play.now, &call, CallReply::Unsent);
        }
        if step.commit.is_some() {
            map = step.commit;
            play.ledger.record_commit(play.now, true);
        }
    }
    let map = map.expect("the keys were assigned");
    assert_eq!(
        map.ranges[0].owner.as_ref(),
        Some(&play.candidates[0].holder)
    );
    assert!(play.upstreams[0].held_until > play.now, "the keys are back");
}
