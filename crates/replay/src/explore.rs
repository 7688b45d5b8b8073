//! Breadth-first exploration of all fault schedules up to a depth.

use crate::{World, WorldSetup, WorldStep};
use pathfinding::directed::bfs::bfs_reach;
use std::hash::{Hash, Hasher};
use xxhash_rust::xxh3::Xxh3;

/// Setup of an exploration.
#[derive(Clone, Debug)]
pub struct ExploreSetup {
    /// Setup of the world.
    pub world: WorldSetup,
    /// Steps that are applied together before the first choice.
    pub initial_steps: Vec<WorldStep>,
    /// Steps to choose from at each point; applying none is always a choice as well.
    pub choices: Vec<WorldStep>,
    /// Number of points at which a step is chosen.
    pub depth: u32,
    /// Virtual time between points, in milliseconds.
    pub interval_ms: u64,
}

/// Result of an exploration.
#[derive(Clone, Debug, PartialEq)]
pub struct ExploreReport {
    /// Number of distinct states reached.
    pub states: usize,
    /// The first schedule that violates an invariant, and the violation.
    pub violation: Option<(Vec<WorldStep>, String)>,
}

/// A world reached by a schedule, compared by depth and fingerprint of its state.
#[derive(Clone, Debug)]
struct ReachedState {
    world: World,
    schedule: Vec<WorldStep>,
    depth: u32,
    fingerprint: u64,
}

impl PartialEq for ReachedState {
    fn eq(&self, other: &Self) -> bool {
        self.depth == other.depth && self.fingerprint == other.fingerprint
    }
}

impl Eq for ReachedState {}

impl Hash for ReachedState {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.depth.hash(state);
        self.fingerprint.hash(state);
    }
}

impl ReachedState {
    fn new(world: World, schedule: Vec<WorldStep>, depth: u32) -> Self {
        let fingerprint = state_fingerprint(&world);
        Self {
            world,
            schedule,
            depth,
            fingerprint,
        }
    }

    fn successors(&self, setup: &ExploreSetup) -> Vec<Self> {
        if self.depth >= setup.depth || !self.world.violations().is_empty() {
            return Vec::new();
        }
        let mut successors = Vec::new();
        for choice in std::iter::once(None).chain(setup.choices.iter().map(Some)) {
            let mut world = self.world.clone();
            let mut schedule = self.schedule.clone();
            if let Some(step) = choice {
                world.apply(*step);
                schedule.push(*step);
            }
            let until = world.now_ms() + setup.interval_ms;
            world.run_until_ms(until);
            successors.push(Self::new(world, schedule, self.depth + 1));
        }
        successors
    }
}

/// Explores every schedule and stops at the first that violates an invariant.
pub fn explore(setup: &ExploreSetup) -> ExploreReport {
    const WARM_UP_MS: u64 = 4_000;
    let mut world = World::new(&setup.world);
    world.run_until_ms(WARM_UP_MS);
    for step in &setup.initial_steps {
        world.apply(*step);
    }
    let initial = ReachedState::new(world, Vec::new(), 0);
    let mut states = 0;
    for reached in bfs_reach(initial, |reached| reached.successors(setup)) {
        states += 1;
        if let Some(violation) = reached.world.violations().first() {
            return ExploreReport {
                states,
                violation: Some((reached.schedule, violation.clone())),
            };
        }
    }
    ExploreReport {
        states,
        violation: None,
    }
}

fn state_fingerprint(world: &World) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.update(format!("{:?}", world.state_view()).as_bytes());
    hasher.digest()
}
