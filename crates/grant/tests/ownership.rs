//! At most one upstream holds a key, whatever happens to calls, writes and leaders.

mod world;

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
