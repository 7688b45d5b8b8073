//! At most one upstream holds a key, whatever happens to calls, writes and leaders.

mod world;

use grant::{
    CallKind, CallReply, GrantCall, GrantLedger, GrantTiming, Holder, KeyLoads, OwnedRange,
    OwnerCandidate, OwnerMap, PreviousTerm,
};
use kernel::Moment;
use rstest::rstest;
use std::time::Duration;
use world::{STEP, Trouble, World};

fn run(world: &mut World, span: Duration) {
    let steps = span.as_millis() / STEP.as_millis();
    for _ in 0..steps {
        world.step();
    }
}

#[test]
fn step_calm_day_serves_all_keys() {
    let mut world = World::new(1, Trouble::CALM);
    run(&mut world, Duration::from_secs(2));
    assert!((world.served_share() - 1.0).abs() < f64::EPSILON);
    run(&mut world, Duration::from_secs(20));
    assert!((world.served_share() - 1.0).abs() < f64::EPSILON);
}

#[test]
fn step_cut_upstream_is_replaced_once_its_lease_has_lapsed() {
    let mut world = World::new(2, Trouble::CALM);
    run(&mut world, Duration::from_secs(3));
    world.cut(0, Duration::from_mins(1));
    run(&mut world, Duration::from_secs(7));
    assert!((world.served_share() - 1.0).abs() < f64::EPSILON);
}

#[test]
fn step_leader_lost_in_mid_move_frees_both_possible_holders() {
    for seed in 0..200 {
        let mut world = World::new(seed, Trouble::CALM);
        run(&mut world, Duration::from_secs(3));
        world.drain(0);
        // The new owner has been granted the keys, and that is not written yet.
        run(&mut world, Duration::from_millis(20 * (1 + seed % 25)));
        world.replace_leader();
        for index in 1..4 {
            world.drain(index);
        }
        run(&mut world, Duration::from_secs(8));
        assert!(
            (world.served_share() - 1.0).abs() < f64::EPSILON,
            "seed {seed}"
        );
    }
}

#[rstest]
#[case::first(0)]
#[case::second(1_000)]
#[case::third(2_000)]
#[case::fourth(3_000)]
fn step_rough_days_have_one_holder(#[case] first_seed: u64) {
    let (mut granted, mut moves, mut leaders) = (0, 0, 0);
    for seed in first_seed..first_seed + 60 {
        let mut world = World::new(seed, Trouble::ROUGH);
        run(&mut world, Duration::from_mins(1));
        granted += world.granted;
        moves += world.moves;
        leaders += world.leaders;
    }
    assert!(
        granted > 10_000 && moves > 500 && leaders > 60,
        "{granted} {moves} {leaders}"
    );
}

/// Lets a leader that takes the lease at `now` move all keys from one upstream to
/// another; returns its ledger and the call that asks for their release.
fn ask_for_release(now: Moment, term: u64) -> (GrantLedger, GrantCall) {
    let mut ledger = GrantLedger::new(GrantTiming::default(), term);
    let range = OwnedRange {
        first: 0,
        last: u16::MAX,
        owner: Some(Holder {
            upstream: "i-1".into(),
            run: 1,
        }),
        epoch: 5,
        is_granted: true,
        previous_holders: Vec::new(),
    };
    let ranges = vec![range];
    let last = PreviousTerm {
        is_clean: true,
        grants_valid_for: None,
    };
    ledger.adopt(now, OwnerMap { ranges }, last);
    let candidates = [OwnerCandidate::new("i-2", 1, 4.0)];
    let planned = ledger.step(now, &candidates, &KeyLoads::default());
    assert!(planned.commit.is_some());
    for renewal in &planned.calls {
        ledger.record_reply(now, renewal, CallReply::Granted);
    }
    ledger.record_commit(now, true);
    let mut step = ledger.step(now, &candidates, &KeyLoads::default());
    let call = step.calls.pop().expect("the keys have to be released");
    assert_eq!(call.kind, CallKind::Release);
    (ledger, call)
}

#[test]
fn note_reply_to_a_call_of_an_earlier_term_is_ignored() {
    let now = Moment::from_millis(1_000);
    let (_, earlier_call) = ask_for_release(now, 1);
    let later = now + Duration::from_millis(700);
    let (mut ledger, call) = ask_for_release(later, 2);
    assert_eq!(earlier_call.id, call.id);
    ledger.record_reply(later, &earlier_call, CallReply::Released(None));
    let candidates = [OwnerCandidate::new("i-2", 1, 4.0)];
    let step = ledger.step(later, &candidates, &KeyLoads::default());
    assert_eq!(step.calls, []);
    ledger.record_reply(later, &call, CallReply::Released(None));
    let step = ledger.step(later, &candidates, &KeyLoads::default());
    assert_eq!(step.calls.len(), 1);
}

#[test]
fn note_ended_frees_keys_without_waiting_for_the_lease() {
    let now = Moment::from_millis(1_000);
    let (mut ledger, release) = ask_for_release(now, 1);
    // Another service's upstream answers at the address, and knows no such call.
    ledger.record_reply(now, &release, CallReply::Rejected(404));
    let candidates = [OwnerCandidate::new("i-2", 1, 4.0)];
    let later = now + Duration::from_millis(200);
    ledger.record_ended(|holder| holder.upstream.as_str() == "i-1");
    let step = ledger.step(later, &candidates, &KeyLoads::default());
    let granted = step.calls.iter().map(|call| call.holder.upstream.as_str());
    assert_eq!(granted.collect::<Vec<_>>(), ["i-2"]);
}

#[test]
fn step_calls_on_a_full_link_have_one_holder() {
    let trouble = Trouble {
        delivery_ms: 490,
        clock_percent: 102,
        ..Trouble::ROUGH
    };
    for seed in 0..120 {
        run(&mut World::new(seed, trouble), Duration::from_mins(1));
    }
}

#[test]
#[should_panic(expected = "has holders")]
fn step_clock_slower_than_promised_is_found() {
    let trouble = Trouble {
        clock_percent: 140,
        ..Trouble::ROUGH
    };
    for seed in 0..60 {
        run(&mut World::new(seed, trouble), Duration::from_mins(1));
    }
}
