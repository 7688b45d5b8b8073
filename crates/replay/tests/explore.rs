//! Model checking of leases, takeovers and moves with the production state machine.

use owner::Timing;
use replay::{ExploreSetup, WorldSetup, WorldStep, explore};

/// Three hosts, each the primary of the upstream with the same number.
fn world() -> WorldSetup {
    WorldSetup {
        hosts: 3,
        upstreams: 3,
        shards: 3,
        ..WorldSetup::default()
    }
}

/// Four hosts: 0, 2 and 3 reach each other, and only host 1 reaches the table. Host 1
/// reaches no other host and not upstream 0.
fn partition(choices: Vec<WorldStep>) -> ExploreSetup {
    let mut initial_steps = vec![WorldStep::CutUpstream(1, 0)];
    for host in [0, 2, 3] {
        initial_steps.push(WorldStep::CutHosts(1, host));
        initial_steps.push(WorldStep::CutTable(host));
    }
    ExploreSetup {
        world: WorldSetup {
            hosts: 4,
            upstreams: 4,
            shards: 4,
            ..WorldSetup::default()
        },
        initial_steps,
        choices,
        depth: 8,
        interval_ms: 300,
    }
}

/// Host 0 can't reach the other hosts, which can't reach its upstream either, and
/// loses the table at any later time. Only host 0 uses the given intervals.
fn cut_off_primary(timing: Timing) -> ExploreSetup {
    ExploreSetup {
        world: world(),
        initial_steps: vec![
            WorldStep::CutUpstream(1, 0),
            WorldStep::CutUpstream(2, 0),
            WorldStep::SetTiming(0, timing),
            WorldStep::CutHosts(0, 1),
            WorldStep::CutHosts(0, 2),
        ],
        choices: vec![WorldStep::CutTable(0)],
        depth: 95,
        interval_ms: 15,
    }
}

#[test]
fn explore_finds_no_violation_in_any_schedule() {
    let report = explore(&ExploreSetup {
        world: world(),
        initial_steps: Vec::new(),
        choices: vec![
            WorldStep::CrashHost(0),
            WorldStep::PauseHost(0),
            WorldStep::ResumeHost(0),
            WorldStep::FreezeUpstream(0),
            WorldStep::ThawUpstream(0),
            WorldStep::CutUpstream(1, 0),
            WorldStep::CutTable(0),
            WorldStep::LoseAnswers(true),
        ],
        depth: 4,
        interval_ms: 170,
    });
    println!("{} states", report.states);
    assert_eq!(report.violation, None);
    assert!(report.states > 500, "{} states", report.states);
}

#[test]
fn explore_finds_no_violation_in_takeover() {
    let report = explore(&ExploreSetup {
        world: world(),
        initial_steps: vec![WorldStep::CutUpstream(1, 0), WorldStep::CutUpstream(2, 0)],
        choices: vec![
            WorldStep::CutHosts(0, 1),
            WorldStep::CutHosts(0, 2),
            WorldStep::CutTable(0),
            WorldStep::PauseHost(0),
            WorldStep::ResumeHost(0),
            WorldStep::HealCuts,
        ],
        depth: 5,
        interval_ms: 260,
    });
    println!("{} states", report.states);
    assert_eq!(report.violation, None);
}

#[test]
fn explore_finds_no_violation_with_full_wait() {
    let report = explore(&cut_off_primary(Timing::default()));
    println!("{} states", report.states);
    assert_eq!(report.violation, None);
}

/// The others wait for less time than host 0 relies on its last confirmation, which
/// has the same effect as a takeover without the full wait.
#[test]
fn explore_finds_violation_without_full_wait() {
    let long_confirm = Timing {
        confirm_ms: 900,
        ..Timing::default()
    };
    let report = explore(&cut_off_primary(long_confirm));
    println!("{} states, {:?}", report.states, report.violation);
    assert!(report.violation.is_some(), "{} states", report.states);
}

#[test]
fn explore_finds_no_violation_with_quorum() {
    let report = explore(&partition(vec![
        WorldStep::HealCuts,
        WorldStep::CrashUpstream(0),
    ]));
    println!("{} states", report.states);
    assert_eq!(report.violation, None);
}

#[test]
fn explore_finds_violation_without_quorum() {
    let report = explore(&partition(vec![WorldStep::ForgeWitnesses(1)]));
    println!("{} states, {:?}", report.states, report.violation);
    assert!(report.violation.is_some(), "{} states", report.states);
}
