//! Price of an admission decision at a queue of 1,000 requests.

use criterion::{Criterion, criterion_group, criterion_main};
use kernel::Moment;
use limit::{AdmissionPlan, AdmissionQueue, QueueDecision, WorkId, WorkItem};
use sheet::Rank;
use std::hint::black_box;
use std::time::Duration;

const QUEUED: u64 = 1_000;

fn item(id: u64, customers: u64) -> WorkItem {
    WorkItem {
        id: WorkId(id),
        rank: Rank::ALL[(id % 3) as usize],
        customer: format!("customer-{}", id % customers).into(),
        is_long: id.is_multiple_of(50),
        expected: Duration::from_millis(10),
        deadline: Moment::from_millis(1 << 40),
    }
}

fn decision(criterion: &mut Criterion) {
    for customers in [4, 40] {
        for policy in ["floors", "strict", "fifo"] {
            let plan = AdmissionPlan {
                queue_limit: 100_000,
                ..AdmissionPlan::with_slots(4)
            };
            let mut admission = AdmissionQueue::new(plan, policy, 1).expect("a known policy");
            let mut now_us = 1_000_000;
            for id in 0..QUEUED {
                let now = Moment::from_micros(now_us);
                admission.push(now, item(id, customers)).expect("room");
            }
            let mut next = QUEUED;
            let items: Vec<WorkItem> = (0..customers).map(|id| item(id, customers)).collect();
            let name = format!("{policy}, {customers} customers");
            criterion.bench_function(&name, |bencher| {
                bencher.iter(|| {
                    now_us += 50;
                    let now = Moment::from_micros(now_us);
                    let mut work = items[(next % customers) as usize].clone();
                    work.id = WorkId(next);
                    next += 1;
                    // One request in, one out, one slot given back.
                    let _full = black_box(admission.push(now, work));
                    if let Some(QueueDecision::Run(run)) = black_box(admission.pop(now)) {
                        admission.finish(now, run.id, Duration::from_millis(10));
                    }
                });
            });
        }
    }
}

criterion_group!(benches, decision);
criterion_main!(benches);
