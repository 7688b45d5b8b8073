//! What is known of the table's reachability and of open transactions.

use crate::{CommitId, RowCache, TableTransaction};
use kernel::Moment;
use std::time::Duration;

/// Between attempts to reach a table that fails.
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// A transaction whose outcome is open.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct OpenCommit {
    pub id: CommitId,
    pub transaction: TableTransaction,
    /// Whether an answer was lost, so that it may have taken effect.
    pub is_unknown: bool,
}

/// Reads and transactions of this host.
#[derive(Clone, Debug, Default)]
pub(crate) struct TableState {
    /// Start of the latest successful read.
    pub read_started: Option<Moment>,
    pub is_reading: bool,
    pub wants_read: bool,
    /// Since when the table has not answered; `None` while it does.
    pub failing_since: Option<Moment>,
    pub open: Option<OpenCommit>,
    pub not_before: Moment,
    next_id: u64,
}

impl TableState {
    /// Opens a transaction and returns its number.
    pub fn open(&mut self, transaction: TableTransaction) -> CommitId {
        self.next_id += 1;
        let id = CommitId(self.next_id);
        self.open = Some(OpenCommit {
            id,
            transaction,
            is_unknown: false,
        });
        id
    }

    /// Notes that the table did not answer.
    pub fn record_failure(&mut self, now: Moment) {
        self.failing_since.get_or_insert(now);
        self.not_before = now + RETRY_PAUSE;
    }

    /// Notes that the table answered.
    pub fn record_answer(&mut self) {
        self.failing_since = None;
    }

    /// Closes an unknown transaction once the rows prove its outcome.
    ///
    /// A row that it writes having passed the base version proves that it took
    /// effect or never can. Until then it may still take effect late, so it
    /// stays open and is sent again, unchanged.
    pub fn resolve_unknown(&mut self, rows: &RowCache) -> bool {
        let Some(open) = &self.open else {
            return false;
        };
        let is_settled = open
            .transaction
            .writes
            .iter()
            .any(|write| rows.version(&write.key) > write.base);
        let is_settled = is_settled && open.is_unknown;
        if is_settled {
            self.open = None;
        }
        is_settled
    }
}
