//! What a leader may believe of the rows of a store that was restored from a copy.
//!
//! After a restore, the rows of the lease and of the owners are those of an earlier time,
//! or missing. Upstreams may hold keys under grants that no row tells of, and a leader of
//! the time before the restore may still hold its lease.

use crate::floor::era_of;
use crate::{GrantTiming, LeaseClaimant, LeaseRow, OwnerMap, term_of};
use kernel::Moment;
use std::time::Duration;

/// Owners of a service's keys that a new leader has found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FoundOwners {
    /// The store's row names all upstreams that may hold keys.
    Current(OwnerMap),
    /// The row has gone back, is missing or can't be read.
    Outdated {
        /// The latest owners that are known, from which others may have taken over keys;
        /// empty if none are known.
        latest: OwnerMap,
        /// Time at which the last grant has lapsed that may be in force.
        fenced_until: Moment,
    },
}

/// Detects rows that have gone back, by the store's era and the terms that a host knows of.
///
/// Terms and epochs carry the era in which they were issued, see
/// [`TermFloor`](crate::TermFloor::record_era). A row whose newest one is of an earlier
/// era may be from before the restore, and others may have been written after it.
#[derive(Clone, Copy, Debug, Default)]
pub struct RestoreGuard {
    /// The latest era, and when this host first had an answer of it.
    latest: Option<(u64, Moment)>,
}

impl RestoreGuard {
    /// Records an answer of the store; `era` is 0 if it tells none.
    pub fn record_era(&mut self, now: Moment, era: u64) {
        if self.latest.is_none_or(|(latest, _)| latest < era) {
            self.latest = Some((era, now));
        }
    }

    fn era(&self) -> u64 {
        self.latest.map_or(0, |(era, _)| era)
    }

    /// Returns whether the lease's row, or its absence, tells of the last leader;
    /// `known_term` is the greatest term that this host knows to have been taken.
    pub fn is_lease_current(&self, row: Option<&LeaseRow>, known_term: u64) -> bool {
        match row {
            Some(row) => era_of(row.term) >= self.era() && row.term >= known_term,
            // In era 0, no lease has been lost with a restore.
            None => self.era() == 0 && known_term == 0,
        }
    }

    /// Returns whether a row of owners has been written in the store's present era.
    pub fn is_owner_row_current(&self, map: &OwnerMap) -> bool {
        era_of(term_of(map.greatest_epoch())) >= self.era()
    }

    /// Returns the time at which the lease of a leader from before the restore has ended.
    ///
    /// No host takes a lease whose row has gone back before that: there would be two
    /// leaders.
    pub fn earlier_lease_end(&self, timing: &GrantTiming) -> Moment {
        let since = self.latest.map_or(Moment::ZERO, |(_, since)| since);
        since + with_clock_lag(timing.leader_lease)
    }

    /// Returns whether a leader whose write met another version may go on with what it
    /// knows. Its lease must have been valid when the row was read: then no other host
    /// has led since it was taken, unless the row says so.
    pub fn may_resume(row: Option<&LeaseRow>, own_term: u64, claimant: &LeaseClaimant<'_>) -> bool {
        row.is_none_or(|row| row.term < own_term || row.belongs_to(claimant))
    }

    /// Returns until when upstreams may hold keys of which a new leader does not know,
    /// other than by a row of owners that has gone back.
    ///
    /// `is_current` is the result of [`Self::is_lease_current`], and `store_now_ms` the
    /// store's time when the row was read.
    pub fn fence_end(
        now: Moment,
        row: Option<&LeaseRow>,
        is_current: bool,
        store_now_ms: u64,
        timing: &GrantTiming,
    ) -> Moment {
        if !is_current {
            return now + timing.max_validity();
        }
        let until_ms = row.and_then(|row| row.fenced_until_ms).unwrap_or(0);
        now + with_clock_lag(Duration::from_millis(until_ms.saturating_sub(store_now_ms)))
    }

    /// Returns what the owners in the store are worth; `row` is `None` if the row is
    /// missing or can't be read, and `known` are the newest owners that this host
    /// remembers.
    ///
    /// Returns `None` if there have never been any.
    pub fn judge_owners(
        &self,
        now: Moment,
        row: Option<OwnerMap>,
        known: Option<&OwnerMap>,
        is_lease_current: bool,
        timing: &GrantTiming,
    ) -> Option<FoundOwners> {
        let known_epoch = known.map_or(0, OwnerMap::greatest_epoch);
        let row_epoch = row.as_ref().map_or(0, OwnerMap::greatest_epoch);
        let latest = if known_epoch > row_epoch {
            known.cloned()
        } else {
            if let Some(map) = &row
                && is_lease_current
                && self.is_owner_row_current(map)
            {
                return row.map(FoundOwners::Current);
            }
            row
        };
        Some(FoundOwners::Outdated {
            latest: latest?,
            fenced_until: now + timing.max_validity(),
        })
    }
}

/// Returns a duration of the store's or another host's clock, which may run slow.
fn with_clock_lag(duration: Duration) -> Duration {
    GrantTiming::expiry_bound_after_arrival(duration)
}
