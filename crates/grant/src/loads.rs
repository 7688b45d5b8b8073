//! Load of the keys.

use crate::KEY_COUNT;
use std::time::Duration;

/// Number of adjacent keys that are counted together.
const KEYS_PER_BUCKET: u32 = 16;
const BUCKET_COUNT: usize = (KEY_COUNT / KEYS_PER_BUCKET) as usize;
/// Load that every bucket is assumed to have, so that keys without requests have some
/// load; as a fraction of the average bucket.
const PRIOR_FRACTION: f32 = 0.25;

/// Decaying request counts by bucket of adjacent keys.
#[derive(Clone, Debug)]
pub struct KeyLoads {
    counts: Vec<f32>,
    total: f32,
}

impl Default for KeyLoads {
    fn default() -> Self {
        Self {
            counts: vec![0.0; BUCKET_COUNT],
            total: 0.0,
        }
    }
}

impl KeyLoads {
    /// Adds `requests` to the bucket of `key`.
    pub fn record(&mut self, key: u16, requests: f32) {
        self.counts[usize::from(key) / KEYS_PER_BUCKET as usize] += requests;
        self.total += requests;
    }

    /// Returns the buckets with requests, as first key and count, and resets all
    /// counts.
    pub fn drain(&mut self) -> Vec<(u16, f32)> {
        let mut drained = Vec::new();
        for (index, count) in self.counts.iter_mut().enumerate() {
            if *count <= 0.0 {
                continue;
            }
            drained.push(((index as u32 * KEYS_PER_BUCKET) as u16, *count));
            *count = 0.0;
        }
        self.total = 0.0;
        drained
    }

    /// Decays the counts by `elapsed` with the given half-life.
    pub fn decay(&mut self, elapsed: Duration, half_life: Duration) {
        let factor = 0.5_f32.powf(elapsed.as_secs_f32() / half_life.as_secs_f32());
        for count in &mut self.counts {
            *count *= factor;
        }
        self.total *= factor;
    }

    /// Returns the fraction of all load that a range of keys has.
    pub fn share(&self, first: u16, last: u16) -> f64 {
        let mut sum = 0.0;
        let first_bucket = u32::from(first) / KEYS_PER_BUCKET;
        let last_bucket = u32::from(last) / KEYS_PER_BUCKET;
        for bucket_index in first_bucket..=last_bucket {
            let bucket_first = (bucket_index * KEYS_PER_BUCKET).max(u32::from(first));
            let bucket_last =
                (bucket_index * KEYS_PER_BUCKET + KEYS_PER_BUCKET - 1).min(u32::from(last));
            let part = (bucket_last - bucket_first + 1) as f32 / KEYS_PER_BUCKET as f32;
            sum += self.bucket_count(bucket_index as usize) * part;
        }
        f64::from(sum / self.total_count())
    }

    /// Returns the last key of the longest prefix of a range with at most `max_share`
    /// of all load; `None` when not even one bucket fits.
    pub fn max_prefix(&self, first: u16, last: u16, max_share: f64) -> Option<u16> {
        let total = f64::from(self.total_count());
        let mut sum = 0.0;
        let mut prefix_last = None;
        let mut bucket_index = u32::from(first) / KEYS_PER_BUCKET;
        loop {
            let bucket_last = bucket_index * KEYS_PER_BUCKET + KEYS_PER_BUCKET - 1;
            sum += f64::from(self.bucket_count(bucket_index as usize)) / total;
            if bucket_last >= u32::from(last) || sum > max_share {
                return prefix_last;
            }
            prefix_last = Some(bucket_last as u16);
            bucket_index += 1;
        }
    }

    /// Returns the first key of the longest suffix of a range with at most `max_share`
    /// of all load; `None` when not even one bucket fits.
    pub fn max_suffix(&self, first: u16, last: u16, max_share: f64) -> Option<u16> {
        let total = f64::from(self.total_count());
        let mut sum = 0.0;
        let mut suffix_first = None;
        let mut bucket_index = u32::from(last) / KEYS_PER_BUCKET;
        loop {
            let bucket_first = bucket_index * KEYS_PER_BUCKET;
            sum += f64::from(self.bucket_count(bucket_index as usize)) / total;
            if bucket_first <= u32::from(first) || sum > max_share {
                return suffix_first;
            }
            suffix_first = Some(bucket_first as u16);
            bucket_index -= 1;
        }
    }

    /// Returns the buckets with the most load, as first key, last key and fraction of
    /// all load.
    pub fn hottest_buckets(&self, count: usize) -> Vec<(u16, u16, f64)> {
        let mut indexes: Vec<usize> = (0..BUCKET_COUNT).collect();
        let count = count.min(BUCKET_COUNT - 1);
        indexes.select_nth_unstable_by(count, |a, b| self.counts[*b].total_cmp(&self.counts[*a]));
        indexes.truncate(count);
        indexes.sort_by(|a, b| self.counts[*b].total_cmp(&self.counts[*a]));
        let total = f64::from(self.total_count());
        let buckets = indexes.into_iter().map(|index| {
            let first = index as u32 * KEYS_PER_BUCKET;
            let share = f64::from(self.bucket_count(index)) / total;
            (first as u16, (first + KEYS_PER_BUCKET - 1) as u16, share)
        });
        buckets.collect()
    }

    fn prior_count(&self) -> f32 {
        PRIOR_FRACTION * (self.total / BUCKET_COUNT as f32) + 0.01
    }

    fn bucket_count(&self, index: usize) -> f32 {
        self.counts[index] + self.prior_count()
    }

    fn total_count(&self) -> f32 {
        self.total + self.prior_count() * BUCKET_COUNT as f32
    }
}
