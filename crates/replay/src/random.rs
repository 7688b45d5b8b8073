//! Seeded runs: random faults, then recovery.

use crate::{World, WorldSetup, WorldStep};
use std::time::Duration;

const WARM_UP_MS: u64 = 4_000;
/// Time after all faults are taken back within which every shard must be owned.
const RECOVERY_MS: u64 = 16_000;

/// What a seeded run found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RandomReport {
    /// The seed.
    pub seed: u64,
    /// Faults injected.
    pub steps: u32,
    /// Violations, which must not occur.
    pub violations: Vec<String>,
    /// Shards without an owner after recovery, which must be none.
    pub unowned: usize,
    /// Transactions that took effect.
    pub commits: u64,
    /// Longest time for which a shard had no owner.
    pub longest_unowned: Duration,
}

/// Runs `steps` random faults from `seed`, heals, and reports.
pub fn run_seeded(setup: &WorldSetup, seed: u64, steps: u32) -> RandomReport {
    let world = play(setup, seed, steps);
    RandomReport {
        seed,
        steps,
        violations: world.violations().to_vec(),
        unowned: world.unowned_shards(),
        commits: world.commits(),
        longest_unowned: world.longest_unowned(),
    }
}

/// Describes the state that a seeded run ends in.
pub fn describe_seeded(setup: &WorldSetup, seed: u64, steps: u32) -> String {
    play(setup, seed, steps).describe()
}

fn play(setup: &WorldSetup, seed: u64, steps: u32) -> World {
    let setup = WorldSetup {
        seed,
        ..setup.clone()
    };
    let mut rng = fastrand::Rng::with_seed(seed ^ 0x5eed);
    let mut world = World::new(&setup);
    world.run_until_ms(WARM_UP_MS);
    world.watch_ownership();
    let mut at = WARM_UP_MS;
    for _ in 0..steps {
        world.apply(random_step(&mut rng, &setup));
        if rng.u8(0..100) < 25 {
            // Faults come together as well as alone.
            continue;
        }
        at += rng.u64(20..900);
        world.run_until_ms(at);
        if !world.violations().is_empty() {
            break;
        }
    }
    heal(&mut world, &setup);
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

fn heal(world: &mut World, setup: &WorldSetup) {
    // Recovery is demanded of a sound network; safety was checked under losses.
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
