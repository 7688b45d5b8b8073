//! Measures how long shards have no owner after a loss, over many seeds.
//!
//! `cargo run --release -p replay --example gaps -- SEEDS`

use replay::{World, WorldSetup, WorldStep};

/// Name of a loss, and the steps that cause it.
type Scenario = (&'static str, &'static [WorldStep]);

const SCENARIOS: [Scenario; 6] = [
    ("upstream lost", &[WorldStep::CrashUpstream(1)]),
    ("upstream frozen", &[WorldStep::FreezeUpstream(1)]),
    ("primary lost", &[WorldStep::CrashHost(1)]),
    ("primary paused", &[WorldStep::PauseHost(1)]),
    (
        "half of a domain's hosts and upstreams lost together",
        &[
            WorldStep::CrashHost(0),
            WorldStep::CrashHost(1),
            WorldStep::CrashUpstream(0),
            WorldStep::CrashUpstream(1),
        ],
    ),
    ("planned stop", &[WorldStep::LeaveHost(1)]),
];

fn main() {
    let seeds = std::env::args()
        .nth(1)
        .and_then(|text| text.parse().ok())
        .unwrap_or(100);
    println!(
        "{:55} {:>6} {:>6} {:>6}  moves",
        "loss", "min", "median", "max"
    );
    for (name, steps) in SCENARIOS {
        let mut gaps = Vec::new();
        let mut moves = Vec::new();
        for seed in 0..seeds {
            let setup = WorldSetup {
                hosts: 5,
                upstreams: 4,
                shards: 16,
                delay_ms: 2,
                seed,
                ..WorldSetup::default()
            };
            let mut world = World::new(&setup);
            // With each seed, the loss occurs at another time within the heartbeat
            // interval.
            world.run_until_ms(4_000 + seed * 7 % 90);
            world.reset_unowned_time();
            let initial_epoch_sum = world.epoch_sum();
            for step in steps {
                world.apply(*step);
            }
            world.run_until_ms(world.now_ms() + 2_000);
            assert_eq!(world.violations(), &[] as &[String], "seed {seed}");
            gaps.push(world.max_unowned_time().as_millis());
            moves.push(world.epoch_sum() - initial_epoch_sum);
        }
        gaps.sort_unstable();
        moves.sort_unstable();
        println!(
            "{name:55} {:6} {:6} {:6}  {} to {}",
            gaps[0],
            gaps[gaps.len() / 2],
            gaps[gaps.len() - 1],
            moves[0],
            moves[moves.len() - 1],
        );
    }
}
