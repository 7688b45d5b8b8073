//! Load of the keys.

use crate::KEY_COUNT;
use indexmap::IndexMap;
use std::sync::OnceLock;
use std::time::Duration;

/// Load that every key is assumed to have, so that keys without requests have some load;
/// as a fraction of the average key.
const PRIOR_FRACTION: f64 = 0.25;
/// Number of requests that all keys together are assumed to have had before any.
const PRIOR_REQUESTS: f64 = 40.0;

/// Requests by key, as one host counts them between two reports.
#[derive(Clone, Debug, Default)]
pub struct KeyCounts {
    requests: IndexMap<u16, f32>,
}

impl KeyCounts {
    /// Counts one request for a key.
    pub fn record(&mut self, key: u16) {
        *self.requests.entry(key).or_default() += 1.0;
    }

    /// Returns the keys with requests and their counts, those with the most requests
    /// first and `max_count` at most, and resets all counts.
    pub fn drain(&mut self, max_count: usize) -> Vec<(u16, f32)> {
        let mut drained: Vec<(u16, f32)> = self.requests.drain(..).collect();
        drained.sort_by(|(_, a), (_, b)| b.total_cmp(a));
        drained.truncate(max_count);
        drained
    }
}

/// Decaying request counts by key.
///
/// Counts are kept for single keys: popular keys are often adjacent, and only ranges of a
/// few keys can then be spread over as many upstreams as their load needs.
#[derive(Clone, Debug)]
pub struct KeyLoads {
    counts: Vec<f32>,
    total: f64,
    half_life: Option<Duration>,
    /// Sums of the counts of all keys before each key, built when first needed.
    sums: OnceLock<Vec<f64>>,
}

impl Default for KeyLoads {
    fn default() -> Self {
        Self {
            counts: vec![0.0; KEY_COUNT as usize],
            total: 0.0,
            half_life: None,
            sums: OnceLock::new(),
        }
    }
}

impl KeyLoads {
    /// Adds `requests` to a key.
    pub fn record(&mut self, key: u16, requests: f32) {
        self.counts[usize::from(key)] += requests;
        self.total += f64::from(requests);
        self.sums = OnceLock::new();
    }

    /// Decays the counts by `elapsed` with the given half-life.
    pub fn decay(&mut self, elapsed: Duration, half_life: Duration) {
        let factor = 0.5_f64.powf(elapsed.as_secs_f64() / half_life.as_secs_f64());
        for count in &mut self.counts {
            *count *= factor as f32;
        }
        self.total *= factor;
        self.half_life = Some(half_life);
        self.sums = OnceLock::new();
    }

    /// Returns the requests a second for all keys, if the counts decay.
    pub fn rate(&self) -> Option<f64> {
        let half_life = self.half_life?;
        Some(self.total * std::f64::consts::LN_2 / half_life.as_secs_f64())
    }

    /// Returns the fraction of all load that a range of keys has.
    pub fn share(&self, first: u16, last: u16) -> f64 {
        let sums = self.sums();
        let keys = f64::from(last) - f64::from(first) + 1.0;
        let requests = sums[usize::from(last) + 1] - sums[usize::from(first)];
        (requests + keys * self.prior_count()) / self.total_count()
    }

    /// Returns the last key of the longest prefix of a range with at most `max_share`
    /// of all load; `None` when not even one key fits, or all do.
    pub fn max_prefix(&self, first: u16, last: u16, max_share: f64) -> Option<u16> {
        let fits = |prefix_last: u16| self.share(first, prefix_last) <= max_share;
        let (mut fitting, mut too_long) = (u32::from(first), u32::from(last));
        if first == last || !fits(first) || fits(last) {
            return None;
        }
        while too_long - fitting > 1 {
            let middle = u32::midpoint(fitting, too_long);
            if fits(middle as u16) {
                fitting = middle;
            } else {
                too_long = middle;
            }
        }
        Some(fitting as u16)
    }

    /// Returns the first key of the longest suffix of a range with at most `max_share`
    /// of all load; `None` when not even one key fits, or all do.
    pub fn max_suffix(&self, first: u16, last: u16, max_share: f64) -> Option<u16> {
        let fits = |suffix_first: u16| self.share(suffix_first, last) <= max_share;
        let (mut too_long, mut fitting) = (u32::from(first), u32::from(last));
        if first == last || !fits(last) || fits(first) {
            return None;
        }
        while fitting - too_long > 1 {
            let middle = u32::midpoint(too_long, fitting);
            if fits(middle as u16) {
                fitting = middle;
            } else {
                too_long = middle;
            }
        }
        Some(fitting as u16)
    }

    /// Returns the keys with the most load, and the fraction of all load that each has.
    pub fn hottest_keys(&self, count: usize) -> Vec<(u16, f64)> {
        let mut keys: Vec<u16> = (0..=u16::MAX).collect();
        let count_of = |key: &u16| self.counts[usize::from(*key)];
        let count = count.min(keys.len() - 1);
        keys.select_nth_unstable_by(count, |a, b| count_of(b).total_cmp(&count_of(a)));
        keys.truncate(count);
        keys.sort_by(|a, b| count_of(b).total_cmp(&count_of(a)));
        let with_share = keys.into_iter().map(|key| (key, self.share(key, key)));
        with_share.collect()
    }

    fn sums(&self) -> &[f64] {
        self.sums.get_or_init(|| {
            let mut sums = Vec::with_capacity(self.counts.len() + 1);
            let mut sum = 0.0;
            sums.push(sum);
            for count in &self.counts {
                sum += f64::from(*count);
                sums.push(sum);
            }
            sums
        })
    }

    fn prior_count(&self) -> f64 {
        (PRIOR_FRACTION * self.total + PRIOR_REQUESTS) / f64::from(KEY_COUNT)
    }

    fn total_count(&self) -> f64 {
        self.total + self.prior_count() * f64::from(KEY_COUNT)
    }
}
