//! One timer service per process, which parts subscribe to.

use crate::{Clock, Moment};
use async_channel::{Receiver, Sender, bounded};
use parking_lot::Mutex;
use std::sync::{Arc, Weak};
use std::time::Duration;

const LONGEST_SLEEP: Duration = Duration::from_millis(20);

/// Wakes subscribers periodically from one task.
///
/// A subscriber that falls behind gets one wake-up for all the periods it
/// missed, so a paused part is not flooded when it returns.
#[derive(Clone, Debug)]
pub struct TimerService {
    table: Arc<TimerTable>,
}

#[derive(Debug)]
struct TimerTable {
    clock: Arc<dyn Clock>,
    entries: Mutex<Vec<TimerEntry>>,
}

#[derive(Debug)]
struct TimerEntry {
    period: Duration,
    due: Moment,
    sender: Sender<Moment>,
}

/// The receiving end of a subscription; dropping it ends the subscription.
#[derive(Debug)]
pub struct TimerSubscription {
    receiver: Receiver<Moment>,
}

impl TimerService {
    /// Starts the service on the process's executor.
    ///
    /// The task ends once every handle has been dropped.
    pub fn start(clock: Arc<dyn Clock>) -> Self {
        let table = Arc::new(TimerTable {
            clock,
            entries: Mutex::new(Vec::new()),
        });
        async_std::task::spawn(run(Arc::downgrade(&table)));
        Self { table }
    }

    /// Subscribes to a wake-up every `period`.
    pub fn subscribe(&self, period: Duration) -> TimerSubscription {
        let (sender, receiver) = bounded(1);
        let due = self.table.clock.now() + period;
        self.table.entries.lock().push(TimerEntry {
            period,
            due,
            sender,
        });
        TimerSubscription { receiver }
    }
}

impl TimerSubscription {
    /// Waits for the next wake-up; `None` once the service has ended.
    pub async fn next(&self) -> Option<Moment> {
        self.receiver.recv().await.ok()
    }
}

impl TimerTable {
    fn fire(&self, now: Moment) -> Duration {
        let mut wait = LONGEST_SLEEP;
        self.entries.lock().retain_mut(|entry| {
            if entry.due <= now {
                let _skipped_when_full = entry.sender.try_send(now);
                entry.due = now + entry.period;
            }
            wait = wait.min(entry.due - now);
            !entry.sender.is_closed()
        });
        wait
    }
}

async fn run(table: Weak<TimerTable>) {
    loop {
        let Some(strong) = table.upgrade() else {
            return;
        };
        let wait = strong.fire(strong.clock.now());
        drop(strong);
        async_std::task::sleep(wait).await;
    }
}
