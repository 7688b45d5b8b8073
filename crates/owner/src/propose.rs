//! Selection of the next transaction to propose.
//!
//! One transaction is open at a time. Each proposal is computed from the newest
//! known rows, so a conflict requires only another read of the table.

use crate::event::Action;
use crate::{ControlCore, DomainRow, RowContent, RowKey, RowWrite, TableTransaction};
use kernel::{Moment, ShardId, UpstreamId};
use std::sync::Arc;

/// A transaction and the shards that it takes away from primary upstreams.
#[derive(Clone, Debug, Default)]
pub(crate) struct Proposal {
    pub transaction: TableTransaction,
    pub taken_shards: Vec<(UpstreamId, ShardId)>,
}

impl Proposal {
    pub fn single_write(write: RowWrite) -> Self {
        Self {
            transaction: TableTransaction {
                checks: Vec::new(),
                writes: vec![write],
            },
            taken_shards: Vec::new(),
        }
    }
}

impl ControlCore {
    pub(crate) fn propose(&mut self, now: Moment) {
        if self.table.open_commit.is_some() || now < self.table.next_attempt_at {
            return;
        }
        if self.table.read_started.is_none() || self.table.is_read_requested {
            return;
        }
        let Some(proposal) = self.next_proposal(now) else {
            return;
        };
        for (upstream, shard) in &proposal.taken_shards {
            let Some(state) = self.primary_upstreams.get_mut(upstream) else {
                continue;
            };
            state.committing.insert(*shard);
        }
        let transaction = proposal.transaction;
        let id = self.table.begin_commit(transaction.clone());
        self.push_action(Action::Commit { id, transaction });
    }

    /// Returns the most urgent proposal.
    fn next_proposal(&self, now: Moment) -> Option<Proposal> {
        self.propose_reassignment(now)
            .or_else(|| self.propose_claims(now))
            .or_else(|| self.propose_moves(now))
            .or_else(|| self.propose_bootstrap(now))
            .or_else(|| self.propose_declarations())
            .or_else(|| self.propose_domain_takeover(now))
            .or_else(|| self.propose_upstream_states(now))
            .or_else(|| self.propose_join())
            .or_else(|| self.propose_fenced_record())
            .or_else(|| self.propose_primary_rebalance(now))
            .or_else(|| self.propose_removal(now))
    }

    /// Builds a write of a row that is conditional on its known version.
    pub(crate) fn write_over(&self, key: RowKey, content: RowContent) -> RowWrite {
        RowWrite {
            base: self.rows.version(&key),
            key,
            content,
        }
    }

    /// Builds a write of the row of this host's domain.
    ///
    /// It also removes the previous primaries from the entries of upstreams that
    /// have accepted this host's epoch.
    pub(crate) fn write_own_domain_row(&self, mut row: DomainRow) -> RowWrite {
        for (id, state) in &self.primary_upstreams {
            if !state.lease.has_fenced_older_epochs() {
                continue;
            }
            let Some(entry) = row.upstreams.get_mut(id) else {
                continue;
            };
            if entry.primary == self.host_id && entry.epoch == state.lease.epoch() {
                entry.unfenced.clear();
            }
        }
        self.write_over(
            RowKey::Domain(self.domain.clone()),
            RowContent::Domain(Arc::new(row)),
        )
    }

    /// Returns the check that the row of this host's domain has its known version.
    pub(crate) fn own_domain_row_check(&self) -> (RowKey, kernel::Version) {
        let key = RowKey::Domain(self.domain.clone());
        let version = self.rows.version(&key);
        (key, version)
    }
}
