//! Order of service and early refusal.

use kernel::{Cause, Moment};
use limit::{AdmissionPlan, AdmissionQueue, QueueDecision, SlotRequest, SlotRequestId};
use proptest::prelude::*;
use rstest::rstest;
use sheet::{Rank, RankFloors};
use std::time::Duration;

const MS: Duration = Duration::from_millis(1);

fn at(millis: u64) -> Moment {
    Moment::from_millis(1_000 + millis)
}

fn slot_request(id: u64, rank: Rank, customer: &str, cost_ms: u32) -> SlotRequest {
    SlotRequest {
        id: SlotRequestId(id),
        rank,
        customer: customer.into(),
        is_long: false,
        expected: MS * cost_ms,
        deadline: at(3_600_000),
    }
}

fn plan(slots: u32) -> AdmissionPlan {
    AdmissionPlan {
        queue_limit: 100_000,
        ..AdmissionPlan::with_slots(slots)
    }
}

/// Serves a backlog for `duration_ms` and returns the rank, customer and slot time of
/// each finished request.
fn serve(
    queue: &mut AdmissionQueue,
    cost_of: impl Fn(&SlotRequest) -> u64,
    duration_ms: u64,
) -> Vec<(Rank, String, u64)> {
    let mut running: Vec<(u64, SlotRequest)> = Vec::new();
    let mut served: Vec<(Rank, String, u64)> = Vec::new();
    for now in 0..duration_ms {
        let (finished, still_running): (Vec<_>, Vec<_>) =
            running.into_iter().partition(|(end, _)| *end <= now);
        running = still_running;
        for (_, request) in finished {
            let cost = cost_of(&request);
            queue.finish(at(now), request.id, MS * cost as u32);
            served.push((request.rank, request.customer.to_string(), cost));
        }
        while let Some(decision) = queue.pop(at(now)) {
            let QueueDecision::Run(request) = decision else {
                continue;
            };
            running.push((now + cost_of(&request), request));
        }
    }
    served
}

fn total_cost(served: &[(Rank, String, u64)], is_counted: impl Fn(Rank, &str) -> bool) -> u64 {
    let counted = served
        .iter()
        .filter(|(rank, customer, _)| is_counted(*rank, customer));
    counted.map(|(_, _, cost)| cost).sum()
}

#[test]
fn floors_kept_in_flood_of_urgent() {
    let mut queue = AdmissionQueue::new(plan(4), "floors", 1).unwrap();
    for id in 0..8_000 {
        let rank = Rank::ALL[(id % 3) as usize];
        queue.push(at(0), slot_request(id, rank, "a", 10)).unwrap();
    }
    let served = serve(&mut queue, |_| 10, 5_000);
    let all_cost = total_cost(&served, |_, _| true) as f64;
    let share = |wanted| total_cost(&served, |rank, _| rank == wanted) as f64 / all_cost;
    let floors = RankFloors::default();
    assert!(share(Rank::Standard) >= floors.share(Rank::Standard) - 0.02);
    assert!(share(Rank::Bulk) >= floors.share(Rank::Bulk) - 0.02);
    assert!(share(Rank::Urgent) >= 0.70, "{}", share(Rank::Urgent));
    assert!(all_cost >= 0.99 * 4.0 * 4_990.0, "slots idle: {all_cost}");
}

#[rstest]
#[case::strict("strict", 0)]
#[case::fifo("fifo", 100)]
fn pop_baseline_policy_starves_or_mixes_ranks(
    #[case] policy: &str,
    #[case] bulk_served_above: u64,
) {
    let mut queue = AdmissionQueue::new(plan(2), policy, 1).unwrap();
    for id in 0..2_000 {
        let rank = if id % 2 == 0 {
            Rank::Urgent
        } else {
            Rank::Bulk
        };
        queue.push(at(id), slot_request(id, rank, "a", 10)).unwrap();
    }
    let served = serve(&mut queue, |_| 10, 2_000);
    let bulk_cost = total_cost(&served, |rank, _| rank == Rank::Bulk);
    if bulk_served_above == 0 {
        assert_eq!(bulk_cost, 0, "strict priority starves the rest");
    } else {
        assert!(bulk_cost > bulk_served_above);
    }
}

