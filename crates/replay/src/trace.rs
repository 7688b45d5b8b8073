//! Traces: timed steps and the outcomes expected of them, as JSON lines.

use crate::{World, WorldSetup, WorldStep};
use serde::Deserialize;
use std::fmt;

/// One line of a trace.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
enum TraceLine {
    /// Setup of the world; must be the first line.
    World(WorldSetup),
    /// Applies a step.
    Do { at_ms: u64, step: WorldStep },
    /// Checks an outcome.
    Expect { at_ms: u64, outcome: Outcome },
}

/// Expected property of a world.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Outcome {
    /// Number of shards without an owner.
    Unowned(usize),
    /// Maximum time that any shard was without an owner since the last such check,
    /// in milliseconds.
    LongestUnownedMs(u64),
    /// Number of changes of owner since the last check of moves.
    Moves(u64),
    /// Maximum number of changes of owner since the last check of moves.
    MovesAtMost(u64),
    /// Number of upstreams that accept new work.
    LiveUpstreams(usize),
    /// Maximum load of any upstream, in percent of the mean load.
    ImbalancePercent(u64),
    /// Maximum number of transactions that have taken effect.
    CommitsAtMost(u64),
    /// Number of violations found.
    Violations(usize),
}

/// Error of a trace that is malformed or has an outcome that differs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TraceError {
    /// Line number, counted from 1.
    pub line: usize,
    /// Description of the error.
    pub message: String,
}

impl fmt::Display for TraceError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: {}", self.line, self.message)
    }
}

impl std::error::Error for TraceError {}

/// Plays a trace of JSON lines and returns the number of outcomes checked.
///
/// Empty lines and lines that start with `#` are skipped.
///
/// # Errors
///
/// Fails at the first line that is malformed, out of order, or whose expected outcome
/// differs from the actual one. Fails if the trace checks no outcome.
pub fn run_trace(text: &str) -> Result<usize, TraceError> {
    let mut world: Option<World> = None;
    let mut previous_epoch_sum = 0;
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
            (TraceLine::World(_), Some(_)) => return Err(fail("more than one world".to_owned())),
            (TraceLine::Do { at_ms, step }, Some(world)) => {
                advance(world, at_ms).map_err(fail)?;
                world.apply(step);
            }
            (TraceLine::Expect { at_ms, outcome }, Some(world)) => {
                advance(world, at_ms).map_err(fail)?;
                check_outcome(world, outcome, &mut previous_epoch_sum).map_err(fail)?;
                checked += 1;
            }
            (_, None) => return Err(fail("the first line must be a world".to_owned())),
        }
    }
    if checked == 0 {
        return Err(TraceError {
            line: text.lines().count(),
            message: "the trace expects no outcome".to_owned(),
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
    const MAX_AT_MS: u64 = 3_600_000;
    if at_ms < world.now_ms() {
        return Err(format!("at_ms {at_ms} is before the previous line"));
    }
    if at_ms > MAX_AT_MS {
        return Err(format!("at_ms: expected at most {MAX_AT_MS}"));
    }
    world.run_until_ms(at_ms);
    Ok(())
}

fn check_outcome(
    world: &mut World,
    outcome: Outcome,
    previous_epoch_sum: &mut u64,
) -> Result<(), String> {
    let actual = match outcome {
        Outcome::Unowned(_) => Outcome::Unowned(world.unowned_shards()),
        Outcome::LongestUnownedMs(limit) => {
            let max_unowned_ms = world.max_unowned_time().as_millis() as u64;
            world.reset_unowned_time();
            Outcome::LongestUnownedMs(if max_unowned_ms <= limit {
                limit
            } else {
                max_unowned_ms
            })
        }
        Outcome::Moves(_) => {
            let sum = world.epoch_sum();
            let moves = sum - std::mem::replace(previous_epoch_sum, sum);
            Outcome::Moves(moves)
        }
        Outcome::MovesAtMost(limit) => {
            let sum = world.epoch_sum();
            let moves = sum - std::mem::replace(previous_epoch_sum, sum);
            Outcome::MovesAtMost(moves.max(limit))
        }
        Outcome::LiveUpstreams(_) => Outcome::LiveUpstreams(world.live_upstreams()),
        Outcome::ImbalancePercent(limit) => {
            Outcome::ImbalancePercent(world.imbalance_percent().max(limit))
        }
        Outcome::CommitsAtMost(limit) => Outcome::CommitsAtMost(world.commits().max(limit)),
        Outcome::Violations(_) => Outcome::Violations(world.violations().len()),
    };
    if actual == outcome {
        return Ok(());
    }
    Err(format!(
        "expected {outcome:?}, found {actual:?} {:?}",
        world.violations()
    ))
}
