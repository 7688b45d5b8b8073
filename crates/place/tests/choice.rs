//! Where requests go under the loads that the choice answers.

use kernel::Moment;
use place::{
    LoadReport, Placement, RequestOutcome, SelectionLimits, SentRequest, UpstreamCandidate,
    UpstreamSelector,
};
use std::time::Duration;

const SLOTS: u32 = 4;

fn need(patience_ms: u64) -> SelectionLimits {
    SelectionLimits {
        max_wait: Duration::from_millis(patience_ms),
        cross_domain_cost: Duration::from_millis(3),
    }
}

fn choices(count: usize) -> Vec<UpstreamCandidate> {
    let choice = |index| UpstreamCandidate {
        id: format!("i-{index}").into(),
        slots: SLOTS,
        is_local: true,
        is_cold: false,
    };
    (0..count).map(choice).collect()
}

/// One upstream of the model: serves its queue in order with all slots.
struct Server {
    service_ms: u64,
    /// When each slot is free, in milliseconds.
    free_at: [u64; SLOTS as usize],
}

struct Outcome {
    in_time: u32,
    late: u32,
    refused: u32,
}

/// Plays `rate` requests a second for 20 s against servers and returns what callers
/// got within `target_ms`.
fn play(rate: u64, services_ms: &[u64], target_ms: u64, refuses: bool) -> Outcome {
    let mut book = UpstreamSelector::new(7);
    let all = choices(services_ms.len());
    let mut servers: Vec<Server> = services_ms
        .iter()
        .map(|service_ms| Server {
            service_ms: *service_ms,
            free_at: [0; SLOTS as usize],
        })
        .collect();
    let mut open: Vec<(u64, u64, usize, SentRequest)> = Vec::new();
    let mut outcome = Outcome {
        in_time: 0,
        late: 0,
        refused: 0,
    };
    for number in 0..rate * 20 {
        let now_ms = 1_000 + number * 1_000 / rate;
        open.sort_by_key(|(ends, ..)| *ends);
        while open.first().is_some_and(|(ends, ..)| *ends <= now_ms) {
            let (ends, began, index, sent) = open.remove(0);
            let left = open
                .iter()
                .filter(|(_, _, other, _)| *other == index)
                .count() as u32;
            let report = LoadReport {
                running: left.min(SLOTS),
                waiting: left.saturating_sub(SLOTS),
                slots: SLOTS,
            };
            book.end(
                Moment::from_millis(ends),
                &sent,
                RequestOutcome::Answered,
                Some(report),
            );
            if ends - began <= target_ms {
                outcome.in_time += 1;
            } else {
                outcome.late += 1;
            }
        }
        let max_wait = if refuses { target_ms * 9 / 10 } else { 60_000 };
        let now = Moment::from_millis(now_ms);
        let Placement::Send { id, .. } = book.choose(now, &all, &need(max_wait)) else {
            outcome.refused += 1;
            continue;
        };
        let index = all
            .iter()
            .position(|choice| choice.id == id)
            .expect("known");
        let server = &mut servers[index];
        let slot = (0..SLOTS as usize)
            .min_by_key(|slot| server.free_at[*slot])
            .expect("slots");
        let ends = server.free_at[slot].max(now_ms) + server.service_ms;
        server.free_at[slot] = ends;
        open.push((ends, now_ms, index, book.begin(now, &id, SLOTS)));
    }
    outcome
}

#[test]
fn choose_under_capacity_serves_all_in_time() {
    let outcome = play(90, &[100, 160, 250, 120], 400, true);
    assert!(
        outcome.refused == 0 && outcome.late < 20,
        "{} {}",
        outcome.refused,
        outcome.late
    );
}

#[test]
fn choose_over_capacity_serves_more_in_time_by_refusing() {
    let services = [120, 120, 170, 170];
    let refusing = play(200, &services, 400, true);
    let taking = play(200, &services, 400, false);
    assert!(refusing.in_time > 1_900, "{}", refusing.in_time);
    assert!(
        refusing.in_time > taking.in_time * 3,
        "{} {}",
        refusing.in_time,
        taking.in_time
    );
}

