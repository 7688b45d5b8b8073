//! Ranges leave holders that must give up their keys: warm, in time and at a limited
//! pace, through lost holders, a withdrawal and a change of the leader.

use grant::{
    CallKind, CallReply, GrantCall, GrantLedger, GrantTiming, Holder, KeyLoads, OwnedRange,
    OwnerCandidate, OwnerMap, PreviousTerm,
};
use indexmap::{IndexMap, IndexSet};
use kernel::Moment;
use rstest::rstest;
use std::collections::VecDeque;
use std::time::Duration;

const STEP: Duration = Duration::from_millis(20);
const START: Moment = Moment::from_millis(100_000);
/// Half of the bound of 5 s.
const MOVES_END: Duration = Duration::from_millis(2_500);
/// Time that a write of the row takes, and that a call waits for its answer.
const WRITE_TIME: Duration = Duration::from_millis(40);
const ROUND_TRIP: Duration = Duration::from_millis(5);
/// Time for which work goes on at a holder after the call for its release.
const RELEASE_TIME: Duration = Duration::from_millis(160);
/// Requests a second that an upstream can do.
const MAX_RATE: f64 = 10.0;

/// Returns the holders of a service, every fourth of which is to be evacuated.
fn holders(count: u16) -> Vec<Holder> {
    let holder = |index| OwnerCandidate::new(&format!("i-{index}"), 1, 4.0).holder;
    (0..count).map(holder).collect()
}

fn key_count(range: &OwnedRange) -> u32 {
    u32::from(range.last) - u32::from(range.first) + 1
}

/// Builds a map of `count` ranges that the holders have in turn.
fn held_map(count: u16, holders: &[Holder]) -> OwnerMap {
    let width = u16::MAX / count;
    let range = |index: u16| OwnedRange {
        first: index * width,
        last: if index == count - 1 {
            u16::MAX
        } else {
            (index + 1) * width - 1
        },
        owner: Some(holders[usize::from(index) % holders.len()].clone()),
        epoch: 1 + u64::from(index),
        is_granted: true,
        previous_holders: Vec::new(),
    };
    OwnerMap {
        ranges: (0..count).map(range).collect(),
    }
}

/// A leader that sends calls one after the other, upstreams and a store.
struct Surroundings {
    ledger: GrantLedger,
    now: Moment,
    candidates: Vec<OwnerCandidate>,
    evacuated: IndexSet<Holder>,
    loads: KeyLoads,
    /// Time that the leader takes to send a call.
    call_time: Duration,
    queue: VecDeque<GrantCall>,
    busy_until: Moment,
    replies: Vec<(Moment, GrantCall, CallReply)>,
    written_at: Option<Moment>,
    unreachable: IndexSet<Holder>,
    /// Until when each holder may use a range that it was granted.
    leases: IndexMap<(u16, u16, Holder), Moment>,
    /// Whether a holder may be granted keys that it does not have without a token.
    allows_cold_grants: bool,
    /// Greatest number of keys that nobody served at a time.
    most_unserved: u32,
}

impl Surroundings {
    fn new(range_count: u16, upstream_count: u16, call_us: u64) -> Self {
        let holders = holders(upstream_count);
        let is_evacuated = |index: &usize| index.is_multiple_of(4);
        let evacuated = (0..holders.len()).filter(is_evacuated);
        let mut ledger = GrantLedger::new(GrantTiming::default(), 1);
        let map = held_map(range_count, &holders);
        let clean = PreviousTerm {
            is_clean: true,
            grants_valid_for: Some(Duration::from_secs(3)),
        };
        ledger.adopt(START, map, clean);
        let mut loads = KeyLoads::default();
        let random = &mut fastrand::Rng::with_seed(7);
        // Half of what all upstreams can do: without a quarter of them, two thirds of
        // what the others can do.
        let requests = u32::from(upstream_count) * 5;
        for _ in 0..requests {
            loads.record(random.u16(..), 2.0 / std::f32::consts::LN_2);
        }
        loads.decay(Duration::from_micros(1), Duration::from_secs(2));
        Self {
            ledger,
            now: START,
            candidates: holders
                .iter()
                .map(|holder| OwnerCandidate {
                    max_rate: Some(MAX_RATE),
                    ..OwnerCandidate::new(holder.upstream.as_str(), 1, 4.0)
                })
                .collect(),
            evacuated: evacuated.map(|index| holders[index].clone()).collect(),
            loads,
            call_time: Duration::from_micros(call_us),
            queue: VecDeque::new(),
            busy_until: START,
            replies: Vec::new(),
            written_at: None,
            unreachable: IndexSet::new(),
            leases: IndexMap::new(),
            allows_cold_grants: true,
            most_unserved: 0,
        }
    }

