//! The upstreams that a host knows, and which of them may be used.

use crate::{ReportedState, UpstreamEntry};
use indexmap::IndexMap;
use kernel::{Moment, ServiceName, UpstreamId};
use std::time::Duration;

/// Grace periods of a [`FleetView`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetTiming {
    /// Time for which an upstream without an entry stays in use; less than the time
    /// within which a leaving upstream must get no more requests.
    pub missing_grace: Duration,
    /// Time for which an upstream without an entry stays in use after the store last
    /// failed to answer; entries that lapsed in an outage are back about 2 s after it.
    pub outage_grace: Duration,
}

impl Default for FleetTiming {
    fn default() -> Self {
        Self {
            missing_grace: Duration::from_secs(1),
            outage_grace: Duration::from_millis(2_400),
        }
    }
}

/// State of an upstream's entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Presence {
    /// The entry is in the store, and the upstream is not leaving.
    Listed,
    /// The upstream reported at this time that it is leaving.
    Leaving(Moment),
    /// The entry lapsed; the upstream is considered gone from this time on.
    Missing(Moment),
}

/// An upstream that a host knows.
#[derive(Clone, Debug, PartialEq)]
pub struct KnownUpstream {
    /// Its last known entry.
    pub entry: UpstreamEntry,
    /// State of its entry.
    pub presence: Presence,
    /// Time at which the entry of this run was first seen.
    pub first_seen_at: Moment,
    /// Time until which it is slow after its start.
    pub cold_until: Moment,
    /// When its presence last changed.
    pub presence_since: Moment,
    /// Version of its entry's row; 0 if unknown.
    pub row_version: u64,
}

impl KnownUpstream {
    /// Returns whether it may be sent new requests.
    pub fn accepts_requests(&self, now: Moment) -> bool {
        match self.presence {
            Presence::Listed => true,
            Presence::Leaving(_) => false,
            Presence::Missing(gone_at) => now < gone_at,
        }
    }

    /// Returns whether its entry is in the store and it is not leaving; then it still
    /// holds the work and keys it was given.
    pub fn is_listed(&self) -> bool {
        matches!(self.presence, Presence::Listed)
    }
}

/// Known upstreams with the states of their entries.
#[derive(Clone, Debug)]
pub struct FleetView {
    timing: FleetTiming,
    upstreams: IndexMap<UpstreamId, KnownUpstream>,
    /// When the last outage of the store began.
    outage_since: Moment,
    /// Time until which lapsed entries are attributed to that outage.
    outage_until: Moment,
}

impl FleetView {
    /// Creates an empty view.
    pub fn new(timing: FleetTiming) -> Self {
        Self {
            timing,
            upstreams: IndexMap::new(),
            outage_since: Moment::ZERO,
            outage_until: Moment::ZERO,
        }
    }

    /// Sets the grace periods; those that have begun are not changed.
    pub fn set_timing(&mut self, timing: FleetTiming) {
        self.timing = timing;
    }

    /// Returns the upstream with this id.
    pub fn get(&self, id: &str) -> Option<&KnownUpstream> {
        self.upstreams.get(id)
    }

    /// Iterates over all upstreams.
    pub fn iter(&self) -> impl Iterator<Item = &KnownUpstream> {
        self.upstreams.values()
    }

