//! Seeded runs of the control state machine under random faults.

use replay::{WorldSetup, run_seeded};
use rstest::rstest;

const STEPS: u32 = 40;

fn assert_recovery(setup: &WorldSetup, seeds: std::ops::Range<u64>) {
    for seed in seeds {
        let report = run_seeded(setup, seed, STEPS);
        assert_eq!(report.violations, Vec::<String>::new(), "seed {seed}");
        assert_eq!(report.unowned, 0, "seed {seed}: not recovered");
    }
}

#[rstest]
#[case::one_domain(WorldSetup { hosts: 4, ..WorldSetup::default() }, 0..25)]
#[case::two_domains(WorldSetup { hosts: 6, upstreams: 4, domains: 2, ..WorldSetup::default() }, 100..125)]
#[case::lossy(WorldSetup { hosts: 4, loss_percent: 5, delay_ms: 40, ..WorldSetup::default() }, 200..225)]
#[case::drifting(WorldSetup { hosts: 4, drift_ppm: 10_000, ..WorldSetup::default() }, 300..325)]
#[case::read_begun_before_claim(WorldSetup { hosts: 6, upstreams: 2, loss_percent: 5, delay_ms: 15, drift_ppm: 5_000, ..WorldSetup::default() }, 10_134..10_135)]
fn run_seeded_recovers(#[case] setup: WorldSetup, #[case] seeds: std::ops::Range<u64>) {
    assert_recovery(&setup, seeds);
}

/// Runs many seeds; `TRESTLE_SEEDS` sets their number, 1,000 by default.
#[test]
#[ignore = "long; run with --ignored"]
fn run_seeded_recovers_with_many_seeds() {
    let seeds = std::env::var("TRESTLE_SEEDS")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(1_000);
    for (domains, hosts, loss_percent) in [(1, 3, 0), (1, 6, 5), (2, 6, 2), (3, 9, 0)] {
        let setup = WorldSetup {
            hosts,
            domains,
            upstreams: 2 * domains,
            loss_percent,
            delay_ms: 15,
            drift_ppm: 5_000,
            ..WorldSetup::default()
        };
        assert_recovery(&setup, 10_000..10_000 + seeds);
    }
}