    /// Orders the evacuation now, or withdraws the order.
    fn order(&mut self, is_ordered: bool) {
        for candidate in &mut self.candidates {
            let is_evacuated = is_ordered && self.evacuated.contains(&candidate.holder);
            candidate.gives_up_by = is_evacuated.then_some(self.now + MOVES_END);
            candidate.accepts_keys = !is_evacuated;
        }
    }

    /// Replaces the leader by one that knows only the row, and `previous` of it.
    fn replace_leader(&mut self, previous: PreviousTerm) {
        let map = self.ledger.map().clone();
        self.ledger = GrantLedger::new(GrantTiming::default(), 2);
        self.ledger.adopt(self.now, map, previous);
        self.queue.clear();
        self.replies.clear();
        self.written_at = None;
    }

    fn answer(&mut self, call: &GrantCall) -> (Duration, CallReply) {
        let timeout = GrantTiming::default().call_timeout;
        if self.unreachable.contains(&call.holder) {
            return (timeout, CallReply::Unreachable);
        }
        let key = (call.first, call.last, call.holder.clone());
        match &call.kind {
            CallKind::Grant { duration, handover } => {
                let mut is_renewal = false;
                for ((first, last, holder), until) in &self.leases {
                    let is_shared = *first <= call.last && call.first <= *last;
                    is_renewal |= is_shared && *holder == call.holder;
                    let is_other = *holder != call.holder && *until > self.now;
                    assert!(
                        !(is_shared && is_other),
                        "two holders of key {}",
                        call.first
                    );
                }
                let is_warm = is_renewal || handover.is_some() || self.allows_cold_grants;
                assert!(is_warm, "no handover for key {}", call.first);
                self.leases.insert(key, self.now + *duration);
                (ROUND_TRIP, CallReply::Granted)
            }
            CallKind::Release => {
                let is_part = |(first, last, holder): &(u16, u16, Holder)| {
                    *holder == call.holder && *first <= call.last && call.first <= *last
                };
                self.leases.retain(|lease, _| !is_part(lease));
                (RELEASE_TIME, CallReply::Released(Some("token".to_owned())))
            }
            CallKind::Probe => (ROUND_TRIP, CallReply::Reached),
        }
    }

    fn step(&mut self) {
        self.now = self.now + STEP;
        while self.busy_until <= self.now {
            let Some(call) = self.queue.pop_front() else {
                self.busy_until = self.now;
                break;
            };
            self.busy_until = self.busy_until + self.call_time;
            let (delay, reply) = if self.busy_until > call.send_deadline {
                (Duration::ZERO, CallReply::Unsent)
            } else {
                self.answer(&call)
            };
            self.replies.push((self.busy_until + delay, call, reply));
        }
        for (at, call, reply) in std::mem::take(&mut self.replies) {
            if at <= self.now {
                self.ledger.record_reply(self.now, &call, reply);
            } else {
                self.replies.push((at, call, reply));
            }
        }
        if self.written_at.is_some_and(|at| at <= self.now) {
            self.written_at = None;
            self.ledger.record_commit(self.now, true);
        }
        let step = self.ledger.step(self.now, &self.candidates, &self.loads);
        if step.commit.is_some() {
            self.written_at = Some(self.now + WRITE_TIME);
        }
        self.queue.extend(step.calls);
        let ranges = self.ledger.map().ranges.iter();
        let unserved = ranges.filter(|range| !range.is_granted).map(key_count);
        self.most_unserved = self.most_unserved.max(unserved.sum());
    }

    fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.step();
        }
    }

    /// Returns the number of ranges that evacuated holders own, and of those that are
    /// served by nobody.
    fn counts(&self) -> (usize, usize) {
        let ranges = self.ledger.map().ranges.iter();
        let is_owned = |range: &&OwnedRange| {
            let owner = range.owner.as_ref();
            owner.is_some_and(|owner| self.evacuated.contains(owner))
        };
        let unserved = ranges.clone().filter(|range| !range.is_granted).count();
        (ranges.filter(is_owned).count(), unserved)
    }
}

/// Guards against keys that are taken all at once or cold, receivers that are given more
/// than they can do, and moves that end late, with hundreds of ranges.
#[rstest]
#[case::strong_leader(744, 372, 300)]
#[case::leader_of_half_a_core(480, 320, 800)]
#[case::small_service(24, 8, 2_000)]
fn step_evacuation_moves_all_ranges_warm_in_time(
    #[case] ranges: u16,
    #[case] upstreams: u16,
    #[case] call_us: u64,
) {
    let mut run = Surroundings::new(ranges, upstreams, call_us);
    run.run(Duration::from_secs(2));
    let (to_move, _) = run.counts();
    run.most_unserved = 0;
    run.allows_cold_grants = false;
    run.order(true);
    run.run(Duration::from_millis(200));
    let (after_begin, _) = run.counts();
    let max_moving = (to_move / 3).max(4);
    assert!(
        to_move <= after_begin + max_moving,
        "{after_begin} of {to_move} left at once"
    );
    run.run(MOVES_END.saturating_sub(Duration::from_millis(200)));
    assert_eq!(run.counts(), (0, 0), "of {to_move}");
    // A quarter of all keys are to be moved, a third of these at a time.
    let max_unserved = 65_536 * max_moving as u32 / (4 * to_move as u32);
    assert!(
        run.most_unserved <= max_unserved,
        "{} of {max_unserved} keys",
        run.most_unserved
    );
    let mut rates: IndexMap<&Holder, f64> = IndexMap::new();
    let total_rate = run.loads.rate().expect("known");
    for range in &run.ledger.map().ranges {
        let owner = range.owner.as_ref().expect("owned");
        *rates.entry(owner).or_default() += run.loads.share(range.first, range.last) * total_rate;
    }
    let greatest = rates.values().copied().fold(0.0, f64::max);
    assert!(
        greatest <= MAX_RATE,
        "{greatest:.1} requests a second at one"
    );
}

/// Guards against a release that is awaited from holders that cannot be reached, and
/// against a second holder before their grants have lapsed.
#[test]
fn step_evacuation_of_unreachable_domain_waits_until_grants_lapse() {
    let mut run = Surroundings::new(96, 48, 500);
    run.run(Duration::from_secs(2));
    run.unreachable = run.evacuated.clone();
    run.order(true);
    run.run(Duration::from_millis(4_800));
    assert_eq!(run.counts(), (0, 0));
}

/// Guards against moves that go on after a withdrawal or stop halfway.
#[test]
fn step_withdrawal_halfway_finishes_the_moves_in_progress() {
    let mut run = Surroundings::new(192, 96, 500);
    run.run(Duration::from_secs(2));
    let (to_move, _) = run.counts();
    run.order(true);
    run.run(Duration::from_secs(1));
    let (remaining, moving) = run.counts();
    assert!(0 < remaining && remaining < to_move && moving > 0);
    run.order(false);
    run.run(Duration::from_millis(600));
    let (kept, _) = run.counts();
    assert!(kept >= remaining, "{kept} of {remaining} kept");
    run.run(Duration::from_secs(6));
    let (returned, unserved) = run.counts();
    assert!(returned >= kept && unserved <= 6, "{returned} {unserved}");
}

