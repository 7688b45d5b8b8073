//! Seeded runs with random faults, followed by recovery.

use crate::{World, WorldSetup, WorldStep};
use std::time::Duration;

const WARM_UP_MS: u64 = 4_000;
/// Time after the faults are reverted until every shard must have an owner.
const RECOVERY_MS: u64 = 16_000;

/// Result of a seeded run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RandomReport {
    /// The seed.
    pub seed: u64,
    /// Number of random steps requested.
    pub steps: u32,
    /// Violations of invariants; expected to be empty.
    pub violations: Vec<String>,
    /// Number of shards without an owner after recovery; expected to be 0.
    pub unowned: usize,
    /// Number of transactions that took effect.
    pub commits: u64,
    /// Maximum time for which a shard had no owner.
    pub max_unowned_time: Duration,
}

/// Applies `steps` random steps chosen by `seed`, reverts the faults and reports.
pub fn run_seeded(setup: &WorldSetup, seed: u64, steps: u32) -> RandomReport {
    let world = run_world(setup, seed, steps);
    RandomReport {
        seed,
        steps,
        violations: world.violations().to_vec(),
        unowned: world.unowned_shards(),
        commits: world.commits(),
        max_unowned_time: world.max_unowned_time(),
    }
}

/// Describes the final state of a seeded run.
pub fn describe_seeded(setup: &WorldSetup, seed: u64, steps: u32) -> String {
    run_world(setup, seed, steps).describe()
}

fn run_world(setup: &WorldSetup, seed: u64, steps: u32) -> World {
    let setup = WorldSetup {
        seed,
        ..setup.clone()
    };
    let mut rng = fastrand::Rng::with_seed(seed ^ 0x5eed);
    let mut world = World::new(&setup);
    world.run_until_ms(WARM_UP_MS);
    world.reset_unowned_time();
    let mut at = WARM_UP_MS;
    for _ in 0..steps {
        world.apply(random_step(&mut rng, &setup));
        if rng.u8(0..100) < 25 {
            // Some faults occur at the same time as the next one.
            continue;
        }
        at += rng.u64(20..900);
        world.run_until_ms(at);
        if !world.violations().is_empty() {
            break;
        }
    }
    revert_faults(&mut world, &setup);
    world.run_until_ms(at + RECOVERY_MS);
    world
}

fn random_step(rng: &mut fastrand::Rng, setup: &WorldSetup) -> WorldStep {
    let host = rng.u32(..setup.hosts);
    let other = (host + 1 + rng.u32(..setup.hosts.max(2) - 1)) % setup.hosts;
    let upstream = rng.u32(..setup.upstreams);
    match rng.u32(..24) {
        0 => WorldStep::CrashHost(host),
        1 | 2 => WorldStep::StartHost(host),
        3 => WorldStep::PauseHost(host),
        4 | 5 => WorldStep::ResumeHost(host),
        6 => WorldStep::CrashUpstream(upstream),
        7 | 8 => WorldStep::StartUpstream(upstream),
        9 => WorldStep::FreezeUpstream(upstream),
        10 | 11 => WorldStep::ThawUpstream(upstream),
        12 => WorldStep::CutHosts(host, other),
        13 => WorldStep::CutUpstream(host, upstream),
        14 => WorldStep::CutTable(host),
        15 => WorldStep::HealCuts,
        16 => WorldStep::TableDown,
        17 => WorldStep::TableUp,
        18 | 19 => WorldStep::CutSides(rng.u32(..)),
        20 => WorldStep::LeaveUpstream(upstream),
        21 | 22 => WorldStep::ReturnUpstream(upstream),
        _ => WorldStep::LoseAnswers(rng.bool()),
    }
}

fn revert_faults(world: &mut World, setup: &WorldSetup) {
    // Recovery is required only on a network without losses; safety was checked
    // with losses.
    world.setup.loss_percent = 0;
    world.apply(WorldStep::HealCuts);
    world.apply(WorldStep::TableUp);
    world.apply(WorldStep::LoseAnswers(false));
    for host in 0..setup.hosts {
        world.apply(WorldStep::ResumeHost(host));
        world.apply(WorldStep::StartHost(host));
    }
    for upstream in 0..setup.upstreams {
        world.apply(WorldStep::ReturnUpstream(upstream));
        world.apply(WorldStep::ThawUpstream(upstream));
        if !world.upstreams[upstream as usize].is_alive {
            world.apply(WorldStep::StartUpstream(upstream));
        }
    }
}
