//! No fault causes a violation while load runs, whatever its timing.

use async_std::task::block_on;
use parking_lot::Mutex;
use rstest::rstest;
use std::time::Duration;
use trial::{FaultKind, TrialOptions, TrialPlan, run_trial};

/// Serializes the trials, which would otherwise compete for the machine's cores.
static TRIAL_LOCK: Mutex<()> = Mutex::new(());

fn run_and_check(faults: Vec<FaultKind>, seed: u64, seconds: u64) {
    let _guard = TRIAL_LOCK.lock();
    let options = TrialOptions {
        plan: TrialPlan::small(),
        duration: Duration::from_secs(seconds),
        rate: 120.0,
        seed,
        faults,
        measures_path_cost: false,
    };
    let (report, _) = block_on(run_trial(options)).expect("the trial runs");
    assert_eq!(report.violations(), Vec::new());
    assert!(report.ran > 0, "{report:?}");
}

#[rstest]
#[case::host_loss(FaultKind::HostLoss)]
#[case::host_pause(FaultKind::HostPause)]
#[case::planned_stop(FaultKind::PlannedStop)]
#[case::upstream_loss(FaultKind::UpstreamLoss)]
#[case::upstream_freeze(FaultKind::UpstreamFreeze)]
#[case::upstream_leave(FaultKind::UpstreamLeave)]
#[case::store_down(FaultKind::StoreDown)]
#[case::lost_answers(FaultKind::LostAnswers)]
#[case::domain_cut(FaultKind::DomainCut)]
#[case::silent_connections(FaultKind::SilentConnections)]
#[case::crossed_answers(FaultKind::CrossedAnswers)]
#[case::truncated_answers(FaultKind::TruncatedAnswers)]
#[case::crash_request(FaultKind::CrashRequest)]
fn fault_causes_no_violation(#[case] fault: FaultKind) {
    run_and_check(vec![fault], 21, 5);
}

#[test]
fn fault_sequence_causes_no_violation() {
    let faults = vec![
        FaultKind::HostLoss,
        FaultKind::UpstreamFreeze,
        FaultKind::LostAnswers,
        FaultKind::UpstreamLoss,
        FaultKind::PlannedStop,
    ];
    run_and_check(faults, 22, 15);
}
