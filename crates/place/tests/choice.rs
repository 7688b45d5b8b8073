//! Selection of upstreams under the loads that it is designed for.

mod common;

use common::Work;
use kernel::Moment;
use place::{
    LoadReport, RequestOutcome, Selection, SelectionLimits, SentRequest, UpstreamCandidate,
    UpstreamSelector,
};
use std::time::Duration;

const SLOTS: u32 = 4;

fn limits(max_wait_ms: u64) -> SelectionLimits {
    SelectionLimits {
        target_left: Duration::from_millis(max_wait_ms),
        time_left: Duration::from_millis(max_wait_ms),
        cross_domain_cost: Duration::from_millis(3),
    }
}

fn make_candidates(count: usize) -> Vec<UpstreamCandidate> {
    let candidate = |index| UpstreamCandidate {
        id: format!("i-{index}").into(),
        slots: SLOTS,
        is_local: true,
        is_cold: false,
        max_requests: 64,
    };
    (0..count).map(candidate).collect()
}

/// A simulated upstream that serves its queue in order with all slots.
struct Server {
    service_ms: u64,
    /// Time at which each slot is free, in milliseconds.
    free_at: [u64; SLOTS as usize],
}

struct Outcome {
    in_time: u32,
    late: u32,
    refused: u32,
}

/// Simulates `rate` requests a second for 20 s against servers and returns how many
/// clients were answered within `target_ms`.
fn simulate(rate: u64, services_ms: &[u64], target_ms: u64, refuses_early: bool) -> Outcome {
    let work = Work::default();
    let mut selector = UpstreamSelector::new(7);
    let candidates = make_candidates(services_ms.len());
    let mut servers: Vec<Server> = services_ms
        .iter()
        .map(|service_ms| Server {
            service_ms: *service_ms,
            free_at: [0; SLOTS as usize],
        })
        .collect();
    let mut in_flight: Vec<(u64, u64, usize, SentRequest)> = Vec::new();
    let mut outcome = Outcome {
        in_time: 0,
        late: 0,
        refused: 0,
    };
    for number in 0..rate * 20 {
        let now_ms = 1_000 + number * 1_000 / rate;
        in_flight.sort_by_key(|(ends_at, ..)| *ends_at);
        while in_flight
            .first()
            .is_some_and(|(ends_at, ..)| *ends_at <= now_ms)
        {
            let (ends_at, began_at, index, sent) = in_flight.remove(0);
            let remaining = in_flight
                .iter()
                .filter(|(_, _, other, _)| *other == index)
                .count() as u32;
            let report = LoadReport {
                running: remaining.min(SLOTS),
                waiting: remaining.saturating_sub(SLOTS),
                slots: SLOTS,
                work_percent: None,
            };
            selector.record_outcome(
                Moment::from_millis(ends_at),
                work.get(),
                &sent,
                RequestOutcome::Answered,
                Some(report),
            );
            if ends_at - began_at <= target_ms {
                outcome.in_time += 1;
            } else {
                outcome.late += 1;
            }
        }
        let max_wait_ms = if refuses_early {
            target_ms * 9 / 10
        } else {
            60_000
        };
        let now = Moment::from_millis(now_ms);
        let Selection::Send { id, .. } =
            selector.choose(now, work.get(), &candidates, &limits(max_wait_ms))
        else {
            outcome.refused += 1;
            continue;
        };
        let index = candidates
            .iter()
            .position(|candidate| candidate.id == id)
            .expect("known");
        let server = &mut servers[index];
        let slot = (0..SLOTS as usize)
            .min_by_key(|slot| server.free_at[*slot])
            .expect("slots");
        let ends_at = server.free_at[slot].max(now_ms) + server.service_ms;
        server.free_at[slot] = ends_at;
        in_flight.push((
            ends_at,
            now_ms,
            index,
            selector.record_sent(now, work.get(), &id, SLOTS),
        ));
    }
    outcome
}

#[test]
fn choose_under_capacity_serves_all_in_time() {
    let outcome = simulate(90, &[100, 160, 250, 120], 400, true);
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
    let with_refusals = simulate(200, &services, 400, true);
    let without_refusals = simulate(200, &services, 400, false);
    assert!(with_refusals.in_time > 1_900, "{}", with_refusals.in_time);
    assert!(
        with_refusals.in_time > without_refusals.in_time * 3,
        "{} {}",
        with_refusals.in_time,
        without_refusals.in_time
    );
}

#[test]
fn choose_unreachable_upstream_is_skipped_and_retried_later() {
    let work = Work::default();
    let mut selector = UpstreamSelector::new(1);
    let candidates = make_candidates(2);
    let now = Moment::from_millis(1_000);
    let sent = selector.record_sent(now, work.get(), &candidates[0].id, SLOTS);
    selector.record_outcome(now, work.get(), &sent, RequestOutcome::Unreachable, None);
    for _ in 0..20 {
        let selection = selector.choose(now, work.get(), &candidates, &limits(400));
        assert!(matches!(selection, Selection::Send { id, .. } if id == candidates[1].id));
    }
    assert_eq!(
        selector.choose(now, work.get(), &candidates[..1], &limits(400)),
        Selection::Unreachable {
            retry_after: Duration::from_millis(250)
        }
    );
    let later = Moment::from_millis(1_300);
    assert!(matches!(
        selector.choose(later, work.get(), &candidates[..1], &limits(400)),
        Selection::Send { .. }
    ));
}

