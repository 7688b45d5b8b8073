//! How busy the keys are.

use crate::KEY_COUNT;
use std::time::Duration;

/// Keys of one bucket.
const BUCKET_KEYS: u32 = 16;
const BUCKETS: usize = (KEY_COUNT / BUCKET_KEYS) as usize;
/// Requests that every bucket is taken to have, so that an unseen key has some
/// load; as a share of the average bucket.
const PRIOR_SHARE: f32 = 0.25;

/// Requests of late by bucket of neighbouring keys.
#[derive(Clone, Debug)]
pub struct KeyLoads {
    counts: Vec<f32>,
    total: f32,
}

impl Default for KeyLoads {
    fn default() -> Self {
        Self {
            counts: vec![0.0; BUCKETS],
            total: 0.0,
        }
    }
}

impl KeyLoads {
    /// Counts `requests` on a key.
    pub fn record(&mut self, key: u16, requests: f32) {
        self.counts[usize::from(key) / BUCKET_KEYS as usize] += requests;
        self.total += requests;
    }

    /// Returns the buckets with requests, as key and count, and forgets them.
    pub fn drain(&mut self) -> Vec<(u16, f32)> {
        let mut drained = Vec::new();
        for (index, count) in self.counts.iter_mut().enumerate() {
            if *count <= 0.0 {
                continue;
            }
            drained.push(((index as u32 * BUCKET_KEYS) as u16, *count));
            *count = 0.0;
        }
        self.total = 0.0;
        drained
    }

    /// Lets earlier counts fade by `elapsed` with the half-life `half`.
    pub fn decay(&mut self, elapsed: Duration, half: Duration) {
        let keep = 0.5_f32.powf(elapsed.as_secs_f32() / half.as_secs_f32());
        for count in &mut self.counts {
            *count *= keep;
        }
        self.total *= keep;
    }

    /// Returns the share of all load that a range of keys has.
    pub fn share(&self, first: u16, last: u16) -> f64 {
        let mut sum = 0.0;
        let first_bucket = u32::from(first) / BUCKET_KEYS;
        let last_bucket = u32::from(last) / BUCKET_KEYS;
        for bucket in first_bucket..=last_bucket {
            let begins = (bucket * BUCKET_KEYS).max(u32::from(first));
            let ends = (bucket * BUCKET_KEYS + BUCKET_KEYS - 1).min(u32::from(last));
            let part = (ends - begins + 1) as f32 / BUCKET_KEYS as f32;
            sum += self.bucket(bucket as usize) * part;
        }
        f64::from(sum / self.whole())
    }

    /// Returns the last key of the longest beginning of a range that has at most
    /// `most` of all load; `None` when not even one bucket fits.
    pub fn front_piece(&self, first: u16, last: u16, most: f64) -> Option<u16> {
        let whole = f64::from(self.whole());
        let mut sum = 0.0;
        let mut piece = None;
        let mut bucket = u32::from(first) / BUCKET_KEYS;
        loop {
            let ends = bucket * BUCKET_KEYS + BUCKET_KEYS - 1;
            sum += f64::from(self.bucket(bucket as usize)) / whole;
            if ends >= u32::from(last) || sum > most {
                return piece;
            }
            piece = Some(ends as u16);
            bucket += 1;
        }
    }

    /// Returns the first key of the longest end of a range that has at most `most`
    /// of all load; `None` when not even one bucket fits.
    pub fn back_piece(&self, first: u16, last: u16, most: f64) -> Option<u16> {
        let whole = f64::from(self.whole());
        let mut sum = 0.0;
        let mut piece = None;
        let mut bucket = u32::from(last) / BUCKET_KEYS;
        loop {
            let begins = bucket * BUCKET_KEYS;
            sum += f64::from(self.bucket(bucket as usize)) / whole;
            if begins <= u32::from(first) || sum > most {
                return piece;
            }
            piece = Some(begins as u16);
            bucket -= 1;
        }
    }

    /// Returns the busiest buckets, as first key, last key and share of all load.
    pub fn hottest(&self, count: usize) -> Vec<(u16, u16, f64)> {
        let mut order: Vec<usize> = (0..BUCKETS).collect();
        let count = count.min(BUCKETS - 1);
        order.select_nth_unstable_by(count, |a, b| self.counts[*b].total_cmp(&self.counts[*a]));
        order.truncate(count);
        order.sort_by(|a, b| self.counts[*b].total_cmp(&self.counts[*a]));
        let whole = f64::from(self.whole());
        let buckets = order.into_iter().map(|index| {
            let first = index as u32 * BUCKET_KEYS;
            let share = f64::from(self.bucket(index)) / whole;
            (first as u16, (first + BUCKET_KEYS - 1) as u16, share)
        });
        buckets.collect()
    }

    fn prior(&self) -> f32 {
        PRIOR_SHARE * (self.total / BUCKETS as f32) + 0.01
    }

    fn bucket(&self, index: usize) -> f32 {
        self.counts[index] + self.prior()
    }

    fn whole(&self) -> f32 {
        self.total + self.prior() * BUCKETS as f32
    }
}