#[test]
fn pop_shares_slot_time_not_requests() {
    let mut queue = AdmissionQueue::new(plan(2), "floors", 1).unwrap();
    // The consultancy's requests take ten times as long and come first.
    for id in 0..500 {
        queue
            .push(at(0), slot_request(id, Rank::Bulk, "consultancy", 100))
            .unwrap();
    }
    for id in 500..2_500 {
        queue
            .push(at(0), slot_request(id, Rank::Bulk, "contractor", 10))
            .unwrap();
    }
    let cost = |request: &SlotRequest| request.expected.as_millis() as u64;
    let served = serve(&mut queue, cost, 6_000);
    let consultancy = total_cost(&served, |_, customer| customer == "consultancy") as f64;
    let contractor = total_cost(&served, |_, customer| customer == "contractor") as f64;
    let ratio = consultancy / contractor;
    assert!(
        (0.9..1.1).contains(&ratio),
        "{consultancy} against {contractor}"
    );
}

#[test]
fn pop_weights_customers_by_share() {
    let mut weighted_plan = plan(2);
    weighted_plan.shares.insert("large".into(), 3);
    let mut queue = AdmissionQueue::new(weighted_plan, "floors", 1).unwrap();
    for id in 0..2_000 {
        let customer = if id % 2 == 0 { "large" } else { "small" };
        queue
            .push(at(0), slot_request(id, Rank::Standard, customer, 10))
            .unwrap();
    }
    let served = serve(&mut queue, |_| 10, 2_000);
    let large = total_cost(&served, |_, customer| customer == "large") as f64;
    let small = total_cost(&served, |_, customer| customer == "small") as f64;
    assert!(
        (2.8..3.2).contains(&(large / small)),
        "{large} against {small}"
    );
}

#[test]
fn pop_long_work_leaves_slots_free() {
    let mut queue = AdmissionQueue::new(plan(2), "floors", 1).unwrap();
    for id in 0..10 {
        let mut download = slot_request(id, Rank::Bulk, "a", 1_000);
        download.is_long = true;
        queue.push(at(0), download).unwrap();
    }
    assert!(matches!(queue.pop(at(0)), Some(QueueDecision::Run(_))));
    assert_eq!(queue.pop(at(0)), None, "one slot stays free of long work");
    queue
        .push(at(1), slot_request(100, Rank::Urgent, "b", 5))
        .unwrap();
    assert!(
        matches!(queue.pop(at(1)), Some(QueueDecision::Run(request)) if request.rank == Rank::Urgent)
    );
}

#[test]
fn push_unreachable_deadline_is_refused_at_once() {
    let mut queue = AdmissionQueue::new(plan(1), "floors", 1).unwrap();
    for id in 0..100 {
        queue
            .push(at(0), slot_request(id, Rank::Urgent, "a", 10))
            .unwrap();
    }
    let mut unreachable = slot_request(200, Rank::Urgent, "a", 10);
    unreachable.deadline = at(200);
    let refusal = queue.push(at(0), unreachable).unwrap_err();
    assert_eq!(refusal.cause, Cause::DeadlineUnreachable);
    assert!(refusal.retry_after.unwrap() >= MS * 500, "{refusal:?}");
}

#[test]
fn push_retry_delays_are_spread() {
    let mut queue = AdmissionQueue::new(plan(1), "floors", 1).unwrap();
    for id in 0..100 {
        queue
            .push(at(0), slot_request(id, Rank::Bulk, "a", 10))
            .unwrap();
    }
    let mut retry_delays = Vec::new();
    for id in 200..300 {
        let mut unreachable = slot_request(id, Rank::Bulk, "a", 10);
        unreachable.deadline = at(100);
        retry_delays.push(
            queue
                .push(at(0), unreachable)
                .unwrap_err()
                .retry_after
                .unwrap(),
        );
    }
    let (min, max) = (
        retry_delays.iter().min().unwrap(),
        retry_delays.iter().max().unwrap(),
    );
    assert!(*max > *min + *min / 2, "{min:?} to {max:?}");
}

