//! Authority to renew leases, and the reads of the table that confirm it.

use crate::ControlCore;
use crate::event::Action;
use kernel::{HostId, Moment};
use member::witness_set;
use std::time::Duration;

const FIRST_READ_INTERVAL: Duration = Duration::from_millis(100);
/// How many times longer the read interval is on hosts that are not their domain's
/// reader.
const BACKGROUND_READ_FACTOR: u32 = 10;

impl ControlCore {
    /// Returns until when this host has the authority to renew leases.
    ///
    /// The authority is confirmed by a quorum of witnesses, none of which knows a newer
    /// domain row, or by a read of the table. A confirmation is valid for a limited
    /// time, which counts from when it was requested.
    pub fn authority_until(&self) -> Option<Moment> {
        let by_witnesses = self.witnessed_at();
        let by_table = self.table.read_started;
        let confirmed_at = by_witnesses.max(by_table)?;
        Some(confirmed_at + self.timing.confirmation_duration())
    }

    /// Returns whether this host has the authority to renew leases at `now`.
    pub fn has_authority(&self, now: Moment) -> bool {
        self.authority_until().is_some_and(|end| now < end)
    }

    fn witnessed_at(&self) -> Option<Moment> {
        let row = self.own_domain_row()?;
        let witnesses = witness_set(&self.host_id, row.hosts.keys());
        self.peers.confirmed_at(&witnesses)
    }

    pub(crate) fn read_table_if_due(&mut self, now: Moment) {
        if self.table.is_reading || now < self.table.next_attempt_at {
            return;
        }
        if !self.is_read_due(now) {
            return;
        }
        self.table.is_reading = true;
        self.push_action(Action::ReadTable);
    }

    fn is_read_due(&self, now: Moment) -> bool {
        if self.table.is_read_requested {
            return true;
        }
        let Some(last) = self.table.read_started else {
            return true;
        };
        if self.own_domain_row().is_none() {
            return now - last >= FIRST_READ_INTERVAL;
        }
        let needs_table = !self.primary_upstreams.is_empty()
            && self
                .witnessed_at()
                .is_none_or(|at| now - at > self.timing.confirmation_duration() / 2);
        if needs_table {
            return now - last >= self.timing.confirmation_duration() / 3;
        }
        let interval = if self.is_table_reader(now) {
            self.timing.read_interval()
        } else {
            self.timing.read_interval() * BACKGROUND_READ_FACTOR
        };
        now - last >= interval
    }

    /// Returns whether this host reads the table on behalf of its domain.
    pub fn is_table_reader(&self, now: Moment) -> bool {
        self.is_first_choice(now, "reader")
    }

    /// Returns whether this host is its domain's first choice for `subject`.
    pub(crate) fn is_first_choice(&self, now: Moment, subject: &str) -> bool {
        let Some(row) = self.own_domain_row() else {
            return true;
        };
        self.first_choice(now, subject, row.hosts.keys()) == Some(&self.host_id)
    }

    /// Returns the available host with the greatest rendezvous weight for `subject`.
    pub(crate) fn first_choice<'a>(
        &self,
        now: Moment,
        subject: &str,
        hosts: impl Iterator<Item = &'a HostId>,
    ) -> Option<&'a HostId> {
        let available = hosts.filter(|host| self.is_eligible(now, host));
        available.max_by_key(|host| member::weight(subject, host.name()))
    }

    fn is_eligible(&self, now: Moment, host: &HostId) -> bool {
        if *host == self.host_id {
            return !self.is_leaving;
        }
        self.peers.is_available(now, host)
    }
}
