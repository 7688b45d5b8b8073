//! Which upstreams stay in use when their entries change, lapse and return.

use fleet::{FleetTiming, FleetView, Presence, ReportedState, UpstreamEntry};
use kernel::Moment;
use std::time::Duration;

const START: Moment = Moment::from_millis(10_000);

fn entry(id: &str) -> UpstreamEntry {
    UpstreamEntry::ready(id, "charts", "10.0.0.1:80".parse().expect("an address"), 4)
}

fn view() -> FleetView {
    let mut view = FleetView::new(FleetTiming::default());
    view.apply(START, entry("i-1"));
    view.apply(START, entry("i-2"));
    view
}

fn after(ms: u64) -> Moment {
    START + Duration::from_millis(ms)
}

#[test]
fn record_missing_without_outage_keeps_the_upstream_for_a_second() {
    let mut view = view();
    view.record_missing(START, "i-1", None);
    assert!(view.remove_expired(after(900)).is_empty());
    assert!(view.get("i-1").expect("kept").accepts_requests(after(900)));
    assert!(
        !view
            .get("i-1")
            .expect("kept")
            .accepts_requests(after(1_000))
    );
    assert_eq!(view.remove_expired(after(1_000)).len(), 1);
}

#[test]
fn record_missing_in_an_outage_waits_until_entries_can_be_back() {
    let mut view = view();
    view.record_outage(START);
    view.record_missing(after(800), "i-1", None);
    view.record_outage(after(1_500));
    assert!(view.remove_expired(after(3_800)).is_empty());
    assert_eq!(view.remove_expired(after(3_900)).len(), 1);
}

/// An upstream left, and the store failed right after: the outage must not bring it back
/// into use beyond the time in which a leaving upstream must get no more requests.
#[test]
fn record_outage_does_not_prolong_the_use_of_an_upstream_that_left_before() {
    let mut view = view();
    view.record_missing(START, "i-1", None);
    view.record_outage(after(200));
    view.record_outage(after(900));
    let known = view.get("i-1").expect("kept");
    assert!(!known.accepts_requests(after(1_000)));
    assert_eq!(view.remove_expired(after(1_000)).len(), 1);
}

#[test]
fn record_missing_told_by_another_host_keeps_its_grace() {
    let mut view = view();
    view.record_outage(START);
    view.record_missing(after(100), "i-1", Some(Duration::from_millis(300)));
    assert_eq!(
        view.missing_grace(after(150), "i-1"),
        Duration::from_millis(250)
    );
    assert_eq!(view.remove_expired(after(400)).len(), 1);
}

#[test]
fn apply_entry_again_does_not_prolong_the_cold_time() {
    let mut view = FleetView::new(FleetTiming::default());
    let cold = UpstreamEntry {
        cold_duration: Duration::from_secs(3),
        ..entry("i-1")
    };
    view.apply(START, cold.clone());
    view.apply(after(2_000), cold);
    assert_eq!(view.get("i-1").expect("known").cold_until, after(3_000));
}

#[test]
fn apply_returned_entry_lists_the_upstream_again() {
    let mut view = view();
    view.record_missing(START, "i-1", None);
    view.apply(after(500), entry("i-1"));
    assert_eq!(view.get("i-1").expect("kept").presence, Presence::Listed);
    assert!(view.remove_expired(after(60_000)).is_empty());
}

#[test]
fn apply_leaving_entry_stops_new_work_at_once() {
    let mut view = view();
    let leaving = UpstreamEntry {
        state: ReportedState::Leaving,
        ..entry("i-1")
    };
    view.apply(after(100), leaving.clone());
    let known = view.get("i-1").expect("kept");
    assert!(!known.accepts_requests(after(100)));
    view.apply(after(900), leaving);
    let known = view.get("i-1").expect("kept");
    assert_eq!(known.presence, Presence::Leaving(after(100)));
    view.record_missing(after(1_000), "i-1", None);
    assert!(view.get("i-1").is_none());
}

#[test]
fn replace_marks_absent_upstreams_as_missing() {
    let mut view = view();
    view.replace(START, vec![entry("i-2")]);
    assert!(matches!(
        view.get("i-1").expect("kept").presence,
        Presence::Missing(_)
    ));
    assert_eq!(view.get("i-2").expect("kept").presence, Presence::Listed);
}

/// Guards against a cold upstream that passes for warm, because its entry of the same run
/// said so before, and against rows that are read again and make it colder.
#[test]
fn apply_row_newer_makes_colder_only_where_that_is_limited() {
    let cold_for = |ms| UpstreamEntry {
        cold_duration: Duration::from_millis(ms),
        ..entry("i-1")
    };
    for is_limited in [true, false] {
        let mut view = FleetView::new(FleetTiming::default());
        let cold_until = |view: &FleetView| view.get("i-1").expect("known").cold_until;
        view.apply_row(START, 5, cold_for(0), is_limited);
        view.apply_row(after(1_000), 6, cold_for(3_000), is_limited);
        let raised = if is_limited { after(4_000) } else { START };
        assert_eq!(cold_until(&view), raised);
        // The same row once more, from a list of the table.
        view.replace_rows(after(2_000), vec![(6, cold_for(3_000))], &|_| is_limited);
        assert_eq!(cold_until(&view), raised);
        view.apply_row(after(2_500), 7, cold_for(100), is_limited);
        let lowered = if is_limited { after(2_600) } else { START };
        assert_eq!(cold_until(&view), lowered);
        view.apply_row(after(3_000), 8, cold_for(0), is_limited);
        assert_eq!(cold_until(&view), lowered);
    }
}