/// Guards against busy ranges that are left for the end, when the receivers have the rest.
#[test]
fn step_evacuation_begins_with_the_busiest_ranges() {
    let mut run = Surroundings::new(192, 96, 500);
    run.run(Duration::from_secs(2));
    run.order(true);
    run.run(Duration::from_millis(100));
    let share = |range: &OwnedRange| run.loads.share(range.first, range.last);
    let mut least_moving: IndexMap<u64, f64> = IndexMap::new();
    let mut greatest_left: f64 = 0.0;
    for range in &run.ledger.map().ranges {
        let owner = range.owner.as_ref().expect("owned");
        if run.evacuated.contains(owner) {
            greatest_left = greatest_left.max(share(range));
        } else if let Some((_, epoch)) = range.previous_holders.last() {
            // The parts of a range that was split have the same earlier epoch.
            *least_moving.entry(*epoch).or_default() += share(range);
        }
    }
    let least_moving = least_moving.values().copied().fold(1.0, f64::min);
    assert!(greatest_left > 0.0 && least_moving < 1.0);
    assert!(
        least_moving >= greatest_left,
        "{least_moving} {greatest_left}"
    );
}

/// Guards against a second domain whose ranges are moved all at once, as the time of the
/// first one is over.
#[test]
fn step_second_evacuation_has_its_own_pace() {
    let mut run = Surroundings::new(192, 96, 500);
    run.run(Duration::from_secs(2));
    run.order(true);
    run.run(MOVES_END * 2);
    assert_eq!(run.counts(), (0, 0));
    let end = run.now + MOVES_END;
    let others = run.candidates.iter_mut().filter(|c| c.accepts_keys);
    for candidate in others.take(24) {
        candidate.gives_up_by = Some(end);
        candidate.accepts_keys = false;
        run.evacuated.insert(candidate.holder.clone());
    }
    let (to_move, _) = run.counts();
    run.run(Duration::from_millis(200));
    let (after_begin, _) = run.counts();
    assert!(after_begin > to_move / 2, "{after_begin} of {to_move}");
    run.run(MOVES_END);
    assert_eq!(run.counts(), (0, 0));
}

/// Guards against a new leader that takes all ranges at once or stops moving them.
#[test]
fn step_change_of_leader_halfway_continues_the_moves() {
    let mut run = Surroundings::new(192, 96, 500);
    run.run(Duration::from_secs(2));
    run.order(true);
    run.run(Duration::from_millis(800));
    let (remaining, _) = run.counts();
    run.replace_leader(PreviousTerm {
        is_clean: true,
        grants_valid_for: Some(Duration::from_secs(3)),
    });
    run.run(Duration::from_millis(200));
    let (after_change, _) = run.counts();
    assert!(remaining > 0 && after_change > remaining / 2);
    run.run(MOVES_END.saturating_sub(Duration::from_secs(1)));
    assert_eq!(run.counts(), (0, 0));
}

/// Guards against a new leader that does not know which grants are in force, and releases
/// keys that it may not grant elsewhere for seconds while their holders could serve them.
#[test]
fn step_leader_killed_at_the_order_keeps_keys_served_until_the_end() {
    let mut run = Surroundings::new(192, 96, 500);
    run.run(Duration::from_secs(2));
    let (to_move, _) = run.counts();
    run.order(true);
    run.replace_leader(PreviousTerm::default());
    run.run(MOVES_END.saturating_sub(Duration::from_millis(100)));
    assert_eq!(run.counts(), (to_move, 0));
    run.run(Duration::from_secs(6));
    assert_eq!(run.counts(), (0, 0));
}

/// Guards against keys that are given to an evacuated upstream for want of another, and
/// against grants there that lapse before an order is withdrawn.
#[test]
fn step_evacuation_without_receivers_keeps_the_grants() {
    let mut run = Surroundings::new(24, 8, 500);
    run.evacuated = run.candidates.iter().map(|c| c.holder.clone()).collect();
    run.run(Duration::from_secs(2));
    let before = run.ledger.map().clone();
    run.order(true);
    run.run(Duration::from_secs(6));
    assert_eq!(*run.ledger.map(), before);
    let is_held = run.leases.values().all(|until| *until > run.now);
    assert!(is_held, "a grant was not renewed");
}