    /// Iterates over the upstreams of a service.
    pub fn of_service<'a>(
        &'a self,
        service: &'a ServiceName,
    ) -> impl Iterator<Item = &'a KnownUpstream> {
        self.iter()
            .filter(move |known| known.entry.service == *service)
    }

    /// Adds or updates an entry; returns whether the entry or its presence changed.
    pub fn apply(&mut self, now: Moment, entry: UpstreamEntry) -> bool {
        self.apply_row(now, 0, entry, false)
    }

    /// Adds or updates the entry in a row of a version.
    ///
    /// `is_cold_limited` says that the service limits the requests to its cold upstreams.
    /// A newer row of the same run then says anew how cold the upstream is, as it may
    /// become cold again.
    pub fn apply_row(
        &mut self,
        now: Moment,
        row_version: u64,
        entry: UpstreamEntry,
        is_cold_limited: bool,
    ) -> bool {
        let previous = self.upstreams.get(&entry.id);
        let presence = match (entry.state, previous.map(|known| known.presence)) {
            (ReportedState::Ready, _) => Presence::Listed,
            (ReportedState::Leaving, Some(Presence::Leaving(since))) => Presence::Leaving(since),
            (ReportedState::Leaving, _) => Presence::Leaving(now),
        };
        let previous_of_run =
            previous.filter(|known| known.entry.started_at_ms == entry.started_at_ms);
        let first_seen_at = previous_of_run.map_or(now, |known| known.first_seen_at);
        // An entry that is applied again does not make the upstream colder.
        let cold_until = now + entry.cold_duration;
        let cold_until = match previous_of_run {
            None => cold_until,
            Some(known) if !is_cold_limited => known.cold_until.min(cold_until),
            // An end that has passed stays known.
            Some(known) if row_version > known.row_version && cold_until > now => cold_until,
            Some(known) if row_version > known.row_version => known.cold_until.min(now),
            Some(known) => known.cold_until,
        };
        let is_changed =
            previous.is_none_or(|known| known.entry != entry || known.presence != presence);
        let presence_since = previous
            .filter(|known| known.presence == presence)
            .map_or(now, |known| known.presence_since);
        let known = KnownUpstream {
            entry,
            presence,
            first_seen_at,
            cold_until,
            presence_since,
            row_version,
        };
        self.upstreams.insert(known.entry.id.clone(), known);
        is_changed
    }

    /// Records that an upstream's entry is no longer in the store.
    ///
    /// `grace` is the time for which the host that told of it keeps the upstream in use;
    /// without it this host decides.
    pub fn record_missing(&mut self, now: Moment, id: &str, grace: Option<Duration>) {
        let until = match grace {
            Some(grace) => now + grace,
            None => self.outage_until.max(now + self.timing.missing_grace),
        };
        let Some(known) = self.upstreams.get_mut(id) else {
            return;
        };
        match known.presence {
            Presence::Listed => {
                known.presence = Presence::Missing(until);
                known.presence_since = now;
            }
            // A leaving upstream whose entry is missing has left.
            Presence::Leaving(_) => {
                self.upstreams.shift_remove(id);
            }
            Presence::Missing(_) => {}
        }
    }

    /// Replaces the entries by all entries of the store; upstreams that are not among
    /// them become missing.
    pub fn replace(&mut self, now: Moment, entries: Vec<UpstreamEntry>) {
        let rows = entries.into_iter().map(|entry| (0, entry));
        self.replace_rows(now, rows.collect(), &|_| false);
    }

    /// Replaces the entries by all rows of the store; see [`Self::apply_row`].
    pub fn replace_rows(
        &mut self,
        now: Moment,
        rows: Vec<(u64, UpstreamEntry)>,
        is_cold_limited: &dyn Fn(&ServiceName) -> bool,
    ) {
        let mut absent: Vec<UpstreamId> = self.upstreams.keys().cloned().collect();
        for (row_version, entry) in rows {
            absent.retain(|id| *id != entry.id);
            let is_limited = is_cold_limited(&entry.service);
            self.apply_row(now, row_version, entry, is_limited);
        }
        for id in absent {
            self.record_missing(now, id.as_str(), None);
        }
    }

    /// Records that the store does not answer.
    ///
    /// Upstreams whose entries lapsed in this outage stay in use for longer. Those whose
    /// entries were gone before have left, and must not be used again.
    pub fn record_outage(&mut self, now: Moment) {
        if now > self.outage_until {
            self.outage_since = now;
        }
        self.outage_until = self.outage_until.max(now + self.timing.outage_grace);
        for known in self.upstreams.values_mut() {
            let Presence::Missing(gone_at) = &mut known.presence else {
                continue;
            };
            if known.presence_since >= self.outage_since {
                *gone_at = self.outage_until.max(*gone_at);
            }
        }
    }

    /// Returns for how much longer an upstream without an entry stays in use.
    pub fn missing_grace(&self, now: Moment, id: &str) -> Duration {
        match self.upstreams.get(id).map(|known| known.presence) {
            Some(Presence::Missing(gone_at)) => gone_at - now,
            _ => Duration::ZERO,
        }
    }

    /// Removes the upstreams that are considered gone and returns their ids.
    pub fn remove_expired(&mut self, now: Moment) -> Vec<UpstreamId> {
        let mut gone = Vec::new();
        self.upstreams.retain(|id, known| {
            let is_gone = matches!(known.presence, Presence::Missing(gone_at) if gone_at <= now);
            if is_gone {
                gone.push(id.clone());
            }
            !is_gone
        });
        gone
    }
}
