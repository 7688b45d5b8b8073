//! Handling of completed reads and transactions of the table.

use crate::event::Action;
use crate::{CommitId, CommitOutcome, ControlCore, VersionedRow};
use kernel::Moment;

impl ControlCore {
    pub(crate) fn apply_table_read(
        &mut self,
        now: Moment,
        started_at: Moment,
        rows: &[VersionedRow],
    ) {
        self.table.is_reading = false;
        self.table.is_read_requested = false;
        self.table.record_answer();
        self.apply_rows(now, rows, None);
        self.table.read_started = self.table.read_started.max(Some(started_at));
        for state in self.primary_upstreams.values_mut() {
            if state.has_fresh_rows || started_at < state.claim.learned_at {
                continue;
            }
            state.has_fresh_rows = true;
            state.lease.schedule_request(now);
        }
        // A read that was requested before the claim was seen is not recent enough.
        let has_open_claim = self
            .primary_upstreams
            .values()
            .any(|state| !state.has_fresh_rows);
        self.table.is_read_requested |= has_open_claim;
        self.resend_unknown();
    }

    /// Sends the open transaction again if its answer was lost and it has not been
    /// seen to take effect.
    pub(crate) fn resend_unknown(&mut self) {
        let Some(open) = &mut self.table.open_commit else {
            return;
        };
        if !open.is_unknown {
            return;
        }
        open.is_unknown = false;
        let action = Action::Commit {
            id: open.id,
            transaction: open.transaction.clone(),
        };
        self.push_action(action);
    }

    pub(crate) fn end_commit(&mut self, now: Moment, id: CommitId, outcome: CommitOutcome) {
        if self
            .table
            .open_commit
            .as_ref()
            .is_none_or(|open| open.id != id)
        {
            if let CommitOutcome::Committed(rows) = outcome {
                self.apply_rows(now, &rows, None);
            }
            return;
        }
        match outcome {
            CommitOutcome::Committed(rows) => {
                self.table.open_commit = None;
                self.table.record_answer();
                self.apply_rows(now, &rows, None);
            }
            CommitOutcome::Conflict => {
                self.table.open_commit = None;
                self.table.record_answer();
                self.table.is_read_requested = true;
            }
            CommitOutcome::NotAttempted => {
                self.table.open_commit = None;
                self.table.record_failure(now);
            }
            CommitOutcome::Unknown => {
                self.table.record_failure(now);
                self.table.is_read_requested = true;
                if let Some(open) = &mut self.table.open_commit {
                    open.is_unknown = true;
                }
            }
        }
        self.clear_committing();
        self.read_table_if_due(now);
    }

    pub(crate) fn clear_committing(&mut self) {
        if self.table.open_commit.is_some() {
            return;
        }
        for state in self.primary_upstreams.values_mut() {
            state.committing.clear();
        }
    }
}
