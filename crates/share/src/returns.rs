//! When refused clients should return, and how a host recognizes those that did as told.
//!
//! A client retries at another host, under another request id, with less time left. The
//! time at which it should return is computed from the content of the request alone, so
//! that any host computes the same, without a message between them. A client that comes
//! at another time is a newcomer. Contents differ, so returns are spread.

use indexmap::IndexMap;
use kernel::Moment;
use std::time::Duration;

/// Times since a client's start, as fractions of the target latency, between which it is
/// told to return, so that it can still be answered within the target. The second is for a
/// client that was refused again.
const RETURN_WINDOWS: [(f64, f64); 2] = [(0.15, 0.45), (0.6, 0.9)];
/// Minimum wait before a return; a shorter one would find the same load.
const MIN_WAIT: Duration = Duration::from_millis(40);
/// Maximum fraction of the time left that a client waits; it gives up rather than wait
/// longer.
const MAX_WAIT_FRACTION: f64 = 0.33;
/// Time by which a client may come early and still counts as having waited, for rounding
/// of the wait and of the time left to milliseconds.
const EARLY_TOLERANCE: Duration = Duration::from_millis(3);
/// Time by which a client may come late: a new connection, and a busy host.
const LATE_TOLERANCE: Duration = Duration::from_millis(60);
/// Period after which the usual time left of a route's clients is learned anew.
const LEARN_PERIOD: Duration = Duration::from_secs(20);
/// Difference in the time left below which two clients count as having the same deadline.
const SAME_DEADLINE: Duration = Duration::from_millis(50);
/// Fraction of a route's requests that must arrive with the greatest time left. Where fewer
/// do, its clients have several deadlines, and the time left tells nothing. Clients return
/// at most twice, so that at least a third of the requests are first attempts.
const MIN_FIRST_FRACTION: f64 = 0.3;
/// Number of requests from which that fraction is judged.
const MIN_REQUESTS: u32 = 6;
/// Fraction of the greatest time left below which a request has another deadline: a client
/// that waited twice for a third of what it had left has more.
const MIN_LEFT_FRACTION: f64 = 0.4;
/// Maximum number of routes that are remembered.
const MAX_ROUTES: usize = 1_024;
/// Multipliers that turn a fingerprint into one number for each window (from splitmix64).
const MIX: [u64; 2] = [0xbf58_476d_1ce4_e5b9, 0x94d0_49bb_1331_11eb];

/// A moment at which a client should return.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReturnPoint {
    /// Wait until then.
    pub wait: Duration,
}

/// Time that clients of one route have left at their first attempt: the greatest that was
/// seen in this and in the previous period.
#[derive(Clone, Copy, Debug, Default)]
struct FirstTimeLeft {
    period_started_at: Moment,
    current: SeenTimes,
    previous: SeenTimes,
}

/// Times left of the requests of one period.
#[derive(Clone, Copy, Debug, Default)]
struct SeenTimes {
    greatest: Duration,
    requests: u32,
    /// Requests that had about the greatest.
    first_attempts: u32,
}

impl SeenTimes {
    fn record(&mut self, time_left: Duration) {
        if time_left > self.greatest + SAME_DEADLINE {
            self.first_attempts = 0;
        }
        self.greatest = self.greatest.max(time_left);
        self.requests = self.requests.saturating_add(1);
        let is_first = time_left + SAME_DEADLINE >= self.greatest;
        self.first_attempts += u32::from(is_first);
    }
}

/// Computes when clients should return.
#[derive(Clone, Debug, Default)]
pub struct ReturnPlan {
    routes: IndexMap<String, FirstTimeLeft>,
}

impl ReturnPlan {
    /// Returns the time since the client of a request began, as far as its time left tells;
    /// zero if it tells nothing.
    pub fn elapsed(&mut self, now: Moment, route: &str, time_left: Duration) -> Duration {
        if !self.routes.contains_key(route) {
            if self.routes.len() >= MAX_ROUTES {
                self.routes.shift_remove_index(0);
            }
            self.routes
                .insert(route.to_owned(), FirstTimeLeft::default());
        }
        let known = &mut self.routes[route];
        if now - known.period_started_at >= LEARN_PERIOD {
            known.previous = std::mem::take(&mut known.current);
            known.period_started_at = now;
        }
        known.current.record(time_left);
        let greatest = known.current.greatest.max(known.previous.greatest);
        let requests = known.current.requests + known.previous.requests;
        let first_attempts = known.current.first_attempts + known.previous.first_attempts;
        let is_same_deadline = requests >= MIN_REQUESTS
            && f64::from(first_attempts) >= f64::from(requests) * MIN_FIRST_FRACTION
            && time_left >= greatest.mul_f64(MIN_LEFT_FRACTION);
        if is_same_deadline {
            greatest.saturating_sub(time_left)
        } else {
            Duration::ZERO
        }
    }

    /// Returns whether a client that began `elapsed` ago comes when it was told to.
    pub fn is_as_told(fingerprint: u64, target: Duration, elapsed: Duration) -> bool {
        return_times(fingerprint, target)
            .any(|at| elapsed + EARLY_TOLERANCE >= at && elapsed <= at + LATE_TOLERANCE)
    }

    /// Returns when a client that is refused now should return; `None` if no time is left
    /// for it.
    pub fn next_return(
        fingerprint: u64,
        target: Duration,
        elapsed: Duration,
        time_left: Duration,
    ) -> Option<ReturnPoint> {
        let max_wait = time_left.mul_f64(MAX_WAIT_FRACTION);
        let next = return_times(fingerprint, target).find(|at| *at >= elapsed + MIN_WAIT)?;
        let wait = next.saturating_sub(elapsed);
        (wait <= max_wait).then_some(ReturnPoint { wait })
    }

    /// Returns the part of a request's content that decides whether its client gets a
    /// promise, from 0 to 1.
    pub fn promise_draw(fingerprint: u64) -> f64 {
        unit(mix(fingerprint, RETURN_WINDOWS.len() as u64))
    }
}

fn return_times(fingerprint: u64, target: Duration) -> impl Iterator<Item = Duration> {
    let windows = RETURN_WINDOWS.into_iter().enumerate();
    windows.map(move |(index, (from, to))| {
        let position = unit(mix(fingerprint, index as u64));
        target.mul_f64(from + (to - from) * position)
    })
}

/// Returns one of several independent numbers for a fingerprint.
fn mix(fingerprint: u64, index: u64) -> u64 {
    let mut value = fingerprint.wrapping_add(index.wrapping_add(1).wrapping_mul(MIX[1]));
    value = (value ^ (value >> 30)).wrapping_mul(MIX[0]);
    value = (value ^ (value >> 27)).wrapping_mul(MIX[1]);
    value ^ (value >> 31)
}

fn unit(value: u64) -> f64 {
    (value >> 11) as f64 / (1_u64 << 53) as f64
}
