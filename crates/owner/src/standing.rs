//! The right to renew leases, and reads of the table.

use crate::ControlCore;
use crate::event::Action;
use kernel::{HostId, Moment};
use member::witness_set;
use std::time::Duration;

const FIRST_READ_PAUSE: Duration = Duration::from_millis(100);
const BACKGROUND_READ_FACTOR: u32 = 10;

impl ControlCore {
    /// Returns until when the own standing is confirmed.
    ///
    /// Either a quorum of witnesses, none of which knows a newer domain row,
    /// or a read of the table counts, from the moment that it was asked for.
    pub fn standing_until(&self) -> Option<Moment> {
        let by_witnesses = self.witnessed_at();
        let by_table = self.table.read_started;
        let confirmed_at = by_witnesses.max(by_table)?;
        Some(confirmed_at + self.timing.confirm())
    }

    /// Returns whether the own standing is confirmed.
    pub fn has_authority(&self, now: Moment) -> bool {
        self.standing_until().is_some_and(|end| now < end)
    }

    fn witnessed_at(&self) -> Option<Moment> {
        let row = self.own_row()?;
        let witnesses = witness_set(&self.me, row.hosts.keys());
        self.peers.confirmed_at(&witnesses)
    }

    pub(crate) fn read_table_if_due(&mut self, now: Moment) {
        if self.table.is_reading || now < self.table.not_before {
            return;
        }
        if !self.is_read_due(now) {
            return;
        }
        self.table.is_reading = true;
        self.act(Action::ReadTable);
    }

    fn is_read_due(&self, now: Moment) -> bool {
        if self.table.wants_read {
            return true;
        }
        let Some(last) = self.table.read_started else {
            return true;
        };
        if self.own_row().is_none() {
            return now - last >= FIRST_READ_PAUSE;
        }
        let needs_table = !self.held.is_empty()
            && self
                .witnessed_at()
                .is_none_or(|at| now - at > self.timing.confirm() / 2);
        if needs_table {
            return now - last >= self.timing.confirm() / 3;
        }
        let pause = if self.is_table_reader(now) {
            self.timing.read()
        } else {
            self.timing.read() * BACKGROUND_READ_FACTOR
        };
        now - last >= pause
    }

    /// Returns whether this host reads the table on behalf of its domain.
    pub fn is_table_reader(&self, now: Moment) -> bool {
        self.is_first_choice(now, "reader")
    }

    /// Returns whether this host comes first for `subject` in its domain.
    pub(crate) fn is_first_choice(&self, now: Moment, subject: &str) -> bool {
        let Some(row) = self.own_row() else {
            return true;
        };
        self.first_choice(now, subject, row.hosts.keys()) == Some(&self.me)
    }

    /// Returns the available host of greatest weight for `subject`.
    pub(crate) fn first_choice<'a>(
        &self,
        now: Moment,
        subject: &str,
        hosts: impl Iterator<Item = &'a HostId>,
    ) -> Option<&'a HostId> {
        let available = hosts.filter(|host| self.is_candidate(now, host));
        available.max_by_key(|host| member::weight(subject, host.name()))
    }

    fn is_candidate(&self, now: Moment, host: &HostId) -> bool {
        if *host == self.me {
            return !self.is_leaving;
        }
        self.peers.is_available(now, host)
    }
}