#[test]
fn choose_failing_upstream_gets_few_requests() {
    let work = Work::default();
    let mut selector = UpstreamSelector::new(3);
    let candidates = make_candidates(2);
    let mut failing_count = 0;
    for step in 0..400 {
        let now = Moment::from_millis(1_000 + step * 20);
        let Selection::Send { id, .. } =
            selector.choose(now, work.get(), &candidates, &limits(4_000))
        else {
            panic!("no upstream was selected");
        };
        let sent = selector.record_sent(now, work.get(), &id, SLOTS);
        let is_failing = id == candidates[0].id;
        failing_count += u32::from(is_failing);
        let outcome = if is_failing {
            RequestOutcome::Failed
        } else {
            RequestOutcome::Answered
        };
        selector.record_outcome(
            now + Duration::from_millis(100),
            work.get(),
            &sent,
            outcome,
            None,
        );
    }
    assert!(failing_count < 60, "{failing_count}");
}

#[test]
fn choose_download_stays_in_its_domain_while_slots_are_free() {
    let work = Work::default();
    let mut selector = UpstreamSelector::new(5);
    let mut candidates = make_candidates(2);
    candidates[1].is_local = false;
    let download = SelectionLimits {
        target_left: Duration::from_secs(2),
        time_left: Duration::from_secs(2),
        cross_domain_cost: Duration::from_millis(150),
    };
    let now = Moment::from_millis(1_000);
    for _ in 0..4 {
        let Selection::Send { id, .. } = selector.choose(now, work.get(), &candidates, &download)
        else {
            panic!("no upstream was selected");
        };
        assert_eq!(id, candidates[0].id);
        selector.record_sent(now, work.get(), &id, SLOTS);
    }
}

/// Simulates a partition of 5 s between the host and the only upstream that may run
/// requests, and returns how long after its end the first request is sent.
fn recovery_time(is_probed: bool) -> Duration {
    let work = Work::default();
    let mut selector = UpstreamSelector::new(3);
    let sole_candidate = make_candidates(1);
    let healed_ms = 5_000;
    let mut probed_at: Option<u64> = None;
    for now_ms in (0..20_000_u64).step_by(50) {
        let now = Moment::from_millis(10_000 + now_ms);
        if is_probed && !selector.drain_probes(now, 4).is_empty() {
            probed_at = Some(now_ms);
        }
        if probed_at.take_if(|at| *at + 50 <= now_ms).is_some() && now_ms > healed_ms {
            selector.record_reachable(&sole_candidate[0].id);
        }
        let Selection::Send { id, .. } =
            selector.choose(now, work.get(), &sole_candidate, &limits(400))
        else {
            continue;
        };
        if now_ms >= healed_ms {
            return Duration::from_millis(now_ms - healed_ms);
        }
        let sent = selector.record_sent(now, work.get(), &id, SLOTS);
        selector.record_outcome(now, work.get(), &sent, RequestOutcome::Unreachable, None);
    }
    Duration::MAX
}

#[test]
fn drain_probes_detects_the_end_of_a_partition_soon() {
    assert!(recovery_time(true) <= Duration::from_millis(700));
    assert!(recovery_time(false) > Duration::from_secs(2));
}

#[test]
fn drain_probes_skips_upstreams_without_requests() {
    let work = Work::default();
    let mut selector = UpstreamSelector::new(3);
    let now = Moment::from_millis(1_000);
    let sole_candidate = make_candidates(1);
    let sent = selector.record_sent(now, work.get(), &sole_candidate[0].id, SLOTS);
    selector.record_outcome(now, work.get(), &sent, RequestOutcome::Unreachable, None);
    assert!(selector.drain_probes(now, 4).is_empty());
}

/// Answers one request at each of `count` upstreams, where the first one reports a load;
/// returns to which upstreams the next requests would go, one after the other.
fn choose_after_report(count: usize, report: LoadReport) -> Vec<Option<String>> {
    let work = Work::default();
    let mut selector = UpstreamSelector::new(7);
    let candidates = make_candidates(count);
    let sent_at = Moment::from_millis(1_000);
    let answered_at = Moment::from_millis(1_100);
    for (index, candidate) in candidates.iter().enumerate() {
        let sent = selector.record_sent(sent_at, work.get(), &candidate.id, SLOTS);
        let idle = LoadReport {
            running: 0,
            waiting: 0,
            slots: SLOTS,
            work_percent: None,
        };
        let report = if index == 0 { report } else { idle };
        let outcome = RequestOutcome::Answered;
        selector.record_outcome(answered_at, work.get(), &sent, outcome, Some(report));
    }
    let choices = (0..2 * count).map(|_| {
        let selection = selector.choose(answered_at, work.get(), &candidates, &limits(400));
        let Selection::Send { id, .. } = selection else {
            return None;
        };
        selector.record_sent(answered_at, work.get(), &id, SLOTS);
        Some(id.to_string())
    });
    choices.collect()
}

/// The sum of both numbers overflowed: a panic in debug builds, and no load at all in
/// release builds.
#[test]
fn record_outcome_report_of_huge_numbers_does_not_look_idle() {
    let report = LoadReport {
        running: u32::MAX,
        waiting: 1,
        slots: SLOTS,
        work_percent: None,
    };
    let choices = choose_after_report(5, report);
    let other = |choice: &Option<String>| choice.as_deref().is_some_and(|id| id != "i-0");
    assert!(choices.iter().all(other), "{choices:?}");
}
