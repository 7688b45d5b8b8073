//! Recorded traces: what happened, and what is to be seen of it.

use crate::{World, WorldSetup, WorldStep};
use serde::Deserialize;
use std::fmt;

/// One line of a trace.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
enum TraceLine {
    /// What the world starts with; the first line.
    World(WorldSetup),
    /// Something happens.
    Do { at_ms: u64, step: WorldStep },
    /// Something is to be seen.
    Expect { at_ms: u64, outcome: Outcome },
}

/// Something to be seen of a world.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Outcome {
    /// So many shards have no owner.
    Unowned(usize),
    /// No shard was without an owner for longer, in milliseconds, since this
    /// was last asked.
    LongestUnownedMs(u64),
    /// So many shards have changed owners since this was last asked.
    Moves(u64),
    /// No more shards than so many have changed owners since this was last asked.
    MovesAtMost(u64),
    /// So many upstreams take new work.
    LiveUpstreams(usize),
    /// The greatest load of an upstream is at most so many percent of the mean.
    ImbalancePercent(u64),
    /// No more transactions than so many have taken effect.
    CommitsAtMost(u64),
    /// So many violations have been found.
    Violations(usize),
}

/// A trace that can't be played or whose outcome differs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TraceError {
    /// The line, counted from 1.
    pub line: usize,
    /// What is wrong.
    pub message: String,
}

impl fmt::Display for TraceError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: {}", self.line, self.message)
    }
}

impl std::error::Error for TraceError {}

/// Plays a trace of JSON lines; returns how many outcomes were checked.
///
/// Empty lines and lines that start with `#` are skipped.
///
/// # Errors
///
/// Fails at the first line that is malformed, out of order, or whose stated
/// outcome differs from what is seen.
pub fn run_trace(text: &str) -> Result<usize, TraceError> {
    let mut world: Option<World> = None;
    let mut epochs = 0;
    let mut checked = 0;
    for (index, line) in text.lines().enumerate() {
        let fail = |message: String| TraceError {
            line: index + 1,
            message,
        };
        let line = line.trim();
        if line.is_empty() || line.starts_with('#') {
            continue;
        }
        let parsed = serde_json::from_str(line).map_err(|error| fail(error.to_string()))?;
        match (parsed, &mut world) {
            (TraceLine::World(setup), None) => {
                check_setup(&setup).map_err(fail)?;
                world = Some(World::new(&setup));
            }
            (TraceLine::World(_), Some(_)) => return Err(fail("a second world".to_owned())),
            (TraceLine::Do { at_ms, step }, Some(world)) => {
                advance(world, at_ms).map_err(fail)?;
                world.apply(step);
            }
            (TraceLine::Expect { at_ms, outcome }, Some(world)) => {
                advance(world, at_ms).map_err(fail)?;
                check_outcome(world, outcome, &mut epochs).map_err(fail)?;
                checked += 1;
            }
            (_, None) => return Err(fail("the first line must be a world".to_owned())),
        }
    }
    if checked == 0 {
        return Err(TraceError {
            line: text.lines().count(),
            message: "no outcome is stated".to_owned(),
        });
    }
    Ok(checked)
}

fn check_setup(setup: &WorldSetup) -> Result<(), String> {
    let counts = [setup.hosts, setup.upstreams, setup.domains, setup.shards];
    if counts.iter().any(|count| !(1..=64).contains(count)) {
        return Err("hosts, upstreams, domains, shards: expected 1 to 64".to_owned());
    }
    if setup.loss_percent > 90 || setup.delay_ms > 10_000 || setup.drift_ppm.abs() > 100_000 {
        return Err("loss_percent, delay_ms or drift_ppm out of range".to_owned());
    }
    Ok(())
}

fn advance(world: &mut World, at_ms: u64) -> Result<(), String> {
    const LONGEST_MS: u64 = 3_600_000;
    if at_ms < world.now_ms() {
        return Err(format!("at_ms {at_ms} is earlier than the line before"));
    }
    if at_ms > LONGEST_MS {
        return Err(format!("at_ms: expected at most {LONGEST_MS}"));
    }
    world.run_until_ms(at_ms);
    Ok(())
}

fn check_outcome(world: &mut World, outcome: Outcome, epochs: &mut u64) -> Result<(), String> {
    let seen = match outcome {
        Outcome::Unowned(_) => Outcome::Unowned(world.unowned_shards()),
        Outcome::LongestUnownedMs(most) => {
            let longest = world.longest_unowned().as_millis() as u64;
            world.watch_ownership();
            Outcome::LongestUnownedMs(if longest <= most { most } else { longest })
        }
        Outcome::Moves(_) => {
            let sum = world.epoch_sum();
            let moves = sum - std::mem::replace(epochs, sum);
            Outcome::Moves(moves)
        }
        Outcome::MovesAtMost(most) => {
            let sum = world.epoch_sum();
            let moves = sum - std::mem::replace(epochs, sum);
            Outcome::MovesAtMost(moves.max(most))
        }
        Outcome::LiveUpstreams(_) => Outcome::LiveUpstreams(world.live_upstreams()),
        Outcome::ImbalancePercent(most) => {
            Outcome::ImbalancePercent(world.imbalance_percent().max(most))
        }
        Outcome::CommitsAtMost(most) => Outcome::CommitsAtMost(world.commits().max(most)),
        Outcome::Violations(_) => Outcome::Violations(world.violations().len()),
    };
    if seen == outcome {
        return Ok(());
    }
    Err(format!(
        "expected {outcome:?}, saw {seen:?} {:?}",
        world.violations()
    ))
}
