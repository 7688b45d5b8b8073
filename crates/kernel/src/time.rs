//! Monotonic time of the state machines, and clocks.

use std::fmt;
use std::ops::{Add, Sub};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A point in monotonic time, in microseconds since an origin chosen by the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Moment(u64);

impl Moment {
    /// The origin.
    pub const ZERO: Self = Self(0);

    /// Builds a moment from microseconds since the origin.
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Builds a moment from milliseconds since the origin.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1000)
    }

    /// Returns microseconds since the origin.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the time since `earlier`, or zero when `earlier` is later.
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Returns the moment `duration` before this one, or the origin if that would be
    /// before it.
    pub fn saturating_sub(self, duration: Duration) -> Self {
        Self(self.0.saturating_sub(duration.as_micros() as u64))
    }
}

impl Add<Duration> for Moment {
    type Output = Self;

    fn add(self, rhs: Duration) -> Self {
        Self(self.0.saturating_add(rhs.as_micros() as u64))
    }
}

impl Sub for Moment {
    type Output = Duration;

    fn sub(self, rhs: Self) -> Duration {
        self.since(rhs)
    }
}

/// A source of monotonic time.
pub trait Clock: Send + Sync + fmt::Debug {
    /// Returns the current moment.
    fn now(&self) -> Moment;
}

/// The operating system's monotonic clock.
#[derive(Clone, Debug)]
pub struct SystemClock {
    origin: Instant,
}

impl SystemClock {
    /// Creates a clock whose origin is one second ago, so that no reading is zero.
    pub fn new() -> Self {
        let now = Instant::now();
        let origin = now.checked_sub(Duration::from_secs(1)).unwrap_or(now);
        Self { origin }
    }
}

impl Default for SystemClock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for SystemClock {
    fn now(&self) -> Moment {
        Moment(self.origin.elapsed().as_micros() as u64)
    }
}

/// The operating system's monotonic clock that also advances while the machine is
/// suspended.
///
/// Leases are checked against this clock: a host that resumes must know how much time
/// has passed.
#[derive(Clone, Copy, Debug, Default)]
pub struct BootClock;

impl Clock for BootClock {
    fn now(&self) -> Moment {
        let reading = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
        // Adds one second, so that no reading is zero.
        let seconds = reading.tv_sec.unsigned_abs() + 1;
        Moment(seconds * 1_000_000 + reading.tv_nsec.unsigned_abs() / 1_000)
    }
}

/// A clock that tests set by hand.
#[derive(Clone, Debug, Default)]
pub struct ManualClock {
    micros: Arc<AtomicU64>,
}

impl ManualClock {
    /// Sets the reading.
    pub fn set(&self, now: Moment) {
        self.micros.store(now.0, Ordering::SeqCst);
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Moment {
        Moment(self.micros.load(Ordering::SeqCst))
    }
}

/// Returns the time of the wall clock in Unix milliseconds (since 1970).
pub fn wall_clock_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_millis() as u64)
}
