//! Reads of the table that came back, and transactions that ended.

use crate::event::Action;
use crate::{CommitId, CommitOutcome, ControlCore, VersionedRow};
use kernel::Moment;

impl ControlCore {
    pub(crate) fn note_table_read(&mut self, now: Moment, started: Moment, rows: &[VersionedRow]) {
        self.table.is_reading = false;
        self.table.wants_read = false;
        self.table.record_answer();
        self.learn_rows(now, rows, None);
        self.table.read_started = self.table.read_started.max(Some(started));
        for held in self.held.values_mut() {
            if held.has_fresh_rows || started < held.claim.learnt_at {
                continue;
            }
            held.has_fresh_rows = true;
            held.book.hasten(now);
        }
        // A read that began before the claim was learnt of does not do.
        let has_open_claim = self.held.values().any(|held| !held.has_fresh_rows);
        self.table.wants_read |= has_open_claim;
        self.resend_unknown();
    }

    /// Sends a transaction again whose answer was lost and that has no effect yet.
    pub(crate) fn resend_unknown(&mut self) {
        let Some(open) = &mut self.table.open else {
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
        self.act(action);
    }

    pub(crate) fn end_commit(&mut self, now: Moment, id: CommitId, outcome: CommitOutcome) {
        if self.table.open.as_ref().is_none_or(|open| open.id != id) {
            if let CommitOutcome::Committed(rows) = outcome {
                self.learn_rows(now, &rows, None);
            }
            return;
        }
        match outcome {
            CommitOutcome::Committed(rows) => {
                self.table.open = None;
                self.table.record_answer();
                self.learn_rows(now, &rows, None);
            }
            CommitOutcome::Conflict => {
                self.table.open = None;
                self.table.record_answer();
                self.table.wants_read = true;
            }
            CommitOutcome::NotAttempted => {
                self.table.open = None;
                self.table.record_failure(now);
            }
            CommitOutcome::Unknown => {
                self.table.record_failure(now);
                self.table.wants_read = true;
                if let Some(open) = &mut self.table.open {
                    open.is_unknown = true;
                }
            }
        }
        self.clear_committing();
        self.read_table_if_due(now);
    }

    pub(crate) fn clear_committing(&mut self) {
        if self.table.open.is_some() {
            return;
        }
        for held in self.held.values_mut() {
            held.committing.clear();
        }
    }
}
