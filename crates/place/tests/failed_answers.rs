//! Whether failures at an upstream tell that it has no room.

mod common;

use common::Work;
use kernel::{Moment, UpstreamId};
use place::{FleetLoads, LoadReport, RequestOutcome, UpstreamSelector};
use rstest::rstest;
use std::time::Duration;

const SLOTS: u32 = 4;
const REPORT: LoadReport = LoadReport {
    running: 1,
    waiting: 0,
    slots: SLOTS,
    work_percent: None,
};

/// An upstream whose answers are errors has unused slots. Hosts refused most of the requests
/// for its keys as if it were overloaded, also after it had recovered. One that resets its
/// connections, or rejects, has no room.
#[rstest]
#[case::answered(RequestOutcome::Answered, Some(REPORT), true)]
#[case::failed(RequestOutcome::Failed, Some(REPORT), true)]
#[case::failed_without_a_report(RequestOutcome::Failed, None, true)]
#[case::reset(RequestOutcome::Reset, None, false)]
#[case::full(RequestOutcome::Full, None, false)]
#[case::lost(RequestOutcome::Lost, None, false)]
#[case::abandoned(RequestOutcome::Abandoned, None, false)]
fn record_outcome_of_unused_slots_admits_all(
    #[case] outcome: RequestOutcome,
    #[case] report: Option<LoadReport>,
    #[case] is_all_admitted: bool,
) {
    let work = Work::default();
    let holder = UpstreamId::from("i-1");
    let mut selector = UpstreamSelector::new(1);
    let mut loads = FleetLoads::default();
    loads.update(Moment::from_millis(1_000), Duration::from_secs(5));
    for index in 0..20 {
        let now = Moment::from_millis(1_000 + index * 50);
        let sent = selector.record_sent(now, work.get(), &holder, SLOTS);
        let ended_at = now + Duration::from_millis(5);
        selector.record_outcome(ended_at, work.get(), &sent, outcome, report);
    }
    let now = Moment::from_millis(2_000);
    for (id, observed) in selector.drain_observations() {
        loads.record(now, &id, observed);
    }
    let updated = loads.update(now, Duration::from_secs(5));
    let share = updated[0].1.admitted_share;
    assert_eq!(share.is_none(), is_all_admitted, "{share:?}");
}
