//! Selection of the only holder of a key by a share of the request's rank.

use kernel::{Moment, ServiceName};
use place::{
    FleetLoad, RequestWork, Selection, SelectionLimits, UpstreamCandidate, UpstreamSelector,
};
use rstest::rstest;
use std::time::Duration;

/// A holder with room for half of its requests refused the most urgent of them as often as
/// the others. Without a share, ranks are not asked for.
#[rstest]
#[case::urgent(Some(0.5), 1.0, 0)]
#[case::not_urgent(Some(0.5), 0.0, 200)]
#[case::room_for_all(None, 0.0, 0)]
fn choose_ranked_applies_the_share_of_the_rank(
    #[case] admitted_share: Option<f64>,
    #[case] own_share: f64,
    #[case] refused: usize,
) {
    let mut selector = UpstreamSelector::new(1);
    let now = Moment::from_millis(1_000);
    let service = ServiceName::from("charts");
    let work = RequestWork {
        service: &service,
        route: "read",
    };
    let limits = SelectionLimits {
        target_left: Duration::from_millis(400),
        time_left: Duration::from_secs(1),
        cross_domain_cost: Duration::ZERO,
    };
    let holder = UpstreamCandidate {
        id: "i-1".into(),
        slots: 4,
        is_local: true,
        is_cold: false,
        max_requests: 64,
    };
    let load = FleetLoad {
        admitted_share,
        ..FleetLoad::default()
    };
    selector.set_fleet_load(now, &holder.id, load);
    let candidates = [holder];
    let refusals = (0..200).filter(|_| {
        let selection = selector.choose_ranked(now, work, &candidates, &limits, |share| {
            assert!((share - 0.5).abs() < 1e-9);
            own_share
        });
        matches!(selection, Selection::Refuse { .. })
    });
    assert_eq!(refusals.count(), refused);
}
