//! Quarantine of requests that crash the upstreams that run them.

use indexmap::IndexMap;
use kernel::Moment;
use std::fmt;
use std::time::Duration;
use xxhash_rust::xxh3::Xxh3;

/// Number of upstream losses after which a request is refused.
const MIN_LOSSES: u32 = 2;
const MAX_SUSPECTS: usize = 1_024;
/// Time for which a completion clears a request; a request that crashes upstreams never
/// completes.
const CLEARANCE: Duration = Duration::from_secs(30);
/// Maximum number of completions kept; the one inserted first is removed first.
const MAX_COMPLETIONS: usize = 512;

/// Hash of the parts that identify a request (xxHash3, 64 bits).
#[derive(Clone, Default)]
pub struct RequestFingerprint {
    hasher: Xxh3,
}

impl fmt::Debug for RequestFingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("RequestFingerprint").finish_non_exhaustive()
    }
}

impl RequestFingerprint {
    /// Creates the fingerprint of no parts.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a part, which may be kept in several blocks.
    pub fn add_part<'a, I>(&mut self, blocks: I)
    where
        I: IntoIterator<Item = &'a [u8], IntoIter: Clone>,
    {
        let blocks = blocks.into_iter();
        let part_bytes: usize = blocks.clone().map(<[u8]>::len).sum();
        // Hashing the length distinguishes ("ab", "c") from ("a", "bc").
        self.hasher.update(&(part_bytes as u64).to_le_bytes());
        for block in blocks {
            self.hasher.update(block);
        }
    }

    /// Returns the hash.
    pub fn digest(&self) -> u64 {
        self.hasher.digest()
    }
}

/// Hashes the parts that identify a request into a fingerprint.
pub fn fingerprint(parts: &[&[u8]]) -> u64 {
    let mut fingerprint = RequestFingerprint::new();
    for part in parts {
        fingerprint.add_part([*part]);
    }
    fingerprint.digest()
}

#[derive(Clone, Copy, Debug)]
struct SuspectRecord {
    losses: u32,
    until: Moment,
}

/// Fingerprints of requests that were running when upstreams were lost.
///
/// A request that ran alongside a crashing one becomes suspect with it after one loss;
/// it is refused only if a second upstream is lost while running it, and a completion
/// clears it. Identical requests of many clients usually have a recent completion, so
/// they are not blamed for losses that they only coincide with.
#[derive(Clone, Debug)]
pub struct QuarantineList {
    suspicion_duration: Duration,
    suspects: IndexMap<u64, SuspectRecord>,
    /// Time of the last completion of each request.
    completions: IndexMap<u64, Moment>,
}

impl QuarantineList {
    /// Creates an empty list; suspicion lasts for `suspicion_duration`.
    pub fn new(suspicion_duration: Duration) -> Self {
        Self {
            suspicion_duration,
            suspects: IndexMap::new(),
            completions: IndexMap::new(),
        }
    }

    /// Records that an upstream was lost while it ran this request.
    pub fn record_loss(&mut self, now: Moment, fingerprint: u64) {
        if self.is_cleared(now, fingerprint) {
            return;
        }
        let until = now + self.suspicion_duration;
        let record = self
            .suspects
            .entry(fingerprint)
            .or_insert(SuspectRecord { losses: 0, until });
        if record.until < now {
            record.losses = 0;
        }
        record.losses += 1;
        record.until = until;
        self.limit_suspects();
    }

    /// Records that this request completed at an upstream.
    pub fn record_completion(&mut self, now: Moment, fingerprint: u64) {
        self.suspects.swap_remove(&fingerprint);
        self.completions.insert(fingerprint, now);
        if self.completions.len() > MAX_COMPLETIONS {
            // A request that recurs is inserted again at its next completion.
            self.completions.shift_remove_index(0);
        }
    }

    fn is_cleared(&self, now: Moment, fingerprint: u64) -> bool {
        let completed_at = self.completions.get(&fingerprint);
        completed_at.is_some_and(|at| now - *at <= CLEARANCE)
    }

    /// Merges the losses that another host knows of.
    pub fn merge(&mut self, now: Moment, fingerprint: u64, losses: u32, remaining: Duration) {
        if self.is_cleared(now, fingerprint) {
            return;
        }
        let until = now + remaining.min(self.suspicion_duration);
        let record = self
            .suspects
            .entry(fingerprint)
            .or_insert(SuspectRecord { losses: 0, until });
        record.losses = record.losses.max(losses);
        record.until = record.until.max(until);
        self.limit_suspects();
    }

    /// Returns for how much longer a request is refused, if it is.
    pub fn quarantine_remaining(&self, now: Moment, fingerprint: u64) -> Option<Duration> {
        let record = self.suspects.get(&fingerprint)?;
        let is_refused = record.losses >= MIN_LOSSES && record.until > now;
        is_refused.then(|| record.until - now)
    }

    /// Returns whether an upstream was recently lost with this request.
    pub fn is_suspect(&self, now: Moment, fingerprint: u64) -> bool {
        let record = self.suspects.get(&fingerprint);
        record.is_some_and(|record| record.until > now)
    }

    /// Iterates over suspect fingerprints with their losses and the remaining time.
    pub fn iter(&self, now: Moment) -> impl Iterator<Item = (u64, u32, Duration)> {
        self.suspects
            .iter()
            .filter(move |(_, record)| record.until > now)
            .map(move |(fingerprint, record)| (*fingerprint, record.losses, record.until - now))
    }

    fn limit_suspects(&mut self) {
        if self.suspects.len() <= MAX_SUSPECTS {
            return;
        }
        let first_to_expire = self
            .suspects
            .iter()
            .min_by_key(|(_, record)| record.until)
            .map(|(fingerprint, _)| *fingerprint);
        if let Some(fingerprint) = first_to_expire {
            self.suspects.swap_remove(&fingerprint);
        }
    }
}
