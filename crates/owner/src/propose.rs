//! Which transaction to propose next.
//!
//! One transaction is open at a time. Proposals are computed afresh from the
//! newest known rows, so a conflict needs no repair beyond reading again.

use crate::event::Action;
use crate::{ControlCore, DomainRow, RowContent, RowKey, RowWrite, TableTransaction};
use kernel::{Moment, ShardId, UpstreamId};
use std::sync::Arc;

/// A transaction and the shards that it takes away from held upstreams.
#[derive(Clone, Debug, Default)]
pub(crate) struct Proposal {
    pub transaction: TableTransaction,
    pub taken: Vec<(UpstreamId, ShardId)>,
}

impl Proposal {
    pub fn of_write(write: RowWrite) -> Self {
        Self {
            transaction: TableTransaction {
                checks: Vec::new(),
                writes: vec![write],
            },
            taken: Vec::new(),
        }
    }
}

impl ControlCore {
    pub(crate) fn propose(&mut self, now: Moment) {
        if self.table.open.is_some() || now < self.table.not_before {
            return;
        }
        if self.table.read_started.is_none() || self.table.wants_read {
            return;
        }
        let Some(proposal) = self.next_proposal(now) else {
            return;
        };
        for (upstream, shard) in &proposal.taken {
            let Some(held) = self.held.get_mut(upstream) else {
                continue;
            };
            held.committing.insert(*shard);
        }
        let transaction = proposal.transaction;
        let id = self.table.open(transaction.clone());
        self.act(Action::Commit { id, transaction });
    }

    /// Returns the first proposal, the most pressing need first.
    fn next_proposal(&self, now: Moment) -> Option<Proposal> {
        self.propose_reassignment(now)
            .or_else(|| self.propose_claims(now))
            .or_else(|| self.propose_moves(now))
            .or_else(|| self.propose_bootstrap(now))
            .or_else(|| self.propose_declarations())
            .or_else(|| self.propose_adoption(now))
            .or_else(|| self.propose_states(now))
            .or_else(|| self.propose_join())
            .or_else(|| self.propose_fenced())
            .or_else(|| self.propose_rebalance(now))
            .or_else(|| self.propose_removal(now))
    }

    /// Builds the write of a row over its known version.
    pub(crate) fn write_over(&self, key: RowKey, content: RowContent) -> RowWrite {
        RowWrite {
            base: self.rows.version(&key),
            key,
            content,
        }
    }

    /// Builds the write of the own domain's row.
    ///
    /// Entries of held upstreams that have accepted the own epoch are cleared
    /// of earlier primaries on the way.
    pub(crate) fn write_own_row(&self, mut row: DomainRow) -> RowWrite {
        for (id, held) in &self.held {
            if !held.book.is_fenced() {
                continue;
            }
            let Some(entry) = row.upstreams.get_mut(id) else {
                continue;
            };
            if entry.primary == self.me && entry.epoch == held.book.epoch() {
                entry.unfenced.clear();
            }
        }
        self.write_over(
            RowKey::Domain(self.domain.clone()),
            RowContent::Domain(Arc::new(row)),
        )
    }

    /// Returns the check that the own domain's row is as known.
    pub(crate) fn own_row_check(&self) -> (RowKey, kernel::Version) {
        let key = RowKey::Domain(self.domain.clone());
        let version = self.rows.version(&key);
        (key, version)
    }
}
