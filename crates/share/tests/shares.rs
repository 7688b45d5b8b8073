//! Shares of three ranks of one service under load and failure, over many hosts.

mod common;

use common::{Kind, Retry, World};
use kernel::{Moment, ServiceName};
use rstest::rstest;
use share::{
    GateDecision, GateRequest, RankDemand, RankShare, ReturnPlan, ServiceShares, ShareGate,
    rank_fractions, share_at_upstream,
};
use std::time::Duration;

/// Demands of the ranks that together are `total` times the capacity.
fn kinds(total: f64) -> [Kind; 3] {
    let kind = |rank, slot_ms, part| Kind {
        rank,
        slot_ms,
        demand: part * total,
    };
    [kind(0, 160.0, 0.4), kind(1, 94.0, 0.3), kind(2, 60.0, 0.3)]
}

/// The most urgent rank was refused more often than a less urgent one of the same service,
/// and each host refused other fractions than the next.
#[rstest]
#[case::few_hosts(8, 120)]
#[case::many_hosts(135, 400)]
fn shares_at_overload_serve_urgent_ranks_first_at_all_hosts(
    #[case] hosts: usize,
    #[case] slots: u32,
) {
    let mut world = World::new(7, hosts, slots, &kinds(1.5), Retry::Once(1.0));
    // The queues of the first second, before any limit, have been worked off by then.
    world.run(10_000);
    world.clear_counts();
    let mut used = Vec::new();
    for _window in 0..14 {
        let before = world.admitted_slot_ms;
        world.run(1_000);
        used.push((world.admitted_slot_ms - before) / (1_000.0 * f64::from(slots)));
    }
    let served: Vec<f64> = world
        .newcomers
        .iter()
        .map(|count| count.fraction())
        .collect();
    println!(
        "served {served:?}, admitted {used:?}, longest queue {}",
        world.longest_queue
    );
    assert!(served[0] > 0.98, "{served:?}");
    assert!(
        served[0] >= served[1] && served[1] >= served[2],
        "{served:?}"
    );
    assert!(served[2] > 0.02, "no rank starves: {served:?}");
    for window in &used {
        assert!(
            (0.8..1.15).contains(window),
            "slots are used evenly: {used:?}"
        );
    }
    for rank in 0..3 {
        let mut fractions = world.fractions(rank);
        fractions.sort_by(f64::total_cmp);
        // Without the few hosts that have lost two messages in a row.
        let (least, most) = (fractions[0], fractions[hosts - 1 - hosts / 40]);
        assert!(most - least < 0.25, "rank {rank}: {least} to {most}");
    }
}

/// Shares refuse nothing while there is room, also if the leader takes the upstreams for
/// slower than they are.
#[rstest]
#[case::expected_right(1.0)]
#[case::expected_low(0.5)]
fn shares_refuse_nothing_while_the_service_has_room(#[case] believed_factor: f64) {
    let mut world = World::new(3, 30, 200, &kinds(0.7), Retry::Never);
    world.believed_factor = believed_factor;
    world.run(15_000);
    for count in &world.newcomers {
        assert_eq!(count.offered, count.admitted);
    }
}

/// The fraction follows a loss of a third of the capacity within a second, and no queue
/// builds up that would make all answers late.
#[test]
fn shares_follow_a_loss_of_capacity_within_a_second() {
    let mut world = World::new(11, 60, 300, &kinds(1.0), Retry::Never);
    world.run(6_000);
    world.slots = 200;
    world.announce();
    world.run(1_000);
    let mut admitted = 0.0;
    for (rank, kind) in kinds(1.0).iter().enumerate() {
        let fractions = world.fractions(rank as u32);
        let mean = fractions.iter().sum::<f64>() / fractions.len() as f64;
        admitted += mean * kind.demand;
    }
    println!("admitted after 1 s: {admitted}");
    assert!(
        admitted < 0.72,
        "{admitted} of the first capacity, 0.667 are left"
    );
    world.clear_counts();
    world.run(5_000);
    let served: Vec<f64> = world
        .newcomers
        .iter()
        .map(|count| count.fraction())
        .collect();
    assert!(served[0] > 0.97 && served[1] >= served[2], "{served:?}");
    assert!(world.longest_queue < 200, "{}", world.longest_queue);
}

/// Shares that nobody takes back would refuse requests for as long as the leader is lost.
/// They also must not end at once, as all queues would fill.
#[test]
fn shares_of_a_silent_leader_relax_within_two_seconds() {
    let mut world = World::new(5, 30, 200, &kinds(1.5), Retry::Never);
    world.run(6_000);
    let before = world.fractions(2)[0];
    assert!(before < 0.5, "{before}");
    world.is_leader_silent = true;
    let mut last = before;
    for _ in 0..20 {
        world.run(100);
        let now = world.fractions(2)[0];
        assert!(now - last < 0.25, "from {last} to {now} within 100 ms");
        last = now;
    }
    for rank in 0..3 {
        assert!(
            world
                .fractions(rank)
                .iter()
                .all(|fraction| *fraction >= 1.0)
        );
    }
}

