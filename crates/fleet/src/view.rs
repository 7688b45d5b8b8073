//! Which upstreams may be used.

use crate::{ReportedState, UpstreamEntry};
use indexmap::IndexMap;
use kernel::{Moment, ServiceName, UpstreamId};
use std::time::Duration;

/// Waits of a [`FleetView`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetTiming {
    /// For which an upstream without an entry stays in use; below the time within
    /// which a leaving upstream must get no more work.
    pub missing_grace: Duration,
    /// The same while the store is away and after its return; entries that lapsed
    /// in an outage are back about 2 s after it.
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

/// Whether an upstream's entry is there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Presence {
    /// Its entry stands.
    Listed,
    /// It reported that it leaves, at this time.
    Leaving(Moment),
    /// Its entry lapsed; it is taken as gone at this time.
    Missing(Moment),
}

/// An upstream that a host knows.
#[derive(Clone, Debug, PartialEq)]
pub struct KnownUpstream {
    /// Its last entry.
    pub entry: UpstreamEntry,
    /// Whether the entry is there.
    pub presence: Presence,
    /// When the entry was first seen.
    pub first_seen_at: Moment,
    /// Until when it is slow after its start.
    pub cold_until: Moment,
}

impl KnownUpstream {
    /// Returns whether it may be given new work.
    pub fn accepts_work(&self, now: Moment) -> bool {
        match self.presence {
            Presence::Listed => true,
            Presence::Leaving(_) => false,
            Presence::Missing(gone_at) => now < gone_at,
        }
    }

    /// Returns whether it still holds what it was given.
    pub fn is_listed(&self) -> bool {
        matches!(self.presence, Presence::Listed)
    }
}

/// Upstreams by id, with their presence.
#[derive(Clone, Debug)]
pub struct FleetView {
    timing: FleetTiming,
    upstreams: IndexMap<UpstreamId, KnownUpstream>,
    /// Until when lapsed entries are put down to an outage of the store.
    outage_until: Moment,
}

impl FleetView {
    /// Builds an empty view.
    pub fn new(timing: FleetTiming) -> Self {
        Self {
            timing,
            upstreams: IndexMap::new(),
            outage_until: Moment::ZERO,
        }
    }

    /// Changes the waits; those that run already keep theirs.
    pub fn set_timing(&mut self, timing: FleetTiming) {
        self.timing = timing;
    }

    /// Returns an upstream.
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

    /// Takes in an entry; returns whether anything but its presence in the store
    /// changed.
    pub fn apply(&mut self, now: Moment, entry: UpstreamEntry) -> bool {
        let earlier = self.upstreams.get(&entry.id);
        let presence = match (entry.state, earlier.map(|known| known.presence)) {
            (ReportedState::Ready, _) => Presence::Listed,
            (ReportedState::Leaving, Some(Presence::Leaving(since))) => Presence::Leaving(since),
            (ReportedState::Leaving, _) => Presence::Leaving(now),
        };
        let same_run = earlier.filter(|known| known.entry.started_at_ms == entry.started_at_ms);
        let first_seen_at = same_run.map_or(now, |known| known.first_seen_at);
        let cold_until = now + entry.cold_duration;
        let is_changed =
            earlier.is_none_or(|known| known.entry != entry || known.presence != presence);
        let known = KnownUpstream {
            entry,
            presence,
            first_seen_at,
            cold_until,
        };
        self.upstreams.insert(known.entry.id.clone(), known);
        is_changed
    }

    /// Notes that an upstream's entry is not in the store any more.
    pub fn record_missing(&mut self, now: Moment, id: &str) {
        let until = self.outage_until.max(now + self.timing.missing_grace);
        let Some(known) = self.upstreams.get_mut(id) else {
            return;
        };
        match known.presence {
            Presence::Listed => known.presence = Presence::Missing(until),
            // An upstream that said it leaves has left.
            Presence::Leaving(_) => {
                self.upstreams.shift_remove(id);
            }
            Presence::Missing(_) => {}
        }
    }

    /// Takes in all entries of the store at once.
    pub fn replace(&mut self, now: Moment, entries: Vec<UpstreamEntry>) {
        let mut absent: Vec<UpstreamId> = self.upstreams.keys().cloned().collect();
        for entry in entries {
            absent.retain(|id| *id != entry.id);
            self.apply(now, entry);
        }
        for id in absent {
            self.record_missing(now, id.as_str());
        }
    }

    /// Notes that the store does not answer at present.
    pub fn record_outage(&mut self, now: Moment) {
        self.outage_until = self.outage_until.max(now + self.timing.outage_grace);
        let until = self.outage_until;
        for known in self.upstreams.values_mut() {
            if let Presence::Missing(gone_at) = &mut known.presence {
                *gone_at = until.max(*gone_at);
            }
        }
    }

    /// Removes upstreams that are taken as gone and returns them.
    pub fn expire(&mut self, now: Moment) -> Vec<UpstreamId> {
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
