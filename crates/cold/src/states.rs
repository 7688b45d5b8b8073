//! Upstreams that were found cold by other means than their entries.

use crate::UpstreamRun;
use indexmap::IndexMap;
use kernel::Moment;
use std::time::Duration;

/// Time between the first failed connection and the return after which an upstream that
/// did not answer counts as silent.
const MIN_SILENCE: Duration = Duration::from_millis(500);
/// Number of connections in a row that must have timed out for that. Single ones time out
/// by lost packets, and at hosts that are short of processor time.
const MIN_TIMEOUTS: u32 = 3;
/// Time after which a failed connection says nothing about the next one. A host that has
/// an upstream in backoff tries it again within 4 s.
const MAX_FAILURE_GAP: Duration = Duration::from_secs(10);
/// Time after an upstream's return, or after the last failed connection, from which an
/// entry of the same run says how cold it is. An entry that was written before it fell
/// silent arrives earlier.
const ENTRY_SETTLE: Duration = Duration::from_secs(1);

/// How an upstream was found to be cold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ColdSource {
    /// It returned after it could not be reached, so that it may be a new run.
    Return,
    /// One of its responses said so.
    Response,
    /// Another host said so.
    Peer,
}

impl ColdSource {
    /// Returns the text used in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Return => "return",
            Self::Response => "response",
            Self::Peer => "peer",
        }
    }
}

/// Upstreams that a host found cold, or was told of.
#[derive(Clone, Debug, Default)]
pub struct ColdStates {
    found: IndexMap<UpstreamRun, FoundCold>,
    silent: IndexMap<u32, SilentUpstream>,
}

#[derive(Clone, Copy, Debug)]
struct FoundCold {
    source: ColdSource,
    found_at: Moment,
    until: Moment,
    is_asked: bool,
}

#[derive(Clone, Copy, Debug)]
struct SilentUpstream {
    /// The run that is known from its entry.
    run: u32,
    since: Moment,
    last_failed_at: Moment,
    failures: u32,
    /// Whether it refused a connection, which shows that its process had ended.
    has_refused: bool,
}

impl ColdStates {
    /// Records that no connection to an upstream could be made.
    pub fn record_unreachable(&mut self, now: Moment, run: UpstreamRun, is_refused: bool) {
        let first = SilentUpstream {
            run: run.run,
            since: now,
            last_failed_at: now,
            failures: 0,
            has_refused: false,
        };
        let silent = self.silent.entry(run.upstream).or_insert(first);
        if silent.run != run.run || now - silent.last_failed_at > MAX_FAILURE_GAP {
            *silent = first;
        }
        silent.last_failed_at = now;
        silent.failures += 1;
        silent.has_refused |= is_refused;
    }

    /// Returns whether any upstream is silent.
    pub fn has_silent(&self) -> bool {
        !self.silent.is_empty()
    }

    /// Returns whether an upstream is silent, so that it may return cold.
    pub fn is_silent(&self, upstream: u32) -> bool {
        self.silent.contains_key(&upstream)
    }

    /// Records that a connection to an upstream could be made; returns whether it has
    /// returned and is taken for cold for the duration `start`.
    pub fn record_reached(&mut self, now: Moment, run: UpstreamRun, start: Duration) -> bool {
        let Some(silent) = self.silent.swap_remove(&run.upstream) else {
            return false;
        };
        let was_silent = silent.failures >= MIN_TIMEOUTS && now - silent.since >= MIN_SILENCE;
        let is_recent = now - silent.last_failed_at <= MAX_FAILURE_GAP;
        if !is_recent || (!silent.has_refused && !was_silent) {
            return false;
        }
        self.raise(now, run, now + start, ColdSource::Return);
        true
    }

    /// Records that an upstream answered over a connection that was open before: what
    /// failed was a single connection, unless it was refused.
    pub fn record_alive(&mut self, upstream: u32) {
        if let Some(silent) = self.silent.get(&upstream)
            && !silent.has_refused
        {
            self.silent.swap_remove(&upstream);
        }
    }

    /// Records the time for which an upstream says in a response that it stays cold;
    /// returns whether that makes it colder.
    pub fn record_response(&mut self, now: Moment, run: UpstreamRun, remaining: Duration) -> bool {
        if let Some(found) = self.found.get(&run)
            && found.source == ColdSource::Return
        {
            self.found.swap_remove(&run);
        }
        if remaining.is_zero() {
            return false;
        }
        self.raise(now, run, now + remaining, ColdSource::Response)
    }

    /// Records what another host said; returns whether that makes the upstream colder.
    pub fn record_peer(&mut self, now: Moment, run: UpstreamRun, remaining: Duration) -> bool {
        !remaining.is_zero() && self.raise(now, run, now + remaining, ColdSource::Peer)
    }

    /// Records that a newer entry of a run has arrived, which says how cold it is.
    pub fn record_entry(&mut self, now: Moment, run: UpstreamRun) {
        let is_told = self.silent.get(&run.upstream).is_some_and(|silent| {
            silent.run != run.run || now - silent.last_failed_at >= ENTRY_SETTLE
        });
        if is_told {
            self.silent.swap_remove(&run.upstream);
        }
        let is_assumed = self.found.get(&run).is_some_and(|found| {
            found.source == ColdSource::Return && now - found.found_at >= ENTRY_SETTLE
        });
        if is_assumed {
            self.found.swap_remove(&run);
        }
    }

    fn raise(&mut self, now: Moment, run: UpstreamRun, until: Moment, source: ColdSource) -> bool {
        let previous = self.found.get(&run);
        if previous.is_some_and(|found| found.until >= until) {
            return false;
        }
        // Each message that tells of the same cold start raises it a little.
        let is_asked = previous.is_some_and(|found| found.is_asked && now < found.until);
        let found = FoundCold {
            source,
            found_at: now,
            until,
            is_asked,
        };
        self.found.insert(run, found);
        true
    }

    /// Returns until when a run is cold, if it was found to be.
    pub fn cold_until(&self, run: UpstreamRun) -> Option<Moment> {
        self.found.get(&run).map(|found| found.until)
    }

    /// Returns the cold runs and for how much longer they stay so. Those that other hosts
    /// told of are left out if `is_own`: told back, each delay of a message would prolong
    /// them.
    pub fn remaining(&self, now: Moment, is_own: bool) -> Vec<(UpstreamRun, Duration)> {
        let mut remaining = Vec::new();
        for (run, found) in &self.found {
            if now >= found.until || (is_own && found.source == ColdSource::Peer) {
                continue;
            }
            remaining.push((*run, found.until - now));
        }
        remaining
    }

    /// Returns the cold runs that did not say themselves that they are, and have not been
    /// asked.
    pub fn unasked(&self, now: Moment) -> Vec<UpstreamRun> {
        let found = self.found.iter();
        let unasked = found.filter(|(_, found)| {
            !found.is_asked && now < found.until && found.source != ColdSource::Response
        });
        unasked.map(|(run, _)| *run).collect()
    }

    /// Records that a run has been asked how cold it is.
    pub fn record_asked(&mut self, run: UpstreamRun) {
        if let Some(found) = self.found.get_mut(&run) {
            found.is_asked = true;
        }
    }

    /// Forgets runs that have been warm for `max_age`, and upstreams that are not known
    /// any more.
    pub fn prune(&mut self, now: Moment, max_age: Duration, is_known: impl Fn(u32) -> bool) {
        self.found
            .retain(|run, found| now < found.until + max_age && is_known(run.upstream));
        self.silent.retain(|upstream, _| is_known(*upstream));
    }
}
