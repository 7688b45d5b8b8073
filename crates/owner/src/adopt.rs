//! Shards of a failure domain that an operator has declared lost.
//!
//! The declaration stands in the domain's row. Hosts of that domain that read it
//! stop renewing; hosts of other domains wait until whatever they renewed before
//! has lapsed, and then take the shards over. The operator vouches that hosts
//! which can't read the row have ended.

use crate::event::Action;
use crate::propose::Proposal;
use crate::{AssignRow, ControlCore, DomainRow, RowContent, RowKey, ShardEntry, TableTransaction};
use kernel::{DomainName, Moment, ServiceName, UpstreamId};
use std::sync::Arc;

impl ControlCore {
    /// Returns whether the own domain has been declared lost.
    pub(crate) fn is_own_domain_lost(&self) -> bool {
        self.own_row().is_some_and(|row| row.is_lost)
    }

    /// Notes since when each domain is known to be lost.
    pub(crate) fn note_lost_domains(&mut self, now: Moment) {
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

    /// Writes down that a domain is lost, or is back.
    pub(crate) fn propose_declarations(&self) -> Option<Proposal> {
        for (domain, is_lost) in &self.declarations {
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
            return Some(Proposal::of_write(write));
        }
        None
    }

    /// Takes over the shards that a service has in a lost domain.
    pub(crate) fn propose_adoption(&self, now: Moment) -> Option<Proposal> {
        if self.is_own_domain_lost() {
            return None;
        }
        let wait = self.timing.confirm() + self.timing.lease() + 2 * self.timing.margin();
        for (domain, since) in &self.lost_since {
            if *domain == self.domain || now <= *since + wait {
                continue;
            }
            // One host of each domain proposes; of several domains one commits.
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
                if let Some(proposal) = self.adopt(now, service, domain, row) {
                    return Some(proposal);
                }
            }
        }
        None
    }

    fn adopt(
        &self,
        now: Moment,
        service: &ServiceName,
        lost: &DomainName,
        row: &AssignRow,
    ) -> Option<Proposal> {
        let nobody = UpstreamId::from("");
        let mut candidates = self.candidates(now, service, &nobody);
        candidates.retain(|candidate| candidate.is_local);
        let own = self.rows.assign(service, &self.domain);
        let mut own = own.map_or_else(AssignRow::default, |own| AssignRow::clone(own));
        for (shard, entry) in &row.shards {
            let (upstream, _) = self.pick_and_count(&mut candidates)?;
            let epoch = entry.epoch.next();
            own.shards.insert(*shard, ShardEntry { upstream, epoch });
        }
        let lost_key = RowKey::Domain(lost.clone());
        let lost_version = self.rows.version(&lost_key);
        let emptied = RowContent::Assign(Arc::new(AssignRow::default()));
        let own_key = RowKey::Assign(service.clone(), self.domain.clone());
        Some(Proposal {
            transaction: TableTransaction {
                checks: vec![(lost_key, lost_version)],
                writes: vec![
                    self.write_over(RowKey::Assign(service.clone(), lost.clone()), emptied),
                    self.write_over(own_key, RowContent::Assign(Arc::new(own))),
                ],
            },
            taken: Vec::new(),
        })
    }

    /// Asks for a read, so that a declaration is written over the newest row.
    pub(crate) fn declare(&mut self, domain: DomainName, is_lost: bool) {
        self.declarations.insert(domain, is_lost);
        if !self.table.is_reading {
            self.table.is_reading = true;
            self.act(Action::ReadTable);
        }
    }

    /// Forgets declarations that a row holds by now.
    pub(crate) fn forget_written_declarations(&mut self) {
        let rows = &self.rows;
        self.declarations.retain(|domain, is_lost| {
            rows.domain(domain)
                .is_some_and(|row| row.is_lost != *is_lost)
        });
    }
}