#[test]
fn choose_unreachable_upstream_is_passed_over_and_tried_again() {
    let mut book = UpstreamSelector::new(1);
    let all = choices(2);
    let now = Moment::from_millis(1_000);
    let sent = book.begin(now, &all[0].id, SLOTS);
    book.end(now, &sent, RequestOutcome::Unreachable, None);
    for _ in 0..20 {
        let placement = book.choose(now, &all, &need(400));
        assert!(matches!(placement, Placement::Send { id, .. } if id == all[1].id));
    }
    assert_eq!(
        book.choose(now, &all[..1], &need(400)),
        Placement::Unreachable
    );
    let later = Moment::from_millis(1_300);
    assert!(matches!(
        book.choose(later, &all[..1], &need(400)),
        Placement::Send { .. }
    ));
}

#[test]
fn choose_failing_upstream_gets_little_work() {
    let mut book = UpstreamSelector::new(3);
    let all = choices(2);
    let mut failing = 0;
    for step in 0..400 {
        let now = Moment::from_millis(1_000 + step * 20);
        let Placement::Send { id, .. } = book.choose(now, &all, &need(4_000)) else {
            panic!("there is room");
        };
        let sent = book.begin(now, &id, SLOTS);
        let is_failing = id == all[0].id;
        failing += u32::from(is_failing);
        let end = if is_failing {
            RequestOutcome::Failed
        } else {
            RequestOutcome::Answered
        };
        book.end(now + Duration::from_millis(100), &sent, end, None);
    }
    assert!(failing < 60, "{failing}");
}

#[test]
fn choose_local_download_stays_in_its_domain_while_there_is_room() {
    let mut book = UpstreamSelector::new(5);
    let mut all = choices(2);
    all[1].is_local = false;
    let download = SelectionLimits {
        max_wait: Duration::from_secs(2),
        cross_domain_cost: Duration::from_millis(150),
    };
    let now = Moment::from_millis(1_000);
    for _ in 0..4 {
        let Placement::Send { id, .. } = book.choose(now, &all, &download) else {
            panic!("there is room");
        };
        assert_eq!(id, all[0].id);
        book.begin(now, &id, SLOTS);
    }
}

/// Plays a partition of 5 s before the only upstream that may run requests, and
/// returns how long after its end the first request is sent.
fn recover(is_probed: bool) -> Duration {
    let mut book = UpstreamSelector::new(3);
    let only = choices(1);
    let healed_ms = 5_000;
    let mut probe: Option<u64> = None;
    for now_ms in (0..20_000_u64).step_by(50) {
        let now = Moment::from_millis(10_000 + now_ms);
        if is_probed && !book.drain_probes(now, 4).is_empty() {
            probe = Some(now_ms);
        }
        if probe.take_if(|at| *at + 50 <= now_ms).is_some() && now_ms > healed_ms {
            book.record_reachable(&only[0].id);
        }
        let Placement::Send { id, .. } = book.choose(now, &only, &need(400)) else {
            continue;
        };
        if now_ms >= healed_ms {
            return Duration::from_millis(now_ms - healed_ms);
        }
        let sent = book.begin(now, &id, SLOTS);
        book.end(now, &sent, RequestOutcome::Unreachable, None);
    }
    Duration::MAX
}

#[test]
fn take_probes_notices_the_end_of_a_partition_soon() {
    assert!(recover(true) <= Duration::from_millis(700));
    assert!(recover(false) > Duration::from_secs(2));
}

#[test]
fn take_probes_leaves_unwanted_upstreams_alone() {
    let mut book = UpstreamSelector::new(3);
    let now = Moment::from_millis(1_000);
    let only = choices(1);
    let sent = book.begin(now, &only[0].id, SLOTS);
    book.end(now, &sent, RequestOutcome::Unreachable, None);
    assert!(book.drain_probes(now, 4).is_empty());
}
