//! Waits of requests for keys without a holder, both moved and lost ones.

use kernel::{Moment, ServiceName};
use place::MoveTracker;
use rstest::rstest;
use std::time::Duration;

/// Mean service time of the service, so that a move takes up to 600 ms.
const SERVICE_TIME: Duration = Duration::from_millis(200);

/// Results of the simulated requests.
#[derive(Default)]
struct Outcome {
    served: u32,
    refused: u32,
    /// Time that refused clients were kept waiting, in milliseconds.
    wasted_ms: u64,
}

/// Sends a request every 20 ms for 5 s to a range that has no holder until `held_ms`.
fn simulate(held_ms: u64) -> Outcome {
    let service = ServiceName::from("charts");
    let mut tracker = MoveTracker::default();
    let mut outcome = Outcome::default();
    let mut waiting: Vec<u64> = Vec::new();
    for now_ms in (0..5_000).step_by(20) {
        let now = Moment::from_millis(10_000 + now_ms);
        waiting.push(now_ms);
        if now_ms >= held_ms {
            tracker.record_held(&service, 512);
            outcome.served += waiting.drain(..).count() as u32;
            continue;
        }
        waiting.retain(|sent_ms| {
            if !tracker
                .remaining_wait(now, &service, 512, SERVICE_TIME)
                .is_zero()
            {
                return true;
            }
            outcome.refused += 1;
            outcome.wasted_ms += now_ms - sent_ms;
            false
        });
    }
    outcome
}

#[rstest]
#[case::quick_move(300)]
#[case::slow_move(580)]
fn remaining_wait_covers_a_move(#[case] held_ms: u64) {
    let outcome = simulate(held_ms);
    assert_eq!((outcome.served, outcome.refused), (250, 0));
}

#[test]
fn remaining_wait_is_zero_while_a_lease_lapses() {
    let outcome = simulate(4_400);
    assert_eq!(outcome.served + outcome.refused, 250);
    // Requests of the first 600 ms waited in vain, 300 ms on average; no other did.
    assert!(outcome.wasted_ms <= 30 * 600, "{} ms", outcome.wasted_ms);
    assert!(outcome.refused >= 190, "{}", outcome.refused);
}

#[test]
fn remaining_wait_restarts_after_an_idle_time() {
    let service = ServiceName::from("charts");
    let mut tracker = MoveTracker::default();
    let at = |ms: u64| Moment::from_millis(1_000 + ms);
    let max_wait = tracker.remaining_wait(at(0), &service, 0, SERVICE_TIME);
    assert!(
        tracker
            .remaining_wait(at(700), &service, 0, SERVICE_TIME)
            .is_zero()
    );
    assert_eq!(
        tracker.remaining_wait(at(5_000), &service, 0, SERVICE_TIME),
        max_wait
    );
    tracker.record_held(&service, 0);
    assert_eq!(
        tracker.remaining_wait(at(5_700), &service, 0, SERVICE_TIME),
        max_wait
    );
    tracker.prune(at(8_000));
    assert_eq!(
        tracker.remaining_wait(at(8_001), &service, 0, SERVICE_TIME),
        max_wait
    );
    assert!(max_wait > Duration::from_millis(500));
}

/// Clients that are refused while a lease lapses return once, after the time that they
/// are told: with a wait as long as the keys have been without a holder, most are served
/// then.
#[test]
fn unheld_for_lets_most_refused_clients_return_in_time() {
    const LAPSE_MS: u64 = 4_400;
    const MAX_RETRY_MS: u64 = 2_600;
    let service = ServiceName::from("charts");
    let mut tracker = MoveTracker::default();
    let mut served = [0, 0];
    let mut refused = 0;
    for now_ms in (0..LAPSE_MS).step_by(20) {
        let now = Moment::from_millis(10_000 + now_ms);
        if !tracker
            .remaining_wait(now, &service, 512, SERVICE_TIME)
            .is_zero()
        {
            continue;
        }
        refused += 1;
        let unheld_ms = tracker.unheld_for(now, &service, 512).as_millis() as u64;
        for (index, retry_ms) in [400, unheld_ms.clamp(400, MAX_RETRY_MS)]
            .into_iter()
            .enumerate()
        {
            served[index] += u32::from(now_ms + retry_ms >= LAPSE_MS);
        }
    }
    let [with_fixed_wait, with_growing_wait] = served;
    assert!(with_growing_wait * 2 > refused, "{served:?} of {refused}");
    assert!(
        with_growing_wait > with_fixed_wait * 3,
        "{served:?} of {refused}"
    );
}
