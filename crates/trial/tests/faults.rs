//! Each fault under load: whatever the timing, nothing that must hold breaks.

use async_std::task::block_on;
use parking_lot::Mutex;
use rstest::rstest;
use std::time::Duration;
use trial::{FaultName, TrialOptions, TrialPlan, run_trial};

/// Trials share the machine's cores, so they run one at a time.
static TURN: Mutex<()> = Mutex::new(());

fn run(faults: Vec<FaultName>, seed: u64, seconds: u64) {
    let _turn = TURN.lock();
    let options = TrialOptions {
        plan: TrialPlan::small(),
        span: Duration::from_secs(seconds),
        rate: 120.0,
        seed,
        faults,
        measures_path: false,
    };
    let (report, _) = block_on(run_trial(options)).expect("the trial runs");
    assert_eq!(report.violations(), Vec::new());
    assert!(report.ran > 0, "{report:?}");
}

#[rstest]
#[case::host_loss(FaultName::HostLoss)]
#[case::host_pause(FaultName::HostPause)]
#[case::planned_stop(FaultName::PlannedStop)]
#[case::upstream_loss(FaultName::UpstreamLoss)]
#[case::upstream_freeze(FaultName::UpstreamFreeze)]
#[case::upstream_leave(FaultName::UpstreamLeave)]
#[case::store_down(FaultName::StoreDown)]
#[case::lost_answers(FaultName::LostAnswers)]
#[case::domain_cut(FaultName::DomainCut)]
#[case::silent_connections(FaultName::SilentConnections)]
#[case::crossed_answers(FaultName::CrossedAnswers)]
#[case::truncated_answers(FaultName::TruncatedAnswers)]
#[case::crash_request(FaultName::CrashRequest)]
fn fault_breaks_nothing(#[case] fault: FaultName) {
    run(vec![fault], 21, 5);
}

#[test]
fn fault_pairs_break_nothing() {
    let faults = vec![
        FaultName::HostLoss,
        FaultName::UpstreamFreeze,
        FaultName::LostAnswers,
        FaultName::UpstreamLoss,
        FaultName::PlannedStop,
    ];
    run(faults, 22, 15);
}