#[test]
fn push_to_full_queue_evicts_from_largest_customer() {
    let mut small_plan = plan(1);
    small_plan.queue_limit = 10;
    let mut queue = AdmissionQueue::new(small_plan, "floors", 1).unwrap();
    for id in 0..10 {
        queue
            .push(at(0), slot_request(id, Rank::Bulk, "flooder", 10))
            .unwrap();
    }
    let refused = queue.push(at(0), slot_request(10, Rank::Bulk, "flooder", 10));
    assert_eq!(refused.unwrap_err().cause, Cause::QueueFull);
    queue
        .push(at(0), slot_request(11, Rank::Bulk, "other", 10))
        .unwrap();
    let Some(QueueDecision::Refuse(evicted, refusal)) = queue.pop(at(0)) else {
        panic!("no request of the flooder was evicted");
    };
    assert_eq!(
        (evicted.id, refusal.cause),
        (SlotRequestId(9), Cause::QueueFull)
    );
}

#[test]
fn cancel_keeps_a_queued_request_from_running() {
    let mut queue = AdmissionQueue::new(plan(1), "floors", 1).unwrap();
    queue
        .push(at(0), slot_request(1, Rank::Urgent, "a", 5))
        .unwrap();
    assert!(queue.cancel(SlotRequestId(1)));
    assert!(!queue.cancel(SlotRequestId(1)));
    assert_eq!(queue.pop(at(0)), None);
}

#[test]
fn concurrency_limit_follows_refusals() {
    let mut queue = AdmissionQueue::new(plan(4), "floors", 1).unwrap();
    for _ in 0..5 {
        queue.concurrency_mut().record_refusal();
    }
    for id in 0..4 {
        queue
            .push(at(0), slot_request(id, Rank::Urgent, "a", 5))
            .unwrap();
    }
    assert!(queue.pop(at(0)).is_some());
    assert_eq!(
        queue.pop(at(0)),
        None,
        "the upstream completes one at a time"
    );
    for _ in 0..20 {
        queue.concurrency_mut().record_success();
    }
    assert!(queue.pop(at(0)).is_some());
}

proptest! {
    /// For any sequence of pushes, cancellations and completions, slots are never
    /// exceeded and every request is decided once.
    #[test]
    fn pop_decides_once_within_slots(
        steps in prop::collection::vec((0_u8..4, 0_u8..3, 0_u8..4, 1_u32..50, any::<bool>()), 1..300),
        slots in 1_u32..6,
    ) {
        let mut limited_plan = AdmissionPlan::with_slots(slots);
        limited_plan.queue_limit = 20;
        let mut queue = AdmissionQueue::new(limited_plan, "floors", 3).unwrap();
        let (mut pushed, mut decided, mut running) = (0_usize, 0_usize, Vec::new());
        let mut canceled = 0;
        for (now, (action, rank, customer, cost, is_long)) in steps.into_iter().enumerate() {
            let now = at(now as u64);
            match action {
                0 | 1 => {
                    let mut request = slot_request(pushed as u64, Rank::ALL[rank as usize], &format!("c{customer}"), cost);
                    request.is_long = is_long;
                    let accepted = queue.push(now, request).is_ok();
                    pushed += usize::from(accepted);
                }
                2 => {
                    if let Some(id) = running.pop() {
                        queue.finish(now, id, MS * cost);
                    }
                }
                _ => canceled += usize::from(queue.cancel(SlotRequestId(u64::from(cost)))),
            }
            while let Some(decision) = queue.pop(now) {
                decided += 1;
                if let QueueDecision::Run(request) = decision {
                    running.push(request.id);
                }
            }
            prop_assert!(running.len() <= slots as usize);
            prop_assert_eq!(queue.running() as usize, running.len());
            prop_assert_eq!(pushed, decided + canceled + queue.queued());
        }
    }
}
