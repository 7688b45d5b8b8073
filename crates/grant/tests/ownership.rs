//! At most one upstream holds a key, whatever happens to calls, writes and leaders.

mod simulation;

use grant::{
    CallKind, CallReply, GrantCall, GrantLedger, GrantTiming, Holder, KeyLoads, OwnedRange,
    OwnerCandidate, OwnerMap, PreviousTerm,
};
use kernel::Moment;
use rstest::rstest;
use simulation::{Faults, STEP, Simulation};
use std::time::Duration;

fn run_for(simulation: &mut Simulation, duration: Duration) {
    let steps = duration.as_millis() / STEP.as_millis();
    for _ in 0..steps {
        simulation.step();
    }
}

#[test]
fn step_without_faults_serves_all_keys() {
    let mut simulation = Simulation::new(1, Faults::NONE);
    run_for(&mut simulation, Duration::from_secs(2));
    assert!((simulation.served_share() - 1.0).abs() < f64::EPSILON);
    run_for(&mut simulation, Duration::from_secs(20));
    assert!((simulation.served_share() - 1.0).abs() < f64::EPSILON);
}

#[test]
fn step_unreachable_upstream_is_replaced_after_its_lease_lapses() {
    let mut simulation = Simulation::new(2, Faults::NONE);
    run_for(&mut simulation, Duration::from_secs(3));
    simulation.disconnect(0, Duration::from_mins(1));
    run_for(&mut simulation, Duration::from_secs(7));
    assert!((simulation.served_share() - 1.0).abs() < f64::EPSILON);
}

#[test]
fn step_leader_lost_during_a_move_releases_both_possible_holders() {
    for seed in 0..200 {
        let mut simulation = Simulation::new(seed, Faults::NONE);
        run_for(&mut simulation, Duration::from_secs(3));
        simulation.drain(0);
        // The new owner has accepted the grant, but the row does not record this yet.
        run_for(&mut simulation, Duration::from_millis(20 * (1 + seed % 25)));
        simulation.replace_leader();
        for index in 1..4 {
            simulation.drain(index);
        }
        run_for(&mut simulation, Duration::from_secs(8));
        assert!(
            (simulation.served_share() - 1.0).abs() < f64::EPSILON,
            "seed {seed}"
        );
    }
}

#[rstest]
#[case::first(0)]
#[case::second(1_000)]
#[case::third(2_000)]
#[case::fourth(3_000)]
fn step_under_faults_has_one_holder_per_key(#[case] first_seed: u64) {
    let (mut grants, mut moves, mut leaders) = (0, 0, 0);
    for seed in first_seed..first_seed + 60 {
        let mut simulation = Simulation::new(seed, Faults::MANY);
        run_for(&mut simulation, Duration::from_mins(1));
        grants += simulation.grant_count;
        moves += simulation.move_count;
        leaders += simulation.leader_count;
    }
    assert!(
        grants > 10_000 && moves > 500 && leaders > 60,
        "{grants} {moves} {leaders}"
    );
}

/// Creates a leader that acquires the lease at `now` and moves all keys from one
/// upstream to another; returns its ledger and its release call.
fn start_release(now: Moment, term: u64) -> (GrantLedger, GrantCall) {
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
    let previous = PreviousTerm {
        is_clean: true,
        grants_valid_for: None,
    };
    ledger.adopt(now, OwnerMap { ranges }, previous);
    let candidates = [OwnerCandidate::new("i-2", 1, 4.0)];
    let planned = ledger.step(now, &candidates, &KeyLoads::default());
    assert!(planned.commit.is_some());
    for renewal in &planned.calls {
        ledger.record_reply(now, renewal, CallReply::Granted);
    }
    ledger.record_commit(now, true);
    let mut step = ledger.step(now, &candidates, &KeyLoads::default());
    let call = step.calls.pop().expect("no release call");
    assert_eq!(call.kind, CallKind::Release);
    (ledger, call)
}

#[test]
fn record_reply_to_a_call_of_a_previous_term_is_ignored() {
    let now = Moment::from_millis(1_000);
    let (_, previous_call) = start_release(now, 1);
    let later = now + Duration::from_millis(700);
    let (mut ledger, call) = start_release(later, 2);
    assert_eq!(previous_call.id, call.id);
    ledger.record_reply(later, &previous_call, CallReply::Released(None));
    let candidates = [OwnerCandidate::new("i-2", 1, 4.0)];
    let step = ledger.step(later, &candidates, &KeyLoads::default());
    assert_eq!(step.calls, []);
    ledger.record_reply(later, &call, CallReply::Released(None));
    let step = ledger.step(later, &candidates, &KeyLoads::default());
    assert_eq!(step.calls.len(), 1);
}

/// Returns the upstreams to which a step of the ledger grants keys.
fn granted_upstreams(ledger: &mut GrantLedger, now: Moment) -> Vec<String> {
    let candidates = [OwnerCandidate::new("i-2", 1, 4.0)];
    let step = ledger.step(now, &candidates, &KeyLoads::default());
    let grants = step
        .calls
        .iter()
        .filter(|call| matches!(call.kind, CallKind::Grant { .. }));
    grants
        .map(|call| call.holder.upstream.to_string())
        .collect()
}

#[test]
fn record_reply_ended_moves_keys_without_waiting_for_the_lease() {
    let now = Moment::from_millis(1_000);
    let (mut ledger, release) = start_release(now, 1);
    ledger.record_reply(now, &release, CallReply::Ended);
    assert_eq!(granted_upstreams(&mut ledger, now), ["i-2"]);
}

/// An upstream that answers a release in an unknown way may hold the keys: they wait for
/// the end of its grant.
#[test]
fn record_reply_rejected_keeps_keys_until_the_lease_lapses() {
    let now = Moment::from_millis(1_000);
    let (mut ledger, release) = start_release(now, 1);
    ledger.record_reply(now, &release, CallReply::Rejected(404));
    let validity = GrantTiming::expiry_bound_after_arrival(GrantTiming::default().grant_duration);
    let before_end = now + validity.saturating_sub(Duration::from_millis(1));
    assert!(granted_upstreams(&mut ledger, before_end).is_empty());
}

#[test]
fn step_slow_delivery_has_one_holder_per_key() {
    let faults = Faults {
        delivery_ms: 490,
        clock_percent: 102,
        ..Faults::MANY
    };
    for seed in 0..120 {
        run_for(&mut Simulation::new(seed, faults), Duration::from_mins(1));
    }
}

/// Checks that the simulation detects two holders of a key.
#[test]
#[should_panic(expected = "has holders")]
fn step_clock_slower_than_the_contract_gives_two_holders() {
    let faults = Faults {
        clock_percent: 140,
        ..Faults::MANY
    };
    for seed in 0..60 {
        run_for(&mut Simulation::new(seed, faults), Duration::from_mins(1));
    }
}