/// A new leader knows little of the demand at first; it told hosts to admit everything.
#[test]
fn shares_of_a_new_leader_begin_when_all_hosts_have_reported() {
    let mut world = World::new(9, 30, 200, &kinds(1.5), Retry::Never);
    world.run(6_000);
    world.replace_leader();
    for _ in 0..30 {
        world.run(100);
        let fractions = world.fractions(2);
        let mean = fractions.iter().sum::<f64>() / fractions.len() as f64;
        assert!(mean < 0.75, "{mean}");
    }
}

/// A client that waits as told is admitted before newcomers of its rank, and one that
/// returns early gains nothing.
#[test]
fn returns_as_told_are_admitted_and_early_ones_gain_nothing() {
    let kinds = [Kind {
        rank: 0,
        slot_ms: 100.0,
        demand: 1.8,
    }];
    let play = |waited| {
        let mut world = World::new(13, 30, 200, &kinds, Retry::Once(waited));
        world.run(6_000);
        world.clear_counts();
        world.run(12_000);
        (
            world.promised_returns.fraction(),
            world.newcomers[0].fraction(),
        )
    };
    let (as_told, newcomers) = play(1.0);
    let (early, early_newcomers) = play(0.5);
    println!("as told {as_told} against {newcomers}, early {early} against {early_newcomers}");
    assert!(as_told > 0.9, "{as_told}");
    assert!(as_told > newcomers + 0.2, "{as_told} against {newcomers}");
    assert!(
        early < early_newcomers + 0.05,
        "{early} against {early_newcomers}"
    );
}

#[test]
fn rank_fractions_fill_the_capacity_in_order_of_rank() {
    let demand = |rank, rate| RankDemand { rank, rate };
    let fractions = rank_fractions(&[demand(0, 4.0), demand(1, 0.0), demand(2, 8.0)], 6.0);
    assert!(
        (fractions[0] - 1.0).abs() < 1e-9 && fractions[2] < 0.3,
        "{fractions:?}"
    );
    let admitted = 4.0 * fractions[0] + 8.0 * fractions[2];
    assert!((admitted - 6.0).abs() < 1e-9, "{admitted}");
    // Without any capacity nothing is divided by zero.
    assert!(rank_fractions(&[demand(0, 4.0)], 0.0)[0].abs() < 1e-9);
}

/// An upstream with room for half of its requests refused all ranks alike.
#[test]
fn share_at_upstream_refuses_less_urgent_ranks_first() {
    let share = |rank, weight| RankShare {
        rank,
        fraction: 1.0,
        weight,
    };
    let shares = [share(0, 0.4), share(1, 0.6)];
    let urgent = share_at_upstream(&shares, 0, 0.5);
    let other = share_at_upstream(&shares, 1, 0.5);
    assert!(urgent > 0.99 && other < 0.2, "{urgent} {other}");
    assert!((0.4 * urgent + 0.6 * other - 0.5).abs() < 1e-9);
}

/// Requests that can't be answered within their target took the slots of those that can.
#[test]
fn decide_late_work_yields_to_work_in_time() {
    let service = ServiceName::from("charts");
    let now = Moment::from_millis(5_000);
    let share = |rank, fraction| RankShare {
        rank,
        fraction,
        weight: 0.5,
    };
    let mut gate = ShareGate::new(1);
    gate.set_shares(
        now,
        vec![ServiceShares {
            service: service.clone(),
            shares: vec![share(0, 0.9), share(1, 0.1)],
        }],
    );
    let mut admit = |slot_ms| {
        let mut count = 0;
        for fingerprint in 0..200 {
            let request = GateRequest {
                service: &service,
                route: "order",
                rank: 0,
                fingerprint,
                target: Duration::from_millis(800),
                time_left: Duration::from_secs(5),
                slot_ms: Some(slot_ms),
            };
            let decision = gate.decide(now, &request);
            if let GateDecision::Refuse { retry_after, .. } = decision {
                assert!(retry_after > Duration::from_millis(40), "{retry_after:?}");
                assert!(
                    retry_after <= Duration::from_millis(1_650),
                    "{retry_after:?}"
                );
            }
            count += u32::from(matches!(decision, GateDecision::Admit { .. }));
        }
        count
    };
    let (in_time, late) = (admit(160.0), admit(900.0));
    assert!((178..=182).contains(&in_time), "{in_time}");
    assert!((18..=23).contains(&late), "{late}");
}

/// Clients of one route with a shorter deadline than others were taken for clients that had
/// waited for seconds, whose answers would be late in any case.
#[rstest]
#[case::many_shorter(5, 2_600, Duration::ZERO)]
#[case::much_shorter(2, 1_500, Duration::ZERO)]
#[case::returning(2, 4_700, Duration::from_millis(300))]
fn elapsed_tells_returning_clients_from_other_deadlines(
    #[case] group: u64,
    #[case] time_left_ms: u64,
    #[case] elapsed: Duration,
) {
    let mut plan = ReturnPlan::default();
    for index in 0..200 {
        let now = Moment::from_millis(1_000 + index * 10);
        if index % group == 0 {
            let first = plan.elapsed(now, "read", Duration::from_secs(5));
            assert_eq!(first, Duration::ZERO);
            continue;
        }
        let other = plan.elapsed(now, "read", Duration::from_millis(time_left_ms));
        if index > 50 {
            assert_eq!(other, elapsed);
        }
    }
}
