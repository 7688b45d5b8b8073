//! What runs next, and what is refused early.

use kernel::{Cause, Moment};
use limit::{AdmissionPlan, AdmissionQueue, QueueDecision, WorkId, WorkItem};
use proptest::prelude::*;
use rstest::rstest;
use sheet::{Rank, RankFloors};
use std::time::Duration;

const MS: Duration = Duration::from_millis(1);

fn at(millis: u64) -> Moment {
    Moment::from_millis(1_000 + millis)
}

fn item(id: u64, rank: Rank, customer: &str, cost_ms: u32) -> WorkItem {
    WorkItem {
        id: WorkId(id),
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

/// Runs a backlog for `span_ms` and returns the slot time by rank and customer.
fn serve(
    admission: &mut AdmissionQueue,
    costs: impl Fn(&WorkItem) -> u64,
    span_ms: u64,
) -> Vec<(Rank, String, u64)> {
    let mut running: Vec<(u64, WorkItem)> = Vec::new();
    let mut served: Vec<(Rank, String, u64)> = Vec::new();
    for now in 0..span_ms {
        let (ended, left): (Vec<_>, Vec<_>) = running.into_iter().partition(|(end, _)| *end <= now);
        running = left;
        for (_, item) in ended {
            let cost = costs(&item);
            admission.finish(at(now), item.id, MS * cost as u32);
            served.push((item.rank, item.customer.to_string(), cost));
        }
        while let Some(decision) = admission.pop(at(now)) {
            let QueueDecision::Run(item) = decision else {
                continue;
            };
            running.push((now + costs(&item), item));
        }
    }
    served
}

fn total(served: &[(Rank, String, u64)], is_counted: impl Fn(Rank, &str) -> bool) -> u64 {
    let counted = served
        .iter()
        .filter(|(rank, customer, _)| is_counted(*rank, customer));
    counted.map(|(_, _, cost)| cost).sum()
}

#[test]
fn floors_kept_in_flood_of_urgent() {
    let mut admission = AdmissionQueue::new(plan(4), "floors", 1).unwrap();
    for id in 0..8_000 {
        let rank = Rank::ALL[(id % 3) as usize];
        admission.push(at(0), item(id, rank, "a", 10)).unwrap();
    }
    let served = serve(&mut admission, |_| 10, 5_000);
    let all = total(&served, |_, _| true) as f64;
    let share = |wanted| total(&served, |rank, _| rank == wanted) as f64 / all;
    let floors = RankFloors::default();
    assert!(share(Rank::Standard) >= floors.share(Rank::Standard) - 0.02);
    assert!(share(Rank::Bulk) >= floors.share(Rank::Bulk) - 0.02);
    assert!(share(Rank::Urgent) >= 0.70, "{}", share(Rank::Urgent));
    assert!(all >= 0.99 * 4.0 * 4_990.0, "slots idle: {all}");
}

#[rstest]
#[case::strict("strict", 0)]
#[case::fifo("fifo", 100)]
fn baseline_starves_or_mixes(#[case] policy: &str, #[case] bulk_served_above: u64) {
    let mut admission = AdmissionQueue::new(plan(2), policy, 1).unwrap();
    for id in 0..2_000 {
        let rank = if id % 2 == 0 {
            Rank::Urgent
        } else {
            Rank::Bulk
        };
        admission.push(at(id), item(id, rank, "a", 10)).unwrap();
    }
    let served = serve(&mut admission, |_| 10, 2_000);
    let bulk = total(&served, |rank, _| rank == Rank::Bulk);
    if bulk_served_above == 0 {
        assert_eq!(bulk, 0, "strict priority starves the rest");
    } else {
        assert!(bulk > bulk_served_above);
    }
}

#[test]
fn customers_share_slot_time_not_requests() {
    let mut admission = AdmissionQueue::new(plan(2), "floors", 1).unwrap();
    // The consultancy's requests take ten times as long and come first.
    for id in 0..500 {
        admission
            .push(at(0), item(id, Rank::Bulk, "consultancy", 100))
            .unwrap();
    }
    for id in 500..2_500 {
        admission
            .push(at(0), item(id, Rank::Bulk, "contractor", 10))
            .unwrap();
    }
    let cost = |item: &WorkItem| item.expected.as_millis() as u64;
    let served = serve(&mut admission, cost, 6_000);
    let consultancy = total(&served, |_, customer| customer == "consultancy") as f64;
    let contractor = total(&served, |_, customer| customer == "contractor") as f64;
    let ratio = consultancy / contractor;
    assert!(
        (0.9..1.1).contains(&ratio),
        "{consultancy} against {contractor}"
    );
}

#[test]
fn customers_weighted_by_share() {
    let mut weighted = plan(2);
    weighted.shares.insert("large".into(), 3);
    let mut admission = AdmissionQueue::new(weighted, "floors", 1).unwrap();
    for id in 0..2_000 {
        let customer = if id % 2 == 0 { "large" } else { "small" };
        admission
            .push(at(0), item(id, Rank::Standard, customer, 10))
            .unwrap();
    }
    let served = serve(&mut admission, |_| 10, 2_000);
    let large = total(&served, |_, customer| customer == "large") as f64;
    let small = total(&served, |_, customer| customer == "small") as f64;
    assert!(
        (2.8..3.2).contains(&(large / small)),
        "{large} against {small}"
    );
}

#[test]
fn long_work_leaves_slots_free() {
    let mut admission = AdmissionQueue::new(plan(2), "floors", 1).unwrap();
    for id in 0..10 {
        let mut download = item(id, Rank::Bulk, "a", 1_000);
        download.is_long = true;
        admission.push(at(0), download).unwrap();
    }
    assert!(matches!(admission.pop(at(0)), Some(QueueDecision::Run(_))));
    assert_eq!(
        admission.pop(at(0)),
        None,
        "one slot stays free of long work"
    );
    admission
        .push(at(1), item(100, Rank::Urgent, "b", 5))
        .unwrap();
    assert!(
        matches!(admission.pop(at(1)), Some(QueueDecision::Run(work)) if work.rank == Rank::Urgent)
    );
}

#[test]
fn deadline_unreachable_refused_at_once() {
    let mut admission = AdmissionQueue::new(plan(1), "floors", 1).unwrap();
    for id in 0..100 {
        admission
            .push(at(0), item(id, Rank::Urgent, "a", 10))
            .unwrap();
    }
    let mut late = item(200, Rank::Urgent, "a", 10);
    late.deadline = at(200);
    let refusal = admission.push(at(0), late).unwrap_err();
    assert_eq!(refusal.cause, Cause::DeadlineUnreachable);
    assert!(refusal.retry_after.unwrap() >= MS * 500, "{refusal:?}");
}

#[test]
fn retry_hints_spread() {
    let mut admission = AdmissionQueue::new(plan(1), "floors", 1).unwrap();
    for id in 0..100 {
        admission
            .push(at(0), item(id, Rank::Bulk, "a", 10))
            .unwrap();
    }
    let mut hints = Vec::new();
    for id in 200..300 {
        let mut late = item(id, Rank::Bulk, "a", 10);
        late.deadline = at(100);
        hints.push(
            admission
                .push(at(0), late)
                .unwrap_err()
                .retry_after
                .unwrap(),
        );
    }
    let (least, most) = (hints.iter().min().unwrap(), hints.iter().max().unwrap());
    assert!(*most > *least + *least / 2, "{least:?} to {most:?}");
}

#[test]
fn full_queue_evicts_from_largest_customer() {
    let mut small = plan(1);
    small.queue_limit = 10;
    let mut admission = AdmissionQueue::new(small, "floors", 1).unwrap();
    for id in 0..10 {
        admission
            .push(at(0), item(id, Rank::Bulk, "flooder", 10))
            .unwrap();
    }
    let refused = admission.push(at(0), item(10, Rank::Bulk, "flooder", 10));
    assert_eq!(refused.unwrap_err().cause, Cause::QueueFull);
    admission
        .push(at(0), item(11, Rank::Bulk, "other", 10))
        .unwrap();
    let Some(QueueDecision::Refuse(evicted, refusal)) = admission.pop(at(0)) else {
        panic!("one of the flooder's requests makes room");
    };
    assert_eq!((evicted.id, refusal.cause), (WorkId(9), Cause::QueueFull));
}

#[test]
fn cancelled_request_never_runs() {
    let mut admission = AdmissionQueue::new(plan(1), "floors", 1).unwrap();
    admission
        .push(at(0), item(1, Rank::Urgent, "a", 5))
        .unwrap();
    assert!(admission.cancel(WorkId(1)));
    assert!(!admission.cancel(WorkId(1)));
    assert_eq!(admission.pop(at(0)), None);
}

#[test]
fn concurrency_follows_refusals() {
    let mut admission = AdmissionQueue::new(plan(4), "floors", 1).unwrap();
    for _ in 0..5 {
        admission.concurrency_mut().record_refusal();
    }
    for id in 0..4 {
        admission
            .push(at(0), item(id, Rank::Urgent, "a", 5))
            .unwrap();
    }
    assert!(admission.pop(at(0)).is_some());
    assert_eq!(
        admission.pop(at(0)),
        None,
        "the upstream completes one at a time"
    );
    for _ in 0..20 {
        admission.concurrency_mut().record_success();
    }
    assert!(admission.pop(at(0)).is_some());
}

proptest! {
    /// Whatever is pushed, cancelled and finished: slots are never exceeded and
    /// every request is decided once.
    #[test]
    fn decided_once_within_slots(
        steps in prop::collection::vec((0_u8..4, 0_u8..3, 0_u8..4, 1_u32..50, any::<bool>()), 1..300),
        slots in 1_u32..6,
    ) {
        let mut limited = AdmissionPlan::with_slots(slots);
        limited.queue_limit = 20;
        let mut admission = AdmissionQueue::new(limited, "floors", 3).unwrap();
        let (mut pushed, mut decided, mut running) = (0_usize, 0_usize, Vec::new());
        let mut cancelled = 0;
        for (now, (action, rank, customer, cost, is_long)) in steps.into_iter().enumerate() {
            let now = at(now as u64);
            match action {
                0 | 1 => {
                    let mut work = item(pushed as u64, Rank::ALL[rank as usize], &format!("c{customer}"), cost);
                    work.is_long = is_long;
                    let accepted = admission.push(now, work).is_ok();
                    pushed += usize::from(accepted);
                }
                2 => {
                    if let Some(id) = running.pop() {
                        admission.finish(now, id, MS * cost);
                    }
                }
                _ => cancelled += usize::from(admission.cancel(WorkId(u64::from(cost)))),
            }
            while let Some(decision) = admission.pop(now) {
                decided += 1;
                if let QueueDecision::Run(work) = decision {
                    running.push(work.id);
                }
            }
            prop_assert!(running.len() <= slots as usize);
            prop_assert_eq!(admission.running() as usize, running.len());
            prop_assert_eq!(pushed, decided + cancelled + admission.queued());
        }
    }
}
