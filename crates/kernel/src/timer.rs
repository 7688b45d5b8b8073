//! Timer service that wakes all periodic tasks of a process.

use crate::{Clock, Moment};
use async_channel::{Receiver, Sender, bounded};
use parking_lot::Mutex;
use std::sync::{Arc, Weak};
use std::time::Duration;

const MAX_SLEEP: Duration = Duration::from_millis(20);

/// Wakes subscribers periodically from a single task.
///
/// A subscriber that falls behind gets one wake-up for all the intervals it missed, so
/// that it is not flooded when it resumes.
#[derive(Clone, Debug)]
pub struct TimerService {
    timers: Arc<TimerState>,
}

#[derive(Debug)]
struct TimerState {
    clock: Arc<dyn Clock>,
    entries: Mutex<Vec<TimerEntry>>,
}

#[derive(Debug)]
struct TimerEntry {
    interval: Duration,
    due_at: Moment,
    sender: Sender<Moment>,
}

/// Receiving end of a subscription; dropping it ends the subscription.
#[derive(Debug)]
pub struct TimerSubscription {
    receiver: Receiver<Moment>,
}

impl TimerService {
    /// Starts the service on the process's executor.
    ///
    /// Its task ends once every handle has been dropped.
    pub fn start(clock: Arc<dyn Clock>) -> Self {
        let timers = Arc::new(TimerState {
            clock,
            entries: Mutex::new(Vec::new()),
        });
        async_std::task::spawn(run(Arc::downgrade(&timers)));
        Self { timers }
    }

    /// Subscribes to a wake-up every `interval`.
    pub fn subscribe(&self, interval: Duration) -> TimerSubscription {
        let (sender, receiver) = bounded(1);
        let due_at = self.timers.clock.now() + interval;
        self.timers.entries.lock().push(TimerEntry {
            interval,
            due_at,
            sender,
        });
        TimerSubscription { receiver }
    }
}

impl TimerSubscription {
    /// Waits for the next wake-up; returns `None` once the service has ended.
    pub async fn next(&self) -> Option<Moment> {
        self.receiver.recv().await.ok()
    }
}

impl TimerState {
    fn wake_due(&self, now: Moment) -> Duration {
        let mut wait = MAX_SLEEP;
        self.entries.lock().retain_mut(|entry| {
            if entry.due_at <= now {
                let _skipped_when_full = entry.sender.try_send(now);
                entry.due_at = now + entry.interval;
            }
            wait = wait.min(entry.due_at - now);
            !entry.sender.is_closed()
        });
        wait
    }
}

async fn run(timers: Weak<TimerState>) {
    loop {
        let Some(strong) = timers.upgrade() else {
            return;
        };
        let wait = strong.wake_due(strong.clock.now());
        drop(strong);
        async_std::task::sleep(wait).await;
    }
}
