//! Takeover of the shards of a failure domain that an operator has declared lost.
//!
//! The declaration is stored in the domain's row. Hosts of that domain that read it
//! stop renewing leases. Hosts of other domains wait until all leases that were
//! renewed before that have lapsed, and then take the shards over. The operator is
//! responsible for ensuring that hosts which can't read the row have ended.

use crate::event::Action;
use crate::propose::Proposal;
use crate::{AssignRow, ControlCore, DomainRow, RowContent, RowKey, ShardEntry, TableTransaction};
use kernel::{DomainName, Moment, ServiceName, UpstreamId};
use std::sync::Arc;

impl ControlCore {
    /// Returns whether this host's domain has been declared lost.
    pub(crate) fn is_own_domain_lost(&self) -> bool {
        self.own_domain_row().is_some_and(|row| row.is_lost)
    }

    /// Updates since when each domain is known to be lost.
    pub(crate) fn update_lost_domains(&mut self, now: Moment) {
        let mut lost = Vec::new();
        for (domain, row) in self.rows.domains() {
            if row.is_lost {
                lost.push(domain.clone());
            }
        }
        self.lost_since.retain(|domain, _| lost.contains(domain));
        for domain in lost {
            self.lost_since.entry(domain).or_insert(now);
        }
    }

    /// Proposes to record that a domain is lost, or is back in service.
    pub(crate) fn propose_declarations(&self) -> Option<Proposal> {
        for (domain, is_lost) in &self.pending_declarations {
            let Some(row) = self.rows.domain(domain) else {
                continue;
            };
            if row.is_lost == *is_lost {
                continue;
            }
            let mut next = DomainRow::clone(row);
            next.is_lost = *is_lost;
            let key = RowKey::Domain(domain.clone());
            let write = self.write_over(key, RowContent::Domain(Arc::new(next)));
            return Some(Proposal::single_write(write));
        }
        None
    }

    /// Proposes to take over the shards that a service has in a lost domain.
    pub(crate) fn propose_domain_takeover(&self, now: Moment) -> Option<Proposal> {
        if self.is_own_domain_lost() {
            return None;
        }
        let wait = self.timing.confirmation_duration()
            + self.timing.lease_duration()
            + 2 * self.timing.margin();
        for (domain, since) in &self.lost_since {
            if *domain == self.domain || now <= *since + wait {
                continue;
            }
            // One host of each domain proposes; only one domain's transaction commits.
            if !self.is_first_choice(now, domain.as_str()) {
                continue;
            }
            for (service, owner_domain, row) in self.rows.assigns() {
                let unchecked = self.unchecked_wait(service);
                if owner_domain != domain
                    || row.shards.is_empty()
                    || now <= *since + wait + unchecked
                {
                    continue;
                }
                if let Some(proposal) = self.take_over_shards(now, service, domain, row) {
                    return Some(proposal);
                }
            }
        }
        None
    }

    fn take_over_shards(
        &self,
        now: Moment,
        service: &ServiceName,
        lost_domain: &DomainName,
        row: &AssignRow,
    ) -> Option<Proposal> {
        let no_upstream = UpstreamId::from("");
        let mut candidates = self.candidates(now, service, &no_upstream);
        candidates.retain(|candidate| candidate.is_local);
        let own_row = self.rows.assign(service, &self.domain);
        let mut own_row =
            own_row.map_or_else(AssignRow::default, |own_row| AssignRow::clone(own_row));
        for (shard, entry) in &row.shards {
            let (upstream, _) = self.pick_target_and_count(&mut candidates)?;
            let epoch = entry.epoch.next();
            own_row
                .shards
                .insert(*shard, ShardEntry { upstream, epoch });
        }
        let lost_key = RowKey::Domain(lost_domain.clone());
        let lost_version = self.rows.version(&lost_key);
        let empty_row = RowContent::Assign(Arc::new(AssignRow::default()));
        let own_key = RowKey::Assign(service.clone(), self.domain.clone());
        Some(Proposal {
            transaction: TableTransaction {
                checks: vec![(lost_key, lost_version)],
                writes: vec![
                    self.write_over(
                        RowKey::Assign(service.clone(), lost_domain.clone()),
                        empty_row,
                    ),
                    self.write_over(own_key, RowContent::Assign(Arc::new(own_row))),
                ],
            },
            taken_shards: Vec::new(),
        })
    }

    /// Stores a declaration and requests a read of the table.
    ///
    /// The read ensures that the declaration is written over the newest row.
    pub(crate) fn record_declaration(&mut self, domain: DomainName, is_lost: bool) {
        self.pending_declarations.insert(domain, is_lost);
        if !self.table.is_reading {
            self.table.is_reading = true;
            self.push_action(Action::ReadTable);
        }
    }

    /// Removes the pending declarations that have been written to a row.
    pub(crate) fn remove_written_declarations(&mut self) {
        let rows = &self.rows;
        self.pending_declarations.retain(|domain, is_lost| {
            rows.domain(domain)
                .is_some_and(|row| row.is_lost != *is_lost)
        });
    }
}
