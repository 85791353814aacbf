//! Sliding-window counter of recent requests.

use elmstream::time::Time;

/// Number of buckets in a window. A sum includes one bucket more than the window, so it is never
/// below the true count and, with evenly spaced requests, at most a twentieth above it.
const BUCKETS: usize = 20;

/// Number of requests in a sliding window.
#[derive(Clone, Debug, Default)]
pub struct SlidingWindow {
    counts: [u32; BUCKETS + 1],
    /// Number of the latest bucket, counted from time 0.
    last_bucket: u64,
}

impl SlidingWindow {
    /// Counts a request. `window` is in microseconds and must be equal in all calls.
    pub fn add(&mut self, now: Time, window: u64) {
        self.adjust(now, window, 1);
    }

    /// Adds `delta` requests now. A negative number is taken from the latest buckets first.
    pub fn adjust(&mut self, now: Time, window: u64, delta: i32) {
        let mut index = self.advance(now, window);
        if delta >= 0 {
            self.counts[index] = self.counts[index].saturating_add(delta as u32);
            return;
        }
        let mut remaining = delta.unsigned_abs();
        for _ in 0..self.counts.len() {
            let taken = remaining.min(self.counts[index]);
            self.counts[index] -= taken;
            remaining -= taken;
            index = (index + BUCKETS) % self.counts.len();
        }
    }

    /// Adds `count` requests that arrived at unknown times within the window. They are spread
    /// evenly over the buckets; `draw` selects the first one.
    pub fn add_spread(&mut self, now: Time, window: u64, count: u32, draw: u64) {
        let current = self.advance(now, window) as u64;
        let buckets = BUCKETS as u64;
        let begin = draw % buckets;
        for n in 0..u64::from(count.min(BUCKETS as u32)) {
            let offset = (begin + n * buckets / u64::from(count.min(BUCKETS as u32))) % buckets;
            let per_bucket = count / count.min(BUCKETS as u32);
            let extra = u32::from((n as u32) < count % count.min(BUCKETS as u32));
            let index = (current + buckets + 1 - offset) % (buckets + 1);
            self.counts[index as usize] =
                self.counts[index as usize].saturating_add(per_bucket + extra);
        }
    }

    /// Number of requests in the window that ends now.
    pub fn sum(&mut self, now: Time, window: u64) -> u32 {
        self.advance(now, window);
        self.counts.iter().sum()
    }

    /// Number of requests that leave the sum within `within` microseconds from now.
    pub fn expiring(&mut self, now: Time, window: u64, within: u64) -> u32 {
        let current = self.advance(now, window);
        let buckets = (within * BUCKETS as u64 / window.max(1)) as usize;
        let oldest = (1..=buckets.min(BUCKETS)).map(|n| (current + n) % self.counts.len());
        oldest.map(|index| self.counts[index]).sum()
    }

    /// Sets all counts to zero.
    pub fn clear(&mut self) {
        self.counts = Default::default();
    }

    /// Clears expired buckets and returns the index of the present one.
    fn advance(&mut self, now: Time, window: u64) -> usize {
        let bucket = now.0 / (window / BUCKETS as u64).max(1);
        let ring_size = self.counts.len();
        let passed = bucket.saturating_sub(self.last_bucket).min(ring_size as u64);
        for step in 1..=passed {
            self.counts[((self.last_bucket + step) % ring_size as u64) as usize] = 0;
        }
        if passed == ring_size as u64 {
            self.clear();
        }
        self.last_bucket = self.last_bucket.max(bucket);
        (self.last_bucket % ring_size as u64) as usize
    }
}
