//! Orders: late and duplicate messages change nothing, ages only grow stricter, and the
//! phases and the pace of moves keep to the bound.

use evac::{DomainPhase, EvacOrders, MoveProgress, OrderChange, OrderRow, next_moves};
use kernel::{DomainName, Moment};
use rstest::rstest;
use std::time::Duration;

const BOUND: Option<Duration> = Some(Duration::from_secs(5));

fn at(ms: u64) -> Moment {
    Moment::from_millis(ms)
}

fn row(domain: &str, version: u64, is_ordered: bool) -> OrderRow {
    OrderRow {
        domain: domain.into(),
        version,
        is_ordered,
    }
}

fn north() -> DomainName {
    "north".into()
}

/// Returns orders that know of one for `north` since 1,000 ms, in version 12.
fn ordered() -> EvacOrders {
    let mut orders = EvacOrders::default();
    orders.apply_list(at(500), 10, &[]);
    let changes = orders.apply_changes(at(1_000), &[row("north", 12, true)]);
    assert_eq!(changes, [OrderChange::Ordered(north())]);
    orders
}

/// Guards against a late or duplicate message that reinstates or lifts an order.
#[test]
fn apply_message_older_version_is_ignored() {
    let mut orders = ordered();
    assert!(orders.apply_message(at(1_100), 11, &[]).is_empty());
    assert!(orders.get(&north()).is_some());
    let withdrawn = orders.apply_changes(at(2_000), &[row("north", 15, false)]);
    assert_eq!(withdrawn, [OrderChange::Withdrawn(north())]);
    let age = Some(Duration::from_millis(100));
    for version in [12, 14] {
        assert!(
            orders
                .apply_message(at(2_100), version, &[(north(), age)])
                .is_empty()
        );
    }
    assert!(
        orders
            .apply_changes(at(2_200), &[row("north", 12, true)])
            .is_empty()
    );
    assert!(
        orders
            .apply_list(at(2_300), 13, &[row("north", 12, true)])
            .is_empty()
    );
    assert!(orders.is_empty());
    assert_eq!(orders.version(), 15);
}

/// Guards against a second write that starts the bound anew, and against a message from
/// between a withdrawal and the second write that was read in one feed.
#[test]
fn apply_changes_second_write_changes_only_the_version() {
    let mut orders = ordered();
    assert!(
        orders
            .apply_changes(at(3_000), &[row("north", 20, true)])
            .is_empty()
    );
    assert_eq!(
        orders.get(&north()).expect("ordered").ordered_at,
        Some(at(1_000))
    );
    assert!(orders.apply_message(at(3_100), 15, &[]).is_empty());
    assert!(!orders.is_empty());
}

/// Guards against rows of one feed that arrive out of order and hide each other.
#[test]
fn apply_changes_unordered_rows_are_all_applied() {
    let mut orders = ordered();
    orders.apply_changes(
        at(2_000),
        &[row("south", 21, true), row("north", 17, false)],
    );
    let domains: Vec<&str> = orders.iter().map(|(domain, _)| domain.as_str()).collect();
    assert_eq!(domains, ["south"]);
    assert_eq!(orders.version(), 21);
}

/// Guards against a host that starts, or was cut off, and uses the domain for as long as
/// one that heard of the order at once.
#[test]
fn phase_order_found_in_a_table_closes_the_domain_at_once() {
    let mut orders = EvacOrders::default();
    assert!(!orders.is_known());
    orders.apply_list(at(1_000), 30, &[row("north", 12, true)]);
    assert!(orders.is_known());
    assert_eq!(
        orders.phase(at(1_000), BOUND, &north()),
        DomainPhase::Closed
    );
    assert_eq!(
        orders.phase(at(1_000), None, &north()),
        DomainPhase::Serving
    );
}

/// Guards against a host that learns late and counts the bound from then.
#[test]
fn phase_order_from_a_message_counts_from_the_leaders_time() {
    let mut orders = EvacOrders::default();
    let age = Some(Duration::from_secs(2));
    orders.apply_message(at(10_000), 12, &[(north(), age)]);
    assert_eq!(
        orders.phase(at(10_700), BOUND, &north()),
        DomainPhase::Emptying
    );
    assert_eq!(
        orders.phase(at(10_751), BOUND, &north()),
        DomainPhase::Closed
    );
    let age = Some(Duration::from_secs(1));
    orders.apply_message(at(10_760), 12, &[(north(), age)]);
    assert_eq!(
        orders.phase(at(10_760), BOUND, &north()),
        DomainPhase::Closed
    );
}

#[rstest]
#[case::serving(900, "south", DomainPhase::Serving)]
#[case::just_ordered(1_000, "north", DomainPhase::Emptying)]
#[case::before_the_limit(3_700, "north", DomainPhase::Emptying)]
#[case::after_the_limit(3_750, "north", DomainPhase::Closed)]
fn phase_by_age_keeps_a_margin_to_the_bound(
    #[case] now_ms: u64,
    #[case] domain: &str,
    #[case] phase: DomainPhase,
) {
    assert_eq!(ordered().phase(at(now_ms), BOUND, &domain.into()), phase);
}

/// Guards against a pace that leaves ranges behind at the end, for moves that take less
/// and more time than assumed, and against moving nearly all ranges at once.
#[rstest]
#[case::usual_moves(300, 300)]
#[case::slow_moves(300, 700)]
#[case::many_ranges(900, 400)]
#[case::few_ranges(5, 300)]
fn next_moves_begins_all_in_time(#[case] total: usize, #[case] move_ms: u64) {
    let end = 2_500;
    let mut begun: Vec<u64> = Vec::new();
    let mut most_moving = 0;
    for now in (0..=end).step_by(40) {
        let moving = begun
            .iter()
            .filter(|begun_at| now < **begun_at + move_ms)
            .count();
        let moves = next_moves(MoveProgress {
            remaining: total - begun.len(),
            moving,
            time_left: Duration::from_millis(end - now),
        });
        begun.extend(std::iter::repeat_n(now, moves));
        if now < end / 2 {
            most_moving = most_moving.max(moving + moves);
        }
    }
    assert_eq!(begun.len(), total);
    let last_begun = begun.last().expect("some moved");
    assert!(
        *last_begun + 400 <= end,
        "the last move began at {last_begun} ms"
    );
    assert!(
        most_moving <= (total / 3).max(4),
        "{most_moving} moved at once"
    );
}
