//! Reachability of the table, and the open transaction.

use crate::{CommitId, RowCache, TableTransaction};
use kernel::Moment;
use std::time::Duration;

/// Delay before the next attempt after the table has failed to answer.
const RETRY_DELAY: Duration = Duration::from_millis(150);

/// A transaction whose outcome is not yet known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct OpenCommit {
    pub id: CommitId,
    pub transaction: TableTransaction,
    /// Whether no answer was received, so that it may have taken effect.
    pub is_unknown: bool,
}

/// State of this host's reads and transactions on the table.
#[derive(Clone, Debug, Default)]
pub(crate) struct TableState {
    /// When the latest successful read was requested.
    pub read_started: Option<Moment>,
    pub is_reading: bool,
    pub is_read_requested: bool,
    /// When the table began to fail; `None` while it answers.
    pub failing_since: Option<Moment>,
    pub open_commit: Option<OpenCommit>,
    pub next_attempt_at: Moment,
    next_id: u64,
}

impl TableState {
    /// Makes `transaction` the open one and returns its number.
    pub fn begin_commit(&mut self, transaction: TableTransaction) -> CommitId {
        self.next_id += 1;
        let id = CommitId(self.next_id);
        self.open_commit = Some(OpenCommit {
            id,
            transaction,
            is_unknown: false,
        });
        id
    }

    /// Records that the table did not answer.
    pub fn record_failure(&mut self, now: Moment) {
        self.failing_since.get_or_insert(now);
        self.next_attempt_at = now + RETRY_DELAY;
    }

    /// Records that the table answered.
    pub fn record_answer(&mut self) {
        self.failing_since = None;
    }

    /// Closes a transaction of unknown outcome once it can't take effect any more.
    ///
    /// When a row that it writes has a version above the base version, it has either
    /// taken effect or never will. Until then it may still take effect, so it stays
    /// open and is sent again unchanged.
    pub fn resolve_unknown(&mut self, rows: &RowCache) -> bool {
        let Some(open) = &self.open_commit else {
            return false;
        };
        let is_settled = open
            .transaction
            .writes
            .iter()
            .any(|write| rows.version(&write.key) > write.base);
        let is_settled = is_settled && open.is_unknown;
        if is_settled {
            self.open_commit = None;
        }
        is_settled
    }
}
