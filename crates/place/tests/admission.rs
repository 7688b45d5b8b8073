//! What callers get while many hosts send to the overloaded holder of busy keys.

use kernel::{Moment, UpstreamId};
use place::{Choice, LoadReport, PlaceBook, Placement, SentRequest, WorkEnd, WorkNeed};
use std::time::Duration;

const HOSTS: usize = 141;
const SLOTS: usize = 2;
const QUEUE: usize = 16;
const SERVICE_MS: u64 = 220;
/// Requests a second; the holder serves nine.
const RATE: u64 = 40;
const TARGET_MS: u64 = 800;

#[derive(Debug, Default)]
struct Outcome {
    in_time: u32,
    late: u32,
    refused_at_once: u32,
    lost: u32,
}

/// A request at the holder: when it ends, when it was sent, and by which host.
struct OpenWork {
    ends: u64,
    sent: u64,
    host: usize,
    request: SentRequest,
}

/// Plays 30 s; `share` is what the hosts are told that the holder can serve.
fn play(share: Option<f64>) -> Outcome {
    let id = UpstreamId::from("i-1");
    let only = [Choice {
        id: id.clone(),
        slots: SLOTS as u32,
        is_local: true,
        is_cold: false,
    }];
    let need = WorkNeed {
        patience: Duration::from_millis(TARGET_MS * 9 / 10),
        remote_cost: Duration::ZERO,
    };
    let mut books: Vec<PlaceBook> = (0..HOSTS).map(|host| PlaceBook::new(host as u64)).collect();
    let mut rng = fastrand::Rng::with_seed(5);
    let mut free_at = [0_u64; SLOTS];
    let mut open: Vec<OpenWork> = Vec::new();
    let mut outcome = Outcome::default();
    for number in 0..RATE * 30 {
        let now_ms = 1_000 + number * 1_000 / RATE;
        let now = Moment::from_millis(now_ms);
        open.sort_by_key(|work| work.ends);
        while open.first().is_some_and(|work| work.ends <= now_ms) {
            let work = open.remove(0);
            let report = LoadReport {
                running: open.len().min(SLOTS) as u32,
                waiting: open.len().saturating_sub(SLOTS) as u32,
                slots: SLOTS as u32,
            };
            let ended_at = Moment::from_millis(work.ends);
            books[work.host].end(ended_at, &work.request, WorkEnd::Answered, Some(report));
            if work.ends - work.sent <= TARGET_MS {
                outcome.in_time += 1;
            } else {
                outcome.late += 1;
            }
        }
        let host = rng.usize(..HOSTS);
        if let Some(share) = share {
            books[host].learn_admitted(now, &id, share);
        }
        if !matches!(
            books[host].choose(now, &only, &need),
            Placement::Send { .. }
        ) {
            outcome.refused_at_once += 1;
            continue;
        }
        let request = books[host].begin(now, &id, SLOTS as u32);
        if open.len() >= SLOTS + QUEUE {
            books[host].end(now, &request, WorkEnd::Lost, None);
            outcome.lost += 1;
            continue;
        }
        let slot = free_at.iter_mut().min().expect("there are slots");
        let ends = now_ms.max(*slot) + SERVICE_MS;
        *slot = ends;
        open.push(OpenWork {
            ends,
            sent: now_ms,
            host,
            request,
        });
    }
    outcome
}

#[test]
fn learn_admitted_lets_an_overloaded_holder_answer_in_time() {
    let alone = play(None);
    let told = play(Some(0.9 * 9.09 / RATE as f64));
    println!("alone {alone:?}, told {told:?}");
    // What it can serve in 30 s is 272; nine in ten of that are sent.
    assert!(told.in_time >= 200, "{told:?}");
    assert!(told.in_time > alone.in_time * 3 / 2, "{alone:?} {told:?}");
    assert!(told.late * 5 <= told.in_time, "{told:?}");
    assert_eq!(told.lost, 0, "{told:?}");
}
