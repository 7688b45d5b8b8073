//! Cost of an admission decision with 1,000 queued requests.

use criterion::{Criterion, criterion_group, criterion_main};
use kernel::Moment;
use limit::{AdmissionPlan, AdmissionQueue, QueueDecision, SlotRequest, SlotRequestId};
use sheet::Rank;
use std::hint::black_box;
use std::time::Duration;

const QUEUED: u64 = 1_000;

fn slot_request(id: u64, customers: u64) -> SlotRequest {
    SlotRequest {
        id: SlotRequestId(id),
        rank: Rank::ALL[(id % 3) as usize],
        customer: format!("customer-{}", id % customers).into(),
        is_long: id.is_multiple_of(50),
        expected: Duration::from_millis(10),
        deadline: Moment::from_millis(1 << 40),
    }
}

fn bench_decision(criterion: &mut Criterion) {
    for customers in [4, 40] {
        for policy in ["floors", "strict", "fifo"] {
            let plan = AdmissionPlan {
                queue_limit: 100_000,
                ..AdmissionPlan::with_slots(4)
            };
            let mut queue = AdmissionQueue::new(plan, policy, 1).expect("a known policy");
            let mut now_us = 1_000_000;
            for id in 0..QUEUED {
                let now = Moment::from_micros(now_us);
                queue
                    .push(now, slot_request(id, customers))
                    .expect("admitted");
            }
            let mut next_id = QUEUED;
            let requests: Vec<SlotRequest> = (0..customers)
                .map(|id| slot_request(id, customers))
                .collect();
            let name = format!("{policy}, {customers} customers");
            criterion.bench_function(&name, |bencher| {
                bencher.iter(|| {
                    now_us += 50;
                    let now = Moment::from_micros(now_us);
                    let mut request = requests[(next_id % customers) as usize].clone();
                    request.id = SlotRequestId(next_id);
                    next_id += 1;
                    // Adds one request, starts one and releases its slot.
                    let _queued = black_box(queue.push(now, request));
                    if let Some(QueueDecision::Run(running)) = black_box(queue.pop(now)) {
                        queue.finish(now, running.id, Duration::from_millis(10));
                    }
                });
            });
        }
    }
}

criterion_group!(benches, bench_decision);
criterion_main!(benches);
