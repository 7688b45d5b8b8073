//! Removal of journal entries that have expired.

use crate::hub::ControlHub;
use kernel::{TimerService, wall_clock_ms};
use log::{info, warn};
use retry::JournalEntry;
use std::rc::Rc;
use std::time::Duration;
use store::{StoreRow, StoreTransaction};

const SWEEP_INTERVAL: Duration = Duration::from_mins(10);
const JOURNAL_PREFIX: &str = "journal/";
const MAX_ROWS_PER_TRANSACTION: usize = 64;
/// Delay between transactions, which leaves part of the platform's write rate to
/// others during a long sweep.
const BATCH_DELAY: Duration = Duration::from_millis(100);

impl ControlHub {
    /// Starts periodic sweeps of the journal.
    ///
    /// Only the host that reads the table on behalf of its domain sweeps.
    pub fn start_sweeps(self: &Rc<Self>, timers: &TimerService) {
        let hub = Rc::clone(self);
        let ticks = timers.subscribe(SWEEP_INTERVAL);
        async_std::task::spawn_local(async move {
            while ticks.next().await.is_some() && !hub.scope.is_closed() {
                let is_reader = hub.core.borrow().is_table_reader(hub.clock.now());
                if is_reader {
                    hub.sweep_journal().await;
                }
            }
        });
    }

    /// Removes all expired entries.
    pub async fn sweep_journal(&self) {
        let Ok(rows) = self.ports.table.scan(&[JOURNAL_PREFIX]).await else {
            return;
        };
        let expired = expired_rows(&rows, wall_clock_ms());
        let mut removed = 0;
        for batch in expired.chunks(MAX_ROWS_PER_TRANSACTION) {
            let mut transaction = StoreTransaction::default();
            for row in batch {
                transaction.write(&row.key, row.version, serde_json::Value::Null);
            }
            match self.ports.table.commit(&transaction).await {
                Ok(_) => removed += batch.len(),
                Err(error) => warn!(target: "journal", "expired entries not removed: {error}"),
            }
            async_std::task::sleep(BATCH_DELAY).await;
        }
        info!(target: "journal", "swept={removed} of={}", rows.len());
    }
}

/// Returns the rows whose entries have expired by `now_ms`.
pub(crate) fn expired_rows(rows: &[StoreRow], now_ms: u64) -> Vec<&StoreRow> {
    let mut expired = Vec::new();
    for row in rows {
        let Ok(entry) = serde_json::from_value::<JournalEntry>(row.value.clone()) else {
            continue;
        };
        if entry.expires_at_ms <= now_ms {
            expired.push(row);
        }
    }
    expired
}
