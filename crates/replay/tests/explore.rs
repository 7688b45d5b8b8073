//! Model checking of lease, takeover and move on the decision code itself.

use owner::Timing;
use replay::{ExploreSetup, WorldSetup, WorldStep, explore};

/// Three hosts, each the primary of the upstream of its own number.
fn world() -> WorldSetup {
    WorldSetup {
        hosts: 3,
        upstreams: 3,
        shards: 3,
        ..WorldSetup::default()
    }
}

/// Four hosts: 0, 2 and 3 keep each other, host 1 keeps the table alone.
fn partition(choices: Vec<WorldStep>) -> ExploreSetup {
    let mut before = vec![WorldStep::CutUpstream(1, 0)];
    for host in [0, 2, 3] {
        before.push(WorldStep::CutHosts(1, host));
        before.push(WorldStep::CutTable(host));
    }
    ExploreSetup {
        world: WorldSetup {
            hosts: 4,
            upstreams: 4,
            shards: 4,
            ..WorldSetup::default()
        },
        before,
        choices,
        depth: 8,
        interval_ms: 300,
    }
}

/// Host 0 loses the other hosts, which can't reach its upstream either, and
/// then, at any time, the table. It runs with intervals of its own.
fn silent_pair(timing: Timing) -> ExploreSetup {
    ExploreSetup {
        world: world(),
        before: vec![
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
fn explore_every_schedule() {
    let report = explore(&ExploreSetup {
        world: world(),
        before: Vec::new(),
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
    assert_eq!(report.fault, None);
    assert!(report.states > 500, "{} states", report.states);
}

#[test]
fn explore_takeover_of_silent_pair() {
    let report = explore(&ExploreSetup {
        world: world(),
        before: vec![WorldStep::CutUpstream(1, 0), WorldStep::CutUpstream(2, 0)],
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
    assert_eq!(report.fault, None);
}

#[test]
fn explore_holds_with_wait() {
    let report = explore(&silent_pair(Timing::default()));
    println!("{} states", report.states);
    assert_eq!(report.fault, None);
}

/// The others wait for less than host 0 trusts its last confirmation, which is
/// what a takeover without the full wait comes to.
#[test]
fn explore_finds_missing_wait() {
    let trusting = Timing {
        confirm_ms: 900,
        ..Timing::default()
    };
    let report = explore(&silent_pair(trusting));
    println!("{} states, {:?}", report.states, report.fault);
    assert!(report.fault.is_some(), "{} states", report.states);
}

#[test]
fn explore_holds_with_majority() {
    let report = explore(&partition(vec![
        WorldStep::HealCuts,
        WorldStep::CrashUpstream(0),
    ]));
    println!("{} states", report.states);
    assert_eq!(report.fault, None);
}

#[test]
fn explore_finds_missing_majority() {
    let report = explore(&partition(vec![WorldStep::ForgeWitnesses(1)]));
    println!("{} states, {:?}", report.states, report.fault);
    assert!(report.fault.is_some(), "{} states", report.states);
}
